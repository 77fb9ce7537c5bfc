// What a host does with a client's packet: forward it, reset the flow, or drop it. No input, output or clock.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <array>
#include <cstdint>
#include <deque>
#include <random>
#include <string>
#include <vector>

#include "edge/admission_func.h"
#include "edge/directory_base.h"
#include "edge/placement_func.h"
#include "edge/reach_func.h"

namespace agatepost::edge {

// An opening packet without a further packet of its flow for this long is sent to another target. The round
// trip between client and target is 10 ms at most, also between zones.
constexpr std::int64_t open_timeout_ms = 35;

// A client gives up an opening after 1.4 s; nothing is waited for after this.
constexpr std::int64_t open_limit_ms = 1500;

// Targets that one opening packet may be sent to by this host, copies of it included.
constexpr std::size_t open_target_limit = 3;

// A request without a sign of its response for this long no longer counts as in progress.
constexpr std::int64_t busy_limit_ms = 1000;

// The same while hosts of the zone have just started: flows then go on through other hosts, which count them
// too. A client retransmits after 200 ms what no target has.
constexpr std::int64_t moved_busy_limit_ms = 250;

// Weight of the newest closed flow in a route's average of requests per flow.
constexpr double requests_average_weight = 0.05;

// Weight of the newest request in a route's average time of a request.
constexpr double request_time_weight = 0.05;

// What is done with a packet.
enum class packet_action {
    forward,  // to the target
    reset,    // the client gets a reset
    drop,     // nothing
    hold,     // it waits in this host for a target
};

// Why. One counter each.
enum class packet_reason {
    established,            // forwarded by its carrier
    opened,                 // a new flow was placed
    open_retried,           // another target was chosen for an opening packet
    no_configuration,       // nothing is known yet
    waited_opening,         // an opening packet waited in the socket while this host stood still
    unknown_route,          // no route has this address
    stale_route,            // no route has this address, but the configuration may be out of date
    no_target,              // no target of the service takes flows
    cut_off,                // this host reaches no target; another may
    waits_for_target,       // no target of the service would answer in time yet
    overloaded,             // no target of the service would answer in time
    unknown_carrier,        // the carrier names no target
    unknown_carrier_reset,  // the same, again and with a current view: the target is gone
    foreign_carrier,        // the carrier names a target of another service
    target_left,            // the flow's target has left
    target_dead,            // the flow's target does not answer any flow
    no_carrier,             // neither an opening packet nor a carrier
    not_of_a_client,        // the answer of a target to an opening, which no client sends
};

// The outcome for one packet.
struct packet_verdict {
    packet_action action = packet_action::drop;
    packet_reason reason = packet_reason::no_configuration;
    target_index target = 0;      // of a forwarded packet
    bool writes_carrier = false;  // an opening packet gets its target's carrier
    bool is_logged = false;       // a decision, not a routine packet
};

// An open or opening flow that this host has seen packets of.
struct flow_record {
    target_index target = 0;
    std::uint32_t highest_sequence = 0;  // end of the client's data seen so far
    std::uint32_t acknowledgement = 0;   // highest seen
    std::uint32_t stalled_epoch = 0;     // progress_epoch of the target when the flow was counted as stalled
    std::uint32_t requests = 0;
    bool is_open = false;          // a packet after the opening was seen
    bool is_busy = false;          // a request is in progress
    bool found_free_slot = false;  // that request, when it was sent
    bool is_waiting = false;       // its opening packet waits in this host
    bool knows_opening = false;    // this host saw the opening packet, with `opening_sequence`
    std::uint32_t opening_sequence = 0;
    time_ms last_packet;
    time_ms busy_since;
    time_ms attempt_began;     // when the client sent the first opening packet
    time_ms opening_sent;      // to the first of the targets tried
    tried_targets tried;       // of an opening flow
    std::size_t given_up = 0;  // the first of these no longer count as busy with it
};

// An opening packet that waits for a further packet of its flow.
struct pending_open {
    flow_key flow;
    time_ms deadline;       // when it is sent to another target
    std::size_t tried = 0;  // targets of the flow that had got it then
    opening_packet packet;  // filled in by the caller of handle_packet
};

// An opening packet to send again, to another target.
struct open_retry {
    flow_key flow;
    target_index target = 0;
    opening_packet packet{};
};

// A flow to reset, since its target was found dead. Idempotent requests only: the client comes again at once.
struct dead_flow {
    flow_key flow;
    std::uint32_t acknowledgement = 0;
};

// All that forwarding knows.
struct forwarding_state {
    directory known;
    std::string zone;  // of this host
    absl::flat_hash_map<flow_key, flow_record> flows;
    admission_queues queues;
    reach_state reach;
    std::deque<pending_open> pending;          // by deadline
    std::vector<dead_flow> dead_flows;         // to be reset by the caller of handle_packet
    std::vector<target_index> found_dead;      // for the log; emptied by the caller
    std::vector<target_index> found_suspects;  // the same
    std::minstd_rand random{1};
};

// The circumstances in which a packet is judged.
struct packet_context {
    bool is_view_current = false;  // heard from the store, or from a host that did, within seconds
    bool has_waited = false;       // in the socket while this host stood still, perhaps for seconds
};

// Judges a client's packet and notes what it tells of flow and target. Flows of a target that is found dead
// by it are added to `dead_flows`.
auto handle_packet(forwarding_state& state, const client_packet& packet, packet_context context, time_ms at)
    -> packet_verdict;

// Notes that this host stood still. Silence during that time says nothing of targets: answers and
// retransmissions went through other hosts or wait in the socket.
auto note_pause(forwarding_state& state, time_ms at) -> void;

// Returns the opening packets that got no answer in time, with the next target for each. Those that no target
// has room for wait. All packets that
// have arrived are to be handled before, or answers that wait in the socket look like silence.
auto take_open_retries(forwarding_state& state, time_ms at) -> std::vector<open_retry>;

// Keeps the bytes of an opening packet that was just handled, for when it is sent again or later.
auto keep_opening(forwarding_state& state, const flow_key& flow, const opening_packet& bytes) -> void;

// An opening that has waited: placed, or refused since nothing could take it.
struct waited_opening {
    open_retry opening;
    packet_reason reason = packet_reason::opened;
    std::int64_t waited_ms = 0;
};

// Returns the openings whose wait ends now, the most urgent first.
auto take_waited_openings(forwarding_state& state, time_ms at) -> std::vector<waited_opening>;

// Returns all openings that wait, to be refused: this host is about to stop.
auto refuse_waiting_openings(forwarding_state& state, time_ms at) -> std::vector<waited_opening>;

// Forgets flows without packets for `idle_ms`, and requests without a response for too long.
auto expire_flows(forwarding_state& state, std::int64_t idle_ms, time_ms at) -> void;

auto to_text(packet_reason reason) -> std::string_view;

}  // namespace agatepost::edge
