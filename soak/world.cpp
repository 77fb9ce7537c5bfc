#include "world_base.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <arpa/inet.h>
#include <xxhash.h>

#include <algorithm>
#include <nlohmann/json.hpp>

namespace agatepost::soak {

namespace {

constexpr std::uint8_t syn = 1;
constexpr std::uint8_t ack_flag = 2;
constexpr std::uint8_t fin = 32;
constexpr std::uint8_t rst = 128;
constexpr std::size_t header_bytes = 34;
constexpr std::size_t client_count = 6;
constexpr std::int64_t arrival_interval_ms = 12;
constexpr std::size_t max_feed_flows = 30;
constexpr std::int64_t processing_ms = 20;
constexpr std::int64_t request_timeout_ms = 2000;
constexpr std::int64_t syn_answer_timeout_ms = 1400;
constexpr int max_tries = 3;
constexpr std::int64_t feed_idle_ms = 300;
constexpr std::int64_t heartbeat_ms = 770;
constexpr std::int64_t max_retransmission_ms = 1600;

auto put16(std::string& out, std::uint16_t v) -> void {
    out.push_back(static_cast<char>(v));
    out.push_back(static_cast<char>(v >> 8U));
}

auto put32(std::string& out, std::uint32_t v) -> void {
    put16(out, static_cast<std::uint16_t>(v));
    put16(out, static_cast<std::uint16_t>(v >> 16U));
}

auto get16(const std::string& in, std::size_t at) -> std::uint16_t {
    return static_cast<std::uint16_t>(static_cast<std::uint8_t>(in[at]) |
                                      static_cast<std::uint8_t>(in[at + 1]) << 8U);
}

auto get32(const std::string& in, std::size_t at) -> std::uint32_t {
    return get16(in, at) | static_cast<std::uint32_t>(get16(in, at + 2)) << 16U;
}

auto checksum_of(const std::string& header, const std::string& data) -> std::uint32_t {
    const auto covered = header.substr(0, 26) + data;
    return static_cast<std::uint32_t>(XXH64(covered.data(), covered.size(), 7)) | 1U;
}

auto encode(const wire_packet& packet) -> std::string {
    auto out = std::string();
    put32(out, packet.seq);
    put32(out, packet.ack);
    put32(out, packet.src);
    put16(out, packet.sport);
    put32(out, packet.dst);
    put16(out, packet.dport);
    out.push_back(static_cast<char>(packet.flags));
    out.append(3, '\0');
    put16(out, static_cast<std::uint16_t>(packet.data.size()));
    put32(out, checksum_of(out, packet.data));
    put32(out, packet.echo);
    return out + packet.data;
}

// Returns whether the bytes are a packet. Sets `is_checksum_valid` if a client or target wrote it in this
// form.
auto decode(const std::string& in, wire_packet& packet, bool& is_checksum_valid) -> bool {
    if (in.size() < header_bytes || in.size() != header_bytes + get16(in, 24)) {
        return false;
    }
    packet = {get32(in, 0),
              get32(in, 4),
              get32(in, 8),
              get32(in, 14),
              get16(in, 12),
              get16(in, 18),
              static_cast<std::uint8_t>(in[20]),
              get32(in, 30),
              in.substr(header_bytes)};
    is_checksum_valid = get32(in, 26) == checksum_of(in, packet.data);
    return true;
}

auto address_text(std::uint32_t address) -> std::string {
    return absl::StrCat(address >> 24U, ".", (address >> 16U) & 0xffU, ".", (address >> 8U) & 0xffU, ".",
                        address & 0xffU);
}

auto to_endpoint(std::uint32_t address, std::uint16_t port) -> endpoint {
    return *parse_endpoint(absl::StrCat(address_text(address), ":", port));
}

auto send_to(int fd, const std::string& bytes, std::uint32_t address, std::uint16_t port) -> void {
    auto to = sockaddr_in{};
    to.sin_family = AF_INET;
    to.sin_port = htons(port);
    to.sin_addr.s_addr = htonl(address);
    // A datagram to a process that has ended is lost, as on a network.
    static_cast<void>(sendto(fd, bytes.data(), bytes.size(), MSG_DONTWAIT,
                             reinterpret_cast<const sockaddr*>(&to), sizeof(to)));
}

// Receives a datagram and its sender's address.
auto receive(int fd, std::string& bytes, std::uint32_t& sender) -> bool {
    auto from = sockaddr_in{};
    auto length = socklen_t{sizeof(from)};
    bytes.resize(2048);
    const auto got =
        recvfrom(fd, bytes.data(), bytes.size(), MSG_DONTWAIT, reinterpret_cast<sockaddr*>(&from), &length);
    bytes.resize(static_cast<std::size_t>(std::max<ssize_t>(got, 0)));
    sender = ntohl(from.sin_addr.s_addr);
    return got >= 0;
}

auto service_of(std::uint16_t port) -> std::string {
    return port == extra_port ? "archive" : "desk";
}

}  // namespace

world::world(edge::event_loop& loop, platform_store& store, std::uint8_t net, std::uint64_t seed)
    : loop_(loop), store_(store), net_(net), random_(seed) {}

auto world::open() -> result<void> {
    clients_.resize(client_count);
    for (auto i = std::size_t{0}; i < client_count; ++i) {
        const auto address =
            0x7f000300U | (static_cast<std::uint32_t>(net_) << 16U) | static_cast<std::uint32_t>(i + 1);
        auto opened = open_udp_socket(to_endpoint(address, data_port), false);
        if (!opened) {
            return tl::unexpected<error>(opened.error());
        }
        clients_[i] = std::move(*opened);
        auto added = loop_.add(clients_[i].value(), EPOLLIN, [this, i](std::uint32_t) { read_client(i); });
        if (!added) {
            return added;
        }
    }
    change_routes(false);
    for (auto i = 0; i < 6; ++i) {
        add_target("desk");
    }
    add_target("archive");
    add_target("archive");
    return {};
}

auto world::add_host(std::uint32_t address) -> void {
    auto host = router_host{};
    host.address = address;
    host.readiness_client = std::make_unique<edge::http_client>(loop_);
    hosts_.push_back(std::move(host));
}

auto world::record_disturbance(std::uint32_t host_address) -> void {
    const auto at = boot_now();
    disturbed_ = at;
    for (auto& host : hosts_) {
        if (host_address == 0 || host.address == host_address) {
            host.disturbed = at;
        }
    }
}

auto world::add_target(const std::string& service, std::uint64_t similar_to) -> void {
    auto one = std::make_unique<target>();
    const auto index = targets_.size();
    one->tag = similar_to == 0 ? static_cast<std::uint32_t>(random_()) | 1U
                               : similar_to + ((random_() % 255 + 1) << 32U);
    one->id = absl::StrCat("i-", absl::Hex(one->tag, absl::kZeroPad8));
    one->service = service;
    one->zone = index % 2 == 0 ? "a" : "b";
    one->address = 0x7f000000U | (static_cast<std::uint32_t>(net_) << 16U) | 0x4000U |
                   static_cast<std::uint32_t>(index + 1);
    auto opened = open_udp_socket(to_endpoint(one->address, target_port), false);
    if (!opened ||
        !loop_.add(opened->value(), EPOLLIN, [this, index](std::uint32_t) { read_target(index); })) {
        add_violation("stand-in: cannot open the socket of a target");
        return;
    }
    one->socket = std::move(*opened);
    one->changed = boot_now();
    one->started = one->changed;
    targets_.push_back(std::move(one));
    register_target(*targets_.back());
}

auto world::register_target(target& one) -> void {
    const auto value = nlohmann::json{{"service", one.service},
                                      {"address", absl::StrCat(address_text(one.address), ":", target_port)},
                                      {"zone", one.zone},
                                      {"version", "v1"},
                                      {"call-seq", 1},
                                      {"slots", 4},
                                      {"state", one.is_draining ? "draining" : "ready"},
                                      {"cold-remaining-ms", 0},
                                      {"born", one.started.value}};
    one.registered = boot_now();
    store_.write("servers/" + one.id, value.dump());
}

auto world::change_routes(bool with_extra) -> void {
    has_extra_ = with_extra;
    routes_changed_ = boot_now();
    ++version_;
    write_routes();
}

auto world::rewrite_lost_items() -> void {
    const auto at = boot_now();
    const auto next_report = [&] { return at + static_cast<std::int64_t>(random_() % heartbeat_ms); };
    for (auto& one : targets_) {
        if (one->is_alive) {
            one->rewrite_at = next_report();
        } else if (store_.has("servers/" + one->id)) {
            one->registered = at;  // runs out after three heartbeats
        }
    }
    rewrite_routes_at_ = next_report();
}

auto world::write_due_items(time_ms at) -> void {
    for (auto& one : targets_) {
        if (take_due(one->rewrite_at, at) && one->is_alive) {
            register_target(*one);
        }
    }
    if (take_due(rewrite_routes_at_, at)) {
        write_routes();
    }
}

auto world::write_routes() -> void {
    auto routes = nlohmann::json::array();
    const auto add = [&](std::uint16_t port, const char* kind) {
        routes.push_back({{"name", absl::StrCat("r-", port)},
                          {"hostname", address_text(service_address)},
                          {"prefix", absl::StrCat("/", port, "/")},
                          {"route-type", kind},
                          {"service", service_of(port)}});
    };
    add(feed_port, "idempotent");
    add(filing_port, "non_idempotent");
    if (has_extra_) {
        add(extra_port, "idempotent");
    }
    const auto value =
        nlohmann::json{{"version", version_}, {"routes", routes}, {"limits", {{"idle-timeout-ms", 15000}}}};
    store_.write("op/config", value.dump());
}

// Returns the index of a random target of the service desk that is alive and not draining, or the number of
// targets if no more than three are.
auto world::pick_target() -> std::size_t {
    auto usable = std::vector<std::size_t>{};
    for (auto i = std::size_t{0}; i < targets_.size(); ++i) {
        if (targets_[i]->is_alive && !targets_[i]->is_draining && targets_[i]->service == "desk") {
            usable.push_back(i);
        }
    }
    return usable.size() > 3 ? usable[random_() % usable.size()] : targets_.size();
}

auto world::crash_target() -> void {
    const auto index = pick_target();
    if (index == targets_.size()) {
        return;
    }
    targets_[index]->is_alive = false;
    targets_[index]->changed = boot_now();
    targets_[index]->connections.clear();
    add_target("desk");
}

auto world::restart_target() -> void {
    const auto index = pick_target();
    if (index != targets_.size()) {
        targets_[index]->connections.clear();
        targets_[index]->changed = boot_now();
        targets_[index]->started = targets_[index]->changed;
        register_target(*targets_[index]);
    }
}

auto world::add_target_with_similar_id() -> void {
    const auto index = pick_target();
    if (index != targets_.size()) {
        add_target("desk", targets_[index]->tag);
    }
}

auto world::copy_registration() -> void {
    const auto index = pick_target();
    if (index == targets_.size()) {
        return;
    }
    const auto& one = *targets_[index];
    copies_.push_back(absl::StrCat("servers/copy-of-", one.id));
    store_.write(copies_.back(),
                 nlohmann::json{{"service", "retired"},
                                {"address", absl::StrCat(address_text(one.address), ":", target_port)},
                                {"zone", one.zone},
                                {"version", "v1"},
                                {"call-seq", 1},
                                {"slots", 4},
                                {"state", "ready"},
                                {"cold-remaining-ms", 0},
                                {"born", one.started.value}}
                     .dump());
}

auto world::remove_copies() -> void {
    for (const auto& key : copies_) {
        store_.remove(key);
    }
    copies_.clear();
}

auto world::overwrite_registration() -> void {
    const auto index = pick_target();
    if (index != targets_.size()) {
        auto& one = *targets_[index];
        store_.write("servers/" + one.id, "\xff");
        one.rewrite_at = boot_now() + static_cast<std::int64_t>(random_() % heartbeat_ms);
    }
}

auto world::drain_target() -> void {
    const auto index = pick_target();
    if (index == targets_.size()) {
        return;
    }
    add_target("desk");
    auto& one = *targets_[index];
    one.is_draining = true;
    one.drained = boot_now();
    one.changed = one.drained;
    register_target(one);
}

auto world::add_violation(const std::string& what) -> void {
    constexpr std::size_t max_violations = 50;
    if (results_.violations.size() < max_violations) {
        results_.violations.push_back(absl::StrCat(boot_now().value, " ", what));
    }
}

auto world::is_calm(time_ms at, std::uint32_t host_address) const -> bool {
    return std::any_of(hosts_.begin(), hosts_.end(), [&](const router_host& host) {
        return host.address == host_address && at - host.disturbed >= recovery_limit_ms;
    });
}

auto world::select_host(const client_flow& flow) -> router_host* {
    // Rendezvous hashing: only the flows of a host that leaves or joins move.
    auto* best = static_cast<router_host*>(nullptr);
    auto best_score = std::uint64_t{0};
    const auto any_ready =
        std::any_of(hosts_.begin(), hosts_.end(), [](const auto& host) { return host.is_ready; });
    for (auto& host : hosts_) {
        const std::uint64_t key[] = {host.address, flow.client, flow.port};
        const auto score = XXH64(key, sizeof(key), 1);
        if ((host.is_ready || !any_ready) && score >= best_score) {
            best = &host;
            best_score = score;
        }
    }
    return best;
}

auto world::check_hosts(time_ms at) -> void {
    constexpr std::int64_t check_ms = 500;
    for (auto& host : hosts_) {
        host.readiness_client->on_timer(at);
        if (at < host.next_check || host.readiness_client->is_busy()) {
            continue;
        }
        host.next_check = at + check_ms;
        host.readiness_client->call(to_endpoint(host.address, ready_port), "/-/readiness",
                                    at + (check_ms - 50), [&host](const result<edge::http_answer>& answer) {
                                        const auto is_good = answer && answer->status == 200;
                                        host.failed_checks = is_good ? 0 : host.failed_checks + 1;
                                        host.is_ready = is_good || (host.is_ready && host.failed_checks < 2);
                                    });
    }
}

auto world::start_flow(std::size_t client, std::uint16_t service_port, const std::string& request)
    -> client_flow& {
    auto flow = client_flow{};
    flow.client = client;
    flow.port = next_port_ = next_port_ == 65000 ? 1024 : next_port_ + 1;
    flow.service_port = service_port;
    flow.seq = static_cast<std::uint32_t>(random_());
    flow.request = request;
    flow.started = flow.request_began = flow.last_used = boot_now();
    flow.next_send = flow.started + 200;
    auto& kept = flows_[{client, flow.port}] = flow;
    send_from_client(kept, syn, {}, kept.seq);
    return kept;
}

// Repeats the request on a new flow if the client has tries and time left; otherwise the request has failed.
auto world::retry_request(client_flow ended) -> void {
    if (ended.request.empty() || ended.tries == max_tries ||
        boot_now() - ended.request_began >= request_timeout_ms) {
        finish_request(ended, false);
        return;
    }
    auto& flow = start_flow(ended.client, ended.service_port, ended.request);
    flow.request_began = ended.request_began;
    flow.tries = ended.tries + 1;
}

auto world::send_from_client(client_flow& flow, std::uint8_t flags, const std::string& data,
                             std::uint32_t seq) -> void {
    const auto client =
        0x7f000300U | (static_cast<std::uint32_t>(net_) << 16U) | static_cast<std::uint32_t>(flow.client + 1);
    auto packet = wire_packet{seq,   flow.ack,  client, service_address, flow.port, flow.service_port,
                              flags, flow.echo, data};
    if ((flags & syn) != 0) {
        packet.ack = static_cast<std::uint32_t>(flow.syn_retransmissions);
        packet.echo = 0;
    }
    if (const auto* host = select_host(flow)) {
        send_to(clients_[flow.client].value(), encode(packet), host->address, data_port);
    }
}

auto world::finish_request(client_flow& flow, bool is_served) -> void {
    if (flow.request.empty()) {
        return;
    }
    const auto is_counted = flow.service_port != extra_port;
    results_.served += is_served && is_counted ? 1 : 0;
    if (is_counted && flow.request_began - disturbed_ >= recovery_limit_ms) {
        ++results_.asked_calm;
        results_.served_calm += is_served ? 1 : 0;
    }
    flow.request.clear();
}

// Sends the packets that are due. Returns false when the flow has ended.
auto world::update_flow(client_flow& flow, time_ms at) -> bool {
    if (!flow.request.empty() && at - flow.request_began > request_timeout_ms) {
        finish_request(flow, false);
        return false;
    }
    if (!flow.is_open) {
        if (at - flow.started > syn_answer_timeout_ms) {
            retry_request(flow);
            return false;
        }
        if (at >= flow.next_send && flow.syn_retransmissions < 2) {
            ++flow.syn_retransmissions;
            flow.next_send = at + 400;
            send_from_client(flow, syn, {}, flow.seq);
        }
        return true;
    }
    if (!flow.request.empty() && at >= flow.next_send) {
        send_from_client(flow, ack_flag, flow.request, flow.seq);
        flow.next_send = at + flow.retransmission_ms;
        flow.retransmission_ms = std::min(flow.retransmission_ms * 2, max_retransmission_ms);
    }
    if (flow.request.empty() && flow.service_port == feed_port && at - flow.last_used > feed_idle_ms) {
        flow.request = absl::StrCat("feed-", ++next_request_);
        sent_requests_.insert(flow.request);
        ++results_.asked;
        flow.request_began = flow.last_used = at;
        flow.next_send = at;
        flow.retransmission_ms = 200;
    }
    return true;
}

auto world::on_timer(time_ms at) -> void {
    check_hosts(at);
    write_due_items(at);
    if (at >= next_arrival_) {
        next_arrival_ = at + arrival_interval_ms;
        const auto client = random_() % clients_.size();
        const auto feeds = std::count_if(flows_.begin(), flows_.end(), [](const auto& one) {
            return one.second.service_port == feed_port;
        });
        const auto port = static_cast<std::size_t>(feeds) < max_feed_flows ? feed_port
                          : random_() % 8 == 0                             ? extra_port
                                                                           : filing_port;
        const auto id = absl::StrCat(port == filing_port ? "file-" : "feed-", ++next_request_);
        sent_requests_.insert(id);
        results_.asked += port == extra_port ? 0 : 1;
        start_flow(client, port, id);
    }
    for (auto next = flows_.begin(); next != flows_.end();) {
        next = update_flow(next->second, at) ? std::next(next) : flows_.erase(next);
    }
    for (auto i = std::size_t{0}; i < pending_work_.size();) {
        if (at < pending_work_[i].due) {
            ++i;
            continue;
        }
        const auto done = pending_work_[i];
        pending_work_[i] = pending_work_.back();
        pending_work_.pop_back();
        auto& worker = *targets_[done.target];
        const auto found = worker.connections.find(done.connection);
        if (worker.is_alive && found != worker.connections.end()) {
            auto& connection = found->second;
            connection.is_working = false;
            connection.last_response = "done:" + done.request.data;
            reply(worker, done.request, ack_flag, connection.last_response, connection.sent);
            connection.sent += static_cast<std::uint32_t>(connection.last_response.size());
        }
    }
    for (auto& one : targets_) {
        if (one->is_alive && one->is_draining && at - one->drained > drain_limit_ms + 1500) {
            one->is_alive = false;
            one->changed = at;
            store_.remove("servers/" + one->id);
        } else if (one->is_alive) {
            one->registered = at;
        } else if (one->registered != time_ms{} && at - one->registered > 3 * heartbeat_ms) {
            one->registered = time_ms{};
            store_.remove("servers/" + one->id);
        }
    }
}

auto world::read_client(std::size_t client) -> void {
    auto bytes = std::string();
    auto sender = std::uint32_t{0};
    while (receive(clients_[client].value(), bytes, sender)) {
        auto packet = wire_packet{};
        auto is_checksum_valid = false;
        if (!decode(bytes, packet, is_checksum_valid)) {
            add_violation("MIXED: a client received bytes that are not a packet");
            continue;
        }
        const auto is_host_reset = packet.flags == rst && get32(bytes, 26) == 0 && packet.data.empty();
        if (!is_checksum_valid && !is_host_reset) {
            add_violation("MIXED: a client received a packet that differs from what its sender wrote");
        }
        on_client_packet(client, packet, is_checksum_valid, sender);
    }
}

auto world::check_reset(const client_flow& flow, std::uint32_t host, time_ms at) -> void {
    // Configuration changes add and remove the extra route, so its flows may be reset.
    if (!flow.is_open || flow.service_port == extra_port) {
        return;
    }
    for (const auto& one : targets_) {
        const auto is_available = one->address == flow.target_address && one->is_alive && !one->is_draining;
        const auto is_violation = is_available && at - one->changed >= recovery_limit_ms && is_calm(at, host);
        if (is_violation) {
            add_violation(absl::StrCat("FLOW: port ", flow.port, " of client ", flow.client,
                                       " was reset while target ", one->id, " is alive"));
        }
    }
}

// A reset of a target at which the flow is not open: a host sent a packet of the flow there.
auto world::check_reset_of_other_target(const client_flow& flow, time_ms at) -> void {
    const auto* host = select_host(flow);
    if (host != nullptr) {
        check_reset(flow, host->address, at);
    }
}

auto world::on_client_packet(std::size_t client, const wire_packet& packet, bool is_checksum_valid,
                             std::uint32_t sender) -> void {
    const auto found = flows_.find({client, packet.dport});
    if (found == flows_.end() || found->second.service_port != packet.sport) {
        return;  // the flow has ended
    }
    auto& flow = found->second;
    const auto at = boot_now();
    if ((packet.flags & rst) != 0) {
        const auto is_of_flow = !is_checksum_valid || !flow.is_open || sender == flow.target_address;
        if (!is_of_flow) {
            check_reset_of_other_target(flow, at);
            return;
        }
        if (!is_checksum_valid) {
            check_reset(flow, sender, at);
            if (!flow.is_open && flow.service_port != extra_port && is_calm(at, sender) &&
                at - routes_changed_ > config_limit_ms) {
                add_violation(absl::StrCat("CONFIG: a SYN to port ", flow.service_port, " was refused"));
            }
        }
        const auto may_repeat = !flow.is_open || flow.service_port != filing_port;
        auto ended = flow;
        ended.tries = may_repeat ? ended.tries : max_tries;
        flows_.erase(found);
        retry_request(std::move(ended));
        return;
    }
    if ((packet.flags & syn) != 0) {
        if (flow.is_open) {
            return;  // from a second target
        }
        flow.is_open = true;
        flow.echo = packet.echo;
        flow.target_address = sender;
        flow.seq += 1;
        flow.ack = packet.seq + 1;
        send_from_client(flow, ack_flag, {}, flow.seq);
        flow.next_send = at;
        return;
    }
    if (sender != flow.target_address) {
        return;
    }
    flow.echo = packet.echo;
    if (packet.data.empty() || packet.seq != flow.ack) {
        return;
    }
    if (packet.data != "done:" + flow.request) {
        add_violation("MIXED: a client received the answer to another request");
        return;
    }
    flow.ack += static_cast<std::uint32_t>(packet.data.size());
    flow.seq += static_cast<std::uint32_t>(flow.request.size());
    flow.last_used = at;
    finish_request(flow, true);
    const auto ends = flow.service_port != feed_port;
    send_from_client(flow, ends ? ack_flag | fin : ack_flag, {}, flow.seq);
    if (ends) {
        flows_.erase(found);
    }
}

auto world::reply(const target& from, const wire_packet& to, std::uint8_t flags, const std::string& data,
                  std::uint32_t seq) -> void {
    const auto packet = wire_packet{
        seq,      to.seq + static_cast<std::uint32_t>(to.data.size()) + ((to.flags & syn) != 0 ? 1 : 0),
        to.dst,   to.src,
        to.dport, to.sport,
        flags,    to.echo,
        data};
    send_to(from.socket.value(), encode(packet), to.src, data_port);
}

auto world::read_target(std::size_t index) -> void {
    auto bytes = std::string();
    auto sender = std::uint32_t{0};
    while (receive(targets_[index]->socket.value(), bytes, sender)) {
        auto packet = wire_packet{};
        auto is_checksum_valid = false;
        auto& one = *targets_[index];
        if (bytes.size() < 8 || !one.is_alive) {
            continue;
        }
        const auto tag = (static_cast<std::uint64_t>(ntohl(get32(bytes, 0))) << 32U) | ntohl(get32(bytes, 4));
        if (tag != one.tag) {
            continue;  // meant for another target at this address
        }
        if (!decode(bytes.substr(8), packet, is_checksum_valid) || !is_checksum_valid) {
            add_violation("UNASKED: a target received a packet that differs from what its sender wrote");
            continue;
        }
        if (service_of(packet.dport) != one.service) {
            add_violation(absl::StrCat("ROUTE: a packet to port ", packet.dport,
                                       " reached a target of service ", one.service));
            continue;
        }
        on_target_packet(index, packet, sender);
    }
}

auto world::check_syn(const target& at_target, const wire_packet& packet, std::uint32_t host, time_ms at)
    -> void {
    if (!is_calm(at, host)) {
        return;
    }
    // Allowance for a client's SYN in transit.
    constexpr std::int64_t max_transit_ms = 200;
    if (at_target.is_draining && at - at_target.drained > drain_limit_ms + max_transit_ms) {
        add_violation(absl::StrCat("DRAIN: ", at_target.id, " received a SYN ", at - at_target.drained,
                                   " ms after its drain began"));
    }
    if (packet.dport == extra_port && !has_extra_ &&
        at - routes_changed_ > config_limit_ms + max_transit_ms) {
        add_violation("CONFIG: a SYN of a removed route reached a target");
    }
}

auto world::on_target_packet(std::size_t index, const wire_packet& packet, std::uint32_t host) -> void {
    auto& one = *targets_[index];
    const auto key =
        std::make_pair(packet.src, static_cast<std::uint32_t>(packet.sport) << 16U | packet.dport);
    if ((packet.flags & syn) != 0) {
        check_syn(one, packet, host, boot_now());
        const auto is_new_connection = one.connections.count(key) == 0;
        auto& connection = one.connections[key];
        if (is_new_connection) {
            connection.sent = static_cast<std::uint32_t>(random_());
            connection.client_end = packet.seq + 1;
        }
        if (!connection.is_open) {
            reply(one, packet, syn | ack_flag, {}, connection.sent);
            connection.sent += is_new_connection ? 1 : 0;
        }
        return;
    }
    const auto found = one.connections.find(key);
    if (found == one.connections.end()) {
        reply(one, packet, rst, {}, packet.ack);
        return;
    }
    auto& connection = found->second;
    connection.is_open = true;
    if (connection.has_ended) {
        if (!packet.data.empty()) {
            reply(one, packet, rst, {}, packet.ack);
        }
        return;
    }
    if ((packet.flags & fin) != 0) {
        connection.has_ended = true;
        return;
    }
    if (packet.data.empty()) {
        return;
    }
    if (packet.seq == connection.client_end) {
        connection.client_end += static_cast<std::uint32_t>(packet.data.size());
        connection.is_working = true;
        process_request(index, packet);
    } else if (!connection.is_working && !connection.last_response.empty()) {
        const auto size = static_cast<std::uint32_t>(connection.last_response.size());
        reply(one, packet, ack_flag, connection.last_response, connection.sent - size);
    }
}

auto world::process_request(std::size_t index, const wire_packet& packet) -> void {
    if (sent_requests_.count(packet.data) == 0) {
        add_violation("UNASKED: a target processed a request that no client sent");
    }
    if (absl::StartsWith(packet.data, "file-") && !processed_filings_.insert(packet.data).second) {
        add_violation(absl::StrCat("MIXED: ", packet.data, " was processed twice"));
    }
    const auto key =
        std::make_pair(packet.src, static_cast<std::uint32_t>(packet.sport) << 16U | packet.dport);
    pending_work_.push_back({index, key, packet, boot_now() + processing_ms});
}

}  // namespace agatepost::soak
