// Benchmarks. Without arguments: all micro-benchmarks, then forwarding through a host against a bare relay.
// Flags of the benchmark library narrow the former; --relay-only runs the latter alone.

#include <benchmark/benchmark.h>

#include <cstring>

#include "relay_bench_func.h"

auto main(int argc, char** argv) -> int {
    const auto is_relay_only = argc == 2 && std::strcmp(argv[1], "--relay-only") == 0;
    if (!is_relay_only) {
        benchmark::Initialize(&argc, argv);
        if (benchmark::ReportUnrecognizedArguments(argc, argv)) {
            return 2;
        }
        benchmark::RunSpecifiedBenchmarks();
    }
    return agatepost::bench::compare_with_relay();
}
