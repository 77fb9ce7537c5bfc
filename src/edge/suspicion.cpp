#include "edge/suspicion_func.h"

#include <absl/container/flat_hash_set.h>

#include <algorithm>
#include <string_view>

namespace agatepost::edge {

namespace {

// Returns how long a target is a suspect after this number of consecutive unanswered SYNs.
auto suspicion_ms(std::uint32_t silent_opens) -> std::int64_t {
    auto pause = suspect_ms;
    for (auto i = suspect_after_opens; i < silent_opens && pause < suspect_limit_ms; ++i) {
        pause *= 2;
    }
    return pause;
}

auto is_recent(time_ms then, time_ms at) -> bool {
    return then != time_ms{} && at - then <= stall_memory_ms;
}

}  // namespace

auto forget_stalls(target_load& load) -> void {
    ++load.progress_epoch;
    load.stalled_flows = 0;
    load.doubted_since = {};
}

auto note_unanswered(target_load& load, time_ms at) -> void {
    // SYNs sent before the pause began are no further evidence.
    if (at < load.full_until) {
        return;
    }
    load.full_until = at + (full_ms << std::min(load.silent_rounds, most_full_doublings));
    ++load.silent_rounds;
}

auto has_answered_since(const target_load& load, time_ms since, time_ms at) -> bool {
    return load.last_answer > since && is_recent(load.last_answer, at);
}

auto note_progress(target_load& load, time_ms at) -> void {
    forget_stalls(load);
    load.last_answer = at;
    load.silent_rounds = 0;
    load.dead_until = {};
    load.silent_opens = 0;
    load.answered_doubts = 0;
}

auto note_answered_opening(target_load& load, time_ms at) -> void {
    if (load.doubted_since != time_ms{}) {
        ++load.answered_doubts;
        forget_stalls(load);
    }
    load.last_answer = at;
    load.silent_rounds = 0;
    load.full_until = {};
    load.dead_until = {};
}

auto note_retransmission(directory& known, target_index index, std::uint32_t& stalled_epoch, time_ms at)
    -> suspicion_change {
    auto& load = known.targets[index].load;
    if (load.stalled_flows != 0 && at - load.last_stall > stall_memory_ms) {
        forget_stalls(load);
    }
    if (stalled_epoch == load.progress_epoch || at < known.unsettled_until) {
        return suspicion_change::none;
    }
    stalled_epoch = load.progress_epoch;
    load.last_stall = at;
    if (++load.stalled_flows < doubted_after_flows || load.doubted_since != time_ms{}) {
        return suspicion_change::none;
    }
    load.doubted_since = at;
    load.last_doubt = at;
    load.silent_since_doubt = 0;
    if (load.answered_doubts < hung_after_doubts || !is_way_sound(known, index, at)) {
        return suspicion_change::none;
    }
    load.dead_until = at + dead_ms;
    return suspicion_change::dead;
}

auto note_silent_opening(directory& known, target_index index, time_ms sent, time_ms at) -> suspicion_change {
    auto& load = known.targets[index].load;
    auto change = suspicion_change::none;
    if (++load.silent_opens >= suspect_after_opens) {
        load.suspect_until = at + suspicion_ms(load.silent_opens);
        change = suspicion_change::suspect;
    }
    if (load.doubted_since == time_ms{} || sent < load.doubted_since ||
        ++load.silent_since_doubt < dead_after_opens) {
        return change;
    }
    load.doubted_since = {};
    if (!is_way_sound(known, index, at)) {
        return change;
    }
    load.dead_until = at + dead_ms;
    return suspicion_change::dead;
}

auto note_start_in_zone(directory& known, time_ms started, time_ms at) -> void {
    const auto until = started + settle_ms;
    if (until <= at || until <= known.unsettled_until) {
        return;
    }
    const auto was_grace_over = at >= known.unsettled_until;
    known.unsettled_until = until;
    if (!was_grace_over) {
        return;
    }
    for (auto& target : known.targets) {
        forget_stalls(target.load);
        target.load.dead_until = {};
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
        if (target.load.silent_rounds != 0) {
            ++silent;
            silent_zones.insert(target.entry.zone);
        }
    }
    constexpr std::size_t min_silent_zones = 2;
    return silent >= std::min(cut_off_targets, (targets + 1) / 2) &&
           silent_zones.size() >= std::min(min_silent_zones, zones.size());
}

auto is_way_sound(const directory& known, target_index index, time_ms at) -> bool {
    if (at < known.unsettled_until) {
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
        if ((load.stalled_flows != 0 && is_recent(load.last_stall, at)) || is_recent(load.last_doubt, at)) {
            ++stalled;
        } else if (is_recent(load.last_answer, at)) {
            ++answering;
        }
    }
    return stalled <= answering;
}

}  // namespace agatepost::edge
