// Takes over changes of the store from another host. Free functions; no I/O, no clock.
//
// A host passes on changes up to its position, so it takes over a position only together with all changes up
// to it. docs/design/change-propagation.md has each way in which a host gains a position; the tests are
// edge_peer_changes_test.
#pragma once

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "edge/directory_base.h"
#include "edge/peer_group_base.h"

namespace agatepost::edge {

// What became of the changes.
enum class changes_outcome {
    applied,      // of the own era
    adopted_era,  // all items of a higher era, in place of the own ones
    unusable,     // the directory stays as it was
};

// The effect of changes, for the log.
struct applied_changes {
    changes_outcome outcome = changes_outcome::unusable;
    std::vector<std::pair<store_item, item_outcome>> items;  // those that changed something
    std::vector<std::string> unlisted;                       // keys that a whole copy lacks
    std::optional<era_change> era;
    bool is_restarted = false;  // the directory has another era: listings and watches begin anew
};

// Applies the changes that another host sent after the position `asked`. They are usable only while this host
// still has all changes up to that position, and if they are not older than the directory.
auto apply_changes(directory& known, const peer_changes& changes, store_position asked, time_ms at)
    -> applied_changes;

}  // namespace agatepost::edge
