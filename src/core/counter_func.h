// Process-wide event counters, one for each row of table/counters.h.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace agatepost {

// Names of the counters, in the order of table/counters.h.
enum class counter : std::size_t {
#define COUNTER(name, help) name,
#include "table/counters.h"
#undef COUNTER
    end,  // number of counters
};

// Number of services with counters of their own, at 8 bytes for each counter. Services beyond the limit are
// counted together under the name other_services.
constexpr std::size_t service_counter_limit = 1024;
constexpr std::string_view other_services = "_other";

// Adds to a counter. Safe from any thread.
auto count(counter which, std::uint64_t amount = 1) -> void;

// Adds to a counter and to the same counter of one service. Safe from any thread; takes a lock only at the
// first use of a service in each thread.
auto count(counter which, std::string_view service_name, std::uint64_t amount = 1) -> void;

// Returns the value of a counter since the start of the process.
auto counter_value(counter which) -> std::uint64_t;

// Returns the value of a counter of one service; 0 for a service without counters of its own.
auto counter_value(counter which, std::string_view service_name) -> std::uint64_t;

// Returns the names of all services that have counters, in the order of their first use.
auto counted_services() -> std::vector<std::string>;

// Returns the counter's name, which metrics show with a prefix and suffix.
auto counter_name(counter which) -> std::string_view;

// Returns the counter's one-line description.
auto counter_help(counter which) -> std::string_view;

}  // namespace agatepost
