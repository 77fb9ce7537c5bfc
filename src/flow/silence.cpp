#include <algorithm>

#include "core/counter_func.h"
#include "flow/silence_base.h"

namespace agatepost {

namespace {

constexpr std::int64_t answer_timeout_ms = 1000;
// A query without an answer is sent again; three attempts fit into answer_timeout_ms.
constexpr std::int64_t query_retry_ms = 300;

// 0 means no time, so an instant that maps to it is moved by a millisecond.
auto low_bits(time_ms at) -> std::uint32_t {
    const auto low = static_cast<std::uint32_t>(at.value);
    return low == 0 ? 1 : low;
}

auto tag_of(const flow_id& id) -> std::uint32_t {
    const auto tag = static_cast<std::uint32_t>(id.high);
    return tag == 0 ? 1 : tag;
}

// Returns whether sequence number a is after b, modulo 2^32.
auto is_after(std::uint32_t a, std::uint32_t b) -> bool {
    return a != b && a - b < 0x80000000U;
}

}  // namespace

silence_table::silence_table() : entries_(set_total * ways) {}

auto silence_table::find(const flow_id& id) const -> const entry* {
    const auto* set = &entries_[set_of(id) * ways];
    const auto tag = tag_of(id);
    const auto* found = std::find_if(set, set + ways, [&](const entry& n) { return n.tag == tag; });
    return found == set + ways ? nullptr : found;
}

auto silence_table::find(const flow_id& id) -> entry* {
    return const_cast<entry*>(static_cast<const silence_table*>(this)->find(id));
}

auto silence_table::find_or_replace(const flow_id& id, time_ms at) -> entry& {
    if (auto* found = find(id)) {
        found->used = low_bits(at);
        return *found;
    }
    auto* set = &entries_[set_of(id) * ways];
    auto* oldest = std::max_element(set, set + ways, [&](const entry& a, const entry& b) {
        const auto age = [&](const entry& n) { return n.tag == 0 ? UINT32_MAX : low_bits(at) - n.used; };
        return age(a) < age(b);
    });
    *oldest = entry{};
    oldest->tag = tag_of(id);
    oldest->activity_sent = low_bits(at);
    oldest->used = low_bits(at);
    return *oldest;
}

auto silence_table::record_forward(const flow_id& id, std::uint32_t sequence, bool needs_answer,
                                   std::int64_t silence_ms, std::int64_t activity_ms, time_ms at)
    -> forward_result {
    const auto lock = std::lock_guard(lock_of(set_of(id)));
    auto& n = find_or_replace(id, at);
    auto result = forward_result{};
    result.is_activity_due = static_cast<std::int64_t>(low_bits(at) - n.activity_sent) >= activity_ms;
    if (!needs_answer) {
        return result;
    }
    if (n.unanswered == 0) {
        n.unanswered = low_bits(at);
        n.sequence = sequence;
        return result;
    }
    result.unanswered_ms = static_cast<std::int64_t>(low_bits(at) - n.unanswered);
    if (result.unanswered_ms < silence_ms) {
        return result;
    }
    if (is_after(sequence, n.sequence)) {
        // New data: the recorded packet was answered at another host, or its retransmission is still to come.
        n.unanswered = low_bits(at);
        n.sequence = sequence;
        return result;
    }
    result.is_suspect = true;
    return result;
}

auto silence_table::record_reverse(const flow_id& id, time_ms at) -> void {
    const auto lock = std::lock_guard(lock_of(set_of(id)));
    auto& n = find_or_replace(id, at);
    n.answered = low_bits(at);
    n.unanswered = 0;
}

auto silence_table::record_activity_sent(const flow_id& id, time_ms at) -> void {
    const auto lock = std::lock_guard(lock_of(set_of(id)));
    if (auto* n = find(id)) {
        n->activity_sent = low_bits(at);
    }
}

auto silence_table::has_answer_within(const flow_id& id, std::int64_t age_ms, time_ms at) const -> bool {
    const auto lock = std::lock_guard(lock_of(set_of(id)));
    const auto* n = find(id);
    return n != nullptr && n->answered != 0 &&
           static_cast<std::int64_t>(low_bits(at) - n->answered) <= age_ms;
}

auto silence_table::clear_unanswered(const flow_id& id) -> void {
    const auto lock = std::lock_guard(lock_of(set_of(id)));
    if (auto* n = find(id)) {
        n->unanswered = 0;
    }
}

auto silence_table::table_bytes() const -> std::size_t {
    return entries_.capacity() * sizeof(entry);
}

auto silent_suspects::add(const silent_suspect& suspect) -> bool {
    const auto lock = std::lock_guard(mutex_);
    const auto found = std::find_if(suspects_.begin(), suspects_.end(),
                                    [&](const silent_suspect& known) { return known.id == suspect.id; });
    if (found != suspects_.end()) {
        found->sequence = suspect.sequence;
        found->acknowledgment = suspect.acknowledgment;
        return false;
    }
    if (suspects_.size() >= limit) {
        count(counter::silent_suspects_dropped);
        return false;
    }
    suspects_.push_back(suspect);
    count(counter::silent_suspected);
    return true;
}

auto silent_suspects::collect_queries(const std::vector<std::string>& hosts, std::size_t most, time_ms at)
    -> std::vector<silent_suspect> {
    const auto lock = std::lock_guard(mutex_);
    auto queries = std::vector<silent_suspect>{};
    for (auto& suspect : suspects_) {
        if (queries.size() >= most) {
            break;
        }
        if (suspect.first_query.value == 0) {
            suspect.first_query = at;
            suspect.waiting = {hosts.begin(), hosts.end()};
        } else if (suspect.waiting.empty() || at - suspect.last_query < query_retry_ms) {
            continue;
        }
        suspect.last_query = at;
        queries.push_back(suspect);
    }
    return queries;
}

auto silent_suspects::answer(const flow_id& id, const std::string& host, silence_verdict verdict) -> bool {
    const auto lock = std::lock_guard(mutex_);
    const auto found = std::find_if(suspects_.begin(), suspects_.end(),
                                    [&](const silent_suspect& known) { return known.id == id; });
    if (found == suspects_.end()) {
        return false;
    }
    if (verdict == silence_verdict::not_seen) {
        found->waiting.erase(host);
        return false;
    }
    count(counter::silent_cleared);
    suspects_.erase(found);
    return true;
}

auto silent_suspects::collect_silent(const std::vector<std::string>& hosts, time_ms at)
    -> std::vector<silent_suspect> {
    const auto lock = std::lock_guard(mutex_);
    auto silent = std::vector<silent_suspect>{};
    auto kept = std::vector<silent_suspect>{};
    for (auto& suspect : suspects_) {
        if (suspect.first_query.value == 0 || at - suspect.first_query < answer_timeout_ms) {
            kept.push_back(std::move(suspect));
            continue;
        }
        const auto is_unanswered = std::any_of(hosts.begin(), hosts.end(), [&](const std::string& host) {
            return suspect.waiting.count(host) != 0;
        });
        if (is_unanswered) {
            count(counter::silent_unconfirmed);
        } else {
            silent.push_back(std::move(suspect));
        }
    }
    suspects_ = std::move(kept);
    return silent;
}

}  // namespace agatepost
