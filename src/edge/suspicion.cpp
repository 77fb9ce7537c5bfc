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
    auto longest = 0.0;
    for (const auto& [key, route] : known.routes) {
        if (route.requests != 0 && absl::c_linear_search(route.services, service)) {
            longest = std::max(longest, expected_request_ms(route));
        }
    }
    return longest;
}

}  // namespace

auto conclusive_silence_ms(const directory& known, target_index index) -> std::int64_t {
    const auto request_ms = longest_request_ms(known, known.targets[index].entry.service);
    return std::max(min_conclusive_silence_ms,
                    static_cast<std::int64_t>(conclusive_silent_request_times * request_ms));
}

auto is_unresponsive(const directory& known, target_index index, time_ms at) -> bool {
    const auto& load = known.targets[index].load;
    const auto has_failed =
        load.has_failed_check || load.answered_liveness_checks >= hung_after_liveness_checks;
    if (load.former_service_flows != 0) {
        return false;  // they fill its slots, and how long their requests take is not known here
    }
    return has_failed && load.stalled_flows >= liveness_check_after_stalled_flows && load.busy_flows != 0 &&
           at - load.waiting_since >= conclusive_silence_ms(known, index) &&
           is_path_healthy(known, index, at);
}

auto mark_presumed_dead(directory& known, target_index index, time_ms at) -> bool {
    auto& load = known.targets[index].load;
    if (at < load.presumed_dead_until) {
        return false;
    }
    load.presumed_dead_until = at + presumed_dead_ms;
    return true;
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
    load.waiting_since = at;
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
        load.waiting_since = at;
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
    return is_unresponsive(known, index, at) ? suspicion_change::unresponsive : suspicion_change::none;
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
    return is_unresponsive(known, index, at) ? suspicion_change::unresponsive : change;
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
        target.load.waiting_since = at;
        target.load.presumed_dead_until = {};
    }
}

auto are_targets_silent(const directory& known) -> bool {
    auto targets = std::size_t{0};
    auto silent = std::size_t{0};
    auto zones = absl::flat_hash_set<std::string_view>{};
    auto silent_zones = absl::flat_hash_set<std::string_view>{};
    for (const auto& target : known.targets) {
        if (!is_registered(target)) {
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
