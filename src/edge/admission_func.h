// Admission control for SYNs that no target would answer in time: which wait in the host, in which order they
// are placed, and which are refused. Free functions over plain structs; no input, output or clock.
//
// A surge and a sustained overload need opposite handling. Requests of a surge, such as all clients at once
// after a power failure, are served well before their deadlines if they wait; a refusal costs each client one
// of its few tries within milliseconds. Under a sustained overload a queue makes every request late, so those
// that would be late are refused at once. Both begin alike, so the first `surge_ms` count as a surge.
// Replayed by `surge_after_a_power_failure_is_served` and `sustained_overload_is_refused_at_once` in
// tests/edge_admission_test.cpp.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include "edge/directory_base.h"
#include "edge/edge_platform_base.h"

namespace agatepost::edge {

// An overload that lasts longer than this is not a surge, unless hosts of the zone have just started:
// requests that failed during the restart then arrive spread over the clients' retry delay.
constexpr std::int64_t surge_ms = 500;

// An overload ends when no SYN had to wait or was refused for this long.
constexpr std::int64_t overload_gap_ms = 300;

// Maximum wait of a SYN in this host. A client gives up an attempt 1.4 s after its first SYN; the remainder
// is for the round trip and for a second target.
constexpr std::int64_t max_syn_wait_ms = 1200;

// Maximum number of waiting SYNs of all services together; further ones are refused.
constexpr std::size_t max_waiting_syns = 4096;

// Interval at which waiting SYNs are checked for a free target when no packet arrives.
constexpr std::int64_t waiting_check_ms = 10;

// The bytes of a SYN without data.
using syn_packet = std::array<std::uint8_t, bare_packet_bytes>;

// A SYN that waits in this host. A client sends its request only after the SYN is answered, so a reset is
// safe: no request has run.
struct waiting_syn {
    flow_key flow;
    time_ms arrived;
    time_ms wait_deadline;         // when it is refused, or placed regardless of the load
    bool may_be_answered = false;  // a target may have received a SYN of the attempt and still answer it
    syn_packet packet;
};

// The SYNs that wait for targets of one service, by priority of their routes (0 is highest), then by arrival.
struct service_queue {
    std::map<std::uint32_t, std::deque<waiting_syn>> waiting;
    time_ms overloaded_since;  // start of the present overload
    time_ms last_overloaded;   // when a SYN last had to wait or was refused
    time_ms surge_until;       // every overload before it is a surge; set after starts of hosts in the zone
};

// All queues, by the first service of a route.
using admission_queues = absl::flat_hash_map<std::string, service_queue>;

// The decision on a SYN that no target would answer in time.
enum class admission {
    wait,    // queue it
    refuse,  // reset it at once; no request has run
    place,   // send it to the least busy target regardless of the load
};

// The properties of a SYN that no target would answer in time.
struct admission_request {
    std::uint32_t priority = 0;    // of its route
    bool is_refused_last = false;  // its route has the highest priority of a service with several priorities
    std::uint32_t retransmissions = 0;  // number of earlier SYNs of the attempt
    std::int64_t timeout_ms = 0;        // of the route; 0: not stated
    double request_ms = 0;              // time of a request at a free slot
    std::uint32_t slots = 1;            // of the targets assigned to this host
    std::size_t waiting_total = 0;      // waiting SYNs in all queues
};

// Records that a SYN cannot be placed in time. `surge_until`: see service_queue.
auto record_overload(service_queue& queue, time_ms surge_until, time_ms at) -> void;

// Returns whether the service has been overloaded for so long that waiting SYNs would be answered late.
auto is_sustained_overload(const service_queue& queue, time_ms at) -> bool;

// Returns the number of waiting SYNs to be placed before a new one. Under a sustained overload the waiting
// ones will be late while a new one may be in time, so 0 is returned; only routes that are refused last keep
// the order of arrival. Their load limits are wider, so they are placed before a target has room for others.
auto count_waiting_ahead(const service_queue& queue, std::uint32_t priority, bool is_refused_last, time_ms at)
    -> std::size_t;

// Returns how long a SYN may wait, less the time since the first SYN of its attempt.
auto max_wait_ms(const admission_request& request) -> std::int64_t;

// Decides on a SYN that no target would answer in time, or that others are placed before. SYNs of routes that
// are refused last also wait under a sustained overload. Retransmitted SYNs are never refused, since a target
// may have received the first one through another host.
auto admit(const service_queue& queue, const admission_request& request, time_ms at) -> admission;

// Returns the number of waiting SYNs.
auto count_waiting_syns(const admission_queues& queues) -> std::size_t;

}  // namespace agatepost::edge
