// A host's copy of the store: targets, routes, and the items that it passes on to other hosts.
#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/clock_type.h"
#include "edge/cold_start_type.h"
#include "edge/edge_platform_base.h"
#include "edge/edge_type.h"
#include "edge/store_era_type.h"

namespace agatepost::edge {

// Live targets whose registrations lapsed during an outage of the store register again within 2 s, as the
// platform guarantees; the rest covers the delay until this host learns of it.
constexpr std::int64_t lapse_grace_ms = 2500;

// Unanswered SYNs during a liveness check after which the check has failed. A single SYN may be lost, or the
// flow may continue through another host.
constexpr std::uint32_t failed_check_after_syns = 2;

// A route counts as in use if it has at least this many requests and at least 1/`route_in_use_share` of those
// of the busiest route of its service. Probes of operators are fewer.
constexpr std::uint32_t route_in_use_requests = 20;
constexpr std::uint32_t route_in_use_share = 20;

// Index of a target in the directory.
using target_index = std::uint32_t;

// State of a target's registration.
enum class presence {
    registered,  // its registration is in the store
    lapsed,      // its registration was missing after an outage of the store and may return
    unreadable,  // another writer replaced its registration, which says nothing of the target
    gone,        // it left or died; kept to recognize packets of its open flows
};

// Load and health of a target, from packets of clients at this host and from reports of other hosts.
struct target_load {
    std::uint32_t open_flows = 0;             // of this host
    std::uint32_t busy_flows = 0;             // open flows of this host with a request in progress
    std::uint32_t former_service_flows = 0;   // open flows of this host at a former service of their route
    std::uint32_t pending_syns = 0;           // SYNs sent by this host without a further packet of the flow
    std::uint32_t peer_open_flows = 0;        // open flows reported by other hosts
    std::uint32_t peer_busy_flows = 0;        // busy and pending flows reported by other hosts
    std::uint32_t unanswered_syns = 0;        // consecutive SYNs without an answer
    std::uint32_t stalled_flows = 0;          // flows that have retransmitted since the last progress
    std::uint32_t progress_epoch = 0;         // incremented on each progress of any flow
    time_ms last_answer;                      // last progress of a flow, or answer to a SYN
    time_ms last_stall;                       // when a flow was last counted as stalled
    time_ms last_liveness_check;              // start of the last liveness check
    time_ms liveness_check_since;             // start of the present liveness check; zero: none
    std::uint32_t unanswered_check_syns = 0;  // unanswered SYNs sent during the present check
    bool has_failed_check = false;            // the last check failed, and nothing was answered since
    time_ms waiting_since;                    // a request of this host waits since, without any progress
    std::uint32_t answered_liveness_checks = 0;  // consecutive checks that an answered SYN ended
    std::uint32_t syn_backoffs = 0;              // consecutive pauses after unanswered SYNs
    time_ms syn_backoff_until;    // end of the pause after an unanswered SYN: full or unreachable
    time_ms suspect_until;        // until then it gets new flows only if no other target accepts them
    time_ms presumed_dead_until;  // until then its flows are reset

    friend auto operator==(const target_load& a, const target_load& b) -> bool {
        return a.open_flows == b.open_flows && a.busy_flows == b.busy_flows &&
               a.pending_syns == b.pending_syns && a.peer_open_flows == b.peer_open_flows &&
               a.former_service_flows == b.former_service_flows && a.peer_busy_flows == b.peer_busy_flows &&
               a.unanswered_syns == b.unanswered_syns && a.stalled_flows == b.stalled_flows &&
               a.progress_epoch == b.progress_epoch && a.last_answer == b.last_answer &&
               a.last_stall == b.last_stall && a.last_liveness_check == b.last_liveness_check &&
               a.liveness_check_since == b.liveness_check_since &&
               a.unanswered_check_syns == b.unanswered_check_syns &&
               a.has_failed_check == b.has_failed_check && a.waiting_since == b.waiting_since &&
               a.answered_liveness_checks == b.answered_liveness_checks && a.syn_backoffs == b.syn_backoffs &&
               a.syn_backoff_until == b.syn_backoff_until && a.suspect_until == b.suspect_until &&
               a.presumed_dead_until == b.presumed_dead_until;
    }
};

// A target and its state in the directory.
struct target_record {
    target_entry entry;
    std::uint64_t revision = 0;
    std::uint32_t opening_carrier = 0;  // written into new flows; 0: other targets share all its carriers
    presence state = presence::registered;
    bool has_left = false;             // it drained before it was gone, so its flows have ended
    time_ms changed_at;                // when `state` changed
    time_ms cold_until;                // end of its cold start
    bool is_in_use = false;            // false: the record is free
    bool is_assigned_to_peer = false;  // another host of the zone sends it new flows
    target_load load;
    cold_openings cold;
};

// A route and statistics of its flows.
struct route_record {
    route_entry entry;
    std::vector<std::string> services;  // all services that it has had since this host started
    double requests_per_flow = 0;       // moving average over closed flows; 0 until one has closed
    // Moving average at targets with a free slot, round trip included; 0: unknown.
    double request_ms = 0;
    std::uint32_t requests = 0;             // SYNs and answered requests seen
    bool is_highest_priority = true;        // no route in use of its services has a higher priority
    bool has_lower_priority_route = false;  // a route in use of its services has a lower priority
};

// An item as it is passed on to other hosts.
struct known_item {
    std::string value;
    std::uint64_t revision = 0;
    bool is_removed = false;
    std::string target;          // name of the target that it registers; empty: none
    bool is_unreadable = false;  // the value cannot be read
    std::string evacuated_zone;  // zone whose evacuation it requests, or did before its removal; empty: none
};

// An item with its decoded value. Its raw value is empty if hosts do not use it: other writers' values may be
// large and many.
struct decoded_item {
    store_item item;
    result<item_meaning> meaning;

    friend auto operator==(const decoded_item& a, const decoded_item& b) -> bool {
        return a.item == b.item && a.meaning == b.meaning;
    }
};

// The change that an item made, for the log.
enum class directory_change {
    none,            // the item is not newer than the known one, or of no use to a host
    target_added,    // a target registered, or a new instance under a known name
    target_changed,  // fields of a known target changed
    target_lapsed,   // its registration is missing after an outage of the store
    target_gone,     // it left or died
    routes_changed,  // a newer configuration is in use
    unreadable,      // the item cannot be read
    // Operators evacuate a zone, or no longer do.
    evacuation_started,
    evacuation_ended,
};

// The outcome of applying one item.
struct item_outcome {
    directory_change change = directory_change::none;
    std::optional<error> fault;  // why the item is unreadable; empty if its previous value was too
};

// An evacuation that was ordered or taken back before the store came back from an older copy, and not since.
struct unsettled_evacuation {
    std::string zone;
    bool is_in_store = false;  // the copy has its item

    friend auto operator==(const unsettled_evacuation& a, const unsettled_evacuation& b) -> bool {
        return a.zone == b.zone && a.is_in_store == b.is_in_store;
    }
};

// The content of the store as known to this host. Only the functions below change it.
struct directory {
    const platform_plugin* platform = nullptr;
    std::uint64_t era = 0;                     // of all revisions here; 0: the store does not tell it
    std::uint64_t revision = 0;                // all changes up to this revision are known
    std::uint64_t removals_dropped_up_to = 0;  // `items` may lack removals up to this revision
    bool is_complete = false;                  // a complete listing was read
    bool may_lack_changes = false;             // `revision` was false, and no listing was read since
    time_ms lapse_grace_until;                 // removals learned before this time may be lapses
    time_ms era_grace_until;                   // the same for draining targets, after a change of the era
    time_ms startup_grace_until;               // end of the startup grace period; see `startup_grace_ms`
    std::int64_t configuration_version = -1;
    std::int64_t idle_timeout_ms = 0;
    // Bounds for cold targets; nothing: they are not limited.
    std::optional<cold_bounds> cold;
    // Opening SYNs per second for a cold target, of services that limit them.
    absl::flat_hash_map<std::string, double> cold_per_s;
    std::vector<target_record> targets;
    std::vector<target_index> unused;
    absl::flat_hash_map<std::string, target_index> by_name;
    absl::flat_hash_map<std::uint32_t, target_index> by_carrier;  // the first of them to register
    absl::flat_hash_map<std::uint32_t, std::vector<target_index>> shared_carriers;  // of two targets or more
    absl::flat_hash_map<std::string, std::vector<target_index>> by_service;
    absl::flat_hash_map<std::uint64_t, route_record> routes;
    absl::flat_hash_map<std::string, known_item> items;
    absl::flat_hash_set<std::string> evacuated_zones;  // no new flows go to their targets
    absl::flat_hash_map<std::string, unsettled_evacuation> unsettled_evacuations;  // by key
};

// Key of a route by its service address.
constexpr auto route_key(std::uint32_t address, std::uint16_t port) -> std::uint64_t {
    return (static_cast<std::uint64_t>(address) << 16U) | port;
}

// Returns whether the record is of a target whose registration is in the store, or may return to it.
auto is_registered(const target_record& target) -> bool;

// Returns the position up to which all changes are known; revision 0 without a complete listing, or if
// changes may be missing. Other hosts read no changes from such a host.
auto position_of(const directory& known) -> store_position;

auto decode_item(const platform_plugin& platform, const store_item& item) -> decoded_item;

// Applies an item in place of the known one, whichever is newer.
auto replace_item(directory& known, decoded_item&& decoded, time_ms at) -> item_outcome;

// Applies an item if it is newer than the known one. A target whose registration became unreadable gets no
// new flows, and its open ones go on; an unreadable configuration leaves the previous one in use.
auto apply_item(directory& known, const store_item& item, time_ms at) -> item_outcome;

// Removes the items that a complete listing lacks, except those newer than its first page. Returns their
// keys.
auto remove_unlisted(directory& known, const absl::flat_hash_map<std::string, bool>& listed,
                     std::uint64_t first_revision, time_ms at) -> std::vector<std::string>;

// Takes over a complete listing of the own era, read from `first_revision` on, after its items were applied.
// Removals before that revision are not known one by one, so hosts that are behind it get all items. Returns
// the keys of the items that the listing lacks.
auto finish_listing(directory& known, const absl::flat_hash_map<std::string, bool>& listed,
                    std::uint64_t first_revision, time_ms at) -> std::vector<std::string>;

// Discards revisions above the store's newest one, `store_revision`: another host reported invalid ones. The
// next listing replaces the items. Until then changes may be missing, since a watch from an invalid revision
// returned none.
auto discard_invalid_revisions(directory& known, std::uint64_t store_revision) -> void;

// Marks lapsed targets as gone after the grace period, and erases targets without flows that have been gone
// for longer than `keep_ms`. Returns the names of the targets newly marked as gone.
auto expire_targets(directory& known, std::int64_t keep_ms, time_ms at) -> std::vector<std::string>;

// Updates `is_highest_priority` and `has_lower_priority_route` of all routes. Routes that are not in use do
// not count.
auto update_route_priorities(directory& known) -> void;

// Returns the route of a service address, or nullptr.
auto find_route(directory& known, const flow_key& flow) -> route_record*;

// Returns whether new flows may be placed: the routes and a complete listing of targets are known.
auto can_place(const directory& known) -> bool;

}  // namespace agatepost::edge
