// Detects that this host is cut off from the targets. Free functions over a plain struct; no I/O, no clock.
//
// A host that is cut off while clients still reach it would accept SYNs and packets that reach no target
// until the clients give up. It leaves the rotation, so that its flows continue through other hosts, and
// refuses SYNs at once, so that clients retry from another port and mostly reach another host. Full targets
// leave SYNs unanswered too, but then some clients still get answers; if few targets are silent, these have
// failed. Test: `host_that_reaches_no_target_refuses_at_once` in tests/edge_reach_test.cpp.
#pragma once

#include <cstdint>

#include "core/clock_type.h"

namespace agatepost::edge {

// Unanswered SYNs, and the least time between the first and the last, without an answer from any target.
constexpr std::uint32_t cut_off_after_syns = 8;
constexpr std::int64_t cut_off_after_ms = 200;

// How long a host that is cut off stays out of the rotation before it tries again: if it has heard another
// host within `peer_heard_max_age_ms`, and otherwise.
constexpr std::int64_t cut_off_pause_ms = 4000;
constexpr std::int64_t max_cut_off_pause_ms = 15000;
constexpr std::int64_t peer_heard_max_age_ms = 1000;

// Interval of the SYNs that a host that is cut off still sends, to detect that it reaches targets again.
constexpr std::int64_t cut_off_probe_interval_ms = 200;

// Reachability of the targets from this host.
struct reach_state {
    std::uint32_t timed_out_syns = 0;  // SYNs that timed out since the last answer of any target
    time_ms first_timed_out;           // when the first of these timed out
    time_ms cut_off_since;             // zero: not cut off
    time_ms last_probe;
    time_ms last_peer_heard;  // when another host was last heard
};

// Records that a target answered a client through this host.
auto record_answer(reach_state& reach) -> void;

// Counts a SYN without an answer. Returns whether there have been enough, over enough time, for this host to
// be cut off.
auto count_syn_timeout(reach_state& reach, time_ms at) -> bool;

// Marks this host as cut off.
auto mark_cut_off(reach_state& reach, time_ms at) -> void;

// Returns whether this host is cut off. Clears the mark when the pause is over.
auto is_cut_off(reach_state& reach, time_ms at) -> bool;

// Returns whether a SYN is to be sent although this host is cut off; if so, starts the next interval.
auto start_probe_if_due(reach_state& reach, time_ms at) -> bool;

}  // namespace agatepost::edge
