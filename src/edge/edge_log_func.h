// Log lines and counters of the one-way data path.
#pragma once

#include <string>

#include "edge/forwarding_base.h"

namespace agatepost::edge {

// Renders a flow as CLIENT:PORT-SERVICE:PORT, the id of a flow in all lines.
auto flow_text(const flow_key& flow) -> std::string;

// Renders an IPv4 address in host byte order.
auto address_text(std::uint32_t address) -> std::string;

// Counts the outcome for a packet.
auto count_verdict(const packet_verdict& verdict) -> void;

// Writes the line of a decision about a flow, with the inputs that decided it.
auto log_verdict(const forwarding_state& state, const client_packet& packet, const packet_verdict& verdict,
                 std::int64_t view_age_ms) -> void;

// Writes the line of an opening packet that is sent to another target without the client's asking.
auto log_retry(const forwarding_state& state, const open_retry& retry) -> void;

// Writes the line of an opening packet whose wait has ended.
auto log_waited(const forwarding_state& state, const waited_opening& waited) -> void;

// Logs that a target leaves openings unanswered, and for how long it is left out.
auto log_suspect(const target_record& target, time_ms at) -> void;

// Logs that a target is believed dead.
auto log_dead(const target_record& target) -> void;

// Writes the line of an item that changed what this host believes.
auto log_item(const store_item& item, const item_outcome& outcome, const directory& known) -> void;

}  // namespace agatepost::edge
