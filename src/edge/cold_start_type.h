// Plain types of the limit on opening SYNs to cold targets.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "core/clock_type.h"

namespace agatepost::edge {

// Bounds of the opening SYNs that a cold target gets from all hosts together in any second, given the number
// `per_s` that it can handle: per_s x overage + slack.
struct cold_bounds {
    double overage = 1;
    double slack = 0;

    friend auto operator==(const cold_bounds& a, const cold_bounds& b) -> bool {
        return a.overage == b.overage && a.slack == b.slack;
    }
};

// State of this host's opening SYNs to one target.
struct cold_openings {
    // Number of hosts that rendezvous hashing prefers to this one for the target and that may still send to
    // it, although this host takes none of them for live; nothing: this host must not send.
    std::optional<std::uint32_t> rank;
    std::vector<time_ms> sent;         // times of the SYNs of the last `cold_window_ms`, oldest first
    std::int64_t logged_instance = 0;  // `started_ms` of the instance whose limit was logged
};

// Another host of the zone, as far as this host knows.
struct cold_zone_host {
    std::uint32_t address = 0;     // host byte order
    bool takes_new_flows = false;  // live and not stopping; otherwise it may still be sending

    friend auto operator==(const cold_zone_host& a, const cold_zone_host& b) -> bool {
        return a.address == b.address && a.takes_new_flows == b.takes_new_flows;
    }
};

}  // namespace agatepost::edge
