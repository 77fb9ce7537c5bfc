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
        auto server = std::make_unique<target_server>();
        server->spec = spec;
        server->number = static_cast<std::uint16_t>(all.size());
        by_address_[spec.object.address] = server.get();
        all.push_back(std::move(server));
    }
}

auto targets::group_of(const target_server& server) const -> std::size_t {
    const auto zone = std::find(world_.zones.begin(), world_.zones.end(), server.spec.object.zone);
    return static_cast<std::size_t>(zone - world_.zones.begin()) * world_.workload.pools.size() +
           server.spec.pool;
}

auto targets::receive(const fabric_packet& packet) -> bool {
    const auto found = by_address_.find(packet.headers.destination.address);
    if (found == by_address_.end()) {
        return false;
    }
    auto& server = *found->second;
    if (packet.host != nullptr && world_.net.is_partitioned(packet.host->zone, server.spec.object.zone)) {
        world_.net.count_partition_drop();
        return true;
    }
    if (server.is_dead) {
        return true;
    }
    if (packet.headers.protocol == ip_protocol::tcp) {
        receive_tcp(server, packet);
    } else if (packet.headers.protocol == ip_protocol::udp) {
        receive_udp(server, packet);
    }
    return true;
}

auto targets::receive_tcp(target_server& server, const fabric_packet& packet) -> void {
    const auto key = flow_key_pair{packet.headers.source, packet.headers.destination.port};
    const auto found = server.flows.find(key);
    if (found == server.flows.end()) {
        open_flow(server, packet);
        return;
    }
    auto& flow = *found->second;
    if (flow.is_muted) {
        return;
    }
    auto out = tcp_output{};
    tcp_receive(flow.tcp, packet.headers, packet.data, world_.now_ms, out);
    process_output(server, key, out);
}

auto targets::open_flow(target_server& server, const fabric_packet& packet) -> void {
    const auto zone = zone_of_client(packet.headers.source.address);
    const auto service = service_of_port(packet.headers.destination.port);
    const auto is_known = service < world_.workload.services.size() &&
                          world_.workload.services[service].pool == server.spec.pool &&
                          world_.workload.services[service].protocol == ip_protocol::tcp;
    if (!packet.headers.is_syn() || server.is_shedding || !is_known) {
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
    flow->arrival = record_arrival(server, flow->is_waiting);
    server.unfinished += flow->is_waiting ? 1 : 0;
    server.feeds += flow->is_waiting ? 0 : 1;
    const auto key = flow_key_pair{packet.headers.source, packet.headers.destination.port};
    server.flows[key] = std::move(flow);
    process_output(server, key, out);
}

auto targets::record_arrival(target_server& server, bool is_request) -> std::size_t {
    auto arrival = flow_arrival{};
    arrival.time_ms = world_.now_ms;
    arrival.target = server.number;
    arrival.group = group_of(server);
    arrival.is_request = is_request;
    if (is_request && server.unfinished >= static_cast<int>(server.spec.object.slots)) {
        arrival.is_avoidable = std::any_of(all.begin(), all.end(), [&](const auto& other) {
            return group_of(*other) == arrival.group && other->is_ready && !other->is_dead &&
                   other->unfinished < static_cast<int>(other->spec.object.slots);
        });
    }
    arrivals.push_back(arrival);
    return arrivals.size() - 1;
}

auto targets::process_output(target_server& server, const flow_key_pair& key, tcp_output& out) -> void {
    const auto zone = zone_of_client(key.first.address);
    auto& flow = *server.flows.at(key);
    if (!out.received.empty()) {
        const auto received = std::exchange(out.received, {});
        flow.reader.read(received, {[](const frame_header&, std::size_t, bool) {},
                                    [&](const frame_header& header, bool is_correct) {
                                        process_request(server, flow, header, is_correct);
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
                                     false, true, flow.service, server.number, 0, client_flow, 0});
        }
        drop_flow(server, key);
        return;
    }
    arm_timer(server, key, flow);
}

auto targets::drop_flow(target_server& server, const flow_key_pair& key) -> void {
    const auto found = server.flows.find(key);
    auto& flow = *found->second;
    if (flow.is_waiting) {
        mark_request_finished(server, flow);
    }
    if (world_.workload.services[flow.service].kind == flow_kind::feed) {
        --server.feeds;
        arrivals[flow.arrival].end_ms = world_.now_ms;
    }
    server.flows.erase(found);
}

auto targets::mark_request_finished(target_server& server, target_flow& flow) -> void {
    flow.is_waiting = false;
    --server.unfinished;
    arrivals[flow.arrival].end_ms = world_.now_ms;
}

auto targets::arm_timer(target_server& server, const flow_key_pair& key, target_flow& flow) -> void {
    if (flow.tcp.deadline_ms >= flow.timer_ms) {
        return;
    }
    flow.timer_ms = flow.tcp.deadline_ms;
    world_.timers.add(flow.timer_ms, [this, &server, key] {
        const auto found = server.flows.find(key);
        if (found == server.flows.end()) {
            return;
        }
        found->second->timer_ms = no_deadline;
        auto out = tcp_output{};
        tcp_tick(found->second->tcp, world_.now_ms, out);
        if (found->second->is_muted) {
            out.packets.clear();
        }
        process_output(server, key, out);
    });
}

auto targets::process_request(target_server& server, target_flow& flow, const frame_header& header,
                              bool is_correct) -> void {
    if (header.kind == frame_kind::keepalive) {
        return;
    }
    world_.events.push_back({world_.now_ms, event_kind::request_run, false, is_correct, flow.service,
                             server.number, 0, 0, header.id});
    if (header.kind == frame_kind::subscribe) {
        flow.feed_id = header.id;
    }
    if (flow.feed_id != 0) {
        send_frame(server, flow, answer_to(header));  // requests on a feed occupy no slot
        return;
    }
    enqueue(server, target_job{flow.tcp.remote, flow.service, header, world_.now_ms});
}

auto targets::receive_udp(target_server& server, const fabric_packet& packet) -> void {
    const auto service = service_of_port(packet.headers.destination.port);
    const auto* payload = reinterpret_cast<const char*>(packet.data) + packet.headers.payload_offset;
    auto reader = frame_reader{};
    reader.read(
        std::string_view(payload, packet.headers.size - packet.headers.payload_offset),
        {[](const frame_header&, std::size_t, bool) {},
         [&](const frame_header& header, bool is_correct) {
             world_.events.push_back({world_.now_ms, event_kind::request_run, true, is_correct,
                                      static_cast<std::uint16_t>(service), server.number, 0, 0, header.id});
             enqueue(server, target_job{packet.headers.source, static_cast<std::uint16_t>(service), header,
                                        world_.now_ms});
         },
         [] {}});
}

auto targets::enqueue(target_server& server, const target_job& job) -> void {
    server.queue.push_back(job);
    start_next(server);
}

auto targets::start_next(target_server& server) -> void {
    while (server.busy < static_cast<int>(server.spec.object.slots) && !server.queue.empty()) {
        const auto job = server.queue.front();
        server.queue.pop_front();
        const auto flow = server.flows.find(flow_key_pair{job.client, service_target_port(job.service)});
        if (world_.workload.services[job.service].protocol == ip_protocol::tcp) {
            if (flow == server.flows.end()) {
                continue;  // cancelled: the client closed the flow
            }
            arrivals[flow->second->arrival].queued_ms = world_.now_ms - job.queued_ms;
        }
        ++server.busy;
        auto work = static_cast<double>(job.request.work_ms);
        work *= world_.now_ms < server.slow_until_ms ? server.slow_factor : 1;
        world_.timers.add(world_.now_ms + static_cast<std::int64_t>(work), [this, &server, job] {
            if (server.busy > 0) {
                --server.busy;
            }
            complete(server, job);
            start_next(server);
        });
    }
}

auto targets::complete(target_server& server, const target_job& job) -> void {
    if (server.is_dead) {
        return;
    }
    const auto answer = answer_to(job.request);
    if (world_.workload.services[job.service].protocol == ip_protocol::udp) {
        const auto source = endpoint{server.spec.object.address, service_target_port(job.service)};
        world_.net.send(zone_of_client(job.client.address),
                        build_datagram(source, job.client, to_bytes(answer)));
        return;
    }
    const auto found = server.flows.find(flow_key_pair{job.client, service_target_port(job.service)});
    if (found == server.flows.end()) {
        return;
    }
    if (found->second->is_waiting) {
        mark_request_finished(server, *found->second);
    }
    send_frame(server, *found->second, answer);
}

auto targets::send_frame(target_server& server, target_flow& flow, const frame_header& header) -> void {
    auto out = tcp_output{};
    tcp_send(flow.tcp, to_bytes(header), world_.now_ms, out);
    if (flow.is_muted) {
        out.packets.clear();
    }
    world_.send_all(zone_of_client(flow.tcp.remote.address), out);
    arm_timer(server, flow_key_pair{flow.tcp.remote, flow.tcp.local.port}, flow);
}

auto targets::push_to_random_feed() -> void {
    auto& server = *all[world_.random() % all.size()];
    if (server.is_dead || server.feeds == 0 || server.flows.empty()) {
        return;
    }
    // Picks a random flow among the first 256 of the table, which bounds the walk. No push if it is not a
    // feed.
    auto at = server.flows.begin();
    std::advance(
        at, static_cast<std::ptrdiff_t>(world_.random() % std::min<std::size_t>(server.flows.size(), 256)));
    if (at->second->feed_id != 0 && !at->second->is_muted) {
        auto push = frame_header{};
        push.kind = frame_kind::push;
        push.id = at->second->feed_id;
        push.body_size = 200;
        send_frame(server, *at->second, push);
    }
}

auto targets::excuse_flows(const target_server& server) -> void {
    for (const auto& [key, flow] : server.flows) {
        const auto client_flow = flow_of_client(key.first);
        if (client_flow != 0) {
            world_.events.push_back({world_.now_ms, event_kind::flow_excused, false, true, flow->service,
                                     server.number, 0, client_flow, 0});
        }
    }
}

auto targets::kill(target_server& server) -> void {
    excuse_flows(server);
    server.is_dead = true;
    server.is_ready = false;
    server.report->is_answering = false;
    while (!server.flows.empty()) {
        drop_flow(server, server.flows.begin()->first);
    }
    server.queue.clear();
}

auto targets::start_cold(target_server& server, std::int64_t slow_ms) -> void {
    server.is_dead = false;
    server.is_ready = true;
    server.busy = 0;
    server.slow_until_ms = world_.now_ms + slow_ms;
    server.report->is_answering = true;
}

auto targets::mute_open_flows(target_server& server) -> void {
    excuse_flows(server);
    for (auto& [key, flow] : server.flows) {
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
    for (auto& server : all) {
        server->report->slots_busy = server->busy;
        server->report->connections = static_cast<int>(server->flows.size());
    }
}

}  // namespace agatepost::rig
