// Whether this host reaches targets at all. Free functions over a plain struct; no input, output or clock.
//
// Answers a host that is cut off from the targets while clients still reach it: it would take openings and
// packets that go nowhere until their clients give up. Such a host leaves the rotation, so that its flows go
// on through others, and refuses openings at once, so that clients come again from another port and mostly at
// another host. Targets that are full are silent too, but some client still gets answers then; and where few
// targets are silent, it is these that are away. Replayed by
// `host_that_reaches_no_target_refuses_at_once` in tests/edge_reach_test.cpp.
#pragma once

#include <cstdint>

#include "core/clock_type.h"

namespace agatepost::edge {

// Unanswered openings, and the time over which they came, without a sign of any target.
constexpr std::uint32_t cut_off_openings = 8;
constexpr std::int64_t cut_off_ms = 200;

// How long a host that is cut off stays out of the rotation before it tries again, if other hosts are heard,
// and at most.
constexpr std::int64_t cut_pause_ms = 4000;
constexpr std::int64_t cut_pause_limit_ms = 15000;
constexpr std::int64_t heard_lately_ms = 1000;

// Interval of openings that are sent all the same, to see if the cut has healed.
constexpr std::int64_t cut_probe_ms = 200;

// What this host saw of the way to the targets.
struct reach_state {
    std::uint32_t silent_openings = 0;  // since the last sign of a target
    time_ms first_silent;               // when the first of these was given up
    time_ms cut_since;                  // zero: not cut off
    time_ms last_probe;
    time_ms last_peer;  // when another host was heard
};

// Notes that a target answered a client through this host.
auto note_answer(reach_state& reach) -> void;

// Notes that an opening stayed without an answer. Returns whether so many did, over so long a time, that this
// host may be cut off.
auto note_silence(reach_state& reach, time_ms at) -> bool;

// Notes that this host is cut off, as far as it can tell.
auto note_cut_off(reach_state& reach, time_ms at) -> void;

// Returns whether this host reaches no target. Ends a pause that has lasted long enough.
auto is_cut_off(reach_state& reach, time_ms at) -> bool;

// Returns whether an opening is to be sent although this host is cut off.
auto takes_probe(reach_state& reach, time_ms at) -> bool;

}  // namespace agatepost::edge
