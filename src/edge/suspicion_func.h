// Passive failure detection: finds suspect and dead targets from packets of clients. Free functions; no I/O,
// no clock.
//
// Without it, clients of a dead target wait until its registration lapses. Unanswered SYNs and
// retransmissions also occur when the host's own packets are lost, when its link is full, and while hosts of
// its zone start. They count against a target only while at least as many other targets make progress through
// this host as stall.
//
// A full target is as silent as a dead one: it answers neither SYNs nor data until a request is done. It
// differs only in that it answers some client within a few request times. So a silent target gets no new
// flows at once, and its flows are reset only when no host of the fleet has seen an answer for that long; see
// edge/liveness_query_func.h. Tests: `flows_of_a_dead_target_are_reset` in tests/edge_forwarding_test.cpp,
// `lossy_path_resets_no_open_flow` and `full_target_at_work_is_not_presumed_dead` in
// tests/edge_suspicion_test.cpp.
#pragma once

#include <cstdint>

#include "edge/directory_base.h"

namespace agatepost::edge {

// Consecutive unanswered SYNs that make a target a suspect, and for how long. The time doubles with each
// further one up to the limit, since each attempt at an unreachable target delays a client by the time-out of
// its SYN.
constexpr std::uint32_t suspect_after_syns = 2;
constexpr std::int64_t suspect_ms = 800;
constexpr std::int64_t max_suspect_ms = 3200;

// Flows of a target that retransmit without progress of any before a liveness check starts: the next SYNs go
// to the target. If they stay unanswered, the check has failed, and once its silence is conclusive the target
// is unresponsive; the other hosts are asked, and if they have seen no answer either it is presumed dead for
// `presumed_dead_ms`.
constexpr std::uint32_t liveness_check_after_stalled_flows = 3;
constexpr std::int64_t presumed_dead_ms = 1000;

// Request times without any answer to any host from which a target is dead. A live target that leaves
// requests waiting has all slots at work, so answers are due every request time at least.
constexpr double conclusive_silent_request_times = 8;

// Least time of conclusive silence: a lost packet is sent again after 200 ms, and its answer takes a round
// trip.
constexpr std::int64_t min_conclusive_silence_ms = 300;

// Stalls and answers older than this are ignored. Clients retransmit after pauses of up to 1.6 s, the first
// three of which are shorter than this.
constexpr std::int64_t stall_evidence_max_age_ms = 1000;

// Pause after an unanswered SYN, during which the target gets no other if possible: about the time until a
// slot is free. Doubles with each further one up to the limit.
constexpr std::int64_t syn_backoff_ms = 50;
constexpr std::uint32_t max_syn_backoff_doublings = 4;

// Consecutive liveness checks ended by an answered SYN, without progress of any flow, after which the next
// check finds the target hung: it answers SYNs and nothing else. Each check takes several retransmissions, so
// all of them take about a second.
constexpr std::uint32_t hung_after_liveness_checks = 3;

// Silent targets, or half of all targets if these are fewer, from which a host may be cut off.
constexpr std::size_t cut_off_silent_targets = 8;

// Startup grace period after this host or many hosts of the zone have started. Clients retransmit packets
// lost before and during the start with pauses of 200, 400 and 800 ms, and flows change hosts, so missing
// answers are no evidence of a failure.
constexpr std::int64_t startup_grace_ms = 2000;

// Outcome of an observation for the state of a target.
enum class suspicion_change {
    none,          // no change to report
    suspect,       // gets no new flows for a while
    unresponsive,  // silent towards this host for long enough; the other hosts are to be asked
};

// Returns the time without any answer from which a target cannot be alive and at work.
auto conclusive_silence_ms(const directory& known, target_index index) -> std::int64_t;

// Returns whether the target failed its liveness check, or answered nothing but SYNs, and a request of this
// host has waited there for the conclusive time without progress of any, while other targets answer.
auto is_unresponsive(const directory& known, target_index index, time_ms at) -> bool;

// Marks an unresponsive target as presumed dead. Returns whether it was not before.
auto mark_presumed_dead(directory& known, target_index index, time_ms at) -> bool;

// Clears the count of stalled flows and ends a liveness check.
auto clear_stalls(target_load& load) -> void;

// Records progress: a client acknowledged more bytes of the target.
auto record_progress(target_load& load, time_ms at) -> void;

// Records a SYN whose time-out has passed: the target is full, dead or unreachable. Starts a pause for it,
// which doubles until the target answers any client.
auto record_syn_timeout(target_load& load, time_ms at) -> void;

// Returns whether a client got an answer from the target after `since` and within the last
// `stall_evidence_max_age_ms`.
auto has_answered_since(const target_load& load, time_ms since, time_ms at) -> bool;

// Records that a target answered a SYN that this host sent to it.
auto record_answered_syn(target_load& load, time_ms at) -> void;

// Records a retransmission of a flow whose stalled epoch is `stalled_epoch`. Enough stalled flows start a
// liveness check. Reports whether the target is unresponsive.
auto record_retransmission(directory& known, target_index index, std::uint32_t& stalled_epoch, time_ms at)
    -> suspicion_change;

// Records that a SYN sent at `sent` was answered by another target, but not by this one. During a liveness
// check, `failed_check_after_syns` of these fail the check. Reports whether the target is unresponsive.
auto record_unanswered_syn(directory& known, target_index index, time_ms sent, time_ms at)
    -> suspicion_change;

// Extends the startup grace period to `startup_grace_ms` after `started`, the start of this host or of one of
// many hosts of the zone. At its beginning, clears stalls and presumed deaths; until its end no target is
// presumed dead.
auto extend_startup_grace(directory& known, time_ms started, time_ms at) -> void;

// Returns whether so many targets, in at least two zones if there are as many, leave SYNs unanswered that
// this host rather than the targets must be cut off.
auto are_targets_silent(const directory& known) -> bool;

// Returns whether missing answers are evidence against this target: the startup grace period is over, and
// among the other targets at least as many answer through this host as stall.
auto is_path_healthy(const directory& known, target_index index, time_ms at) -> bool;

}  // namespace agatepost::edge
