#include "clients_base.h"

#include <algorithm>

#include "mix_func.h"
#include "net/packet_func.h"

namespace agatepost::rig {

namespace {

constexpr std::uint64_t ports_per_address = 50000;  // flows per client address
constexpr std::uint16_t first_port = 10000;
constexpr std::int64_t linger_ms = 2000;            // the peer may retransmit its FIN this long
constexpr std::int64_t datagram_interval_ms = 300;  // between the requests of one UDP flow
constexpr std::uint32_t request_size = 200;
constexpr std::uint8_t client_network = 10;

}  // namespace

auto clients::next_endpoint(const std::string& zone) -> endpoint {
    const auto at = std::find(world_.zones.begin(), world_.zones.end(), zone) - world_.zones.begin();
    const auto client = next_flow_ / ports_per_address;
    auto e = endpoint{};
    e.address.bytes = {client_network, static_cast<std::uint8_t>(at), static_cast<std::uint8_t>(client >> 8U),
                       static_cast<std::uint8_t>(client)};
    e.port = static_cast<std::uint16_t>(first_port + next_flow_ % ports_per_address);
    return e;
}

auto clients::zone_of(const ip_address& address) const -> std::string {
    const auto at = address.bytes[1];
    return address.bytes[0] == client_network && at < world_.zones.size() ? world_.zones[at]
                                                                          : world_.zones.front();
}

auto clients::find(const endpoint& local) -> client_flow* {
    const auto found = flows_.find(local);
    return found == flows_.end() ? nullptr : found->second.get();
}

auto clients::flow_number(const endpoint& local) const -> std::uint64_t {
    const auto found = flows_.find(local);
    return found == flows_.end() || found->second->is_closing ? 0 : found->second->number;
}

auto clients::is_datagram(const client_flow& flow) const -> bool {
    return world_.workload.services[flow.service].protocol == ip_protocol::udp;
}

auto clients::record_event(const client_flow& flow, event_kind kind, std::uint64_t request,
                           std::uint32_t bytes, bool is_correct) -> void {
    world_.events.push_back(
        {world_.now_ms, kind, is_datagram(flow), is_correct, flow.service, 0, bytes, flow.number, request});
}

auto clients::open(const flow_request& wanted) -> void {
    auto owned = std::make_unique<client_flow>();
    auto& flow = *owned;
    flow.number = next_flow_++;
    flow.service = wanted.service;
    flow.zone = wanted.zone;
    flow.local = next_endpoint(wanted.zone);
    flow.opened_ms = world_.now_ms;
    flow.is_feed = world_.workload.services[wanted.service].kind == flow_kind::feed;
    flow.first.kind = flow.is_feed ? frame_kind::subscribe : frame_kind::request;
    flow.first.service = static_cast<std::uint8_t>(wanted.service);
    flow.first.work_ms = wanted.work_ms;
    flow.first.answer_size = wanted.answer_size;
    flow.first.body_size = request_size;
    flow.datagrams_left = wanted.datagrams;
    flows_[flow.local] = std::move(owned);
    (flow.is_feed ? counts_.opening_feeds : counts_.open_requests) += 1;
    if (is_datagram(flow)) {
        record_event(flow, event_kind::flow_established);
        send_datagram(flow);
        return;
    }
    auto out = tcp_output{};
    flow.tcp = tcp_connect(flow.local, service_address(wanted.service), wanted.timestamps,
                           static_cast<std::uint32_t>(world_.random()), world_.now_ms, out);
    process_output(flow, out);
    set_time_limit(flow);
}

// A client abandons a request after the time limit, regardless of the connection state.
auto clients::set_time_limit(const client_flow& flow) -> void {
    world_.timers.add(world_.now_ms + time_limit_ms, [this, local = flow.local, number = flow.number] {
        auto* late = find(local);
        if (late != nullptr && late->number == number && !late->is_closing &&
            (late->pending.empty() ? late->tcp.state == tcp_state::syn_sent
                                   : !late->pending.back().is_complete)) {
            abandon_flow(*late);
        }
    });
}

auto clients::abandon_flow(client_flow& flow) -> void {
    for (const auto& request : flow.pending) {
        if (!request.is_complete) {
            record_event(flow, event_kind::request_abandoned, request.id);
        }
    }
    if (flow.pending.empty()) {
        record_event(flow, event_kind::flow_unopened);
    }
    auto out = tcp_output{};
    if (!is_datagram(flow)) {
        tcp_abort(flow.tcp, out);
        world_.send_all(flow.zone, out);
    }
    end(flow, event_kind::flow_closed);
}

auto clients::receive(const fabric_packet& packet) -> bool {
    const auto& to = packet.headers.destination;
    if (to.address.is_v6 || to.address.bytes[0] != client_network) {
        return false;
    }
    if (packet.headers.protocol == ip_protocol::icmp) {
        receive_icmp(packet);
        return true;
    }
    auto* flow = find(to);
    if (flow == nullptr) {
        if (packet.headers.protocol == ip_protocol::tcp && !packet.headers.has_flags(tcp_flag::rst)) {
            world_.net.send(zone_of(to.address), build_reset_reply(packet.headers));
        }
        return true;
    }
    if (packet.headers.source != service_address(flow->service)) {
        record_event(*flow, event_kind::answer_foreign);
        return true;
    }
    if (packet.headers.protocol == ip_protocol::tcp) {
        receive_tcp(*flow, packet);
    } else {
        receive_udp(*flow, packet);
    }
    return true;
}

auto clients::receive_tcp(client_flow& flow, const fabric_packet& packet) -> void {
    auto out = tcp_output{};
    tcp_receive(flow.tcp, packet.headers, packet.data, world_.now_ms, out);
    process_output(flow, out);
}

auto clients::process_output(client_flow& flow, tcp_output& out) -> void {
    if (out.connected) {
        record_event(flow, event_kind::flow_established);
        send_frame(flow, flow.first, out);
    }
    if (!out.received.empty()) {
        const auto received = std::exchange(out.received, {});
        flow.reader.read(received,
                         {[&](const frame_header& header, std::size_t bytes, bool is_correct) {
                              process_answer_body(flow, header, bytes, is_correct);
                          },
                          [&](const frame_header& header, bool) { process_answer(flow, header, out); },
                          [&] { record_event(flow, event_kind::answer_foreign); }});
    }
    if (out.peer_closed && !flow.is_closing) {
        close(flow, out);
    }
    world_.send_all(flow.zone, out);
    if (out.refused) {
        end(flow, event_kind::flow_refused);
    } else if (out.was_reset || out.timed_out) {
        // An unanswered SYN opened no flow: the checker counts only established flows as broken.
        end(flow, out.was_reset ? event_kind::flow_reset : event_kind::flow_timed_out);
    } else if (out.finished) {
        end(flow, event_kind::flow_closed);
    }
    if (!flow.is_ended) {
        arm_timer(flow);
    }
}

auto clients::process_answer_body(client_flow& flow, const frame_header& header, std::size_t bytes,
                                  bool is_correct) -> void {
    if (header.kind == frame_kind::answer) {
        record_event(flow, event_kind::answer_bytes, header.id, static_cast<std::uint32_t>(bytes),
                     is_correct);
    } else if (!is_correct) {
        record_event(flow, event_kind::answer_bytes, header.id, 0, false);
    }
}

auto clients::process_answer(client_flow& flow, const frame_header& header, tcp_output& out) -> void {
    const auto found = std::find_if(flow.pending.begin(), flow.pending.end(),
                                    [&](const auto& request) { return request.id == header.id; });
    if (found == flow.pending.end()) {
        record_event(flow, event_kind::answer_foreign, header.id);
        return;
    }
    if (header.kind != frame_kind::answer) {
        return;
    }
    found->is_complete = true;
    ++counts_.completed;
    record_event(flow, event_kind::answer_complete, header.id);
    if (is_datagram(flow)) {
        return;
    }
    if (!flow.is_feed) {
        close(flow, out);
    } else if (flow.pending.size() == 1) {
        --counts_.opening_feeds;
        ++counts_.open_feeds;
        feeds_.push_back(flow.local);
    } else {
        --unverified_;
        close(flow, out);
    }
}

auto clients::close(client_flow& flow, tcp_output& out) -> void {
    // The target closed before the complete answer: the checker counts the request as lost or cut.
    if (!flow.is_closing) {
        record_event(flow, event_kind::flow_closed);
        flow.is_closing = true;
        if (flow.is_feed) {
            (flow.pending.empty() || !flow.pending.front().is_complete ? counts_.opening_feeds
                                                                       : counts_.open_feeds) -= 1;
        } else {
            --counts_.open_requests;
        }
    }
    tcp_close(flow.tcp, world_.now_ms, out);
}

// Records the end of a flow, unless the client already closed it, and removes the flow later.
auto clients::end(client_flow& flow, event_kind kind) -> void {
    if (!flow.is_closing) {
        record_event(flow, kind);
        flow.is_closing = true;
        const auto is_subscribed = !flow.pending.empty() && flow.pending.front().is_complete;
        if (flow.is_feed) {
            (is_subscribed ? counts_.open_feeds : counts_.opening_feeds) -= 1;
            unverified_ -= flow.pending.size() > 1 && !flow.pending.back().is_complete ? 1 : 0;
        } else {
            --counts_.open_requests;
        }
        if (kind != event_kind::flow_closed && on_failed_open) {
            on_failed_open(flow);
        }
    }
    flow.is_ended = true;
    world_.timers.add(world_.now_ms + linger_ms, [this, local = flow.local] { flows_.erase(local); });
}

auto clients::arm_timer(client_flow& flow) -> void {
    if (flow.tcp.deadline_ms >= flow.timer_ms) {
        return;
    }
    flow.timer_ms = flow.tcp.deadline_ms;
    world_.timers.add(flow.timer_ms, [this, local = flow.local] {
        auto* late = find(local);
        if (late == nullptr || late->is_ended) {
            return;
        }
        late->timer_ms = no_deadline;
        auto out = tcp_output{};
        tcp_tick(late->tcp, world_.now_ms, out);
        counts_.syn_retransmits += late->tcp.state == tcp_state::syn_sent && !out.packets.empty() ? 1 : 0;
        process_output(*late, out);
    });
}

auto clients::send_frame(client_flow& flow, const frame_header& header, tcp_output& out) -> void {
    auto sent = header;
    if (sent.kind != frame_kind::keepalive) {
        sent.id = next_request_++;
        flow.pending.push_back(pending_request{sent.id, false});
        record_event(flow, event_kind::request_sent, sent.id, sent.answer_size);
    }
    tcp_send(flow.tcp, to_bytes(sent), world_.now_ms, out);
}

auto clients::send_datagram(client_flow& flow) -> void {
    --flow.datagrams_left;
    auto sent = flow.first;
    sent.id = next_request_++;
    flow.pending.push_back(pending_request{sent.id, false});
    record_event(flow, event_kind::request_sent, sent.id, sent.answer_size);
    world_.net.send(flow.zone, build_datagram(flow.local, service_address(flow.service), to_bytes(sent)));
    world_.timers.add(world_.now_ms + datagram_interval_ms, [this, local = flow.local] {
        auto* next = find(local);
        if (next == nullptr || next->is_closing) {
            return;
        }
        const auto is_waiting = !next->pending.back().is_complete;
        if (next->datagrams_left > 0) {
            send_datagram(*next);
        } else if (is_waiting) {
            world_.timers.add(world_.now_ms + time_limit_ms, [this, local] {
                auto* late = find(local);
                if (late != nullptr && !late->is_closing) {
                    abandon_flow(*late);
                }
            });
        } else {
            end(*next, event_kind::flow_closed);
        }
    });
}

auto clients::receive_udp(client_flow& flow, const fabric_packet& packet) -> void {
    const auto* payload = reinterpret_cast<const char*>(packet.data) + packet.headers.payload_offset;
    auto out = tcp_output{};
    auto reader = frame_reader{};
    reader.read(std::string_view(payload, packet.headers.size - packet.headers.payload_offset),
                {[&](const frame_header& header, std::size_t bytes, bool is_correct) {
                     process_answer_body(flow, header, bytes, is_correct);
                 },
                 [&](const frame_header& header, bool) { process_answer(flow, header, out); },
                 [&] { record_event(flow, event_kind::answer_foreign); }});
    if (flow.datagrams_left == 0 && flow.pending.back().is_complete && !flow.is_closing) {
        end(flow, event_kind::flow_closed);
    }
}

auto clients::receive_icmp(const fabric_packet& packet) -> void {
    const auto quoted = parse_quoted_packet(packet.data + packet.headers.payload_offset,
                                            packet.headers.size - packet.headers.payload_offset);
    auto* flow = quoted ? find(quoted->source) : nullptr;
    if (flow != nullptr && is_datagram(*flow) && !flow->is_closing) {
        record_event(*flow, event_kind::flow_refused, flow->pending.back().id);
        end(*flow, event_kind::flow_closed);
    }
}

auto clients::keepalive_random_feed() -> void {
    if (feeds_.empty()) {
        return;
    }
    const auto at = world_.random() % feeds_.size();
    auto* flow = find(feeds_[at]);
    if (flow == nullptr || flow->is_closing) {
        feeds_[at] = feeds_.back();
        feeds_.pop_back();
        return;
    }
    auto keepalive = frame_header{};
    keepalive.kind = frame_kind::keepalive;
    auto out = tcp_output{};
    send_frame(*flow, keepalive, out);
    world_.send_all(flow->zone, out);
    arm_timer(*flow);
}

auto clients::verify_feeds(std::size_t limit) -> bool {
    for (auto done = std::size_t{0}; done < limit && next_verified_ < feeds_.size(); ++next_verified_) {
        auto* flow = find(feeds_[next_verified_]);
        if (flow == nullptr || flow->is_closing) {
            continue;
        }
        auto request = flow->first;
        request.kind = frame_kind::request;
        auto out = tcp_output{};
        ++unverified_;
        send_frame(*flow, request, out);
        world_.send_all(flow->zone, out);
        arm_timer(*flow);
        set_time_limit(*flow);
        ++done;
    }
    return next_verified_ < feeds_.size();
}

}  // namespace agatepost::rig
