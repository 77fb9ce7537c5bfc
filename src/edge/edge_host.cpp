#include "edge/edge_host_base.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <string>

#include "core/counter_func.h"
#include "core/log_batch_base.h"
#include "core/log_func.h"
#include "core/metrics_func.h"
#include "edge/cold_start_func.h"
#include "edge/edge_log_func.h"
#include "edge/event_loop_base.h"
#include "edge/forwarding_base.h"
#include "edge/http_base.h"
#include "edge/liveness_query_func.h"
#include "edge/packet_io_base.h"
#include "edge/peer_changes_func.h"
#include "edge/peer_group_base.h"
#include "edge/store_era_func.h"
#include "edge/store_follower_base.h"
#include "edge/store_watch_func.h"
#include "edge/suspicion_func.h"
#include "edge/zone_load_func.h"
#include "edge/zone_overflow_func.h"

namespace agatepost::edge {

namespace {

// The routers check readiness twice a second and remove a host from the rotation after two failures.
constexpr std::int64_t rotation_exit_ms = 1200;
constexpr std::int64_t idle_before_stop_ms = 200;  // without packets for this long a stopping host is unused
constexpr std::int64_t stop_reserve_ms = 1500;     // reserve before the platform kills the process

constexpr std::int64_t expiry_interval_ms = 500;
constexpr std::int64_t startup_expire_interval_ms = 50;  // during the startup grace period
constexpr std::int64_t log_interval_ms = 100;
constexpr std::int64_t pause_threshold_ms = 1000;
constexpr std::int64_t sync_timeout_ms = 1000;

// A host that watches the store itself reads changes from another host only if its watch lags for this long.
constexpr std::int64_t watch_lag_ms = 500;

// A starting host waits this long for the listing of the store before it reads all items from a host of
// another zone, which is priced by the byte. A slow store takes 240 ms for an answer.
constexpr std::int64_t first_listing_ms = 300;

// Packets that arrive before routes and targets are known wait in the socket for up to this time. A client
// retransmits with growing pauses, so a packet dropped at the start costs it up to 1.6 s. A listing takes
// some 10 ms, and 0.7 s when 118 hosts start at once and share the store's link.
constexpr std::int64_t max_packet_hold_ms = 1500;

// Interval of evaluating peer reports without new heartbeats; a new one is evaluated at once.
constexpr std::int64_t peer_check_ms = 50;

// Zone loads in heartbeats that waited in the socket during a pause are older than they say. After a pause
// they are ignored for this long, in which all of them are read.
constexpr std::int64_t load_pause_ms = 100;

// In a large fleet, one heartbeat in this number also goes to the seeds, so that parts of the fleet that lost
// contact find each other again.
constexpr unsigned seed_interval_heartbeats = 25;

// A heartbeat names up to 16 hosts and reports loads only in zones of few hosts.
constexpr std::size_t max_heartbeat_bytes = 16384;

// Maximum number of packet batches handled before other sockets and timers.
constexpr auto batches_per_event = 4;

constexpr unsigned status_ok = 200;
constexpr unsigned status_not_found = 404;
constexpr unsigned status_unavailable = 503;

volatile std::sig_atomic_t stop_requested = 0;
volatile std::sig_atomic_t reload_requested = 0;

auto address_number(const ip_address& address) -> std::uint32_t {
    return (static_cast<std::uint32_t>(address.bytes[0]) << 24U) |
           (static_cast<std::uint32_t>(address.bytes[1]) << 16U) |
           (static_cast<std::uint32_t>(address.bytes[2]) << 8U) | address.bytes[3];
}

auto to_address(std::uint32_t number) -> ip_address {
    auto address = ip_address{};
    for (auto i = 0U; i < 4; ++i) {
        address.bytes[i] = static_cast<std::uint8_t>(number >> (24U - 8U * i));
    }
    return address;
}

auto install_signal_handlers() -> void {
    std::signal(SIGTERM, [](int) { stop_requested = 1; });
    std::signal(SIGINT, [](int) { stop_requested = 1; });
    std::signal(SIGHUP, [](int) { reload_requested = 1; });
    std::signal(SIGPIPE, SIG_IGN);
}

// State and event handlers of a running host.
class edge_host {
public:
    edge_host(event_loop loop, const platform_plugin& platform, edge_settings settings, packet_io packets,
              packet_io peers)
        : loop_(std::move(loop)),
          platform_(platform),
          settings_(std::move(settings)),
          packets_(std::move(packets)),
          peer_packets_(std::move(peers)),
          log_(STDOUT_FILENO),
          ready_server_(loop_, [this](std::string_view target) { return answer_ready(target); }),
          sync_server_(loop_, [this](std::string_view target) { return answer_sync(target); }),
          metrics_server_(loop_, [this](std::string_view target) { return answer_metrics(target); }),
          timing_(make_watch_timing(settings_.change_bound_ms)),
          follower_(loop_, state_.known,
                    {settings_.store_address, timing_.wait_ms, platform_.era_header,
                     settings_.registration_interval_ms},
                    make_follower_events(), state_.random),
          sync_client_(loop_) {
        state_.known.platform = &platform_;
        state_.known.cold = settings_.cold;
        state_.zone = settings_.zone;
        state_.overflow.is_enabled = settings_.is_zone_overflow_allowed && settings_.zones.size() >= 2;
        group_.own_address = address_number(settings_.data_address.address);
        group_.zone = settings_.zone;
        // Each host needs its own random sequence.
        state_.random.seed(group_.own_address ^ static_cast<std::uint32_t>(wall_clock_ms()));
        instance_ = static_cast<std::uint32_t>(state_.random());
    }

    auto open() -> result<void>;
    auto run(const settings_reader& read_settings) -> void;

private:
    auto make_follower_events() -> follower_events;
    auto observe_time() -> time_ms;
    auto handle_packets() -> bool;
    auto handle_client_packet(packet_buffer& buffer, time_ms at, std::int64_t view_age) -> void;
    auto forward(packet_buffer& buffer, const packet_verdict& verdict) -> void;
    auto send_reset(const client_packet& packet) -> void;
    auto queue_syn(const syn_resend& resend, std::size_t slot) -> void;
    auto send_syn_retries(time_ms at) -> void;
    auto send_waited_syns(const std::vector<waited_opening>& waited) -> void;
    auto handle_silent_targets(time_ms at) -> void;
    auto reset_flows_of_dead_targets(time_ms at) -> void;
    auto handle_peer_messages() -> void;
    auto handle_heartbeat(std::string_view bytes, std::uint32_t sender, time_ms at) -> void;
    auto handle_liveness_message(const liveness_message& message, std::uint32_t sender, time_ms at) -> void;
    auto send_to_peers(const std::string& bytes, const std::vector<std::uint32_t>& receivers) -> void;
    auto query_liveness(time_ms at) -> void;
    auto send_heartbeats(time_ms at) -> void;
    auto add_seeds(std::vector<std::uint32_t>& receivers, time_ms at) -> void;
    auto report_loads(time_ms at) -> void;
    auto send_heartbeat_to(const std::vector<std::uint32_t>& receivers, time_ms at, bool may_report = false)
        -> std::size_t;
    auto record_zone_loads(std::uint32_t from, const std::string& zone, const zone_report& report, time_ms at)
        -> void;
    auto update_zone_loads(time_ms at) -> void;
    auto make_heartbeat(time_ms at) -> heartbeat;
    auto evaluate_peer_reports(time_ms at) -> void;
    auto update_assignment(time_ms at) -> void;
    auto update_cold_assignment(time_ms at) -> void;
    auto sync_with_peers(time_ms at) -> void;
    auto take_changes(std::uint32_t peer, store_position asked, store_position reported,
                      const result<http_answer>& answer) -> void;
    auto log_era(const era_change& change, std::string_view source) -> void;
    auto log_invalid_era(const error& fault, time_ms at) -> void;
    auto choose_role(time_ms at) -> void;
    auto expire(time_ms at) -> void;
    auto reload(const settings_reader& read_settings) -> void;
    auto log_ready() -> void;
    auto update_reach(time_ms at) -> void;
    auto start_reading_packets(time_ms at) -> void;
    // Whether the arrival and loss of hosts of a zone are logged. In a large fleet, heartbeats from other
    // zones arrive at random.
    auto logs_peers_of(const std::string& zone) const -> bool {
        return zone == settings_.zone || !is_large_fleet(group_);
    }
    auto is_ready() const -> bool { return can_place(state_.known) && !is_stopping_ && !was_cut_off_; }
    auto own_view_age_ms(time_ms at) const -> std::int64_t {
        return view_age_ms(group_, follower_.view_age_ms(at), at);
    }
    auto run_due_tasks(time_ms at) -> void;
    auto next_deadline(time_ms at) const -> time_ms;
    auto may_stop(time_ms at) const -> bool;
    auto finish_packets(time_ms at) -> void;
    auto answer_ready(std::string_view target) -> http_answer;
    auto answer_sync(std::string_view target) -> http_answer;
    auto answer_metrics(std::string_view target) -> http_answer;

    event_loop loop_;
    const platform_plugin& platform_;
    edge_settings settings_;
    packet_io packets_;
    packet_io peer_packets_;
    log_batch log_;
    forwarding_state state_;
    peer_group group_;
    http_server ready_server_;
    http_server sync_server_;
    http_server metrics_server_;
    watch_timing timing_;
    store_follower follower_;
    http_client sync_client_;
    std::vector<std::array<std::uint8_t, bare_packet_bytes>> resets_;
    std::vector<std::array<std::uint8_t, forward_prefix_bytes + bare_packet_bytes>> syn_buffers_;
    bool is_stopping_ = false;
    bool was_ready_ = false;
    bool was_cut_off_ = false;
    bool reads_packets_ = false;
    bool has_delayed_packets_ = false;  // packets in the socket waited while the process was paused
    bool loads_changed_ = false;
    std::size_t load_report_peers_ = 0;  // other hosts of the zone that loads are reported to
    bool has_new_reports_ = false;       // from other hosts, not evaluated yet
    time_ms next_peer_check_;
    std::vector<std::uint32_t> assignment_hosts_;  // other hosts that the targets of the zone are assigned to
    store_position assignment_position_;
    std::vector<liveness_query> queries_;
    // Other hosts that cold targets are assigned to; nothing: this host sends them no SYNs.
    std::optional<std::vector<cold_zone_host>> cold_hosts_;
    store_position cold_position_;
    time_ms cold_known_since_;  // start of this host, or end of its last pause
    std::vector<char> heartbeat_buffer_ = std::vector<char>(max_heartbeat_bytes);
    time_ms next_load_report_;
    zone_load_exchange zone_exchange_;
    std::set<std::string> known_zones_;  // other zones of which a load is known
    time_ms next_zone_report_;
    time_ms next_zone_update_;
    time_ms ignores_loads_until_;  // after a pause
    std::uint32_t instance_ = 0;   // random number of this instance
    time_ms started_;
    time_ms stop_began_;
    time_ms last_packet_;
    time_ms last_observed_;
    time_ms next_heartbeat_;
    time_ms next_expiry_;
    time_ms next_log_;
    time_ms behind_since_;
    time_ms next_era_line_;
    bool is_behind_ = false;
};

auto edge_host::make_follower_events() -> follower_events {
    auto events = follower_events{};
    events.on_item = [this](const store_item& item, const item_outcome& outcome) {
        log_item(item, outcome, state_.known);
    };
    events.on_target_gone = [this](const std::string& key) { log_unlisted(key, state_.known); };
    events.on_store_lost = [](const error& fault) {
        count(counter::edge_store_failures);
        write_log(log_event::store_lost, {{"fault", to_text(fault)}});
    };
    events.on_listing_needed = [](std::string_view reason) {
        write_log(log_event::store_listed_again, {{"reason", std::string(reason)}});
    };
    events.on_store_regained = [](std::int64_t away_ms) {
        write_log(log_event::store_regained, {{"away_ms", std::to_string(away_ms)}});
    };
    events.on_era = [this](const era_change& change) { log_era(change, "store"); };
    events.on_era_invalid = [this](const error& fault) { log_invalid_era(fault, boot_now()); };
    // Reports the new revision, or the end of a takeover, to other hosts at once.
    events.on_news = [this] { next_heartbeat_ = time_ms{}; };
    return events;
}

auto edge_host::open() -> result<void> {
    auto watched = loop_.add(peer_packets_.fd(), EPOLLIN, [this](std::uint32_t) { handle_peer_messages(); })
                       .and_then([this] { return ready_server_.listen(settings_.ready_address); })
                       .and_then([this] { return sync_server_.listen(settings_.sync_address); })
                       .and_then([this] { return metrics_server_.listen(settings_.metrics_address); });
    return watched;
}

// Returns the time, and records a pause of the process since the last call. The packet handler calls this
// first, since sockets are usually ready at the end of a pause.
auto edge_host::observe_time() -> time_ms {
    const auto at = boot_now();
    if (at - last_observed_ > pause_threshold_ms) {
        write_log(log_event::edge_resumed, {{"ms", std::to_string(at - last_observed_)}});
        record_pause(state_, at);
        cold_known_since_ = at;
        update_cold_assignment(at);
        has_delayed_packets_ = reads_packets_;
        ignores_loads_until_ = at + load_pause_ms;
        group_.reports_delayed_until = at + load_pause_ms;
    }
    last_observed_ = at;
    return at;
}

// Returns whether all packets that had arrived are handled.
auto edge_host::handle_packets() -> bool {
    const auto at = observe_time();
    const auto age = own_view_age_ms(at);
    for (auto turn = 0; turn < batches_per_event; ++turn) {
        const auto got = packets_.read();
        for (auto i = std::size_t{0}; i < got; ++i) {
            handle_client_packet(packets_.buffer(i), at, age);
        }
        loads_changed_ = loads_changed_ || got != 0;
        packets_.send_all();
        resets_.clear();
        handle_silent_targets(at);
        if (got < packet_batch) {
            has_delayed_packets_ = false;
            return true;
        }
    }
    return false;
}

auto edge_host::handle_client_packet(packet_buffer& buffer, time_ms at, std::int64_t view_age) -> void {
    count(counter::edge_packets);
    const auto packet = platform_.read_packet(buffer.packet(), buffer.size);
    if (!packet) {
        count(counter::edge_malformed);
        return;
    }
    last_packet_ = at;
    auto context = packet_context{view_age < timing_.current_ms, has_delayed_packets_, {}};
    if (packet->is_syn && buffer.size == bare_packet_bytes) {
        std::copy_n(buffer.packet(), bare_packet_bytes, context.syn_bytes.begin());
    }
    const auto verdict = handle_packet(state_, *packet, context, at);
    count_verdict(verdict);
    if (verdict.is_logged) {
        log_verdict(state_, *packet, verdict, view_age);
    }
    if (verdict.action == packet_action::forward) {
        forward(buffer, verdict);
    } else if (verdict.action == packet_action::reset) {
        send_reset(*packet);
    }
}

auto edge_host::forward(packet_buffer& buffer, const packet_verdict& verdict) -> void {
    const auto& record = state_.known.targets[verdict.target];
    const auto& target = record.entry;
    platform_.write_prefix(buffer.bytes.data(), target.tag);
    if (verdict.writes_carrier) {
        platform_.write_carrier(buffer.packet(), record.opening_carrier);
    }
    packets_.queue(buffer.bytes.data(), forward_prefix_bytes + buffer.size, target.address, target.port);
}

auto edge_host::send_reset(const client_packet& packet) -> void {
    resets_.reserve(packet_batch);  // queued bytes must not move
    auto& bytes = resets_.emplace_back();
    platform_.write_reset(bytes.data(), packet, !packet.is_syn);
    packets_.queue(bytes.data(), bytes.size(), packet.flow.client_address, settings_.data_address.port);
}

// Writes a SYN for its target into one of `syn_buffers_`, and queues it.
auto edge_host::queue_syn(const syn_resend& resend, std::size_t slot) -> void {
    const auto& record = state_.known.targets[resend.target];
    const auto& target = record.entry;
    auto& bytes = syn_buffers_[slot];
    platform_.write_prefix(bytes.data(), target.tag);
    std::copy(resend.packet.begin(), resend.packet.end(), bytes.begin() + forward_prefix_bytes);
    platform_.write_carrier(bytes.data() + forward_prefix_bytes, record.opening_carrier);
    packets_.queue(bytes.data(), bytes.size(), target.address, target.port);
}

// Sends the SYNs whose wait has ended to their targets, and resets those without a free target.
auto edge_host::send_waited_syns(const std::vector<waited_opening>& waited) -> void {
    syn_buffers_.resize(waited.size());
    for (auto i = std::size_t{0}; i < waited.size(); ++i) {
        const auto action = action_after_wait(waited[i].reason);
        count_verdict({action, waited[i].reason, 0, false, true});
        log_waited_syn(state_, waited[i]);
        if (action == packet_action::forward) {
            queue_syn(waited[i].opening, i);
        }
        if (action != packet_action::reset) {
            continue;
        }
        auto packet = client_packet{};
        packet.flow = waited[i].opening.flow;
        packet.is_syn = true;
        send_reset(packet);
        if (resets_.size() == packet_batch) {
            packets_.send_all();
            resets_.clear();
        }
    }
    if (!waited.empty()) {
        packets_.send_all();
        resets_.clear();
        loads_changed_ = true;
    }
}

auto edge_host::send_syn_retries(time_ms at) -> void {
    if (state_.pending.empty() || at < state_.pending.front().deadline) {
        return;
    }
    if (!handle_packets()) {
        return;  // the answers may still be in the socket
    }
    const auto retries = collect_syn_retries(state_, at);
    if (retries.empty()) {
        return;
    }
    syn_buffers_.resize(retries.size());
    for (auto i = std::size_t{0}; i < retries.size(); ++i) {
        queue_syn(retries[i], i);
        count(counter::edge_open_retried);
        log_syn_resend(state_, retries[i]);
    }
    packets_.send_all();
}

auto edge_host::handle_silent_targets(time_ms at) -> void {
    for (const auto index : state_.suspected_targets) {
        log_suspect(state_.known.targets[index], at);
    }
    for (const auto index : state_.presumed_dead_targets) {
        log_presumed_dead(state_.known.targets[index]);
    }
    for (const auto index : state_.unresponsive_targets) {
        begin_liveness_query(queries_, state_.known, index, at);
    }
    for (const auto index : state_.cold_limited_targets) {
        log_cold_limited(state_.known, state_.known.targets[index], at);
    }
    state_.cold_limited_targets.clear();
    state_.suspected_targets.clear();
    state_.presumed_dead_targets.clear();
    state_.unresponsive_targets.clear();
    if (!state_.flows_to_reset.empty()) {
        reset_flows_of_dead_targets(at);
    }
}

// Resets the flows of targets presumed dead, so that their clients need not wait for a retransmission.
auto edge_host::reset_flows_of_dead_targets(time_ms at) -> void {
    const auto verdict = packet_verdict{packet_action::reset, packet_reason::target_dead, 0, false, true};
    for (const auto& dead : state_.flows_to_reset) {
        auto packet = client_packet{};
        packet.flow = dead.flow;
        packet.acknowledgement = dead.acknowledgement;
        count_verdict(verdict);
        log_verdict(state_, packet, verdict, own_view_age_ms(at));
        send_reset(packet);
        if (resets_.size() == packet_batch) {
            packets_.send_all();
            resets_.clear();
        }
    }
    packets_.send_all();
    resets_.clear();
    state_.flows_to_reset.clear();
}

auto edge_host::handle_peer_messages() -> void {
    const auto at = observe_time();
    auto from = sockaddr_in{};
    for (auto i = std::size_t{0}; i < packet_batch; ++i) {
        auto length = socklen_t{sizeof(from)};
        const auto got = recvfrom(peer_packets_.fd(), heartbeat_buffer_.data(), heartbeat_buffer_.size(),
                                  MSG_DONTWAIT, reinterpret_cast<sockaddr*>(&from), &length);
        if (got <= 0) {
            return;
        }
        const auto bytes = std::string_view(heartbeat_buffer_.data(), static_cast<std::size_t>(got));
        const auto sender = ntohl(from.sin_addr.s_addr);
        if (const auto message = decode_liveness_message(bytes)) {
            handle_liveness_message(*message, sender, at);
        } else {
            handle_heartbeat(bytes, sender, at);
        }
    }
}

auto edge_host::handle_heartbeat(std::string_view bytes, std::uint32_t sender, time_ms at) -> void {
    has_new_reports_ = true;
    auto beat = decode_heartbeat(bytes);
    if (!beat) {
        count(counter::edge_malformed);
        return;
    }
    state_.reach.last_peer_heard = at;
    const auto zone = beat->zone;
    if (beat->zones && sender != group_.own_address && !is_overtaken(group_, sender, *beat)) {
        record_zone_loads(sender, zone, *beat->zones, at);
    }
    if (record_heartbeat(group_, state_.known, sender, std::move(*beat), at)) {
        if (logs_peers_of(zone)) {
            write_log(log_event::peer_alive, {{"peer", address_text(sender)}, {"peer_zone", zone}});
        }
        send_heartbeat_to({sender}, at);  // announces this host to it at once
    }
}

auto edge_host::handle_liveness_message(const liveness_message& message, std::uint32_t sender, time_ms at)
    -> void {
    if (!message.asked.empty()) {
        send_to_peers(encode_liveness_message(answer_question(state_.known, message, at)), {sender});
        return;
    }
    const auto alive = record_liveness_answer(queries_, state_.known, sender, message, at);
    count(counter::edge_liveness_alive, alive);
}

// Asks the other hosts about unresponsive targets, and resets the flows of those that no host finds alive.
auto edge_host::query_liveness(time_ms at) -> void {
    if (queries_.empty()) {
        return;
    }
    const auto question = unsent_question(queries_, state_.known);
    if (!question.asked.empty() && !is_large_fleet(group_)) {
        count(counter::edge_liveness_queries, question.asked.size());
        send_to_peers(encode_liveness_message(question), heartbeat_receivers(group_, at, state_.random));
    }
    for (const auto index : collect_dead_targets(queries_, state_.known, group_, at)) {
        presume_dead(state_, index, at);
    }
    handle_silent_targets(at);
}

auto edge_host::record_zone_loads(std::uint32_t from, const std::string& zone, const zone_report& report,
                                  time_ms at) -> void {
    if (at < ignores_loads_until_) {
        return;
    }
    const auto outcome = record_report(zone_exchange_, state_.loads, settings_.zone, from, zone, report, at);
    count(counter::edge_zone_loads_taken, outcome.taken);
    count(counter::edge_zone_loads_older, outcome.older);
    count(counter::edge_zone_loads_full, outcome.full);
}

// Updates the load of the own zone and deletes loads that are too old, at most every peer_check_ms.
auto edge_host::update_zone_loads(time_ms at) -> void {
    if (at < next_zone_update_) {
        return;
    }
    next_zone_update_ = at + peer_check_ms;
    expire_loads(zone_exchange_, state_.loads, at);
    if (needs_zone_loads(state_.known)) {
        update_own_zone(zone_exchange_, state_.loads, settings_.zone, count_own_requests(state_),
                        zone_members(group_, at), at);
    } else {
        zone_exchange_.hosts.clear();
    }
    auto zones = other_zones(state_.loads, settings_.zone);
    if (zones != known_zones_) {
        known_zones_ = std::move(zones);
        write_log(log_event::zone_loads_changed, {{"known", absl::StrJoin(known_zones_, ",")}});
    }
}

auto edge_host::make_heartbeat(time_ms at) -> heartbeat {
    auto beat = heartbeat{};
    beat.zone = settings_.zone;
    beat.boot = instance_;
    beat.uptime_ms = at - started_;
    const auto position = position_of(state_.known);
    beat.era = position.era;
    beat.revision = position.revision;
    beat.store_age_ms = zone_view_age_ms(group_, follower_.view_age_ms(at), at);
    beat.view_age_ms = own_view_age_ms(at);
    beat.is_leaving = is_stopping_;
    beat.peers = named_peers(group_, at, state_.random);
    if (zone_peers(group_, at).size() <= max_load_report_peers) {
        beat.loads = own_loads(state_.known);
    }
    return beat;
}

auto edge_host::send_heartbeats(time_ms at) -> void {
    if (at < next_heartbeat_) {
        return;
    }
    next_heartbeat_ = at + heartbeat_ms;
    auto receivers = heartbeat_receivers(group_, at, state_.random);
    add_seeds(receivers, at);
    const auto bytes = send_heartbeat_to(receivers, at, true);
    loads_changed_ = false;
    const auto in_zone = zone_peers(group_, at).size();
    load_report_peers_ = in_zone <= max_load_report_peers ? in_zone : 0;
    next_load_report_ = at + load_interval_ms(load_report_peers_, bytes);
}

// Adds the seeds that are not known to be alive.
auto edge_host::add_seeds(std::vector<std::uint32_t>& receivers, time_ms at) -> void {
    if (is_large_fleet(group_) && state_.random() % seed_interval_heartbeats != 0) {
        return;
    }
    for (const auto& seed : settings_.seeds) {
        const auto address = address_number(seed.address);
        const auto found = group_.peers.find(address);
        const auto is_known = found != group_.peers.end() && is_alive(found->second, at);
        if (!is_known && std::find(receivers.begin(), receivers.end(), address) == receivers.end()) {
            receivers.push_back(address);
        }
    }
}

// Reports changed loads to the hosts of the zone, at most once per interval.
auto edge_host::report_loads(time_ms at) -> void {
    if (!loads_changed_ || load_report_peers_ == 0 || at < next_load_report_) {
        return;
    }
    const auto in_zone = zone_peers(group_, at);
    const auto bytes = send_heartbeat_to(in_zone, at);
    loads_changed_ = false;
    next_load_report_ = at + load_interval_ms(in_zone.size(), bytes);
}

// With `may_report`, the message contains the zone loads if they are due. Returns the size of the message
// without them; 0 without receivers.
auto edge_host::send_heartbeat_to(const std::vector<std::uint32_t>& receivers, time_ms at, bool may_report)
    -> std::size_t {
    if (receivers.empty()) {
        return 0;
    }
    auto beat = make_heartbeat(at);
    auto bytes = encode_heartbeat(beat);
    const auto bytes_without_loads = bytes.size();
    if (may_report && at >= next_zone_report_ && needs_zone_loads(state_.known)) {
        next_zone_update_ = at;
        update_zone_loads(at);
        next_zone_report_ =
            at + add_report(beat, zone_exchange_, state_.loads, count_own_requests(state_),
                            is_large_fleet(group_) ? large_fleet_receivers : receivers.size(), at);
        bytes = encode_heartbeat(beat);
    }
    send_to_peers(bytes, receivers);
    return bytes_without_loads;
}

auto edge_host::send_to_peers(const std::string& bytes, const std::vector<std::uint32_t>& receivers) -> void {
    for (const auto address : receivers) {
        peer_packets_.queue(reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size(), address,
                            settings_.peer_address.port);
    }
    peer_packets_.send_all();
}

// Evaluates the reports of other hosts after new heartbeats, and every peer_check_ms.
auto edge_host::evaluate_peer_reports(time_ms at) -> void {
    sync_client_.on_timer(at);
    if (!has_new_reports_ && at < next_peer_check_) {
        return;
    }
    has_new_reports_ = false;
    next_peer_check_ = at + peer_check_ms;
    choose_role(at);
    sync_with_peers(at);
    update_assignment(at);
    update_cold_assignment(at);
    update_zone_loads(at);
}

// Assigns the targets of the zone to its hosts again when its hosts or targets have changed.
auto edge_host::update_assignment(time_ms at) -> void {
    auto hosts = zone_members(group_, at);
    if (hosts.size() < min_assignment_peers) {
        hosts.clear();
    }
    if (hosts == assignment_hosts_ && assignment_position_ == position_of(state_.known)) {
        return;
    }
    assignment_position_ = position_of(state_.known);
    assignment_hosts_ = std::move(hosts);
    assign_targets(state_.known, settings_.zone, group_.own_address, assignment_hosts_);
}

// Assigns cold targets of the zone to its hosts again when its hosts or targets have changed.
auto edge_host::update_cold_assignment(time_ms at) -> void {
    if (!settings_.cold) {
        return;
    }
    // A stopping host sends none, so that another may take over a second after the stop was announced.
    auto hosts = is_stopping_
                     ? std::nullopt
                     : find_cold_zone_hosts(group_, !settings_.seeds.empty(), at - cold_known_since_, at);
    if (hosts == cold_hosts_ && cold_position_ == position_of(state_.known)) {
        return;
    }
    cold_position_ = position_of(state_.known);
    cold_hosts_ = std::move(hosts);
    assign_cold_targets(state_.known, settings_.zone, group_.own_address, cold_hosts_);
}

auto edge_host::choose_role(time_ms at) -> void {
    // Until it has a complete listing, each host reads the store itself.
    record_confirmations(group_, position_of(state_.known), at);
    const auto watches = !state_.known.is_complete ||
                         should_watch(group_, timing_, follower_.is_enabled(), follower_.view_age_ms(at), at);
    if (watches != follower_.is_enabled()) {
        follower_.enable(watches, at);
        write_log(log_event::store_watch_role, {{"watches", watches ? "yes" : "no"},
                                                {"view_age_ms", std::to_string(own_view_age_ms(at))}});
    }
}

auto edge_host::sync_with_peers(time_ms at) -> void {
    if (sync_client_.is_busy()) {
        return;
    }
    const auto own = position_of(state_.known);
    const auto peer = newest_peer(group_, own, at);
    if (!peer) {
        is_behind_ = false;
        return;
    }
    const auto is_in_zone = group_.peers.at(*peer).last.zone == settings_.zone;
    if (!state_.known.is_complete && !is_in_zone && !follower_.is_lost() &&
        at - started_ < first_listing_ms) {
        return;
    }
    if (!is_behind_) {
        is_behind_ = true;
        behind_since_ = at;
    }
    if (follower_.is_enabled() && state_.known.is_complete && at - behind_since_ < watch_lag_ms) {
        return;
    }
    const auto server = endpoint{to_address(*peer), settings_.sync_address.port};
    const auto reported = position_of(group_.peers.at(*peer).last);
    sync_client_.call(server, encode_changes_request(own), at + sync_timeout_ms,
                      [this, peer = *peer, own, reported](const result<http_answer>& answer) {
                          take_changes(peer, own, reported, answer);
                      });
}

auto edge_host::take_changes(std::uint32_t peer, store_position asked, store_position reported,
                             const result<http_answer>& answer) -> void {
    const auto at = boot_now();
    is_behind_ = false;
    const auto changes =
        answer ? decode_changes(answer->body) : result<peer_changes>(tl::unexpected<error>(answer.error()));
    if (!changes || position_of(*changes) < reported) {
        avoid_peer(group_, peer, at);
        write_log(log_event::peer_read_failed,
                  {{"peer", address_text(peer)},
                   {"told", std::to_string(reported.revision)},
                   {"told_era", std::to_string(reported.era)},
                   {"fault", changes ? "sent revision " + std::to_string(changes->revision)
                                     : to_text(changes.error())}});
    }
    if (!changes || changes->revision == 0) {
        return;
    }
    count(changes->is_whole ? counter::edge_peer_copies : counter::edge_peer_increments);
    const auto applied = apply_changes(state_.known, *changes, asked, at);
    if (applied.outcome == changes_outcome::unusable) {
        count(counter::edge_peer_unusable);
    }
    for (const auto& [item, outcome] : applied.items) {
        log_item(item, outcome, state_.known);
    }
    for (const auto& key : applied.unlisted) {
        log_unlisted(key, state_.known);
    }
    if (applied.era) {
        log_era(*applied.era, "host");
    }
    if (applied.is_restarted) {
        follower_.restart(at);
    }
    has_new_reports_ = true;  // the peer may have more by now
    if (is_large_fleet(group_)) {
        next_heartbeat_ = at;  // reports the new position
    }
}

auto edge_host::log_era(const era_change& change, std::string_view source) -> void {
    const auto text = [](const era_counts& counts) {
        return absl::StrCat("kept ", counts.kept, ", replaced ", counts.replaced, ", dropped ",
                            counts.dropped);
    };
    count(counter::edge_eras);
    write_log(log_event::store_era_changed, {{"from_era", std::to_string(change.from.era)},
                                             {"to_era", std::to_string(change.to.era)},
                                             {"from_revision", std::to_string(change.from.revision)},
                                             {"to_revision", std::to_string(change.to.revision)},
                                             {"source", std::string(source)},
                                             {"targets", text(change.targets)},
                                             {"configurations", text(change.configurations)},
                                             {"evacuations", text(change.evacuations)}});
}

// Counts each answer without a valid era, and logs one a minute.
auto edge_host::log_invalid_era(const error& fault, time_ms at) -> void {
    constexpr std::int64_t interval_ms = 60000;
    count(counter::edge_era_invalid);
    if (at >= next_era_line_) {
        next_era_line_ = at + interval_ms;
        write_log(log_event::store_era_invalid, {{"fault", to_text(fault)}});
    }
}

auto edge_host::expire(time_ms at) -> void {
    if (at < next_expiry_) {
        return;
    }
    next_expiry_ =
        at + (at < state_.known.startup_grace_until ? startup_expire_interval_ms : expiry_interval_ms);
    const auto idle = state_.known.idle_timeout_ms > 0 ? state_.known.idle_timeout_ms : settings_.max_flow_ms;
    expire_flows(state_, idle, at);
    for (const auto& name : expire_targets(state_.known, settings_.max_flow_ms, at)) {
        write_log(log_event::target_gone,
                  {{"target", name}, {"reason", "not back after the store's outage"}});
    }
    for (const auto address : expire_peers(group_, state_.known, at)) {
        const auto found = group_.peers.find(address);
        if (found != group_.peers.end() && logs_peers_of(found->second.last.zone)) {
            write_log(log_event::peer_silent, {{"peer", address_text(address)}});
        }
    }
    for (const auto& zone : settle_evacuations(state_.known, at)) {
        const auto is_evacuated = state_.known.evacuated_zones.count(zone) != 0;
        write_log(is_evacuated ? log_event::zone_evacuation_started : log_event::zone_evacuation_ended,
                  {{"evacuated_zone", zone}, {"revision", std::to_string(state_.known.revision)}});
    }
    update_all_overflows(state_, at);
    ready_server_.on_timer(at);
    sync_server_.on_timer(at);
    metrics_server_.on_timer(at);
}

auto edge_host::reload(const settings_reader& read_settings) -> void {
    reload_requested = 0;
    auto read = read_settings();
    if (!read) {
        write_log(log_event::edge_settings_reread, {{"fault", to_text(read.error())}});
        return;
    }
    const auto seeds_changed = read->seeds != settings_.seeds;
    settings_.seeds = read->seeds;
    const auto others_changed = !(*read == settings_);
    write_log(log_event::edge_settings_reread,
              {{"seeds", seeds_changed ? "changed and in use" : "unchanged"},
               {"others", others_changed ? "changed, need a restart" : "unchanged"}});
}

auto edge_host::log_ready() -> void {
    if (is_ready() && !was_ready_) {
        was_ready_ = true;
        write_log(log_event::edge_ready, {{"version", std::to_string(state_.known.configuration_version)},
                                          {"revision", std::to_string(state_.known.revision)},
                                          {"targets", std::to_string(state_.known.by_name.size())}});
    }
}

auto edge_host::update_reach(time_ms at) -> void {
    const auto is_cut = is_cut_off(state_.reach, at);
    if (is_cut != was_cut_off_) {
        was_cut_off_ = is_cut;
        write_log(is_cut ? log_event::targets_out_of_reach : log_event::targets_in_reach,
                  {{"silent_openings", std::to_string(state_.reach.timed_out_syns)}});
    }
}

auto edge_host::start_reading_packets(time_ms at) -> void {
    if (reads_packets_ || (!can_place(state_.known) && at - started_ < max_packet_hold_ms)) {
        return;
    }
    const auto added = loop_.add(packets_.fd(), EPOLLIN, [this](std::uint32_t) { handle_packets(); });
    reads_packets_ = added.has_value();
    if (!added) {
        write_log(log_event::host_start_failed, {{"error", to_text(added.error())}});
        stop_requested = 1;
    }
}

auto edge_host::next_deadline(time_ms at) const -> time_ms {
    auto next = std::min({next_heartbeat_, next_expiry_, next_log_, follower_.next_deadline(),
                          at + static_cast<std::int64_t>(pause_threshold_ms / 2)});
    if (loads_changed_ && load_report_peers_ != 0) {
        next = std::min(next, next_load_report_);
    }
    if (!state_.pending.empty()) {
        next = std::min(next, state_.pending.front().deadline);
    }
    if (count_waiting_syns(state_.queues) != 0) {
        next = std::min(next, at + waiting_check_ms);
    }
    if (sync_client_.is_busy()) {
        next = std::min(next, sync_client_.deadline());
    }
    return next;
}

auto edge_host::may_stop(time_ms at) const -> bool {
    if (!is_stopping_) {
        return false;
    }
    const auto stopping_ms = at - stop_began_;
    const auto is_idle = at - last_packet_ >= idle_before_stop_ms && count_waiting_syns(state_.queues) == 0;
    return (stopping_ms >= rotation_exit_ms && is_idle) ||
           stopping_ms >= settings_.stop_limit_ms - stop_reserve_ms;
}

// Forwards the packets in the socket and refuses the waiting SYNs, which no other host has.
auto edge_host::finish_packets(time_ms at) -> void {
    handle_packets();
    send_waited_syns(refuse_waiting_syns(state_, at));
}

// Runs the tasks that are due, apart from socket events.
auto edge_host::run_due_tasks(time_ms at) -> void {
    send_syn_retries(at);
    send_waited_syns(collect_waited_syns(state_, at));
    query_liveness(at);
    evaluate_peer_reports(at);
    follower_.on_timer(at);
    send_heartbeats(at);
    report_loads(at);
    expire(at);
    log_ready();
    update_reach(at);
    log_overflow_changes(state_.overflow);
    start_reading_packets(at);
    if (at >= next_log_) {
        next_log_ = at + log_interval_ms;
        if (const auto dropped = log_.collect_dropped_count(); dropped != 0) {
            write_log(log_event::log_lines_dropped, {{"lines", std::to_string(dropped)}});
        }
        log_.flush();
    }
}

auto edge_host::run(const settings_reader& read_settings) -> void {
    set_log_writer([this](const std::string& line) { log_.append(line); });
    write_log(log_event::edge_started,
              {{"data", to_text(settings_.data_address)}, {"store", to_text(settings_.store_address)}});
    last_observed_ = boot_now();
    started_ = last_observed_;
    state_.former_services_until = started_ + settings_.max_flow_ms;
    cold_known_since_ = started_;
    extend_startup_grace(state_.known, started_, started_);
    while (true) {
        const auto at = observe_time();
        if (stop_requested != 0 && !is_stopping_) {
            is_stopping_ = true;
            stop_began_ = at;
            next_heartbeat_ = at;
            update_cold_assignment(at);
            write_log(log_event::host_stopping);
        }
        if (reload_requested != 0) {
            reload(read_settings);
        }
        if (may_stop(at)) {
            run_guarded([&] { finish_packets(at); });
            break;
        }
        run_guarded([&] { run_due_tasks(at); });
        loop_.wait(next_deadline(at));
    }
    write_log(log_event::host_stopped);
    flush_log();
    log_.flush();
    set_log_writer({});
}

auto edge_host::answer_ready(std::string_view target) -> http_answer {
    if (!platform_.is_ready_check(target)) {
        return {status_not_found, {}};
    }
    return {is_ready() ? status_ok : status_unavailable, {}};
}

auto edge_host::answer_sync(std::string_view target) -> http_answer {
    const auto after = decode_changes_request(target);
    return after ? http_answer{status_ok, encode_changes(state_.known, *after)}
                 : http_answer{status_not_found, {}};
}

auto edge_host::answer_metrics(std::string_view target) -> http_answer {
    if (target != "/metrics") {
        return {status_not_found, {}};
    }
    return {status_ok, render_metrics() + render_overflow_shares(state_.overflow)};
}

}  // namespace

auto run_edge_host(const platform_plugin& platform, const settings_reader& read_settings) -> result<void> {
    install_signal_handlers();
    const auto settings = read_settings();
    if (!settings) {
        return tl::unexpected<error>(settings.error());
    }
    configure_log({log_format::json, settings->host, settings->zone});
    auto loop = event_loop::open();
    if (!loop) {
        return tl::unexpected<error>(loop.error());
    }
    auto packets = open_udp_socket(settings->data_address, false);
    if (!packets) {
        return tl::unexpected<error>(packets.error());
    }
    auto peers = open_udp_socket(settings->peer_address, false);
    if (!peers) {
        return tl::unexpected<error>(peers.error());
    }
    auto host = edge_host(std::move(*loop), platform, *settings, packet_io(std::move(*packets)),
                          packet_io(std::move(*peers)));
    auto opened = host.open();
    if (!opened) {
        return opened;
    }
    host.run(read_settings);
    return {};
}

}  // namespace agatepost::edge
