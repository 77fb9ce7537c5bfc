#include "measure_base.h"

#include <algorithm>
#include <numeric>
#include <queue>

namespace agatepost::rig {

namespace {

constexpr std::int64_t sample_interval_ms = 100;
constexpr std::int64_t recovery_step_ms = 500;
constexpr double min_mean_flows = 1;  // open flows per target

// Open flows of a target, real or replayed.
struct target_load {
    double slots = 1;
    double requests = 0;
    double feeds = 0;
};

auto max_over_mean(const std::vector<target_load>& loads, bool only_requests) -> std::optional<double> {
    auto max_flows_per_slot = 0.0;
    auto flows = 0.0;
    auto slots = 0.0;
    for (const auto& load : loads) {
        const auto open = load.requests + (only_requests ? 0 : load.feeds);
        max_flows_per_slot = std::max(max_flows_per_slot, open / load.slots);
        flows += open;
        slots += load.slots;
    }
    if (loads.empty() || flows < min_mean_flows * static_cast<double>(loads.size())) {
        return std::nullopt;
    }
    return max_flows_per_slot / (flows / slots);
}

auto add_sample(const std::vector<target_load>& loads, std::vector<double>& all,
                std::vector<double>& requests) -> void {
    if (const auto ratio = max_over_mean(loads, false)) {
        all.push_back(*ratio);
    }
    if (const auto ratio = max_over_mean(loads, true)) {
        requests.push_back(*ratio);
    }
}

auto group_count(const targets& from) -> std::size_t {
    auto total = std::size_t{0};
    for (const auto& server : from.all) {
        total = std::max(total, from.group_of(*server) + 1);
    }
    return total;
}

// Ideal choice of targets for a pool and zone.
class ideal_group {
public:
    explicit ideal_group(std::vector<target_load> loads)
        : loads_(std::move(loads)), slot_free_ms_(loads_.size()) {
        for (auto i = std::size_t{0}; i < loads_.size(); ++i) {
            slot_free_ms_[i].assign(static_cast<std::size_t>(loads_[i].slots), 0);
        }
    }

    // Ends the flows that end by `time_ms`.
    auto advance(std::int64_t time_ms) -> void {
        while (!ends_.empty() && ends_.top().time_ms <= time_ms) {
            auto& load = loads_[ends_.top().target];
            (ends_.top().is_request ? load.requests : load.feeds) -= 1;
            ends_.pop();
        }
    }

    // Places a flow. Returns whether its wait was avoidable.
    auto place(const flow_arrival& arrival, std::int64_t to_ms) -> bool {
        const auto measure = [&](const target_load& load) {
            return (arrival.is_request ? load.requests : load.feeds) / load.slots;
        };
        const auto best = std::min_element(loads_.begin(), loads_.end(), [&](const auto& a, const auto& b) {
            return measure(a) < measure(b);
        });
        const auto i = static_cast<std::size_t>(best - loads_.begin());
        const auto is_full = best->requests >= best->slots;
        const auto is_free_elsewhere = std::any_of(
            loads_.begin(), loads_.end(), [](const auto& load) { return load.requests < load.slots; });
        const auto end_ms = arrival.end_ms < 0 ? to_ms : arrival.end_ms;
        auto end = end_ms;
        if (arrival.is_request) {
            auto& slot = *std::min_element(slot_free_ms_[i].begin(), slot_free_ms_[i].end());
            const auto start = std::max(slot, arrival.time_ms);
            end = start + (end_ms - arrival.time_ms - arrival.queued_ms);
            slot = end;
        }
        (arrival.is_request ? best->requests : best->feeds) += 1;
        ends_.push(flow_end{end, i, arrival.is_request});
        return arrival.is_request && is_full && is_free_elsewhere;
    }

    auto loads() const -> const std::vector<target_load>& { return loads_; }

private:
    struct flow_end {
        std::int64_t time_ms;
        std::size_t target;
        bool is_request;

        friend auto operator<(const flow_end& a, const flow_end& b) -> bool { return a.time_ms > b.time_ms; }
    };

    std::vector<target_load> loads_;
    std::vector<std::vector<std::int64_t>> slot_free_ms_;  // time at which each slot becomes free
    std::priority_queue<flow_end> ends_;
};

}  // namespace

auto spread_of(std::vector<double> samples) -> spread {
    if (samples.empty()) {
        return {};
    }
    std::sort(samples.begin(), samples.end());
    const auto at = [&](double share) {
        return samples[static_cast<std::size_t>(share * static_cast<double>(samples.size() - 1))];
    };
    return {at(0.5), at(0.99)};
}

auto balance_sampler::sample(const targets& from) -> void {
    auto groups = std::vector<std::vector<target_load>>(group_count(from));
    for (const auto& server : from.all) {
        if (server->is_ready && !server->is_dead) {
            groups[from.group_of(*server)].push_back({static_cast<double>(server->spec.object.slots),
                                                      static_cast<double>(server->unfinished),
                                                      static_cast<double>(server->feeds)});
        }
    }
    for (auto g = std::size_t{0}; g < groups.size(); g += from.pool_count()) {
        add_sample(groups[g], all_flows_, request_flows_);
    }
}

auto balance_sampler::result(const std::vector<flow_arrival>& arrivals, std::int64_t from_ms,
                             std::int64_t to_ms) const -> balance {
    auto requests = 0.0;
    auto avoidable = 0.0;
    for (const auto& arrival : arrivals) {
        if (arrival.is_request && arrival.time_ms >= from_ms && arrival.time_ms < to_ms) {
            requests += 1;
            avoidable += arrival.is_avoidable ? 1 : 0;
        }
    }
    auto found = balance{{}, spread_of(all_flows_), spread_of(request_flows_)};
    if (requests > 0) {
        found.avoidable_wait = avoidable / requests;
    }
    return found;
}

auto replay_ideal(const targets& from, std::int64_t from_ms, std::int64_t to_ms) -> balance {
    auto loads = std::vector<std::vector<target_load>>(group_count(from));
    for (const auto& server : from.all) {
        loads[from.group_of(*server)].push_back({static_cast<double>(server->spec.object.slots), 0, 0});
    }
    auto groups = std::vector<ideal_group>{};
    for (auto& group : loads) {
        groups.emplace_back(std::move(group));
    }
    auto all = std::vector<double>{};
    auto only_requests = std::vector<double>{};
    auto requests = 0.0;
    auto avoidable = 0.0;
    auto next_sample = from_ms;
    const auto sample_until = [&](std::int64_t time_ms) {
        for (; next_sample <= time_ms; next_sample += sample_interval_ms) {
            for (auto g = std::size_t{0}; g < groups.size(); g += from.pool_count()) {
                groups[g].advance(next_sample);
                add_sample(groups[g].loads(), all, only_requests);
            }
        }
    };
    for (const auto& arrival : from.arrivals) {
        if (arrival.time_ms >= to_ms) {
            break;
        }
        sample_until(arrival.time_ms);
        groups[arrival.group].advance(arrival.time_ms);
        const auto is_avoidable = groups[arrival.group].place(arrival, to_ms);
        if (arrival.is_request && arrival.time_ms >= from_ms) {
            requests += 1;
            avoidable += is_avoidable ? 1 : 0;
        }
    }
    sample_until(to_ms);
    auto found = balance{{}, spread_of(std::move(all)), spread_of(std::move(only_requests))};
    if (requests > 0) {
        found.avoidable_wait = avoidable / requests;
    }
    return found;
}

auto seconds_to_recover(const std::vector<flow_arrival>& arrivals, std::int64_t from_ms,
                        std::int64_t fault_ms, std::int64_t to_ms, double limit) -> std::optional<double> {
    const auto share = [&](std::int64_t begin, std::int64_t end) {
        auto requests = 0.0;
        auto avoidable = 0.0;
        for (const auto& arrival : arrivals) {
            if (arrival.is_request && arrival.time_ms >= begin && arrival.time_ms < end) {
                requests += 1;
                avoidable += arrival.is_avoidable ? 1 : 0;
            }
        }
        return requests == 0 ? 0 : avoidable / requests;
    };
    if (fault_ms <= from_ms || fault_ms >= to_ms || share(from_ms, fault_ms) > limit) {
        return std::nullopt;
    }
    auto last_exceeded_ms = fault_ms;
    for (auto begin = fault_ms; begin < to_ms; begin += recovery_step_ms) {
        if (share(begin, begin + recovery_step_ms) > limit) {
            last_exceeded_ms = begin + recovery_step_ms;
        }
    }
    return static_cast<double>(last_exceeded_ms - fault_ms) / 1000;
}

}  // namespace agatepost::rig
