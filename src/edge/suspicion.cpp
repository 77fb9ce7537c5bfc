#include "edge/suspicion_func.h"

#include <absl/algorithm/container.h>
#include <absl/container/flat_hash_set.h>

#include <algorithm>
#include <string_view>

#include "edge/placement_func.h"

namespace agatepost::edge {

namespace {

// Returns how long a target is a suspect after this number of consecutive unanswered SYNs.
auto suspicion_ms(std::uint32_t unanswered_syns) -> std::int64_t {
    auto pause = suspect_ms;
    for (auto i = suspect_after_syns; i < unanswered_syns && pause < max_suspect_ms; ++i) {
        pause *= 2;
    }
    return pause;
}

auto is_recent(time_ms then, time_ms at) -> bool {
    return then != time_ms{} && at - then <= stall_evidence_max_age_ms;
}

// Returns the longest expected time of a request among the routes in use that lead to the service.
auto longest_request_ms(const directory& known, const std::string& service) -> double {
    auto longest = min_request_ms;
    for (const auto& [key, route] : known.routes) {
        if (route.requests != 0 && absl::c_linear_search(route.services, service)) {
            longest = std::max(longest, expected_request_ms(route));
        }
    }
    return longest;
}

// Marks the target as presumed dead if it failed its liveness check, or answered nothing but SYNs, and its
// silence is conclusive.
auto presume_dead_if_conclusive(directory& known, target_index index, time_ms at) -> suspicion_change {
    auto& load = known.targets[index].load;
    const auto is_unresponsive =
        load.has_failed_check || load.answered_liveness_checks >= hung_after_liveness_checks;
    if (!is_unresponsive || at < load.presumed_dead_until || !is_path_healthy(known, index, at) ||
        !is_silence_conclusive(known, index, at)) {
        return suspicion_change::none;
    }
    load.presumed_dead_until = at + presumed_dead_ms;
    return suspicion_change::dead;
}

}  // namespace

auto accumulate_waiting_time(target_load& load, time_ms at) -> void {
    load.waiting_ms += static_cast<std::int64_t>(load.busy_flows) * (at - load.waiting_updated);
    load.waiting_updated = at;
}

auto clear_waiting_time(target_load& load, time_ms at) -> void {
    load.waiting_ms = 0;
    load.waiting_updated = at;
}

auto is_silence_conclusive(const directory& known, target_index index, time_ms at) -> bool {
    const auto& target = known.targets[index];
    if (target.load.former_service_flows != 0) {
        return false;  // they fill its slots, and how long their requests take is not known here
    }
    auto load = target.load;
    accumulate_waiting_time(load, at);
    const auto request_ms = longest_request_ms(known, target.entry.service);
    return static_cast<double>(load.waiting_ms) >=
           conclusive_missing_answers * max_requests_per_slot * request_ms;
}

auto clear_stalls(target_load& load) -> void {
    ++load.progress_epoch;
    load.stalled_flows = 0;
    load.liveness_check_since = {};
    load.has_failed_check = false;
}

auto record_syn_timeout(target_load& load, time_ms at) -> void {
    // SYNs sent before the pause began are no further evidence.
    if (at < load.syn_backoff_until) {
        return;
    }
    load.syn_backoff_until = at + (syn_backoff_ms << std::min(load.syn_backoffs, max_syn_backoff_doublings));
    ++load.syn_backoffs;
}

auto has_answered_since(const target_load& load, time_ms since, time_ms at) -> bool {
    return load.last_answer > since && is_recent(load.last_answer, at);
}

auto record_progress(target_load& load, time_ms at) -> void {
    clear_stalls(load);
    clear_waiting_time(load, at);
    load.last_answer = at;
    load.syn_backoffs = 0;
    load.presumed_dead_until = {};
    load.unanswered_syns = 0;
    load.answered_liveness_checks = 0;
}

auto record_answered_syn(target_load& load, time_ms at) -> void {
    if (load.liveness_check_since != time_ms{}) {
        ++load.answered_liveness_checks;
        clear_stalls(load);
    }
    load.has_failed_check = false;
    load.last_answer = at;
    load.syn_backoffs = 0;
    load.syn_backoff_until = {};
    load.presumed_dead_until = {};
}

auto record_retransmission(directory& known, target_index index, std::uint32_t& stalled_epoch, time_ms at)
    -> suspicion_change {
    auto& load = known.targets[index].load;
    if (load.stalled_flows != 0 && at - load.last_stall > stall_evidence_max_age_ms) {
        clear_stalls(load);
    }
    if (at < known.startup_grace_until) {
        clear_waiting_time(load, at);
        return suspicion_change::none;
    }
    if (stalled_epoch != load.progress_epoch) {
        stalled_epoch = load.progress_epoch;
        load.last_stall = at;
        ++load.stalled_flows;
    }
    if (load.stalled_flows < liveness_check_after_stalled_flows) {
        return suspicion_change::none;
    }
    if (load.liveness_check_since == time_ms{} && !load.has_failed_check) {
        load.liveness_check_since = at;
        load.last_liveness_check = at;
        load.unanswered_check_syns = 0;
    }
    return presume_dead_if_conclusive(known, index, at);
}

auto record_unanswered_syn(directory& known, target_index index, time_ms sent, time_ms at)
    -> suspicion_change {
    auto& load = known.targets[index].load;
    auto change = suspicion_change::none;
    if (++load.unanswered_syns >= suspect_after_syns) {
        load.suspect_until = at + suspicion_ms(load.unanswered_syns);
        change = suspicion_change::suspect;
    }
    if (load.liveness_check_since == time_ms{} || sent < load.liveness_check_since ||
        ++load.unanswered_check_syns < failed_check_after_syns) {
        return change;
    }
    load.liveness_check_since = {};
    load.has_failed_check = true;
    const auto outcome = presume_dead_if_conclusive(known, index, at);
    return outcome == suspicion_change::none ? change : outcome;
}

auto extend_startup_grace(directory& known, time_ms started, time_ms at) -> void {
    const auto until = started + startup_grace_ms;
    if (until <= at || until <= known.startup_grace_until) {
        return;
    }
    const auto was_grace_over = at >= known.startup_grace_until;
    known.startup_grace_until = until;
    if (!was_grace_over) {
        return;
    }
    for (auto& target : known.targets) {
        clear_stalls(target.load);
        clear_waiting_time(target.load, at);
        target.load.presumed_dead_until = {};
    }
}

auto are_targets_silent(const directory& known) -> bool {
    auto targets = std::size_t{0};
    auto silent = std::size_t{0};
    auto zones = absl::flat_hash_set<std::string_view>{};
    auto silent_zones = absl::flat_hash_set<std::string_view>{};
    for (const auto& target : known.targets) {
        if (!target.is_in_use || target.state == presence::gone) {
            continue;
        }
        ++targets;
        zones.insert(target.entry.zone);
        if (target.load.syn_backoffs != 0) {
            ++silent;
            silent_zones.insert(target.entry.zone);
        }
    }
    constexpr std::size_t min_silent_zones = 2;
    return silent >= std::min(cut_off_silent_targets, (targets + 1) / 2) &&
           silent_zones.size() >= std::min(min_silent_zones, zones.size());
}

auto is_path_healthy(const directory& known, target_index index, time_ms at) -> bool {
    if (at < known.startup_grace_until) {
        return false;
    }
    auto stalled = 0;
    auto answering = 0;
    for (auto other = target_index{0}; other < known.targets.size(); ++other) {
        const auto& load = known.targets[other].load;
        if (other == index || !known.targets[other].is_in_use) {
            continue;
        }
        // A recent liveness check that ended with an answer indicates lost packets.
        if ((load.stalled_flows != 0 && is_recent(load.last_stall, at)) ||
            is_recent(load.last_liveness_check, at)) {
            ++stalled;
        } else if (is_recent(load.last_answer, at)) {
            ++answering;
        }
    }
    return stalled <= answering;
}

}  // namespace agatepost::edge
