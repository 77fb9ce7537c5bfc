#include <absl/base/thread_annotations.h>
#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>

#include <array>
#include <atomic>
#include <memory>

#include "core/counter_func.h"

namespace agatepost {

namespace {

constexpr auto counter_total = static_cast<std::size_t>(counter::end);

// Each value has its own cache line, which avoids false sharing between worker threads.
struct alignas(64) counter_cell {
    std::atomic<std::uint64_t> value{0};
};

auto cells() -> std::array<counter_cell, counter_total>& {
    static std::array<counter_cell, counter_total> values;
    return values;
}

// The counters of one service.
struct service_cells {
    std::string name;
    std::array<std::atomic<std::uint64_t>, counter_total> values{};
};

// The services with counters of their own. Cells are never removed, so pointers to them stay valid.
struct service_table {
    absl::Mutex mutex;
    absl::flat_hash_map<std::string, service_cells*> by_name ABSL_GUARDED_BY(mutex);
    std::vector<std::unique_ptr<service_cells>> cells ABSL_GUARDED_BY(mutex);
};

auto services() -> service_table& {
    static service_table table;
    return table;
}

auto find_cells(std::string_view name) -> service_cells* {
    auto& table = services();
    const auto lock = absl::MutexLock(&table.mutex);
    const auto found = table.by_name.find(absl::string_view(name.data(), name.size()));
    return found == table.by_name.end() ? nullptr : found->second;
}

auto add_cells(std::string_view name) -> service_cells* {
    auto& table = services();
    const auto lock = absl::MutexLock(&table.mutex);
    // The last entry is shared by all services beyond the limit.
    const auto counted_name = table.cells.size() + 1 < service_counter_limit ? name : other_services;
    auto& cells = table.by_name[std::string(counted_name)];
    if (cells == nullptr) {
        table.cells.push_back(std::make_unique<service_cells>());
        cells = table.cells.back().get();
        cells->name = counted_name;
    }
    return cells;
}

// Returns the cells of a service; adds them on first use. Looks in a thread-local cache first, without a
// lock.
auto cells_of(std::string_view name) -> service_cells& {
    thread_local auto cache = absl::flat_hash_map<std::string, service_cells*>();
    const auto known = cache.find(absl::string_view(name.data(), name.size()));
    if (known != cache.end()) {
        return *known->second;
    }
    auto* cells = find_cells(name);
    if (cells == nullptr) {
        cells = add_cells(name);
    }
    // Bounds the cache in long-running processes whose services change.
    if (cache.size() >= 4 * service_counter_limit) {
        cache.clear();
    }
    cache.emplace(std::string(name), cells);
    return *cells;
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

auto count(counter which, std::string_view service_name, std::uint64_t amount) -> void {
    count(which, amount);
    cells_of(service_name)
        .values[static_cast<std::size_t>(which)]
        .fetch_add(amount, std::memory_order_relaxed);
}

auto counter_value(counter which, std::string_view service_name) -> std::uint64_t {
    const auto* cells = find_cells(service_name);
    return cells == nullptr ? 0
                            : cells->values[static_cast<std::size_t>(which)].load(std::memory_order_relaxed);
}

auto counted_services() -> std::vector<std::string> {
    auto& table = services();
    const auto lock = absl::MutexLock(&table.mutex);
    auto result = std::vector<std::string>{};
    for (const auto& cells : table.cells) {
        result.push_back(cells->name);
    }
    return result;
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
