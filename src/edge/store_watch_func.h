// Decides which hosts of a zone watch the store. Calls are priced, so one host watches and reports to the
// others. The bounds for changes hold for the others also while that host is cut off from the store, refused
// by it, paused or slow, or cannot be read from.
//
// A host may rely on others only as far as they confirm its view: a host that has no newer changes than the
// own view, and whose own view had all changes of the store at some time, confirms that the own view had them
// then. A host that nobody has confirmed for too long watches the store itself. Confirmations pass only from
// lower to higher addresses, so that no two hosts confirm each other without the store.
//
// The tests are edge_store_watch_test and edge_fleet_test, which replay these failures in fleets of 2 to 300.
#pragma once

#include "edge/peer_group_base.h"
#include "edge/store_watch_type.h"

namespace agatepost::edge {

// Maximum time of a watch without changes, and the minimum for very short bounds.
constexpr std::int64_t max_watch_wait_ms = 2000;
constexpr std::int64_t min_watch_wait_ms = 250;

// Time from a store answer until the answer to the next watch is known to the other hosts, apart from the
// wait: two answers of a slow store of 240 ms each, and a heartbeat.
constexpr std::int64_t report_delay_ms = 750;

// Time from the takeover until the changes are in use: one wake-up at the interval of heartbeats, a new
// connection, and an answer of a store that is not impaired.
constexpr std::int64_t takeover_reserve_ms = 600;

// Hosts take over one after the other: each waits this much longer per host with a lower address.
constexpr std::int64_t takeover_step_ms = 100;

// Maximum age of a current view.
constexpr std::int64_t max_current_view_ms = 3500;

// Returns the times with which each change is in use `change_bound_ms` after the store acknowledged it.
// Bounds below about 2 s cannot be kept during a takeover.
auto make_watch_timing(std::int64_t change_bound_ms) -> watch_timing;

// Records the confirmations of a view at this position (revision 0: no complete listing yet) by the last
// heartbeats of the other hosts. Hosts of another era confirm nothing.
auto record_confirmations(peer_group& group, store_position own, time_ms at) -> void;

// Returns the milliseconds since the view had all changes of the store, by the own last answer
// (`own_age_ms`) or by hosts of the zone with a lower address. Reported to other hosts.
auto zone_view_age_ms(const peer_group& group, std::int64_t own_age_ms, time_ms at) -> std::int64_t;

// Returns the milliseconds since the view had all changes of the store, by the own last answer
// (`own_age_ms`) or by any host.
auto view_age_ms(const peer_group& group, std::int64_t own_age_ms, time_ms at) -> std::int64_t;

// Returns whether this host should watch the store, for a host that does or does not do so now. `own_age_ms`
// is the age of its view by its own last answer.
auto should_watch(const peer_group& group, const watch_timing& timing, bool is_watching,
                  std::int64_t own_age_ms, time_ms at) -> bool;

}  // namespace agatepost::edge
