#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <deque>

#include "core/clock_type.h"
#include "core/history_func.h"

namespace agatepost {

namespace {

constexpr auto kind_total = static_cast<std::size_t>(history_kind::end);
constexpr std::array<std::string_view, kind_total> kind_names = {"host", "membership", "configuration",
                                                                 "health", "refusal"};

// Lock-free rate limit: admits history_rate_limit calls each second. A race at the change of the second can
// admit a few more.
class per_second_limit {
public:
    auto admit(std::int64_t second) -> bool {
        if (second_.exchange(second, std::memory_order_relaxed) != second) {
            used_.store(0, std::memory_order_relaxed);
        }
        if (used_.fetch_add(1, std::memory_order_relaxed) < history_rate_limit) {
            return true;
        }
        left_out_.fetch_add(1, std::memory_order_relaxed);
        return false;
    }

    // Returns the number of calls that were not admitted since the last collection, and resets it.
    auto collect_left_out() -> std::uint64_t { return left_out_.exchange(0, std::memory_order_relaxed); }

private:
    std::atomic<std::int64_t> second_{0};
    std::atomic<std::uint32_t> used_{0};
    std::atomic<std::uint64_t> left_out_{0};
};

struct history_state {
    std::array<per_second_limit, kind_total> limits;
    absl::Mutex mutex;
    std::uint64_t next_sequence ABSL_GUARDED_BY(mutex) = 1;
    std::array<std::deque<history_entry>, kind_total> rings ABSL_GUARDED_BY(mutex);
};

auto state() -> history_state& {
    static history_state instance;
    return instance;
}

}  // namespace

auto record_history(history_kind kind, absl::FunctionRef<history_fields()> fields) -> void {
    auto& shared = state();
    auto& limit = shared.limits[static_cast<std::size_t>(kind)];
    if (!limit.admit(now().value / 1000)) {
        return;
    }
    auto entry = history_entry{};
    entry.kind = kind;
    entry.fields = fields();
    const auto lock = absl::MutexLock(&shared.mutex);
    entry.time_ms = wall_clock_ms();
    entry.left_out = limit.collect_left_out();
    entry.sequence = shared.next_sequence++;
    auto& ring = shared.rings[static_cast<std::size_t>(kind)];
    if (ring.size() == history_capacity) {
        ring.pop_front();
    }
    ring.push_back(std::move(entry));
}

auto record_history(history_kind kind, std::initializer_list<log_field> fields) -> void {
    record_history(kind, [&] {
        auto copied = history_fields{};
        for (const auto& field : fields) {
            copied.emplace_back(field.key, field.value);
        }
        return copied;
    });
}

auto recent_history(std::optional<history_kind> kind) -> std::vector<history_entry> {
    auto& shared = state();
    auto entries = std::vector<history_entry>{};
    {
        const auto lock = absl::MutexLock(&shared.mutex);
        for (auto i = std::size_t{0}; i < kind_total; ++i) {
            if (!kind || static_cast<std::size_t>(*kind) == i) {
                entries.insert(entries.end(), shared.rings[i].begin(), shared.rings[i].end());
            }
        }
    }
    std::sort(entries.begin(), entries.end(),
              [](const auto& a, const auto& b) { return a.sequence < b.sequence; });
    return entries;
}

auto to_text(history_kind kind) -> std::string_view {
    return kind_names[static_cast<std::size_t>(kind)];
}

auto parse_history_kind(std::string_view name) -> std::optional<history_kind> {
    for (auto i = std::size_t{0}; i < kind_total; ++i) {
        if (kind_names[i] == name) {
            return static_cast<history_kind>(i);
        }
    }
    return std::nullopt;
}

}  // namespace agatepost
