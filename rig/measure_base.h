// Measures of a run: imbalance, avoidable wait, their ideal, and the time to recover.
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

// What a choice of targets led to.
struct balance {
    std::optional<double> avoidable_wait;  // share of new request flows
    spread all_flows;                      // max over mean of open flows per slot
    spread request_flows;                  // the same, of open request flows only
};

// Samples the open flows of the targets through a run.
class balance_sampler {
public:
    // Takes one sample of the mix's first pool in each zone. Samples whose mean is below one flow for each
    // target are left out: there the ratio says only that flows are whole.
    auto sample(const targets& from) -> void;

    auto result(const std::vector<flow_arrival>& arrivals, std::int64_t from_ms, std::int64_t to_ms) const
        -> balance;

private:
    std::vector<double> all_flows_;
    std::vector<double> request_flows_;
};

// Replays the arrivals of a window through a choice that always knows the least loaded target of the pool and
// zone, and samples it in the same way.
auto replay_ideal(const targets& from, std::int64_t from_ms, std::int64_t to_ms) -> balance;

// Returns the seconds from a fault until the last half second in which the share of avoidable waits was above
// `limit`; absent if the limit was not kept before the fault or there were too few flows.
auto seconds_to_recover(const std::vector<flow_arrival>& arrivals, std::int64_t from_ms,
                        std::int64_t fault_ms, std::int64_t to_ms, double limit) -> std::optional<double>;

}  // namespace agatepost::rig
