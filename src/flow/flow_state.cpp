#include <algorithm>

#include "flow/flow_state_base.h"
#include "flow/hash_func.h"
#include "peer/host_view_func.h"

namespace agatepost {

namespace {

// Longer than hosts take to detect a dead chooser; older counts are outdated.
constexpr std::int64_t received_counts_lifetime_ms = 10000;

auto name_of(const target* t) -> std::string {
    return t == nullptr ? std::string() : t->name;
}

auto name_of(const host_record* host) -> std::string {
    return host == nullptr ? std::string() : host->name;
}

}  // namespace

auto chooser_of(flow_state& flows, const snapshot& config, std::uint32_t pool, time_ms at)
    -> std::shared_ptr<pool_chooser> {
    const auto& name = config.pools[pool].name;
    if (flows.choosers.find(name) != nullptr) {
        return flows.choosers.find_or_create(config, pool, nullptr, at);
    }
    auto inherited = received_counts{};
    auto has_inherited = false;
    {
        const auto lock = std::lock_guard(flows.received_mutex);
        const auto found = flows.received.find(name);
        if (found != flows.received.end()) {
            inherited = found->second;
            has_inherited = at - inherited.at < received_counts_lifetime_ms;
            flows.received.erase(found);
        }
    }
    inherited.counts = aged_counts(inherited.counts, at - inherited.at);
    return flows.choosers.find_or_create(config, pool, has_inherited ? &inherited.counts : nullptr, at);
}

auto pool_position(const snapshot& config, std::string_view pool) -> int {
    for (auto i = std::size_t{0}; i < config.pools.size(); ++i) {
        if (config.pools[i].name == pool) {
            return static_cast<int>(i);
        }
    }
    return -1;
}

auto apply_load_report(flow_state& flows, const snapshot& config, std::string_view pool,
                       std::string_view target_name, std::uint32_t slots_busy, std::uint32_t connections,
                       bool is_reachable, time_ms at) -> void {
    const auto position = pool_position(config, pool);
    const auto chooser = flows.choosers.find(pool);
    if (position < 0 || chooser == nullptr) {
        return;
    }
    for (const auto& t : config.pools[static_cast<std::size_t>(position)].targets) {
        if (t.name == target_name) {
            chooser->apply_report(t.index, slots_busy, connections, is_reachable, at);
        }
    }
}

auto flow_status(const flow_state& flows, time_ms at) -> std::vector<pool_status> {
    auto all = std::vector<pool_status>{};
    for (const auto& [pool, chooser] : flows.choosers.all()) {
        all.push_back(chooser->status(at));
    }
    std::sort(all.begin(), all.end(),
              [](const pool_status& a, const pool_status& b) { return a.pool < b.pool; });
    return all;
}

auto explain_flow(const flow_state& flows, const snapshot& config, const host_view& view, const flow_key& key,
                  time_ms at) -> flow_explanation {
    auto explained = flow_explanation{};
    const auto* found = config.find_service(key.service, key.protocol);
    if (found == nullptr) {
        return explained;
    }
    const auto& pool = config.pools[found->pool];
    const auto id = id_of(key);
    explained.service = found->object.name;
    explained.pool = pool.name;
    explained.profile_name = found->rules.name;
    explained.chooser = name_of(host_of_rank(view, stable_hash(pool.name), 0));
    explained.owner = name_of(build_buckets(view)->owner(id));
    explained.owner_target = name_of(pool.target_of_index(flows.owned.peek(id)));
    explained.pure_pick_target = name_of(pure_pick(pool, flows.zone, id));
    if (const auto chooser = flows.choosers.find(pool.name)) {
        explained.chooser_target = name_of(pool.target_of_index(chooser->target_of(id)));
        explained.candidates = chooser->explain(found->rules.name, at).targets;
    }
    return explained;
}

}  // namespace agatepost
