// Builds snapshots incrementally: the cost of a change depends on the size of its pool, not of the fleet.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <map>
#include <string>
#include <vector>

#include "config/snapshot_type.h"

namespace agatepost {

using shared_target = std::shared_ptr<const target>;

// The newest snapshot in modifiable form. Not thread-safe.
class snapshot_builder {
public:
    // Replaces one object. Either side is null where the object does not exist.
    auto change(const shared_entry& before, const shared_entry& after) -> void;

    // Returns the snapshot of all changes so far.
    auto publish(std::uint64_t revision) -> snapshot_ptr;

    // Returns true after two objects had the same address. Which one is served then depends on the order of
    // the changes, so the snapshot must be rebuilt from the whole configuration to be equal on all hosts.
    auto has_conflict() const -> bool { return has_conflict_; }

private:
    auto position_of_pool(const std::string& name) -> std::uint32_t;
    auto remove_pool_if_unused(std::uint32_t position) -> void;
    auto add_reverse_entries(std::uint32_t pool) -> void;
    auto erase_reverse_entries(std::uint32_t pool) -> void;
    auto add_service(const service& object) -> void;
    auto remove_service(const std::string& name) -> void;
    auto change_target(const shared_target& before, const shared_target& after) -> void;
    auto change_profile(const profile* before, const profile* after) -> void;

    snapshot draft_;
    std::map<std::string, profile> profiles_;
    absl::flat_hash_map<std::string, std::uint32_t> pool_positions_;
    std::vector<std::vector<std::uint32_t>> pool_services_;  // positions of services, by position of the pool
    absl::flat_hash_map<std::string, std::uint32_t> service_positions_;
    std::map<std::string, service> pending_services_;  // services whose profile does not exist
    bool has_conflict_ = false;
};

}  // namespace agatepost
