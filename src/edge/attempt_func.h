// Tells whether the client of an unanswered SYN still waits for an answer. Free functions; no I/O, no clock.
//
// A target that is down while its machine runs resets a SYN, straight to the client, which tries again at
// once from another port. This host sees no more of the first attempt. Sending its SYN to further targets
// opens connections that nobody uses, and their silence says nothing about the targets. Replayed by
// `refusing_target_leaves_the_service_free` in tests/edge_attempt_test.cpp.
#pragma once

#include <cstdint>

#include "core/clock_type.h"
#include "edge/edge_type.h"

namespace agatepost::edge {

// A client gives up an attempt this long after its first SYN.
constexpr std::int64_t attempt_duration_ms = 1400;

// Allowance for a copy of a SYN that was sent, but not handled yet by this host.
constexpr std::int64_t copy_delay_ms = 100;

// Returns the time since the first SYN of an attempt when the client sends the copy of this number, or gives
// up.
auto attempt_age_ms(std::uint32_t copy) -> std::int64_t;

// Returns whether the client has given up an attempt that began at `start`: the copy after the number
// `last_copy` should have arrived. It may have been lost, or have gone through another host; a later one
// begins the attempt anew.
auto is_abandoned(time_ms start, std::uint32_t last_copy, time_ms at) -> bool;

// Returns whether two flows are of one client and one service address.
auto is_of_same_client(const flow_key& a, const flow_key& b) -> bool;

}  // namespace agatepost::edge
