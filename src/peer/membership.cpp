#include <algorithm>
#include <cmath>

#include "core/counter_func.h"
#include "core/history_func.h"
#include "core/log_func.h"
#include "flow/hash_func.h"
#include "peer/membership_base.h"

namespace agatepost {

namespace {

constexpr std::int64_t round_interval_ms = 250;
constexpr std::int64_t indirect_after_ms = 100;  // far above a round trip within a zone
constexpr std::int64_t suspicion_timeout_ms = 1000;
constexpr std::int64_t dead_retention_ms = 60000;  // longer than any update is retransmitted
constexpr std::int64_t process_pause_ms =
    1000;  // a longer gap between runs means that the process was paused
constexpr std::int64_t relay_timeout_ms = 1000;
constexpr std::int64_t mismatch_timeout_ms = 3000;  // longer than updates need to spread
constexpr std::int64_t sync_interval_ms = 5000;
constexpr std::int64_t notify_interval_ms = 100;
constexpr std::size_t updates_per_message = 6;
constexpr std::size_t indirect_peers = 2;
constexpr std::size_t announcement_peers = 5;
constexpr int leaving_rounds_limit = 4;
constexpr std::size_t contacts_per_zone = 3;
constexpr std::size_t records_per_repair = 36;
constexpr int contact_missed_pings_limit = 2;
constexpr std::uint64_t rounds_per_second = 4;

auto is_in_view(member_state state) -> bool {
    return state == member_state::live || state == member_state::suspect;
}

}  // namespace

auto to_text(member_state state) -> std::string_view {
    switch (state) {
        case member_state::live:
            return "live";
        case member_state::suspect:
            return "suspect";
        case member_state::leaving:
            return "leaving";
        case member_state::dead:
            return "dead";
    }
    return "unknown";
}

auto to_json(const member_update& update) -> nlohmann::json {
    auto document = nlohmann::json::array({update.host.name, update.host.zone, to_text(update.host.data),
                                           to_text(update.host.peer), update.host.incarnation,
                                           static_cast<int>(update.state)});
    if (update.host.admin) {
        document.push_back(to_text(*update.host.admin));
    }
    return document;
}

auto parse_member_update(const nlohmann::json& document) -> member_update {
    auto update = member_update{};
    update.host.name = document.at(0).get<std::string>();
    update.host.zone = document.at(1).get<std::string>();
    const auto data = parse_endpoint(document.at(2).get<std::string>());
    const auto peer = parse_endpoint(document.at(3).get<std::string>());
    const auto state = document.at(5).get<int>();
    if (!data || !peer || state < 0 || state > static_cast<int>(member_state::dead)) {
        throw nlohmann::json::other_error::create(501, "host record has an invalid address or state",
                                                  nullptr);
    }
    update.host.data = *data;
    update.host.peer = *peer;
    update.host.incarnation = document.at(4).get<std::uint64_t>();
    update.host.name_hash = stable_hash(update.host.name);
    if (document.size() > 6 && document.at(6).is_string()) {
        const auto admin = parse_endpoint(document.at(6).get<std::string>());
        if (admin) {
            update.host.admin = *admin;
        }
    }
    update.state = static_cast<member_state>(state);
    return update;
}

membership::membership(membership_options options, published<host_view>& view, send_function send)
    : options_(std::move(options)), view_(view), send_(std::move(send)), random_(options_.random_seed) {
    auto& self = options_.self;
    self.name_hash = stable_hash(self.name);
    if (self.incarnation == 0) {
        self.incarnation = static_cast<std::uint64_t>(wall_clock_ms());
    }
    for (const auto& seed : options_.seeds) {
        if (seed != self.peer) {
            addresses_.push_back(seed);
        }
    }
    publish();
}

auto membership::on_message(const endpoint& from, const nlohmann::json& message) -> void {
    const auto lock = std::lock_guard(mutex_);
    const auto at = now();
    const auto type = message.at("t").get<std::string>();
    const auto sender = parse_member_update(message.at("f"));
    if (sender.host.name == options_.self.name) {
        return;  // the host's own message, sent to a seed that is another address of this host
    }
    auto has_changed = apply(sender, at);
    for (const auto& document : message.value("u", nlohmann::json::array())) {
        has_changed = apply(parse_member_update(document), at) || has_changed;
    }
    if (has_changed) {
        publish();
    }
    update_from_sender(from, message, sender, at);
    const auto sequence = message.value("s", std::uint64_t{0});
    if (type == "ping") {
        const auto known = members_.find(sender.host.name);
        const auto* about = known == members_.end() ? nullptr : &known->second;
        send_with_updates(sender.host.peer, message_of("ack", sequence), about);
    } else if (type == "ping-req") {
        const auto target = parse_endpoint(message.at("to").get<std::string>());
        if (target) {
            relayed_pings_[++sequence_] = relayed_ping{sender.host.peer, sequence, at};
            send_ping(*target, sequence_, nullptr);
        }
    } else if (type == "sync") {
        send_records(sender.host.peer, message.value("all", false));
    }
}

auto membership::update_from_sender(const endpoint& from, const nlohmann::json& message,
                                    const member_update& sender, time_ms at) -> void {
    const auto type = message.at("t").get<std::string>();
    const auto sequence = message.value("s", std::uint64_t{0});
    if (type == "ack") {
        if (sequence == outstanding_.sequence) {
            outstanding_.is_answered = true;
        }
        const auto relayed = relayed_pings_.find(sequence);
        if (relayed != relayed_pings_.end()) {
            send_with_updates(relayed->second.requester, message_of("ack", relayed->second.sequence),
                              nullptr);
            relayed_pings_.erase(relayed);
        }
    }
    if (sender.host.zone != options_.self.zone) {
        return;
    }
    if (!is_joined_) {
        is_joined_ = true;
        auto request = message_of("sync", 0);
        request["all"] = true;
        send_(from, request);
    }
    compare_digest(from, message.value("h", std::uint64_t{0}), at);
    const auto known = members_.find(sender.host.name);
    if (known == members_.end() || type != "ack") {
        return;
    }
    // A host that answers although it is presumed dead gets that update, and refutes it with a higher
    // incarnation.
    auto& peer_member = known->second;
    if (!is_in_view(peer_member.state) && sender.state == member_state::live &&
        at - peer_member.last_notified > notify_interval_ms) {
        peer_member.last_notified = at;
        send_ping(peer_member.host.peer, ++sequence_, &peer_member);
    }
}

auto membership::compare_digest(const endpoint& from, std::uint64_t received, time_ms at) -> void {
    if (received == digest()) {
        mismatch_since_ = {};
        return;
    }
    if (mismatch_since_ == time_ms{}) {
        mismatch_since_ = at;
        return;
    }
    if (at - mismatch_since_ > mismatch_timeout_ms && at - last_sync_ > sync_interval_ms) {
        last_sync_ = at;
        send_(from, message_of("sync", 0));
    }
}

auto membership::run_due(time_ms at) -> void {
    const auto lock = std::lock_guard(mutex_);
    const auto gap = last_run_ == time_ms{} ? 0 : at - last_run_;
    last_run_ = at;
    if (gap > process_pause_ms) {
        resume_after_pause(at);
    }
    if (at - last_round_ >= round_interval_ms) {
        last_round_ = at;
        run_round(at);
    } else if (!outstanding_.is_answered && !outstanding_.is_indirect && outstanding_.sequence != 0 &&
               at - outstanding_.sent >= indirect_after_ms) {
        ping_indirectly();
    }
}

auto membership::resume_after_pause(time_ms at) -> void {
    write_log(log_event::host_resumed);
    record_history(history_kind::membership, {{"event", "resumed"}});
    outstanding_ = {};
    relayed_pings_.clear();
    // Restarts all suspicions: suspected hosts could not refute them while this process was paused.
    for (auto& [name, peer_member] : members_) {
        if (peer_member.state == member_state::suspect) {
            peer_member.since = at;
        }
    }
    raise_incarnation();
    for (const auto* peer_member : random_members(announcement_peers, "")) {
        send_ping(peer_member->host.peer, ++sequence_, peer_member);
    }
}

auto membership::run_round(time_ms at) -> void {
    ++rounds_;
    conclude_outstanding_ping(at);
    expire(at);
    ping_next_member(at);
    if (!is_joined_ || rounds_ % rounds_per_second == 0) {
        ping_rejoin_candidates();
    }
    if (rounds_ % rounds_per_second == 2) {
        ping_contact();
    }
    if (is_leaving_ && leaving_rounds_ < leaving_rounds_limit) {
        ++leaving_rounds_;
        send_leaving();
    }
}

auto membership::conclude_outstanding_ping(time_ms at) -> void {
    const auto unanswered = outstanding_.sequence != 0 && !outstanding_.is_answered;
    const auto found = members_.find(outstanding_.name);
    outstanding_ = {};
    if (!unanswered || found == members_.end()) {
        return;
    }
    auto& peer_member = found->second;
    if (peer_member.state == member_state::live) {
        count(counter::hosts_suspected);
        set_state(peer_member, member_state::suspect, at);
    } else if (peer_member.state == member_state::leaving && at - peer_member.since > suspicion_timeout_ms) {
        set_state(peer_member, member_state::dead, at);
    }
}

auto membership::expire(time_ms at) -> void {
    auto has_changed = false;
    for (auto i = members_.begin(); i != members_.end();) {
        auto& peer_member = i->second;
        if (peer_member.state == member_state::suspect && at - peer_member.since > suspicion_timeout_ms) {
            set_state(peer_member, member_state::dead, at);
            has_changed = true;
        }
        const auto is_forgotten =
            peer_member.state == member_state::dead && at - peer_member.since > dead_retention_ms;
        i = is_forgotten ? members_.erase(i) : std::next(i);
    }
    for (auto i = relayed_pings_.begin(); i != relayed_pings_.end();) {
        i = at - i->second.sent > relay_timeout_ms ? relayed_pings_.erase(i) : std::next(i);
    }
    if (has_changed) {
        publish();
    }
}

auto membership::ping_next_member(time_ms at) -> void {
    while (true) {
        if (ping_order_.empty()) {
            for (const auto& [name, peer_member] : members_) {
                if (peer_member.state != member_state::dead) {
                    ping_order_.push_back(name);
                }
            }
            if (ping_order_.empty()) {
                return;
            }
            std::shuffle(ping_order_.begin(), ping_order_.end(), random_);
        }
        const auto found = members_.find(ping_order_.back());
        ping_order_.pop_back();
        if (found == members_.end() || found->second.state == member_state::dead) {
            continue;
        }
        outstanding_ = outstanding_ping{++sequence_, found->first, at, false, false};
        send_ping(found->second.host.peer, outstanding_.sequence, &found->second);
        return;
    }
}

auto membership::ping_indirectly() -> void {
    outstanding_.is_indirect = true;
    const auto found = members_.find(outstanding_.name);
    if (found == members_.end()) {
        return;
    }
    for (const auto* helper : random_members(indirect_peers, outstanding_.name)) {
        if (helper->state == member_state::suspect) {
            continue;
        }
        auto request = message_of("ping-req", outstanding_.sequence);
        request["to"] = to_text(found->second.host.peer);
        send_with_updates(helper->host.peer, std::move(request), nullptr);
    }
}

// Pings a dead host, and a seed or an entry of the platform's list that is no known host. Hosts join in this
// way, and both sides of a healed partition find each other.
auto membership::ping_rejoin_candidates() -> void {
    auto dead = std::vector<const member*>{};
    for (const auto& [name, peer_member] : members_) {
        if (peer_member.state == member_state::dead) {
            dead.push_back(&peer_member);
        }
    }
    if (!dead.empty()) {
        const auto* chosen = dead[random_() % dead.size()];
        send_ping(chosen->host.peer, ++sequence_, chosen);
    }
    for (auto tries = std::size_t{0}; tries < addresses_.size(); ++tries) {
        const auto& address = addresses_[next_address_++ % addresses_.size()];
        const auto is_member = std::any_of(members_.begin(), members_.end(), [&](const auto& entry) {
            return entry.second.host.peer == address;
        });
        const auto is_contact =
            std::any_of(contacts_by_zone_.begin(), contacts_by_zone_.end(), [&](const auto& zone) {
                return std::any_of(zone.second.begin(), zone.second.end(),
                                   [&](const auto& entry) { return entry.second.host.peer == address; });
            });
        if (!is_member && !is_contact) {
            send_ping(address, ++sequence_, nullptr);
            return;
        }
    }
}

auto membership::ping_contact() -> void {
    auto known = std::vector<std::pair<std::string, std::string>>{};
    for (const auto& [zone, hosts] : contacts_by_zone_) {
        for (const auto& [name, entry] : hosts) {
            known.emplace_back(zone, name);
        }
    }
    if (known.empty()) {
        return;
    }
    const auto& [zone, name] = known[next_contact_++ % known.size()];
    auto& entry = contacts_by_zone_[zone][name];
    if (entry.missed_pings >= contact_missed_pings_limit) {
        contacts_by_zone_[zone].erase(name);
        return;
    }
    ++entry.missed_pings;
    send_ping(entry.host.peer, ++sequence_, nullptr);
}

auto membership::announce_leaving() -> void {
    const auto lock = std::lock_guard(mutex_);
    is_leaving_ = true;
    enqueue(self_update());
    publish();
    send_leaving();
}

auto membership::send_leaving() -> void {
    for (const auto* peer_member : random_members(announcement_peers, "")) {
        send_ping(peer_member->host.peer, ++sequence_, nullptr);
    }
}

auto membership::add_platform_hosts(const std::vector<platform_host>& hosts) -> void {
    const auto lock = std::lock_guard(mutex_);
    addresses_.clear();
    for (const auto& seed : options_.seeds) {
        if (seed != options_.self.peer) {
            addresses_.push_back(seed);
        }
    }
    // A few addresses of each other zone are enough and keep the list short.
    auto others = std::map<std::string, std::size_t>{};
    for (const auto& host : hosts) {
        const auto is_candidate = host.zone == options_.self.zone || others[host.zone]++ < contacts_per_zone;
        if (!host.is_leaving && host.name != options_.self.name && is_candidate) {
            addresses_.push_back(host.peer);
        }
    }
    std::shuffle(addresses_.begin(), addresses_.end(), random_);
}

auto membership::contacts() const -> std::vector<host_record> {
    const auto lock = std::lock_guard(mutex_);
    auto known = std::vector<host_record>{};
    for (const auto& [zone, hosts] : contacts_by_zone_) {
        for (const auto& [name, entry] : hosts) {
            known.push_back(entry.host);
        }
    }
    return known;
}

auto membership::records() const -> std::vector<member_update> {
    const auto lock = std::lock_guard(mutex_);
    auto all = std::vector<member_update>{self_update()};
    for (const auto& [name, peer_member] : members_) {
        all.push_back(member_update{peer_member.host, peer_member.state});
    }
    std::sort(all.begin(), all.end(),
              [](const member_update& a, const member_update& b) { return a.host.name < b.host.name; });
    return all;
}

auto membership::find(const std::string& name) const -> std::optional<host_record> {
    const auto lock = std::lock_guard(mutex_);
    const auto found = members_.find(name);
    if (found != members_.end()) {
        return found->second.host;
    }
    for (const auto& [zone, hosts] : contacts_by_zone_) {
        const auto entry = hosts.find(name);
        if (entry != hosts.end()) {
            return entry->second.host;
        }
    }
    return std::nullopt;
}

auto membership::has_met_peers() const -> bool {
    const auto lock = std::lock_guard(mutex_);
    return is_joined_ || !contacts_by_zone_.empty();
}

auto membership::apply(const member_update& update, time_ms at) -> bool {
    if (update.host.name == options_.self.name) {
        apply_about_self(update);
        return false;
    }
    if (update.host.zone != options_.self.zone) {
        apply_contact(update);
        return false;
    }
    const auto found = members_.find(update.host.name);
    if (found == members_.end()) {
        if (update.state == member_state::dead) {
            return false;
        }
        members_[update.host.name] = member{update.host, update.state, at, {}};
        const auto* event = is_in_view(update.state) ? "joined" : "leaving";
        record_history(history_kind::membership, {{"event", event}, {"name", update.host.name}});
        ping_order_.insert(
            ping_order_.begin() + static_cast<std::ptrdiff_t>(random_() % (ping_order_.size() + 1)),
            update.host.name);
        enqueue(update);
        return is_in_view(update.state);
    }
    auto& peer_member = found->second;
    const auto is_newer =
        update.host.incarnation > peer_member.host.incarnation ||
        (update.host.incarnation == peer_member.host.incarnation && update.state > peer_member.state);
    if (!is_newer) {
        return false;
    }
    const auto before = peer_member.host;
    const auto state_before = peer_member.state;
    peer_member.host = update.host;
    set_state(peer_member, update.state, at);
    return is_in_view(state_before) != is_in_view(peer_member.state) ||
           (is_in_view(peer_member.state) && before != peer_member.host);
}

auto membership::apply_about_self(const member_update& update) -> void {
    const auto own_state = is_leaving_ ? member_state::leaving : member_state::live;
    const auto must_refute = update.host.incarnation > options_.self.incarnation ||
                             (update.host.incarnation == options_.self.incarnation &&
                              update.state != own_state && update.state != member_state::live);
    if (must_refute) {
        options_.self.incarnation = std::max(options_.self.incarnation, update.host.incarnation);
        raise_incarnation();
    }
}

auto membership::raise_incarnation() -> void {
    ++options_.self.incarnation;
    enqueue(self_update());
    publish();
}

auto membership::apply_contact(const member_update& update) -> void {
    auto& hosts = contacts_by_zone_[update.host.zone];
    const auto found = hosts.find(update.host.name);
    if (update.state != member_state::live) {
        if (found != hosts.end() && update.host.incarnation >= found->second.host.incarnation) {
            hosts.erase(found);
        }
    } else if (found != hosts.end()) {
        if (update.host.incarnation >= found->second.host.incarnation) {
            found->second = contact{update.host, 0};
        }
    } else if (hosts.size() < contacts_per_zone) {
        hosts[update.host.name] = contact{update.host, 0};
    }
}

auto membership::set_state(member& peer_member, member_state state, time_ms at) -> void {
    if (state == member_state::dead && peer_member.state != member_state::dead) {
        count(counter::hosts_died);
        write_log(log_event::host_died, {{"dead", peer_member.host.name}});
        record_history(history_kind::membership, {{"event", "died"}, {"name", peer_member.host.name}});
    } else if (state == member_state::leaving && peer_member.state != member_state::leaving) {
        record_history(history_kind::membership, {{"event", "leaving"}, {"name", peer_member.host.name}});
    } else if (is_in_view(state) && !is_in_view(peer_member.state)) {
        record_history(history_kind::membership, {{"event", "joined"}, {"name", peer_member.host.name}});
    }
    peer_member.state = state;
    peer_member.since = at;
    enqueue(member_update{peer_member.host, state});
}

auto membership::enqueue(const member_update& update) -> void {
    updates_.erase(std::remove_if(updates_.begin(), updates_.end(),
                                  [&](const queued_update& queued) {
                                      return queued.update.host.name == update.host.name;
                                  }),
                   updates_.end());
    updates_.push_front(queued_update{update, 0});
}

auto membership::publish() -> void {
    auto next = std::make_shared<host_view>();
    next->version = view_.load()->version + 1;
    next->self = options_.self.name;
    for (const auto& [name, peer_member] : members_) {
        if (is_in_view(peer_member.state)) {
            next->hosts.push_back(peer_member.host);
        } else {
            next->departed.push_back(peer_member.host.data);
        }
    }
    if (!is_leaving_) {
        next->hosts.push_back(options_.self);
    }
    std::sort(next->hosts.begin(), next->hosts.end(),
              [](const host_record& a, const host_record& b) { return a.name < b.name; });
    view_.store(std::move(next));
}

auto membership::digest() const -> std::uint64_t {
    auto sum = is_leaving_ ? 0 : mix(options_.self.name_hash, options_.self.incarnation);
    for (const auto& [name, peer_member] : members_) {
        if (is_in_view(peer_member.state)) {
            sum ^= mix(peer_member.host.name_hash, peer_member.host.incarnation);
        }
    }
    return sum;
}

auto membership::self_update() const -> member_update {
    return {options_.self, is_leaving_ ? member_state::leaving : member_state::live};
}

auto membership::own_zone_size() const -> std::size_t {
    return members_.size() + 1;
}

auto membership::message_of(std::string_view type, std::uint64_t sequence) const -> nlohmann::json {
    return {{"t", std::string(type)}, {"s", sequence}, {"f", to_json(self_update())}, {"h", digest()}};
}

// Adds the updates that were sent least often. Each is sent a number of times proportional to the logarithm
// of the zone's size, which reaches all hosts with high probability.
auto membership::send_with_updates(const endpoint& to, nlohmann::json message, const member* about) -> void {
    auto carried = nlohmann::json::array();
    if (about != nullptr && about->state != member_state::live) {
        carried.push_back(to_json(member_update{about->host, about->state}));
    }
    const auto limit = 3 * static_cast<int>(std::ceil(std::log2(static_cast<double>(own_zone_size()) + 1)));
    std::stable_sort(updates_.begin(), updates_.end(),
                     [](const queued_update& a, const queued_update& b) { return a.sent < b.sent; });
    for (auto& queued : updates_) {
        if (carried.size() >= updates_per_message) {
            break;
        }
        carried.push_back(to_json(queued.update));
        ++queued.sent;
    }
    while (!updates_.empty() && updates_.back().sent >= limit) {
        updates_.pop_back();
    }
    if (!carried.empty()) {
        message["u"] = std::move(carried);
    }
    send_(to, message);
}

auto membership::send_ping(const endpoint& to, std::uint64_t sequence, const member* about) -> void {
    send_with_updates(to, message_of("ping", sequence), about);
}

auto membership::send_records(const endpoint& to, bool is_complete) -> void {
    auto records = std::vector<member_update>{};
    for (const auto& [name, peer_member] : members_) {
        records.push_back(member_update{peer_member.host, peer_member.state});
    }
    std::shuffle(records.begin(), records.end(), random_);
    if (!is_complete && records.size() > records_per_repair) {
        records.resize(records_per_repair);
    }
    for (const auto& [zone, hosts] : contacts_by_zone_) {
        for (const auto& [name, entry] : hosts) {
            records.push_back(member_update{entry.host, member_state::live});
        }
    }
    for (auto i = std::size_t{0}; i < records.size(); i += updates_per_message) {
        auto message = message_of("records", 0);
        auto& carried = message["u"] = nlohmann::json::array();
        for (auto j = i; j < std::min(records.size(), i + updates_per_message); ++j) {
            carried.push_back(to_json(records[j]));
        }
        send_(to, message);
    }
}

auto membership::random_members(std::size_t count, const std::string& except) -> std::vector<const member*> {
    auto eligible = std::vector<const member*>{};
    for (const auto& [name, peer_member] : members_) {
        if (is_in_view(peer_member.state) && name != except) {
            eligible.push_back(&peer_member);
        }
    }
    std::shuffle(eligible.begin(), eligible.end(), random_);
    eligible.resize(std::min(count, eligible.size()));
    return eligible;
}

}  // namespace agatepost
