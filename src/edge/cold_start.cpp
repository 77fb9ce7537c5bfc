#include "edge/cold_start_func.h"

#include <absl/algorithm/container.h>

#include <algorithm>
#include <cmath>

#include "core/counter_func.h"
#include "edge/peer_group_base.h"
#include "edge/placement_func.h"
#include "edge/suspicion_func.h"

namespace agatepost::edge {

namespace {

auto is_in_window(time_ms sent, time_ms at) -> bool {
    return at - sent < cold_window_ms;
}

auto sent_in_window(const cold_openings& openings, time_ms at) -> std::size_t {
    return static_cast<std::size_t>(
        absl::c_count_if(openings.sent, [&](time_ms sent) { return is_in_window(sent, at); }));
}

// Returns the rank of this host for a target; see cold_openings.
auto rank_for(std::uint32_t carrier, std::uint32_t own_address, const std::vector<cold_zone_host>& others)
    -> std::optional<std::uint32_t> {
    const auto own = rendezvous_weight(own_address, carrier);
    auto rank = std::uint32_t{0};
    for (const auto& other : others) {
        if (rendezvous_weight(other.address, carrier) <= own) {
            continue;
        }
        if (other.takes_new_flows) {
            return std::nullopt;
        }
        ++rank;
    }
    return rank;
}

}  // namespace

auto cold_limit(const directory& known, const target_record& target, time_ms at) -> std::optional<double> {
    if (!known.cold || at >= target.cold_until) {
        return std::nullopt;
    }
    const auto per_s = known.cold_per_s.find(target.entry.service);
    if (per_s == known.cold_per_s.end()) {
        return std::nullopt;
    }
    return per_s->second * known.cold->overage + known.cold->slack;
}

auto cold_share(double limit, std::uint32_t rank) -> std::size_t {
    constexpr double largest_share = 1e6;  // keeps the conversion in range
    return static_cast<std::size_t>(
        std::min(largest_share, std::floor(std::ldexp(limit, -static_cast<int>(std::min(rank, 64U)) - 1))));
}

auto is_cold_limited(const directory& known, const target_record& target, time_ms at) -> bool {
    const auto limit = cold_limit(known, target, at);
    if (!limit) {
        return false;
    }
    return !target.cold.rank || sent_in_window(target.cold, at) >= cold_share(*limit, *target.cold.rank);
}

auto record_cold_syn(directory& known, target_index index, time_ms at) -> void {
    auto& target = known.targets[index];
    if (!known.cold || at >= target.cold_until) {
        return;
    }
    auto& sent = target.cold.sent;
    sent.erase(sent.begin(),
               absl::c_find_if(sent, [&](time_ms earlier) { return is_in_window(earlier, at); }));
    sent.push_back(at);
}

auto record_cold_skip(forwarding_state& state, flow_record& flow, const std::vector<target_index>& skipped)
    -> void {
    if (!skipped.empty() && !flow.skipped_cold) {
        flow.skipped_cold = true;
        count(counter::edge_cold_skipped);
    }
    for (const auto index : skipped) {
        auto& target = state.known.targets[index];
        // Hosts that the target is not assigned to never send to it, which is no event of the target.
        if (target.cold.rank && target.cold.logged_instance != target.entry.started_ms) {
            target.cold.logged_instance = target.entry.started_ms;
            state.cold_limited_targets.push_back(index);
        }
    }
}

auto send_cold_copy(forwarding_state& state, target_index target, time_ms at) -> bool {
    if (is_cold_limited(state.known, state.known.targets[target], at)) {
        return false;
    }
    record_cold_syn(state.known, target, at);
    return true;
}

auto find_cold_zone_hosts(const peer_group& group, bool has_seeds, std::int64_t uptime_ms, time_ms at)
    -> std::optional<std::vector<cold_zone_host>> {
    const auto members = zone_members(group, at);
    const auto grace_ms =
        std::max(startup_grace_ms, cold_grace_ms_per_host * static_cast<std::int64_t>(members.size()));
    if (uptime_ms < grace_ms || (has_seeds && group.peers.empty())) {
        return std::nullopt;
    }
    auto hosts = std::vector<cold_zone_host>{};
    for (const auto& [address, peer] : group.peers) {
        // In a large fleet most hosts of other zones are known by their address only at first.
        const auto may_be_in_zone =
            peer.last.zone == group.zone || (peer.last.zone.empty() && !is_large_fleet(group));
        const auto has_stopped = peer.last.is_leaving && at - peer.heard >= cold_window_ms;
        if (may_be_in_zone && !has_stopped) {
            hosts.push_back({address, absl::c_binary_search(members, address)});
        }
    }
    absl::c_sort(hosts, [](const auto& a, const auto& b) { return a.address < b.address; });
    return hosts;
}

auto assign_cold_targets(directory& known, const std::string& zone, std::uint32_t own_address,
                         const std::optional<std::vector<cold_zone_host>>& others) -> void {
    for (auto& target : known.targets) {
        target.cold.rank = others && target.entry.zone == zone
                               ? rank_for(target.entry.carrier, own_address, *others)
                               : std::nullopt;
    }
}

}  // namespace agatepost::edge
