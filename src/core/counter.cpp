#include <array>
#include <atomic>

#include "core/counter_func.h"

namespace agatepost {

namespace {

constexpr auto counter_total = static_cast<std::size_t>(counter::end);

// Each value has its own cache line, so that worker threads do not contend.
struct alignas(64) counter_cell {
    std::atomic<std::uint64_t> value{0};
};

auto cells() -> std::array<counter_cell, counter_total>& {
    static std::array<counter_cell, counter_total> values;
    return values;
}

constexpr std::array<std::string_view, counter_total> names = {
#define COUNTER(name, help) #name,
#include "table/counters.h"
#undef COUNTER
};

constexpr std::array<std::string_view, counter_total> helps = {
#define COUNTER(name, help) help,
#include "table/counters.h"
#undef COUNTER
};

}  // namespace

auto count(counter which, std::uint64_t amount) -> void {
    cells()[static_cast<std::size_t>(which)].value.fetch_add(amount, std::memory_order_relaxed);
}

auto counter_value(counter which) -> std::uint64_t {
    return cells()[static_cast<std::size_t>(which)].value.load(std::memory_order_relaxed);
}

auto counter_name(counter which) -> std::string_view {
    return names[static_cast<std::size_t>(which)];
}

auto counter_help(counter which) -> std::string_view {
    return helps[static_cast<std::size_t>(which)];
}

}  // namespace agatepost
