#include "config/snapshot_func.h"

namespace agatepost {

namespace {

auto add_targets(const configuration& config, snapshot& built,
                 absl::flat_hash_map<std::string, std::uint32_t>& pool_of_name) -> void {
    for (const auto& [key, entry] : config.entries) {
        const auto* t = std::get_if<target>(&entry.object);
        if (t == nullptr || t->state == target_state::gone) {
            continue;
        }
        const auto [at, is_new] =
            pool_of_name.emplace(t->pool, static_cast<std::uint32_t>(built.pools.size()));
        if (is_new) {
            built.pools.push_back(snapshot_pool{t->pool, {}, {}});
        }
        auto& pool = built.pools[at->second];
        pool.targets.push_back(*t);
        pool.by_index[t->index] = static_cast<std::uint16_t>(pool.targets.size());
    }
}

auto add_service(snapshot& built, const service& object, const profile& rules, std::uint32_t pool) -> void {
    const auto position = static_cast<std::uint32_t>(built.services.size());
    built.services.push_back(snapshot_service{object, rules, pool});
    built.service_by_address.emplace(transport_key{object.address, object.protocol}, position);
    const auto& targets = built.pools[pool].targets;
    for (auto i = std::size_t{0}; i < targets.size(); ++i) {
        const auto key = transport_key{endpoint{targets[i].address, object.target_port}, object.protocol};
        built.service_by_target.emplace(key, reverse_entry{position, static_cast<std::uint16_t>(i)});
    }
}

}  // namespace

auto build_snapshot(const configuration& config) -> snapshot_ptr {
    auto built = std::make_shared<snapshot>();
    built->revision = config.revision;
    auto pool_of_name = absl::flat_hash_map<std::string, std::uint32_t>{};
    add_targets(config, *built, pool_of_name);
    for (const auto& [key, entry] : config.entries) {
        const auto* s = std::get_if<service>(&entry.object);
        if (s == nullptr) {
            continue;
        }
        const auto rules = config.entries.find("profile/" + s->profile_name);
        if (rules == config.entries.end() || !std::holds_alternative<profile>(rules->second.object)) {
            continue;
        }
        const auto [at, is_new] =
            pool_of_name.emplace(s->pool, static_cast<std::uint32_t>(built->pools.size()));
        if (is_new) {
            built->pools.push_back(snapshot_pool{s->pool, {}, {}});
        }
        add_service(*built, *s, std::get<profile>(rules->second.object), at->second);
    }
    return built;
}

}  // namespace agatepost
