// Decides what stays in use when the store comes back from a copy some seconds old. Between eras revisions
// say nothing, so the decisions go by the meaning of the items; docs/design/store-eras.md has them as a
// table. The tests are edge_store_era_test.
#pragma once

#include <vector>

#include "edge/directory_base.h"
#include "edge/store_era_type.h"

namespace agatepost::edge {

// Replaces what is known by a complete listing of another era, in one step. What the operators and the
// targets wrote after the copy was taken is written again, so it stays in use until then, for the grace
// period at most.
auto adopt_era(directory& known, store_position to, std::vector<decoded_item>&& copy, time_ms at)
    -> era_change;

// Follows the store in the evacuations that nobody has written again within the grace period. Returns the
// zones whose evacuation began or ended.
auto settle_evacuations(directory& known, time_ms at) -> std::vector<std::string>;

}  // namespace agatepost::edge
