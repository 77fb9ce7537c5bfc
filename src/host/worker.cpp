#include "core/clock_type.h"
#include "host/forward_func.h"
#include "host/worker_func.h"

namespace agatepost {

namespace {

constexpr int poll_limit_ms = 100;  // bounds how long a stopped host waits for its workers

// Receives batches and forwards them until the host is done.
auto run_worker(host_state& host, link_port& port) -> void {
    auto received = std::vector<received_packet>{};
    auto sink = packet_sink{};
    while (!host.is_done) {
        received.clear();
        sink.clear();
        host.link->receive_some(port, poll_limit_ms, received);
        if (received.empty()) {
            continue;
        }
        host.last_packet_ms = now().value;
        const auto config = host.config.load();
        const auto view = host.view.load();
        const auto context =
            forward_context{config.get(), view.get(), host.placement, host.options.text("zone")};
        for (const auto& packet : received) {
            forward_packet(context, packet, sink);
        }
        host.link->send_all(port, sink.packets());
    }
}

}  // namespace

auto start_workers(host_state& host) -> result<std::vector<std::thread>> {
    auto options = link_options{};
    options.local = host.options.address("data-address");
    options.fabric = host.options.address("fabric-address");
    options.vni = static_cast<std::uint32_t>(host.options.number("vni"));
    auto threads = std::vector<std::thread>{};
    for (auto i = std::int64_t{0}; i < host.options.number("workers"); ++i) {
        auto port = host.link->open(options);
        if (!port) {
            host.is_done = true;
            for (auto& thread : threads) {
                thread.join();
            }
            return tl::unexpected<error>(port.error());
        }
        threads.emplace_back([&host, owned = std::move(*port)] { run_worker(host, *owned); });
    }
    return threads;
}

}  // namespace agatepost
