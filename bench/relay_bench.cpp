#include "relay_bench_func.h"

#include <poll.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <thread>

#include "../tests/packet_builder.h"
#include "bench_config_func.h"
#include "config/snapshot_func.h"
#include "host/worker_func.h"
#include "net/socket_func.h"

namespace agatepost::bench {

namespace {

constexpr std::size_t batch = 64;
constexpr std::size_t max_packet_bytes = 2048;
constexpr std::size_t packets_per_round = 400000;
constexpr std::size_t max_in_flight = 1024;  // small enough that no socket buffer overflows
constexpr int rounds = 7;

// Buffers for one recvmmsg or sendmmsg call.
struct message_batch {
    std::vector<std::uint8_t> memory = std::vector<std::uint8_t>(batch * max_packet_bytes);
    std::array<mmsghdr, batch> headers{};
    std::array<iovec, batch> vectors{};

    message_batch() {
        for (auto i = std::size_t{0}; i < batch; ++i) {
            vectors[i] = iovec{memory.data() + i * max_packet_bytes, max_packet_bytes};
            headers[i].msg_hdr.msg_iov = &vectors[i];
            headers[i].msg_hdr.msg_iovlen = 1;
        }
    }
};

auto loopback(std::uint16_t port) -> endpoint {
    return {*parse_ip_address("127.0.0.1"), port};
}

auto local_address(const file_descriptor& socket) -> endpoint {
    auto address = sockaddr_storage{};
    auto length = socklen_t{sizeof(address)};
    ::getsockname(socket.value(), reinterpret_cast<sockaddr*>(&address), &length);
    return from_socket_address(address);
}

auto open_or_exit(const endpoint& local) -> file_descriptor {
    auto socket = open_udp_socket(local, false);
    if (!socket) {
        std::fprintf(stderr, "%s\n", to_text(socket.error()).c_str());
        std::exit(1);
    }
    return std::move(*socket);
}

// Forwards packets without inspecting them.
auto run_relay(const file_descriptor& socket, const endpoint& to, const std::atomic<bool>& is_done) -> void {
    auto messages = message_batch{};
    auto address = sockaddr_storage{};
    const auto length = to_socket_address(to, address);
    while (!is_done) {
        auto ready = pollfd{socket.value(), POLLIN, 0};
        if (::poll(&ready, 1, 50) <= 0) {
            continue;
        }
        for (auto i = std::size_t{0}; i < batch; ++i) {
            messages.vectors[i].iov_len = max_packet_bytes;
            messages.headers[i].msg_hdr.msg_name = nullptr;
            messages.headers[i].msg_hdr.msg_namelen = 0;
        }
        const auto received =
            ::recvmmsg(socket.value(), messages.headers.data(), batch, MSG_DONTWAIT, nullptr);
        for (auto i = 0; i < received; ++i) {
            messages.vectors[static_cast<std::size_t>(i)].iov_len =
                messages.headers[static_cast<std::size_t>(i)].msg_len;
            messages.headers[static_cast<std::size_t>(i)].msg_hdr.msg_name = &address;
            messages.headers[static_cast<std::size_t>(i)].msg_hdr.msg_namelen = length;
        }
        for (auto sent = 0; sent < received;) {
            const auto more = ::sendmmsg(socket.value(), messages.headers.data() + sent,
                                         static_cast<unsigned>(received - sent), 0);
            sent += std::max(more, 1);
        }
    }
}

// Sends packets, with a bounded number in flight, and counts those that return. Returns packets per second.
auto measure_packet_rate(const file_descriptor& socket, const endpoint& to,
                         const std::vector<std::uint8_t>& packet) -> double {
    auto outgoing = message_batch{};
    auto incoming = message_batch{};
    auto address = sockaddr_storage{};
    const auto length = to_socket_address(to, address);
    for (auto i = std::size_t{0}; i < batch; ++i) {
        std::copy(packet.begin(), packet.end(),
                  outgoing.memory.begin() + static_cast<long>(i * max_packet_bytes));
        outgoing.vectors[i].iov_len = packet.size();
        outgoing.headers[i].msg_hdr.msg_name = &address;
        outgoing.headers[i].msg_hdr.msg_namelen = length;
    }
    auto sent = std::size_t{0};
    auto received = std::size_t{0};
    const auto start = std::chrono::steady_clock::now();
    while (received < packets_per_round) {
        if (sent < packets_per_round && sent - received + batch <= max_in_flight) {
            const auto more = ::sendmmsg(socket.value(), outgoing.headers.data(), batch, 0);
            sent += static_cast<std::size_t>(std::max(more, 0));
        }
        const auto got = ::recvmmsg(socket.value(), incoming.headers.data(), batch, MSG_DONTWAIT, nullptr);
        if (got > 0) {
            received += static_cast<std::size_t>(got);
        } else if (sent - received + batch > max_in_flight || sent >= packets_per_round) {
            auto ready = pollfd{socket.value(), POLLIN, 0};
            if (::poll(&ready, 1, 200) == 0) {
                received = sent;  // the rest was lost; the rate covers fewer packets
                if (sent >= packets_per_round) {
                    break;
                }
            }
        }
    }
    const auto seconds = std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
    return static_cast<double>(sent) / seconds;
}

auto build_flow_packet() -> std::vector<std::uint8_t> {
    auto spec = test::packet_spec{};
    spec.source = *parse_endpoint("10.200.0.1:5000");
    spec.destination = service_address(7);
    spec.timestamp_echo = 0x100 + 1;
    spec.payload.resize(200);
    const auto inner = test::build_packet(spec);
    auto packet = std::vector<std::uint8_t>(geneve_headroom);
    packet.insert(packet.end(), inner.begin(), inner.end());
    const auto* header = write_geneve(packet.data() + geneve_headroom, 1, relay_reason::none);
    return {header, static_cast<const std::uint8_t*>(packet.data() + packet.size())};
}

auto median(std::vector<double> values) -> double {
    std::sort(values.begin(), values.end());
    return values[values.size() / 2];
}

}  // namespace

auto compare_with_relay() -> int {
    const auto end = open_or_exit(loopback(0));
    const auto relay_socket = open_or_exit(loopback(0));
    const auto host_address = [] { return local_address(open_or_exit(loopback(0))); }();
    auto is_done = std::atomic<bool>{false};
    auto relay = std::thread([&] { run_relay(relay_socket, local_address(end), is_done); });

    const auto options =
        read_settings({"--data-address=" + to_text(host_address),
                       "--fabric-address=" + to_text(local_address(end)), "--config-file=none"});
    auto host = host_state(*options);
    host.link = plugin_registry<link_plugin>::instance().find("geneve");
    host.placement = plugin_registry<placement_plugin>::instance().find("carried");
    host.config.store(build_snapshot(build_large_configuration(service_total, target_total)));
    auto workers = start_workers(host);
    if (!workers) {
        std::fprintf(stderr, "%s\n", to_text(workers.error()).c_str());
        return 1;
    }
    const auto packet = build_flow_packet();
    auto ratios = std::vector<double>{};
    auto relay_rates = std::vector<double>{};
    auto host_rates = std::vector<double>{};
    for (auto round = 0; round < rounds; ++round) {
        relay_rates.push_back(measure_packet_rate(end, local_address(relay_socket), packet));
        host_rates.push_back(measure_packet_rate(end, host_address, packet));
        ratios.push_back(host_rates.back() / relay_rates.back());
    }
    is_done = true;
    host.is_done = true;
    relay.join();
    for (auto& worker : *workers) {
        worker.join();
    }
    const auto [low, high] = std::minmax_element(ratios.begin(), ratios.end());
    std::printf("relay_packets_per_second %.0f\nhost_packets_per_second %.0f\n", median(relay_rates),
                median(host_rates));
    std::printf("host_to_relay_ratio %.3f (median of %d rounds, %.3f to %.3f)\n", median(ratios), rounds,
                *low, *high);
    return 0;
}

}  // namespace agatepost::bench
