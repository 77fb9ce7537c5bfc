#include <absl/algorithm/container.h>

#include <algorithm>
#include <optional>
#include <tl/expected.hpp>

#include "edge/forwarding_base.h"
#include "edge/suspicion_func.h"

namespace agatepost::edge {

namespace {

// Returns whether sequence number a is after b, modulo 2^32.
auto is_after(std::uint32_t a, std::uint32_t b) -> bool {
    return static_cast<std::int32_t>(a - b) > 0;
}

auto load_of(forwarding_state& state, target_index index) -> target_load& {
    return state.known.targets[index].load;
}

auto decrement(std::uint32_t& value) -> void {
    value -= value == 0 ? 0 : 1;
}

auto set_busy(forwarding_state& state, flow_record& flow, bool is_busy, time_ms at) -> void {
    if (flow.is_busy == is_busy) {
        return;
    }
    flow.is_busy = is_busy;
    flow.busy_since = at;
    auto& busy = load_of(state, flow.target).busy_flows;
    if (is_busy) {
        ++busy;
    } else {
        decrement(busy);
    }
}

// Removes a SYN from the counts of the first `count` targets that it was sent to.
auto release_tried_targets(forwarding_state& state, flow_record& flow, std::size_t count) -> void {
    for (; flow.released_targets < count && flow.released_targets < flow.tried.size();
         ++flow.released_targets) {
        decrement(load_of(state, flow.tried[flow.released_targets]).pending_syns);
    }
}

// Removes a flow from the counts of its target, or of the targets that its SYN was sent to.
auto release_flow(forwarding_state& state, flow_record& flow, time_ms at) -> void {
    if (flow.is_open) {
        set_busy(state, flow, false, at);
        decrement(load_of(state, flow.target).open_flows);
        return;
    }
    release_tried_targets(state, flow, flow.tried.size());
}

auto update_requests_per_flow(forwarding_state& state, const flow_key& key, const flow_record& flow) -> void {
    auto* route = find_route(state.known, key);
    if (route == nullptr || flow.requests == 0) {
        return;
    }
    const auto requests = static_cast<double>(flow.requests);
    route->requests_per_flow =
        route->requests_per_flow == 0
            ? requests
            : route->requests_per_flow + (requests - route->requests_per_flow) * requests_average_weight;
}

auto refuse(packet_reason reason) -> packet_verdict {
    return {packet_action::reset, reason, 0, false, true};
}

auto drop(packet_reason reason) -> packet_verdict {
    return {packet_action::drop, reason, 0, false, true};
}

// Until a flow of the route has closed, flows of idempotent routes are assumed to be long.
auto has_long_flows(const route_record& route) -> bool {
    return route.requests_per_flow == 0 ? route.entry.kind == request_kind::idempotent
                                        : route.requests_per_flow >= long_flow_requests;
}

// Chooses one more target for the SYN of a flow and counts it there. Returns the reason if there is no
// target, or, with `may_refuse`, none that would answer in time.
auto place(forwarding_state& state, const route_record& route, flow_record& flow, bool may_refuse, time_ms at)
    -> tl::expected<target_index, packet_reason> {
    const auto* service = choose_service(state.known, route.entry, state.random);
    if (service == nullptr) {
        return tl::unexpected(packet_reason::no_target);
    }
    const auto request = flow_request{has_long_flows(route), state.zone};
    auto target = choose_target(state.known, *service, request, flow.tried, at, state.random);
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
    flow.tried.push_back(*target);
    flow.target = *target;
    ++load_of(state, *target).pending_syns;
    return *target;
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

// Returns whether SYNs of the route are refused only after those of all other routes of its service.
auto is_refused_last(const route_record& route) -> bool {
    return route.is_highest_priority && route.has_lower_priority_route;
}

auto queue_of(forwarding_state& state, const route_record& route) -> service_queue& {
    return state.queues[route.entry.backends.front().service];
}

// Returns the slots of the targets of the route's service in the zone that are not assigned to other hosts.
auto assigned_slots(const forwarding_state& state, const route_record& route) -> std::uint32_t {
    auto slots = std::uint32_t{0};
    const auto members = state.known.by_service.find(route.entry.backends.front().service);
    if (members == state.known.by_service.end()) {
        return 0;
    }
    for (const auto index : members->second) {
        const auto& target = state.known.targets[index];
        slots += target.entry.zone == state.zone && !target.is_assigned_to_peer ? target.entry.slots : 0;
    }
    return slots;
}

// Forwards a SYN to the target that was chosen for it and starts its time-out.
auto forward_syn(forwarding_state& state, const client_packet& packet, target_index target, time_ms at)
    -> packet_verdict {
    const auto tried = state.flows[packet.flow].tried.size();
    // Only a SYN without data can be sent again, since no more bytes are stored.
    if (packet.payload_bytes == 0) {
        state.pending.push_back({packet.flow, at + syn_answer_timeout_ms, tried, {}});
    }
    return {packet_action::forward, tried == 1 ? packet_reason::opened : packet_reason::open_retried, target,
            true, true};
}

// Decides on a SYN that no target would answer in time, or that others are placed before.
auto handle_overload(forwarding_state& state, const client_packet& packet, const route_record& route,
                     flow_record& flow, time_ms at) -> packet_verdict {
    auto& queue = queue_of(state, route);
    record_overload(queue, state.known.startup_grace_until, at);
    const auto request = admission_request{route.entry.priority,
                                           is_refused_last(route),
                                           packet.acknowledgement,
                                           route.entry.timeout_ms,
                                           expected_request_ms(route),
                                           assigned_slots(state, route),
                                           count_waiting_syns(state.queues)};
    auto decision = admit(queue, request, at);
    if (decision == admission::wait && packet.payload_bytes != 0) {
        decision = admission::place;
    }
    if (decision == admission::wait) {
        flow.is_waiting = true;
        queue.waiting[route.entry.priority].push_back(
            {packet.flow, at, at + max_wait_ms(request), packet.acknowledgement != 0, syn_packet{}});
        return {packet_action::hold, packet_reason::waits_for_target, flow.target, false, true};
    }
    if (decision == admission::place) {
        if (const auto target = place(state, route, flow, false, at)) {
            return forward_syn(state, packet, *target, at);
        }
    }
    auto verdict = refuse(packet_reason::overloaded);
    verdict.target = flow.target;
    state.flows.erase(packet.flow);
    return verdict;
}

// Counts a use of a route. Each doubling of the count updates the routes of highest priority.
auto count_route_use(forwarding_state& state, route_record& route) -> void {
    ++route.requests;
    const auto times = route.requests / route_in_use_requests;
    const auto is_doubled = times != 0 && (times & (times - 1)) == 0;
    if (route.requests % route_in_use_requests == 0 && is_doubled) {
        update_route_priorities(state.known);
    }
}

auto handle_syn(forwarding_state& state, const client_packet& packet, packet_context context, time_ms at)
    -> packet_verdict {
    auto* route = find_route(state.known, packet.flow);
    if (route == nullptr) {
        return context.is_view_current ? refuse(packet_reason::unknown_route)
                                       : drop(packet_reason::stale_route);
    }
    auto& flow = state.flows[packet.flow];
    if (flow.is_open) {
        if (is_retransmitted_syn(packet, flow)) {
            return {packet_action::forward, packet_reason::established, flow.target, true, false};
        }
        release_flow(state, flow, at);
        flow = flow_record{};
    }
    flow.last_packet = at;
    if (is_cut_off(state.reach, at) && !start_probe_if_due(state.reach, at)) {
        release_flow(state, flow, at);
        state.flows.erase(packet.flow);
        return refuse(packet_reason::cut_off);
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
        flow.attempt_start = at + -attempt_age_ms(packet.acknowledgement);
        count_route_use(state, *route);
        if (count_waiting_ahead(queue_of(state, *route), route->entry.priority, is_refused_last(*route),
                                at) != 0) {
            return handle_overload(state, packet, *route, flow, at);
        }
    }
    auto refusal = packet_reason::no_target;
    if (flow.tried.size() < syn_target_limit) {
        if (const auto target = place(state, *route, flow, is_first, at)) {
            return forward_syn(state, packet, *target, at);
        } else {
            refusal = target.error();
        }
    }
    if (is_first && refusal == packet_reason::overloaded) {
        return handle_overload(state, packet, *route, flow, at);
    }
    if (is_first) {
        state.flows.erase(packet.flow);
        return refuse(refusal);
    }
    return {packet_action::forward, packet_reason::open_retried, flow.target, true, true};
}

// Returns the outcome for a waiting SYN if it can be placed or its time is up, or nothing if it must wait on.
auto try_end_wait(forwarding_state& state, const waiting_syn& waiting, time_ms at)
    -> std::optional<waited_opening> {
    auto& flow = state.flows[waiting.flow];
    const auto* route = find_route(state.known, waiting.flow);
    auto done =
        waited_opening{{waiting.flow, 0, waiting.packet}, packet_reason::opened, at - waiting.arrived};
    if (route == nullptr) {
        done.reason = packet_reason::unknown_route;
        return done;
    }
    if (is_cut_off(state.reach, at)) {
        done.reason = packet_reason::cut_off;
        return done;
    }
    const auto is_over = at >= waiting.wait_deadline;
    auto target = place(state, *route, flow, true, at);
    if (!target && target.error() == packet_reason::overloaded && is_over &&
        (waiting.is_retransmitted || is_refused_last(*route))) {
        target = place(state, *route, flow, false, at);
    }
    if (target) {
        done.opening.target = *target;
        return done;
    }
    if (target.error() == packet_reason::overloaded && !is_over) {
        return std::nullopt;
    }
    done.opening.target = flow.target;
    done.reason = target.error();
    return done;
}

// Moves the SYNs of a queue whose wait ends now to `taken`. Those behind one that cannot be placed wait on.
auto collect_from_queue(forwarding_state& state, service_queue& queue, time_ms at,
                        std::vector<waited_opening>& taken) -> void {
    auto can_place_more = true;
    for (auto& [priority, syns] : queue.waiting) {
        for (auto i = syns.begin(); i != syns.end();) {
            const auto found = state.flows.find(i->flow);
            const auto is_waiting = found != state.flows.end() && found->second.is_waiting;
            if (is_waiting && !can_place_more && at < i->wait_deadline && !is_cut_off(state.reach, at)) {
                ++i;
                continue;
            }
            if (is_waiting) {
                auto done = try_end_wait(state, *i, at);
                if (!done) {
                    can_place_more = false;
                    record_overload(queue, state.known.startup_grace_until, at);
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
    state.pending.push_back({opening.flow, at + syn_answer_timeout_ms, flow.tried.size(), opening.packet});
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

// Records that a target became suspect or presumed dead, for the log, and collects the flows of a dead one.
auto record_suspicion(forwarding_state& state, target_index index, suspicion_change change, time_ms at)
    -> void {
    if (change == suspicion_change::suspect) {
        state.suspected_targets.push_back(index);
    } else if (change == suspicion_change::dead) {
        state.presumed_dead_targets.push_back(index);
        collect_flows_to_reset(state, index, at);
    }
}

// Records that a target answered the SYN of a flow, and that targets which received it earlier did not. Only
// an answer shows that the client is alive and that packets of this host arrive.
auto record_syn_answered(forwarding_state& state, flow_record& flow, target_index index, time_ms at) -> void {
    const auto answered = absl::c_find(flow.tried, index);
    if (answered != flow.tried.end()) {
        record_answer(state.reach);
        record_answered_syn(load_of(state, index), at);
        for (auto silent = flow.tried.begin(); silent != answered; ++silent) {
            record_suspicion(state, *silent,
                             record_unanswered_syn(state.known, *silent, flow.syn_sent_at, at), at);
        }
    }
    release_tried_targets(state, flow, flow.tried.size());
    flow.tried.clear();
    flow.released_targets = 0;
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
    if (!flow.is_busy) {
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
    -> void {
    const auto end = packet.sequence + packet.payload_bytes;
    if (!is_after(end, flow.highest_sequence)) {
        const auto change = record_retransmission(state.known, flow.target, flow.stalled_epoch, at);
        if (change == suspicion_change::dead) {
            state.presumed_dead_targets.push_back(flow.target);
        }
        return;
    }
    flow.highest_sequence = end;
    if (!flow.is_busy) {
        ++flow.requests;
        flow.found_free_slot = busy_per_slot(state.known.targets[flow.target]) < 1;
        set_busy(state, flow, true, at);
    }
}

// Returns whether data to a target that is presumed dead ends its flow. Flows of non-idempotent routes go on:
// a reset does not tell the client whether its request has run.
auto is_reset_for_dead_target(const client_packet& packet, const route_record& route, const target_load& load,
                              time_ms at) -> bool {
    return packet.payload_bytes != 0 && at < load.presumed_dead_until &&
           route.entry.kind != request_kind::non_idempotent;
}

auto handle_unknown_carrier(forwarding_state& state, const client_packet& packet, packet_context context,
                            time_ms at) -> packet_verdict {
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

auto handle_established(forwarding_state& state, const client_packet& packet, packet_context context,
                        time_ms at) -> packet_verdict {
    if (packet.carrier == 0) {
        return drop(packet_reason::no_carrier);
    }
    auto* route = find_route(state.known, packet.flow);
    if (route == nullptr) {
        return context.is_view_current ? refuse(packet_reason::unknown_route)
                                       : drop(packet_reason::stale_route);
    }
    const auto found = state.known.by_carrier.find(packet.carrier);
    if (found == state.known.by_carrier.end()) {
        return handle_unknown_carrier(state, packet, context, at);
    }
    const auto index = found->second;
    auto& target = state.known.targets[index];
    if (!absl::c_linear_search(route->services, target.entry.service)) {
        return drop(packet_reason::foreign_carrier);
    }
    const auto forward =
        packet_verdict{packet_action::forward, packet_reason::established, index, false, false};
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
    flow.last_packet = at;
    if (is_after(packet.acknowledgement, flow.acknowledgement)) {
        flow.acknowledgement = packet.acknowledgement;
        update_request_time(state, *route, flow, at);
        record_answer(state.reach);
        record_progress(target.load, at);
        set_busy(state, flow, false, at);
    }
    const auto previous_sequence = flow.highest_sequence;
    if (packet.payload_bytes != 0) {
        record_data(state, flow, packet, at);
    }
    const auto is_left =
        is_reset_for_gone_target(packet, *route, target, previous_sequence == flow.highest_sequence, at);
    if (is_left || is_reset_for_dead_target(packet, *route, target.load, at)) {
        release_flow(state, flow, at);
        state.flows.erase(entry);
        return refuse(is_left ? packet_reason::target_left : packet_reason::target_dead);
    }
    if (packet.is_fin) {
        update_requests_per_flow(state, packet.flow, flow);
        release_flow(state, flow, at);
        state.flows.erase(entry);
    }
    return forward;
}

}  // namespace

auto handle_packet(forwarding_state& state, const client_packet& packet, packet_context context, time_ms at)
    -> packet_verdict {
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

auto record_pause(forwarding_state& state, time_ms at) -> void {
    state.pending.clear();
    record_answer(state.reach);
    extend_startup_grace(state.known, at, at);
}

auto store_syn_bytes(forwarding_state& state, const flow_key& flow, const syn_packet& bytes) -> void {
    if (!state.pending.empty() && state.pending.back().flow == flow) {
        state.pending.back().packet = bytes;
        return;
    }
    const auto* route = find_route(state.known, flow);
    if (route == nullptr) {
        return;
    }
    auto& syns = queue_of(state, *route).waiting[route->entry.priority];
    if (!syns.empty() && syns.back().flow == flow) {
        syns.back().packet = bytes;
    }
}

auto collect_waited_syns(forwarding_state& state, time_ms at) -> std::vector<waited_opening> {
    auto taken = std::vector<waited_opening>{};
    for (auto& [service, queue] : state.queues) {
        const auto first = taken.size();
        collect_from_queue(state, queue, at, taken);
        for (auto i = first; i < taken.size(); ++i) {
            finish_wait(state, taken[i], at);
        }
    }
    return taken;
}

auto refuse_waiting_syns(forwarding_state& state, time_ms at) -> std::vector<waited_opening> {
    auto refused = std::vector<waited_opening>{};
    for (auto& [service, queue] : state.queues) {
        for (auto& [priority, syns] : queue.waiting) {
            for (const auto& waiting : syns) {
                const auto found = state.flows.find(waiting.flow);
                if (found != state.flows.end() && found->second.is_waiting) {
                    refused.push_back({{waiting.flow, found->second.target, waiting.packet},
                                       packet_reason::overloaded,
                                       at - waiting.arrived});
                    state.flows.erase(found);
                }
            }
        }
        queue.waiting.clear();
    }
    return refused;
}

// Sends a SYN that no target has answered to another one. If none has room, the SYN waits: a full target does
// not answer.
auto retry_syn(forwarding_state& state, const pending_syn& pending, flow_record& flow,
               const route_record& route, time_ms at, std::vector<syn_resend>& retries) -> void {
    auto& queue = queue_of(state, route);
    if (flow.tried.size() < syn_target_limit) {
        if (const auto target = place(state, route, flow, true, at)) {
            retries.push_back({pending.flow, *target, pending.packet});
            state.pending.push_back(
                {pending.flow, at + syn_answer_timeout_ms, flow.tried.size(), pending.packet});
            return;
        }
        record_overload(queue, state.known.startup_grace_until, at);
    }
    const auto wait_deadline = flow.attempt_start + max_syn_wait_ms;
    if (at + syn_answer_timeout_ms >= wait_deadline) {
        return;
    }
    flow.tried.clear();
    flow.released_targets = 0;
    flow.is_waiting = true;
    queue.waiting[route.entry.priority].push_back({pending.flow, at, wait_deadline, true, pending.packet});
}

auto collect_syn_retries(forwarding_state& state, time_ms at) -> std::vector<syn_resend> {
    auto retries = std::vector<syn_resend>{};
    while (!state.pending.empty() && state.pending.front().deadline <= at) {
        const auto pending = state.pending.front();
        state.pending.pop_front();
        const auto found = state.flows.find(pending.flow);
        if (found == state.flows.end() || found->second.is_open || found->second.is_waiting ||
            pending.tried > found->second.tried.size()) {
            continue;
        }
        auto& flow = found->second;
        release_tried_targets(state, flow, pending.tried);
        record_syn_timeout(load_of(state, flow.tried[pending.tried - 1]), at);
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
        case packet_reason::cut_off:
            return "cut_off";
        case packet_reason::waits_for_target:
            return "waits_for_target";
        case packet_reason::overloaded:
            return "overloaded";
        case packet_reason::unknown_carrier:
            return "unknown_carrier";
        case packet_reason::unknown_carrier_reset:
            return "unknown_carrier_reset";
        case packet_reason::foreign_carrier:
            return "foreign_carrier";
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
