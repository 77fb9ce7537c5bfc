// Choice of the target of a new flow. Free functions; no I/O, no clock.
#pragma once

#include <absl/container/inlined_vector.h>

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>

#include "edge/directory_base.h"

namespace agatepost::edge {

// Targets to which a flow's SYN has been sent.
using tried_targets = absl::InlinedVector<target_index, 3>;

// Average of requests per flow from which a route's flows count as long.
constexpr double long_flow_requests = 3.0;

// Load of an open flow without a request in progress, in busy flows: a feed that sends one request of 55 ms
// each second.
constexpr double idle_flow_load = 0.06;

// Weight of requests in progress when a long flow is placed. The flow outlives them, so they only decide
// between targets with similar numbers of open flows.
constexpr double busy_weight_for_long_flows = 0.1;

// Added to the load per slot of a target in another zone: crossing zones costs two inter-zone delays and a
// price per byte.
constexpr double other_zone_load_penalty = 1.2;

// Added to the load per slot of a target assigned to another host of the zone: its current load is unknown
// here. Own targets may have one request in progress per two slots before such a target is chosen.
constexpr double peer_target_load_penalty = 0.5;

// Factor by which requests take longer at a target during its cold start.
constexpr double cold_slowdown = 1.6;

// Properties of a new flow.
struct flow_request {
    bool is_long = false;             // stays open for many requests
    std::string_view zone;            // zone of this host
    std::string_view only_zone = {};  // only targets of this zone; empty: of all
};

// Limits of the expected time of a new request, as shares of its route's target latency. Beyond the second, a
// request would be late and delay those after it. The first holds for routes below the highest priority of
// their service and reserves capacity for those above. It is well below 1 since open flows keep using slots.
constexpr double lower_priority_latency_share = 0.8;
constexpr double highest_priority_latency_share = 2.0;

// Returns whether new flows may go to a target: it is ready, its zone is not evacuated, and a carrier names
// no other target.
auto takes_new_flows(const directory& known, target_index index) -> bool;

// Returns whether the route sends new flows to the target's service, and the target takes them. It holds for
// each SYN when it is sent, whichever one of its flow it is.
auto may_open_at(const directory& known, const route_entry& route, target_index index) -> bool;

// Returns whether the route sends new flows to the service.
auto is_backend(const route_entry& route, const std::string& service) -> bool;

// Returns a target's requests in progress and pending SYNs per slot, as known to this host.
auto busy_per_slot(const target_record& target) -> double;

// Returns the target of a service with the lowest `busy_per_slot`, or nothing. Suspects and targets in a
// pause after an unanswered SYN are excluded, and cold targets that may get no SYN now.
auto least_busy_target(const directory& known, const std::string& service, time_ms at)
    -> std::optional<target_index>;

// Expected time of a request as a share of its route's target latency, until one has been timed. With 0, a
// host that has just started would see no load at all.
constexpr double assumed_latency_share = 0.25;

// Returns the expected time of a request of the route at a free slot.
auto expected_request_ms(const route_record& route) -> double;

// Returns whether the target is expected to answer a new request of the route in time.
auto is_in_time(const route_record& route, const target_record& target, time_ms at) -> bool;

// Returns whether a target of the service has no free slot, as known to this host. Without one, targets that
// leave SYNs unanswered have failed rather than being full.
auto has_busy_target(const directory& known, const std::string& service) -> bool;

// Returns the rendezvous weight of a host and a target, equal on all hosts.
auto rendezvous_weight(std::uint32_t host, std::uint32_t carrier) -> std::uint64_t;

// Returns the targets of a service that would take new flows if they were not cold, without those in `tried`.
auto find_cold_limited_targets(const directory& known, const std::string& service, const tried_targets& tried,
                               time_ms at) -> std::vector<target_index>;

// Assigns each target of a zone to one of its hosts by rendezvous hashing, so that a host that joins or
// leaves moves only its own share. Without other hosts, all targets belong to this host.
auto assign_targets(directory& known, const std::string& zone, std::uint32_t own_address,
                    const std::vector<std::uint32_t>& other_hosts) -> void;

// Returns the expected load per slot of a target for a new flow, penalties included.
auto expected_load(const target_record& target, const flow_request& request, time_ms at) -> double;

// Returns the target of a service for a new flow, or nothing if there is none. A target that needs SYNs for
// its liveness check comes first, then the one with the lowest expected load; `random` breaks ties. Targets
// in a pause after an unanswered SYN are used only if no other is left, and suspects after these. Targets in
// `tried` and cold targets that may get no SYN now are excluded. With `request.only_zone`, targets in a pause
// and suspects are excluded too.
auto choose_target(const directory& known, const std::string& service, const flow_request& request,
                   const tried_targets& tried, time_ms at, std::minstd_rand& random)
    -> std::optional<target_index>;

// Returns the service of a new flow, drawn by weight among the route's backends with targets, see
// has_targets_for_new_flows; nullptr if no backend has any.
auto choose_service(const directory& known, const route_entry& route, std::minstd_rand& random)
    -> const std::string*;

}  // namespace agatepost::edge
