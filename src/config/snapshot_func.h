// Compiles a configuration for the data path.
#pragma once

#include "config/snapshot_type.h"

namespace agatepost {

// Builds the snapshot of a configuration. Services whose profile is missing are left out, so that a
// configuration in which a reference was removed still serves the rest.
auto build_snapshot(const configuration& config) -> snapshot_ptr;

}  // namespace agatepost
