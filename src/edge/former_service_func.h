// Flows of former services: open flows at targets of a service that their route had before this host started.
// Free functions; no I/O, no clock. See docs/design/former-services.md.
#pragma once

#include <string>

#include "edge/forwarding_base.h"

namespace agatepost::edge {

// How the service of the target that a packet names relates to the packet's route.
enum class service_relation {
    known,    // the route has had the service since this host started
    former,   // the route may have had the service before this host started
    foreign,  // no open flow of the route can be at the service
};

// Returns how a service relates to a route. Until `former_services_until`, flows may be open that began
// before this host started, at services that it does not know of.
auto relation_to_route(const route_record& route, const std::string& service, time_ms former_services_until,
                       time_ms at) -> service_relation;

// Records in an open flow and at its target whether the flow is at a former service. Returns whether it is
// and was not recorded as such. The time that requests have waited at a target is no evidence against it
// while it has such flows; the count begins anew when the last one has ended.
auto set_at_former_service(forwarding_state& state, flow_record& flow, bool is_at_former_service, time_ms at)
    -> bool;

// Ends the record of a flow that is open at a former service, which its packets no longer reach.
auto end_former_flow(forwarding_state& state, const flow_key& key, time_ms at) -> void;

}  // namespace agatepost::edge
