#include <algorithm>
#include <limits>

#include "edge/store_watch_func.h"

namespace agatepost::edge {

namespace {

constexpr auto unknown_age_ms = static_cast<std::int64_t>(std::numeric_limits<std::int32_t>::max());

auto age_of(const std::optional<time_ms>& confirmed, time_ms at) -> std::int64_t {
    return confirmed ? at - *confirmed : unknown_age_ms;
}

auto is_lower_in_zone(const peer_group& group, std::uint32_t address, const peer_record& peer) -> bool {
    return address < group.own_address && peer.last.zone == group.zone;
}

}  // namespace

auto make_watch_timing(std::int64_t change_bound_ms) -> watch_timing {
    auto timing = watch_timing{};
    const auto spare_ms = change_bound_ms - report_delay_ms - takeover_reserve_ms;
    timing.wait_ms = std::clamp(spare_ms / 2, min_watch_wait_ms, max_watch_wait_ms);
    timing.takeover_ms = timing.wait_ms + report_delay_ms;
    timing.latest_takeover_ms = std::max(timing.takeover_ms, change_bound_ms - takeover_reserve_ms);
    timing.current_ms = std::min(change_bound_ms, max_current_view_ms);
    return timing;
}

auto record_confirmations(peer_group& group, store_position own, time_ms at) -> void {
    auto& confirmed = group.confirmed;
    for (const auto& [address, peer] : group.peers) {
        const auto is_heard = is_alive(peer, at) && !peer.is_report_delayed;
        const auto confirms =
            peer.last.era == own.era && peer.last.revision != 0 && peer.last.revision <= own.revision;
        if (!is_heard || !confirms) {
            continue;
        }
        const auto since = peer.heard + -peer.last.store_age_ms;
        confirmed.by_fleet = std::max(confirmed.by_fleet, std::optional<time_ms>(since));
        if (is_lower_in_zone(group, address, peer) && !peer.last.is_leaving) {
            confirmed.by_zone = std::max(confirmed.by_zone, std::optional<time_ms>(since));
        }
    }
}

auto zone_view_age_ms(const peer_group& group, std::int64_t own_age_ms, time_ms at) -> std::int64_t {
    return std::min(own_age_ms, age_of(group.confirmed.by_zone, at));
}

auto view_age_ms(const peer_group& group, std::int64_t own_age_ms, time_ms at) -> std::int64_t {
    return std::min(own_age_ms, age_of(group.confirmed.by_fleet, at));
}

auto should_watch(const peer_group& group, const watch_timing& timing, bool is_watching,
                  std::int64_t own_age_ms, time_ms at) -> bool {
    auto lower_members = std::size_t{0};
    auto hears_lower = false;  // a live host that others may rely on
    for (const auto& [address, peer] : group.peers) {
        if (is_lower_in_zone(group, address, peer)) {
            lower_members += is_member(group, peer, at) ? 1 : 0;
            hears_lower =
                hears_lower || (is_alive(peer, at) && !peer.last.is_leaving && peer.last.revision != 0);
        }
    }
    // In a large fleet, only the next hosts hear a host regularly. Others go by the age of their view.
    if (!hears_lower && (!is_large_fleet(group) || lower_members <= next_receivers)) {
        return true;
    }
    const auto zone_age_ms = age_of(group.confirmed.by_zone, at);
    if (is_watching) {
        return zone_age_ms >= timing.takeover_ms;
    }
    const auto earlier_hosts = lower_members == 0 ? std::size_t{0} : lower_members - 1;
    const auto turn_ms = timing.takeover_ms + static_cast<std::int64_t>(earlier_hosts) * takeover_step_ms;
    return std::min(own_age_ms, zone_age_ms) >= std::min(turn_ms, timing.latest_takeover_ms);
}

}  // namespace agatepost::edge
