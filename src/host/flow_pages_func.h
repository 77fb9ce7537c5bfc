// What the flow module adds to the admin port.
#pragma once

#include "host/admin_base.h"
#include "host/host_base.h"

namespace agatepost {

// Adds "pools" to /status (counts and marks of the targets that this host chooses for) and "flow" to /explain
// (where a flow goes, the candidates with their load, and what rules each out). The host state must outlive
// the server.
auto add_flow_pages(admin_server& server, host_state& host) -> void;

}  // namespace agatepost
