// Data path of one packet of an established flow, without sockets: parse, find the target, rewrite.

#include <benchmark/benchmark.h>

#include <random>

#include "../tests/packet_builder.h"
#include "bench_config_func.h"
#include "config/snapshot_func.h"
#include "host/forward_func.h"

namespace agatepost {

namespace {

// Packets of 300,000 flows, spread over all services, each carrying the index of its flow's target.
struct packet_set {
    snapshot_ptr config;
    std::vector<std::vector<std::uint8_t>> packets;
};

auto build_packets() -> packet_set {
    auto set = packet_set{};
    set.config = build_snapshot(bench::build_large_configuration(bench::service_total, bench::target_total));
    auto random = std::mt19937_64(1);
    for (auto i = std::size_t{0}; i < bench::flow_total; ++i) {
        auto spec = test::packet_spec{};
        spec.source = {bench::service_address(0x01000000U + i / 60000).address,
                       static_cast<std::uint16_t>(1024 + i % 60000)};
        spec.destination = bench::service_address(random() % bench::service_total);
        spec.timestamp_value = static_cast<std::uint32_t>(random());
        spec.timestamp_echo = 0x12345600U + 1 + static_cast<std::uint32_t>(random() % 5);
        spec.payload.resize(64);
        auto packet = std::vector<std::uint8_t>(geneve_headroom);
        const auto built = test::build_packet(spec);
        packet.insert(packet.end(), built.begin(), built.end());
        set.packets.push_back(std::move(packet));
    }
    std::shuffle(set.packets.begin(), set.packets.end(), random);
    return set;
}

auto bench_forward_packet(benchmark::State& state) -> void {
    const auto set = build_packets();
    const auto view = host_view{};
    const auto* placement = plugin_registry<placement_plugin>::instance().find("carried");
    auto flows = flow_state("zone-1");
    const auto context = forward_context{set.config.get(), &view, placement, "zone-1", &flows, time_ms{1000}};
    auto sink = packet_sink{};
    auto copy = std::vector<std::uint8_t>{};
    auto next = std::size_t{0};
    for (auto _ : state) {
        copy = set.packets[next];  // the packet is rewritten in place
        next = (next + 1) % set.packets.size();
        forward_packet(context,
                       received_packet{copy.data() + geneve_headroom, copy.size() - geneve_headroom, {}, {}},
                       sink);
        if (sink.packets().size() >= 64) {
            sink.clear();
        }
    }
    state.SetItemsProcessed(state.iterations());
}
BENCHMARK(bench_forward_packet);

}  // namespace

}  // namespace agatepost
