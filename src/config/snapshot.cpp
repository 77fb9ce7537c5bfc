#include <algorithm>

#include "config/snapshot_base.h"
#include "config/snapshot_func.h"

namespace agatepost {

namespace {

// Returns the object of an entry if it is of this kind, or nullptr.
template <typename Object>
auto object_in(const shared_entry& entry) -> const Object* {
    return entry == nullptr ? nullptr : std::get_if<Object>(&entry->object);
}

// Returns the target that serves traffic, or nullptr. Shares ownership of the entry.
auto serving_target(const shared_entry& entry) -> shared_target {
    const auto* found = object_in<target>(entry);
    return found != nullptr && found->state != target_state::gone ? shared_target(entry, found) : nullptr;
}

// Returns the position of the target with this name, or its insertion point.
auto target_position(std::vector<shared_target>& targets, const target& t) {
    return std::lower_bound(targets.begin(), targets.end(), t.name,
                            [](const shared_target& a, const std::string& name) { return a->name < name; });
}

auto rebuild_index(snapshot_pool& pool) -> void {
    pool.by_index.clear();
    for (auto i = std::size_t{0}; i < pool.targets.size(); ++i) {
        const auto index = pool.targets[i].index;
        if (index >= pool.by_index.size()) {
            pool.by_index.resize(index + 1U);
        }
        pool.by_index[index] = static_cast<std::uint16_t>(i + 1);
    }
    pool.by_index.shrink_to_fit();
}

auto key_of(const service& s) -> transport_key {
    return {s.address, s.protocol};
}

auto key_of(const target& t, const service& s) -> transport_key {
    return {endpoint{t.address, s.target_port}, s.protocol};
}

}  // namespace

auto snapshot_builder::position_of_pool(const std::string& name) -> std::uint32_t {
    const auto [at, is_new] = pool_positions_.emplace(name, static_cast<std::uint32_t>(draft_.pools.size()));
    if (is_new) {
        draft_.pools.push_back(snapshot_pool{name, {}, {}});
        pool_services_.emplace_back();
    }
    return at->second;
}

auto snapshot_builder::remove_pool_if_unused(std::uint32_t position) -> void {
    if (!draft_.pools[position].targets.empty() || !pool_services_[position].empty()) {
        return;
    }
    const auto last = static_cast<std::uint32_t>(draft_.pools.size() - 1);
    pool_positions_.erase(draft_.pools[position].name);
    if (position != last) {
        draft_.pools.edit(position) = draft_.pools.back();
        pool_services_[position] = std::move(pool_services_.back());
        pool_positions_[draft_.pools[position].name] = position;
        for (const auto moved : pool_services_[position]) {
            draft_.services.edit(moved).pool = position;
        }
    }
    draft_.pools.pop_back();
    pool_services_.pop_back();
}

auto snapshot_builder::add_reverse_entries(std::uint32_t pool) -> void {
    const auto& targets = draft_.pools[pool].targets;
    for (const auto position : pool_services_[pool]) {
        const auto& object = draft_.services[position].object;
        for (auto i = std::size_t{0}; i < targets.size(); ++i) {
            const auto entry = reverse_entry{position, static_cast<std::uint16_t>(i)};
            has_conflict_ =
                !draft_.service_by_target.emplace(key_of(targets[i], object), entry) || has_conflict_;
        }
    }
}

auto snapshot_builder::erase_reverse_entries(std::uint32_t pool) -> void {
    for (const auto position : pool_services_[pool]) {
        for (const auto& t : draft_.pools[pool].targets) {
            draft_.service_by_target.erase(key_of(t, draft_.services[position].object));
        }
    }
}

auto snapshot_builder::add_service(const service& object) -> void {
    const auto rules = profiles_.find(object.profile_name);
    if (rules == profiles_.end()) {
        pending_services_[object.name] = object;
        return;
    }
    const auto pool = position_of_pool(object.pool);
    const auto position = static_cast<std::uint32_t>(draft_.services.size());
    erase_reverse_entries(pool);
    draft_.services.push_back(snapshot_service{object, rules->second, pool});
    service_positions_[object.name] = position;
    pool_services_[pool].push_back(position);
    has_conflict_ = !draft_.service_by_address.emplace(key_of(object), position) || has_conflict_;
    add_reverse_entries(pool);
}

auto snapshot_builder::remove_service(const std::string& name) -> void {
    pending_services_.erase(name);
    const auto found = service_positions_.find(name);
    if (found == service_positions_.end()) {
        return;
    }
    const auto position = found->second;
    const auto last = static_cast<std::uint32_t>(draft_.services.size() - 1);
    const auto pool = draft_.services[position].pool;
    const auto last_pool = draft_.services[last].pool;
    erase_reverse_entries(pool);
    erase_reverse_entries(last_pool);
    service_positions_.erase(found);
    draft_.service_by_address.erase(key_of(draft_.services[position].object));
    auto& positions = pool_services_[pool];
    positions.erase(std::find(positions.begin(), positions.end(), position));
    if (position != last) {
        // The last service moves to the free position.
        auto& last_positions = pool_services_[last_pool];
        std::replace(last_positions.begin(), last_positions.end(), last, position);
        draft_.services.edit(position) = draft_.services.back();
        const auto& moved = draft_.services[position].object;
        service_positions_[moved.name] = position;
        draft_.service_by_address.erase(key_of(moved));
        draft_.service_by_address.emplace(key_of(moved), position);
    }
    draft_.services.pop_back();
    add_reverse_entries(last_pool);
    if (pool != last_pool) {
        add_reverse_entries(pool);
    }
    remove_pool_if_unused(pool);
}

auto snapshot_builder::change_target(const shared_target& before, const shared_target& after) -> void {
    if (before != nullptr && after != nullptr && before->pool == after->pool &&
        before->address == after->address && before->index == after->index) {
        auto& targets = draft_.pools.edit(position_of_pool(after->pool)).targets.items();
        *target_position(targets, *after) = after;
        return;
    }
    if (before != nullptr) {
        const auto position = position_of_pool(before->pool);
        erase_reverse_entries(position);
        auto& pool = draft_.pools.edit(position);
        pool.targets.items().erase(target_position(pool.targets.items(), *before));
        rebuild_index(pool);
        add_reverse_entries(position);
        remove_pool_if_unused(position);
    }
    if (after != nullptr) {
        const auto position = position_of_pool(after->pool);
        erase_reverse_entries(position);
        auto& pool = draft_.pools.edit(position);
        has_conflict_ = has_conflict_ || pool.target_of_index(after->index) != nullptr;
        pool.targets.items().insert(target_position(pool.targets.items(), *after), after);
        rebuild_index(pool);
        add_reverse_entries(position);
    }
}

auto snapshot_builder::change_profile(const profile* before, const profile* after) -> void {
    const auto& name = after != nullptr ? after->name : before->name;
    if (after != nullptr) {
        profiles_[name] = *after;
    } else {
        profiles_.erase(name);
    }
    if (after == nullptr) {
        auto affected_services = std::vector<service>{};
        for (const auto& s : draft_.services) {
            if (s.object.profile_name == name) {
                affected_services.push_back(s.object);
            }
        }
        for (const auto& affected : affected_services) {
            remove_service(affected.name);
            add_service(affected);
        }
        return;
    }
    for (auto i = std::size_t{0}; i < draft_.services.size(); ++i) {
        if (draft_.services[i].object.profile_name == name) {
            draft_.services.edit(i).rules = *after;
        }
    }
    auto ready = std::vector<service>{};
    for (const auto& [key, s] : pending_services_) {
        if (s.profile_name == name) {
            ready.push_back(s);
        }
    }
    for (const auto& s : ready) {
        pending_services_.erase(s.name);
        add_service(s);
    }
}

auto snapshot_builder::change(const shared_entry& before, const shared_entry& after) -> void {
    const auto* old_profile = object_in<profile>(before);
    const auto* new_profile = object_in<profile>(after);
    if (old_profile != nullptr || new_profile != nullptr) {
        change_profile(old_profile, new_profile);
    }
    if (const auto* old_service = object_in<service>(before)) {
        remove_service(old_service->name);
    }
    if (const auto* new_service = object_in<service>(after)) {
        add_service(*new_service);
    }
    change_target(serving_target(before), serving_target(after));
}

auto snapshot_builder::publish(std::uint64_t revision) -> snapshot_ptr {
    auto built = std::make_shared<snapshot>();
    built->revision = revision;
    built->services = draft_.services.freeze();
    built->pools = draft_.pools.freeze();
    built->service_by_address = draft_.service_by_address.freeze();
    built->service_by_target = draft_.service_by_target.freeze();
    return built;
}

auto build_snapshot(const configuration& config) -> snapshot_ptr {
    auto builder = snapshot_builder{};
    // Keys are ordered by kind, so that profiles come before services and services before targets.
    for (const auto& [key, entry] : config.entries) {
        builder.change(nullptr, std::make_shared<const config_entry>(entry));
    }
    return builder.publish(config.revision);
}

}  // namespace agatepost
