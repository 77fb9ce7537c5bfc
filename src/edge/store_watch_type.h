// Plain types of the decision which hosts of a zone watch the store.
#pragma once

#include <cstdint>
#include <optional>

#include "core/clock_type.h"

namespace agatepost::edge {

// Times of watches and takeovers, in milliseconds. They follow from the bound for changes.
struct watch_timing {
    std::int64_t wait_ms = 0;             // a watch without changes is answered after this time
    std::int64_t takeover_ms = 0;         // age of the view at which the next host of the zone watches
    std::int64_t latest_takeover_ms = 0;  // age of the view at which each host watches
    std::int64_t current_ms = 0;          // a younger view counts as current

    friend auto operator==(const watch_timing& a, const watch_timing& b) -> bool {
        return a.wait_ms == b.wait_ms && a.takeover_ms == b.takeover_ms &&
               a.latest_takeover_ms == b.latest_takeover_ms && a.current_ms == b.current_ms;
    }
};

// The latest times at which the own view had all changes of the store, by the reports of other hosts.
struct view_confirmations {
    std::optional<time_ms> by_zone;   // by hosts of the own zone with a lower address
    std::optional<time_ms> by_fleet;  // by any host

    friend auto operator==(const view_confirmations& a, const view_confirmations& b) -> bool {
        return a.by_zone == b.by_zone && a.by_fleet == b.by_fleet;
    }
};

}  // namespace agatepost::edge
