// The other hosts of the fleet: which are alive, which store revision they have, and the target loads they
// report.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "edge/forwarding_base.h"
#include "edge/store_era_type.h"
#include "edge/store_watch_type.h"
#include "edge/zone_load_func.h"

namespace agatepost::edge {

// Interval of heartbeats.
constexpr std::int64_t heartbeat_ms = 200;

// Minimum interval of load reports to a host of the same zone while loads change. Reports as old as a request
// mislead: several hosts choose the same target. The interval grows with the number of hosts and the
// message size, so that a host stays within its budget for control traffic.
constexpr std::int64_t min_load_report_ms = 20;
constexpr std::int64_t control_bytes_per_s = 7000;
constexpr std::int64_t udp_header_bytes = 28;  // IPv4 and UDP

// Loads are reported only if the zone has at most this number of other hosts. With more, the budget allows
// only reports older than a request, which are worse than none.
constexpr std::size_t max_load_report_peers = 2;

// Minimum number of other hosts in the zone for assigning targets to hosts. Two hosts that report loads to
// each other every 20 ms gain nothing by it.
constexpr std::size_t min_assignment_peers = 2;

// A peer without a heartbeat for peer_silent_ms is excluded from all decisions. Its record is deleted when it
// was not named for peer_forgotten_ms either.
constexpr std::int64_t peer_silent_ms = 1000;
constexpr std::int64_t peer_forgotten_ms = 60000;

// With fewer other hosts, each sends heartbeats to all of them. In larger fleets the number of receivers is
// fixed: the hosts of the zone with the next higher addresses, so that the first of them notices the death of
// the watching host, and randomly chosen hosts, which spread news in a logarithmic number of steps.
constexpr std::size_t large_fleet_peers = 12;
constexpr std::size_t next_receivers = 2;
constexpr std::size_t random_zone_receivers = 3;
constexpr std::size_t large_fleet_receivers = next_receivers + random_zone_receivers + 1;  // with other zones

// One heartbeat in this number goes to a host of another zone, since traffic between zones is priced. A zone
// still receives several a second.
constexpr unsigned other_zone_interval_heartbeats = 4;

// In a large fleet a host is a member while its last heartbeat, or the last one that names it, is not older
// than this. At 1,060 hosts in a zone, a live host is named every 2.6 s on average.
constexpr std::int64_t membership_timeout_ms = 10000;

// Maximum number of peer addresses in one heartbeat, and maximum revision. A message beyond either is
// malformed: it could exhaust the memory, or make hosts request changes from its sender forever.
constexpr std::size_t max_named_peers = 16;
constexpr std::uint64_t max_revision = 1ULL << 53U;

// How long no changes are requested from a peer that answered with an older revision than it reported, or not
// at all.
constexpr std::int64_t peer_avoid_ms = 2000;

// Maximum number of peer records, above the largest fleet that the design covers.
constexpr std::size_t max_peers = 20000;

// Load of a target as its host counts it.
struct peer_load {
    std::uint32_t carrier = 0;
    std::uint32_t busy = 0;  // flows with a request in progress or an unanswered SYN
    std::uint32_t open = 0;  // open flows

    friend auto operator==(const peer_load& a, const peer_load& b) -> bool {
        return a.carrier == b.carrier && a.busy == b.busy && a.open == b.open;
    }
};

// Periodic report of a host about itself.
struct heartbeat {
    std::string zone;
    std::uint32_t boot = 0;            // random per start: tells a restart from a late message
    std::int64_t uptime_ms = 0;        // since the start of the instance
    std::uint64_t revision = 0;        // it has all store changes up to here; 0: no complete listing yet
    std::int64_t store_age_ms = 0;     // since its view had all changes, as by zone_view_age_ms
    std::int64_t view_age_ms = 0;      // the same as by view_age_ms; used by earlier builds only
    bool is_leaving = false;           // it is stopping
    std::vector<std::uint32_t> peers;  // addresses of other hosts
    std::vector<peer_load> loads;
    std::optional<zone_report> zones;  // not in every heartbeat
    std::uint64_t era = 0;             // of `revision`; 0: the store does not tell it

    friend auto operator==(const heartbeat& a, const heartbeat& b) -> bool {
        return a.zone == b.zone && a.boot == b.boot && a.uptime_ms == b.uptime_ms &&
               a.revision == b.revision && a.store_age_ms == b.store_age_ms &&
               a.view_age_ms == b.view_age_ms && a.is_leaving == b.is_leaving && a.peers == b.peers &&
               a.loads == b.loads && a.zones == b.zones && a.era == b.era;
    }
};

// Peer load that was added to a target, kept so that it can be subtracted again.
struct applied_peer_load {
    target_index target = 0;
    std::string name;  // of the target at that time; another target may reuse the index
    std::uint32_t busy = 0;
    std::uint32_t open = 0;
};

// State of another host.
struct peer_record {
    heartbeat last;
    time_ms heard;          // when `last` arrived
    time_ms named;          // in the heartbeat of a host that considers it alive
    time_ms avoided_until;  // no changes are requested from it before this time
    bool was_heard = false;
    bool is_report_delayed = false;  // `last` may have waited in the socket, so its ages may be too low
    std::vector<applied_peer_load> applied;
};

// The other hosts, by IPv4 address in host byte order.
struct peer_group {
    std::uint32_t own_address = 0;
    std::string zone;
    absl::flat_hash_map<std::uint32_t, peer_record> peers;
    view_confirmations confirmed{};
    time_ms reports_delayed_until{};  // heartbeats read before this time may have waited during a pause
};

auto encode_heartbeat(const heartbeat& beat) -> std::string;
auto decode_heartbeat(std::string_view bytes) -> result<heartbeat>;

// Returns whether a heartbeat arrives after a later one of the same instance of its sender.
auto is_overtaken(const peer_group& group, std::uint32_t from, const heartbeat& beat) -> bool;

// Records a heartbeat: its sender, the hosts that it names and the loads that it reports. Ignores a heartbeat
// that arrives after a later one of the same instance. Returns whether the sender is new or was silent.
auto record_heartbeat(peer_group& group, directory& known, std::uint32_t from, heartbeat&& beat, time_ms at)
    -> bool;

// Subtracts the loads of silent hosts and deletes records of those silent for peer_forgotten_ms. Returns the
// hosts that became silent.
auto expire_peers(peer_group& group, directory& known, time_ms at) -> std::vector<std::uint32_t>;

auto is_alive(const peer_record& peer, time_ms at) -> bool;

// Returns whether a host whose zone is known is a member of the fleet. In a large fleet each host receives
// heartbeats of a part of the others only, and relies on the names in them for the rest.
auto is_member(const peer_group& group, const peer_record& peer, time_ms at) -> bool;

// Returns the hosts to send the next heartbeat to.
auto heartbeat_receivers(const peer_group& group, time_ms at, std::minstd_rand& random)
    -> std::vector<std::uint32_t>;

// Returns live hosts for a heartbeat to name, chosen at random if there are many.
auto named_peers(const peer_group& group, time_ms at, std::minstd_rand& random) -> std::vector<std::uint32_t>;

// Returns the live hosts of the own zone.
auto zone_peers(const peer_group& group, time_ms at) -> std::vector<std::uint32_t>;

// Returns the hosts of the own zone that accept new flows, by address, without this one.
auto zone_members(const peer_group& group, time_ms at) -> std::vector<std::uint32_t>;

// Returns whether the fleet is too large for heartbeats to all hosts.
auto is_large_fleet(const peer_group& group) -> bool;

// Returns the interval of load reports of `message_bytes` each to `zone_hosts` hosts.
auto load_interval_ms(std::size_t zone_hosts, std::size_t message_bytes) -> std::int64_t;

// Returns the live host with the highest position above `own`; hosts of the own zone come first.
auto newest_peer(const peer_group& group, store_position own, time_ms at) -> std::optional<std::uint32_t>;

// Requests no changes from a host for peer_avoid_ms, since it sent an older revision than it reported or no
// answer. Its reported revision may be invalid, and would hide the hosts that have newer changes.
auto avoid_peer(peer_group& group, std::uint32_t address, time_ms at) -> void;

// Returns the loads that this host reports.
auto own_loads(const directory& known) -> std::vector<peer_load>;

// Returns the position that a host reports.
auto position_of(const heartbeat& beat) -> store_position;

// Encodes a request for the changes after a position, as the target of an HTTP request. The error of decoding
// says that it is none.
auto encode_changes_request(store_position after) -> std::string;
auto decode_changes_request(std::string_view target) -> result<store_position>;

// Encodes the changes after a position for another host; all items if removals after it are not known one by
// one, or if the position is of another era. Values that the other host has by its position are left empty.
auto encode_changes(const directory& known, store_position after) -> std::string;

// Changes received from another host.
struct peer_changes {
    std::uint64_t revision = 0;
    bool is_whole = false;  // all items: others are removed
    std::vector<store_item> items;
    std::uint64_t era = 0;
};

auto position_of(const peer_changes& changes) -> store_position;

auto decode_changes(std::string_view bytes) -> result<peer_changes>;

}  // namespace agatepost::edge
