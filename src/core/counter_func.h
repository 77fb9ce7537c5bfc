// Process-wide event counters, one for each row of table/counters.h.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace agatepost {

// Names of the counters, in the order of table/counters.h.
enum class counter : std::size_t {
#define COUNTER(name, help) name,
#include "table/counters.h"
#undef COUNTER
    end,  // number of counters
};

// Adds to a counter. Safe from any thread.
auto count(counter which, std::uint64_t amount = 1) -> void;

// Returns the value of a counter since the start of the process.
auto counter_value(counter which) -> std::uint64_t;

// Returns the counter's name as used in metrics.
auto counter_name(counter which) -> std::string_view;

// Returns the counter's one-line description.
auto counter_help(counter which) -> std::string_view;

}  // namespace agatepost
