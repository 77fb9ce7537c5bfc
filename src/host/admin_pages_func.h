// The standard pages of the admin port.
#pragma once

#include <memory>
#include <nlohmann/json.hpp>
#include <vector>

#include "flow/flow_type.h"
#include "host/admin_base.h"
#include "host/host_base.h"
#include "peer/membership_base.h"

namespace agatepost {

// Creates the admin server of a host with /metrics, /status, /explain and /history. It is not started, so
// that modules can add their sections first:
// - /status: "host" and "configuration".
// - /explain: "configuration", the service, pool and targets that the configuration gives for a flow.
// The host state must outlive the server.
auto make_admin_server(const host_state& host) -> result<std::unique_ptr<admin_server>>;

// Returns the section "hosts" of /status: each known host of the zone with its state and addresses. "admin"
// is missing for a host that does not send its admin address.
auto hosts_section(const std::vector<member_update>& records) -> nlohmann::json;

// Returns the flow of an /explain request: parameters `flow` (CLIENT:PORT-SERVICE:PORT) and `protocol` (tcp
// or udp, tcp if missing).
auto flow_of_query(const admin_query& query) -> result<flow_key>;

}  // namespace agatepost
