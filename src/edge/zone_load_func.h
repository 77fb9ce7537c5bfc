// Loads of availability zones: own counts, their exchange in heartbeats, and the lookup. Free functions over
// plain structs; no input, output or clock. See docs/design/zone-loads.md.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "edge/forwarding_base.h"

namespace agatepost::edge {

struct heartbeat;

// A load older than this is unknown. Requests take 0.3 to 1.2 s, so an older one describes other requests.
constexpr std::int64_t max_load_age_ms = 3000;

// The counts of a host that are older than this are replaced by the average of the other hosts.
constexpr std::int64_t max_count_age_ms = 1000;

// Maximum count of requests in a message; more is implausible, and sums of it could overflow.
constexpr std::uint32_t max_load_count = 1000000;

// Maximum number of services and zones in one message, and maximum length of a zone's name.
constexpr std::size_t max_reported_services = 4;
constexpr std::size_t max_reported_zones = 8;
constexpr std::size_t max_zone_name_bytes = 64;

// If a message would exceed the budget for control traffic, fewer services are reported, but at least these.
constexpr std::size_t min_reported_services = 2;

// Ages omit the time in transit and in the socket, so a load appears younger each time that it is passed on.
// A load that was passed on more often than the known one must be newer by this time for each further hop.
// Otherwise, hosts that pass an old load to each other in a circle would keep it alive. Hosts with 0.084 of a
// core may be suspended for up to 92 of 100 ms.
constexpr std::int64_t hop_allowance_ms = 100;

// A load is passed on at most this many times, which bounds its life if messages are later than the
// allowance.
constexpr std::uint32_t max_load_hops = 7;

// Reports of zone loads are at most this many heartbeats apart, so that counts do not lapse between them.
constexpr std::int64_t max_report_heartbeats = 4;

// Maximum number of loads that a host stores. False messages could otherwise exhaust the memory.
constexpr std::size_t max_known_loads = 256;

// Requests for one service.
struct request_counts {
    std::map<std::string, std::uint32_t> busy;  // in progress or SYN unanswered, by zone of the target
    std::uint32_t waiting = 0;                  // SYNs that wait in hosts

    friend auto operator==(const request_counts& a, const request_counts& b) -> bool {
        return a.busy == b.busy && a.waiting == b.waiting;
    }
};

// Counts of one host by service.
using service_counts = std::map<service_hash, request_counts>;

// The load of one zone's clients for one service, as a message carries it.
struct reported_load {
    service_hash service = 0;
    std::string zone;
    request_counts counts;
    std::int64_t age_ms = 0;  // since the measurement
    std::uint32_t hops = 0;   // how often it was passed on before this message

    friend auto operator==(const reported_load& a, const reported_load& b) -> bool {
        return a.service == b.service && a.zone == b.zone && a.counts == b.counts && a.age_ms == b.age_ms &&
               a.hops == b.hops;
    }
};

// The tenth element of a heartbeat.
struct zone_report {
    service_counts own;                // of the sender
    std::vector<reported_load> loads;  // by zone, the sender's first, then by service

    friend auto operator==(const zone_report& a, const zone_report& b) -> bool {
        return a.own == b.own && a.loads == b.loads;
    }
};

// Counts that another host reported.
struct host_counts {
    service_counts counts;
    time_ms received;
};

// What the exchange of loads stores besides the loads.
struct zone_load_exchange {
    absl::flat_hash_map<std::uint32_t, host_counts> hosts;  // of the own zone, by address
    absl::flat_hash_map<std::pair<service_hash, std::string>, std::uint32_t> hops;  // of received loads
    absl::flat_hash_map<service_hash, time_ms> last_requests;  // when requests for it were last known
};

// Numbers of received loads by the decision on them.
struct merge_outcome {
    std::size_t taken = 0;
    std::size_t older = 0;  // not newer than the known one, or not by the allowance for its hops
    std::size_t full = 0;   // max_known_loads are known already
};

// Returns the hash that identifies a service in messages.
auto hash_service(std::string_view name) -> service_hash;

// Returns whether loads are exchanged: targets are in at least two zones.
auto needs_zone_loads(const directory& known) -> bool;

// Returns the requests in progress, unanswered SYNs and waiting SYNs of this host.
auto count_own_requests(const forwarding_state& state) -> service_counts;

// Returns the tenth element of a heartbeat from a host of `zone`.
auto encode_report(const zone_report& report, const std::string& zone) -> nlohmann::json;

// Reads the tenth element of a heartbeat from a host of `zone`; nothing if it is malformed or implausible.
auto decode_report(const nlohmann::json& element, const std::string& zone) -> std::optional<zone_report>;

// Records a report from the host `from` of the zone `from_zone`: its counts if it is of the own zone, and the
// loads of other zones that are newer than the known ones.
auto record_report(zone_load_exchange& exchange, zone_loads& loads, const std::string& own_zone,
                   std::uint32_t from, const std::string& from_zone, const zone_report& report, time_ms at)
    -> merge_outcome;

// Replaces the load of the own zone: the sum over the own counts and those of the zone's other hosts.
// `members` that have not reported within max_count_age_ms count as the average of the hosts that have. Each
// service with requests in any known zone within max_load_age_ms gets a load, also without requests in the
// own zone: 0 is known too, and replaces earlier loads at other hosts.
auto update_own_zone(zone_load_exchange& exchange, zone_loads& loads, const std::string& own_zone,
                     const service_counts& own, const std::vector<std::uint32_t>& members, time_ms at)
    -> void;

// Deletes the loads that are too old.
auto expire_loads(zone_load_exchange& exchange, zone_loads& loads, time_ms at) -> void;

// Returns the other zones of which a load is stored.
auto other_zones(const zone_loads& loads, const std::string& own_zone) -> std::set<std::string>;

// Returns the load of a zone's clients for a service, or nullptr if it is unknown or older than
// max_load_age_ms.
auto find_load(const zone_loads& loads, service_hash service, const std::string& zone, time_ms at)
    -> const zone_load*;

// Returns the report of a host: the `max_services` services and max_reported_zones zones with the most
// requests, the own zone always.
auto make_report(const zone_load_exchange& exchange, const zone_loads& loads, const std::string& own_zone,
                 const service_counts& own, std::size_t max_services, time_ms at) -> zone_report;

// Returns the least number of heartbeats from one report to the next with which heartbeats to `receivers`
// hosts stay within the budget for control traffic; at most max_report_heartbeats + 1. `message_bytes`: size
// of a heartbeat without report, in bytes.
auto report_interval(std::size_t receivers, std::size_t message_bytes, std::size_t report_bytes)
    -> std::int64_t;

// Adds a report to a heartbeat to `receivers` hosts. Returns the milliseconds until the next report is due.
auto add_report(heartbeat& beat, const zone_load_exchange& exchange, const zone_loads& loads,
                const service_counts& own, std::size_t receivers, time_ms at) -> std::int64_t;

}  // namespace agatepost::edge
