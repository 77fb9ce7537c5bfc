#include "edge/former_service_func.h"

#include <absl/algorithm/container.h>

#include "edge/flow_counts_func.h"

namespace agatepost::edge {

auto relation_to_route(const route_record& route, const std::string& service, time_ms former_services_until,
                       time_ms at) -> service_relation {
    if (absl::c_linear_search(route.services, service)) {
        return service_relation::known;
    }
    return at < former_services_until ? service_relation::former : service_relation::foreign;
}

auto set_at_former_service(forwarding_state& state, flow_record& flow, bool is_at_former_service, time_ms at)
    -> bool {
    if (!flow.is_open || flow.is_at_former_service == is_at_former_service) {
        return false;
    }
    flow.is_at_former_service = is_at_former_service;
    auto& load = load_of(state, flow.target);
    if (is_at_former_service) {
        ++load.former_service_flows;
    } else if (--load.former_service_flows == 0) {
        load.waiting_since = at;
    }
    return is_at_former_service;
}

auto end_former_flow(forwarding_state& state, const flow_key& key, time_ms at) -> void {
    const auto found = state.flows.find(key);
    if (found != state.flows.end() && found->second.is_at_former_service) {
        release_flow(state, found->second, at);
        state.flows.erase(found);
    }
}

}  // namespace agatepost::edge
