// Benchmarks of the data path.

#include <benchmark/benchmark.h>

#include "flow/hash_func.h"

namespace {

auto bench_flow_id(benchmark::State& state) -> void {
    const auto key = agatepost::flow_key{};
    for (auto _ : state) {
        benchmark::DoNotOptimize(agatepost::id_of(key));
    }
}
BENCHMARK(bench_flow_id);

}  // namespace

BENCHMARK_MAIN();
