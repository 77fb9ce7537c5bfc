// Runs all micro-benchmarks, then compares forwarding through a host with a plain relay. Flags of the
// benchmark library select micro-benchmarks; --relay-only runs only the comparison.

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
