#include <algorithm>
#include <cmath>

#include "core/histogram_func.h"
#include "core/history_func.h"
#include "flow/chooser_base.h"
#include "flow/hash_func.h"

namespace agatepost {

namespace {

constexpr std::uint8_t is_half_open = 1;
constexpr std::uint8_t has_client_fin = 2;
constexpr std::uint8_t has_target_fin = 4;
constexpr std::uint8_t is_counted = 8;
constexpr std::uint8_t is_closed = 16;
constexpr std::uint8_t has_sequence = 32;
constexpr std::uint8_t is_adopted = 64;  // the entry was created by another packet than its SYN
constexpr std::uint8_t both_fins = has_client_fin | has_target_fin;

// A closed flow's entry is kept this long, so that a retransmitted FIN is not counted as another close.
constexpr std::uint32_t closed_retention_ms = 8000;
// The open end of a half-closed flow may still send for long; after this the flow is presumed lost.
constexpr std::int64_t half_closed_limit_ms = 120000;
// The same for a flow that the previous chooser opened. The other FIN often went through that chooser, and an
// entry that waits for it would occupy a slot.
constexpr std::int64_t adopted_half_closed_limit_ms = 2000;
// A client retransmits its SYN several times with growing intervals; the entry outlives the first few.
constexpr std::int64_t half_open_limit_syn_timeouts = 8;
constexpr std::size_t tried_targets_max = 4;
// Limits the memory for stored SYNs under a SYN flood. SYNs above the limit are placed but not retried.
constexpr std::size_t half_open_max = 16384;
// Retry tokens that refill without new flows, so that a pool with few flows can retry.
constexpr double retry_floor_tokens = 3;
constexpr double retry_floor_per_second = 0.5;
constexpr double retry_tokens_max = 50;
// A target is ejected for ejection_ms after the first failure; each further failure doubles the time.
constexpr std::int64_t ejection_ms = 1000;
constexpr std::uint32_t ejection_doublings_max = 4;
// A report raises a load by at most this share of the capacity. This is below half a slot of the smallest
// targets (2 slots), so that a false report breaks ties but never outweighs a counted flow.
constexpr double report_influence_share = 0.2;
// The influence of a report falls linearly to zero over this time.
constexpr std::int64_t report_lifetime_ms = 2000;
// A report of unreachable lapses when no further one follows: the probing host may be gone.
constexpr std::int64_t unreachable_lifetime_ms = 10000;
// One lower report removes at most the inherited count divided by this, but at least one flow.
constexpr std::uint32_t inherited_step_divisor = 10;
// Half-life of inherited slots of request flows. Closes that reach the previous chooser during the handover
// never reach this one, and the slots of their flows would refuse new ones. Requests are short, so nearly all
// inherited flows end within two seconds.
constexpr std::int64_t inherited_half_life_ms = 250;
constexpr double slow_start_share_min = 0.1;
// One of the 16 shards is scanned per interval, so an entry expires at most 1.6 s late.
constexpr std::int64_t scan_interval_ms = 100;
// Counts of an owner host lapse when it has sent none for this long.
constexpr std::int64_t owner_counts_lifetime_ms = 3000;

// Counts an event, by service if it is known.
auto count_for(std::string_view service_name, counter which) -> void {
    if (service_name.empty()) {
        count(which);
    } else {
        count(which, service_name);
    }
}

auto low_bits(time_ms at) -> std::uint32_t {
    return static_cast<std::uint32_t>(at.value);
}

auto kind_position(const profile& rules) -> std::size_t {
    return rules.kind == flow_kind::request ? 0 : 1;
}

auto capacity_of(const target& t, flow_kind kind) -> std::uint32_t {
    return kind == flow_kind::request ? t.slots : t.connections;
}

auto share_rounded_up(std::uint32_t total, int percent) -> std::uint32_t {
    return static_cast<std::uint32_t>((static_cast<std::uint64_t>(total) * percent + 99) / 100);
}

}  // namespace

auto candidate_fault_text(candidate_fault fault) -> std::string_view {
    switch (fault) {
        case candidate_fault::none:
            return "usable";
        case candidate_fault::not_ready:
            return "draining";
        case candidate_fault::other_zone:
            return "in another zone";
        case candidate_fault::ejected:
            return "passed over after failed opens or as unreachable";
        case candidate_fault::slow_start:
            return "at the limit of its slow start";
        case candidate_fault::at_limit:
            return "at its limit for this profile";
    }
    return "unknown";
}

pool_chooser::pool_chooser(std::string pool, std::string zone, std::uint64_t seed)
    : pool_(std::move(pool)),
      zone_(std::move(zone)),
      targets_(256),
      retry_tokens_(retry_floor_tokens),
      random_(static_cast<std::minstd_rand::result_type>(seed)) {}

auto pool_chooser::configure(const snapshot& config, std::uint32_t pool, time_ms at) -> void {
    const auto lock = std::lock_guard(mutex_);
    if (is_configured_ && config.revision <= revision_) {
        return;
    }
    for (auto& s : targets_) {
        s.is_present = false;
    }
    for (const auto& t : config.pools[pool].targets) {
        auto& s = targets_[t.index];
        // A target that becomes ready starts slowly. Targets of the first snapshot do not.
        const auto was_ready = s.object.name == t.name && s.object.state == target_state::ready;
        if (is_configured_ && !was_ready && t.state == target_state::ready) {
            s.has_slow_start = true;
            s.slow_start_since = at;
        }
        if (s.object.name != t.name) {
            s.ejected_until = {};
            s.failures = 0;
            s.is_reported = false;
            s.is_unreachable = false;
        }
        s.object = t;
        s.is_present = true;
    }
    auto used_profiles = std::vector<profile>{};
    for (const auto& found : config.services) {
        if (found.pool != pool) {
            continue;
        }
        used_profiles.push_back(found.rules);
        const auto known = std::find_if(profiles_.begin(), profiles_.end(),
                                        [&](const profile& p) { return p.name == found.rules.name; });
        if (known != profiles_.end() && known->kind != found.rules.kind) {
            // Open flows stay counted under the kind that they were opened with, so the old profile remains.
            known->name.clear();
            profiles_.push_back(found.rules);
        } else if (known != profiles_.end()) {
            *known = found.rules;
        } else {
            profiles_.push_back(found.rules);
        }
    }
    reserved_percent_.assign(profiles_.size(), 0);
    for (auto i = std::size_t{0}; i < profiles_.size(); ++i) {
        for (const auto& other : used_profiles) {
            if (other.priority < profiles_[i].priority && other.kind == profiles_[i].kind) {
                reserved_percent_[i] = std::max(reserved_percent_[i], other.reserve_percent);
            }
        }
    }
    for (auto& s : targets_) {
        if (s.is_present || !s.by_profile.empty()) {
            s.by_profile.resize(profiles_.size());
        }
    }
    revision_ = config.revision;
    is_configured_ = true;
}

auto pool_chooser::find_profile(std::string_view profile_name) const -> std::optional<std::uint16_t> {
    for (auto i = std::size_t{0}; i < profiles_.size(); ++i) {
        if (profiles_[i].name == profile_name) {
            return static_cast<std::uint16_t>(i);
        }
    }
    return std::nullopt;
}

auto pool_chooser::is_unhealthy(const target_entry& s, time_ms at) const -> bool {
    return (s.is_unreachable && at - s.reported_at < unreachable_lifetime_ms) || at < s.ejected_until;
}

auto pool_chooser::are_marks_ignored(time_ms at) const -> bool {
    auto total = 0U;
    auto bad = 0U;
    for (const auto& s : targets_) {
        if (s.is_present && s.object.state == target_state::ready && s.object.zone == zone_) {
            ++total;
            bad += is_unhealthy(s, at) ? 1 : 0;
        }
    }
    return bad * 2 > total;
}

auto pool_chooser::slow_start_share_of(const target_entry& s, const profile& rules, time_ms at) const
    -> double {
    if (!s.has_slow_start || rules.slow_start_ms <= 0) {
        return 1;
    }
    const auto grown =
        static_cast<double>(at - s.slow_start_since) / static_cast<double>(rules.slow_start_ms);
    return std::clamp(grown, slow_start_share_min, 1.0);
}

// Returns the number of flows of all profiles at a target from which on it gets no flow of this profile. Only
// profiles without a reserve of higher priorities against them may queue at a target, since a queue of lower
// priority would use up the reserve.
auto pool_chooser::limit_of(const target_entry& s, std::uint16_t profile_index) const -> std::uint32_t {
    const auto capacity = capacity_of(s.object, profiles_[profile_index].kind);
    const auto& p = profiles_[profile_index];
    if (p.kind != flow_kind::request || reserved_percent_[profile_index] > 0) {
        return capacity;
    }
    return capacity + share_rounded_up(capacity, p.queue_percent);
}

auto pool_chooser::used_of(const target_entry& s, std::size_t kind) -> std::uint32_t {
    return s.own[kind] + s.inherited[kind] + s.outside[kind];
}

auto pool_chooser::evaluate(const target_entry& s, std::uint16_t profile_index, bool ignore_health,
                            time_ms at) const -> evaluation {
    const auto& p = profiles_[profile_index];
    const auto kind = kind_position(p);
    const auto used = used_of(s, kind);
    const auto limit = limit_of(s, profile_index);
    const auto capacity = static_cast<double>(std::max(1U, capacity_of(s.object, p.kind)));
    const auto share = slow_start_share_of(s, p, at);
    auto extra = 0.0;
    if (s.is_reported && at - s.reported_at < report_lifetime_ms) {
        const auto fresh =
            1.0 - static_cast<double>(at - s.reported_at) / static_cast<double>(report_lifetime_ms);
        const auto difference = static_cast<double>(s.reported[kind]) - static_cast<double>(used);
        extra = std::clamp(difference, 0.0, capacity * report_influence_share) * fresh;
    }
    auto view = evaluation{};
    view.load = (static_cast<double>(used) + 1 + extra) / (capacity * share);
    const auto percent = p.kind == flow_kind::request ? p.slot_limit_percent : p.connection_limit_percent;
    const auto own_limit = share_rounded_up(capacity_of(s.object, p.kind), percent);
    const auto own = profile_index < s.by_profile.size() ? s.by_profile[profile_index] : 0;
    if (s.object.state != target_state::ready) {
        view.fault = candidate_fault::not_ready;
    } else if (!ignore_health && is_unhealthy(s, at)) {
        view.fault = candidate_fault::ejected;
    } else if (used >= limit || (percent < 100 && own >= own_limit)) {
        view.fault = candidate_fault::at_limit;
    } else if (share < 1 && used >= std::ceil(limit * share)) {
        view.fault = candidate_fault::slow_start;
    }
    return view;
}

// Returns whether the free capacity of the usable targets, in the zone or outside it, is reserved for higher
// priorities. The reserve is a share of their total capacity: rounded up for each target, a tenth would be
// one of two slots.
auto pool_chooser::is_free_capacity_reserved(std::uint16_t profile_index, bool is_local, bool ignore_health,
                                             time_ms at) const -> bool {
    if (reserved_percent_[profile_index] == 0) {
        return false;
    }
    auto capacity = 0U;
    auto room = 0U;
    for (const auto& s : targets_) {
        if (!s.is_present || s.object.state != target_state::ready || (s.object.zone == zone_) != is_local ||
            (!ignore_health && is_unhealthy(s, at))) {
            continue;
        }
        const auto own = capacity_of(s.object, profiles_[profile_index].kind);
        capacity += own;
        room += own - std::min(own, used_of(s, kind_position(profiles_[profile_index])));
    }
    return room <= share_rounded_up(capacity, reserved_percent_[profile_index]);
}

auto pool_chooser::pick(std::uint16_t profile_index, const std::vector<std::uint8_t>& tried, time_ms at,
                        counter& reason) -> std::uint8_t {
    const auto ignore_health = are_marks_ignored(at);
    for (const auto is_local : {true, false}) {
        if (!is_local && profiles_[profile_index].zones != zone_rule::prefer_local) {
            break;
        }
        if (is_free_capacity_reserved(profile_index, is_local, ignore_health, at)) {
            reason = counter::refuse_no_capacity;
            continue;
        }
        std::uint8_t best = 0;
        auto best_load = 0.0;
        auto equal = 0U;
        for (const auto& s : targets_) {
            const auto index = s.object.index;
            if (!s.is_present || (s.object.zone == zone_) != is_local ||
                std::find(tried.begin(), tried.end(), index) != tried.end()) {
                continue;
            }
            const auto view = evaluate(s, profile_index, ignore_health, at);
            if (view.fault == candidate_fault::at_limit || view.fault == candidate_fault::slow_start) {
                reason = counter::refuse_no_capacity;
            }
            if (view.fault != candidate_fault::none) {
                continue;
            }
            if (best == 0 || view.load < best_load) {
                best = index;
                best_load = view.load;
                equal = 1;
            } else if (view.load == best_load && random_() % ++equal == 0) {
                best = index;  // reservoir sampling: each of n equal targets has probability 1/n
            }
        }
        if (best != 0) {
            return best;
        }
    }
    return 0;
}

auto pool_chooser::add(std::uint8_t index, std::uint16_t profile_index) -> void {
    auto& s = targets_[index];
    s.by_profile.resize(profiles_.size());
    ++s.own[kind_position(profiles_[profile_index])];
    ++s.by_profile[profile_index];
}

auto pool_chooser::remove(std::uint8_t index, std::uint16_t profile_index) -> void {
    auto& s = targets_[index];
    --s.own[kind_position(profiles_[profile_index])];
    --s.by_profile[profile_index];
}

auto pool_chooser::release(entry& e, time_ms at) -> void {
    if ((e.flags & is_counted) != 0) {
        remove(e.target, e.profile_index);
        count(counter::flows_closed);
    }
    e.flags = is_closed;
    e.touched = low_bits(at);
}

auto pool_chooser::adopt(const flow_id& id, std::uint8_t index, std::uint16_t profile_index, time_ms at)
    -> entry& {
    auto& e = shard_of(id)[id];
    e = entry{low_bits(at), 0, profile_index, index, is_adopted};
    auto& inherited = targets_[index].inherited[kind_position(profiles_[profile_index])];
    if (inherited > 0) {
        --inherited;
        add(index, profile_index);
        e.flags |= is_counted;
    }
    return e;
}

auto pool_chooser::record_verdict(const target_entry& s, std::string_view verdict) const -> void {
    record_history(history_kind::health, [&] {
        return history_fields{{"pool", pool_}, {"target", s.object.name}, {"verdict", std::string(verdict)}};
    });
}

auto pool_chooser::count_entry(entry& e) -> void {
    if ((e.flags & is_counted) == 0) {
        add(e.target, e.profile_index);
        e.flags |= is_counted;
    }
}

auto pool_chooser::open(const flow_id& id, std::string_view profile_name, std::uint32_t sequence,
                        const std::uint8_t* packet, std::size_t size, time_ms at,
                        std::string_view service_name) -> open_result {
    const auto lock = std::lock_guard(mutex_);
    const auto profile_index = find_profile(profile_name);
    if (!profile_index) {
        return {};
    }
    auto& flows = shard_of(id);
    const auto found = flows.find(id);
    if (found != flows.end() && (found->second.flags & is_closed) == 0) {
        auto& e = found->second;
        if ((e.flags & has_sequence) != 0 && e.sequence == sequence) {
            e.touched = low_bits(at);
            return {e.target, counter::refuse_no_target};
        }
        // The client reuses the port for a new connection, so the old one has ended.
        half_open_.erase(id);
        release(e, at);
    }
    const auto& p = profiles_[*profile_index];
    retry_tokens_ = std::min(retry_tokens_max, retry_tokens_ + p.retry_budget_percent / 100.0);
    auto result = open_result{};
    result.target = pick(*profile_index, {}, at, result.reason);
    if (result.target == 0) {
        return result;
    }
    add(result.target, *profile_index);
    flows[id] = entry{low_bits(at), sequence, *profile_index, result.target,
                      static_cast<std::uint8_t>(is_half_open | is_counted | has_sequence)};
    if (half_open_.size() < half_open_max) {
        auto pending = half_open{{packet, packet + size},  {result.target}, at, at + p.syn_timeout_ms, at,
                                 std::string(service_name)};
        half_open_.insert_or_assign(id, std::move(pending));
    }
    count(counter::flows_opened);
    return result;
}

auto pool_chooser::answer(const flow_id& id, std::uint8_t from, std::string_view profile_name, time_ms at,
                          std::string_view service_name) -> answer_action {
    const auto lock = std::lock_guard(mutex_);
    auto& s = targets_[from];
    if (s.failures > 0) {
        record_verdict(s, "answers SYNs");
    }
    s.failures = 0;
    s.ejected_until = {};
    auto& flows = shard_of(id);
    const auto found = flows.find(id);
    if (found == flows.end()) {
        // The previous chooser placed the SYN.
        if (const auto profile_index = find_profile(profile_name)) {
            count_entry(adopt(id, from, *profile_index, at));
        }
        return answer_action::to_client;
    }
    auto& e = found->second;
    if ((e.flags & is_closed) != 0) {
        count_for(service_name, counter::drop_late_answer);
        return answer_action::reset_target;
    }
    e.touched = low_bits(at);
    if ((e.flags & is_half_open) == 0) {
        if (e.target == from) {
            return answer_action::to_client;
        }
        count_for(service_name, counter::drop_late_answer);
        return answer_action::reset_target;
    }
    const auto pending = half_open_.find(id);
    if (e.target != from) {
        const auto was_tried = pending != half_open_.end() &&
                               std::find(pending->second.tried.begin(), pending->second.tried.end(), from) !=
                                   pending->second.tried.end();
        if (!was_tried) {
            count_for(service_name, counter::drop_late_answer);
            return answer_action::reset_target;
        }
        remove(e.target, e.profile_index);
        add(from, e.profile_index);
        e.target = from;
    }
    if (pending != half_open_.end()) {
        const auto is_last_tried = pending->second.tried.back() == from;
        // Only the SYN times of the first and the last tried target are known.
        if (is_last_tried || pending->second.tried.front() == from) {
            observe(histogram_id::syn_ack_time_ms,
                    at - (is_last_tried ? pending->second.sent : pending->second.started));
        }
    }
    e.flags = static_cast<std::uint8_t>(e.flags & ~is_half_open);
    if (pending != half_open_.end()) {
        half_open_.erase(pending);
    }
    return answer_action::to_client;
}

auto pool_chooser::mark_failure(std::uint8_t index, time_ms at) -> void {
    auto& s = targets_[index];
    if (at < s.ejected_until) {
        return;  // failures during an ejection count as one
    }
    if (s.failures == 0) {
        record_verdict(s, "does not answer SYNs");
    }
    s.ejected_until = at + (ejection_ms << std::min(s.failures, ejection_doublings_max));
    ++s.failures;
}

auto pool_chooser::next_target(entry& e, half_open& pending, counter reason, time_ms at) -> std::uint8_t {
    if (pending.tried.size() >= tried_targets_max) {
        count_for(pending.service_name, counter::retry_limit_reached);
        return 0;
    }
    if (retry_tokens_ < 1) {
        count_for(pending.service_name, counter::retry_budget_exhausted);
        return 0;
    }
    auto unused = counter::refuse_no_target;
    const auto next = pick(e.profile_index, pending.tried, at, unused);
    if (next == 0) {
        count_for(pending.service_name, counter::retry_no_target);
        return 0;
    }
    retry_tokens_ -= 1;
    remove(e.target, e.profile_index);
    add(next, e.profile_index);
    e.target = next;
    e.touched = low_bits(at);
    pending.tried.push_back(next);
    pending.deadline = at + profiles_[e.profile_index].syn_timeout_ms;
    pending.sent = at;
    count_for(pending.service_name, reason);
    return next;
}

auto pool_chooser::refused(const flow_id& id, std::uint8_t from, time_ms at, std::string_view service_name)
    -> refusal_result {
    const auto lock = std::lock_guard(mutex_);
    auto& flows = shard_of(id);
    const auto found = flows.find(id);
    if (found == flows.end()) {
        return {answer_action::to_client, {}};
    }
    auto& e = found->second;
    if (e.target != from || (e.flags & is_closed) != 0) {
        count_for(service_name, counter::drop_late_answer);
        if ((e.flags & is_half_open) != 0) {
            mark_failure(from, at);
        }
        return {};
    }
    if ((e.flags & is_half_open) == 0) {
        release(e, at);
        return {answer_action::to_client, {}};
    }
    mark_failure(from, at);
    const auto pending = half_open_.find(id);
    if (pending != half_open_.end()) {
        const auto next = next_target(e, pending->second, counter::retry_syn_refused, at);
        if (next != 0) {
            return {answer_action::retry, {next, pending->second.packet}};
        }
        half_open_.erase(pending);
    }
    release(e, at);
    return {answer_action::to_client, {}};
}

auto pool_chooser::close(const flow_id& id, flow_end sender, bool is_reset, std::uint8_t index,
                         bool may_adopt, std::string_view profile_name, time_ms at) -> void {
    const auto lock = std::lock_guard(mutex_);
    auto& flows = shard_of(id);
    const auto found = flows.find(id);
    auto* e = found == flows.end() ? nullptr : &found->second;
    if (e == nullptr) {
        const auto profile_index = find_profile(profile_name);
        if (index == 0 || !profile_index || !may_adopt) {
            return;
        }
        e = &adopt(id, index, *profile_index, at);
    }
    if ((e->flags & is_closed) != 0 || (index != 0 && index != e->target)) {
        return;
    }
    if (!is_reset) {
        e->flags |= sender == flow_end::client ? has_client_fin : has_target_fin;
        e->touched = low_bits(at);
        if ((e->flags & both_fins) != both_fins) {
            return;
        }
    }
    if ((e->flags & is_half_open) != 0) {
        half_open_.erase(id);
    }
    release(*e, at);
}

auto pool_chooser::touch(const flow_id& id, std::uint8_t index, std::string_view profile_name, time_ms at)
    -> void {
    const auto lock = std::lock_guard(mutex_);
    auto& flows = shard_of(id);
    const auto found = flows.find(id);
    if (found != flows.end()) {
        if ((found->second.flags & is_closed) == 0) {
            found->second.touched = low_bits(at);
        }
        return;
    }
    const auto profile_index = find_profile(profile_name);
    if (index != 0 && profile_index) {
        count_entry(adopt(id, index, *profile_index, at));
    }
}

auto pool_chooser::expire_half_open(time_ms at, std::vector<syn_retry>& retries) -> void {
    for (auto i = half_open_.begin(); i != half_open_.end();) {
        const auto current = i++;
        auto& pending = current->second;
        if (at < pending.deadline) {
            continue;
        }
        auto& e = shard_of(current->first)[current->first];
        const auto syn_timeout = profiles_[e.profile_index].syn_timeout_ms;
        if (at - pending.started >= syn_timeout * half_open_limit_syn_timeouts) {
            count(counter::expire_half_open);
            release(e, at);
            half_open_.erase(current);
            continue;
        }
        mark_failure(e.target, at);
        const auto next = next_target(e, pending, counter::retry_syn_timeout, at);
        if (next != 0) {
            retries.push_back({next, pending.packet});
        } else {
            pending.deadline = at + syn_timeout;  // the client itself still retransmits
        }
    }
}

auto pool_chooser::expire_shard(time_ms at) -> void {
    auto& flows = shards_[next_shard_];
    next_shard_ = (next_shard_ + 1) % shard_total;
    for (auto i = flows.begin(); i != flows.end();) {
        const auto current = i++;
        auto& e = current->second;
        const auto age = static_cast<std::int64_t>(low_bits(at) - e.touched);
        if ((e.flags & is_closed) != 0) {
            if (age >= closed_retention_ms) {
                flows.erase(current);
            }
            continue;
        }
        const auto& p = profiles_[e.profile_index];
        if ((e.flags & is_half_open) != 0) {
            // Stored SYNs expire in expire_half_open; this covers those beyond half_open_max.
            if (age >= p.syn_timeout_ms * half_open_limit_syn_timeouts &&
                half_open_.find(current->first) == half_open_.end()) {
                count(counter::expire_half_open);
                release(e, at);
            }
            continue;
        }
        const auto is_half_closed = (e.flags & both_fins) != 0;
        const auto half_closed_limit =
            (e.flags & is_adopted) != 0 ? adopted_half_closed_limit_ms : half_closed_limit_ms;
        const auto limit =
            is_half_closed ? std::min(p.idle_timeout_ms, half_closed_limit) : p.idle_timeout_ms;
        if (age >= limit) {
            count(is_half_closed ? counter::expire_half_closed : counter::expire_idle);
            release(e, at);
        }
    }
}

auto pool_chooser::decay_inherited(time_ms at) -> void {
    if (at < next_decay_) {
        return;
    }
    next_decay_ = at + inherited_half_life_ms;
    for (auto& s : targets_) {
        s.inherited[0] /= 2;
    }
}

auto pool_chooser::expire(time_ms at) -> std::vector<syn_retry> {
    const auto lock = std::lock_guard(mutex_);
    if (refilled_at_.value != 0 && retry_tokens_ < retry_floor_tokens) {
        const auto seconds = static_cast<double>(at - refilled_at_) / 1000.0;
        retry_tokens_ = std::min(retry_floor_tokens, retry_tokens_ + seconds * retry_floor_per_second);
    }
    refilled_at_ = at;
    if (!owner_counts_.empty()) {
        sum_owner_counts(at);
    }
    auto retries = std::vector<syn_retry>{};
    expire_half_open(at, retries);
    decay_inherited(at);
    if (at >= next_scan_) {
        expire_shard(at);
        next_scan_ = at + scan_interval_ms;
    }
    return retries;
}

auto pool_chooser::target_of(const flow_id& id) const -> std::uint8_t {
    const auto lock = std::lock_guard(mutex_);
    const auto& flows = shard_of(id);
    const auto found = flows.find(id);
    return found == flows.end() || (found->second.flags & is_closed) != 0 ? 0 : found->second.target;
}

auto pool_chooser::counts() const -> pool_counts {
    const auto lock = std::lock_guard(mutex_);
    auto all = pool_counts{};
    for (auto i = std::size_t{0}; i < targets_.size(); ++i) {
        const auto& s = targets_[i];
        all[i] = {s.own[0] + s.inherited[0], s.own[1] + s.inherited[1]};
    }
    return all;
}

auto pool_chooser::own_counts() const -> pool_counts {
    const auto lock = std::lock_guard(mutex_);
    auto all = pool_counts{};
    for (auto i = std::size_t{0}; i < targets_.size(); ++i) {
        all[i] = {targets_[i].own[0], targets_[i].own[1]};
    }
    return all;
}

auto aged_counts(const pool_counts& received, std::int64_t age_ms) -> pool_counts {
    const auto halvings = std::clamp<std::int64_t>(age_ms / inherited_half_life_ms, 0, 31);
    auto aged = received;
    for (auto& one : aged) {
        one.slots_busy >>= halvings;
    }
    return aged;
}

auto pool_chooser::inherit(const pool_counts& previous, std::size_t begin, std::size_t end) -> void {
    const auto lock = std::lock_guard(mutex_);
    for (auto i = begin; i < std::min(end, targets_.size()); ++i) {
        targets_[i].inherited = {previous[i].slots_busy, previous[i].connections};
    }
}

auto pool_chooser::add_inherited(const indexed_counts& placed) -> void {
    const auto lock = std::lock_guard(mutex_);
    for (const auto& [index, held] : placed) {
        targets_[index].inherited[0] += held.slots_busy;
        targets_[index].inherited[1] += held.connections;
    }
}

auto pool_chooser::set_owner_counts(const std::string& sender, const indexed_counts& held, time_ms at)
    -> void {
    const auto lock = std::lock_guard(mutex_);
    if (held.empty()) {
        owner_counts_.erase(sender);
    } else {
        owner_counts_.insert_or_assign(sender, owner_counts{held, at});
    }
    sum_owner_counts(at);
}

auto pool_chooser::sum_owner_counts(time_ms at) -> void {
    for (auto& s : targets_) {
        s.outside = {};
    }
    for (auto i = owner_counts_.begin(); i != owner_counts_.end();) {
        const auto current = i++;
        if (at - current->second.at >= owner_counts_lifetime_ms) {
            owner_counts_.erase(current);
            continue;
        }
        for (const auto& [index, held] : current->second.held) {
            targets_[index].outside[0] += held.slots_busy;
            targets_[index].outside[1] += held.connections;
        }
    }
}

auto pool_chooser::apply_report(std::uint8_t index, std::uint32_t slots_busy, std::uint32_t connections,
                                bool is_reachable, time_ms at) -> void {
    const auto lock = std::lock_guard(mutex_);
    auto& s = targets_[index];
    if (s.is_unreachable && is_reachable) {
        s.has_slow_start = true;  // it may have restarted with empty caches
        s.slow_start_since = at;
    }
    if (s.is_unreachable == is_reachable) {
        record_verdict(s, is_reachable ? "reachable" : "unreachable");
    }
    s.is_unreachable = !is_reachable;
    s.reported_at = at;
    s.is_reported = is_reachable;
    if (!is_reachable) {
        return;
    }
    s.reported = {slots_busy, connections};
    for (auto kind = std::size_t{0}; kind < s.inherited.size(); ++kind) {
        auto& inherited = s.inherited[kind];
        const auto used = used_of(s, kind);
        if (s.reported[kind] < used) {
            const auto step = std::max(1U, inherited / inherited_step_divisor);
            inherited -= std::min({inherited, step, used - s.reported[kind]});
        }
    }
}

auto pool_chooser::answers_syns(std::uint8_t index, time_ms at) const -> bool {
    const auto lock = std::lock_guard(mutex_);
    return !is_unhealthy(targets_[index], at);
}

auto pool_chooser::status_locked(time_ms at) const -> pool_status {
    auto all = pool_status{};
    all.pool = pool_;
    all.half_open_flows = half_open_.size();
    all.retry_tokens = retry_tokens_;
    all.are_marks_ignored = are_marks_ignored(at);
    for (const auto& s : targets_) {
        all.open_flows += s.own[0] + s.own[1];
        if (!s.is_present) {
            continue;
        }
        auto one = target_status{};
        one.name = s.object.name;
        one.index = s.object.index;
        one.state = s.object.state;
        one.own = {s.own[0], s.own[1]};
        one.inherited = {s.inherited[0], s.inherited[1]};
        one.outside = {s.outside[0], s.outside[1]};
        one.slots = s.object.slots;
        one.connections = s.object.connections;
        one.ejected_ms = std::max<std::int64_t>(0, s.ejected_until - at);
        one.is_reported_unreachable = s.is_unreachable;
        all.targets.push_back(one);
    }
    return all;
}

auto pool_chooser::status(time_ms at) const -> pool_status {
    const auto lock = std::lock_guard(mutex_);
    return status_locked(at);
}

auto pool_chooser::explain(std::string_view profile_name, time_ms at) const -> pool_status {
    const auto lock = std::lock_guard(mutex_);
    auto all = status_locked(at);
    const auto profile_index = find_profile(profile_name);
    if (!profile_index) {
        return all;
    }
    const auto is_usable = [&](const target_entry& s) {
        return evaluate(s, *profile_index, all.are_marks_ignored, at).fault == candidate_fault::none;
    };
    const auto has_local = std::any_of(targets_.begin(), targets_.end(), [&](const target_entry& s) {
        return s.is_present && s.object.zone == zone_ && is_usable(s);
    });
    for (auto& one : all.targets) {
        const auto& s = targets_[one.index];
        const auto view = evaluate(s, *profile_index, all.are_marks_ignored, at);
        one.load = view.load;
        one.share = slow_start_share_of(s, profiles_[*profile_index], at);
        one.fault = view.fault;
        if (s.object.zone != zone_ && (has_local || profiles_[*profile_index].zones == zone_rule::local)) {
            one.fault = candidate_fault::other_zone;
        }
    }
    return all;
}

auto pool_chooser::table_bytes() const -> std::size_t {
    const auto lock = std::lock_guard(mutex_);
    auto bytes = std::size_t{0};
    for (const auto& flows : shards_) {
        bytes += flows.capacity() * (sizeof(shard::value_type) + 1);  // one control byte for each slot
    }
    for (const auto& [id, pending] : half_open_) {
        bytes += sizeof(pending) + pending.packet.capacity() + pending.tried.capacity();
    }
    return bytes;
}

auto chooser_set::find_or_create(const snapshot& config, std::uint32_t pool, const pool_counts* inherited,
                                 time_ms at) -> std::shared_ptr<pool_chooser> {
    const auto& name = config.pools[pool].name;
    auto found = find(name);
    if (found == nullptr) {
        const auto lock = std::lock_guard(mutex_);
        auto& created = choosers_[name];
        if (created == nullptr) {
            created = std::make_shared<pool_chooser>(name, zone_, std::random_device{}());
            if (inherited != nullptr) {
                created->inherit(*inherited, 0, inherited->size());
            }
        }
        found = created;
    }
    found->configure(config, pool, at);
    return found;
}

auto chooser_set::find(std::string_view pool) const -> std::shared_ptr<pool_chooser> {
    const auto lock = std::shared_lock(mutex_);
    const auto found = choosers_.find(pool);
    return found == choosers_.end() ? nullptr : found->second;
}

auto chooser_set::all() const -> std::vector<std::pair<std::string, std::shared_ptr<pool_chooser>>> {
    const auto lock = std::shared_lock(mutex_);
    return {choosers_.begin(), choosers_.end()};
}

auto chooser_set::remove(std::string_view pool) -> void {
    const auto lock = std::lock_guard(mutex_);
    const auto found = choosers_.find(pool);
    if (found != choosers_.end()) {
        choosers_.erase(found);
    }
}

}  // namespace agatepost
