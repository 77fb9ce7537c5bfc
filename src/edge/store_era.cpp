#include "edge/store_era_func.h"

#include <absl/algorithm/container.h>

#include <algorithm>

#include "edge/evacuation_func.h"

namespace agatepost::edge {

namespace {

// What is used of an item that the copy has.
enum class era_choice {
    copy,          // the item of the copy
    known,         // the known item, which is newer
    known_absent,  // neither: its target has left, or another instance is expected to register again
};

// Returns what is used of a registration in the copy. An instance never returns from draining to ready, and
// an instance that has left or was replaced does not come back.
auto choose_target(const directory& known, const target_entry& in_copy) -> era_choice {
    const auto found = known.by_name.find(in_copy.name);
    if (found == known.by_name.end()) {
        return era_choice::copy;
    }
    const auto& record = known.targets[found->second];
    if (record.entry.started_ms > in_copy.started_ms) {
        return era_choice::known_absent;
    }
    if (record.entry.started_ms < in_copy.started_ms) {
        return era_choice::copy;
    }
    if (record.state == presence::gone) {
        return era_choice::known_absent;
    }
    const auto is_draining = record.entry.state == target_state::draining;
    return is_draining && in_copy.state == target_state::ready ? era_choice::known : era_choice::copy;
}

// Returns whether the evacuation of the zone was taken back before the store came back with it.
auto was_taken_back(const directory& known, const store_item& item, const zone_evacuation& in_copy) -> bool {
    const auto found = known.items.find(item.key);
    return found != known.items.end() && found->second.is_removed &&
           found->second.evacuated_zone == in_copy.zone;
}

auto choose(const directory& known, const store_item& item, const item_meaning& meaning) -> era_choice {
    if (const auto* entry = std::get_if<target_entry>(&meaning)) {
        return choose_target(known, *entry);
    }
    if (const auto* table = std::get_if<route_table>(&meaning)) {
        const auto is_known = known.items.count(item.key) != 0 && !known.items.at(item.key).is_removed;
        return is_known && table->version < known.configuration_version ? era_choice::known
                                                                        : era_choice::copy;
    }
    if (const auto* evacuation = std::get_if<zone_evacuation>(&meaning)) {
        return was_taken_back(known, item, *evacuation) ? era_choice::known_absent : era_choice::copy;
    }
    return era_choice::copy;
}

auto counts_of(era_change& change, const item_meaning& meaning) -> era_counts* {
    if (std::holds_alternative<target_entry>(meaning)) {
        return &change.targets;
    }
    if (std::holds_alternative<route_table>(meaning)) {
        return &change.configurations;
    }
    return std::holds_alternative<zone_evacuation>(meaning) ? &change.evacuations : nullptr;
}

// Uses an item of the copy. The cold start of an instance that is known already goes on.
auto use_copy(directory& known, decoded_item&& copied, time_ms at) -> void {
    const auto* entry = copied.meaning ? std::get_if<target_entry>(&*copied.meaning) : nullptr;
    const auto found = entry == nullptr ? known.by_name.end() : known.by_name.find(entry->name);
    if (found == known.by_name.end()) {
        replace_item(known, std::move(copied), at);
        return;
    }
    const auto index = found->second;
    const auto started_ms = known.targets[index].entry.started_ms;
    const auto cold_until = known.targets[index].cold_until;
    replace_item(known, std::move(copied), at);
    auto& record = known.targets[index];
    if (record.entry.started_ms == started_ms) {
        record.cold_until = cold_until;
    }
}

// Treats an item as removed at a revision of the new era.
auto use_removal(directory& known, const std::string& key, std::uint64_t revision, time_ms at) -> void {
    replace_item(known, decode_item(*known.platform, {key, "", revision, true}), at);
}

// Applies one item of the copy.
auto adopt_item(directory& known, decoded_item&& copied, era_change& change, time_ms at) -> void {
    const auto& item = copied.item;
    const auto choice = copied.meaning ? choose(known, item, *copied.meaning) : era_choice::copy;
    auto* counts = copied.meaning ? counts_of(change, *copied.meaning) : nullptr;
    if (counts != nullptr) {
        (choice == era_choice::copy ? counts->replaced : counts->kept) += 1;
    }
    if (choice == era_choice::copy) {
        use_copy(known, std::move(copied), at);
        return;
    }
    if (choice == era_choice::known) {
        known.items[item.key].revision = item.revision;
        return;
    }
    const auto kept_zone = known.items[item.key].evacuated_zone;
    use_removal(known, item.key, item.revision, at);
    if (const auto* evacuation = std::get_if<zone_evacuation>(&*copied.meaning)) {
        known.items[item.key].evacuated_zone = kept_zone;
        known.unsettled_evacuations[item.key] = {evacuation->zone, true};
    }
}

// Handles a known item that the copy lacks.
auto keep_unlisted(directory& known, const std::string& key, era_change& change, time_ms at) -> void {
    auto& stored = known.items.at(key);
    if (stored.is_removed) {
        stored.revision = change.to.revision;
        return;
    }
    if (!stored.target.empty()) {
        ++change.targets.dropped;
        use_removal(known, key, change.to.revision, at);
        return;
    }
    stored.revision = change.to.revision;
    if (!stored.evacuated_zone.empty()) {
        ++change.evacuations.dropped;
        known.unsettled_evacuations[key] = {stored.evacuated_zone, false};
    } else if (const auto meaning = known.platform->read_item(key, stored.value);
               meaning && std::holds_alternative<route_table>(*meaning)) {
        ++change.configurations.kept;
    } else {
        stored.is_removed = true;
    }
}

}  // namespace

auto adopt_era(directory& known, store_position to, std::vector<decoded_item>&& copy, time_ms at)
    -> era_change {
    auto change = era_change{};
    change.from = position_of(known);
    change.to = to;
    known.lapse_grace_until = std::max(known.lapse_grace_until, at + lapse_grace_ms);
    known.era_grace_until = at + lapse_grace_ms;
    known.unsettled_evacuations.clear();
    auto listed = absl::flat_hash_set<std::string>{};
    for (auto& copied : copy) {
        listed.insert(copied.item.key);
        adopt_item(known, std::move(copied), change, at);
    }
    auto unlisted = std::vector<std::string>{};
    for (const auto& [key, item] : known.items) {
        if (listed.count(key) == 0) {
            unlisted.push_back(key);
        }
    }
    for (const auto& key : unlisted) {
        keep_unlisted(known, key, change, at);
    }
    known.era = to.era;
    known.revision = to.revision;
    known.removals_dropped_up_to = to.revision;
    known.is_complete = true;
    known.may_lack_changes = false;
    return change;
}

auto settle_evacuations(directory& known, time_ms at) -> std::vector<std::string> {
    auto changed = std::vector<std::string>{};
    if (known.unsettled_evacuations.empty() || at < known.era_grace_until) {
        return changed;
    }
    for (const auto& [key, unsettled] : std::exchange(known.unsettled_evacuations, {})) {
        const auto item = store_item{key, "", known.items[key].revision, !unsettled.is_in_store};
        const auto outcome = replace_item(known, decode_item(*known.platform, item), at);
        if (outcome.change != directory_change::none) {
            changed.push_back(unsettled.zone);
        }
    }
    return changed;
}

}  // namespace agatepost::edge
