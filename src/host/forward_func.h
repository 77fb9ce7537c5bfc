// Forwarding of single packets by a host.
#pragma once

#include <string>
#include <vector>

#include "config/snapshot_type.h"
#include "core/clock_type.h"
#include "flow/flow_state_base.h"
#include "flow/placement_base.h"
#include "host/packet_sink_base.h"
#include "net/packet_type.h"
#include "peer/host_view_type.h"

namespace agatepost {

// The inputs of forwarding. All but the flow state are immutable during a batch.
struct forward_context {
    const snapshot* config = nullptr;
    const host_view* view = nullptr;
    const placement_plugin* placement = nullptr;
    std::string zone;
    flow_state* flows = nullptr;  // unused by placements that do not carry the target
    time_ms at;
};

// Forwards, returns, relays, refuses or drops one received packet. Rewrites it in place.
auto forward_packet(const forward_context& context, const received_packet& packet, packet_sink& sink) -> void;

// Sends the stored SYN to the retry's target. Drops it if the service or target no longer exists.
auto forward_syn_retry(const forward_context& context, const syn_retry& retry, packet_sink& sink) -> void;

// Resets both ends of a silent flow and sends a close notice to its chooser and owner.
auto reset_silent_flow(const forward_context& context, const silent_suspect& suspect, packet_sink& sink)
    -> void;

// Returns a copy of the headers of a TCP packet as a valid packet without payload.
auto copy_headers(const std::uint8_t* data, const packet_headers& headers) -> std::vector<std::uint8_t>;

}  // namespace agatepost
