// Decides on a client's packet: forward it, reset the flow, drop it or hold it. No input, output or clock.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <array>
#include <cstdint>
#include <deque>
#include <random>
#include <string>
#include <vector>

#include "edge/admission_func.h"
#include "edge/attempt_func.h"
#include "edge/directory_base.h"
#include "edge/placement_func.h"
#include "edge/reach_func.h"
#include "edge/round_trip_func.h"
#include "edge/zone_load_type.h"
#include "edge/zone_overflow_type.h"

namespace agatepost::edge {

// An unanswered flow is forgotten after this.
constexpr std::int64_t client_attempt_limit_ms = attempt_duration_ms + copy_delay_ms;

// Maximum number of targets that this host sends the SYN of one flow to, retransmissions included.
constexpr std::size_t syn_target_limit = 3;

// A request no longer counts as in progress if the client acknowledges nothing for this long.
constexpr std::int64_t busy_limit_ms = 1000;

// The same during the startup grace period: flows then move to other hosts, which count them too. A client
// retransmits after 200 ms what no target has received.
constexpr std::int64_t restart_busy_limit_ms = 250;

// Weight of the newest closed flow in a route's average of requests per flow.
constexpr double requests_average_weight = 0.05;

// Weight of the newest request in a route's average request time.
constexpr double request_time_weight = 0.05;

// What is done with a packet.
enum class packet_action {
    forward,  // send it to the target
    reset,    // answer the client with a reset
    drop,     // discard it
    hold,     // queue the SYN in this host until a target has room
};

// The reason for an action. Each has a counter of its own.
enum class packet_reason {
    established,            // forwarded by its carrier
    former_service,         // the same, to a target of a service that the route had before this host started
    opened,                 // a new flow was placed
    open_retried,           // another target was chosen for a SYN
    no_configuration,       // routes or targets are not known yet
    waited_opening,         // a SYN waited in the socket while this process was paused
    unknown_route,          // no route has this address
    stale_route,            // no route has this address, but the configuration may be out of date
    no_target,              // no target of the service takes flows
    zone_evacuated,         // targets of the service take flows in evacuated zones only
    cut_off,                // this host reaches no target; another host may
    waits_for_target,       // no target of the service would answer in time yet
    abandoned,              // the client of a waiting SYN has sent no further copy
    may_be_answered,        // a target may still answer the SYN whose wait has ended
    overloaded,             // no target of the service would answer in time
    cold_limited,           // the targets left are cold and may get no SYN now
    unknown_carrier,        // the carrier names no target
    unknown_carrier_reset,  // the same for a retransmission and with a current view: the target is gone
    foreign_carrier,        // the carrier names a target of another service
    shared_carrier,         // several targets have the carrier, and any of them may have the flow
    unreadable_target,      // the target's registration has been unreadable since this host started
    target_left,            // the flow's target has left
    target_dead,            // the flow's target is presumed dead
    no_carrier,             // not a SYN, and without a carrier
    not_of_a_client,        // a SYN-ACK, which only targets send
};

// The outcome for one packet.
struct packet_verdict {
    packet_action action = packet_action::drop;
    packet_reason reason = packet_reason::no_configuration;
    target_index target = 0;      // of a forwarded packet
    bool writes_carrier = false;  // the target's carrier is written into the SYN
    bool is_logged = false;       // the decision is logged; routine packets are not
};

// A flow that this host has seen packets of, open or with an unanswered SYN.
struct flow_record {
    target_index target = 0;
    std::uint32_t highest_sequence = 0;  // end of the client's data seen so far
    std::uint32_t acknowledgement = 0;   // highest seen
    std::uint32_t stalled_epoch = 0;     // progress_epoch of the target when the flow was counted as stalled
    std::uint32_t requests = 0;
    bool is_open = false;          // a packet after the SYN was seen
    bool is_busy = false;          // a request is in progress
    bool found_free_slot = false;  // the target had a free slot when that request was sent
    bool is_waiting = false;       // its SYN waits in this host
    bool is_followed_up = false;   // its client has begun another attempt instead
    bool skipped_cold = false;     // its SYN did not go to a target because that is cold
    bool has_seen_syn = false;     // this host saw the SYN, with sequence number `syn_sequence`
    bool is_at_former_service = false;
    std::uint32_t syn_sequence = 0;
    std::uint32_t syn_copies = 0;     // number of the newest copy of the SYN
    std::uint32_t overflow_draw = 0;  // see receiving_zone
    time_ms last_packet;
    time_ms busy_since;
    time_ms attempt_start;             // when the client sent the first SYN
    time_ms syn_sent_at;               // when the SYN was sent to the first target in `tried`
    tried_targets tried;               // targets that the SYN was sent to
    std::size_t released_targets = 0;  // number at the front of `tried` that no longer count the SYN
};

// A SYN sent to a target, for which no further packet of the flow has arrived yet.
struct pending_syn {
    flow_key flow;
    time_ms sent;
    time_ms deadline;       // when it is sent to another target
    std::size_t tried = 0;  // number of targets of the flow that had received it
    // The client has sent it, or a copy, since it went to another target. Without, a time-out may mean that
    // the client has given up, and does not count against the target.
    bool is_clients_own = false;
    syn_packet packet;
};

// A SYN to send to another target.
struct syn_resend {
    flow_key flow;
    target_index target = 0;
    syn_packet packet{};
};

// A flow to reset because its target is presumed dead. Its client can repeat the request and does at once.
struct flow_to_reset {
    flow_key flow;
    std::uint32_t acknowledgement = 0;
};

// The whole state of forwarding.
struct forwarding_state {
    directory known;
    std::string zone;  // of this host
    absl::flat_hash_map<flow_key, flow_record> flows;
    admission_queues queues;
    reach_state reach;
    absl::flat_hash_map<std::string, round_trip> round_trips;  // by zone of the target
    std::deque<pending_syn> pending;                           // by deadline
    std::vector<flow_to_reset> flows_to_reset;        // reset and emptied by the caller of handle_packet
    std::vector<target_index> presumed_dead_targets;  // for the log; emptied by the caller
    std::vector<target_index> suspected_targets;      // for the log; emptied by the caller
    std::vector<target_index> unresponsive_targets;   // to ask other hosts about; emptied by the caller
    std::vector<target_index> cold_limited_targets;   // for the log; emptied by the caller
    zone_loads loads;                                 // as reported by hosts of all zones
    overflow_state overflow;
    std::minstd_rand random{1};
    time_ms former_services_until;  // until then, flows may be open at services unknown to this host
};

// The circumstances under which a packet was received.
struct packet_context {
    bool is_view_current = false;  // confirmed within seconds by the store, or by a host that heard from it
    bool was_delayed_by_pause = false;  // in the socket while this process was paused, perhaps for seconds
    syn_packet syn_bytes{};             // of a SYN without data, to send it later or to another target
};

// Decides on a client's packet and updates the state of its flow and target.
auto handle_packet(forwarding_state& state, const client_packet& packet, const packet_context& context,
                   time_ms at) -> packet_verdict;

// Records that a target is presumed dead, for the log, and adds its flows to reset to `flows_to_reset`.
auto presume_dead(forwarding_state& state, target_index index, time_ms at) -> void;

// Records that this process was paused. Missing answers during a pause are no evidence of a target failure:
// answers and retransmissions went through other hosts or wait in the socket.
auto record_pause(forwarding_state& state, time_ms at) -> void;

// Returns the SYNs whose time-out has passed, with the next target for each. Those that no target has room
// for are queued. The caller handles all received packets first; otherwise answers that wait in the socket
// count as missing.
auto collect_syn_retries(forwarding_state& state, time_ms at) -> std::vector<syn_resend>;

// A SYN whose wait has ended, and why; see action_after_wait.
struct waited_opening {
    syn_resend opening;
    packet_reason reason = packet_reason::opened;
    std::int64_t waited_ms = 0;
};

// Returns the SYNs whose wait ends now, by service and then by priority, highest first.
auto collect_waited_syns(forwarding_state& state, time_ms at) -> std::vector<waited_opening>;

// Removes and returns all waiting SYNs, to be refused because this host is about to stop.
auto refuse_waiting_syns(forwarding_state& state, time_ms at) -> std::vector<waited_opening>;

// Forgets idle flows (no packet for `idle_ms`), unanswered SYNs, and requests that take too long.
auto expire_flows(forwarding_state& state, std::int64_t idle_ms, time_ms at) -> void;

// Returns what is done with a SYN whose wait ended for this reason.
auto action_after_wait(packet_reason reason) -> packet_action;

auto to_text(packet_reason reason) -> std::string_view;

}  // namespace agatepost::edge
