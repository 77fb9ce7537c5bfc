#include <absl/algorithm/container.h>

#include <algorithm>
#include <utility>

#include "edge/carrier_func.h"
#include "edge/directory_base.h"
#include "edge/evacuation_func.h"

namespace agatepost::edge {

namespace {

// Removals kept for other hosts. A host that is further behind gets all items again.
constexpr std::size_t max_removals_kept = 4096;

auto allocate_record(directory& known) -> target_index {
    if (!known.unused.empty()) {
        const auto index = known.unused.back();
        known.unused.pop_back();
        return index;
    }
    known.targets.emplace_back();
    return static_cast<target_index>(known.targets.size() - 1);
}

auto remove_from_service(directory& known, const std::string& service, target_index index) -> void {
    const auto found = known.by_service.find(service);
    if (found == known.by_service.end()) {
        return;
    }
    auto& members = found->second;
    members.erase(std::remove(members.begin(), members.end(), index), members.end());
    if (members.empty()) {
        known.by_service.erase(found);
    }
}

auto set_gone(directory& known, target_index index, time_ms at) -> void {
    auto& record = known.targets[index];
    record.has_left = record.entry.state == target_state::draining;
    record.state = presence::gone;
    record.changed_at = at;
    remove_from_service(known, record.entry.service, index);
}

auto erase_target(directory& known, target_index index) -> void {
    auto& record = known.targets[index];
    release_carriers(known, index);
    known.by_name.erase(record.entry.name);
    record = target_record{};
    known.unused.push_back(index);
}

auto apply_target(directory& known, target_entry&& entry, std::uint64_t revision, time_ms at)
    -> directory_change {
    const auto found = known.by_name.find(entry.name);
    if (found == known.by_name.end()) {
        const auto index = allocate_record(known);
        auto& record = known.targets[index];
        record.entry = std::move(entry);
        record.revision = revision;
        record.changed_at = at;
        record.cold_until = at + record.entry.cold_ms;
        record.is_in_use = true;
        known.by_name.emplace(record.entry.name, index);
        known.by_service[record.entry.service].push_back(index);
        claim_carriers(known, index);
        return directory_change::target_added;
    }
    const auto index = found->second;
    auto& record = known.targets[index];
    const auto is_new_instance = record.entry.started_ms != entry.started_ms;
    if (!is_registered(record) || record.entry.service != entry.service) {
        remove_from_service(known, record.entry.service, index);
        known.by_service[entry.service].push_back(index);
    }
    if (record.state != presence::registered) {
        record.changed_at = at;
    }
    record.state = presence::registered;
    record.has_left = false;
    record.cold_until = at + entry.cold_ms;
    record.revision = revision;
    record.entry = std::move(entry);
    if (is_new_instance) {
        // A new instance holds no flow of the previous one.
        record.load.unanswered_syns = 0;
        record.load.stalled_flows = 0;
        record.load.suspect_until = {};
        record.load.syn_backoffs = 0;
        record.load.syn_backoff_until = {};
        record.load.presumed_dead_until = {};
        record.load.liveness_check_since = {};
        record.load.has_failed_check = false;
        record.load.waiting_since = at;
        record.load.answered_liveness_checks = 0;
        return directory_change::target_added;
    }
    return directory_change::target_changed;
}

auto apply_removal(directory& known, const std::string& name, time_ms at) -> directory_change {
    const auto found = known.by_name.find(name);
    if (found == known.by_name.end() || known.targets[found->second].state == presence::gone) {
        return directory_change::none;
    }
    auto& record = known.targets[found->second];
    if (record.state == presence::unreadable) {
        // The entry that was removed is of another writer, so a draining target may not have left.
        set_gone(known, found->second, at);
        record.has_left = false;
        return directory_change::target_gone;
    }
    const auto may_lapse = record.entry.state == target_state::ready || at < known.era_grace_until;
    if (at < known.lapse_grace_until && may_lapse) {
        record.state = presence::lapsed;
        record.changed_at = at;
        return directory_change::target_lapsed;
    }
    set_gone(known, found->second, at);
    return directory_change::target_gone;
}

}  // namespace

auto update_route_priorities(directory& known) -> void {
    auto busiest = absl::flat_hash_map<std::string, std::uint32_t>{};
    for (const auto& [key, route] : known.routes) {
        for (const auto& backend : route.entry.backends) {
            auto& requests = busiest[backend.service];
            requests = std::max(requests, route.requests);
        }
    }
    auto highest = absl::flat_hash_map<std::string, std::uint32_t>{};
    auto lowest = absl::flat_hash_map<std::string, std::uint32_t>{};
    for (const auto& [key, route] : known.routes) {
        if (route.requests < route_in_use_requests) {
            continue;
        }
        for (const auto& backend : route.entry.backends) {
            if (route.requests < busiest[backend.service] / route_in_use_share) {
                continue;
            }
            auto& priority = highest.try_emplace(backend.service, route.entry.priority).first->second;
            priority = std::min(priority, route.entry.priority);
            auto& last = lowest.try_emplace(backend.service, route.entry.priority).first->second;
            last = std::max(last, route.entry.priority);
        }
    }
    for (auto& entry : known.routes) {
        auto& route = entry.second;
        route.is_highest_priority = absl::c_all_of(route.entry.backends, [&](const route_backend& backend) {
            const auto found = highest.find(backend.service);
            return found == highest.end() || route.entry.priority <= found->second;
        });
        route.has_lower_priority_route =
            absl::c_any_of(route.entry.backends, [&](const route_backend& backend) {
                const auto found = lowest.find(backend.service);
                return found != lowest.end() && route.entry.priority < found->second;
            });
    }
}

namespace {

auto apply_routes(directory& known, route_table&& table) -> directory_change {
    // Revisions order the writes, so a lower version can only come from a faulty writer.
    if (table.version < known.configuration_version) {
        return directory_change::none;
    }
    known.configuration_version = table.version;
    known.idle_timeout_ms = table.idle_timeout_ms;
    known.cold_per_s.clear();
    for (const auto& service : table.services) {
        known.cold_per_s[service.name] = service.cold_per_s;
    }
    auto previous_routes = std::move(known.routes);
    known.routes.clear();
    for (auto& entry : table.routes) {
        const auto key = route_key(entry.address, entry.port);
        auto record = route_record{};
        const auto found = previous_routes.find(key);
        if (found != previous_routes.end()) {
            record = std::move(found->second);
        }
        for (const auto& backend : entry.backends) {
            if (!absl::c_linear_search(record.services, backend.service)) {
                record.services.push_back(backend.service);
            }
        }
        record.entry = std::move(entry);
        known.routes[key] = std::move(record);
    }
    update_route_priorities(known);
    return directory_change::routes_changed;
}

// Handles an unreadable registration: its target gets no new flows, and its open flows go on, since the
// target may be alive and write again. A target that is not known yet gets a record without an address, so
// that packets with its carriers are neither reset nor sent to another target. Returns its name, if the key
// has one.
auto apply_unreadable(directory& known, const std::string& key, time_ms at) -> std::string {
    auto entry = known.platform->read_target_key(key);
    if (!entry) {
        return {};
    }
    auto name = entry->name;
    const auto found = known.by_name.find(name);
    if (found == known.by_name.end()) {
        const auto index = allocate_record(known);
        auto& record = known.targets[index];
        record.entry = std::move(*entry);
        record.state = presence::unreadable;
        record.changed_at = at;
        record.is_in_use = true;
        known.by_name.emplace(name, index);
        claim_carriers(known, index);
        return name;
    }
    auto& record = known.targets[found->second];
    if (is_registered(record)) {
        record.state = presence::unreadable;
        record.changed_at = at;
        remove_from_service(known, record.entry.service, found->second);
    }
    return name;
}

// Drops the older half of the removals if there are more than `max_removals_kept`.
auto limit_removals(directory& known) -> void {
    auto revisions = std::vector<std::uint64_t>{};
    for (const auto& [key, item] : known.items) {
        if (item.is_removed) {
            revisions.push_back(item.revision);
        }
    }
    if (revisions.size() <= max_removals_kept) {
        return;
    }
    const auto middle = revisions.begin() + static_cast<std::ptrdiff_t>(revisions.size() / 2);
    std::nth_element(revisions.begin(), middle, revisions.end());
    known.removals_dropped_up_to = std::max(known.removals_dropped_up_to, *middle);
    absl::erase_if(known.items, [limit = *middle](const auto& entry) {
        return entry.second.is_removed && entry.second.revision <= limit;
    });
}

}  // namespace

auto is_registered(const target_record& target) -> bool {
    return target.is_in_use && (target.state == presence::registered || target.state == presence::lapsed);
}

auto position_of(const directory& known) -> store_position {
    return {known.era, known.is_complete && !known.may_lack_changes ? known.revision : 0};
}

auto decode_item(const platform_plugin& platform, const store_item& item) -> decoded_item {
    auto decoded = decoded_item{{item.key, {}, item.revision, item.is_removed}, item_meaning()};
    if (!item.is_removed) {
        decoded.meaning = platform.read_item(item.key, item.value);
    }
    const auto& meaning = decoded.meaning;
    if (meaning &&
        (std::holds_alternative<target_entry>(*meaning) || std::holds_alternative<route_table>(*meaning))) {
        decoded.item.value = item.value;
    }
    return decoded;
}

auto replace_item(directory& known, decoded_item&& decoded, time_ms at) -> item_outcome {
    auto& [item, meaning] = decoded;
    known.unsettled_evacuations.erase(item.key);
    auto& stored = known.items[item.key];
    const auto previous =
        std::exchange(stored, {std::move(item.value), item.revision, item.is_removed, {}, false, {}});
    if (item.is_removed) {
        auto change = end_evacuation(known, item.key, previous);
        if (change == directory_change::none) {
            change = apply_removal(known, previous.target, at);
        }
        limit_removals(known);
        return {change, std::nullopt};
    }
    if (!meaning) {
        stored.is_unreadable = true;
        stored.target = apply_unreadable(known, item.key, at);
        return {directory_change::unreadable,
                previous.is_unreadable ? std::nullopt : std::optional<error>(meaning.error())};
    }
    if (auto* entry = std::get_if<target_entry>(&*meaning)) {
        stored.target = entry->name;
        return {apply_target(known, std::move(*entry), item.revision, at), std::nullopt};
    }
    if (auto* table = std::get_if<route_table>(&*meaning)) {
        return {apply_routes(known, std::move(*table)), std::nullopt};
    }
    if (const auto* evacuation = std::get_if<zone_evacuation>(&*meaning)) {
        return {start_evacuation(known, stored, *evacuation), std::nullopt};
    }
    return {};
}

auto apply_item(directory& known, const store_item& item, time_ms at) -> item_outcome {
    if (known.items[item.key].revision >= item.revision) {
        return {};
    }
    return replace_item(known, decode_item(*known.platform, item), at);
}

auto remove_unlisted(directory& known, const absl::flat_hash_map<std::string, bool>& listed,
                     std::uint64_t first_revision, time_ms at) -> std::vector<std::string> {
    auto missing = std::vector<std::string>{};
    for (const auto& [key, item] : known.items) {
        if (!item.is_removed && item.revision <= first_revision && listed.count(key) == 0) {
            missing.push_back(key);
        }
    }
    for (const auto& key : missing) {
        const auto previous = std::exchange(known.items[key], {"", first_revision, true, {}, false, {}});
        end_evacuation(known, key, previous);
        apply_removal(known, previous.target, at);
    }
    return missing;
}

auto finish_listing(directory& known, const absl::flat_hash_map<std::string, bool>& listed,
                    std::uint64_t first_revision, time_ms at) -> std::vector<std::string> {
    auto missing = remove_unlisted(known, listed, first_revision, at);
    known.removals_dropped_up_to = std::max(known.removals_dropped_up_to, first_revision);
    known.revision = std::max(known.revision, first_revision);
    known.is_complete = true;
    known.may_lack_changes = false;
    return missing;
}

auto discard_invalid_revisions(directory& known, std::uint64_t store_revision) -> void {
    known.may_lack_changes = true;
    known.revision = std::min(known.revision, store_revision);
    known.removals_dropped_up_to = std::min(known.removals_dropped_up_to, store_revision);
    for (auto& [key, item] : known.items) {
        if (item.revision > store_revision) {
            item.revision = 0;
        }
    }
}

auto expire_targets(directory& known, std::int64_t keep_ms, time_ms at) -> std::vector<std::string> {
    auto gone = std::vector<std::string>{};
    for (auto index = target_index{0}; index < known.targets.size(); ++index) {
        auto& record = known.targets[index];
        if (!record.is_in_use) {
            continue;
        }
        if (record.state == presence::lapsed && at >= known.lapse_grace_until) {
            gone.push_back(record.entry.name);
            set_gone(known, index, at);
        } else if (record.state == presence::gone && at - record.changed_at > keep_ms &&
                   record.load.open_flows == 0 && record.load.pending_syns == 0) {
            erase_target(known, index);
        }
    }
    return gone;
}

auto find_route(directory& known, const flow_key& flow) -> route_record* {
    const auto found = known.routes.find(route_key(flow.service_address, flow.service_port));
    return found == known.routes.end() ? nullptr : &found->second;
}

auto can_place(const directory& known) -> bool {
    return known.is_complete && known.configuration_version >= 0;
}

}  // namespace agatepost::edge
