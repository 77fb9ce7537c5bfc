// Limits the opening SYNs that a cold target gets from all hosts together in any second. Free functions; no
// I/O, no clock. See docs/design/cold-targets.md.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "edge/cold_start_type.h"
#include "edge/forwarding_base.h"

namespace agatepost::edge {

struct peer_group;

// Length of the window in which SYNs are counted. The limit holds for a second at the target; the rest covers
// the delay from the decision to the arrival there, which varies by up to a scheduling period of 100 ms.
constexpr std::int64_t cold_window_ms = 1100;

// Time for which a host sends no SYNs to cold targets after its start, for each other host of its zone that
// it knows. In a large fleet a host hears from another one of its zone every 67 ms x hosts on average; after
// four times that, one in 50 is still unknown.
constexpr std::int64_t cold_grace_ms_per_host = 270;

// Returns the maximum number of opening SYNs that all hosts together may send to the target in a second, or
// nothing if it is not limited: it is not cold, or its service has no `cold-per-s`, or the bounds are absent.
auto cold_limit(const directory& known, const target_record& target, time_ms at) -> std::optional<double>;

// Returns this host's part of the limit: half of it, halved again for each host that precedes this one in
// rendezvous order and may still send. The parts of all ranks add up to less than the limit.
auto cold_share(double limit, std::uint32_t rank) -> std::size_t;

// Returns whether no opening SYN may be sent to the target now because it is cold.
auto is_cold_limited(const directory& known, const target_record& target, time_ms at) -> bool;

// Counts an opening SYN, or a copy of one, that is sent to the target.
auto record_cold_syn(directory& known, target_index index, time_ms at) -> void;

// Records the cold targets that a flow's SYN did not go to because of the limit: counts the flow once, and
// notes targets whose limit has not been logged for the log.
auto record_cold_skip(forwarding_state& state, flow_record& flow, const std::vector<target_index>& skipped)
    -> void;

// Returns whether a copy of a SYN may go to the flow's target, and counts it there if so.
auto send_cold_copy(forwarding_state& state, target_index target, time_ms at) -> bool;

// Returns the other hosts of the zone that may send SYNs, by address, or nothing if this host does not know
// its zone: `uptime_ms` since its start or last pause is too short, or it has `has_seeds` other hosts but
// knows none. A host that announced its stop counts for `cold_window_ms`, and one that is silent until it is
// forgotten. In a small fleet, a host whose zone is unknown counts too.
auto find_cold_zone_hosts(const peer_group& group, bool has_seeds, std::int64_t uptime_ms, time_ms at)
    -> std::optional<std::vector<cold_zone_host>>;

// Assigns each target of the zone to one of its hosts for the time that it is cold, by rendezvous hashing.
// Without a list of the other hosts, this host gets none.
auto assign_cold_targets(directory& known, const std::string& zone, std::uint32_t own_address,
                         const std::optional<std::vector<cold_zone_host>>& others) -> void;

}  // namespace agatepost::edge
