#include "host/forward_messages_func.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <nlohmann/json.hpp>
#include <set>

#include "core/counter_func.h"
#include "core/history_func.h"
#include "core/log_func.h"
#include "flow/hash_func.h"
#include "host/forward_func.h"
#include "net/byte_order_func.h"
#include "peer/host_view_func.h"

namespace agatepost {

namespace {

using nlohmann::json;
using bytes = std::vector<std::uint8_t>;

constexpr std::string_view counts_type = "flow-counts";
constexpr std::string_view owner_counts_type = "flow-owner-counts";
constexpr std::string_view activity_type = "flow-activity";
constexpr std::string_view exceptions_type = "flow-exceptions";
constexpr std::string_view query_type = "silent-query";
constexpr std::string_view answer_type = "silent-answer";

constexpr auto timer_interval = std::chrono::milliseconds(10);
constexpr std::int64_t message_interval_ms = 250;
// One counts message covers this many indexes of at most 11 bytes each, below the 1200 bytes of a datagram.
constexpr std::size_t indexes_per_message = 64;
constexpr std::size_t owner_counts_per_datagram = 90;
// 16 queries of 21 bytes to 4 hosts every 250 ms are 5.4 KB/s, sent only while flows are under suspicion.
constexpr std::size_t queries_per_interval = 16;
// 20 notices of 17 bytes every 250 ms are 1.4 KB/s.
constexpr std::size_t activities_per_interval = 20;
// 50 exceptions of 9 bytes every 250 ms are 1.8 KB/s.
constexpr std::size_t exceptions_per_interval = 50;
constexpr std::size_t exceptions_per_message = 256;
constexpr std::size_t exception_queue_limit = 4096;
// For this long, a host that lost the role of chooser handles packets relayed by hosts with an older view.
constexpr std::int64_t lost_role_grace_ms = 2000;
constexpr std::int64_t silent_log_interval_ms = 1000;

// How the receiver of a counts message uses it.
enum class counts_use {
    keep = 0,     // stored in case the sender dies
    replace = 1,  // the sender gave up the role of chooser
    add = 2,      // the sender placed some flows although it is not the chooser
};

auto append_id(bytes& out, const flow_id& id) -> void {
    const auto at = out.size();
    out.resize(at + 16);
    store_u32(&out[at], static_cast<std::uint32_t>(id.high >> 32U));
    store_u32(&out[at + 4], static_cast<std::uint32_t>(id.high));
    store_u32(&out[at + 8], static_cast<std::uint32_t>(id.low >> 32U));
    store_u32(&out[at + 12], static_cast<std::uint32_t>(id.low));
}

auto load_id(const std::uint8_t* p) -> flow_id {
    return {load_u64(p), load_u64(p + 8)};
}

// Returns a binary field whose size is a multiple of `item`, or nullptr.
auto binary_field(const json& body, const char* field, std::size_t item) -> const bytes* {
    const auto found = body.find(field);
    if (found == body.end() || !found->is_binary() || found->get_binary().size() % item != 0) {
        return nullptr;
    }
    return &found->get_binary();
}

auto text_field(const json& body, const char* field) -> std::string {
    const auto found = body.find(field);
    return found != body.end() && found->is_string() ? found->get<std::string>() : std::string();
}

auto number_field(const json& body, const char* field) -> std::int64_t {
    const auto found = body.find(field);
    return found != body.end() && found->is_number_integer() ? found->get<std::int64_t>() : -1;
}

// Reads [index, slots, connections, ...].
auto counts_field(const json& body, const char* field, indexed_counts& out) -> bool {
    constexpr std::int64_t count_max = 100000000;
    const auto found = body.find(field);
    if (found == body.end() || !found->is_array() || found->size() % 3 != 0) {
        return false;
    }
    const auto is_valid = std::all_of(found->begin(), found->end(), [](const json& value) {
        return value.is_number_integer() && value.get<std::int64_t>() >= 0 &&
               value.get<std::int64_t>() <= count_max;
    });
    if (!is_valid) {
        return false;
    }
    for (auto i = std::size_t{0}; i < found->size(); i += 3) {
        const auto index = (*found)[i].get<std::int64_t>();
        if (index < 1 || index > 255) {
            return false;
        }
        out.emplace_back(
            static_cast<std::uint8_t>(index),
            target_counts{(*found)[i + 1].get<std::uint32_t>(), (*found)[i + 2].get<std::uint32_t>()});
    }
    return true;
}

auto append_counts(json& list, std::uint8_t index, const target_counts& held) -> void {
    list.push_back(index);
    list.push_back(held.slots_busy);
    list.push_back(held.connections);
}

auto count_rejected() -> void {
    count(counter::flow_messages_rejected);
}

auto find_host(const host_view& view, const std::string& name) -> const host_record* {
    const auto found = std::find_if(view.hosts.begin(), view.hosts.end(),
                                    [&](const host_record& host) { return host.name == name; });
    return found == view.hosts.end() ? nullptr : &*found;
}

auto other_hosts(const host_view& view) -> std::vector<std::string> {
    auto names = std::vector<std::string>{};
    for (const auto& host : view.hosts) {
        if (host.name != view.self) {
            names.push_back(host.name);
        }
    }
    return names;
}

// Returns the highest-ranked host for a pool that is not this one.
auto next_chooser(const host_view& view, const std::string& pool) -> const host_record* {
    const auto* first = host_of_rank(view, stable_hash(pool), 0);
    return first != nullptr && first->name == view.self ? host_of_rank(view, stable_hash(pool), 1) : first;
}

auto next_owner(const host_view& view, const bucket_table& buckets, const flow_id& id) -> const host_record* {
    const auto* owner = buckets.owner(id);
    return owner != nullptr && owner->name == view.self ? buckets.second_ranked(id) : owner;
}

auto counts_of_range(const pool_counts& counts, std::size_t begin) -> json {
    auto list = json::array();
    for (auto i = std::max<std::size_t>(1, begin); i < begin + indexes_per_message; ++i) {
        if (counts[i].slots_busy != 0 || counts[i].connections != 0) {
            append_counts(list, static_cast<std::uint8_t>(i), counts[i]);
        }
    }
    return list;
}

auto send_counts(const host_record& to, const std::string& pool, const pool_counts& counts, counts_use use,
                 const peer_channel& channel) -> void {
    for (auto begin = std::size_t{0}; begin < counts.size();) {
        const auto list = counts_of_range(counts, begin);
        // Empty ranges are merged into the one before, so that the receiver clears exactly what a message
        // covers.
        auto end = begin + indexes_per_message;
        while (end < counts.size() && counts_of_range(counts, end).empty()) {
            end += indexes_per_message;
        }
        const auto body =
            json{{"p", pool}, {"b", begin}, {"e", end}, {"u", static_cast<int>(use)}, {"c", list}};
        if (use == counts_use::keep) {
            channel.send(to, counts_type, body);
        } else {
            channel.send_reliable(to, counts_type, body);
        }
        begin = end;
    }
}

auto on_counts(host_state& host, const json& body) -> void {
    const auto pool = text_field(body, "p");
    const auto begin = number_field(body, "b");
    const auto end = number_field(body, "e");
    const auto use = number_field(body, "u");
    auto list = indexed_counts{};
    const auto config = host.config.load();
    // Unknown pools are rejected, so that the table of received counts cannot grow without limit.
    if (begin < 0 || end <= begin || end > 256 || use < 0 || use > 2 || !counts_field(body, "c", list) ||
        pool_position(*config, pool) < 0) {
        count_rejected();
        return;
    }
    const auto at = now();
    const auto chooser = host.flows.choosers.find(pool);
    if (use == static_cast<int>(counts_use::add)) {
        if (chooser != nullptr) {
            chooser->add_inherited(list);
        }
        return;
    }
    const auto lock = std::lock_guard(host.flows.received_mutex);
    auto& stored = host.flows.received[pool];
    // Replaces only what the message covers: this host may become the chooser between two parts.
    std::fill(stored.counts.begin() + begin, stored.counts.begin() + end, target_counts{});
    for (const auto& [index, held] : list) {
        stored.counts[index] = held;
    }
    stored.at = at;
    if (use == static_cast<int>(counts_use::replace) && chooser != nullptr) {
        chooser->inherit(stored.counts, static_cast<std::size_t>(begin), static_cast<std::size_t>(end));
    }
}

auto on_owner_counts(host_state& host, const std::string& sender, const json& body) -> void {
    auto list = indexed_counts{};
    if (!counts_field(body, "c", list)) {
        count_rejected();
        return;
    }
    if (const auto chooser = host.flows.choosers.find(text_field(body, "p"))) {
        chooser->set_owner_counts(sender, list, now());
    }
}

auto on_activity(host_state& host, const json& body) -> void {
    constexpr std::size_t item = 17;
    const auto* items = binary_field(body, "e", item);
    if (items == nullptr) {
        count_rejected();
        return;
    }
    const auto chooser = host.flows.choosers.find(text_field(body, "p"));
    const auto profile_name = text_field(body, "r");
    for (auto i = std::size_t{0}; chooser != nullptr && i < items->size(); i += item) {
        chooser->touch(load_id(&(*items)[i]), (*items)[i + 16], profile_name, now());
    }
}

auto on_exceptions(host_state& host, const json& body) -> void {
    constexpr std::size_t item = 9;
    const auto* items = binary_field(body, "e", item);
    if (items == nullptr) {
        count_rejected();
        return;
    }
    for (auto i = std::size_t{0}; i < items->size(); i += item) {
        host.flows.owned.learn({load_u64(&(*items)[i]), (*items)[i + 8]}, now());
    }
}

auto on_query(host_state& host, const peer_channel& channel, const std::string& sender, const json& body)
    -> void {
    constexpr std::size_t item = 21;
    const auto* items = binary_field(body, "q", item);
    if (items == nullptr) {
        count_rejected();
        return;
    }
    const auto view = host.view.load();
    const auto* requester = find_host(*view, sender);
    if (requester == nullptr) {
        return;
    }
    const auto chooser = host.flows.choosers.find(text_field(body, "p"));
    auto answers = bytes{};
    for (auto i = std::size_t{0}; i < items->size(); i += item) {
        const auto* one = &(*items)[i];
        const auto id = load_id(one);
        auto verdict = silence_verdict::not_seen;
        if (host.flows.notes.has_answer_within(id, load_u32(one + 17), now())) {
            verdict = silence_verdict::seen;
        } else if (chooser != nullptr && !chooser->answers_syns(one[16], now())) {
            verdict = silence_verdict::target_down;
        }
        append_id(answers, id);
        answers.push_back(static_cast<std::uint8_t>(verdict));
    }
    channel.send(*requester, answer_type, json{{"a", json::binary(answers)}});
}

auto on_answer(host_state& host, const std::string& sender, const json& body) -> void {
    constexpr std::size_t item = 17;
    const auto* items = binary_field(body, "a", item);
    if (items == nullptr) {
        count_rejected();
        return;
    }
    for (auto i = std::size_t{0}; i < items->size(); i += item) {
        const auto id = load_id(&(*items)[i]);
        const auto verdict = (*items)[i + 16];
        if (verdict > static_cast<std::uint8_t>(silence_verdict::target_down)) {
            count_rejected();
            continue;
        }
        if (host.flows.suspects.answer(id, sender, static_cast<silence_verdict>(verdict))) {
            host.flows.notes.clear_unanswered(id);
        }
    }
}

// State of the timer thread.
struct timer_state {
    std::map<std::string, time_ms> lost_roles;  // pools of which this host ceased to be the chooser, and when
    std::set<std::string> own_roles;            // pools this host is the chooser of
    std::uint64_t roles_view_version = 0;       // view and configuration of the last update of roles
    std::uint64_t roles_config_revision = 0;
    std::uint64_t exceptions_view_version = 0;  // view and configuration of the last search
    std::uint64_t exceptions_config_revision = 0;
    std::size_t exceptions_shard = 0;                               // next shard to search
    std::size_t exceptions_left = 0;                                // number of shards still to search
    std::deque<std::pair<std::string, flow_exception>> exceptions;  // to send, with the receiver's name
    time_ms last_silent_log;
};

auto context_of(host_state& host, const snapshot& config, const host_view& view, time_ms at)
    -> forward_context {
    return forward_context{&config, &view, host.placement, host.flows.zone, &host.flows, at};
}

// Queues the packets of a sink for sending by the workers.
auto queue_for_workers(host_state& host, const packet_sink& sink) -> void {
    for (const auto& packet : sink.packets()) {
        const auto is_queued = host.flows.outgoing.push(
            pending_packet{bytes(packet.inner, packet.inner + packet.size), packet.relay, packet.host});
        if (!is_queued) {
            count(counter::drop_send_failed);
        }
    }
}

auto retry_syns(host_state& host, const forward_context& context) -> void {
    auto sink = packet_sink{};
    for (const auto& [pool, chooser] : host.flows.choosers.all()) {
        for (const auto& retry : chooser->expire(context.at)) {
            forward_syn_retry(context, retry, sink);
        }
    }
    queue_for_workers(host, sink);
}

// Starts the choosers of all pools for which this host ranks first.
auto start_own_choosers(host_state& host, const forward_context& context, timer_state& state) -> void {
    for (auto i = std::size_t{0}; i < context.config->pools.size(); ++i) {
        const auto& pool = context.config->pools[i].name;
        const auto* first = host_of_rank(*context.view, stable_hash(pool), 0);
        if (first == nullptr || first->name != context.view->self) {
            continue;
        }
        if (state.own_roles.insert(pool).second) {
            write_log(log_event::chooser_started, {{"pool", pool}});
            record_history(history_kind::host, {{"event", "chooser started"}, {"pool", pool}});
        }
        chooser_of(host.flows, *context.config, static_cast<std::uint32_t>(i), context.at);
    }
}

auto record_handover(const std::string& pool, const std::string& to) -> void {
    write_log(log_event::chooser_handed_over, {{"pool", pool}, {"to", to}});
    record_history(history_kind::host, {{"event", "chooser handed over"}, {"pool", pool}, {"to", to}});
}

// Starts and hands over choosers according to the view. All pools are checked only after a change of the view
// or configuration. A chooser without the role exists only if a host with an older view relayed to this one.
auto update_roles(host_state& host, const peer_channel& channel, const forward_context& context,
                  timer_state& state) -> void {
    const auto& view = *context.view;
    if (view.hosts.empty()) {
        return;
    }
    if (view.version != state.roles_view_version || context.config->revision != state.roles_config_revision) {
        state.roles_view_version = view.version;
        state.roles_config_revision = context.config->revision;
        start_own_choosers(host, context, state);
    }
    for (const auto& [pool, chooser] : host.flows.choosers.all()) {
        const auto* first = host_of_rank(view, stable_hash(pool), 0);
        if (first->name == view.self) {
            state.lost_roles.erase(pool);
            state.own_roles.insert(pool);
            continue;
        }
        const auto [lost, is_new] = state.lost_roles.emplace(pool, context.at);
        if (is_new && state.own_roles.erase(pool) != 0) {
            send_counts(*first, pool, chooser->counts(), counts_use::replace, channel);
            record_handover(pool, first->name);
            host.flows.choosers.remove(pool);
            state.lost_roles.erase(lost);
        } else if (context.at - lost->second >= lost_role_grace_ms) {
            send_counts(*first, pool, chooser->own_counts(), counts_use::add, channel);
            host.flows.choosers.remove(pool);
            state.lost_roles.erase(lost);
        }
    }
}

auto send_pool_counts(host_state& host, const peer_channel& channel, const forward_context& context) -> void {
    const auto& view = *context.view;
    for (const auto& [pool, chooser] : host.flows.choosers.all()) {
        const auto* first = host_of_rank(view, stable_hash(pool), 0);
        const auto* second = host_of_rank(view, stable_hash(pool), 1);
        if (first != nullptr && second != nullptr && first->name == view.self) {
            send_counts(*second, pool, chooser->counts(), counts_use::keep, channel);
        }
    }
}

auto send_owner_counts(host_state& host, const peer_channel& channel, const forward_context& context)
    -> void {
    const auto& view = *context.view;
    for (const auto& pool : context.config->pools) {
        const auto held = host.flows.owned.counts(pool.name);
        if (held.empty()) {
            continue;  // the chooser drops earlier counts by their age
        }
        const auto* chooser = host_of_rank(view, stable_hash(pool.name), 0);
        if (chooser == nullptr || chooser->name == view.self) {
            if (const auto own = host.flows.choosers.find(pool.name)) {
                own->set_owner_counts(view.self, held, context.at);
            }
            continue;
        }
        auto list = json::array();
        for (const auto& [index, counts] : held) {
            append_counts(list, index, counts);
        }
        const auto body = json{{"p", pool.name}, {"c", list}};
        if (held.size() <= owner_counts_per_datagram) {
            channel.send(*chooser, owner_counts_type, body);
        } else {
            channel.send_reliable(*chooser, owner_counts_type, body);
        }
    }
}

auto send_activities(host_state& host, const peer_channel& channel, const forward_context& context) -> void {
    auto by_group = std::map<std::pair<std::string, std::string>, std::vector<flow_activity>>{};
    for (auto& one : host.flows.activities.take(activities_per_interval)) {
        by_group[{one.pool, one.profile_name}].push_back(one);
    }
    for (const auto& [group, activities] : by_group) {
        const auto* chooser = host_of_rank(*context.view, stable_hash(group.first), 0);
        auto items = bytes{};
        for (const auto& one : activities) {
            if (chooser == nullptr || chooser->name == context.view->self) {
                if (const auto own = host.flows.choosers.find(group.first)) {
                    own->touch(one.id, one.index, group.second, context.at);
                }
                continue;
            }
            append_id(items, one.id);
            items.push_back(one.index);
        }
        if (!items.empty()) {
            channel.send(*chooser, activity_type,
                         json{{"p", group.first}, {"r", group.second}, {"e", json::binary(items)}});
        }
    }
}

// Queues the exceptions of one shard with their receivers: the owner if it is another host, else the bucket's
// second-ranked host. Exceptions stored for flows of other owners are sent only to a new owner.
auto search_shard(host_state& host, const forward_context& context, std::size_t shard, timer_state& state)
    -> void {
    const auto& view = *context.view;
    const auto buckets = host.flows.buckets.of_view(view, context.at);
    auto pools = absl::flat_hash_map<std::uint32_t, const snapshot_pool*>{};
    for (const auto& pool : context.config->pools) {
        pools.emplace(static_cast<std::uint32_t>(stable_hash(pool.name)), &pool);
    }
    for (const auto& flow : host.flows.owned.flows_of_shard(shard)) {
        const auto pool = pools.find(flow.pool_hash);
        const auto* picked =
            pool == pools.end() ? nullptr : pure_pick(*pool->second, host.flows.zone, flow.id);
        const auto* to = next_owner(view, *buckets, flow.id);
        if (to != nullptr && (picked == nullptr || picked->index != flow.target)) {
            state.exceptions.emplace_back(to->name, flow_exception{flow.id.high, flow.target});
        }
    }
    for (const auto& stored : host.flows.owned.exceptions_of_shard(shard)) {
        const auto* owner = buckets->owner(flow_id{stored.id_high, 0});
        if (owner != nullptr && owner->name != view.self) {
            state.exceptions.emplace_back(owner->name, stored);
        }
    }
}

auto add_new_exceptions(host_state& host, const forward_context& context, timer_state& state) -> void {
    const auto buckets = host.flows.buckets.of_view(*context.view, context.at);
    for (const auto& id : host.flows.new_exceptions.take(exceptions_per_message)) {
        const auto index = host.flows.owned.peek(id);
        const auto* to = next_owner(*context.view, *buckets, id);
        if (index != 0 && to != nullptr) {
            state.exceptions.emplace_back(to->name, flow_exception{id.high, index});
        }
    }
}

// Sends up to `limit` exceptions of the queue, grouped by receiver.
auto send_exceptions(const peer_channel& channel, const host_view& view, std::size_t limit,
                     timer_state& state) -> void {
    auto by_host = std::map<std::string, bytes>{};
    const auto flush = [&](const std::string& name, bytes& items) {
        if (const auto* to = find_host(view, name)) {
            channel.send_reliable(*to, exceptions_type, json{{"e", json::binary(items)}});
            count(counter::flow_exceptions_sent, items.size() / 9);
        }
        items.clear();
    };
    for (auto sent = std::size_t{0}; sent < limit && !state.exceptions.empty(); ++sent) {
        const auto& [name, one] = state.exceptions.front();
        auto& items = by_host[name];
        const auto at = items.size();
        items.resize(at + 9);
        store_u64(&items[at], one.id_high);
        items[at + 8] = one.target;
        if (items.size() >= exceptions_per_message * 9) {
            flush(name, items);
        }
        state.exceptions.pop_front();
    }
    for (auto& [name, items] : by_host) {
        if (!items.empty()) {
            flush(name, items);
        }
    }
    if (!state.exceptions.empty()) {
        count(counter::flow_exceptions_deferred);
    }
}

// Searches one shard at a time after each change of the view or configuration. A new search continues from
// the last shard, so that frequent changes do not restart it at the first ones. It pauses while the queue is
// full.
auto search_exceptions(host_state& host, const forward_context& context, timer_state& state) -> void {
    if (context.view->version != state.exceptions_view_version) {
        state.exceptions.clear();  // receivers may have changed
    }
    if (context.view->version != state.exceptions_view_version ||
        context.config->revision != state.exceptions_config_revision) {
        state.exceptions_view_version = context.view->version;
        state.exceptions_config_revision = context.config->revision;
        state.exceptions_left = flow_table::shard_total;
    }
    if (state.exceptions_left > 0 && state.exceptions.size() < exception_queue_limit) {
        search_shard(host, context, state.exceptions_shard, state);
        state.exceptions_shard = (state.exceptions_shard + 1) % flow_table::shard_total;
        --state.exceptions_left;
    }
}

auto send_silent_queries(host_state& host, const peer_channel& channel, const forward_context& context)
    -> void {
    const auto names = other_hosts(*context.view);
    auto by_pool = std::map<std::string, std::vector<silent_suspect>>{};
    for (auto& suspect : host.flows.suspects.collect_queries(names, queries_per_interval, context.at)) {
        by_pool[suspect.pool].push_back(std::move(suspect));
    }
    for (const auto& [pool, suspects] : by_pool) {
        for (const auto& name : names) {
            auto items = bytes{};
            for (const auto& suspect : suspects) {
                if (suspect.waiting.count(name) == 0) {
                    continue;
                }
                append_id(items, suspect.id);
                items.push_back(suspect.index);
                const auto at = items.size();
                items.resize(at + 4);
                store_u32(&items[at], static_cast<std::uint32_t>(context.at - suspect.since));
            }
            const auto* to = find_host(*context.view, name);
            if (!items.empty() && to != nullptr) {
                channel.send(*to, query_type, json{{"p", pool}, {"q", json::binary(items)}});
            }
        }
    }
}

auto reset_silent_flows(host_state& host, const forward_context& context, timer_state& state) -> void {
    auto sink = packet_sink{};
    for (const auto& suspect : host.flows.suspects.collect_silent(other_hosts(*context.view), context.at)) {
        host.flows.notes.clear_unanswered(suspect.id);
        const auto chooser = host.flows.choosers.find(suspect.pool);
        const auto is_answered =
            host.flows.notes.has_answer_within(suspect.id, context.at - suspect.since, context.at);
        if (is_answered || (chooser != nullptr && !chooser->answers_syns(suspect.index, context.at))) {
            count(counter::silent_cleared);
            continue;
        }
        count(counter::silent_reset);
        reset_silent_flow(context, suspect, sink);
        if (context.at - state.last_silent_log >= silent_log_interval_ms) {
            state.last_silent_log = context.at;
            write_log(log_event::silent_flow_reset,
                      {{"client", to_text(suspect.key.client)},
                       {"service", to_text(suspect.key.service)},
                       {"target", to_text(suspect.target)},
                       {"silent_ms", std::to_string(context.at - suspect.since)}});
        }
    }
    queue_for_workers(host, sink);
}

auto run_timers(host_state& host, const peer_channel& channel) -> void {
    auto state = timer_state{};
    auto next_message = now();
    auto next_expiry = now();
    while (!host.is_done) {
        const auto config = host.config.load();
        const auto view = host.view.load();
        const auto context = context_of(host, *config, *view, now());
        if (host.placement->carries_target) {
            retry_syns(host, context);
            search_exceptions(host, context, state);
            if (context.at >= next_expiry) {
                constexpr std::int64_t expiry_interval_ms = 100;
                next_expiry = context.at + expiry_interval_ms;
                host.flows.owned.expire(context.at);
                update_roles(host, channel, context, state);
            }
            if (context.at >= next_message) {
                next_message = context.at + message_interval_ms;
                send_pool_counts(host, channel, context);
                send_owner_counts(host, channel, context);
                send_activities(host, channel, context);
                add_new_exceptions(host, context, state);
                send_exceptions(channel, *view, exceptions_per_interval, state);
                send_silent_queries(host, channel, context);
                reset_silent_flows(host, context, state);
            }
        }
        std::this_thread::sleep_for(timer_interval);
    }
}

}  // namespace

auto register_flow_messages(host_state& host, const peer_channel& channel) -> void {
    channel.subscribe(counts_type, [&](const std::string&, const json& body) { on_counts(host, body); });
    channel.subscribe(owner_counts_type, [&](const std::string& sender, const json& body) {
        on_owner_counts(host, sender, body);
    });
    channel.subscribe(activity_type, [&](const std::string&, const json& body) { on_activity(host, body); });
    channel.subscribe(exceptions_type,
                      [&](const std::string&, const json& body) { on_exceptions(host, body); });
    channel.subscribe(query_type, [&](const std::string& sender, const json& body) {
        on_query(host, channel, sender, body);
    });
    channel.subscribe(answer_type,
                      [&](const std::string& sender, const json& body) { on_answer(host, sender, body); });
}

auto start_flow_timers(host_state& host, const peer_channel& channel) -> std::thread {
    return std::thread([&host, &channel] { run_timers(host, channel); });
}

auto hand_over_flows(host_state& host, const peer_channel& channel) -> void {
    const auto config = host.config.load();
    const auto view = host.view.load();
    const auto context = context_of(host, *config, *view, now());
    for (const auto& [pool, chooser] : host.flows.choosers.all()) {
        if (const auto* next = next_chooser(*view, pool)) {
            send_counts(*next, pool, chooser->counts(), counts_use::replace, channel);
            record_handover(pool, next->name);
        }
    }
    auto state = timer_state{};
    for (auto shard = std::size_t{0}; shard < flow_table::shard_total; ++shard) {
        search_shard(host, context, shard, state);
    }
    send_exceptions(channel, *view, state.exceptions.size(), state);
}

}  // namespace agatepost
