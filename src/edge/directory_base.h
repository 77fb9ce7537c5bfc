// What a host knows of the store: targets, routes, and the items to pass on to other hosts.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/clock_type.h"
#include "edge/edge_platform_base.h"
#include "edge/edge_type.h"

namespace agatepost::edge {

// After an outage of the store, live targets whose registrations lapsed meanwhile register again within 2 s,
// as the platform promises; the rest is for the delay until this host learns of it.
constexpr std::int64_t lapse_grace_ms = 2500;

// Openings sent to a doubted target that stay unanswered, after which it is taken for dead. One alone may be
// lost, or its answer may go on through another host.
constexpr std::uint32_t dead_after_opens = 2;

// A route counts as in use from this number of requests on, and while it has at least one for each
// `route_in_use_share` of the busiest route of its service. Probes of operators are fewer.
constexpr std::uint32_t route_in_use_requests = 20;
constexpr std::uint32_t route_in_use_share = 20;

// Index of a target in the directory.
using target_index = std::uint32_t;

// Whether a target can be used.
enum class presence {
    registered,  // its registration is in the store
    lapsed,      // its registration was missing after an outage of the store; it may come back
    gone,        // it left or died; kept so that packets of its open flows are understood
};

// What this host saw of a target through the packets of clients, and what other hosts told of it.
struct target_load {
    std::uint32_t open_flows = 0;      // of this host
    std::uint32_t busy_flows = 0;      // of these, with a request in progress
    std::uint32_t pending_opens = 0;   // opening packets of this host without a further packet of the flow
    std::uint32_t told_open = 0;       // open flows of other hosts
    std::uint32_t told_busy = 0;       // busy and pending flows of other hosts
    std::uint32_t silent_opens = 0;    // opening packets without an answer, in a row
    std::uint32_t stalled_flows = 0;   // flows that retransmitted since the last progress
    std::uint32_t progress_epoch = 0;  // number of times that a flow's acknowledgement grew
    time_ms last_answer;               // when that, or an answer to an opening, was last seen
    time_ms last_stall;                // when a flow was last counted as stalled
    time_ms last_doubt;                // when enough flows stalled for a doubt
    time_ms doubted_since;  // enough flows stall: an opening is to show whether it lives; zero: not doubted
    std::uint32_t silent_since_doubt = 0;  // openings without an answer, sent after that
    std::uint32_t answered_doubts = 0;     // doubts in a row that an answered opening ended, without progress
    std::uint32_t silent_rounds = 0;       // pauses in a row after unanswered openings, without an answer
    time_ms full_until;     // left an opening unanswered: its queue is full, or it does not answer at all
    time_ms suspect_until;  // gets no new flows before this time while another target can take them
    time_ms dead_until;     // its flows are reset before this time

    friend auto operator==(const target_load& a, const target_load& b) -> bool {
        return a.open_flows == b.open_flows && a.busy_flows == b.busy_flows &&
               a.pending_opens == b.pending_opens && a.told_open == b.told_open &&
               a.told_busy == b.told_busy && a.silent_opens == b.silent_opens &&
               a.stalled_flows == b.stalled_flows && a.progress_epoch == b.progress_epoch &&
               a.last_answer == b.last_answer && a.last_stall == b.last_stall &&
               a.last_doubt == b.last_doubt && a.doubted_since == b.doubted_since &&
               a.silent_since_doubt == b.silent_since_doubt && a.answered_doubts == b.answered_doubts &&
               a.silent_rounds == b.silent_rounds && a.full_until == b.full_until &&
               a.suspect_until == b.suspect_until && a.dead_until == b.dead_until;
    }
};

// A target and what is known of it.
struct target_record {
    target_entry entry;
    std::uint64_t revision = 0;
    presence state = presence::registered;
    bool has_left = false;            // gone after draining: its flows have ended
    time_ms changed_at;               // when `state` changed
    time_ms cold_until;               // slower than usual before this time
    bool is_in_use = false;           // the record is taken
    bool is_dealt_elsewhere = false;  // another host of the zone is the one to send it new flows
    target_load load;
};

// A route and what was learnt of its flows.
struct route_record {
    route_entry entry;
    std::vector<std::string> services;  // all services that it had since this host started
    double requests_per_flow = 0;       // moving average of closed flows; 0 until one has closed
    double request_ms = 0;  // moving average at targets with a free slot, round trip included; 0: unknown
    std::uint32_t requests = 0;  // openings and answered requests seen
    bool is_urgent = true;       // no route of its services that is in use has a higher priority
    bool has_lower = false;      // one of these has a lower priority
};

// An item as other hosts get it.
struct known_item {
    std::string value;
    std::uint64_t revision = 0;
    bool is_removed = false;
};

// What changed by an item, for the log.
enum class directory_change {
    none,            // older than what is known, or nothing that a host uses
    target_added,    // a target registered, or a new boot under a known name
    target_changed,  // other fields of a known target
    target_lapsed,   // its registration is missing after an outage of the store
    target_gone,     // it left or died
    routes_changed,  // a newer configuration is in force
    unreadable,      // the item cannot be read
};

// The outcome of applying one item.
struct item_outcome {
    directory_change change = directory_change::none;
    std::optional<error> fault;  // of an unreadable item
};

// The store's content as far as this host knows it. Changed only by the functions below.
struct directory {
    const platform_plugin* platform = nullptr;
    std::uint64_t revision = 0;       // all changes up to here are known
    std::uint64_t forgotten_to = 0;   // removals up to here may be missing in `items`
    bool is_complete = false;         // a whole listing was read
    time_ms removals_in_doubt_until;  // removals learnt before this time may be lapses
    time_ms unsettled_until;          // hosts of the zone have just started: silence of targets says nothing
    std::int64_t configuration_version = -1;
    std::int64_t idle_timeout_ms = 0;
    std::vector<target_record> targets;
    std::vector<target_index> unused;
    absl::flat_hash_map<std::string, target_index> by_name;
    absl::flat_hash_map<std::uint32_t, target_index> by_carrier;
    absl::flat_hash_map<std::string, std::vector<target_index>> by_service;
    absl::flat_hash_map<std::uint64_t, route_record> routes;
    absl::flat_hash_map<std::string, known_item> items;
};

// Key of a route by its service address.
constexpr auto route_key(std::uint32_t address, std::uint16_t port) -> std::uint64_t {
    return (static_cast<std::uint64_t>(address) << 16U) | port;
}

// Applies an item if it is newer than what is known. An unreadable registration takes its target out of use;
// an unreadable configuration leaves the one before in force.
auto apply_item(directory& known, const store_item& item, time_ms at) -> item_outcome;

// Removes what a whole listing did not have, if it is not newer than the listing's first page.
auto remove_unlisted(directory& known, const absl::flat_hash_map<std::string, bool>& listed,
                     std::uint64_t first_revision, time_ms at) -> std::vector<std::string>;

// Notes that the store's newest revision is lower than what another host told: what is known beyond it is
// false. The next listing replaces it.
auto distrust_revisions(directory& known, std::uint64_t store_revision) -> void;

// Ends the grace of lapsed targets and forgets targets that went longer than `keep_ms` ago. Returns the names
// of targets that are gone now.
auto expire_targets(directory& known, std::int64_t keep_ms, time_ms at) -> std::vector<std::string>;

// Finds the routes that no other route of their services goes before, and those that go before another.
// Routes that are hardly used do not count.
auto find_urgent_routes(directory& known) -> void;

// Returns the target that a carrier names, or nullptr.
auto find_carrier(directory& known, std::uint32_t carrier) -> target_record*;

// Returns the route of a service address, or nullptr.
auto find_route(directory& known, const flow_key& flow) -> route_record*;

// Returns whether new flows may be placed: routes and a whole listing of targets are known.
auto can_place(const directory& known) -> bool;

}  // namespace agatepost::edge
