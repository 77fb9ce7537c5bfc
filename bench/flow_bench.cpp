// Memory and speed of the flow tables with 300,000 flows. The requirement is 64 MB and 5,000 new flows per
// second on one core.

#include <benchmark/benchmark.h>
#include <unistd.h>

#include <fstream>
#include <memory>

#include "flow/flow_state_base.h"
#include "flow/hash_func.h"

namespace {

using namespace agatepost;

constexpr std::uint32_t held_flows = 300000;
constexpr std::size_t syn_size = 60;

// Returns the resident memory of the process in bytes.
auto resident_bytes() -> double {
    auto statm = std::ifstream("/proc/self/statm");
    auto total = 0.0;
    auto resident = 0.0;
    statm >> total >> resident;
    return resident * static_cast<double>(sysconf(_SC_PAGESIZE));
}

auto id_of_number(std::uint32_t n) -> flow_id {
    auto key = flow_key{};
    key.client.address.bytes[0] = static_cast<std::uint8_t>(n >> 24U);
    key.client.address.bytes[1] = static_cast<std::uint8_t>(n >> 16U);
    key.client.port = static_cast<std::uint16_t>(n);
    return id_of(key);
}

// Builds one pool of 255 targets, the maximum that an index can address, with one feed profile.
auto make_snapshot() -> snapshot {
    auto config = snapshot{};
    config.revision = 1;
    auto pool = snapshot_pool{"p", {}, {}};
    for (auto i = 1; i <= 255; ++i) {
        auto t = target{};
        t.name = "t" + std::to_string(i);
        t.index = static_cast<std::uint8_t>(i);
        t.zone = "z";
        t.connections = 2000;
        pool.targets.push_back(t);
    }
    config.pools.push_back(std::move(pool));
    auto found = snapshot_service{};
    found.rules.name = "f";
    found.rules.kind = flow_kind::feed;
    config.services.push_back(found);
    return config;
}

auto open_flow(pool_chooser& chooser, std::uint32_t n, time_ms at) -> void {
    static const auto syn = std::vector<std::uint8_t>(syn_size);
    const auto id = id_of_number(n);
    const auto opened = chooser.open(id, "f", n, syn.data(), syn.size(), at);
    chooser.answer(id, opened.target, "f", at);
}

auto report_memory(benchmark::State& state, double table, double resident) -> void {
    constexpr auto megabyte = 1e6;
    state.counters["table_MB"] = table / megabyte;
    state.counters["resident_MB"] = resident / megabyte;
}

// One new flow, one closed flow and a tenth of an expiry tick, with 300,000 flows at the chooser. Reports the
// rate of new flows.
auto bench_chooser_new_flows(benchmark::State& state) -> void {
    const auto before = resident_bytes();
    const auto config = make_snapshot();
    auto chooser = std::make_unique<pool_chooser>("p", "z", 1);
    chooser->configure(config, 0, {1000});
    for (auto n = std::uint32_t{0}; n < held_flows; ++n) {
        open_flow(*chooser, n, {1000});
    }
    const auto table = static_cast<double>(chooser->table_bytes());
    const auto resident = resident_bytes() - before;
    auto oldest = std::uint32_t{0};
    auto newest = held_flows;
    for (auto _ : state) {
        // 5,000 flows per second are 5 per millisecond.
        const auto at = time_ms{1000 + (newest - held_flows) / 5};
        open_flow(*chooser, newest, at);
        const auto closing = id_of_number(oldest);
        chooser->close(closing, flow_end::client, false, 0, true, "f", at);
        chooser->close(closing, flow_end::target, false, 0, true, "f", at);
        if (newest % 50 == 0) {
            benchmark::DoNotOptimize(chooser->expire(at));
        }
        ++oldest;
        ++newest;
    }
    state.SetItemsProcessed(state.iterations());
    report_memory(state, table, resident);
}
BENCHMARK(bench_chooser_new_flows)->Unit(benchmark::kMicrosecond);

// One new and one closed flow, with 300,000 flows at an owner.
auto bench_owner_new_flows(benchmark::State& state) -> void {
    const auto before = resident_bytes();
    auto table = std::make_unique<flow_table>();
    auto rules = profile{};
    rules.kind = flow_kind::feed;
    const auto open = [&](std::uint32_t n) {
        const auto id = id_of_number(n);
        if (table->find(id, "p", rules, ip_protocol::tcp, {1000}) == 0) {
            table->insert(id, "p", rules, ip_protocol::tcp, static_cast<std::uint8_t>(n % 255 + 1), {1000});
        }
    };
    for (auto n = std::uint32_t{0}; n < held_flows; ++n) {
        open(n);
    }
    const auto bytes = static_cast<double>(table->table_bytes());
    const auto resident = resident_bytes() - before;
    auto newest = held_flows;
    for (auto _ : state) {
        open(newest);
        table->close(id_of_number(newest - held_flows), flow_end::client, true, {1000});
        ++newest;
    }
    state.SetItemsProcessed(state.iterations());
    report_memory(state, bytes, resident);
}
BENCHMARK(bench_owner_new_flows)->Unit(benchmark::kMicrosecond);

// Memory of the whole flow state: 300,000 flows at the chooser, including the records of silent flows.
auto bench_flow_state_memory(benchmark::State& state) -> void {
    auto table = 0.0;
    auto resident = 0.0;
    for (auto _ : state) {
        const auto before = resident_bytes();
        const auto config = make_snapshot();
        auto flows = std::make_unique<flow_state>("z");
        const auto chooser = chooser_of(*flows, config, 0, {1000});
        for (auto n = std::uint32_t{0}; n < held_flows; ++n) {
            open_flow(*chooser, n, {1000});
            flows->notes.record_forward(id_of_number(n), n, true, 10000, 1800000, {1000});
        }
        table = static_cast<double>(chooser->table_bytes() + flows->notes.table_bytes() +
                                    flows->owned.table_bytes());
        resident = resident_bytes() - before;
    }
    report_memory(state, table, resident);
}
BENCHMARK(bench_flow_state_memory)->Unit(benchmark::kMillisecond)->Iterations(1);

// Lookup of an owner's entry: the cost per packet of a flow that cannot carry its target.
auto bench_owner_lookup(benchmark::State& state) -> void {
    auto table = std::make_unique<flow_table>();
    const auto rules = profile{};
    for (auto n = std::uint32_t{0}; n < held_flows; ++n) {
        table->insert(id_of_number(n), "p", rules, ip_protocol::udp, 1, {1000});
    }
    auto n = std::uint32_t{0};
    for (auto _ : state) {
        n = (n + 7919) % held_flows;
        benchmark::DoNotOptimize(table->find(id_of_number(n), "p", rules, ip_protocol::udp, {1000}));
    }
}
BENCHMARK(bench_owner_lookup);

// Records of silent flows: the cost added to each packet of a flow that carries its target.
auto bench_silence_note(benchmark::State& state) -> void {
    auto notes = std::make_unique<silence_table>();
    auto n = std::uint32_t{0};
    for (auto _ : state) {
        n = (n + 7919) % held_flows;
        benchmark::DoNotOptimize(notes->record_forward(id_of_number(n), n, true, 10000, 1800000, {1000}));
    }
}
BENCHMARK(bench_silence_note);

}  // namespace
