// Counts of flows at their targets and routes, and the verdicts that end a flow.
#pragma once

#include <cstddef>

#include "edge/forwarding_base.h"

namespace agatepost::edge {

// Returns the load of a target.
auto load_of(forwarding_state& state, target_index index) -> target_load&;

// Records whether an open flow has a request in progress, in the flow and at its target.
auto set_busy(forwarding_state& state, flow_record& flow, bool is_busy, time_ms at) -> void;

// Removes a SYN from the counts of the first `count` targets that it was sent to.
auto release_tried_targets(forwarding_state& state, flow_record& flow, std::size_t count) -> void;

// Removes a SYN from the counts of all targets that it was sent to, and forgets them.
auto forget_tried_targets(forwarding_state& state, flow_record& flow) -> void;

// Removes a flow from the counts of its target, or of the targets that its SYN was sent to.
auto release_flow(forwarding_state& state, flow_record& flow, time_ms at) -> void;

// Counts a use of a route. Each doubling of the count updates the routes of highest priority.
auto count_route_use(forwarding_state& state, route_record& route) -> void;

// Returns the verdict that resets a flow.
auto refuse(packet_reason reason) -> packet_verdict;

// Returns the verdict that discards a packet.
auto drop(packet_reason reason) -> packet_verdict;

}  // namespace agatepost::edge
