// Compiles a configuration for the data path.
#pragma once

#include "config/snapshot_type.h"

namespace agatepost {

// Builds the snapshot of a configuration. Services whose profile is missing are omitted, so that
// the other services still work when a referenced profile was removed.
auto build_snapshot(const configuration& config) -> snapshot_ptr;

}  // namespace agatepost
