// Time in which a SYN is answered, estimated as RFC 6298 does for retransmissions. Free functions over a
// plain struct; no I/O, no clock.
//
// The path of an answer is target, client, host: it depends on the zone of the target and on how far clients
// are. A time-out shorter than the path opens every flow at several targets; one much longer leaves clients
// waiting at targets that are dead or full. Test: `syn_timeout_follows_the_round_trip` in
// tests/edge_attempt_test.cpp.
#pragma once

#include <cstdint>

namespace agatepost::edge {

// Time-out of a SYN before any was answered.
constexpr std::int64_t initial_syn_timeout_ms = 35;

// Limits of the time-out. Below the first, a host that is briefly late would count answers as missing. At the
// second, the client sends a copy itself.
constexpr std::int64_t min_syn_timeout_ms = 20;
constexpr std::int64_t max_syn_timeout_ms = 200;

// Estimate of the time from sending a SYN until the next packet of its client.
struct round_trip {
    double smoothed_ms = 0;  // 0: none measured
    double variation_ms = 0;

    friend auto operator==(const round_trip& a, const round_trip& b) -> bool {
        return a.smoothed_ms == b.smoothed_ms && a.variation_ms == b.variation_ms;
    }
};

// Returns the estimate after one more measurement.
auto with_measurement(const round_trip& estimate, std::int64_t measured_ms) -> round_trip;

// Returns how long a SYN may stay unanswered before another target gets it.
auto syn_timeout_ms(const round_trip& estimate) -> std::int64_t;

// Returns the time after which most answers have arrived; nothing is known to be missing earlier.
auto usual_answer_ms(const round_trip& estimate) -> std::int64_t;

}  // namespace agatepost::edge
