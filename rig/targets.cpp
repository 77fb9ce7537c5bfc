#include "targets_base.h"

#include <algorithm>

#include "mix_func.h"
#include "net/packet_func.h"

namespace agatepost::rig {

namespace {

auto answer_to(const frame_header& request) -> frame_header {
    auto answer = request;
    answer.kind = frame_kind::answer;
    answer.body_size = request.answer_size;
    return answer;
}

}  // namespace

targets::targets(world& shared, const std::vector<mix_target>& specs) : world_(shared) {
    for (const auto& spec : specs) {
        auto one = std::make_unique<target_server>();
        one->spec = spec;
        one->number = static_cast<std::uint16_t>(all.size());
        by_address_[spec.object.address] = one.get();
        all.push_back(std::move(one));
    }
}

auto targets::group_of(const target_server& one) const -> std::size_t {
    const auto zone = std::find(world_.zones.begin(), world_.zones.end(), one.spec.object.zone);
    return static_cast<std::size_t>(zone - world_.zones.begin()) * world_.workload.pools.size() +
           one.spec.pool;
}

auto targets::receive(const fabric_packet& packet) -> bool {
    const auto found = by_address_.find(packet.headers.destination.address);
    if (found == by_address_.end()) {
        return false;
    }
    auto& one = *found->second;
    if (packet.host != nullptr && world_.net.is_cut(packet.host->zone, one.spec.object.zone)) {
        world_.net.count_cut();
        return true;
    }
    if (one.is_dead) {
        return true;
    }
    if (packet.headers.protocol == ip_protocol::tcp) {
        receive_tcp(one, packet);
    } else if (packet.headers.protocol == ip_protocol::udp) {
        receive_udp(one, packet);
    }
    return true;
}

auto targets::receive_tcp(target_server& one, const fabric_packet& packet) -> void {
    const auto key = flow_key_pair{packet.headers.source, packet.headers.destination.port};
    const auto found = one.flows.find(key);
    if (found == one.flows.end()) {
        open_flow(one, packet);
        return;
    }
    auto& flow = *found->second;
    if (flow.is_muted) {
        return;
    }
    auto out = tcp_output{};
    tcp_receive(flow.tcp, packet.headers, packet.data, world_.now_ms, out);
    after_call(one, key, out);
}

auto targets::open_flow(target_server& one, const fabric_packet& packet) -> void {
    const auto zone = zone_of_client(packet.headers.source.address);
    const auto service = service_of_port(packet.headers.destination.port);
    const auto is_known = service < world_.workload.services.size() &&
                          world_.workload.services[service].pool == one.spec.pool &&
                          world_.workload.services[service].protocol == ip_protocol::tcp;
    if (!packet.headers.is_syn() || one.is_shedding || !is_known) {
        if (!packet.headers.has_flags(tcp_flag::rst)) {
            world_.net.send(zone, build_reset_reply(packet.headers));
        }
        return;
    }
    auto out = tcp_output{};
    auto flow = std::make_unique<target_flow>();
    flow->tcp = tcp_accept(packet.headers, packet.data, static_cast<std::uint32_t>(world_.random()),
                           world_.now_ms, out);
    flow->service = static_cast<std::uint16_t>(service);
    flow->is_waiting = world_.workload.services[service].kind == flow_kind::request;
    flow->arrival = note_arrival(one, flow->is_waiting);
    one.unfinished += flow->is_waiting ? 1 : 0;
    one.feeds += flow->is_waiting ? 0 : 1;
    const auto key = flow_key_pair{packet.headers.source, packet.headers.destination.port};
    one.flows[key] = std::move(flow);
    after_call(one, key, out);
}

auto targets::note_arrival(target_server& one, bool is_request) -> std::size_t {
    auto arrival = flow_arrival{};
    arrival.time_ms = world_.now_ms;
    arrival.target = one.number;
    arrival.group = group_of(one);
    arrival.is_request = is_request;
    if (is_request && one.unfinished >= static_cast<int>(one.spec.object.slots)) {
        arrival.is_avoidable = std::any_of(all.begin(), all.end(), [&](const auto& other) {
            return group_of(*other) == arrival.group && other->is_ready && !other->is_dead &&
                   other->unfinished < static_cast<int>(other->spec.object.slots);
        });
    }
    arrivals.push_back(arrival);
    return arrivals.size() - 1;
}

auto targets::after_call(target_server& one, const flow_key_pair& key, tcp_output& out) -> void {
    const auto zone = zone_of_client(key.first.address);
    auto& flow = *one.flows.at(key);
    if (!out.received.empty()) {
        const auto received = std::exchange(out.received, {});
        flow.reader.read(received, {[](const frame_header&, std::size_t, bool) {},
                                    [&](const frame_header& header, bool is_correct) {
                                        take_request(one, flow, header, is_correct);
                                    },
                                    [&] { tcp_abort(flow.tcp, out); }});
    }
    if (out.peer_closed) {
        tcp_close(flow.tcp, world_.now_ms, out);
    }
    world_.send_all(zone, out);
    if (flow.tcp.state == tcp_state::closed) {
        const auto client_flow = flow_of_client(key.first);
        // A flow that the client never saw established, or already closed, is not broken by its end here.
        if (client_flow != 0 && (out.was_reset || out.timed_out) && flow.feed_id != 0 && !flow.is_muted) {
            world_.events.push_back({world_.now_ms,
                                     out.was_reset ? event_kind::flow_reset : event_kind::flow_timed_out,
                                     false, true, flow.service, one.number, 0, client_flow, 0});
        }
        drop_flow(one, key);
        return;
    }
    arm(one, key, flow);
}

auto targets::drop_flow(target_server& one, const flow_key_pair& key) -> void {
    const auto found = one.flows.find(key);
    auto& flow = *found->second;
    if (flow.is_waiting) {
        finish_waiting(one, flow);
    }
    if (world_.workload.services[flow.service].kind == flow_kind::feed) {
        --one.feeds;
        arrivals[flow.arrival].end_ms = world_.now_ms;
    }
    one.flows.erase(found);
}

auto targets::finish_waiting(target_server& one, target_flow& flow) -> void {
    flow.is_waiting = false;
    --one.unfinished;
    arrivals[flow.arrival].end_ms = world_.now_ms;
}

auto targets::arm(target_server& one, const flow_key_pair& key, target_flow& flow) -> void {
    if (flow.tcp.deadline_ms >= flow.timer_ms) {
        return;
    }
    flow.timer_ms = flow.tcp.deadline_ms;
    world_.timers.add(flow.timer_ms, [this, &one, key] {
        const auto found = one.flows.find(key);
        if (found == one.flows.end()) {
            return;
        }
        found->second->timer_ms = no_deadline;
        auto out = tcp_output{};
        tcp_tick(found->second->tcp, world_.now_ms, out);
        if (found->second->is_muted) {
            out.packets.clear();
        }
        after_call(one, key, out);
    });
}

auto targets::take_request(target_server& one, target_flow& flow, const frame_header& header, bool is_correct)
    -> void {
    if (header.kind == frame_kind::keepalive) {
        return;
    }
    world_.events.push_back({world_.now_ms, event_kind::request_run, false, is_correct, flow.service,
                             one.number, 0, 0, header.id});
    if (header.kind == frame_kind::subscribe) {
        flow.feed_id = header.id;
    }
    if (flow.feed_id != 0) {
        send_frame(one, flow, answer_to(header));  // requests on a feed occupy no slot
        return;
    }
    enqueue(one, target_job{flow.tcp.remote, flow.service, header, world_.now_ms});
}

auto targets::receive_udp(target_server& one, const fabric_packet& packet) -> void {
    const auto service = service_of_port(packet.headers.destination.port);
    const auto* payload = reinterpret_cast<const char*>(packet.data) + packet.headers.payload_offset;
    auto reader = frame_reader{};
    reader.read(
        std::string_view(payload, packet.headers.size - packet.headers.payload_offset),
        {[](const frame_header&, std::size_t, bool) {},
         [&](const frame_header& header, bool is_correct) {
             world_.events.push_back({world_.now_ms, event_kind::request_run, true, is_correct,
                                      static_cast<std::uint16_t>(service), one.number, 0, 0, header.id});
             enqueue(one, target_job{packet.headers.source, static_cast<std::uint16_t>(service), header,
                                     world_.now_ms});
         },
         [] {}});
}

auto targets::enqueue(target_server& one, const target_job& job) -> void {
    one.queue.push_back(job);
    start_next(one);
}

auto targets::start_next(target_server& one) -> void {
    while (one.busy < static_cast<int>(one.spec.object.slots) && !one.queue.empty()) {
        const auto job = one.queue.front();
        one.queue.pop_front();
        const auto flow = one.flows.find(flow_key_pair{job.client, service_target_port(job.service)});
        if (world_.workload.services[job.service].protocol == ip_protocol::tcp) {
            if (flow == one.flows.end()) {
                continue;  // cancelled: the client closed the flow
            }
            arrivals[flow->second->arrival].queued_ms = world_.now_ms - job.queued_ms;
        }
        ++one.busy;
        auto work = static_cast<double>(job.request.work_ms);
        work *= world_.now_ms < one.slow_until_ms ? one.slow_factor : 1;
        world_.timers.add(world_.now_ms + static_cast<std::int64_t>(work), [this, &one, job] {
            if (one.busy > 0) {
                --one.busy;
            }
            complete(one, job);
            start_next(one);
        });
    }
}

auto targets::complete(target_server& one, const target_job& job) -> void {
    if (one.is_dead) {
        return;
    }
    const auto answer = answer_to(job.request);
    if (world_.workload.services[job.service].protocol == ip_protocol::udp) {
        const auto source = endpoint{one.spec.object.address, service_target_port(job.service)};
        world_.net.send(zone_of_client(job.client.address),
                        build_datagram(source, job.client, to_bytes(answer)));
        return;
    }
    const auto found = one.flows.find(flow_key_pair{job.client, service_target_port(job.service)});
    if (found == one.flows.end()) {
        return;
    }
    if (found->second->is_waiting) {
        finish_waiting(one, *found->second);
    }
    send_frame(one, *found->second, answer);
}

auto targets::send_frame(target_server& one, target_flow& flow, const frame_header& header) -> void {
    auto out = tcp_output{};
    tcp_send(flow.tcp, to_bytes(header), world_.now_ms, out);
    if (flow.is_muted) {
        out.packets.clear();
    }
    world_.send_all(zone_of_client(flow.tcp.remote.address), out);
    arm(one, flow_key_pair{flow.tcp.remote, flow.tcp.local.port}, flow);
}

auto targets::push_to_random_feed() -> void {
    auto& one = *all[world_.random() % all.size()];
    if (one.is_dead || one.feeds == 0 || one.flows.empty()) {
        return;
    }
    // Searches a bounded number of flows from a random position and skips flows that are not feeds.
    auto at = one.flows.begin();
    std::advance(at,
                 static_cast<std::ptrdiff_t>(world_.random() % std::min<std::size_t>(one.flows.size(), 256)));
    if (at->second->feed_id != 0 && !at->second->is_muted) {
        auto push = frame_header{};
        push.kind = frame_kind::push;
        push.id = at->second->feed_id;
        push.body_size = 200;
        send_frame(one, *at->second, push);
    }
}

auto targets::excuse_flows(const target_server& one) -> void {
    for (const auto& [key, flow] : one.flows) {
        const auto client_flow = flow_of_client(key.first);
        if (client_flow != 0) {
            world_.events.push_back({world_.now_ms, event_kind::flow_excused, false, true, flow->service,
                                     one.number, 0, client_flow, 0});
        }
    }
}

auto targets::kill(target_server& one) -> void {
    excuse_flows(one);
    one.is_dead = true;
    one.is_ready = false;
    one.report->is_answering = false;
    while (!one.flows.empty()) {
        drop_flow(one, one.flows.begin()->first);
    }
    one.queue.clear();
}

auto targets::start_cold(target_server& one, std::int64_t slow_ms) -> void {
    one.is_dead = false;
    one.is_ready = true;
    one.busy = 0;
    one.slow_until_ms = world_.now_ms + slow_ms;
    one.report->is_answering = true;
}

auto targets::mute_open_flows(target_server& one) -> void {
    excuse_flows(one);
    for (auto& [key, flow] : one.flows) {
        flow->is_muted = true;
    }
}

auto targets::late_to_draining(std::int64_t limit_ms) const -> std::uint64_t {
    return static_cast<std::uint64_t>(
        std::count_if(arrivals.begin(), arrivals.end(), [&](const auto& arrival) {
            const auto drained_ms = all[arrival.target]->drained_ms;
            return drained_ms >= 0 && arrival.time_ms > drained_ms + limit_ms;
        }));
}

auto targets::publish_reports() -> void {
    for (auto& one : all) {
        one->report->slots_busy = one->busy;
        one->report->connections = static_cast<int>(one->flows.size());
    }
}

}  // namespace agatepost::rig
