// Placement plug-ins: how a forward packet finds its target.
#pragma once

#include <string_view>

#include "config/snapshot_type.h"
#include "core/plugin_base.h"
#include "flow/flow_type.h"

namespace agatepost {

// A placement plug-in.
struct placement_plugin {
    std::string_view name;
    // Whether flows with TCP timestamps carry their target's index, so that only their first packet is
    // placed.
    bool carries_target;
    // Returns the target of a flow from the configuration alone, or nullptr if no target of `zone` is ready.
    auto(*pick)(const snapshot_pool& pool, std::string_view zone, const flow_id& id) -> const target*;
};

// Weighted rendezvous hashing over the ready targets of a zone, with slots as weights. Returns nullptr if the
// zone has no ready target.
auto pure_pick(const snapshot_pool& pool, std::string_view zone, const flow_id& id) -> const target*;

}  // namespace agatepost
