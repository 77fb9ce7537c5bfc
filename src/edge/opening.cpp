#include "edge/opening_func.h"

#include <absl/algorithm/container.h>

#include <algorithm>
#include <optional>
#include <tl/expected.hpp>

#include "edge/cold_start_func.h"
#include "edge/evacuation_func.h"
#include "edge/flow_counts_func.h"
#include "edge/suspicion_func.h"
#include "edge/zone_overflow_func.h"

namespace agatepost::edge {

namespace {

// Until a flow of the route has closed, flows of idempotent routes are assumed to be long.
auto has_long_flows(const route_record& route) -> bool {
    return route.requests_per_flow == 0 ? route.entry.kind == request_kind::idempotent
                                        : route.requests_per_flow >= long_flow_requests;
}

// Counts the SYN of a flow at a target chosen for it.
auto count_placed(forwarding_state& state, flow_record& flow, target_index target, time_ms at)
    -> target_index {
    flow.tried.push_back(target);
    flow.target = target;
    ++load_of(state, target).pending_syns;
    record_cold_syn(state.known, target, at);
    return target;
}

// Chooses a target in another zone for the SYN of a flow that spillover moves, and counts it there.
auto place_in_other_zone(forwarding_state& state, const std::string& service, const route_record& route,
                         flow_record& flow, time_ms at) -> std::optional<target_index> {
    const auto request = flow_request{has_long_flows(route), state.zone};
    const auto target = choose_overflow_target(state, service, route, request, flow, at);
    return target ? std::optional(count_placed(state, flow, *target, at)) : std::nullopt;
}

// The same for a SYN that others wait before. They wait for targets of this zone, so a SYN that goes to
// another zone delays none of them.
auto place_ahead_of_queue(forwarding_state& state, const route_record& route, flow_record& flow, time_ms at)
    -> bool {
    const auto* service =
        state.overflow.is_enabled ? choose_service(state.known, route.entry, state.random) : nullptr;
    return service != nullptr && place_in_other_zone(state, *service, route, flow, at);
}

// Chooses one more target for the SYN of a flow and counts it there. Returns the reason if there is no
// target, or, with `may_refuse`, none that would answer in time.
auto place(forwarding_state& state, const route_record& route, flow_record& flow, bool may_refuse, time_ms at)
    -> tl::expected<target_index, packet_reason> {
    const auto* service = choose_service(state.known, route.entry, state.random);
    if (service == nullptr) {
        return tl::unexpected(is_refused_for_evacuation(state.known, route.entry)
                                  ? packet_reason::zone_evacuated
                                  : packet_reason::no_target);
    }
    if (const auto target = place_in_other_zone(state, *service, route, flow, at)) {
        return *target;
    }
    const auto request = flow_request{has_long_flows(route), state.zone};
    auto target = choose_target(state.known, *service, request, flow.tried, at, state.random);
    const auto limited = find_cold_limited_targets(state.known, *service, flow.tried, at);
    record_cold_skip(state, flow, limited);
    if (!target && !limited.empty()) {
        flow.target = flow.tried.empty() ? limited.front() : flow.target;  // for the log
        return tl::unexpected(packet_reason::cold_limited);
    }
    if (!target) {
        return tl::unexpected(packet_reason::no_target);
    }
    if (may_refuse && !is_in_time(route, state.known.targets[*target], at)) {
        // The choice weighs other loads too. A target with fewer requests in progress may be in time.
        target = least_busy_target(state.known, *service, at).value_or(*target);
        if (!is_in_time(route, state.known.targets[*target], at)) {
            flow.target = *target;
            return tl::unexpected(packet_reason::overloaded);
        }
    }
    return count_placed(state, flow, *target, at);
}

// Returns whether a SYN is a retransmission of the one that began an open flow. A client reuses ports for
// other flows, with any sequence number. If this host has not seen the SYN of the flow, the sequence number
// counts as the flow's if at most a request of the largest size was sent since.
auto is_retransmitted_syn(const client_packet& packet, const flow_record& flow) -> bool {
    if (flow.has_seen_syn) {
        return flow.syn_sequence == packet.sequence;
    }
    constexpr std::uint32_t most_request_bytes = 1U << 20U;
    return flow.highest_sequence - (packet.sequence + 1) < most_request_bytes;
}

// Returns whether a copy of an open flow's SYN goes to the flow's target. A copy that is only likely to be
// one must be allowed to open a flow there.
auto may_get_copy(const forwarding_state& state, const client_packet& packet, const flow_record& flow,
                  const route_record& route) -> bool {
    if (flow.is_at_former_service || !is_retransmitted_syn(packet, flow)) {
        return false;
    }
    return flow.has_seen_syn ? is_backend(route.entry, state.known.targets[flow.target].entry.service)
                             : may_open_at(state.known, route.entry, flow.target);
}

// Returns the target for a copy of a SYN that no further target gets: the last of those that it was sent to
// where it may still open a flow. Nothing if there is none.
auto target_of_copy(const directory& known, const route_record& route, const flow_record& flow)
    -> std::optional<target_index> {
    const auto may_get_it = [&](target_index index) { return may_open_at(known, route.entry, index); };
    const auto found = std::find_if(flow.tried.rbegin(), flow.tried.rend(), may_get_it);
    return found == flow.tried.rend() ? std::nullopt : std::optional<target_index>(*found);
}

// Forgets the targets that a flow's SYN was sent to if it may open a flow at none of them any more, so that
// it is placed again: its route has moved, or they drain or are evacuated.
auto forget_former_targets(forwarding_state& state, const route_record& route, flow_record& flow, time_ms at)
    -> void {
    if (!flow.tried.empty() && !target_of_copy(state.known, route, flow)) {
        forget_tried_targets(state, flow);
        flow.syn_sent_at = at;
    }
}

// Returns whether SYNs of the route are refused only after those of all other routes of its service.
auto is_refused_last(const route_record& route) -> bool {
    return route.is_highest_priority && route.has_lower_priority_route;
}

// Returns the service whose queue the route's SYNs wait in.
auto queue_service(const route_record& route) -> const std::string& {
    return route.entry.backends.front().service;
}

auto queue_of(forwarding_state& state, const route_record& route) -> service_queue& {
    return state.queues[queue_service(route)];
}

auto has_cold_limited_target(const forwarding_state& state, const std::string& service, time_ms at) -> bool {
    return !find_cold_limited_targets(state.known, service, {}, at).empty();
}

// Returns why SYNs of the route wait: its targets are full, or those that are not are cold.
auto wait_reason(const forwarding_state& state, const route_record& route, time_ms at) -> packet_reason {
    const auto& service = queue_service(route);
    return !has_busy_target(state.known, service) && has_cold_limited_target(state, service, at)
               ? packet_reason::cold_limited
               : packet_reason::overloaded;
}

// Returns whether a SYN that is not placed for this reason may wait.
auto may_wait(packet_reason reason) -> bool {
    return reason == packet_reason::overloaded || reason == packet_reason::cold_limited;
}

// Records that a SYN of the route cannot be placed in time, if its service has no free slots rather than
// targets that do not answer.
auto record_overload_of(forwarding_state& state, const std::string& service, time_ms at) -> void {
    if (has_busy_target(state.known, service) || has_cold_limited_target(state, service, at)) {
        record_overload(state.queues[service], state.known.startup_grace_until, at);
    }
}

// Returns the slots of the targets of the route's service in the zone that are not assigned to other hosts
// and count as destinations of new flows. While the zone is evacuated, those of other zones count instead.
auto assigned_slots(const forwarding_state& state, const route_record& route) -> std::uint32_t {
    const auto is_zone_evacuated = state.known.evacuated_zones.count(state.zone) != 0;
    auto slots = std::uint32_t{0};
    const auto members = state.known.by_service.find(queue_service(route));
    if (members == state.known.by_service.end()) {
        return 0;
    }
    for (const auto index : members->second) {
        const auto& target = state.known.targets[index];
        const auto is_own =
            is_zone_evacuated || (target.entry.zone == state.zone && !target.is_assigned_to_peer);
        slots += is_own && counts_for_new_flows(state.known, index) ? target.entry.slots : 0;
    }
    return slots;
}

// Starts the time-out of the SYN that was sent to the last target of the flow. `is_clients_own`, `packet`:
// see pending_syn.
auto start_timeout(forwarding_state& state, const flow_key& key, const flow_record& flow, bool is_clients_own,
                   const syn_packet& packet, time_ms at) -> void {
    const auto& zone = state.known.targets[flow.target].entry.zone;
    const auto pending = pending_syn{
        key, at, at + syn_timeout_ms(state.round_trips[zone]), flow.tried.size(), is_clients_own, packet};
    // Time-outs differ by zone, so a later SYN may time out earlier.
    const auto place = absl::c_upper_bound(
        state.pending, pending, [](const auto& a, const auto& b) { return a.deadline < b.deadline; });
    state.pending.insert(place, pending);
}

// Puts a SYN into the queue of its route's service.
auto start_wait(forwarding_state& state, const route_record& route, flow_record& flow, const waiting_syn& syn)
    -> void {
    flow.is_waiting = true;
    queue_of(state, route).waiting[route.entry.priority].push_back(syn);
}

// Returns the verdict on a SYN that gets no target. A copy is dropped: another host may have sent the first
// SYN to a target that still answers it.
auto refuse_syn(const client_packet& packet, packet_reason reason) -> packet_verdict {
    return packet.acknowledgement == 0 ? refuse(reason) : drop(packet_reason::may_be_answered);
}

// Forwards a SYN to the target that was chosen for it and starts its time-out.
auto forward_syn(forwarding_state& state, const client_packet& packet, const packet_context& context,
                 const flow_record& flow, time_ms at) -> packet_verdict {
    // Only a SYN without data can be sent again, since no more bytes are stored.
    if (packet.payload_bytes == 0) {
        start_timeout(state, packet.flow, flow, true, context.syn_bytes, at);
    }
    return {packet_action::forward,
            flow.tried.size() == 1 ? packet_reason::opened : packet_reason::open_retried, flow.target, true,
            true};
}

// Decides on a SYN that no target would answer in time, or that others are placed before.
auto handle_overload(forwarding_state& state, const client_packet& packet, const packet_context& context,
                     const route_record& route, flow_record& flow, time_ms at) -> packet_verdict {
    record_overload_of(state, queue_service(route), at);
    const auto request = admission_request{route.entry.priority,
                                           is_refused_last(route),
                                           packet.acknowledgement,
                                           route.entry.timeout_ms,
                                           expected_request_ms(route),
                                           assigned_slots(state, route),
                                           count_waiting_syns(state.queues)};
    auto decision = admit(queue_of(state, route), request, at);
    if (decision == admission::wait && packet.payload_bytes != 0) {
        decision = admission::place;
    }
    if (decision == admission::wait) {
        start_wait(
            state, route, flow,
            {packet.flow, at, at + max_wait_ms(request), packet.acknowledgement != 0, context.syn_bytes});
        return {packet_action::hold, packet_reason::waits_for_target, flow.target, false, true};
    }
    if (decision == admission::place) {
        if (place(state, route, flow, false, at)) {
            return forward_syn(state, packet, context, flow, at);
        }
    }
    auto verdict = refuse_syn(packet, wait_reason(state, route, at));
    verdict.target = flow.target;
    state.flows.erase(packet.flow);
    return verdict;
}

auto has_client_given_up(const flow_record& flow, time_ms at) -> bool {
    return is_abandoned(flow.attempt_start, flow.syn_copies, at);
}

// Returns the reason for ending the wait of a SYN without a target. A reset would tell the client that
// nothing has run, which is not known while a target may answer.
auto reason_without_target(const waiting_syn& waiting, packet_reason refusal) -> packet_reason {
    return waiting.may_be_answered ? packet_reason::may_be_answered : refusal;
}

// Returns the outcome for a waiting SYN if it can be placed or its time is up, or nothing if it must wait on.
auto try_end_wait(forwarding_state& state, const waiting_syn& waiting, time_ms at)
    -> std::optional<waited_opening> {
    auto& flow = state.flows[waiting.flow];
    const auto* route = find_route(state.known, waiting.flow);
    auto done =
        waited_opening{{waiting.flow, 0, waiting.packet}, packet_reason::opened, at - waiting.arrived};
    if (has_client_given_up(flow, at)) {
        done.reason = packet_reason::abandoned;
        return done;
    }
    if (route == nullptr) {
        done.reason = reason_without_target(waiting, packet_reason::unknown_route);
        return done;
    }
    if (is_cut_off(state.reach, at)) {
        done.reason = reason_without_target(waiting, packet_reason::cut_off);
        return done;
    }
    const auto is_over = at >= waiting.wait_deadline;
    auto target = place(state, *route, flow, true, at);
    if (!target && target.error() == packet_reason::overloaded && is_over &&
        (waiting.may_be_answered || is_refused_last(*route))) {
        target = place(state, *route, flow, false, at);
    }
    if (target) {
        done.opening.target = *target;
        return done;
    }
    if (may_wait(target.error()) && !is_over) {
        return std::nullopt;
    }
    done.opening.target = flow.target;
    done.reason = reason_without_target(waiting, target.error());
    return done;
}

// Moves the SYNs of a queue whose wait ends now to `taken`. Those behind one that cannot be placed wait on,
// but for those whose route has moved to another service.
auto collect_from_queue(forwarding_state& state, const std::string& service, service_queue& queue, time_ms at,
                        std::vector<waited_opening>& taken) -> void {
    auto can_place_more = true;
    for (auto& [priority, syns] : queue.waiting) {
        for (auto i = syns.begin(); i != syns.end();) {
            const auto found = state.flows.find(i->flow);
            const auto is_waiting = found != state.flows.end() && found->second.is_waiting;
            const auto* route = find_route(state.known, i->flow);
            const auto has_moved = route != nullptr && queue_service(*route) != service;
            if (is_waiting && !can_place_more && !has_moved && at < i->wait_deadline &&
                !is_cut_off(state.reach, at) && !has_client_given_up(found->second, at)) {
                ++i;
                continue;
            }
            if (is_waiting) {
                auto done = try_end_wait(state, *i, at);
                if (!done) {
                    if (!has_moved) {
                        can_place_more = false;
                        record_overload_of(state, service, at);
                    }
                    ++i;
                    continue;
                }
                taken.push_back(*done);
            }
            i = syns.erase(i);
        }
    }
}

// Updates the flow of a SYN whose wait has ended.
auto finish_wait(forwarding_state& state, const waited_opening& done, time_ms at) -> void {
    const auto& opening = done.opening;
    if (done.reason != packet_reason::opened) {
        state.flows.erase(opening.flow);
        return;
    }
    auto& flow = state.flows[opening.flow];
    flow.is_waiting = false;
    flow.last_packet = at;
    flow.syn_sent_at = at;
    start_timeout(state, opening.flow, flow, false, opening.packet, at);
}

// Sends a SYN that no target has answered to another one. If none has room, the SYN waits: a full target does
// not answer.
auto retry_syn(forwarding_state& state, const pending_syn& pending, flow_record& flow,
               const route_record& route, time_ms at, std::vector<syn_resend>& retries) -> void {
    const auto& service = queue_service(route);
    // Beside free slots, two silent targets in a row mostly mean that the client has given up. It sends a
    // copy if it has not.
    if (!pending.is_clients_own && !has_busy_target(state.known, service)) {
        return;
    }
    if (flow.tried.size() < syn_target_limit) {
        if (const auto target = place(state, route, flow, true, at)) {
            retries.push_back({pending.flow, *target, pending.packet});
            start_timeout(state, pending.flow, flow, false, pending.packet, at);
            return;
        }
        record_overload_of(state, service, at);
    }
    const auto wait_deadline = flow.attempt_start + max_syn_wait_ms;
    if (at + max_syn_timeout_ms >= wait_deadline) {
        return;
    }
    forget_tried_targets(state, flow);
    start_wait(state, route, flow, {pending.flow, at, wait_deadline, true, pending.packet});
}

// Ends the unanswered attempts that this SYN follows up: the client's other SYNs to the service address whose
// answers are overdue. Their targets have most likely reset them, and are backed off at once, so that the
// client's next tries don't all meet the same one. An attempt that goes on after all sends a copy.
auto end_attempts_before(forwarding_state& state, const client_packet& packet, time_ms at) -> void {
    for (const auto& pending : state.pending) {
        // Most SYNs are of other clients, so the flow is looked up after this check.
        if (!is_of_same_client(pending.flow, packet.flow)) {
            continue;
        }
        const auto found = state.flows.find(pending.flow);
        if (found == state.flows.end()) {
            continue;
        }
        auto& flow = found->second;
        const auto is_unanswered = !flow.is_open && !flow.is_waiting && !flow.is_followed_up &&
                                   pending.is_clients_own && pending.tried == flow.tried.size();
        if (!is_unanswered) {
            continue;
        }
        const auto& estimate = state.round_trips[state.known.targets[flow.target].entry.zone];
        if (estimate.smoothed_ms != 0 && at - pending.sent >= usual_answer_ms(estimate)) {
            flow.is_followed_up = true;
            release_tried_targets(state, flow, flow.tried.size());
            record_syn_timeout(load_of(state, flow.target), at);
        }
    }
}

}  // namespace

auto handle_syn(forwarding_state& state, const client_packet& packet, const packet_context& context,
                time_ms at) -> packet_verdict {
    auto* route = find_route(state.known, packet.flow);
    if (route == nullptr) {
        return context.is_view_current ? refuse(packet_reason::unknown_route)
                                       : drop(packet_reason::stale_route);
    }
    auto& flow = state.flows[packet.flow];
    if (flow.is_open) {
        // A SYN never goes to a former service. A late copy of the flow's SYN is placed as a new flow, whose
        // SYN-ACK the client resets.
        if (may_get_copy(state, packet, flow, *route)) {
            if (!send_cold_copy(state, flow.target, at)) {
                return drop(packet_reason::cold_limited);
            }
            return {packet_action::forward, packet_reason::established, flow.target, true, false};
        }
        release_flow(state, flow, at);
        flow = flow_record{};
    }
    flow.last_packet = at;
    flow.syn_copies = packet.acknowledgement;
    flow.is_followed_up = false;
    if (is_cut_off(state.reach, at) && !start_probe_if_due(state.reach, at)) {
        const auto has_tried = !flow.tried.empty();
        release_flow(state, flow, at);
        state.flows.erase(packet.flow);
        // The targets that this host sent the SYN to have not answered before the copy.
        return has_tried ? refuse(packet_reason::cut_off) : refuse_syn(packet, packet_reason::cut_off);
    }
    if (flow.is_waiting) {
        return {packet_action::drop, packet_reason::waits_for_target, flow.target, false, false};
    }
    const auto is_first = flow.tried.empty();
    flow.highest_sequence = packet.sequence + 1;
    flow.has_seen_syn = true;
    flow.syn_sequence = packet.sequence;
    if (is_first) {
        flow.syn_sent_at = at;
        flow.overflow_draw = next_draw(state.overflow);
        flow.attempt_start = at + -attempt_age_ms(packet.acknowledgement);
        end_attempts_before(state, packet, at);
        count_route_use(state, *route);
        // Waiting would not help when all targets are evacuated.
        if (!is_refused_for_evacuation(state.known, route->entry) &&
            count_waiting_ahead(queue_of(state, *route), route->entry.priority, is_refused_last(*route),
                                at) != 0) {
            if (place_ahead_of_queue(state, *route, flow, at)) {
                return forward_syn(state, packet, context, flow, at);
            }
            return handle_overload(state, packet, context, *route, flow, at);
        }
    }
    forget_former_targets(state, *route, flow, at);
    auto refusal = packet_reason::no_target;
    if (flow.tried.size() < syn_target_limit) {
        const auto target = place(state, *route, flow, is_first, at);
        if (target) {
            return forward_syn(state, packet, context, flow, at);
        }
        refusal = target.error();
    }
    if (is_first && may_wait(refusal)) {
        return handle_overload(state, packet, context, *route, flow, at);
    }
    if (is_first) {
        state.flows.erase(packet.flow);
        return refuse_syn(packet, refusal);
    }
    const auto target = target_of_copy(state.known, *route, flow);
    if (!target) {
        return drop(packet_reason::may_be_answered);
    }
    if (!send_cold_copy(state, *target, at)) {
        return drop(packet_reason::cold_limited);
    }
    return {packet_action::forward, packet_reason::open_retried, *target, true, true};
}

auto collect_syn_retries(forwarding_state& state, time_ms at) -> std::vector<syn_resend> {
    auto retries = std::vector<syn_resend>{};
    while (!state.pending.empty() && state.pending.front().deadline <= at) {
        const auto pending = state.pending.front();
        state.pending.pop_front();
        const auto found = state.flows.find(pending.flow);
        if (found == state.flows.end() || found->second.is_open || found->second.is_waiting ||
            found->second.is_followed_up || pending.tried > found->second.tried.size()) {
            continue;
        }
        auto& flow = found->second;
        release_tried_targets(state, flow, pending.tried);
        if (pending.is_clients_own) {
            record_syn_timeout(load_of(state, flow.tried[pending.tried - 1]), at);
        }
        // After starts in the zone all targets may be full and this host may handle answers late.
        const auto is_startup_over = at >= state.known.startup_grace_until;
        if (count_syn_timeout(state.reach, at) && is_startup_over && are_targets_silent(state.known)) {
            mark_cut_off(state.reach, at);
        }
        if (const auto* route = find_route(state.known, pending.flow)) {
            retry_syn(state, pending, flow, *route, at, retries);
        }
    }
    return retries;
}

auto collect_waited_syns(forwarding_state& state, time_ms at) -> std::vector<waited_opening> {
    auto taken = std::vector<waited_opening>{};
    for (auto& [service, queue] : state.queues) {
        const auto first = taken.size();
        collect_from_queue(state, service, queue, at, taken);
        for (auto i = first; i < taken.size(); ++i) {
            finish_wait(state, taken[i], at);
        }
    }
    return taken;
}

auto action_after_wait(packet_reason reason) -> packet_action {
    switch (reason) {
        case packet_reason::opened:
            return packet_action::forward;
        case packet_reason::abandoned:
        case packet_reason::may_be_answered:
            return packet_action::drop;
        default:
            return packet_action::reset;
    }
}

auto refuse_waiting_syns(forwarding_state& state, time_ms at) -> std::vector<waited_opening> {
    auto refused = std::vector<waited_opening>{};
    for (auto& [service, queue] : state.queues) {
        for (auto& [priority, syns] : queue.waiting) {
            for (const auto& waiting : syns) {
                const auto found = state.flows.find(waiting.flow);
                if (found != state.flows.end() && found->second.is_waiting) {
                    refused.push_back({{waiting.flow, found->second.target, waiting.packet},
                                       reason_without_target(waiting, packet_reason::overloaded),
                                       at - waiting.arrived});
                    state.flows.erase(found);
                }
            }
        }
        queue.waiting.clear();
    }
    return refused;
}

}  // namespace agatepost::edge
