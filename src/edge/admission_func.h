// Openings that no target would answer in time: which of them wait in the host, in which order they are
// placed, and which are refused. Free functions over plain structs; no input, output or clock.
//
// Two loads at their worst ask for opposite answers. A herd, such as all clients at once after a loss of
// power, is served within a fraction of its deadline if it waits; a refusal costs each client one of its few
// tries within milliseconds. Under overload that lasts, a queue makes every request late, so that what would
// come late is refused at once. The two begin alike, so the first `herd_ms` of a load are taken for a herd.
// Replayed by `herd_after_a_loss_of_power_is_served` and `lasting_overload_is_refused_at_once` in
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

// Load beyond the slots for longer than this is no herd, unless hosts of the zone have just started: what
// their clients could not send meanwhile comes for as long as clients pause between retries.
constexpr std::int64_t herd_ms = 500;

// Without an opening that had to wait or was refused for this long, the next one begins a new load.
constexpr std::int64_t calm_ms = 300;

// A client gives up an attempt 1.4 s after its first opening packet; the rest is for the way and for a second
// target.
constexpr std::int64_t longest_wait_ms = 1200;

// Openings that wait at most, all services together; more are refused.
constexpr std::size_t most_waiting = 4096;

// While openings wait, targets are looked at this often even if no packet has come.
constexpr std::int64_t waiting_check_ms = 10;

// The bytes of an opening packet, which has no data.
using opening_packet = std::array<std::uint8_t, bare_packet_bytes>;

// An opening packet that waits in this host. A request follows only once the client has the answer to it, so
// a reset that says that nothing has run is true.
struct waiting_opening {
    flow_key flow;
    time_ms arrived;
    time_ms give_up;        // when it is refused, or placed whatever the load
    bool is_copy = false;   // a target may have got a packet before it, through another host
    opening_packet packet;  // filled in by the caller of handle_packet
};

// The openings that wait for targets of one service, by priority of their routes (0 is highest), then by
// arrival.
struct service_queue {
    std::map<std::uint32_t, std::deque<waiting_opening>> waiting;
    time_ms pressed_since;  // when the present load beyond the slots began
    time_ms last_pressed;   // when an opening last had to wait or was refused
    time_ms herd_until;     // hosts of the zone have just started: before this time no load counts as lasting
};

// All queues, by the first service of a route.
using admission_queues = absl::flat_hash_map<std::string, service_queue>;

// What becomes of an opening that no target would answer in time.
enum class admission {
    wait,    // in the queue
    refuse,  // at once; nothing has run
    place,   // at the least busy target all the same
};

// What is known of an opening that no target would answer in time.
struct admission_request {
    std::uint32_t priority = 0;     // of its route
    bool is_urgent = false;         // its route goes before others of the service, and none before it
    std::uint32_t copy = 0;         // copies that the client sent before this one
    std::int64_t timeout_ms = 0;    // of the route; 0: not stated
    double request_ms = 0;          // time of a request at a free slot
    std::uint32_t slots = 1;        // of the targets in reach
    std::size_t waiting_total = 0;  // in all queues
};

// Notes that an opening cannot be placed in time. `herd_until`: see service_queue.
auto note_pressure(service_queue& queue, time_ms herd_until, time_ms at) -> void;

// Returns whether the load has been beyond the slots for so long that waiting helps nobody.
auto is_lasting(const service_queue& queue, time_ms at) -> bool;

// Returns the number of openings that wait and go before a new one. Under a load that lasts, those that wait
// will be late, and a new one may be in time; only routes that go first keep the order of arrival then. Their
// limits are wider, so that they are placed before a target has room for others.
auto waiting_before(const service_queue& queue, std::uint32_t priority, bool is_urgent, time_ms at)
    -> std::size_t;

// Returns how long ago a client began an attempt when it sends the copy of this number.
auto copy_age_ms(std::uint32_t copy) -> std::int64_t;

// Returns how long an opening may wait, given the number of copies that the client sent before.
auto patience_ms(const admission_request& request) -> std::int64_t;

// Decides on an opening that no target would answer in time, or that others go before. Urgent ones wait under
// any load: their routes are to lose nothing. Copies are never refused, since a target may have taken the
// first packet through another host.
auto admit(const service_queue& queue, const admission_request& request, time_ms at) -> admission;

// Returns the number of openings that wait.
auto count_waiting(const admission_queues& queues) -> std::size_t;

}  // namespace agatepost::edge
