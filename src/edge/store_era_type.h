// Plain types of the order of the store's changes.
#pragma once

#include <cstdint>
#include <tuple>

namespace agatepost::edge {

// A place in the order of the store's changes. After the store came back from an older copy it gives out
// revisions again, in a higher era.
struct store_position {
    std::uint64_t era = 0;       // 0: the store does not tell its era
    std::uint64_t revision = 0;  // 0: nothing is known

    friend auto operator==(const store_position& a, const store_position& b) -> bool {
        return a.era == b.era && a.revision == b.revision;
    }
    friend auto operator!=(const store_position& a, const store_position& b) -> bool { return !(a == b); }
    friend auto operator<(const store_position& a, const store_position& b) -> bool {
        return std::tie(a.era, a.revision) < std::tie(b.era, b.revision);
    }
};

// What the change to a new era did to the items of one kind.
struct era_counts {
    std::uint32_t kept = 0;      // what was known stays in use
    std::uint32_t replaced = 0;  // the copy is in use, or was the same
    std::uint32_t dropped = 0;   // missing in the copy, and in use for the grace period at most

    friend auto operator==(const era_counts& a, const era_counts& b) -> bool {
        return a.kept == b.kept && a.replaced == b.replaced && a.dropped == b.dropped;
    }
};

// The change to a new era, for the log.
struct era_change {
    store_position from;
    store_position to;
    era_counts targets;
    era_counts configurations;
    era_counts evacuations;

    friend auto operator==(const era_change& a, const era_change& b) -> bool {
        return a.from == b.from && a.to == b.to && a.targets == b.targets &&
               a.configurations == b.configurations && a.evacuations == b.evacuations;
    }
};

}  // namespace agatepost::edge
