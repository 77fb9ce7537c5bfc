#include "flow/flow_table_base.h"

#include <algorithm>

#include "flow/hash_func.h"

namespace agatepost {

namespace {

// Spreads the flows evenly to within some tens of percent even over a thousand hosts.
constexpr std::size_t bucket_total = 8192;
// Longer than the hosts of a zone take to agree on a view.
constexpr std::int64_t previous_owner_grace_ms = 3000;
constexpr std::size_t exceptions_per_shard_max = 4096;
constexpr std::uint32_t exception_lifetime_ms = 86400000;
constexpr std::uint32_t half_closed_limit_ms = 120000;
constexpr std::uint8_t has_client_fin = 1;
constexpr std::uint8_t has_target_fin = 2;
constexpr std::uint8_t both_fins = has_client_fin | has_target_fin;
constexpr std::uint8_t is_connection = 4;
constexpr std::uint8_t is_released = 8;  // no longer counted
// The last acknowledgments follow both FINs, so the entry stays for a few seconds.
constexpr std::uint32_t closed_retention_ms = 8000;

auto low_bits(time_ms at) -> std::uint32_t {
    return static_cast<std::uint32_t>(at.value);
}

// UDP has no close, so a UDP flow would occupy a slot until the idle time-out.
auto counts_as_connection(const profile& rules, ip_protocol protocol) -> bool {
    return rules.kind == flow_kind::feed || protocol == ip_protocol::udp;
}

auto pool_hash_of(std::string_view pool) -> std::uint32_t {
    return static_cast<std::uint32_t>(stable_hash(pool));
}

}  // namespace

auto bucket_table::owner(const flow_id& id) const -> const host_record* {
    return first.empty() ? nullptr : &hosts[first[id.high % bucket_total]];
}

auto bucket_table::second_ranked(const flow_id& id) const -> const host_record* {
    return hosts.size() < 2 ? nullptr : &hosts[second[id.high % bucket_total]];
}

auto build_buckets(const host_view& view) -> std::shared_ptr<const bucket_table> {
    auto table = std::make_shared<bucket_table>();
    table->version = view.version;
    table->hosts = view.hosts;
    if (view.hosts.empty()) {
        return table;
    }
    table->first.resize(bucket_total);
    table->second.resize(bucket_total);
    for (auto bucket = std::size_t{0}; bucket < bucket_total; ++bucket) {
        const auto key = mix(stable_hash("bucket"), bucket);
        auto best = std::pair<std::uint64_t, std::uint16_t>{0, 0};
        auto next = best;
        for (auto i = std::size_t{0}; i < view.hosts.size(); ++i) {
            const auto scored = std::pair{mix(key, view.hosts[i].name_hash), static_cast<std::uint16_t>(i)};
            if (scored.first >= best.first) {
                next = best;
                best = scored;
            } else if (scored.first > next.first) {
                next = scored;
            }
        }
        table->first[bucket] = best.second;
        table->second[bucket] = next.second;
    }
    return table;
}

auto owner_buckets::of_view(const host_view& view, time_ms at) -> std::shared_ptr<const bucket_table> {
    // The first view may have version 0, like the empty table.
    const auto is_newer = [&](const bucket_table& table) {
        return view.version > table.version ||
               (view.version == table.version && table.hosts.empty() && !view.hosts.empty());
    };
    auto current = std::atomic_load(&current_);
    if (!is_newer(*current)) {
        return current;
    }
    const auto lock = std::lock_guard(rebuild_);
    current = std::atomic_load(&current_);
    if (!is_newer(*current)) {
        return current;
    }
    auto next = build_buckets(view);
    std::atomic_store(&previous_, current);
    grace_until_ms_ = (at + previous_owner_grace_ms).value;
    std::atomic_store(&current_, next);
    return next;
}

auto owner_buckets::previous(time_ms at) const -> std::shared_ptr<const bucket_table> {
    return at.value < grace_until_ms_ ? std::atomic_load(&previous_) : nullptr;
}

auto flow_table::counts_of(std::uint32_t pool_hash) -> atomic_counts& {
    {
        const auto lock = std::shared_lock(counts_mutex_);
        const auto found = counts_.find(pool_hash);
        if (found != counts_.end()) {
            return *found->second;
        }
    }
    const auto lock = std::lock_guard(counts_mutex_);
    auto& created = counts_[pool_hash];
    if (created == nullptr) {
        created = std::make_unique<atomic_counts>();
    }
    return *created;
}

auto flow_table::add(const entry& e) -> void {
    ++counts_of(e.pool_hash)[e.target][(e.flags & is_connection) != 0 ? 1 : 0];
}

auto flow_table::release(entry& e) -> void {
    if ((e.flags & is_released) == 0) {
        e.flags |= is_released;
        --counts_of(e.pool_hash)[e.target][(e.flags & is_connection) != 0 ? 1 : 0];
    }
}

auto flow_table::erase_closed(const flow_id& id) -> void {
    auto& part = shard_of(id.high);
    const auto lock = std::lock_guard(part.mutex);
    const auto found = part.flows.find(id);
    if (found != part.flows.end() && (found->second.flags & both_fins) == both_fins) {
        part.flows.erase(found);
    }
}

auto flow_table::find(const flow_id& id, std::string_view pool, const profile& rules, ip_protocol protocol,
                      time_ms at) -> std::uint8_t {
    std::uint8_t target = 0;
    {
        auto& part = shard_of(id.high);
        const auto lock = std::lock_guard(part.mutex);
        const auto found = part.flows.find(id);
        if (found != part.flows.end()) {
            found->second.touched = low_bits(at);
            return found->second.target;
        }
        const auto learned = part.exceptions.find(id.high);
        if (learned == part.exceptions.end()) {
            return 0;
        }
        target = learned->second.target;
        part.exceptions.erase(learned);
    }
    insert(id, pool, rules, protocol, target, at);
    return target;
}

auto flow_table::insert(const flow_id& id, std::string_view pool, const profile& rules, ip_protocol protocol,
                        std::uint8_t target, time_ms at) -> void {
    const auto flags = counts_as_connection(rules, protocol) ? is_connection : std::uint8_t{0};
    const auto created = entry{low_bits(at), static_cast<std::uint32_t>(rules.idle_timeout_ms),
                               pool_hash_of(pool), target, flags};
    auto& part = shard_of(id.high);
    const auto lock = std::lock_guard(part.mutex);
    const auto [at_flow, is_new] = part.flows.emplace(id, created);
    if (!is_new) {
        release(at_flow->second);
        at_flow->second = created;
    }
    add(created);
}

auto flow_table::peek(const flow_id& id) const -> std::uint8_t {
    const auto& part = shard_of(id.high);
    const auto lock = std::lock_guard(part.mutex);
    const auto found = part.flows.find(id);
    if (found != part.flows.end()) {
        return found->second.target;
    }
    const auto learned = part.exceptions.find(id.high);
    return learned == part.exceptions.end() ? 0 : learned->second.target;
}

auto flow_table::close(const flow_id& id, flow_end sender, bool is_reset, time_ms at) -> void {
    auto& part = shard_of(id.high);
    const auto lock = std::lock_guard(part.mutex);
    const auto found = part.flows.find(id);
    if (found == part.flows.end()) {
        return;
    }
    auto& e = found->second;
    e.flags |= sender == flow_end::client ? has_client_fin : has_target_fin;
    e.touched = low_bits(at);
    if (is_reset || (e.flags & both_fins) == both_fins) {
        release(e);
    }
    if (is_reset) {
        part.flows.erase(found);
    }
}

auto flow_table::erase(const flow_id& id) -> void {
    auto& part = shard_of(id.high);
    const auto lock = std::lock_guard(part.mutex);
    const auto found = part.flows.find(id);
    if (found != part.flows.end()) {
        release(found->second);
        part.flows.erase(found);
    }
    part.exceptions.erase(id.high);
}

auto flow_table::learn(const flow_exception& exception, time_ms at) -> void {
    auto& part = shard_of(exception.id_high);
    const auto lock = std::lock_guard(part.mutex);
    if (part.exceptions.size() >= exceptions_per_shard_max &&
        part.exceptions.find(exception.id_high) == part.exceptions.end()) {
        count(counter::flow_exceptions_dropped);
        return;
    }
    part.exceptions[exception.id_high] = exception_entry{low_bits(at), exception.target};
}

auto flow_table::expire(time_ms at) -> void {
    auto& part = shards_[next_shard_];
    next_shard_ = (next_shard_ + 1) % shard_total;
    const auto lock = std::lock_guard(part.mutex);
    for (auto i = part.flows.begin(); i != part.flows.end();) {
        const auto current = i++;
        auto& e = current->second;
        const auto fins = e.flags & both_fins;
        const auto limit = fins == both_fins ? closed_retention_ms
                           : fins != 0       ? std::min(e.idle_ms, half_closed_limit_ms)
                                             : e.idle_ms;
        if (low_bits(at) - e.touched >= limit) {
            if (fins != both_fins) {
                count(fins != 0 ? counter::expire_half_closed : counter::expire_idle);
            }
            release(e);
            part.flows.erase(current);
        }
    }
    for (auto i = part.exceptions.begin(); i != part.exceptions.end();) {
        const auto current = i++;
        if (low_bits(at) - current->second.touched >= exception_lifetime_ms) {
            part.exceptions.erase(current);
        }
    }
}

auto flow_table::flows_of_shard(std::size_t shard) const -> std::vector<owned_flow> {
    const auto& part = shards_[shard];
    const auto lock = std::lock_guard(part.mutex);
    auto flows = std::vector<owned_flow>{};
    flows.reserve(part.flows.size());
    for (const auto& [id, e] : part.flows) {
        if ((e.flags & both_fins) != both_fins) {
            flows.push_back({id, e.pool_hash, e.target});
        }
    }
    return flows;
}

auto flow_table::exceptions_of_shard(std::size_t shard) const -> std::vector<flow_exception> {
    const auto& part = shards_[shard];
    const auto lock = std::lock_guard(part.mutex);
    auto all = std::vector<flow_exception>{};
    all.reserve(part.exceptions.size());
    for (const auto& [id_high, kept] : part.exceptions) {
        all.push_back({id_high, kept.target});
    }
    return all;
}

auto flow_table::counts(std::string_view pool) const -> indexed_counts {
    const auto lock = std::shared_lock(counts_mutex_);
    const auto found = counts_.find(pool_hash_of(pool));
    auto all = indexed_counts{};
    if (found == counts_.end()) {
        return all;
    }
    for (auto i = std::size_t{1}; i < found->second->size(); ++i) {
        const auto& by_kind = (*found->second)[i];
        const auto held = target_counts{by_kind[0], by_kind[1]};
        if (held.slots_busy != 0 || held.connections != 0) {
            all.emplace_back(static_cast<std::uint8_t>(i), held);
        }
    }
    return all;
}

auto flow_table::size() const -> std::size_t {
    auto total = std::size_t{0};
    for (const auto& part : shards_) {
        const auto lock = std::lock_guard(part.mutex);
        total += part.flows.size();
    }
    return total;
}

auto flow_table::table_bytes() const -> std::size_t {
    auto bytes = std::size_t{0};
    for (const auto& part : shards_) {
        const auto lock = std::lock_guard(part.mutex);
        bytes += part.flows.capacity() * (sizeof(std::pair<flow_id, entry>) + 1);
        bytes += part.exceptions.capacity() * (sizeof(std::pair<std::uint64_t, exception_entry>) + 1);
    }
    return bytes;
}

}  // namespace agatepost
