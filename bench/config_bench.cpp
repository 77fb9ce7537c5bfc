// Configuration at design size: 170,000 targets in 31,000 services, each with its own pool. Reports time and
// heap for the first listing and for one changed target, and for comparison a full build of the snapshot.

#include <benchmark/benchmark.h>
#include <malloc.h>

#include <nlohmann/json.hpp>

#include "config/config_func.h"
#include "config/config_keeper_base.h"
#include "config/snapshot_func.h"

namespace agatepost {

namespace {

constexpr auto service_total = 31000;
constexpr auto target_total = 170000;

auto address_text(int network, int number) -> std::string {
    return std::to_string(network) + "." + std::to_string(number >> 16) + "." +
           std::to_string((number >> 8) & 255) + "." + std::to_string(number & 255);
}

auto target_document(int number, bool is_draining) -> std::string {
    const auto pool = number % service_total;
    return nlohmann::json{{"name", "pool-" + std::to_string(pool) + "-target-" + std::to_string(number)},
                          {"pool", "pool-" + std::to_string(pool)},
                          {"index", 1 + number / service_total},
                          {"address", address_text(10, number)},
                          {"zone", "zone-" + std::to_string(number % 16)},
                          {"health_port", 9000},
                          {"slots", 3},
                          {"state", is_draining ? "draining" : "ready"}}
        .dump();
}

auto target_key(int number) -> std::string {
    const auto pool = number % service_total;
    return std::string(config_prefix) + "target/pool-" + std::to_string(pool) + "-target-" +
           std::to_string(number);
}

auto make_listing() -> store_listing {
    auto listing = store_listing{300000, {}};
    auto revision = std::uint64_t{1};
    for (auto i = 0; i < 20; ++i) {
        const auto name = "profile-" + std::to_string(i);
        listing.values[std::string(config_prefix) + "profile/" + name] = {
            nlohmann::json{{"name", name}}.dump(), ++revision};
    }
    for (auto i = 0; i < service_total; ++i) {
        const auto name = "service-" + std::to_string(i);
        listing.values[std::string(config_prefix) + "service/" + name] = {
            nlohmann::json{{"name", name},
                           {"address", address_text(100, i)},
                           {"port", 443},
                           {"pool", "pool-" + std::to_string(i)},
                           {"target_port", 8443},
                           {"profile", "profile-" + std::to_string(i % 20)}}
                .dump(),
            ++revision};
    }
    for (auto i = 0; i < target_total; ++i) {
        listing.values[target_key(i)] = {target_document(i, false), ++revision};
    }
    return listing;
}

auto heap_bytes() -> double {
    const auto info = mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd);
}

constexpr double megabyte = 1024.0 * 1024.0;

auto bench_first_listing(benchmark::State& state) -> void {
    const auto listing = make_listing();
    for (auto _ : state) {
        const auto before = heap_bytes();
        auto keeper = config_keeper{};
        keeper.apply_listing(listing);
        state.counters["heap_MB"] = (heap_bytes() - before) / megabyte;
    }
}
BENCHMARK(bench_first_listing)->Unit(benchmark::kMillisecond);

// One changed target: from the event to the new snapshot. The previous snapshot stays referenced meanwhile,
// as by a packet worker.
auto bench_one_change(benchmark::State& state) -> void {
    auto keeper = config_keeper{};
    { keeper.apply_listing(make_listing()); }
    const auto before = heap_bytes();
    auto number = 0;
    auto held = keeper.current();
    for (auto _ : state) {
        number = (number + 7919) % target_total;
        const auto revision = keeper.revision();
        keeper.apply_events(revision, {{target_key(number), target_document(number, true), revision + 1}});
        held = keeper.current();
    }
    state.counters["heap_growth_MB"] = (heap_bytes() - before) / megabyte;
}
BENCHMARK(bench_one_change)->Unit(benchmark::kMicrosecond);

// The same change with a snapshot built from scratch.
auto bench_one_change_full_build(benchmark::State& state) -> void {
    auto keeper = config_keeper{};
    keeper.apply_listing(make_listing());
    const auto config = keeper.all();
    for (auto _ : state) {
        benchmark::DoNotOptimize(build_snapshot(config));
    }
}
BENCHMARK(bench_one_change_full_build)->Unit(benchmark::kMicrosecond);

// The CBOR delta for a peer that is one change behind.
auto bench_delta_of_one_change(benchmark::State& state) -> void {
    auto keeper = config_keeper{};
    keeper.apply_listing(make_listing());
    for (auto i = 0; i < 20000; ++i) {
        const auto revision = keeper.revision();
        keeper.apply_events(revision, {{target_key(i), target_document(i, true), revision + 1}});
    }
    auto bytes = std::size_t{0};
    for (auto _ : state) {
        bytes = to_cbor(keeper.delta_since(keeper.revision() - 1)).size();
    }
    state.counters["bytes"] = static_cast<double>(bytes);
}
BENCHMARK(bench_delta_of_one_change)->Unit(benchmark::kMicrosecond);

}  // namespace

}  // namespace agatepost
