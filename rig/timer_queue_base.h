// Timers of the rig's event loop.
#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <limits>
#include <utility>
#include <vector>

namespace agatepost::rig {

// Runs actions at their due time; actions due in the same millisecond run in the order of addition.
class timer_queue {
public:
    // Schedules an action for `due_ms`.
    auto add(std::int64_t due_ms, std::function<void()> action) -> void {
        entries_.push_back(entry{due_ms, next_order_++, std::move(action)});
        std::push_heap(entries_.begin(), entries_.end());
    }

    // Runs all due actions, including those added while it runs.
    auto run_due(std::int64_t now_ms) -> void {
        while (!entries_.empty() && entries_.front().due_ms <= now_ms) {
            std::pop_heap(entries_.begin(), entries_.end());
            const auto action = std::move(entries_.back().action);
            entries_.pop_back();
            action();
        }
    }

    // Returns when the next action is due, or the largest value if there is none.
    auto next_due_ms() const -> std::int64_t {
        return entries_.empty() ? std::numeric_limits<std::int64_t>::max() : entries_.front().due_ms;
    }

private:
    struct entry {
        std::int64_t due_ms;
        std::uint64_t order;
        std::function<void()> action;

        // Reversed, so that the earliest entry is the top of the heap.
        friend auto operator<(const entry& a, const entry& b) -> bool {
            return a.due_ms != b.due_ms ? a.due_ms > b.due_ms : a.order > b.order;
        }
    };

    std::vector<entry> entries_;
    std::uint64_t next_order_ = 0;
};

}  // namespace agatepost::rig
