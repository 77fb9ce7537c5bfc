// Sections of the flow module at the admin port.
#pragma once

#include "host/admin_base.h"
#include "host/host_base.h"

namespace agatepost {

// Adds "pools" to /status (counts and ejections of the targets of pools that this host is the chooser of) and
// "flow" to /explain (the target of a flow, and the candidates with their load and the reason that excludes
// each). The host state must outlive the server.
auto add_flow_pages(admin_server& server, host_state& host) -> void;

}  // namespace agatepost
