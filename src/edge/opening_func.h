// Decisions on SYNs: which target gets one, when another target gets it too, and which wait in this host. No
// input, output or clock. The state and the functions for the host are in edge/forwarding_base.h.
#pragma once

#include "edge/forwarding_base.h"

namespace agatepost::edge {

// Decides on a client's SYN.
auto handle_syn(forwarding_state& state, const client_packet& packet, const packet_context& context,
                time_ms at) -> packet_verdict;

}  // namespace agatepost::edge
