#include "edge/zone_overflow_func.h"

#include <absl/container/flat_hash_set.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cmath>

#include "core/counter_func.h"
#include "core/log_func.h"
#include "core/metrics_func.h"
#include "edge/zone_load_func.h"

namespace agatepost::edge {

namespace {

// Demand and capacity of a zone for one service.
struct zone_demand {
    bool is_known = false;  // its own load is known
    time_ms measured;       // of its own load
    double slots = 0;
    double load = 0;                     // requests at its targets and its waiting SYNs
    double demand = 0;                   // requests of its clients at all targets, and its waiting SYNs
    std::map<std::string, double> sent;  // requests of its clients in other zones

    auto sent_total() const -> double {
        auto total = 0.0;
        for (const auto& [zone, requests] : sent) {
            total += requests;
        }
        return total;
    }
    auto sent_to(const std::string& zone) const -> double {
        const auto found = sent.find(zone);
        return found == sent.end() ? 0.0 : found->second;
    }
    // Its load if it sent no requests to other zones.
    auto load_without_spillover() const -> double { return load + sent_total(); }
    auto excess() const -> double {
        return is_known ? std::max(0.0, load_without_spillover() - excess_load * slots) : 0.0;
    }
};

using zone_demands = std::map<std::string, zone_demand>;

auto collect_demands(const zone_loads& loads, const overflow_input& input, time_ms at) -> zone_demands {
    auto zones = zone_demands{};
    for (const auto& [zone, slots] : input.slots) {
        zones[zone].slots = slots;
    }
    for (const auto& [key, load] : loads) {
        const auto& [service, client_zone] = key;
        if (service != input.service || at - load.measured > max_zone_load_age_ms) {
            continue;
        }
        auto& clients = zones[client_zone];
        clients.is_known = true;
        clients.measured = load.measured;
        clients.load += load.waiting;
        clients.demand += load.waiting;
        for (const auto& [target_zone, busy] : load.busy) {
            clients.demand += busy;
            zones[target_zone].load += busy;
            if (target_zone != client_zone) {
                clients.sent[target_zone] += busy;
            }
        }
    }
    return zones;
}

auto total_excess(const zone_demands& zones) -> double {
    auto total = 0.0;
    for (const auto& [name, zone] : zones) {
        total += zone.excess();
    }
    return total;
}

// Returns the requests that a zone may hold for the sending zones together. Requests that they have there
// already use this capacity and do not reduce it. The host's own zone also counts as sending while its share
// falls after the end of its excess demand.
auto spare_capacity(const zone_demands& zones, const std::string& name, const overflow_input& input)
    -> double {
    const auto& zone = zones.at(name);
    const auto& own_zone = input.zone;
    // Its share for the own zone may still fall.
    const auto is_sender = zone.sent_to(own_zone) > sender_share * zone.demand;
    if (!zone.is_known || zone.excess() > 0 || is_sender ||
        (excess_load - spare_load) * zone.slots < min_reserved_requests) {
        return 0;
    }
    auto received = 0.0;
    for (const auto& [sender_name, sender] : zones) {
        if (sender.excess() > 0 || sender_name == own_zone) {
            received += sender.sent_to(name);
        }
    }
    const auto limit =
        std::min(spare_load * input.requests_per_slot, excess_load - min_reserved_requests / zone.slots);
    return std::max(0.0, limit * zone.slots - zone.load + received);
}

// Returns by how much the round trip to a zone exceeds the one within the host's own zone; 0 until both are
// measured.
auto additional_delay_ms(const overflow_input& input, const std::string& zone) -> double {
    const auto own = input.round_trips_ms.find(input.zone);
    const auto other = input.round_trips_ms.find(zone);
    return own == input.round_trips_ms.end() || other == input.round_trips_ms.end()
               ? 0.0
               : other->second - own->second;
}

}  // namespace

auto requests_per_slot(double request_ms, double round_trip_ms) -> double {
    const auto work_ms = std::max(request_ms - round_trip_ms, request_ms / max_requests_per_slot);
    return work_ms > 0 ? request_ms / work_ms : 1.0;
}

auto expected_wait_ms(double per_slot, double slots, double request_ms) -> double {
    if (slots <= 0) {
        return HUGE_VAL;
    }
    // At exactly one request per slot the queue is empty, but a wait is still likely.
    constexpr double highest_approximated = 0.99;
    const auto below = std::min(per_slot, highest_approximated);
    const auto share = std::pow(below, std::sqrt(2 * (slots + 1)) - 1) / (slots * (1 - below));
    return request_ms * std::max(per_slot - 1, std::min(share, 1.0));
}

auto decide_overflow(const zone_loads& loads, const overflow_input& input, time_ms at) -> overflow_decision {
    auto zones = collect_demands(loads, input, at);
    const auto own = zones[input.zone];
    auto decision = overflow_decision{};
    decision.demand = own.demand;
    decision.load = own.load;
    decision.slots = own.slots;
    for (const auto& [name, zone] : zones) {
        if (name != input.zone && zone.is_known && zone.slots > 0) {
            decision.loads_per_slot[name] = zone.load / zone.slots;
        }
    }
    if (!own.is_known) {
        return decision;
    }
    const auto excess = own.excess();
    decision.excess_since = excess <= 0                       ? time_ms{}
                            : input.excess_since == time_ms{} ? at
                                                              : input.excess_since;
    const auto sent = own.sent_total();
    const auto arriving = std::min(own.demand - sent, own.slots) + sent;
    decision.overestimate = arriving > 0 ? std::max(1.0, own.demand / arriving) : 1.0;
    const auto excess_of_all = total_excess(zones);
    const auto own_part = excess_of_all == 0 ? 1.0 : excess / excess_of_all;
    const auto per_slot = own.slots > 0 ? own.load_without_spillover() / own.slots : 0.0;
    // Before any request was timed, excess demand alone decides.
    const auto wait_ms =
        input.request_ms > 0 ? expected_wait_ms(per_slot, own.slots, input.request_ms) : HUGE_VAL;
    auto granted = std::map<std::string, double>{};
    auto granted_total = 0.0;
    auto has_spare_capacity = false;
    auto has_recent_load = false;
    for (const auto& [name, zone] : zones) {
        const auto spare = name == input.zone ? 0.0 : spare_capacity(zones, name, input) * own_part;
        if (spare <= 0 || own.demand <= 0) {
            continue;
        }
        has_spare_capacity = true;
        decision.limits[name] = spare / own.demand;
        decision.sent[name] = own.sent_to(name);
        if (zone.measured < decision.excess_since) {
            continue;
        }
        has_recent_load = true;
        if (wait_ms > additional_delay_ms(input, name)) {
            granted[name] = spare;
            granted_total += spare;
        }
    }
    decision.reason = excess <= 0           ? overflow_reason::no_excess_demand
                      : !has_spare_capacity ? overflow_reason::no_spare_capacity
                      : !has_recent_load    ? overflow_reason::old_loads
                      : granted_total <= 0  ? overflow_reason::short_wait
                                            : overflow_reason::excess_demand;
    if (decision.reason != overflow_reason::excess_demand) {
        return decision;
    }
    const auto moved = std::min({excess, granted_total, own.demand});
    for (const auto& [name, capacity] : granted) {
        decision.wanted[name] = capacity / granted_total * moved;
        decision.shares[name] = decision.wanted[name] / own.demand;
    }
    decision.long_flow_share =
        std::clamp((moved - sent) / (long_flow_band * std::max(own.slots, 1.0)), 0.0, 1.0);
    return decision;
}

auto with_smoothing(overflow_decision decision, const service_overflow& previous, time_ms at)
    -> service_overflow {
    auto next = service_overflow{};
    const auto elapsed_ms = static_cast<double>(at - previous.decided);
    for (const auto& [zone, wanted] : decision.wanted) {
        auto& correction = next.corrections[zone];
        const auto last = previous.corrections.find(zone);
        correction = 1;
        if (last != previous.corrections.end() && wanted > 0) {
            const auto missing = std::max(-1.0, (wanted - decision.sent[zone]) / wanted);
            const auto weight = std::min(elapsed_ms / correction_ms, 1.0);
            correction =
                std::clamp(last->second * std::exp(missing * weight), min_correction, decision.overestimate);
        }
        decision.shares[zone] *= correction;
        decision.limits[zone] *= correction;
    }
    const auto kept = std::exp(-elapsed_ms / share_fall_ms);
    for (const auto& [zone, share] : previous.decision.shares) {
        const auto limit = decision.limits.find(zone);
        const auto fallen = share * kept;
        if (limit != decision.limits.end() && fallen >= min_overflow_share &&
            fallen * decision.demand >= min_falling_requests) {
            auto& smoothed = decision.shares[zone];
            smoothed = std::min(std::max(smoothed, fallen), limit->second);
        }
    }
    if (total_share(decision) < min_overflow_share) {
        decision.shares.clear();
    }
    next.decision = std::move(decision);
    next.decided = at;
    next.logged_share = previous.logged_share;
    return next;
}

auto total_share(const overflow_decision& decision) -> double {
    auto total = 0.0;
    for (const auto& [zone, share] : decision.shares) {
        total += share;
    }
    return total;
}

auto receiving_zone(const overflow_decision& decision, std::uint32_t draw, bool is_long)
    -> const std::string* {
    constexpr double draw_range = 4294967296.0;  // 2^32
    auto rest = static_cast<double>(draw) / draw_range;
    if (is_long && rest >= decision.long_flow_share) {
        return nullptr;
    }
    // The draws of long flows that leave are spread over the shares of all zones.
    rest *= is_long ? total_share(decision) / decision.long_flow_share : 1.0;
    for (const auto& [zone, share] : decision.shares) {
        if (rest < share) {
            return &zone;
        }
        rest -= share;
    }
    return nullptr;
}

auto next_draw(overflow_state& overflow) -> std::uint32_t {
    overflow.last_draw += draw_step;
    return overflow.last_draw;
}

auto make_overflow_input(const forwarding_state& state, const std::string& service, time_ms at)
    -> overflow_input {
    auto input = overflow_input{};
    input.service = hash_service(service);
    input.zone = state.zone;
    if (const auto members = state.known.by_service.find(service); members != state.known.by_service.end()) {
        for (const auto index : members->second) {
            const auto& target = state.known.targets[index];
            const auto takes_flows = takes_new_flows(state.known, index) && at >= target.cold_until;
            input.slots[target.entry.zone] += takes_flows ? target.entry.slots : 0;
        }
    }
    // The mean over the routes of the service, weighted by their use.
    auto weights = 0.0;
    for (const auto& [key, route] : state.known.routes) {
        for (const auto& backend : route.entry.backends) {
            if (backend.service == service) {
                const auto weight = static_cast<double>(route.requests + 1);
                input.request_ms += weight * expected_request_ms(route);
                weights += weight;
            }
        }
    }
    input.request_ms /= std::max(1.0, weights);
    for (const auto& [zone, estimate] : state.round_trips) {
        if (estimate.smoothed_ms != 0) {
            input.round_trips_ms[zone] = estimate.smoothed_ms;
        }
    }
    const auto own_trip = input.round_trips_ms.find(input.zone);
    if (own_trip != input.round_trips_ms.end()) {
        input.requests_per_slot = requests_per_slot(input.request_ms, own_trip->second);
    }
    return input;
}

auto update_overflow(forwarding_state& state, const std::string& service, time_ms at)
    -> const overflow_decision* {
    if (!state.overflow.is_enabled) {
        return nullptr;
    }
    auto& overflow = state.overflow.services[service];
    if (overflow.decided == time_ms{} || at - overflow.decided >= overflow_interval_ms) {
        auto input = make_overflow_input(state, service, at);
        input.excess_since = overflow.decision.excess_since;
        constexpr std::size_t min_zones = 2;
        auto next =
            input.slots.size() < min_zones ? overflow_decision{} : decide_overflow(state.loads, input, at);
        overflow = with_smoothing(std::move(next), overflow, at);
        const auto total = total_share(overflow.decision);
        const auto has_begun_or_ended = (total == 0) != (overflow.logged_share == 0);
        if (has_begun_or_ended || std::abs(total - overflow.logged_share) >= logged_share_change) {
            overflow.logged_share = total;
            state.overflow.changed_services.push_back(service);
        }
    }
    return &overflow.decision;
}

auto update_all_overflows(forwarding_state& state, time_ms at) -> void {
    for (const auto& [service, overflow] : state.overflow.services) {
        update_overflow(state, service, at);
    }
}

auto choose_overflow_target(forwarding_state& state, const std::string& service, const route_record& route,
                            const flow_request& request, const flow_record& flow, time_ms at)
    -> std::optional<target_index> {
    const auto* decision = update_overflow(state, service, at);
    if (decision == nullptr || !flow.tried.empty()) {
        return std::nullopt;
    }
    const auto* zone = receiving_zone(*decision, flow.overflow_draw, request.is_long);
    if (zone == nullptr) {
        return std::nullopt;
    }
    auto restricted = request;
    restricted.only_zone = *zone;
    const auto target = choose_target(state.known, service, restricted, flow.tried, at, state.random);
    if (!target || !is_in_time(route, state.known.targets[*target], at)) {
        return std::nullopt;
    }
    count(counter::edge_zone_overflow);
    return target;
}

auto log_overflow_changes(overflow_state& overflow) -> void {
    for (const auto& service : overflow.changed_services) {
        const auto& decision = overflow.services[service].decision;
        auto shares = std::string{};
        for (const auto& [zone, share] : decision.shares) {
            absl::StrAppend(&shares, shares.empty() ? "" : " ", zone, "=", share);
        }
        auto loads = std::string{};
        for (const auto& [zone, load] : decision.loads_per_slot) {
            absl::StrAppend(&loads, loads.empty() ? "" : " ", zone, "=", load);
        }
        write_log(log_event::zone_overflow_changed, {{"service", service},
                                                     {"shares", shares.empty() ? "none" : shares},
                                                     {"load", absl::StrCat(decision.load)},
                                                     {"slots", absl::StrCat(decision.slots)},
                                                     {"loads_per_slot", loads.empty() ? "unknown" : loads},
                                                     {"reason", std::string(to_text(decision.reason))}});
    }
    overflow.changed_services.clear();
}

auto render_overflow_shares(const overflow_state& overflow) -> std::string {
    auto samples = std::vector<gauge_sample>{};
    for (const auto& [service, present] : overflow.services) {
        for (const auto& [zone, share] : present.decision.shares) {
            samples.push_back({{{"service", service}, {"zone", zone}}, share});
        }
    }
    return render_gauge("edge_zone_overflow_share", "share of the opening SYNs of a service sent to a zone",
                        samples);
}

auto to_text(overflow_reason reason) -> std::string_view {
    switch (reason) {
        case overflow_reason::unknown_load:
            return "unknown_load";
        case overflow_reason::no_excess_demand:
            return "no_excess_demand";
        case overflow_reason::no_spare_capacity:
            return "no_spare_capacity";
        case overflow_reason::old_loads:
            return "old_loads";
        case overflow_reason::short_wait:
            return "short_wait";
        case overflow_reason::excess_demand:
            return "excess_demand";
    }
    return "unknown_load";
}

}  // namespace agatepost::edge
