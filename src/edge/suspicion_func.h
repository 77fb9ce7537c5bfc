// Which targets are believed silent or dead, by what clients' packets show. Free functions over what is
// known; no input, output or clock.
//
// Answers the loss of targets while flows are open: without it, clients wait at a dead target until its
// registration lapses. A host sees the same signs when its own packets are lost, when its link is full, and
// while hosts of its zone start: openings and data stay unanswered, and clients retransmit. So silence counts
// against a target only while most other targets make progress over the same host. Replayed by
// `flows_of_a_dead_target_are_reset` and `lossy_way_resets_no_open_flow` in tests/edge_suspicion_test.cpp.
#pragma once

#include <cstdint>

#include "edge/directory_base.h"

namespace agatepost::edge {

// Unanswered openings in a row that make a target a suspect, and for how long; doubled with each further one
// up to the limit, since each trial of a target beyond a cut delays a client by open_timeout_ms.
constexpr std::uint32_t suspect_after_opens = 2;
constexpr std::int64_t suspect_ms = 800;
constexpr std::int64_t suspect_limit_ms = 3200;

// Flows that retransmit while no flow of the target makes progress, after which the target is doubted: the
// next openings go to it, and if these stay unanswered, the target is taken for dead, for some time. Requests
// of a live target under overload take as long as those of a dead one, but it answers openings.
constexpr std::uint32_t doubted_after_flows = 3;
constexpr std::int64_t dead_ms = 1000;

// Signs of a stall that are older say nothing of now. A client retransmits with pauses of up to 1.6 s; the
// first three pauses are shorter than this.
constexpr std::int64_t stall_memory_ms = 1000;

// A target that left an opening unanswered gets no other for this long, about the time in which a slot comes
// free; doubled up to the limit.
constexpr std::int64_t full_ms = 50;
constexpr std::uint32_t most_full_doublings = 4;

// Doubts in a row that openings ended, without progress of any flow, after which the target is taken for
// hung: it answers openings and nothing else. Each takes several retransmissions, so they last for about a
// second.
constexpr std::uint32_t hung_after_doubts = 3;

// Silent targets, or half of all if these are fewer, that make a host believe itself cut off.
constexpr std::size_t cut_off_targets = 8;

// After this host or many of the zone have started, clients retransmit what was lost before and during the
// start, with pauses of 200, 400 and 800 ms, and flows change hosts. Silence says nothing of targets for that
// time.
constexpr std::int64_t settle_ms = 2000;

// What a sign did to the belief in a target.
enum class suspicion_change {
    none,     // nothing that others need to know
    suspect,  // it gets no new flows for a while
    dead,     // the same, and its flows that can be repeated are reset
};

// Forgets which flows of a target stall.
auto forget_stalls(target_load& load) -> void;

// Notes progress: the client has got more bytes of the target.
auto note_progress(target_load& load, time_ms at) -> void;

// Notes that an opening stayed without an answer for open_timeout_ms: the target is full, or dead, or not to
// be reached. It gets no other for a pause, which is doubled until it answers anybody.
auto note_unanswered(target_load& load, time_ms at) -> void;

// Returns whether a client got an answer of the target after `since`, and within `stall_memory_ms`.
auto has_answered_since(const target_load& load, time_ms since, time_ms at) -> bool;

// Notes that a target answered an opening that this host sent to it.
auto note_answered_opening(target_load& load, time_ms at) -> void;

// Notes that a flow of a target retransmits; `stalled_epoch` is the flow's. Enough flows that stall make the
// target doubted, or dead if openings were answered and nothing else.
auto note_retransmission(directory& known, target_index index, std::uint32_t& stalled_epoch, time_ms at)
    -> suspicion_change;

// Notes that an opening sent to a target at `sent` has stayed without an answer, while another target
// answered it. A doubted target is dead then.
auto note_silent_opening(directory& known, target_index index, time_ms sent, time_ms at) -> suspicion_change;

// Notes that this host, or one of many that start in the zone, has been running since `started`. For
// `settle_ms` after it no target is taken for dead, and what seemed to be one is forgotten.
auto note_start_in_zone(directory& known, time_ms started, time_ms at) -> void;

// Returns whether targets of several zones, where there are several, leave openings unanswered, and so many
// that it is not for them: this host does not reach them.
auto are_targets_silent(const directory& known) -> bool;

// Returns whether silence says something of one target: hosts of the zone have been running for a while, and
// of the other targets at least as many make progress over this host as stall.
auto is_way_sound(const directory& known, target_index index, time_ms at) -> bool;

}  // namespace agatepost::edge
