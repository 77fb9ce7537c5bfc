#include "edge/round_trip_func.h"

#include <algorithm>
#include <cmath>

namespace agatepost::edge {

namespace {

// Gains and factor of RFC 6298.
constexpr double smoothed_gain = 1.0 / 8;
constexpr double variation_gain = 1.0 / 4;
constexpr double variation_factor = 4;

}  // namespace

auto with_measurement(const round_trip& estimate, std::int64_t measured_ms) -> round_trip {
    // A measurement of less than the clock's resolution still counts as one.
    const auto measured = static_cast<double>(std::max<std::int64_t>(1, measured_ms));
    if (estimate.smoothed_ms == 0) {
        return {measured, measured / 2};
    }
    const auto difference = std::abs(measured - estimate.smoothed_ms);
    return {estimate.smoothed_ms + (measured - estimate.smoothed_ms) * smoothed_gain,
            estimate.variation_ms + (difference - estimate.variation_ms) * variation_gain};
}

auto syn_timeout_ms(const round_trip& estimate) -> std::int64_t {
    if (estimate.smoothed_ms == 0) {
        return initial_syn_timeout_ms;
    }
    const auto timeout = std::ceil(estimate.smoothed_ms + variation_factor * estimate.variation_ms);
    return std::clamp(static_cast<std::int64_t>(timeout), min_syn_timeout_ms, max_syn_timeout_ms);
}

auto usual_answer_ms(const round_trip& estimate) -> std::int64_t {
    return static_cast<std::int64_t>(std::ceil(estimate.smoothed_ms));
}

}  // namespace agatepost::edge
