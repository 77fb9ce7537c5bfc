// Log lines and counters of the one-way data path.
#pragma once

#include <string>

#include "edge/forwarding_base.h"

namespace agatepost::edge {

// Renders a flow as CLIENT:PORT-SERVICE:PORT, the flow id in all log lines.
auto flow_text(const flow_key& flow) -> std::string;

// Renders an IPv4 address in host byte order.
auto address_text(std::uint32_t address) -> std::string;

// Increments the counter of the verdict's reason.
auto count_verdict(const packet_verdict& verdict) -> void;

// Logs a decision about a flow and the inputs of the decision.
auto log_verdict(const forwarding_state& state, const client_packet& packet, const packet_verdict& verdict,
                 std::int64_t view_age_ms) -> void;

// Logs a SYN that this host sends to another target by itself, without a retransmission by the client.
auto log_syn_resend(const forwarding_state& state, const syn_resend& retry) -> void;

// Logs a SYN whose wait has ended.
auto log_waited_syn(const forwarding_state& state, const waited_opening& waited) -> void;

// Logs that a target leaves SYNs unanswered, and for how long it gets no new flows.
auto log_suspect(const target_record& target, time_ms at) -> void;

// Logs that a target is presumed dead.
auto log_presumed_dead(const target_record& target) -> void;

// Logs that an item was removed because a complete listing lacks it.
auto log_unlisted(const std::string& key, const directory& known) -> void;
// Logs that a cold target gets no further SYN of this host for now.
auto log_cold_limited(const directory& known, const target_record& target, time_ms at) -> void;

// Logs a store item that changed the directory.
auto log_item(const store_item& item, const item_outcome& outcome, const directory& known) -> void;

}  // namespace agatepost::edge
