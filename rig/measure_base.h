// Metrics of a run: imbalance, avoidable wait, their ideal values, and recovery time.
#pragma once

#include <optional>
#include <vector>

#include "targets_base.h"

namespace agatepost::rig {

// Median and 99th percentile; absent if there were no samples.
struct spread {
    std::optional<double> median;
    std::optional<double> p99;
};

// Returns the spread of samples.
auto spread_of(std::vector<double> samples) -> spread;

// Balance that results from a choice of targets.
struct balance {
    std::optional<double> avoidable_wait;  // as a share of new request flows
    spread all_flows;                      // max over mean of open flows per slot
    spread request_flows;                  // the same for request flows only
};

// Samples the targets' open flows during a run.
class balance_sampler {
public:
    // Samples the mix's first pool in each zone. Skips samples with a mean below one flow per target: the
    // ratio then reflects only that flows are indivisible.
    auto sample(const targets& from) -> void;

    auto result(const std::vector<flow_arrival>& arrivals, std::int64_t from_ms, std::int64_t to_ms) const
        -> balance;

private:
    std::vector<double> all_flows_;
    std::vector<double> request_flows_;
};

// Replays the arrivals of a time window, always choosing the least loaded target of the pool and zone, and
// samples the result in the same way.
auto replay_ideal(const targets& from, std::int64_t from_ms, std::int64_t to_ms) -> balance;

// Returns the seconds from a fault to the last half second with a share of avoidable waits above `limit`.
// Returns nullopt if the fault is outside the time window or the share exceeded the limit before it.
auto seconds_to_recover(const std::vector<flow_arrival>& arrivals, std::int64_t from_ms,
                        std::int64_t fault_ms, std::int64_t to_ms, double limit) -> std::optional<double>;

}  // namespace agatepost::rig
