#include "core/clock_type.h"
#include "core/histogram_func.h"
#include "host/forward_func.h"
#include "host/worker_func.h"

namespace agatepost {

namespace {

// Limits how long a packet built by a timer waits for a worker while no packets arrive.
constexpr int poll_limit_ms = 10;
constexpr std::size_t pending_batch = 64;

// Moves the packets that timers and message handlers have queued into the sink.
auto add_pending_packets(host_state& host, packet_sink& sink) -> void {
    for (const auto& packet : host.flows.outgoing.take(pending_batch)) {
        if (packet.relay == relay_reason::none) {
            sink.copy_to_fabric(packet.data.data(), packet.data.size());
        } else {
            sink.copy_to_host(packet.host, packet.relay, packet.data.data(), packet.data.size());
        }
    }
}

// One batch in 16 and one packet in 64 are observed; observing each one would slow down the packet path.
constexpr std::size_t batches_per_sample = 16;
constexpr std::size_t packets_per_sample = 64;

// Numbers of batches and packets that a worker receives before its next samples.
struct sample_state {
    std::size_t batches_left = 0;
    std::size_t packets_left = 0;
};

// Observes the sizes of some batches and packets.
auto observe_sizes(const std::vector<received_packet>& received, sample_state& state) -> void {
    if (state.batches_left == 0) {
        state.batches_left = batches_per_sample;
        observe(histogram_id::batch_size_packets, static_cast<std::int64_t>(received.size()));
    }
    --state.batches_left;
    while (state.packets_left < received.size()) {
        observe(histogram_id::packet_size_bytes,
                static_cast<std::int64_t>(received[state.packets_left].size));
        state.packets_left += packets_per_sample;
    }
    state.packets_left -= received.size();
}

// Receives batches and forwards them until the host is done.
auto run_worker(host_state& host, link_port& port) -> void {
    auto received = std::vector<received_packet>{};
    auto sink = packet_sink{};
    auto samples = sample_state{};
    while (!host.is_done) {
        received.clear();
        sink.clear();
        host.link->receive_some(port, poll_limit_ms, received);
        add_pending_packets(host, sink);
        if (!received.empty()) {
            const auto at = now();
            host.last_packet_ms = at.value;
            observe_sizes(received, samples);
            const auto config = host.config.load();
            const auto view = host.view.load();
            const auto context =
                forward_context{config.get(), view.get(), host.placement, host.flows.zone, &host.flows, at};
            for (const auto& packet : received) {
                forward_packet(context, packet, sink);
            }
        }
        if (!sink.packets().empty()) {
            host.link->send_all(port, sink.packets());
        }
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
