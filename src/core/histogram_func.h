// Process-wide histograms, one for each row of table/histograms.h.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace agatepost {

// Names of the histograms, in the order of table/histograms.h.
enum class histogram_id : std::size_t {
#define HISTOGRAM(name, help, ...) name,
#include "table/histograms.h"
#undef HISTOGRAM
    end,  // number of histograms
};

// A snapshot of a histogram.
struct histogram_values {
    std::vector<std::int64_t> bounds;   // inclusive upper bounds of the buckets
    std::vector<std::uint64_t> counts;  // one for each bound, then one for values above the last bound
    std::uint64_t total = 0;            // sum of `counts`
    std::uint64_t sum = 0;              // sum of the observed values, in the histogram's unit
};

// Adds a value; a negative one counts as 0. Safe from any thread; takes no lock.
auto observe(histogram_id which, std::int64_t value) -> void;

// Returns the values observed since the start of the process.
auto histogram_content(histogram_id which) -> histogram_values;

auto histogram_name(histogram_id which) -> std::string_view;
auto histogram_help(histogram_id which) -> std::string_view;

}  // namespace agatepost
