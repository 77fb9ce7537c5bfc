#include "edge/peer_changes_func.h"

#include <algorithm>

#include "edge/store_era_func.h"

namespace agatepost::edge {

namespace {

auto adopt_other_era(directory& known, const peer_changes& changes, time_ms at) -> applied_changes {
    auto result = applied_changes{};
    if (changes.revision == 0 || changes.era <= known.era || !changes.is_whole) {
        return result;
    }
    auto copy = std::vector<decoded_item>{};
    for (const auto& item : changes.items) {
        copy.push_back(decode_item(*known.platform, item));
    }
    result.era = adopt_era(known, position_of(changes), std::move(copy), at);
    result.outcome = changes_outcome::adopted_era;
    result.is_restarted = true;
    return result;
}

// Returns whether the changes lead from what this host knows to their position. Both increments and whole
// copies leave out what a host at the position `asked` has.
auto is_usable(const directory& known, const peer_changes& changes, store_position asked) -> bool {
    const auto own = position_of(known);
    const auto has_position = changes.revision != 0 && !(position_of(changes) < own);
    const auto covers_asked = asked.revision == 0 || (asked.era == own.era && asked.revision <= own.revision);
    return has_position && covers_asked && (changes.is_whole || own.revision != 0);
}

}  // namespace

auto apply_changes(directory& known, const peer_changes& changes, store_position asked, time_ms at)
    -> applied_changes {
    if (known.is_complete && changes.era != known.era) {
        return adopt_other_era(known, changes, at);
    }
    auto result = applied_changes{};
    if (!is_usable(known, changes, asked)) {
        return result;
    }
    if (changes.era != known.era) {
        discard_invalid_revisions(known, 0);  // items of a listing of another era in progress
        known.era = changes.era;
        result.is_restarted = true;
    }
    auto listed = absl::flat_hash_map<std::string, bool>{};
    for (const auto& item : changes.items) {
        listed[item.key] = true;
        auto outcome = apply_item(known, item, at);
        if (outcome.change != directory_change::none) {
            result.items.emplace_back(item, std::move(outcome));
        }
    }
    if (changes.is_whole) {
        result.unlisted = finish_listing(known, listed, changes.revision, at);
    }
    known.revision = std::max(known.revision, changes.revision);
    result.outcome = changes_outcome::applied;
    return result;
}

}  // namespace agatepost::edge
