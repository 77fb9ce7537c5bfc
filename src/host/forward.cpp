#include "core/counter_func.h"
#include "flow/hash_func.h"
#include "host/forward_func.h"
#include "net/packet_func.h"

namespace agatepost {

namespace {

// A parsed packet on its way through the host.
struct packet_in {
    std::uint8_t* data;
    std::size_t size;
    packet_headers headers;
};

// A refused TCP packet is answered with a reset; resets are never answered.
auto refuse(const packet_in& packet, counter reason, packet_sink& sink) -> void {
    count(reason);
    if (packet.headers.protocol == ip_protocol::tcp) {
        if (!packet.headers.has_flags(tcp_flag::rst)) {
            const auto reset = build_reset_reply(packet.headers);
            sink.copy_to_fabric(reset.data(), reset.size());
        }
        return;
    }
    const auto prohibited = build_icmp_prohibited(packet.data, packet.headers);
    sink.copy_to_fabric(prohibited.data(), prohibited.size());
}

auto carries_index(const forward_context& context, const packet_headers& headers) -> bool {
    return context.placement->carries_target && headers.protocol == ip_protocol::tcp &&
           headers.has_timestamp() && !headers.is_syn();
}

// Returns the target of a forward packet, or nullptr with the reason of refusal.
auto find_target(const forward_context& context, const snapshot_service& found, const packet_headers& headers,
                 counter& reason) -> const target* {
    const auto& pool = context.config->pools[found.pool];
    if (carries_index(context, headers) && headers.timestamp_echo_low != 0) {
        reason = counter::refuse_unknown_index;
        return pool.target_of_index(headers.timestamp_echo_low);
    }
    reason = counter::refuse_no_target;
    const auto id = id_of(flow_key{headers.source, found.object.address, found.object.protocol});
    return context.placement->pick(pool, context.zone, id);
}

auto forward_to_target(const forward_context& context, const snapshot_service& found, const packet_in& packet,
                       packet_sink& sink) -> void {
    auto reason = counter::refuse_no_target;
    const auto* chosen = find_target(context, found, packet.headers, reason);
    if (chosen == nullptr) {
        refuse(packet, reason, sink);
        return;
    }
    if (carries_index(context, packet.headers)) {
        rewrite_timestamp_echo_low(packet.data, packet.headers, 0);
    }
    rewrite_destination(packet.data, packet.headers, endpoint{chosen->address, found.object.target_port});
    count(counter::packets_forwarded);
    sink.to_fabric(packet.data, packet.headers.size);
}

auto return_to_client(const forward_context& context, const reverse_entry& entry, const packet_in& packet,
                      packet_sink& sink) -> void {
    const auto& found = context.config->services[entry.service];
    const auto& sender = context.config->pools[found.pool].targets[entry.target];
    if (context.placement->carries_target && packet.headers.protocol == ip_protocol::tcp &&
        packet.headers.has_timestamp()) {
        rewrite_timestamp_value_low(packet.data, packet.headers, sender.index);
    }
    rewrite_source(packet.data, packet.headers, found.object.address);
    count(counter::packets_returned);
    sink.to_fabric(packet.data, packet.headers.size);
}

// An error about a forward packet goes to the client and must name the service, not the target. An error
// about a reverse packet goes to the target that sent it.
auto forward_icmp_error(const forward_context& context, const packet_in& packet, packet_sink& sink) -> void {
    const auto quoted = parse_quoted_packet(packet.data + packet.headers.payload_offset,
                                            packet.headers.size - packet.headers.payload_offset);
    if (!quoted) {
        count(quoted.error());
        return;
    }
    const auto& config = *context.config;
    const auto about_forward =
        config.service_by_target.find(transport_key{quoted->destination, quoted->protocol});
    if (about_forward != config.service_by_target.end() &&
        quoted->source.address == packet.headers.destination.address) {
        const auto& found = config.services[about_forward->second.service];
        auto change = icmp_rewrite{};
        change.quoted_destination = &found.object.address;
        if (packet.headers.source.address == quoted->destination.address) {
            change.outer_source = &found.object.address;
        }
        rewrite_icmp_error(packet.data, packet.headers, *quoted, change);
        count(counter::packets_returned);
        sink.to_fabric(packet.data, packet.headers.size);
        return;
    }
    const auto* found = config.find_service(quoted->source, quoted->protocol);
    if (found == nullptr || quoted->source.address != packet.headers.destination.address) {
        count(counter::drop_unknown_service);
        return;
    }
    const auto id = id_of(flow_key{quoted->destination, found->object.address, found->object.protocol});
    const auto* chosen = context.placement->pick(config.pools[found->pool], context.zone, id);
    if (chosen == nullptr) {
        count(counter::drop_icmp_unmatched);
        return;
    }
    const auto end = endpoint{chosen->address, found->object.target_port};
    auto change = icmp_rewrite{};
    change.outer_destination = &end;
    change.quoted_source = &end;
    rewrite_icmp_error(packet.data, packet.headers, *quoted, change);
    count(counter::packets_forwarded);
    sink.to_fabric(packet.data, packet.headers.size);
}

}  // namespace

auto forward_packet(const forward_context& context, const received_packet& received, packet_sink& sink)
    -> void {
    const auto parsed = parse_packet(received.inner, received.size);
    if (!parsed) {
        count(parsed.error());
        return;
    }
    const auto packet = packet_in{received.inner, received.size, *parsed};
    if (parsed->protocol == ip_protocol::icmp || parsed->protocol == ip_protocol::icmpv6) {
        forward_icmp_error(context, packet, sink);
        return;
    }
    const auto& config = *context.config;
    if (const auto* found = config.find_service(parsed->destination, parsed->protocol)) {
        forward_to_target(context, *found, packet, sink);
        return;
    }
    const auto reverse = config.service_by_target.find(transport_key{parsed->source, parsed->protocol});
    if (reverse != config.service_by_target.end()) {
        return_to_client(context, reverse->second, packet, sink);
        return;
    }
    if (config.revision == 0) {
        refuse(packet, counter::refuse_not_ready, sink);
        return;
    }
    count(counter::drop_unknown_service);
}

}  // namespace agatepost
