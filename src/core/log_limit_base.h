// Rate limit of repeated log events.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "core/clock_type.h"

namespace agatepost {

// Admits a limited number of lines of each event in each window and counts the others. Not thread-safe.
class log_limit {
public:
    log_limit(std::uint32_t lines, std::int64_t window_ms) : lines_(lines), window_ms_(window_ms) {}

    // Returns the number of lines omitted before this one, or nothing if this one must be omitted.
    auto admit(std::uint16_t event, time_ms at) -> std::optional<std::uint64_t> {
        return admit(event, at, lines_);
    }

    // Overload for an event with its own limit.
    auto admit(std::uint16_t event, time_ms at, std::uint32_t lines) -> std::optional<std::uint64_t> {
        auto& state = events_[event];
        if (state.written == 0 || at - state.start >= window_ms_) {
            state.start = at;
            state.written = 0;
        }
        if (state.written >= lines) {
            ++state.left_out;
            return std::nullopt;
        }
        ++state.written;
        return std::exchange(state.left_out, 0);
    }

    // Returns the events with omitted lines whose window has ended, with the number of these lines, and
    // resets it. With `all`, also the events whose window has not ended.
    auto collect_left_out(time_ms at, bool all) -> std::vector<std::pair<std::uint16_t, std::uint64_t>> {
        auto collected = std::vector<std::pair<std::uint16_t, std::uint64_t>>{};
        for (auto& [event, state] : events_) {
            if (state.left_out != 0 && (all || at - state.start >= window_ms_)) {
                collected.emplace_back(event, std::exchange(state.left_out, 0));
            }
        }
        return collected;
    }

private:
    // Current window of one event.
    struct event_state {
        time_ms start;
        std::uint32_t written = 0;  // lines written in the window
        std::uint64_t left_out = 0;
    };

    std::uint32_t lines_;
    std::int64_t window_ms_;
    std::map<std::uint16_t, event_state> events_;
};

}  // namespace agatepost
