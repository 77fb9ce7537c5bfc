// Decides which share of a service's opening SYNs goes to other availability zones, and to which. Free
// functions over plain structs; no I/O, no clock.
//
// All sums are of demand: requests that spillover has moved count in the zone of their clients. A share
// computed from where requests are would fall as soon as it takes effect, and oscillate with the age of the
// reports. Replayed in tests/edge_zone_overflow_test.cpp.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "edge/forwarding_base.h"
#include "edge/zone_load_type.h"
#include "edge/zone_overflow_type.h"

namespace agatepost::edge {

// A load older than this is unknown: a zone that is cut off must not receive requests for longer.
constexpr std::int64_t max_zone_load_age_ms = 3000;

// Demand per slot above which a zone has excess demand. Waiting times grow steeply beyond.
constexpr double excess_load = 0.9;

// Part of the slots at work up to which a zone receives spillover. The rest is reserved for the zone's own
// callers. In requests per slot it may be more, see requests_per_slot, but it stays below `excess_load`.
constexpr double spare_load = 0.75;

// Minimum distance of the two, in requests, for a zone to receive spillover. Each host that sends may be one
// request ahead; in replays with three hosts, zones of 10 slots reached 1.1 and zones of 20 slots 0.9.
constexpr double min_reserved_requests = 3;

// Time constant of a falling share. A share that followed every dip of the demand would make requests cross
// zones in bursts.
constexpr double share_fall_ms = 1000;

// Time constant with which a share is corrected by the number of requests that it has led to. Reports of the
// own zone are up to 200 ms old and requests take 300 ms; a faster correction would oscillate.
constexpr double correction_ms = 1000;
constexpr double min_correction = 0.1;

// A falling share ends when it makes up fewer requests than this: the receiver could no longer tell from the
// sender's load that it still sends.
constexpr double min_falling_requests = 3;

// Missing requests in other zones, per slot of the sending zone, from which on all new long flows leave. A
// long flow brings few requests, and those that opened before stay, so a share of the openings would take
// long to move the same share of the requests.
constexpr double long_flow_band = 0.1;

// Part of a zone's requests in another zone from which on the zone counts as sending there.
constexpr double sender_share = 0.01;

// Smaller shares count as 0: they save less than the noise of the loads.
constexpr double min_overflow_share = 0.02;

// Change of the sum of the shares that is logged.
constexpr double logged_share_change = 0.1;

// Minimum interval between decisions. Loads of other hosts arrive every 20 ms or more.
constexpr std::int64_t overflow_interval_ms = 50;

// Limit of the requests in progress that one slot at work accounts for; see requests_per_slot.
constexpr double max_requests_per_slot = 2;

// What a decision for one service is computed from, beside the loads.
struct overflow_input {
    service_hash service = 0;
    std::string zone;                              // of this host
    std::map<std::string, double> slots;           // of targets that take new flows, by zone
    double request_ms = 0;                         // expected time of a request
    std::map<std::string, double> round_trips_ms;  // by zone of the targets, where measured
    time_ms excess_since;                          // of the last decision
    double requests_per_slot = 1;                  // see the function of this name
};

// Returns how many requests are in progress, as hosts count them, while one slot is always at work: a host
// counts a request until it sees its client's acknowledgement, a round trip longer than the target works on
// it.
auto requests_per_slot(double request_ms, double round_trip_ms) -> double;

// Returns the expected wait for a slot, in milliseconds, at `per_slot` requests per slot: Sakasegawa's
// approximation of a queue with several servers below 1, at most one request time; the queue itself above.
auto expected_wait_ms(double per_slot, double slots, double request_ms) -> double;

// Returns the spillover that the loads call for, not smoothed. All hosts divide the spare capacity of a zone
// in the same way, so they need not ask each other.
//
// A zone begins to receive only by a load measured after the excess demand began. Of two zones that are
// overloaded at about the same time, at most the first can then send to the second.
auto decide_overflow(const zone_loads& loads, const overflow_input& input, time_ms at) -> overflow_decision;

// Returns the spillover that follows `previous`: shares rise at once and fall slowly, but never exceed the
// limits of the new decision. Queued and refused requests make the demand differ from the number of requests
// that arrive within a request time, so shares are corrected by the requests that they have led to.
auto with_smoothing(overflow_decision decision, const service_overflow& previous, time_ms at)
    -> service_overflow;

// Returns the sum of the shares.
auto total_share(const overflow_decision& decision) -> double;

// Returns the zone that a flow is sent to, or nullptr if it stays. `draw` is the flow's position between 0
// and 2^32 - 1; a flow keeps it, so that a waiting SYN is not drawn again at each check.
auto receiving_zone(const overflow_decision& decision, std::uint32_t draw, bool is_long)
    -> const std::string*;

// Distance of consecutive draws: the golden ratio of 2^32, whose multiples are spread evenly.
constexpr std::uint32_t draw_step = 0x9e3779b9;

// Returns the draw of the next flow: a sequence that covers the range evenly after any number of flows.
// Random draws would make the number of requests in the receiving zone vary by more than its reserve.
auto next_draw(overflow_state& overflow) -> std::uint32_t;

// Returns what the decision for a service is computed from.
auto make_overflow_input(const forwarding_state& state, const std::string& service, time_ms at)
    -> overflow_input;

// Decides again for a service if the last decision is older than `overflow_interval_ms`. Returns nullptr if
// spillover is not enabled or the service has targets in fewer than two zones.
auto update_overflow(forwarding_state& state, const std::string& service, time_ms at)
    -> const overflow_decision*;

// The same for all services with a decision, so that shares also fall without new flows.
auto update_all_overflows(forwarding_state& state, time_ms at) -> void;

// Returns the target in another zone that an opening SYN is sent to, or nothing if it stays: by its draw, as
// it has been sent to a target before, or because no target there takes it at once.
auto choose_overflow_target(forwarding_state& state, const std::string& service, const route_record& route,
                            const flow_request& request, const flow_record& flow, time_ms at)
    -> std::optional<target_index>;

// Logs the services whose shares have changed.
auto log_overflow_changes(overflow_state& overflow) -> void;

// Renders the shares in the Prometheus text format.
auto render_overflow_shares(const overflow_state& overflow) -> std::string;

auto to_text(overflow_reason reason) -> std::string_view;

}  // namespace agatepost::edge
