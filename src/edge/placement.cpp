#include <absl/algorithm/container.h>

#include "edge/cold_start_func.h"
#include "edge/evacuation_func.h"
#include "edge/placement_func.h"

namespace agatepost::edge {

namespace {

// Loads that differ by no more than this count as equal. The target is then drawn at random, so that hosts
// with the same view do not all choose the same one.
constexpr double equal_load_margin = 0.02;

// Returns whether a target is expected not to answer. After its time as a suspect it is tried with one flow
// at a time.
auto is_suspect(const target_load& load, time_ms at) -> bool {
    return at < load.suspect_until || at < load.presumed_dead_until ||
           load.liveness_check_since != time_ms{} || (load.unanswered_syns != 0 && load.pending_syns != 0);
}

// Returns whether a target is in a pause after an unanswered SYN. After the pause it is tried with one SYN at
// a time.
auto is_backed_off(const target_load& load, time_ms at) -> bool {
    return at < load.syn_backoff_until || (load.syn_backoffs != 0 && load.pending_syns != 0);
}

// Returns whether the next SYNs go to the target for its liveness check.
auto needs_liveness_probe(const target_load& load) -> bool {
    return load.liveness_check_since != time_ms{} && load.pending_syns < failed_check_after_syns;
}

// Selects the least loaded of the targets passed to `consider`.
struct best_target {
    std::optional<target_index> index;
    double load = 0;
    std::uint32_t equals = 0;

    auto consider(target_index candidate, double candidate_load, std::minstd_rand& random) -> void {
        if (!index || candidate_load < load - equal_load_margin) {
            index = candidate;
            load = candidate_load;
            equals = 1;
        } else if (candidate_load <= load + equal_load_margin) {
            ++equals;
            if (random() % equals == 0) {
                index = candidate;
            }
        }
    }
};

}  // namespace

auto takes_new_flows(const directory& known, target_index index) -> bool {
    const auto& target = known.targets[index];
    if (!is_registered(target) || target.entry.state != target_state::ready || is_evacuated(known, target)) {
        return false;
    }
    return target.opening_carrier != 0;
}

auto is_backend(const route_entry& route, const std::string& service) -> bool {
    return absl::c_any_of(route.backends, [&](const route_backend& backend) {
        return backend.weight != 0 && backend.service == service;
    });
}

auto may_open_at(const directory& known, const route_entry& route, target_index index) -> bool {
    return takes_new_flows(known, index) && is_backend(route, known.targets[index].entry.service);
}

// The finalizer of SplitMix64. Unlike the seeded hashes of containers it is equal on all hosts.
auto rendezvous_weight(std::uint32_t host, std::uint32_t carrier) -> std::uint64_t {
    auto mixed = (static_cast<std::uint64_t>(host) << 32U) | carrier;
    mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9U;
    mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebU;
    return mixed ^ (mixed >> 31U);
}

auto assign_targets(directory& known, const std::string& zone, std::uint32_t own_address,
                    const std::vector<std::uint32_t>& other_hosts) -> void {
    for (auto& target : known.targets) {
        const auto carrier = target.entry.carrier;
        const auto own = rendezvous_weight(own_address, carrier);
        target.is_assigned_to_peer =
            target.entry.zone == zone && absl::c_any_of(other_hosts, [&](std::uint32_t other) {
                return rendezvous_weight(other, carrier) > own;
            });
    }
}

auto expected_load(const target_record& target, const flow_request& request, time_ms at) -> double {
    const auto& load = target.load;
    const auto busy = static_cast<double>(load.busy_flows + load.pending_syns + load.peer_busy_flows);
    const auto open = static_cast<double>(load.open_flows + load.peer_open_flows);
    const auto idle = open > busy ? open - busy : 0.0;
    const auto work = request.is_long ? busy * busy_weight_for_long_flows + open * idle_flow_load
                                      : busy + idle * idle_flow_load;
    auto per_slot = work / static_cast<double>(target.entry.slots);
    if (at < target.cold_until) {
        per_slot = (per_slot + idle_flow_load) * cold_slowdown;
    }
    if (target.entry.zone != request.zone) {
        return per_slot + other_zone_load_penalty;
    }
    return target.is_assigned_to_peer ? per_slot + peer_target_load_penalty : per_slot;
}

auto choose_target(const directory& known, const std::string& service, const flow_request& request,
                   const tried_targets& tried, time_ms at, std::minstd_rand& random)
    -> std::optional<target_index> {
    const auto members = known.by_service.find(service);
    if (members == known.by_service.end()) {
        return std::nullopt;
    }
    auto healthy = best_target{};
    auto backed_off = best_target{};
    auto suspected = best_target{};
    for (const auto index : members->second) {
        if (!takes_new_flows(known, index) || absl::c_linear_search(tried, index) ||
            is_cold_limited(known, known.targets[index], at)) {
            continue;
        }
        const auto& target = known.targets[index];
        if (!request.only_zone.empty() && target.entry.zone != request.only_zone) {
            continue;
        }
        if (needs_liveness_probe(target.load)) {
            return index;
        }
        auto& best = is_suspect(target.load, at)      ? suspected
                     : is_backed_off(target.load, at) ? backed_off
                                                      : healthy;
        best.consider(index, expected_load(target, request, at), random);
    }
    if (!request.only_zone.empty()) {
        return healthy.index;
    }
    return healthy.index ? healthy.index : backed_off.index ? backed_off.index : suspected.index;
}

auto busy_per_slot(const target_record& target) -> double {
    const auto& load = target.load;
    return static_cast<double>(load.busy_flows + load.pending_syns + load.peer_busy_flows) /
           static_cast<double>(target.entry.slots);
}

auto least_busy_target(const directory& known, const std::string& service, time_ms at)
    -> std::optional<target_index> {
    const auto members = known.by_service.find(service);
    if (members == known.by_service.end()) {
        return std::nullopt;
    }
    auto best = std::optional<target_index>{};
    for (const auto index : members->second) {
        const auto& target = known.targets[index];
        if (takes_new_flows(known, index) && !is_suspect(target.load, at) &&
            !is_backed_off(target.load, at) && !is_cold_limited(known, target, at) &&
            (!best || busy_per_slot(target) < busy_per_slot(known.targets[*best]))) {
            best = index;
        }
    }
    return best;
}

auto find_cold_limited_targets(const directory& known, const std::string& service, const tried_targets& tried,
                               time_ms at) -> std::vector<target_index> {
    auto limited = std::vector<target_index>{};
    const auto members = known.by_service.find(service);
    if (!known.cold || members == known.by_service.end()) {
        return limited;
    }
    absl::c_copy_if(members->second, std::back_inserter(limited), [&](target_index index) {
        return is_cold_limited(known, known.targets[index], at) && takes_new_flows(known, index) &&
               !absl::c_linear_search(tried, index);
    });
    return limited;
}

auto expected_request_ms(const route_record& route) -> double {
    return route.request_ms != 0 ? route.request_ms
                                 : static_cast<double>(route.entry.target_latency_ms) * assumed_latency_share;
}

auto is_in_time(const route_record& route, const target_record& target, time_ms at) -> bool {
    if (is_backed_off(target.load, at)) {
        return false;
    }
    if (busy_per_slot(target) < 1) {
        return true;  // a slot is free
    }
    const auto share =
        route.is_highest_priority ? highest_priority_latency_share : lower_priority_latency_share;
    const auto limit_ms = share * static_cast<double>(route.entry.target_latency_ms);
    return limit_ms == 0 || busy_per_slot(target) * expected_request_ms(route) <= limit_ms;
}

auto has_busy_target(const directory& known, const std::string& service) -> bool {
    const auto members = known.by_service.find(service);
    return members != known.by_service.end() && absl::c_any_of(members->second, [&](target_index index) {
               return takes_new_flows(known, index) && busy_per_slot(known.targets[index]) >= 1;
           });
}

auto choose_service(const directory& known, const route_entry& route, std::minstd_rand& random)
    -> const std::string* {
    const auto has_targets = [&](const route_backend& backend) {
        return backend.weight != 0 && has_targets_for_new_flows(known, backend.service);
    };
    auto total = std::uint64_t{0};
    for (const auto& backend : route.backends) {
        total += has_targets(backend) ? backend.weight : 0;
    }
    if (total == 0) {
        return nullptr;
    }
    auto draw = random() % total;
    for (const auto& backend : route.backends) {
        if (!has_targets(backend)) {
            continue;
        }
        if (draw < backend.weight) {
            return &backend.service;
        }
        draw -= backend.weight;
    }
    return nullptr;
}

}  // namespace agatepost::edge
