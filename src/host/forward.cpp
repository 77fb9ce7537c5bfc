#include "host/forward_func.h"

#include <algorithm>

#include "core/counter_func.h"
#include "core/history_func.h"
#include "flow/hash_func.h"
#include "net/byte_order_func.h"
#include "net/checksum_func.h"
#include "net/packet_func.h"
#include "peer/host_view_func.h"

namespace agatepost {

namespace {

// A received packet with its parsed headers.
struct parsed_packet {
    std::uint8_t* data;
    std::size_t size;
    packet_headers headers;
};

// Refuses a packet: answers TCP with a reset, other protocols with an ICMP error. Resets are not answered.
// `found` is nullptr if the service is unknown.
auto refuse(const snapshot_service* found, const parsed_packet& packet, counter reason, packet_sink& sink)
    -> void {
    if (found != nullptr) {
        count(reason, found->object.name);
    } else {
        count(reason);
    }
    record_history(history_kind::refusal, [&] {
        return history_fields{{"reason", std::string(counter_name(reason))},
                              {"client", to_text(packet.headers.source)},
                              {"service", to_text(packet.headers.destination)}};
    });
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

auto is_tcp(const packet_headers& headers) -> bool {
    return headers.protocol == ip_protocol::tcp;
}

auto is_reset(const packet_headers& headers) -> bool {
    return is_tcp(headers) && headers.has_flags(tcp_flag::rst);
}

auto is_close(const packet_headers& headers) -> bool {
    return is_tcp(headers) && (headers.tcp_flags & (tcp_flag::fin | tcp_flag::rst)) != 0;
}

// A stack that refuses a SYN answers with sequence number 0 and without timestamps (RFC 9293, 3.10.7.1).
auto is_refusing_reset(const packet_headers& headers) -> bool {
    return headers.has_flags(tcp_flag::rst | tcp_flag::ack) && headers.tcp_sequence == 0 &&
           !headers.has_timestamp();
}

auto forward_id(const snapshot_service& found, const packet_headers& headers) -> flow_id {
    return id_of(flow_key{headers.source, found.object.address, found.object.protocol});
}

auto reverse_id(const snapshot_service& found, const packet_headers& headers) -> flow_id {
    return id_of(flow_key{headers.destination, found.object.address, found.object.protocol});
}

// Returns `host`, or nullptr if it is this host.
auto null_if_self(const host_view& view, const host_record* host) -> const host_record* {
    return host == nullptr || host->name == view.self ? nullptr : host;
}

auto other_chooser(const forward_context& context, const snapshot_service& found) -> const host_record* {
    const auto& pool = context.config->pools[found.pool];
    const auto* chooser = host_of_rank(*context.view, stable_hash(pool.name), 0);
    return null_if_self(*context.view, chooser);
}

auto other_owner(const forward_context& context, const flow_id& id) -> const host_record* {
    const auto buckets = context.flows->buckets.of_view(*context.view, context.at);
    const auto* owner = null_if_self(*context.view, buckets->owner(id));
    // The returned record must outlive the bucket table, so it is that of the view.
    if (owner == nullptr) {
        return nullptr;
    }
    const auto& hosts = context.view->hosts;
    const auto found = std::find_if(hosts.begin(), hosts.end(),
                                    [&](const host_record& host) { return host.name == owner->name; });
    return found == hosts.end() ? nullptr : &*found;
}

auto relay(const host_record& host, relay_reason reason, const parsed_packet& packet, packet_sink& sink)
    -> void {
    count(counter::packets_relayed);
    sink.to_host(host.data, reason, packet.data, packet.headers.size);
}

// Bytes on the wire that a host-to-host packet adds to the inner packet: Geneve with its option, UDP, IPv4.
constexpr std::uint64_t relay_overhead_bytes = geneve_relay_header_size + 8 + 20;

auto relay_copy(const host_record& host, relay_reason reason, const std::vector<std::uint8_t>& packet,
                packet_sink& sink) -> void {
    if (reason == relay_reason::close_notice) {
        count(counter::control_bytes_sent, packet.size() + relay_overhead_bytes);
    }
    count(counter::packets_relayed);
    sink.copy_to_host(host.data, reason, packet.data(), packet.size());
}

auto send_to_target(const forward_context& context, const snapshot_service& found, const target& chosen,
                    const parsed_packet& packet, packet_sink& sink) -> void {
    if (context.placement->carries_target && is_tcp(packet.headers) && packet.headers.has_timestamp()) {
        rewrite_timestamp_echo_low(packet.data, packet.headers, 0);
    }
    rewrite_destination(packet.data, packet.headers, endpoint{chosen.address, found.object.target_port});
    count(counter::packets_forwarded);
    sink.to_fabric(packet.data, packet.headers.size);
}

auto return_to_client(const forward_context& context, const reverse_entry& entry, const parsed_packet& packet,
                      packet_sink& sink) -> void {
    const auto& found = context.config->services[entry.service];
    const auto& sender = context.config->pools[found.pool].targets[entry.target];
    if (context.placement->carries_target && is_tcp(packet.headers) && packet.headers.has_timestamp()) {
        rewrite_timestamp_value_low(packet.data, packet.headers, sender.index);
    }
    rewrite_source(packet.data, packet.headers, found.object.address);
    count(counter::packets_returned);
    sink.to_fabric(packet.data, packet.headers.size);
}

// Records a FIN, reset or SYN-ACK as the chooser and the owner of its flow.
auto record_close(const forward_context& context, const snapshot_service& found, flow_end sender,
                  std::uint8_t index, const parsed_packet& packet, packet_sink& sink) -> void {
    const auto& headers = packet.headers;
    const auto& pool = context.config->pools[found.pool];
    const auto id = sender == flow_end::client ? forward_id(found, headers) : reverse_id(found, headers);
    const auto has_index = headers.has_timestamp();
    const auto chooser = context.flows->choosers.find(pool.name);
    if (headers.is_syn_ack()) {
        if (chooser != nullptr && chooser->target_of(id) != 0) {
            chooser->answer(id, index, found.rules.name, context.at, found.object.name);
        }
        return;
    }
    if (!has_index) {
        context.flows->owned.close(id, sender, is_reset(headers), context.at);
    }
    if (chooser == nullptr && !has_index) {
        return;
    }
    const auto pool_chooser =
        chooser != nullptr ? chooser : chooser_of(*context.flows, *context.config, found.pool, context.at);
    // A client's reset without timestamps does not carry its target; the chooser's entry has it.
    if (sender == flow_end::client && is_reset(headers) && index == 0) {
        if (const auto* chosen = pool.target_of_index(pool_chooser->target_of(id))) {
            auto copy = copy_headers(packet.data, headers);
            const auto reset = parsed_packet{copy.data(), copy.size(), headers};
            rewrite_destination(reset.data, headers, endpoint{chosen->address, found.object.target_port});
            count(counter::packets_forwarded);
            sink.copy_to_fabric(reset.data, copy.size());
        }
    }
    pool_chooser->close(id, sender, is_reset(headers), index, has_index, found.rules.name, context.at);
}

// Sends a notice of a FIN or reset to the chooser; also to the owner if the flow may be one that cannot carry
// its target and the packet itself does not pass through the owner.
auto send_close_notice(const forward_context& context, const snapshot_service& found, flow_end sender,
                       std::uint8_t index, const parsed_packet& packet, packet_sink& sink) -> void {
    const auto* chooser = other_chooser(context, found);
    if (chooser != nullptr) {
        relay_copy(*chooser, relay_reason::close_notice, copy_headers(packet.data, packet.headers), sink);
    } else {
        record_close(context, found, sender, index, packet, sink);
    }
    if (packet.headers.has_timestamp() || sender == flow_end::client || packet.headers.is_syn_ack()) {
        return;
    }
    const auto id = reverse_id(found, packet.headers);
    const auto* owner = other_owner(context, id);
    if (owner == nullptr) {
        context.flows->owned.close(id, sender, is_reset(packet.headers), context.at);
    } else if (chooser == nullptr || owner->name != chooser->name) {
        relay_copy(*owner, relay_reason::close_notice, copy_headers(packet.data, packet.headers), sink);
    }
}

// As the chooser: selects a target for a SYN.
auto open_as_chooser(const forward_context& context, const snapshot_service& found,
                     const parsed_packet& packet, packet_sink& sink) -> void {
    if (context.view->hosts.empty()) {
        count(counter::chooser_fallback);
    }
    const auto chooser = chooser_of(*context.flows, *context.config, found.pool, context.at);
    const auto opened =
        chooser->open(forward_id(found, packet.headers), found.rules.name, packet.headers.tcp_sequence,
                      packet.data, packet.headers.size, context.at, found.object.name);
    const auto* chosen = context.config->pools[found.pool].target_of_index(opened.target);
    if (chosen == nullptr) {
        refuse(&found, packet, opened.reason, sink);
        return;
    }
    send_to_target(context, found, *chosen, packet, sink);
}

// As the chooser: handles a SYN-ACK or a reset that refuses a SYN.
auto answer_as_chooser(const forward_context& context, const reverse_entry& entry,
                       const parsed_packet& packet, packet_sink& sink) -> void {
    const auto& found = context.config->services[entry.service];
    const auto& sender = context.config->pools[found.pool].targets[entry.target];
    const auto chooser = chooser_of(*context.flows, *context.config, found.pool, context.at);
    const auto id = reverse_id(found, packet.headers);
    auto outcome = refusal_result{};
    if (packet.headers.is_syn_ack()) {
        outcome.action = chooser->answer(id, sender.index, found.rules.name, context.at, found.object.name);
    } else {
        outcome = chooser->refused(id, sender.index, context.at, found.object.name);
    }
    switch (outcome.action) {
        case answer_action::to_client:
            return_to_client(context, entry, packet, sink);
            return;
        case answer_action::reset_target: {
            const auto reset = build_reset_reply(packet.headers);
            sink.copy_to_fabric(reset.data(), reset.size());
            return;
        }
        case answer_action::retry:
            forward_syn_retry(context, outcome.retry, sink);
            return;
        case answer_action::drop:
            return;
    }
}

// Records a forward packet for the detection of silent flows, and reports activity to the chooser at
// intervals.
auto track_silence(const forward_context& context, const snapshot_service& found, const target& chosen,
                   const parsed_packet& packet) -> void {
    const auto& headers = packet.headers;
    const auto id = forward_id(found, headers);
    const auto calls_for_answer = headers.size > headers.payload_offset || headers.has_flags(tcp_flag::fin);
    auto& flows = *context.flows;
    const auto recorded =
        flows.notes.record_forward(id, headers.tcp_sequence, calls_for_answer, found.rules.silence_timeout_ms,
                                   found.rules.idle_timeout_ms / 2, context.at);
    const auto& pool = context.config->pools[found.pool];
    if (recorded.is_activity_due && headers.has_timestamp() &&
        flows.activities.push({id, chosen.index, pool.name, found.rules.name})) {
        flows.notes.record_activity_sent(id, context.at);
    }
    if (recorded.is_suspect) {
        auto suspect = silent_suspect{};
        suspect.id = id;
        suspect.key = flow_key{headers.source, found.object.address, found.object.protocol};
        suspect.target = endpoint{chosen.address, found.object.target_port};
        suspect.index = chosen.index;
        suspect.pool = pool.name;
        suspect.sequence = headers.tcp_sequence;
        suspect.acknowledgment = headers.tcp_acknowledgment;
        suspect.since = context.at + -recorded.unanswered_ms;
        flows.suspects.add(suspect);
    }
}

// As the previous owner: uses the entry or exception of the flow, else the pure pick. Adds no entry.
auto forward_as_previous_owner(const forward_context& context, const snapshot_service& found,
                               const parsed_packet& packet, packet_sink& sink) -> void {
    const auto& pool = context.config->pools[found.pool];
    const auto id = forward_id(found, packet.headers);
    const auto known = context.flows->owned.peek(id);
    const auto* chosen =
        known != 0 ? pool.target_of_index(known) : context.placement->pick(pool, context.zone, id);
    if (chosen == nullptr) {
        refuse(&found, packet, known != 0 ? counter::refuse_unknown_flow : counter::refuse_no_target, sink);
        return;
    }
    send_to_target(context, found, *chosen, packet, sink);
}

// As the owner: forwards a packet of a flow that cannot carry its target.
auto forward_as_owner(const forward_context& context, const snapshot_service& found,
                      const parsed_packet& packet, packet_sink& sink) -> void {
    auto& owned = context.flows->owned;
    const auto& headers = packet.headers;
    const auto& pool = context.config->pools[found.pool];
    const auto id = forward_id(found, headers);
    const auto is_open = is_tcp(headers) && headers.is_syn();
    if (is_open) {
        owned.erase_closed(id);
    }
    const auto known = owned.find(id, pool.name, found.rules, headers.protocol, context.at);
    const auto* chosen = pool.target_of_index(known);
    if (known != 0 && chosen == nullptr) {
        owned.erase(id);
        refuse(&found, packet, counter::refuse_unknown_flow, sink);
        return;
    }
    if (known == 0) {
        // A relayed packet can be the first one under a new view, so the bucket tables are updated here.
        context.flows->buckets.of_view(*context.view, context.at);
        const auto previous = is_open ? nullptr : context.flows->buckets.previous(context.at);
        const auto* before = previous == nullptr ? nullptr : null_if_self(*context.view, previous->owner(id));
        if (before != nullptr && is_known_data_address(*context.view, before->data)) {
            count(counter::flow_previous_owner);
            relay(*before, relay_reason::previous_owner, packet, sink);
            return;
        }
        chosen = context.placement->pick(pool, context.zone, id);
        if (chosen == nullptr) {
            refuse(&found, packet, counter::refuse_no_target, sink);
            return;
        }
        count(counter::flow_pure_pick);
        if (!is_reset(headers)) {
            owned.insert(id, pool.name, found.rules, headers.protocol, chosen->index, context.at);
        }
    }
    if (is_close(headers)) {
        owned.close(id, flow_end::client, is_reset(headers), context.at);
    } else if (is_tcp(headers)) {
        track_silence(context, found, *chosen, packet);
    }
    send_to_target(context, found, *chosen, packet, sink);
}

// As the owner: handles a SYN-ACK without timestamps. The SYN passed through this host, or it offered
// timestamps and passed through the chooser; then the sender of the SYN-ACK is the target.
auto answer_as_owner(const forward_context& context, const reverse_entry& entry, const parsed_packet& packet,
                     packet_sink& sink) -> void {
    auto& owned = context.flows->owned;
    const auto& found = context.config->services[entry.service];
    const auto& pool = context.config->pools[found.pool];
    const auto& sender = pool.targets[entry.target];
    const auto id = reverse_id(found, packet.headers);
    owned.erase_closed(id);
    const auto known = owned.find(id, pool.name, found.rules, packet.headers.protocol, context.at);
    if (known != 0 && known != sender.index) {
        count(counter::drop_late_answer, found.object.name);
        const auto reset = build_reset_reply(packet.headers);
        sink.copy_to_fabric(reset.data(), reset.size());
        return;
    }
    if (known == 0) {
        owned.insert(id, pool.name, found.rules, packet.headers.protocol, sender.index, context.at);
        const auto* picked = context.placement->pick(pool, context.zone, id);
        if (picked == nullptr || picked->index != sender.index) {
            context.flows->new_exceptions.push(id);
        }
    }
    return_to_client(context, entry, packet, sink);
}

// Relays a FIN through the chooser, as SYNs are. A notice for each FIN would exceed the control budget of a
// host at a few hundred closes a second. A FIN that a dying chooser loses is retransmitted by its sender;
// resets are not, so they are forwarded directly, with a notice. Returns false if this host is the chooser or
// the packet is no FIN.
auto relay_fin(const forward_context& context, const snapshot_service& found, const parsed_packet& packet,
               packet_sink& sink) -> bool {
    if (!packet.headers.has_flags(tcp_flag::fin) || is_reset(packet.headers)) {
        return false;
    }
    const auto* chooser = other_chooser(context, found);
    if (chooser == nullptr) {
        return false;
    }
    relay(*chooser, relay_reason::close, packet, sink);
    return true;
}

// As the chooser: records a FIN that another host relayed and forwards the packet.
auto close_as_chooser(const forward_context& context, const parsed_packet& packet,
                      const snapshot_service& found, const reverse_entry* reverse, packet_sink& sink)
    -> void {
    const auto& pool = context.config->pools[found.pool];
    const auto index =
        reverse == nullptr ? packet.headers.timestamp_echo_low : pool.targets[reverse->target].index;
    const auto* chosen = pool.target_of_index(index);
    if (chosen == nullptr) {
        refuse(&found, packet, counter::refuse_unknown_index, sink);
        return;
    }
    const auto sender = reverse == nullptr ? flow_end::client : flow_end::target;
    record_close(context, found, sender, index, packet, sink);
    if (reverse == nullptr) {
        send_to_target(context, found, *chosen, packet, sink);
    } else {
        return_to_client(context, *reverse, packet, sink);
    }
}

// Forwards a packet whose timestamp echo carries the index of its target, without a flow lookup.
auto forward_by_index(const forward_context& context, const snapshot_service& found,
                      const parsed_packet& packet, packet_sink& sink) -> void {
    const auto index = packet.headers.timestamp_echo_low;
    const auto* chosen = context.config->pools[found.pool].target_of_index(index);
    if (chosen == nullptr) {
        if (is_reset(packet.headers)) {
            send_close_notice(context, found, flow_end::client, 0, packet, sink);
        }
        refuse(&found, packet, counter::refuse_unknown_index, sink);
        return;
    }
    if (relay_fin(context, found, packet, sink)) {
        return;
    }
    if (is_close(packet.headers)) {
        send_close_notice(context, found, flow_end::client, index, packet, sink);
    } else {
        track_silence(context, found, *chosen, packet);
    }
    send_to_target(context, found, *chosen, packet, sink);
}

auto forward_to_target(const forward_context& context, const snapshot_service& found,
                       const parsed_packet& packet, packet_sink& sink) -> void {
    const auto& headers = packet.headers;
    if (!context.placement->carries_target) {
        const auto& pool = context.config->pools[found.pool];
        const auto* chosen = context.placement->pick(pool, context.zone, forward_id(found, headers));
        if (chosen == nullptr) {
            refuse(&found, packet, counter::refuse_no_target, sink);
            return;
        }
        send_to_target(context, found, *chosen, packet, sink);
        return;
    }
    if (is_tcp(headers) && headers.has_timestamp()) {
        if (!headers.is_syn()) {
            forward_by_index(context, found, packet, sink);
        } else if (const auto* chooser = other_chooser(context, found)) {
            relay(*chooser, relay_reason::open, packet, sink);
        } else {
            open_as_chooser(context, found, packet, sink);
        }
        return;
    }
    if (is_close(headers)) {
        send_close_notice(context, found, flow_end::client, 0, packet, sink);
    }
    if (const auto* owner = other_owner(context, forward_id(found, headers))) {
        relay(*owner, relay_reason::owner, packet, sink);
    } else {
        forward_as_owner(context, found, packet, sink);
    }
}

// Closes the owner's entry, if there is one, of a flow whose SYN was refused. The chooser gets the reset
// itself.
auto close_at_owner(const forward_context& context, const flow_id& id, const parsed_packet& packet,
                    packet_sink& sink) -> void {
    if (const auto* owner = other_owner(context, id)) {
        relay_copy(*owner, relay_reason::owner, copy_headers(packet.data, packet.headers), sink);
    } else {
        context.flows->owned.close(id, flow_end::target, true, context.at);
    }
}

auto forward_to_client(const forward_context& context, const reverse_entry& entry,
                       const parsed_packet& packet, packet_sink& sink) -> void {
    const auto& headers = packet.headers;
    const auto& found = context.config->services[entry.service];
    if (!context.placement->carries_target || !is_tcp(headers)) {
        return_to_client(context, entry, packet, sink);
        return;
    }
    const auto index = context.config->pools[found.pool].targets[entry.target].index;
    const auto id = reverse_id(found, headers);
    if (headers.is_syn_ack() && !headers.has_timestamp()) {
        send_close_notice(context, found, flow_end::target, index, packet, sink);
        if (const auto* owner = other_owner(context, id)) {
            relay(*owner, relay_reason::owner, packet, sink);
        } else {
            answer_as_owner(context, entry, packet, sink);
        }
        return;
    }
    if (is_refusing_reset(headers)) {
        close_at_owner(context, id, packet, sink);
    }
    if (headers.is_syn_ack() || is_refusing_reset(headers)) {
        if (const auto* chooser = other_chooser(context, found)) {
            relay(*chooser, relay_reason::answer, packet, sink);
        } else {
            answer_as_chooser(context, entry, packet, sink);
        }
        return;
    }
    context.flows->notes.record_reverse(id, context.at);
    if (headers.has_timestamp() && relay_fin(context, found, packet, sink)) {
        return;
    }
    if (is_close(headers)) {
        send_close_notice(context, found, flow_end::target, index, packet, sink);
    }
    return_to_client(context, entry, packet, sink);
}

// Sends an ICMP error about a reverse packet to the target that sent that packet.
auto send_icmp_to_target(const snapshot_service& found, const target& chosen, const parsed_packet& packet,
                         const packet_headers& quoted, packet_sink& sink) -> void {
    const auto target_endpoint = endpoint{chosen.address, found.object.target_port};
    auto change = icmp_rewrite{};
    change.outer_destination = &target_endpoint;
    change.quoted_source = &target_endpoint;
    rewrite_icmp_error(packet.data, packet.headers, quoted, change);
    count(counter::packets_forwarded);
    sink.to_fabric(packet.data, packet.headers.size);
}

// As the chooser or owner: returns the target in the flow's entry, or nullptr. For UDP flows without an entry
// it is the pure pick.
auto find_icmp_target(const forward_context& context, const snapshot_service& found, const flow_id& id,
                      relay_reason role) -> const target* {
    const auto& pool = context.config->pools[found.pool];
    std::uint8_t index = 0;
    if (role == relay_reason::answer) {
        const auto chooser = context.flows->choosers.find(pool.name);
        index = chooser == nullptr ? std::uint8_t{0} : chooser->target_of(id);
    } else {
        index = context.flows->owned.peek(id);
        if (index == 0 && found.object.protocol == ip_protocol::udp) {
            return context.placement->pick(pool, context.zone, id);
        }
    }
    return pool.target_of_index(index);
}

// Routes an ICMP error about a reverse packet if the quoted packet does not carry the target: the chooser has
// the entries of flows with timestamps, the owner those of others, and a short quotation does not show which
// it is.
auto route_icmp_by_entry(const forward_context& context, const snapshot_service& found,
                         const parsed_packet& packet, const packet_headers& quoted, packet_sink& sink)
    -> void {
    const auto id = id_of(flow_key{quoted.destination, found.object.address, found.object.protocol});
    const auto* owner = other_owner(context, id);
    const auto* chooser = quoted.protocol == ip_protocol::tcp ? other_chooser(context, found) : nullptr;
    const target* chosen = nullptr;
    if (owner == nullptr) {
        chosen = find_icmp_target(context, found, id, relay_reason::owner);
    }
    if (chosen == nullptr && chooser == nullptr && quoted.protocol == ip_protocol::tcp) {
        chosen = find_icmp_target(context, found, id, relay_reason::answer);
    }
    if (chosen != nullptr) {
        send_icmp_to_target(found, *chosen, packet, quoted, sink);
        return;
    }
    if (owner == nullptr && chooser == nullptr) {
        count(counter::drop_icmp_unmatched, found.object.name);
        return;
    }
    if (owner != nullptr) {
        count(counter::packets_relayed);
        sink.copy_to_host(owner->data, relay_reason::owner, packet.data, packet.headers.size);
    }
    if (chooser != nullptr) {
        count(counter::packets_relayed);
        sink.copy_to_host(chooser->data, relay_reason::answer, packet.data, packet.headers.size);
    }
}

// Forwards an ICMP error. One about a forward packet goes to the client and must name the service, not the
// target. One about a reverse packet goes to the target that sent that packet.
auto forward_icmp_error(const forward_context& context, const parsed_packet& packet, relay_reason role,
                        packet_sink& sink) -> void {
    const auto* quoted_data = packet.data + packet.headers.payload_offset;
    const auto quoted = parse_quoted_packet(quoted_data, packet.headers.size - packet.headers.payload_offset);
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
    const auto& pool = config.pools[found->pool];
    const auto id = id_of(flow_key{quoted->destination, found->object.address, found->object.protocol});
    const target* chosen = nullptr;
    if (!context.placement->carries_target) {
        chosen = context.placement->pick(pool, context.zone, id);
    } else if (quoted->protocol == ip_protocol::tcp && quoted->has_timestamp()) {
        // The quoted packet's own timestamp value carries the index.
        chosen = pool.target_of_index(quoted_data[quoted->timestamp_offset + 3U]);
    } else if (role == relay_reason::none) {
        route_icmp_by_entry(context, *found, packet, *quoted, sink);
        return;
    } else {
        chosen = find_icmp_target(context, *found, id, role);
    }
    if (chosen == nullptr) {
        count(counter::drop_icmp_unmatched, found->object.name);
        return;
    }
    send_icmp_to_target(*found, *chosen, packet, *quoted, sink);
}

// Handles a packet that another host relayed. It is relayed again in one case only: a new owner without an
// entry relays it to the previous owner, which does not relay it further.
auto handle_relayed(const forward_context& context, const parsed_packet& packet, relay_reason reason,
                    packet_sink& sink) -> void {
    const auto& headers = packet.headers;
    const auto& config = *context.config;
    if (headers.protocol == ip_protocol::icmp || headers.protocol == ip_protocol::icmpv6) {
        if (reason == relay_reason::answer || reason == relay_reason::owner) {
            forward_icmp_error(context, packet, reason, sink);
        } else {
            count(counter::drop_relay_not_forwardable);
        }
        return;
    }
    const auto* found = config.find_service(headers.destination, headers.protocol);
    const auto reverse = config.service_by_target.find(transport_key{headers.source, headers.protocol});
    const auto is_reverse = found == nullptr && reverse != config.service_by_target.end();
    if (found == nullptr && !is_reverse) {
        count(counter::drop_unknown_service);
        return;
    }
    if (reason == relay_reason::close_notice && is_tcp(headers)) {
        count(counter::control_bytes_received, packet.size + relay_overhead_bytes);
        if (found != nullptr) {
            const auto index = headers.has_timestamp() ? headers.timestamp_echo_low : std::uint8_t{0};
            record_close(context, *found, flow_end::client, index, packet, sink);
        } else {
            const auto& service = config.services[reverse->second.service];
            const auto index = config.pools[service.pool].targets[reverse->second.target].index;
            record_close(context, service, flow_end::target, index, packet, sink);
        }
    } else if (reason == relay_reason::close && is_tcp(headers) && headers.has_timestamp()) {
        const auto& service = found != nullptr ? *found : config.services[reverse->second.service];
        close_as_chooser(context, packet, service, is_reverse ? &reverse->second : nullptr, sink);
    } else if (reason == relay_reason::open && found != nullptr && is_tcp(headers) && headers.is_syn() &&
               headers.has_timestamp()) {
        open_as_chooser(context, *found, packet, sink);
    } else if (reason == relay_reason::answer && is_reverse && is_tcp(headers) &&
               (headers.is_syn_ack() || headers.has_flags(tcp_flag::rst))) {
        answer_as_chooser(context, reverse->second, packet, sink);
    } else if (reason == relay_reason::owner && found != nullptr) {
        forward_as_owner(context, *found, packet, sink);
    } else if (reason == relay_reason::owner && is_reverse && is_tcp(headers) && headers.is_syn_ack()) {
        answer_as_owner(context, reverse->second, packet, sink);
    } else if (reason == relay_reason::owner && is_reverse && is_reset(headers)) {
        const auto& service = config.services[reverse->second.service];
        context.flows->owned.close(reverse_id(service, headers), flow_end::target, true, context.at);
    } else if (reason == relay_reason::previous_owner && found != nullptr) {
        forward_as_previous_owner(context, *found, packet, sink);
    } else {
        const auto& service = found != nullptr ? *found : config.services[reverse->second.service];
        count(counter::drop_relay_not_forwardable, service.object.name);
    }
}

auto forward_from_fabric(const forward_context& context, const parsed_packet& packet, packet_sink& sink)
    -> void {
    const auto& headers = packet.headers;
    if (headers.protocol == ip_protocol::icmp || headers.protocol == ip_protocol::icmpv6) {
        forward_icmp_error(context, packet, relay_reason::none, sink);
        return;
    }
    const auto& config = *context.config;
    if (const auto* found = config.find_service(headers.destination, headers.protocol)) {
        forward_to_target(context, *found, packet, sink);
        return;
    }
    const auto reverse = config.service_by_target.find(transport_key{headers.source, headers.protocol});
    if (reverse != config.service_by_target.end()) {
        forward_to_client(context, reverse->second, packet, sink);
        return;
    }
    if (config.revision == 0) {
        refuse(nullptr, packet, counter::refuse_not_ready, sink);
        return;
    }
    count(counter::drop_unknown_service);
}

}  // namespace

auto copy_headers(const std::uint8_t* data, const packet_headers& headers) -> std::vector<std::uint8_t> {
    constexpr std::size_t tcp_checksum_at = 16;
    constexpr std::size_t ipv6_header_size = 40;
    auto copy = std::vector<std::uint8_t>(data, data + headers.payload_offset);
    const auto is_v6 = headers.source.address.is_v6;
    if (is_v6) {
        store_u16(copy.data() + 4, static_cast<std::uint16_t>(copy.size() - ipv6_header_size));
    } else {
        store_u16(copy.data() + 2, static_cast<std::uint16_t>(copy.size()));
        store_u16(copy.data() + 10, 0);
        const auto sum = checksum_add(0, copy.data(), headers.transport_offset);
        store_u16(copy.data() + 10, static_cast<std::uint16_t>(~checksum_fold(sum)));
    }
    auto* transport = copy.data() + headers.transport_offset;
    const auto transport_size = copy.size() - headers.transport_offset;
    store_u16(transport + tcp_checksum_at, 0);
    const auto width = headers.source.address.size();
    auto sum = checksum_add(0, headers.source.address.bytes.data(), width);
    sum = checksum_add(sum, headers.destination.address.bytes.data(), width);
    sum += static_cast<std::uint64_t>(headers.protocol) + transport_size;
    sum = checksum_add(sum, transport, transport_size);
    store_u16(transport + tcp_checksum_at, static_cast<std::uint16_t>(~checksum_fold(sum)));
    return copy;
}

auto forward_syn_retry(const forward_context& context, const syn_retry& retry, packet_sink& sink) -> void {
    auto packet = retry.packet;
    const auto parsed = parse_packet(packet.data(), packet.size());
    if (!parsed) {
        count(parsed.error());
        return;
    }
    const auto* found = context.config->find_service(parsed->destination, parsed->protocol);
    const auto* chosen =
        found == nullptr ? nullptr : context.config->pools[found->pool].target_of_index(retry.target);
    if (chosen == nullptr) {
        count(counter::drop_unknown_service);
        return;
    }
    rewrite_timestamp_echo_low(packet.data(), *parsed, 0);
    rewrite_destination(packet.data(), *parsed, endpoint{chosen->address, found->object.target_port});
    count(counter::packets_forwarded);
    sink.copy_to_fabric(packet.data(), packet.size());
}

auto reset_silent_flow(const forward_context& context, const silent_suspect& suspect, packet_sink& sink)
    -> void {
    const auto to_client = build_reset(suspect.key.service, suspect.key.client, suspect.acknowledgment);
    const auto to_target = build_reset(suspect.key.client, suspect.target, suspect.sequence);
    sink.copy_to_fabric(to_client.data(), to_client.size());
    sink.copy_to_fabric(to_target.data(), to_target.size());
    const auto* found = context.config->find_service(suspect.key.service, suspect.key.protocol);
    if (found == nullptr) {
        return;
    }
    auto notice = build_reset(suspect.key.client, suspect.key.service, suspect.sequence);
    const auto parsed = parse_packet(notice.data(), notice.size());
    const auto packet = parsed_packet{notice.data(), notice.size(), *parsed};
    send_close_notice(context, *found, flow_end::client, 0, packet, sink);
    if (const auto* owner = other_owner(context, suspect.id)) {
        relay_copy(*owner, relay_reason::close_notice, notice, sink);
    } else {
        context.flows->owned.close(suspect.id, flow_end::client, true, context.at);
    }
}

auto forward_packet(const forward_context& context, const received_packet& received, packet_sink& sink)
    -> void {
    if (received.relay != relay_reason::none && !is_relay_address(*context.view, received.sender)) {
        count(counter::drop_unknown_peer);
        return;
    }
    const auto parsed = parse_packet(received.inner, received.size);
    if (!parsed) {
        count(parsed.error());
        return;
    }
    const auto packet = parsed_packet{received.inner, received.size, *parsed};
    if (received.relay == relay_reason::none) {
        forward_from_fabric(context, packet, sink);
        return;
    }
    count(counter::packets_relay_received);
    if (context.placement->carries_target) {
        handle_relayed(context, packet, received.relay, sink);
    } else {
        count(counter::drop_relay_not_forwardable);
    }
}

}  // namespace agatepost
