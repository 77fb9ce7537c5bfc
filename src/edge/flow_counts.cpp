#include "edge/flow_counts_func.h"

#include "edge/former_service_func.h"

namespace agatepost::edge {

namespace {

auto decrement(std::uint32_t& value) -> void {
    value -= value == 0 ? 0 : 1;
}

}  // namespace

auto load_of(forwarding_state& state, target_index index) -> target_load& {
    return state.known.targets[index].load;
}

auto set_busy(forwarding_state& state, flow_record& flow, bool is_busy, time_ms at) -> void {
    if (flow.is_busy == is_busy) {
        return;
    }
    flow.is_busy = is_busy;
    flow.busy_since = at;
    auto& load = load_of(state, flow.target);
    auto& busy = load.busy_flows;
    if (is_busy) {
        load.waiting_since = busy == 0 ? at : load.waiting_since;
        ++busy;
    } else {
        decrement(busy);
    }
}

auto release_tried_targets(forwarding_state& state, flow_record& flow, std::size_t count) -> void {
    for (; flow.released_targets < count && flow.released_targets < flow.tried.size();
         ++flow.released_targets) {
        decrement(load_of(state, flow.tried[flow.released_targets]).pending_syns);
    }
}

auto forget_tried_targets(forwarding_state& state, flow_record& flow) -> void {
    release_tried_targets(state, flow, flow.tried.size());
    flow.tried.clear();
    flow.released_targets = 0;
}

auto release_flow(forwarding_state& state, flow_record& flow, time_ms at) -> void {
    if (flow.is_open) {
        set_busy(state, flow, false, at);
        set_at_former_service(state, flow, false, at);
        decrement(load_of(state, flow.target).open_flows);
        return;
    }
    release_tried_targets(state, flow, flow.tried.size());
}

auto count_route_use(forwarding_state& state, route_record& route) -> void {
    ++route.requests;
    const auto times = route.requests / route_in_use_requests;
    const auto is_doubled = times != 0 && (times & (times - 1)) == 0;
    if (route.requests % route_in_use_requests == 0 && is_doubled) {
        update_route_priorities(state.known);
    }
}

auto refuse(packet_reason reason) -> packet_verdict {
    return {packet_action::reset, reason, 0, false, true};
}

auto drop(packet_reason reason) -> packet_verdict {
    return {packet_action::drop, reason, 0, false, true};
}

}  // namespace agatepost::edge
