#include <algorithm>
#include <array>
#include <atomic>
#include <boost/histogram.hpp>

#include "core/histogram_func.h"

namespace agatepost {

namespace {

constexpr auto histogram_total = static_cast<std::size_t>(histogram_id::end);

// Number of copies of each histogram. Threads are spread over them, so that workers rarely write to the same
// cache line; hosts usually have fewer workers.
constexpr std::size_t shard_count = 16;

namespace bh = boost::histogram;
using bucket_axis = bh::axis::variable<double>;
using bucket_storage = bh::dense_storage<bh::accumulators::thread_safe<std::uint64_t>>;
using bucket_histogram = bh::histogram<std::tuple<bucket_axis>, bucket_storage>;

// One row of table/histograms.h.
struct histogram_row {
    std::string_view name;
    std::string_view help;
    std::vector<std::int64_t> bounds;
};

auto rows() -> const std::array<histogram_row, histogram_total>& {
    static const std::array<histogram_row, histogram_total> values = {{
#define HISTOGRAM(name, help, ...) {#name, help, {__VA_ARGS__}},
#include "table/histograms.h"
#undef HISTOGRAM
    }};
    return values;
}

// Boost's bins exclude their upper edge; half a unit above each whole bound makes the bounds inclusive.
auto make_histogram(const histogram_row& row) -> bucket_histogram {
    auto edges = std::vector<double>{-0.5};
    for (const auto bound : row.bounds) {
        edges.push_back(static_cast<double>(bound) + 0.5);
    }
    return bh::make_histogram_with(bucket_storage(), bucket_axis(edges));
}

// One copy of every histogram.
struct alignas(64) histogram_shard {
    std::vector<bucket_histogram> buckets;
    std::array<std::atomic<std::uint64_t>, histogram_total> sums{};

    histogram_shard() {
        for (const auto& row : rows()) {
            buckets.push_back(make_histogram(row));
        }
    }
};

auto shards() -> std::array<histogram_shard, shard_count>& {
    static std::array<histogram_shard, shard_count> values;
    return values;
}

// Returns the shard of the calling thread. Shards are assigned round-robin.
auto own_shard() -> histogram_shard& {
    static std::atomic<std::size_t> next{0};
    thread_local const auto position = next.fetch_add(1, std::memory_order_relaxed) % shard_count;
    return shards()[position];
}

}  // namespace

auto observe(histogram_id which, std::int64_t value) -> void {
    const auto clamped = std::max<std::int64_t>(value, 0);
    auto& shard = own_shard();
    const auto position = static_cast<std::size_t>(which);
    shard.buckets[position](static_cast<double>(clamped));
    shard.sums[position].fetch_add(static_cast<std::uint64_t>(clamped), std::memory_order_relaxed);
}

auto histogram_content(histogram_id which) -> histogram_values {
    const auto position = static_cast<std::size_t>(which);
    auto values = histogram_values{};
    values.bounds = rows()[position].bounds;
    values.counts.resize(values.bounds.size() + 1);
    for (const auto& shard : shards()) {
        for (auto i = std::size_t{0}; i < values.counts.size(); ++i) {
            const auto bin = static_cast<std::uint64_t>(shard.buckets[position].at(static_cast<int>(i)));
            values.counts[i] += bin;
            values.total += bin;
        }
        values.sum += shard.sums[position].load(std::memory_order_relaxed);
    }
    return values;
}

auto histogram_name(histogram_id which) -> std::string_view {
    return rows()[static_cast<std::size_t>(which)].name;
}

auto histogram_help(histogram_id which) -> std::string_view {
    return rows()[static_cast<std::size_t>(which)].help;
}

}  // namespace agatepost
