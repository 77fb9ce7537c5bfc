#include <algorithm>

#include "net/byte_order_func.h"
#include "tcp_base.h"

namespace agatepost::rig {

namespace {

constexpr std::uint32_t segment_bytes = 1400;
constexpr std::uint32_t send_window = 32 * segment_bytes;
constexpr std::uint32_t receive_window = 0xffff;
constexpr std::int64_t syn_retransmit_ms = 1000;  // RFC 6298
constexpr std::int64_t data_retransmit_ms = 200;  // lower bound of common TCP stacks
constexpr int retry_limit = 6;                    // 200 ms, doubled each time: times out after 25 s
constexpr int fast_retransmit_acks = 3;
// RFC 7323, section 5.5: an older timestamp may have wrapped, so PAWS must ignore it.
constexpr std::int64_t timestamp_validity_ms = std::int64_t{24} * 24 * 3600 * 1000;

auto is_before(std::uint32_t a, std::uint32_t b) -> bool {
    return static_cast<std::int32_t>(a - b) < 0;
}

auto in_flight(const tcp_connection& tcp) -> std::uint32_t {
    return tcp.send_next - tcp.send_unacked;
}

auto emit(const tcp_connection& tcp, std::uint32_t sequence, std::uint8_t flags, std::string_view payload,
          std::int64_t now_ms, tcp_output& out) -> void {
    auto fields = segment_fields{tcp.local, tcp.remote, sequence, 0, flags, {}};
    if ((flags & tcp_flag::ack) != 0) {
        fields.acknowledgment = tcp.receive_next;
    }
    if (tcp.timestamps) {
        fields.timestamps =
            tcp_timestamps{static_cast<std::uint32_t>(now_ms) + tcp.timestamp_offset, tcp.timestamp_recent};
    }
    out.packets.push_back(build_segment(fields, payload));
}

auto emit_ack(const tcp_connection& tcp, std::int64_t now_ms, tcp_output& out) -> void {
    emit(tcp, tcp.send_next, tcp_flag::ack, {}, now_ms, out);
}

auto emit_handshake(const tcp_connection& tcp, std::int64_t now_ms, tcp_output& out) -> void {
    const auto is_client = tcp.state == tcp_state::syn_sent;
    emit(tcp, tcp.send_unacked,
         is_client ? tcp_flag::syn : static_cast<std::uint8_t>(tcp_flag::syn | tcp_flag::ack), {}, now_ms,
         out);
}

auto arm_timer(tcp_connection& tcp, std::int64_t now_ms) -> void {
    tcp.deadline_ms = tcp.send_unacked == tcp.send_highest ? no_deadline : now_ms + tcp.retransmit_ms;
}

// Sends data from send_next as far as the window allows. Returns whether anything was sent.
auto transmit(tcp_connection& tcp, std::int64_t now_ms, tcp_output& out) -> bool {
    auto has_sent = false;
    while (tcp.state == tcp_state::established && !tcp.fin_sent && in_flight(tcp) < send_window) {
        const auto offset = in_flight(tcp);
        const auto rest = std::string_view(tcp.outgoing).substr(offset);
        const auto part = rest.substr(0, segment_bytes);
        const auto is_last = part.size() == rest.size() && tcp.close_requested;
        if (part.empty() && !is_last) {
            break;
        }
        emit(tcp, tcp.send_next, is_last ? tcp_flag::ack | tcp_flag::fin : tcp_flag::ack, part, now_ms, out);
        tcp.send_next += static_cast<std::uint32_t>(part.size()) + (is_last ? 1 : 0);
        tcp.fin_sent = is_last;
        tcp.send_highest = is_before(tcp.send_highest, tcp.send_next) ? tcp.send_next : tcp.send_highest;
        has_sent = true;
    }
    if (has_sent && tcp.deadline_ms == no_deadline) {
        arm_timer(tcp, now_ms);
    }
    return has_sent;
}

// Retransmits from the oldest unacknowledged byte.
auto retransmit(tcp_connection& tcp, std::int64_t now_ms, tcp_output& out) -> void {
    tcp.send_next = tcp.send_unacked;
    tcp.fin_sent = false;
    transmit(tcp, now_ms, out);
}

auto end_connection(tcp_connection& tcp) -> void {
    tcp.state = tcp_state::closed;
    tcp.deadline_ms = no_deadline;
}

auto process_reset(tcp_connection& tcp, const packet_headers& headers, std::int64_t now_ms, tcp_output& out)
    -> void {
    if (tcp.state == tcp_state::syn_sent) {
        if (headers.has_flags(tcp_flag::ack) && headers.tcp_acknowledgment == tcp.send_next) {
            out.refused = true;
            end_connection(tcp);
        }
        return;
    }
    // RFC 5961: only an exact sequence number resets; others in the window trigger a challenge ACK.
    const auto ahead = headers.tcp_sequence - tcp.receive_next;
    if (ahead == 0) {
        out.was_reset = true;
        end_connection(tcp);
    } else if (ahead < receive_window) {
        emit_ack(tcp, now_ms, out);
    }
}

auto process_timestamp(tcp_connection& tcp, const packet_headers& headers, const std::uint8_t* packet,
                       std::int64_t now_ms) -> bool {
    if (!tcp.timestamps) {
        return true;
    }
    if (!headers.has_timestamp()) {
        return false;
    }
    const auto value = load_u32(packet + headers.timestamp_offset);
    const auto is_valid = now_ms - tcp.timestamp_recent_ms < timestamp_validity_ms;
    if (is_valid && is_before(value, tcp.timestamp_recent)) {
        ++tcp.paws_drops;
        return false;
    }
    if (!is_before(tcp.receive_next, headers.tcp_sequence)) {
        tcp.timestamp_recent = value;
        tcp.timestamp_recent_ms = now_ms;
    }
    return true;
}

auto complete_connect(tcp_connection& tcp, const packet_headers& headers, const std::uint8_t* packet,
                      std::int64_t now_ms, tcp_output& out) -> void {
    if (!headers.is_syn_ack() || headers.tcp_acknowledgment != tcp.send_next) {
        return;
    }
    tcp.timestamps = tcp.timestamps && headers.has_timestamp();
    if (tcp.timestamps) {
        tcp.timestamp_recent = load_u32(packet + headers.timestamp_offset);
        tcp.timestamp_recent_ms = now_ms;
    }
    tcp.state = tcp_state::established;
    tcp.receive_start = tcp.receive_next = headers.tcp_sequence + 1;
    tcp.send_unacked = tcp.send_next;
    tcp.retries = 0;
    tcp.retransmit_ms = data_retransmit_ms;
    tcp.deadline_ms = no_deadline;
    out.connected = true;
    if (!transmit(tcp, now_ms, out)) {
        emit_ack(tcp, now_ms, out);
    }
}

auto process_ack(tcp_connection& tcp, const packet_headers& headers, std::size_t payload_size,
                 std::int64_t now_ms, tcp_output& out) -> void {
    const auto ack = headers.tcp_acknowledgment;
    if (ack == tcp.send_unacked) {
        const auto is_duplicate = payload_size == 0 && tcp.send_unacked != tcp.send_highest &&
                                  !headers.has_flags(tcp_flag::fin) && tcp.state == tcp_state::established;
        tcp.duplicate_acks = is_duplicate ? tcp.duplicate_acks + 1 : 0;
        if (tcp.duplicate_acks == fast_retransmit_acks) {
            retransmit(tcp, now_ms, out);
        }
        return;
    }
    if (is_before(ack, tcp.send_unacked) || is_before(tcp.send_highest, ack)) {
        return;
    }
    if (tcp.state == tcp_state::syn_received) {
        tcp.state = tcp_state::established;
        ++tcp.send_unacked;
        out.connected = true;
    }
    const auto bytes = std::min<std::size_t>(ack - tcp.send_unacked, tcp.outgoing.size());
    tcp.fin_acked = tcp.fin_acked || ack - tcp.send_unacked > bytes;
    tcp.outgoing.erase(0, bytes);
    tcp.send_unacked = ack;
    if (is_before(tcp.send_next, ack)) {
        tcp.send_next = ack;
    }
    tcp.fin_sent = tcp.fin_sent || tcp.fin_acked;
    tcp.retries = 0;
    tcp.duplicate_acks = 0;
    tcp.retransmit_ms = data_retransmit_ms;
    arm_timer(tcp, now_ms);
    transmit(tcp, now_ms, out);
}

// Delivers contiguous data.
auto deliver(tcp_connection& tcp, tcp_output& out) -> void {
    auto offset = tcp.receive_next - tcp.receive_start;
    while (!tcp.out_of_order.empty() && tcp.out_of_order.begin()->first <= offset) {
        const auto first = tcp.out_of_order.begin();
        const auto end = first->first + static_cast<std::uint32_t>(first->second.size());
        if (end > offset) {
            out.received.append(first->second, offset - first->first);
            offset = end;
        }
        tcp.out_of_order.erase(first);
    }
    tcp.receive_next = tcp.receive_start + offset;
    if (tcp.out_of_order_fin != 0 && tcp.out_of_order_fin - 1 == offset && !tcp.has_peer_fin) {
        ++tcp.receive_next;
        tcp.has_peer_fin = true;
        out.peer_closed = true;
    }
}

auto process_data(tcp_connection& tcp, const packet_headers& headers, std::string_view payload,
                  std::int64_t now_ms, tcp_output& out) -> void {
    const auto has_fin = headers.has_flags(tcp_flag::fin);
    if (payload.empty() && !has_fin) {
        return;
    }
    const auto ahead = headers.tcp_sequence - tcp.receive_next;
    const auto is_old = is_before(headers.tcp_sequence, tcp.receive_next);
    if (!tcp.has_peer_fin && (is_old || ahead < receive_window)) {
        // An old segment may end with new bytes.
        const auto skip = is_old ? tcp.receive_next - headers.tcp_sequence : 0;
        const auto end =
            headers.tcp_sequence - tcp.receive_start + static_cast<std::uint32_t>(payload.size());
        if (skip < payload.size()) {
            auto& kept = tcp.out_of_order[headers.tcp_sequence + skip - tcp.receive_start];
            if (kept.size() < payload.size() - skip) {
                kept = std::string(payload.substr(skip));
            }
        }
        if (has_fin) {
            tcp.out_of_order_fin = end + 1;
        }
        deliver(tcp, out);
    }
    emit_ack(tcp, now_ms, out);
}

// Sends the first segment of a connection and sets its retransmission timer.
auto start_handshake(tcp_connection& tcp, std::uint32_t initial_sequence, std::int64_t now_ms,
                     tcp_output& out) -> void {
    tcp.timestamp_offset = initial_sequence * 2654435761U;  // any value that differs between connections
    tcp.send_unacked = initial_sequence;
    tcp.send_next = tcp.send_highest = initial_sequence + 1;
    tcp.retransmit_ms = syn_retransmit_ms;
    emit_handshake(tcp, now_ms, out);
    arm_timer(tcp, now_ms);
}

}  // namespace

auto tcp_connect(const endpoint& local, const endpoint& remote, bool timestamps,
                 std::uint32_t initial_sequence, std::int64_t now_ms, tcp_output& out) -> tcp_connection {
    auto tcp = tcp_connection{};
    tcp.local = local;
    tcp.remote = remote;
    tcp.state = tcp_state::syn_sent;
    tcp.timestamps = timestamps;
    start_handshake(tcp, initial_sequence, now_ms, out);
    return tcp;
}

auto tcp_accept(const packet_headers& syn, const std::uint8_t* packet, std::uint32_t initial_sequence,
                std::int64_t now_ms, tcp_output& out) -> tcp_connection {
    auto tcp = tcp_connection{};
    tcp.local = syn.destination;
    tcp.remote = syn.source;
    tcp.state = tcp_state::syn_received;
    tcp.timestamps = syn.has_timestamp();
    if (tcp.timestamps) {
        tcp.timestamp_recent = load_u32(packet + syn.timestamp_offset);
        tcp.timestamp_recent_ms = now_ms;
    }
    tcp.receive_start = tcp.receive_next = syn.tcp_sequence + 1;
    start_handshake(tcp, initial_sequence, now_ms, out);
    return tcp;
}

auto tcp_receive(tcp_connection& tcp, const packet_headers& headers, const std::uint8_t* packet,
                 std::int64_t now_ms, tcp_output& out) -> void {
    if (tcp.state == tcp_state::closed) {
        // The peer retransmitted its last FIN: this end's acknowledgement was lost.
        if (tcp.has_peer_fin && headers.has_flags(tcp_flag::fin)) {
            emit_ack(tcp, now_ms, out);
        }
        return;
    }
    if (headers.has_flags(tcp_flag::rst)) {
        process_reset(tcp, headers, now_ms, out);
        return;
    }
    if (tcp.state == tcp_state::syn_sent) {
        complete_connect(tcp, headers, packet, now_ms, out);
        return;
    }
    if (headers.has_flags(tcp_flag::syn)) {
        if (tcp.state == tcp_state::syn_received) {
            emit_handshake(tcp, now_ms, out);
        } else {
            emit_ack(tcp, now_ms, out);
        }
        return;
    }
    if (!process_timestamp(tcp, headers, packet, now_ms)) {
        emit_ack(tcp, now_ms, out);
        return;
    }
    const auto payload = std::string_view(reinterpret_cast<const char*>(packet) + headers.payload_offset,
                                          headers.size - headers.payload_offset);
    if (headers.has_flags(tcp_flag::ack)) {
        process_ack(tcp, headers, payload.size(), now_ms, out);
    }
    if (tcp.state == tcp_state::established) {
        process_data(tcp, headers, payload, now_ms, out);
    }
    if (tcp.fin_acked && tcp.has_peer_fin) {
        out.finished = true;
        end_connection(tcp);
    }
}

auto tcp_send(tcp_connection& tcp, std::string_view bytes, std::int64_t now_ms, tcp_output& out) -> void {
    tcp.outgoing.append(bytes);
    transmit(tcp, now_ms, out);
}

auto tcp_close(tcp_connection& tcp, std::int64_t now_ms, tcp_output& out) -> void {
    tcp.close_requested = true;
    transmit(tcp, now_ms, out);
}

auto tcp_abort(tcp_connection& tcp, tcp_output& out) -> void {
    if (tcp.state != tcp_state::closed) {
        auto fields = segment_fields{
            tcp.local, tcp.remote, tcp.send_next, tcp.receive_next, tcp_flag::rst | tcp_flag::ack, {}};
        if (tcp.timestamps) {
            fields.timestamps = tcp_timestamps{tcp.timestamp_offset, tcp.timestamp_recent};
        }
        out.packets.push_back(build_segment(fields, {}));
    }
    end_connection(tcp);
}

auto tcp_tick(tcp_connection& tcp, std::int64_t now_ms, tcp_output& out) -> void {
    if (now_ms < tcp.deadline_ms) {
        return;
    }
    if (++tcp.retries > retry_limit) {
        out.timed_out = true;
        end_connection(tcp);
        return;
    }
    tcp.retransmit_ms *= 2;
    if (tcp.state == tcp_state::established) {
        retransmit(tcp, now_ms, out);
    } else {
        emit_handshake(tcp, now_ms, out);
    }
    arm_timer(tcp, now_ms);
}

}  // namespace agatepost::rig
