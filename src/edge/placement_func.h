// Where a new flow goes. Free functions over what is known; no input, output or clock.
#pragma once

#include <absl/container/inlined_vector.h>

#include <cstdint>
#include <optional>
#include <random>
#include <string>

#include "edge/directory_base.h"

namespace agatepost::edge {

// Targets that an opening packet was sent to already.
using tried_targets = absl::InlinedVector<target_index, 3>;

// Requests per flow from which a route's flows count as long: they stay at their target for many requests.
constexpr double long_flow_requests = 3.0;

// Share of its time that an open flow without a request counts as busy: a feed with a request a second of 55
// ms.
constexpr double idle_flow_load = 0.06;

// For a long flow, the weight of requests in progress against that of open flows. The flow outlives them, but
// they tell apart targets with equal numbers of flows.
constexpr double busy_weight_for_long_flows = 0.1;

// Load per slot by which a target of another zone must be less loaded: crossing zones costs two more delays
// between zones and a price per byte.
constexpr double other_zone_load = 1.2;

// Load per slot by which a target that is dealt to another host of the zone must be less loaded: its load is
// not known here, and one request in progress of two slots is what the own targets may have before.
constexpr double other_share_load = 0.5;

// A target that has just started takes this many times as long for a request.
constexpr double cold_slowdown = 1.6;

// What a new flow is like.
struct flow_request {
    bool is_long = false;   // stays open for many requests
    std::string_view zone;  // of this host
};

// Shares of a route's target latency that a new request may be expected to take. Beyond the second no request
// is admitted: it would come late, and make those after it late. Routes that others of their service go
// before stop at the first, which keeps room for urgent ones. Flows that are open go on using slots, so the
// first has to be well below one.
constexpr double other_latency_share = 0.8;
constexpr double urgent_latency_share = 2.0;

// Returns the requests in progress or on their way per slot of a target, as far as this host knows.
auto busy_per_slot(const target_record& target) -> double;

// Returns the target of a service with the fewest requests per slot, or nothing. Suspects and full ones are
// left out.
auto least_busy_target(const directory& known, const std::string& service, time_ms at)
    -> std::optional<target_index>;

// Share of a route's target latency that its requests are taken to need until one was timed. Without it, a
// host that has just started takes any load for none.
constexpr double assumed_latency_share = 0.25;

// Returns how long a request of the route takes at a free slot.
auto expected_request_ms(const route_record& route) -> double;

// Returns whether a new request of the route is expected to be answered in time by the target.
auto is_in_time(const route_record& route, const target_record& target, time_ms at) -> bool;

// Deals the targets of a zone among its hosts: each target goes to one host by the highest weight of their
// pair (rendezvous hashing), so that a host that comes or goes moves only its own share. Without hosts, no
// target is dealt.
auto deal_targets(directory& known, const std::string& zone, std::uint32_t own_address,
                  const std::vector<std::uint32_t>& other_hosts) -> void;

// Returns the expected load per slot that a new flow meets at a target.
auto expected_load(const target_record& target, const flow_request& request, time_ms at) -> double;

// Returns the least loaded target of a service for a new flow, or nothing if there is none. Targets that were
// tried are left out; full ones are taken only if nothing else is left, and suspects after them. Equal
// targets are drawn by `random`.
auto choose_target(const directory& known, const std::string& service, const flow_request& request,
                   const tried_targets& tried, time_ms at, std::minstd_rand& random)
    -> std::optional<target_index>;

// Returns the service of a new flow by the weights of the route's backends, among those with usable targets.
// Empty if none has one.
auto choose_service(const directory& known, const route_entry& route, std::minstd_rand& random)
    -> const std::string*;

}  // namespace agatepost::edge
