// What a host does with one packet.
#pragma once

#include <string>

#include "config/snapshot_type.h"
#include "flow/placement_base.h"
#include "host/packet_sink_base.h"
#include "peer/host_view_type.h"

namespace agatepost {

// What forwarding depends on: immutable for the length of a batch.
struct forward_context {
    const snapshot* config = nullptr;
    const host_view* view = nullptr;
    const placement_plugin* placement = nullptr;
    std::string zone;
};

// Forwards, returns, relays, refuses or drops one received packet. Rewrites it in place.
auto forward_packet(const forward_context& context, const received_packet& packet, packet_sink& sink) -> void;

}  // namespace agatepost
