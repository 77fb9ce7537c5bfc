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
constexpr std::uint8_t knows_sequence = 32;
constexpr std::uint8_t is_adopted = 64;  // the entry came from a close, not from a SYN
constexpr std::uint8_t both_fins = has_client_fin | has_target_fin;

// A closed flow's entry is kept this long, so that a retransmitted FIN is not counted as another close.
constexpr std::uint32_t closed_memory_ms = 8000;
// A half-closed flow may still answer for long; after this it is taken as lost.
constexpr std::int64_t half_closed_limit_ms = 120000;
// The same for a flow that the previous chooser opened: the other FIN has often passed that one, and an entry
// that waits for it holds a slot for nothing.
constexpr std::int64_t adopted_half_closed_limit_ms = 2000;
// A client gives up after several SYNs with growing pauses; the entry outlives the first few of them.
constexpr std::int64_t half_open_limit_syn_timeouts = 8;
constexpr std::size_t tried_limit = 4;
// Bounds the memory for kept SYNs under a SYN flood; further SYNs are placed but not retried.
constexpr std::size_t half_open_max = 16384;
// Retries that are allowed without any new flow, so that a quiet pool can still retry.
constexpr double retry_floor_tokens = 3;
constexpr double retry_floor_per_second = 0.5;
constexpr double retry_tokens_max = 50;
// A target is passed over for pass_over_ms after the first failure, doubled for each further one.
constexpr std::int64_t pass_over_ms = 1000;
constexpr std::uint32_t pass_over_doublings = 4;
// A report raises a load by at most this share of the limit. Below half a slot of the smallest targets
// (2 slots), so that a false report breaks ties and never outweighs a counted flow.
constexpr double report_bound_share = 0.2;
// The influence of a report falls to zero over this time.
constexpr std::int64_t report_age_ms = 2000;
// A verdict of unreachable is dropped when no probe confirms it: the probing host may be gone itself.
constexpr std::int64_t unreachable_age_ms = 10000;
// Share of the inherited count that one lower report can remove; at least one flow.
constexpr std::uint32_t inherited_step_divisor = 10;
// Inherited slots of request flows halve in this time. Closes that went to the previous chooser during the
// handover never reach this one, and slots held by them would refuse new flows; requests are short, so that
// two seconds later the count is close to the truth either way.
constexpr std::int64_t inherited_half_life_ms = 250;
constexpr double slow_start_share = 0.1;
// One of the 16 shards is scanned at each pause, so an entry expires at most 1.6 s late.
constexpr std::int64_t scan_pause_ms = 100;
// Counts of an owner host that has sent none for this long are no longer added: it is gone.
constexpr std::int64_t outside_age_ms = 3000;

// Counts an event, for its service too if that is known.
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
        case candidate_fault::passed_over:
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
      slots_(256),
      retry_tokens_(retry_floor_tokens),
      random_(static_cast<std::minstd_rand::result_type>(seed)) {}

auto pool_chooser::configure(const snapshot& config, std::uint32_t pool, time_ms at) -> void {
    const auto lock = std::lock_guard(mutex_);
    if (is_configured_ && config.revision <= revision_) {
        return;
    }
    for (auto& s : slots_) {
        s.is_present = false;
    }
    for (const auto& t : config.pools[pool].targets) {
        auto& s = slots_[t.index];
        // A target that was not ready before starts cold. Targets of the first snapshot are taken as warm.
        const auto was_ready = s.object.name == t.name && s.object.state == target_state::ready;
        if (is_configured_ && !was_ready && t.state == target_state::ready) {
            s.is_cold = true;
            s.cold_since = at;
        }
        if (s.object.name != t.name) {
            s.passed_over_until = {};
            s.failures = 0;
            s.is_reported = false;
            s.is_unreachable = false;
        }
        s.object = t;
        s.is_present = true;
    }
    auto in_use = std::vector<profile>{};
    for (const auto& found : config.services) {
        if (found.pool != pool) {
            continue;
        }
        in_use.push_back(found.rules);
        const auto known = std::find_if(rules_.begin(), rules_.end(),
                                        [&](const profile& p) { return p.name == found.rules.name; });
        if (known != rules_.end() && known->kind != found.rules.kind) {
            // Flows are counted by the kind they were opened with, so the old rules stay for them.
            known->name.clear();
            rules_.push_back(found.rules);
        } else if (known != rules_.end()) {
            *known = found.rules;
        } else {
            rules_.push_back(found.rules);
        }
    }
    closed_share_percent_.assign(rules_.size(), 0);
    for (auto i = std::size_t{0}; i < rules_.size(); ++i) {
        for (const auto& other : in_use) {
            if (other.priority < rules_[i].priority && other.kind == rules_[i].kind) {
                closed_share_percent_[i] = std::max(closed_share_percent_[i], other.reserve_percent);
            }
        }
    }
    for (auto& s : slots_) {
        if (s.is_present || !s.by_rules.empty()) {
            s.by_rules.resize(rules_.size());
        }
    }
    revision_ = config.revision;
    is_configured_ = true;
}

auto pool_chooser::rules_of(std::string_view profile_name) const -> std::optional<std::uint16_t> {
    for (auto i = std::size_t{0}; i < rules_.size(); ++i) {
        if (rules_[i].name == profile_name) {
            return static_cast<std::uint16_t>(i);
        }
    }
    return std::nullopt;
}

auto pool_chooser::is_bad(const slot& s, time_ms at) const -> bool {
    return (s.is_unreachable && at - s.reported_at < unreachable_age_ms) || at < s.passed_over_until;
}

auto pool_chooser::are_marks_ignored(time_ms at) const -> bool {
    auto total = 0U;
    auto bad = 0U;
    for (const auto& s : slots_) {
        if (s.is_present && s.object.state == target_state::ready && s.object.zone == zone_) {
            ++total;
            bad += is_bad(s, at) ? 1 : 0;
        }
    }
    return bad * 2 > total;
}

auto pool_chooser::share_of(const slot& s, const profile& rules, time_ms at) const -> double {
    if (!s.is_cold || rules.slow_start_ms <= 0) {
        return 1;
    }
    const auto grown = static_cast<double>(at - s.cold_since) / static_cast<double>(rules.slow_start_ms);
    return std::clamp(grown, slow_start_share, 1.0);
}

// Flows of all profiles together that a target may have before a flow of these rules is refused. Flows wait
// at a target only for the sake of profiles that nobody has a reserve against: a queue of lower priority
// would make the reserve worthless.
auto pool_chooser::limit_of(const slot& s, std::uint16_t rules) const -> std::uint32_t {
    const auto capacity = capacity_of(s.object, rules_[rules].kind);
    const auto& p = rules_[rules];
    if (p.kind != flow_kind::request || closed_share_percent_[rules] > 0) {
        return capacity;
    }
    return capacity + share_rounded_up(capacity, p.queue_percent);
}

auto pool_chooser::used_of(const slot& s, std::size_t kind) -> std::uint32_t {
    return s.own[kind] + s.inherited[kind] + s.outside[kind];
}

auto pool_chooser::judge(const slot& s, std::uint16_t rules, bool ignore_marks, time_ms at) const
    -> candidate_view {
    const auto& p = rules_[rules];
    const auto kind = kind_position(p);
    const auto used = used_of(s, kind);
    const auto limit = limit_of(s, rules);
    const auto capacity = static_cast<double>(std::max(1U, capacity_of(s.object, p.kind)));
    const auto share = share_of(s, p, at);
    auto extra = 0.0;
    if (s.is_reported && at - s.reported_at < report_age_ms) {
        const auto fresh = 1.0 - static_cast<double>(at - s.reported_at) / static_cast<double>(report_age_ms);
        const auto difference = static_cast<double>(s.reported[kind]) - static_cast<double>(used);
        extra = std::clamp(difference, 0.0, capacity * report_bound_share) * fresh;
    }
    auto view = candidate_view{};
    view.load = (static_cast<double>(used) + 1 + extra) / (capacity * share);
    const auto percent = p.kind == flow_kind::request ? p.slot_limit_percent : p.connection_limit_percent;
    const auto own_limit = share_rounded_up(capacity_of(s.object, p.kind), percent);
    const auto own = rules < s.by_rules.size() ? s.by_rules[rules] : 0;
    if (s.object.state != target_state::ready) {
        view.fault = candidate_fault::not_ready;
    } else if (!ignore_marks && is_bad(s, at)) {
        view.fault = candidate_fault::passed_over;
    } else if (used >= limit || (percent < 100 && own >= own_limit)) {
        view.fault = candidate_fault::at_limit;
    } else if (share < 1 && used >= std::ceil(limit * share)) {
        view.fault = candidate_fault::slow_start;
    }
    return view;
}

// Whether the room that is left in a zone's usable targets is reserved for higher priorities. The reserve is
// taken from the sum over the targets: a share of each target would close one of two slots where a tenth is
// meant.
auto pool_chooser::is_rest_reserved(std::uint16_t rules, bool is_local, bool ignore_marks, time_ms at) const
    -> bool {
    if (closed_share_percent_[rules] == 0) {
        return false;
    }
    auto capacity = 0U;
    auto room = 0U;
    for (const auto& s : slots_) {
        if (!s.is_present || s.object.state != target_state::ready || (s.object.zone == zone_) != is_local ||
            (!ignore_marks && is_bad(s, at))) {
            continue;
        }
        const auto own = capacity_of(s.object, rules_[rules].kind);
        capacity += own;
        room += own - std::min(own, used_of(s, kind_position(rules_[rules])));
    }
    return room <= share_rounded_up(capacity, closed_share_percent_[rules]);
}

auto pool_chooser::pick(std::uint16_t rules, const std::vector<std::uint8_t>& tried, time_ms at,
                        counter& reason) -> std::uint8_t {
    const auto ignore_marks = are_marks_ignored(at);
    for (const auto is_local : {true, false}) {
        if (!is_local && rules_[rules].zones != zone_rule::prefer_local) {
            break;
        }
        if (is_rest_reserved(rules, is_local, ignore_marks, at)) {
            reason = counter::refuse_no_capacity;
            continue;
        }
        std::uint8_t best = 0;
        auto best_load = 0.0;
        auto equal = 0U;
        for (const auto& s : slots_) {
            const auto index = s.object.index;
            if (!s.is_present || (s.object.zone == zone_) != is_local ||
                std::find(tried.begin(), tried.end(), index) != tried.end()) {
                continue;
            }
            const auto view = judge(s, rules, ignore_marks, at);
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
                best = index;  // each of n equal targets is kept with probability 1/n
            }
        }
        if (best != 0) {
            return best;
        }
    }
    return 0;
}

auto pool_chooser::add(std::uint8_t index, std::uint16_t rules) -> void {
    auto& s = slots_[index];
    s.by_rules.resize(rules_.size());
    ++s.own[kind_position(rules_[rules])];
    ++s.by_rules[rules];
}

auto pool_chooser::remove(std::uint8_t index, std::uint16_t rules) -> void {
    auto& s = slots_[index];
    --s.own[kind_position(rules_[rules])];
    --s.by_rules[rules];
}

auto pool_chooser::release(entry& e, time_ms at) -> void {
    if ((e.flags & is_counted) != 0) {
        remove(e.target, e.rules);
        count(counter::flows_closed);
    }
    e.flags = is_closed;
    e.touched = low_bits(at);
}

auto pool_chooser::adopt(const flow_id& id, std::uint8_t index, std::uint16_t rules, time_ms at) -> entry& {
    auto& e = shard_of(id)[id];
    e = entry{low_bits(at), 0, rules, index, is_adopted};
    auto& inherited = slots_[index].inherited[kind_position(rules_[rules])];
    if (inherited > 0) {
        --inherited;
        add(index, rules);
        e.flags |= is_counted;
    }
    return e;
}

auto pool_chooser::note_verdict(const slot& s, std::string_view verdict) const -> void {
    record_history(history_kind::health, [&] {
        return history_fields{{"pool", pool_}, {"target", s.object.name}, {"verdict", std::string(verdict)}};
    });
}

auto pool_chooser::count_entry(entry& e) -> void {
    if ((e.flags & is_counted) == 0) {
        add(e.target, e.rules);
        e.flags |= is_counted;
    }
}

auto pool_chooser::open(const flow_id& id, std::string_view profile_name, std::uint32_t sequence,
                        const std::uint8_t* packet, std::size_t size, time_ms at,
                        std::string_view service_name) -> open_result {
    const auto lock = std::lock_guard(mutex_);
    const auto rules = rules_of(profile_name);
    if (!rules) {
        return {};
    }
    auto& flows = shard_of(id);
    const auto found = flows.find(id);
    if (found != flows.end() && (found->second.flags & is_closed) == 0) {
        auto& e = found->second;
        if ((e.flags & knows_sequence) != 0 && e.sequence == sequence) {
            e.touched = low_bits(at);
            return {e.target, counter::refuse_no_target};
        }
        // The client reuses the port for a new connection: the old one is over.
        half_open_.erase(id);
        release(e, at);
    }
    const auto& p = rules_[*rules];
    retry_tokens_ = std::min(retry_tokens_max, retry_tokens_ + p.retry_budget_percent / 100.0);
    auto result = open_result{};
    result.target = pick(*rules, {}, at, result.reason);
    if (result.target == 0) {
        return result;
    }
    add(result.target, *rules);
    flows[id] = entry{low_bits(at), sequence, *rules, result.target,
                      static_cast<std::uint8_t>(is_half_open | is_counted | knows_sequence)};
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
    auto& s = slots_[from];
    if (s.failures > 0) {
        note_verdict(s, "answers SYNs");
    }
    s.failures = 0;
    s.passed_over_until = {};
    auto& flows = shard_of(id);
    const auto found = flows.find(id);
    if (found == flows.end()) {
        // The SYN went through the previous chooser.
        if (const auto rules = rules_of(profile_name)) {
            count_entry(adopt(id, from, *rules, at));
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
        remove(e.target, e.rules);
        add(from, e.rules);
        e.target = from;
    }
    if (pending != half_open_.end()) {
        const auto is_last_tried = pending->second.tried.back() == from;
        // An earlier target was sent its SYN before the last one; only the first one's time is known.
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
    auto& s = slots_[index];
    if (at < s.passed_over_until) {
        return;  // flows that fail together count as one failure
    }
    if (s.failures == 0) {
        note_verdict(s, "does not answer SYNs");
    }
    s.passed_over_until = at + (pass_over_ms << std::min(s.failures, pass_over_doublings));
    ++s.failures;
}

auto pool_chooser::next_target(entry& e, half_open& pending, counter reason, time_ms at) -> std::uint8_t {
    if (pending.tried.size() >= tried_limit) {
        count_for(pending.service_name, counter::retry_limit_reached);
        return 0;
    }
    if (retry_tokens_ < 1) {
        count_for(pending.service_name, counter::retry_budget_exhausted);
        return 0;
    }
    auto unused = counter::refuse_no_target;
    const auto next = pick(e.rules, pending.tried, at, unused);
    if (next == 0) {
        count_for(pending.service_name, counter::retry_no_target);
        return 0;
    }
    retry_tokens_ -= 1;
    remove(e.target, e.rules);
    add(next, e.rules);
    e.target = next;
    e.touched = low_bits(at);
    pending.tried.push_back(next);
    pending.deadline = at + rules_[e.rules].syn_timeout_ms;
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
        const auto rules = rules_of(profile_name);
        if (index == 0 || !rules || !may_adopt) {
            return;
        }
        e = &adopt(id, index, *rules, at);
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
    const auto rules = rules_of(profile_name);
    if (index != 0 && rules) {
        count_entry(adopt(id, index, *rules, at));
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
        const auto syn_timeout = rules_[e.rules].syn_timeout_ms;
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
            pending.deadline = at + syn_timeout;  // the client's own retransmissions go on
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
            if (age >= closed_memory_ms) {
                flows.erase(current);
            }
            continue;
        }
        const auto& p = rules_[e.rules];
        if ((e.flags & is_half_open) != 0) {
            // Kept SYNs expire in expire_half_open; this is for those beyond half_open_max.
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
    for (auto& s : slots_) {
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
    if (!outside_.empty()) {
        sum_outside(at);
    }
    auto retries = std::vector<syn_retry>{};
    expire_half_open(at, retries);
    decay_inherited(at);
    if (at >= next_scan_) {
        expire_shard(at);
        next_scan_ = at + scan_pause_ms;
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
    for (auto i = std::size_t{0}; i < slots_.size(); ++i) {
        const auto& s = slots_[i];
        all[i] = {s.own[0] + s.inherited[0], s.own[1] + s.inherited[1]};
    }
    return all;
}

auto pool_chooser::own_counts() const -> pool_counts {
    const auto lock = std::lock_guard(mutex_);
    auto all = pool_counts{};
    for (auto i = std::size_t{0}; i < slots_.size(); ++i) {
        all[i] = {slots_[i].own[0], slots_[i].own[1]};
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
    for (auto i = begin; i < std::min(end, slots_.size()); ++i) {
        slots_[i].inherited = {previous[i].slots_busy, previous[i].connections};
    }
}

auto pool_chooser::add_inherited(const indexed_counts& placed) -> void {
    const auto lock = std::lock_guard(mutex_);
    for (const auto& [index, held] : placed) {
        slots_[index].inherited[0] += held.slots_busy;
        slots_[index].inherited[1] += held.connections;
    }
}

auto pool_chooser::set_outside(const std::string& sender, const indexed_counts& held, time_ms at) -> void {
    const auto lock = std::lock_guard(mutex_);
    if (held.empty()) {
        outside_.erase(sender);
    } else {
        outside_.insert_or_assign(sender, outside_counts{held, at});
    }
    sum_outside(at);
}

auto pool_chooser::sum_outside(time_ms at) -> void {
    for (auto& s : slots_) {
        s.outside = {};
    }
    for (auto i = outside_.begin(); i != outside_.end();) {
        const auto current = i++;
        if (at - current->second.at >= outside_age_ms) {
            outside_.erase(current);
            continue;
        }
        for (const auto& [index, held] : current->second.held) {
            slots_[index].outside[0] += held.slots_busy;
            slots_[index].outside[1] += held.connections;
        }
    }
}

auto pool_chooser::apply_report(std::uint8_t index, std::uint32_t slots_busy, std::uint32_t connections,
                                bool is_reachable, time_ms at) -> void {
    const auto lock = std::lock_guard(mutex_);
    auto& s = slots_[index];
    if (s.is_unreachable && is_reachable) {
        s.is_cold = true;  // it may have restarted with empty caches
        s.cold_since = at;
    }
    if (s.is_unreachable == is_reachable) {
        note_verdict(s, is_reachable ? "reachable" : "unreachable");
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

auto pool_chooser::answers_opens(std::uint8_t index, time_ms at) const -> bool {
    const auto lock = std::lock_guard(mutex_);
    return !is_bad(slots_[index], at);
}

auto pool_chooser::status_locked(time_ms at) const -> pool_status {
    auto all = pool_status{};
    all.pool = pool_;
    all.half_open_flows = half_open_.size();
    all.retry_tokens = retry_tokens_;
    all.are_marks_ignored = are_marks_ignored(at);
    for (const auto& s : slots_) {
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
        one.passed_over_ms = std::max<std::int64_t>(0, s.passed_over_until - at);
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
    const auto rules = rules_of(profile_name);
    if (!rules) {
        return all;
    }
    const auto is_usable = [&](const slot& s) {
        return judge(s, *rules, all.are_marks_ignored, at).fault == candidate_fault::none;
    };
    const auto has_local = std::any_of(slots_.begin(), slots_.end(), [&](const slot& s) {
        return s.is_present && s.object.zone == zone_ && is_usable(s);
    });
    for (auto& one : all.targets) {
        const auto& s = slots_[one.index];
        const auto view = judge(s, *rules, all.are_marks_ignored, at);
        one.load = view.load;
        one.share = share_of(s, rules_[*rules], at);
        one.fault = view.fault;
        if (s.object.zone != zone_ && (has_local || rules_[*rules].zones == zone_rule::local)) {
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

auto chooser_set::of_pool(const snapshot& config, std::uint32_t pool, const pool_counts* inherited,
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
