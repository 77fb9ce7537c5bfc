// The other hosts: who lives, what they know of the store, and the load of targets as they see it.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "edge/forwarding_base.h"

namespace agatepost::edge {

// Interval of heartbeats to all hosts.
constexpr std::int64_t heartbeat_ms = 200;

// Least interval of heartbeats to a host of the own zone while loads change. Counts as old as a request
// mislead: hosts run to the same target. The interval grows with the number of hosts and with the message, so
// that a host stays within its budget for control.
constexpr std::int64_t load_told_ms = 20;
constexpr std::int64_t control_bytes_per_s = 7000;
constexpr std::int64_t udp_header_bytes = 28;  // IPv4 and UDP

// Loads are told up to this number of other hosts in the zone. With more, the budget allows only counts that
// are older than a request, which are worse than none.
constexpr std::size_t told_zone_peers = 2;

// From this number of other hosts in the zone on, targets are dealt among its hosts. Two hosts that tell each
// other every 20 ms gain nothing by it.
constexpr std::size_t dealt_zone_peers = 2;

// A host that was not heard for this long is left out of all decisions, and after the second time forgotten.
constexpr std::int64_t peer_silent_ms = 1000;
constexpr std::int64_t peer_forgotten_ms = 60000;

// Up to this number of hosts each tells all others. In larger fleets the number of receivers is fixed: the
// hosts of the zone with the next addresses, so that the first of them notices the death of the watching
// host, and hosts drawn at random, which spread what is new in a logarithmic number of steps.
constexpr std::size_t small_fleet = 12;
constexpr std::size_t next_receivers = 2;
constexpr std::size_t drawn_zone_receivers = 3;

// One heartbeat in so many goes to a host of another zone, which is priced: a zone hears of others several
// times a second all the same.
constexpr unsigned other_zone_interval_heartbeats = 4;

// In a large fleet a host is a member of it while it was heard or named within this time: at 1,060 hosts of a
// zone, a living one is named every 2.6 s in the mean.
constexpr std::int64_t member_ms = 10000;

// Hosts take over the watch one after the other: each waits this much longer for each lower address, up to
// the limit.
constexpr std::int64_t takeover_step_ms = 100;
constexpr std::int64_t takeover_limit_ms = 2000;

// Addresses of other hosts named in one heartbeat. A message with more, or with a revision beyond the limit,
// is malformed: it would fill the memory, or make hosts ask its sender for ever.
constexpr std::size_t peers_named = 16;
constexpr std::uint64_t largest_revision = 1ULL << 53U;

// How long a host is not asked for changes after it sent less than it had told, or no answer.
constexpr std::int64_t distrust_ms = 2000;

// Hosts remembered at most, above the size of the fleet designed for.
constexpr std::size_t most_peers = 20000;

// The store counts as reached by a host that had an answer within this time: a wait, and a lost answer
// noticed.
constexpr std::int64_t store_reached_ms = 3500;

// Load of a target as another host sees it.
struct told_load {
    std::uint32_t carrier = 0;
    std::uint32_t busy = 0;  // requests in progress and openings
    std::uint32_t open = 0;  // open flows

    friend auto operator==(const told_load& a, const told_load& b) -> bool {
        return a.carrier == b.carrier && a.busy == b.busy && a.open == b.open;
    }
};

// What a host says of itself.
struct heartbeat {
    std::string zone;
    std::uint32_t boot = 0;         // drawn at its start: tells a start anew from a late message
    std::int64_t uptime_ms = 0;     // since its start; grows within a boot
    std::uint64_t revision = 0;     // it knows all changes of the store up to here; 0: no whole listing yet
    std::int64_t store_age_ms = 0;  // since the store answered it, or a host of its zone with a lower address
    std::int64_t view_age_ms = 0;   // since what it knows was current
    bool is_leaving = false;        // it was asked to stop
    std::vector<std::uint32_t> peers;  // addresses of other hosts
    std::vector<told_load> loads;

    friend auto operator==(const heartbeat& a, const heartbeat& b) -> bool {
        return a.zone == b.zone && a.boot == b.boot && a.uptime_ms == b.uptime_ms &&
               a.revision == b.revision && a.store_age_ms == b.store_age_ms &&
               a.view_age_ms == b.view_age_ms && a.is_leaving == b.is_leaving && a.peers == b.peers &&
               a.loads == b.loads;
    }
};

// Load that a host told, by index, so that it can be taken back.
struct counted_load {
    target_index target = 0;
    std::string name;  // of the target when it was counted
    std::uint32_t busy = 0;
    std::uint32_t open = 0;
};

// Another host.
struct peer_record {
    heartbeat last;
    time_ms heard;
    time_ms named;             // by a host that had heard it shortly before
    time_ms distrusted_until;  // it is not asked for changes before this time
    bool was_heard = false;
    std::vector<counted_load> counted;
};

// The other hosts, by IPv4 address in host byte order.
struct peer_group {
    std::uint32_t own_address = 0;
    std::string zone;
    absl::flat_hash_map<std::uint32_t, peer_record> peers;
};

auto encode_heartbeat(const heartbeat& beat) -> std::string;
auto decode_heartbeat(std::string_view bytes) -> result<heartbeat>;

// Notes a heartbeat: the sender, hosts that it names, and the loads that it tells. One that was overtaken by
// a later one of the same boot is ignored. Returns whether the sender is new or was silent.
auto note_heartbeat(peer_group& group, directory& known, std::uint32_t from, heartbeat&& beat, time_ms at)
    -> bool;

// Takes back the loads of silent hosts and forgets those that are silent for long. Returns who fell silent.
auto expire_peers(peer_group& group, directory& known, time_ms at) -> std::vector<std::uint32_t>;

auto is_alive(const peer_record& peer, time_ms at) -> bool;

// Returns the hosts that get a heartbeat now.
auto heartbeat_receivers(const peer_group& group, time_ms at, std::minstd_rand& random)
    -> std::vector<std::uint32_t>;

// Returns living hosts for a heartbeat to name, drawn at random if there are many.
auto named_peers(const peer_group& group, time_ms at, std::minstd_rand& random) -> std::vector<std::uint32_t>;

// Returns the living hosts of the own zone.
auto zone_peers(const peer_group& group, time_ms at) -> std::vector<std::uint32_t>;

// Returns the hosts of the own zone that take new flows, as far as this host knows.
auto zone_members(const peer_group& group, time_ms at) -> std::vector<std::uint32_t>;

// Returns whether the fleet is too large for each host to tell all others.
auto is_large_fleet(const peer_group& group) -> bool;

// Returns the interval in which a message with changed loads is told to that many hosts of the zone.
auto load_interval_ms(std::size_t zone_hosts, std::size_t message_bytes) -> std::int64_t;

// Returns whether this host should watch the store: no living host of its zone with a lower address reaches
// it, or hears of one that does.
auto should_watch(const peer_group& group, time_ms at) -> bool;

// Milliseconds since a host of the zone with this or a lower address had an answer of the store, given the
// own one. Goes from lower to higher addresses only, so that no host hears its own word back.
auto zone_store_age_ms(const peer_group& group, std::int64_t own_age_ms, time_ms at) -> std::int64_t;

// Returns the living host that knows the newest revision above `revision`, hosts of the own zone first.
auto newest_peer(const peer_group& group, std::uint64_t revision, time_ms at) -> std::optional<std::uint32_t>;

// Notes that a host sent an older revision than it had told, or no answer: for a while others are asked,
// which may know more than the store's true revision lets it know.
auto distrust_peer(peer_group& group, std::uint32_t address, time_ms at) -> void;

// Milliseconds since what this host knows was current, by what living hosts with no newer revision say; a
// large number if none does.
auto told_view_age_ms(const peer_group& group, std::uint64_t revision, time_ms at) -> std::int64_t;

// Returns the loads that this host tells others.
auto own_loads(const directory& known) -> std::vector<told_load>;

// What another host asks for: the changes after a revision, encoded. Everything if some were forgotten.
auto encode_changes(const directory& known, std::uint64_t after_revision) -> std::string;

// The changes that a host sent.
struct peer_changes {
    std::uint64_t revision = 0;
    bool is_whole = false;  // what it does not have is removed
    std::vector<store_item> items;
};

auto decode_changes(std::string_view bytes) -> result<peer_changes>;

}  // namespace agatepost::edge
