#include <algorithm>
#include <cstring>

#include "net/byte_order_func.h"
#include "net/checksum_func.h"
#include "packet_build_func.h"

namespace agatepost::rig {

namespace {

constexpr std::size_t tcp_header_size = 20;
constexpr std::size_t timestamp_size = 10;
constexpr std::size_t udp_header_size = 8;
constexpr std::uint16_t window = 0xffff;
constexpr std::uint8_t hop_limit = 64;

auto ip_header_size(const endpoint& source) -> std::size_t {
    return source.address.is_v6 ? 40 : 20;
}

// Creates a packet with IP header and ports; the rest is zero.
auto start_packet(ip_protocol protocol, const endpoint& source, const endpoint& destination,
                  std::size_t transport_size) -> packet_bytes {
    const auto header_size = ip_header_size(source);
    auto packet = packet_bytes(header_size + transport_size);
    auto* ip = packet.data();
    const auto width = source.address.size();
    auto* addresses = ip + (source.address.is_v6 ? 8 : 12);
    std::memcpy(addresses, source.address.bytes.data(), width);
    std::memcpy(addresses + width, destination.address.bytes.data(), width);
    if (source.address.is_v6) {
        ip[0] = 0x60;
        store_u16(ip + 4, static_cast<std::uint16_t>(transport_size));
        ip[6] = static_cast<std::uint8_t>(protocol);
        ip[7] = hop_limit;
    } else {
        ip[0] = 0x45;
        store_u16(ip + 2, static_cast<std::uint16_t>(packet.size()));
        store_u16(ip + 6, 0x4000);  // do not fragment
        ip[8] = hop_limit;
        ip[9] = static_cast<std::uint8_t>(protocol);
        store_u16(ip + 10, static_cast<std::uint16_t>(~checksum_fold(checksum_add(0, ip, header_size))));
    }
    store_u16(ip + header_size, source.port);
    store_u16(ip + header_size + 2, destination.port);
    return packet;
}

auto finish_packet(packet_bytes& packet, ip_protocol protocol, const endpoint& source,
                   std::size_t checksum_at) -> void {
    const auto header_size = ip_header_size(source);
    const auto transport_size = packet.size() - header_size;
    auto sum = checksum_add(0, packet.data() + (source.address.is_v6 ? 8 : 12), 2 * source.address.size());
    sum += static_cast<std::uint64_t>(protocol) + transport_size;
    sum = checksum_add(sum, packet.data() + header_size, transport_size);
    const auto checksum = static_cast<std::uint16_t>(~checksum_fold(sum));
    // A computed UDP checksum of zero is sent as all ones, since zero means "no checksum".
    store_u16(packet.data() + header_size + checksum_at,
              checksum == 0 && protocol == ip_protocol::udp ? std::uint16_t{0xffff} : checksum);
}

// Returns the padded size of the timestamp option, a multiple of four.
auto options_size(const segment_fields& fields) -> std::size_t {
    return fields.timestamps ? (fields.leading_nops + timestamp_size + 3) / 4 * 4 : 0;
}

}  // namespace

auto build_segment(const segment_fields& fields, std::string_view payload) -> packet_bytes {
    const auto header_size = tcp_header_size + options_size(fields);
    auto packet =
        start_packet(ip_protocol::tcp, fields.source, fields.destination, header_size + payload.size());
    auto* tcp = packet.data() + ip_header_size(fields.source);
    store_u32(tcp + 4, fields.sequence);
    store_u32(tcp + 8, fields.acknowledgment);
    tcp[12] = static_cast<std::uint8_t>((header_size / 4) << 4U);
    tcp[13] = fields.flags;
    store_u16(tcp + 14, window);
    if (fields.timestamps) {
        auto* option = std::fill_n(tcp + tcp_header_size, fields.leading_nops, std::uint8_t{1});
        option[0] = 8;
        option[1] = 10;
        store_u32(option + 2, fields.timestamps->value);
        store_u32(option + 6, fields.timestamps->echo);
    }
    std::copy(payload.begin(), payload.end(), tcp + header_size);
    finish_packet(packet, ip_protocol::tcp, fields.source, 16);
    return packet;
}

auto build_datagram(const endpoint& source, const endpoint& destination, std::string_view payload)
    -> packet_bytes {
    auto packet = start_packet(ip_protocol::udp, source, destination, udp_header_size + payload.size());
    auto* udp = packet.data() + ip_header_size(source);
    store_u16(udp + 4, static_cast<std::uint16_t>(udp_header_size + payload.size()));
    std::copy(payload.begin(), payload.end(), udp + udp_header_size);
    finish_packet(packet, ip_protocol::udp, source, 6);
    return packet;
}

}  // namespace agatepost::rig
