#include <absl/algorithm/container.h>

#include <algorithm>
#include <optional>

#include "edge/carrier_func.h"
#include "edge/flow_counts_func.h"
#include "edge/former_service_func.h"
#include "edge/forwarding_base.h"
#include "edge/opening_func.h"
#include "edge/suspicion_func.h"

namespace agatepost::edge {

namespace {

// Returns whether sequence number a is after b, modulo 2^32.
auto is_after(std::uint32_t a, std::uint32_t b) -> bool {
    return static_cast<std::int32_t>(a - b) > 0;
}

auto update_requests_per_flow(forwarding_state& state, const flow_key& key, const flow_record& flow) -> void {
    auto* route = find_route(state.known, key);
    if (route == nullptr || flow.requests == 0 || flow.is_at_former_service) {
        return;
    }
    const auto requests = static_cast<double>(flow.requests);
    route->requests_per_flow =
        route->requests_per_flow == 0
            ? requests
            : route->requests_per_flow + (requests - route->requests_per_flow) * requests_average_weight;
}

// Moves the repeatable flows that wait for a response of a dead target to `flows_to_reset`.
auto collect_flows_to_reset(forwarding_state& state, target_index index, time_ms at) -> void {
    absl::erase_if(state.flows, [&](auto& entry) {
        auto& [key, flow] = entry;
        const auto* route = find_route(state.known, key);
        if (!flow.is_open || !flow.is_busy || flow.target != index || route == nullptr ||
            route->entry.kind == request_kind::non_idempotent) {
            return false;
        }
        state.flows_to_reset.push_back({key, flow.acknowledgement});
        release_flow(state, flow, at);
        return true;
    });
}

// Records that a target became a suspect or unresponsive, for the caller.
auto record_suspicion(forwarding_state& state, target_index index, suspicion_change change) -> void {
    if (change == suspicion_change::suspect) {
        state.suspected_targets.push_back(index);
    } else if (change == suspicion_change::unresponsive) {
        state.unresponsive_targets.push_back(index);
    }
}

// Records that a target answered the SYN of a flow, and that targets which received it earlier did not. Only
// an answer shows that the client is alive and that packets of this host arrive.
auto record_syn_answered(forwarding_state& state, flow_record& flow, target_index index, time_ms at) -> void {
    const auto answered = absl::c_find(flow.tried, index);
    if (answered != flow.tried.end()) {
        if (answered == flow.tried.begin()) {
            auto& estimate = state.round_trips[state.known.targets[index].entry.zone];
            estimate = with_measurement(estimate, at - flow.syn_sent_at);
        }
        record_answer(state.reach);
        record_answered_syn(load_of(state, index), at);
        for (auto silent = flow.tried.begin(); silent != answered; ++silent) {
            record_suspicion(state, *silent,
                             record_unanswered_syn(state.known, *silent, flow.syn_sent_at, at));
        }
    }
    forget_tried_targets(state, flow);
}

// Records that a flow is open at the target that its packets name.
auto record_open(forwarding_state& state, flow_record& flow, target_index index, time_ms at) -> void {
    if (flow.is_open) {
        return;
    }
    record_syn_answered(state, flow, index, at);
    flow.is_open = true;
    flow.target = index;
    auto& load = load_of(state, index);
    ++load.open_flows;
    load.unanswered_syns = 0;
    load.suspect_until = {};
    flow.stalled_epoch = load.progress_epoch - 1;
}

// Updates a route's request time by a request that found a slot free. During the startup grace period it is
// unknown which slots are free.
auto update_request_time(forwarding_state& state, route_record& route, const flow_record& flow, time_ms at)
    -> void {
    if (!flow.is_busy || flow.is_at_former_service) {
        return;
    }
    count_route_use(state, route);
    if (!flow.found_free_slot || at < state.known.startup_grace_until) {
        return;
    }
    const auto took = static_cast<double>(std::max<std::int64_t>(1, at - flow.busy_since));
    route.request_ms += route.request_ms == 0 ? took : (took - route.request_ms) * request_time_weight;
}

// Records data of the client: a new request, more of one, or a retransmission.
auto record_data(forwarding_state& state, flow_record& flow, const client_packet& packet, time_ms at)
    -> suspicion_change {
    const auto end = packet.sequence + packet.payload_bytes;
    if (!is_after(end, flow.highest_sequence)) {
        // How long requests at a former service take is not known, so its silence is no evidence.
        return flow.is_at_former_service
                   ? suspicion_change::none
                   : record_retransmission(state.known, flow.target, flow.stalled_epoch, at);
    }
    flow.highest_sequence = end;
    if (!flow.is_busy) {
        ++flow.requests;
        flow.found_free_slot = busy_per_slot(state.known.targets[flow.target]) < 1;
        set_busy(state, flow, true, at);
    }
    return suspicion_change::none;
}

// Returns whether data to a target that is presumed dead ends its flow. Flows of non-idempotent routes go on:
// a reset does not tell the client whether its request has run.
auto is_reset_for_dead_target(const client_packet& packet, const route_record& route, const target_load& load,
                              time_ms at) -> bool {
    return packet.payload_bytes != 0 && at < load.presumed_dead_until &&
           route.entry.kind != request_kind::non_idempotent;
}

auto handle_unknown_carrier(forwarding_state& state, const client_packet& packet,
                            const packet_context& context, time_ms at) -> packet_verdict {
    if (packet.payload_bytes == 0) {
        return drop(packet_reason::unknown_carrier);
    }
    // The flow's target may have registered a moment ago. If the carrier is still unknown at the
    // retransmission, with a current view, the target is gone.
    auto& flow = state.flows[packet.flow];
    const auto was_seen = flow.last_packet != time_ms{} && flow.highest_sequence == packet.sequence;
    flow.last_packet = at;
    flow.highest_sequence = packet.sequence;
    if (was_seen && context.is_view_current && can_place(state.known)) {
        state.flows.erase(packet.flow);
        return refuse(packet_reason::unknown_carrier_reset);
    }
    return drop(packet_reason::unknown_carrier);
}

// Returns whether a packet to a target that is gone ends its flow. A target that left has ended its flows.
// One whose registration lapsed may be alive but cut off from the store: its flow ends when the client
// retransmits, unless the target has answered since or the route is non-idempotent.
auto is_reset_for_gone_target(const client_packet& packet, const route_record& route,
                              const target_record& target, bool is_retransmission, time_ms at) -> bool {
    if (target.state != presence::gone || packet.payload_bytes == 0) {
        return false;
    }
    return target.has_left || (is_retransmission && route.entry.kind != request_kind::non_idempotent &&
                               !has_answered_since(target.load, target.changed_at, at));
}

// Returns which of several targets that share the packet's carrier has the flow: the one that this host knows
// it to be at, or the only one whose service the route may have had. Nothing if several may have it, since
// the others would reset it.
auto find_among_sharers(const forwarding_state& state, const client_packet& packet, const route_record& route,
                        const std::vector<target_index>& sharers, time_ms at) -> std::optional<target_index> {
    if (const auto found = state.flows.find(packet.flow); found != state.flows.end()) {
        const auto& flow = found->second;
        const auto holder = absl::c_find_if(sharers, [&](target_index index) {
            return flow.is_open ? flow.target == index : absl::c_linear_search(flow.tried, index);
        });
        if (holder != sharers.end()) {
            return *holder;
        }
    }
    const auto may_have_it = [&](target_index index) {
        const auto& service = state.known.targets[index].entry.service;
        return service.empty() || relation_to_route(route, service, state.former_services_until, at) !=
                                      service_relation::foreign;
    };
    return absl::c_count_if(sharers, may_have_it) == 1 ? std::optional(*absl::c_find_if(sharers, may_have_it))
                                                       : std::nullopt;
}

auto handle_established(forwarding_state& state, const client_packet& packet, const packet_context& context,
                        time_ms at) -> packet_verdict {
    if (packet.carrier == 0) {
        return drop(packet_reason::no_carrier);
    }
    auto* route = find_route(state.known, packet.flow);
    if (route == nullptr) {
        return context.is_view_current ? refuse(packet_reason::unknown_route)
                                       : drop(packet_reason::stale_route);
    }
    const auto* sharers = find_sharers(state.known, packet.carrier);
    const auto holder = sharers == nullptr ? find_carrier(state.known, packet.carrier)
                                           : find_among_sharers(state, packet, *route, *sharers, at);
    if (!holder) {
        return sharers == nullptr ? handle_unknown_carrier(state, packet, context, at)
                                  : drop(packet_reason::shared_carrier);
    }
    const auto index = *holder;
    auto& target = state.known.targets[index];
    if (target.entry.service.empty()) {
        return drop(packet_reason::unreadable_target);
    }
    const auto relation = relation_to_route(*route, target.entry.service, state.former_services_until, at);
    if (relation == service_relation::foreign) {
        end_former_flow(state, packet.flow, at);
        return drop(packet_reason::foreign_carrier);
    }
    const auto is_former = relation == service_relation::former;
    auto forward = packet_verdict{packet_action::forward,
                                  is_former ? packet_reason::former_service : packet_reason::established,
                                  index, false, false};
    if (context.was_delayed_by_pause && !packet.is_fin) {
        return forward;  // other hosts have handled the flow meanwhile
    }
    auto entry = state.flows.find(packet.flow);
    if (entry == state.flows.end()) {
        if (packet.payload_bytes == 0 || packet.is_fin || packet.is_rst) {
            return forward;
        }
        // The flow opened through another host.
        entry = state.flows.emplace(packet.flow, flow_record{}).first;
        entry->second.highest_sequence = packet.sequence;
        entry->second.acknowledgement = packet.acknowledgement;
    }
    auto& flow = entry->second;
    if (flow.is_open && flow.target != index && !packet.is_rst) {
        // Another flow from the same port, which opened through another host: the old state does not apply.
        release_flow(state, flow, at);
        flow = flow_record{};
        flow.highest_sequence = packet.sequence;
        flow.acknowledgement = packet.acknowledgement;
    }
    if (packet.is_rst) {
        // A client resets the SYN-ACK of a second target; this does not concern the flow at the first.
        if (flow.is_open && flow.target == index) {
            release_flow(state, flow, at);
            state.flows.erase(entry);
        }
        return forward;
    }
    if (!flow.is_open) {
        flow.acknowledgement = packet.acknowledgement;
    }
    flow.is_waiting = false;  // the flow may have opened through another host meanwhile
    record_open(state, flow, index, at);
    forward.is_logged = set_at_former_service(state, flow, is_former, at);
    flow.last_packet = at;
    if (is_after(packet.acknowledgement, flow.acknowledgement)) {
        flow.acknowledgement = packet.acknowledgement;
        update_request_time(state, *route, flow, at);
        record_answer(state.reach);
        record_progress(target.load, at);
        set_busy(state, flow, false, at);
    }
    const auto previous_sequence = flow.highest_sequence;
    auto change = suspicion_change::none;
    if (packet.payload_bytes != 0) {
        change = record_data(state, flow, packet, at);
    }
    const auto is_left =
        is_reset_for_gone_target(packet, *route, target, previous_sequence == flow.highest_sequence, at);
    if (is_left || (!is_former && is_reset_for_dead_target(packet, *route, target.load, at))) {
        release_flow(state, flow, at);
        state.flows.erase(entry);
        record_suspicion(state, index, change);
        return refuse(is_left ? packet_reason::target_left : packet_reason::target_dead);
    }
    if (packet.is_fin) {
        update_requests_per_flow(state, packet.flow, flow);
        release_flow(state, flow, at);
        state.flows.erase(entry);
    }
    record_suspicion(state, index, change);
    return forward;
}

}  // namespace

auto handle_packet(forwarding_state& state, const client_packet& packet, const packet_context& context,
                   time_ms at) -> packet_verdict {
    if (!can_place(state.known)) {
        return drop(packet_reason::no_configuration);
    }
    if (packet.is_syn && packet.is_ack) {
        return drop(packet_reason::not_of_a_client);
    }
    if (packet.is_syn && context.was_delayed_by_pause) {
        return drop(packet_reason::waited_opening);
    }
    if (packet.is_syn) {
        return handle_syn(state, packet, context, at);
    }
    return handle_established(state, packet, context, at);
}

auto presume_dead(forwarding_state& state, target_index index, time_ms at) -> void {
    state.presumed_dead_targets.push_back(index);
    collect_flows_to_reset(state, index, at);
}

auto record_pause(forwarding_state& state, time_ms at) -> void {
    state.pending.clear();
    record_answer(state.reach);
    extend_startup_grace(state.known, at, at);
}

auto expire_flows(forwarding_state& state, std::int64_t idle_ms, time_ms at) -> void {
    const auto limit_ms = at < state.known.startup_grace_until ? restart_busy_limit_ms : busy_limit_ms;
    absl::erase_if(state.flows, [&](auto& entry) {
        auto& flow = entry.second;
        if (flow.is_busy && at - flow.busy_since > limit_ms) {
            set_busy(state, flow, false, at);
        }
        const auto limit = flow.is_open ? idle_ms : client_attempt_limit_ms;
        if (at - flow.last_packet <= limit) {
            return false;
        }
        release_flow(state, flow, at);
        return true;
    });
}

auto to_text(packet_reason reason) -> std::string_view {
    switch (reason) {
        case packet_reason::established:
            return "established";
        case packet_reason::former_service:
            return "former_service";
        case packet_reason::opened:
            return "opened";
        case packet_reason::open_retried:
            return "open_retried";
        case packet_reason::no_configuration:
            return "no_configuration";
        case packet_reason::waited_opening:
            return "waited_opening";
        case packet_reason::unknown_route:
            return "unknown_route";
        case packet_reason::stale_route:
            return "stale_route";
        case packet_reason::no_target:
            return "no_target";
        case packet_reason::zone_evacuated:
            return "zone_evacuated";
        case packet_reason::cut_off:
            return "cut_off";
        case packet_reason::waits_for_target:
            return "waits_for_target";
        case packet_reason::abandoned:
            return "abandoned";
        case packet_reason::may_be_answered:
            return "may_be_answered";
        case packet_reason::overloaded:
            return "overloaded";
        case packet_reason::cold_limited:
            return "cold_limited";
        case packet_reason::unknown_carrier:
            return "unknown_carrier";
        case packet_reason::unknown_carrier_reset:
            return "unknown_carrier_reset";
        case packet_reason::foreign_carrier:
            return "foreign_carrier";
        case packet_reason::shared_carrier:
            return "shared_carrier";
        case packet_reason::unreadable_target:
            return "unreadable_target";
        case packet_reason::target_left:
            return "target_left";
        case packet_reason::target_dead:
            return "target_dead";
        case packet_reason::no_carrier:
            return "no_carrier";
        case packet_reason::not_of_a_client:
            return "not_of_a_client";
    }
    return "unknown";
}

}  // namespace agatepost::edge
