// Placement plug-ins: how the target of a forward packet is determined.
#pragma once

#include <string_view>

#include "config/snapshot_type.h"
#include "core/plugin_base.h"
#include "flow/flow_type.h"

namespace agatepost {

// A placement plug-in.
struct placement_plugin {
    std::string_view name;
    // Whether the TCP timestamps of a flow carry the index of its target, so that only its SYN is placed.
    bool carries_target;
    // Chooses the target of a flow from the configuration alone. Returns nullptr if `zone` has no ready
    // target.
    auto(*pick)(const snapshot_pool& pool, std::string_view zone, const flow_id& id) -> const target*;
};

// Weighted rendezvous hashing over the ready targets of a zone, with slots as weights. Returns nullptr if the
// zone has no ready target.
auto pure_pick(const snapshot_pool& pool, std::string_view zone, const flow_id& id) -> const target*;

}  // namespace agatepost
