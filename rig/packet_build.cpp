#include <cstring>

#include "net/byte_order_func.h"
#include "net/checksum_func.h"
#include "packet_build_func.h"

namespace agatepost::rig {

namespace {

constexpr std::size_t ip_header_size = 20;
constexpr std::size_t tcp_header_size = 20;
constexpr std::size_t timestamp_size = 12;  // two padding bytes and the option
constexpr std::size_t udp_header_size = 8;
constexpr std::uint16_t window = 0xffff;

auto start_packet(ip_protocol protocol, const endpoint& source, const endpoint& destination,
                  std::size_t transport_size) -> packet_bytes {
    auto packet = packet_bytes(ip_header_size + transport_size);
    auto* ip = packet.data();
    ip[0] = 0x45;
    store_u16(ip + 2, static_cast<std::uint16_t>(packet.size()));
    store_u16(ip + 6, 0x4000);  // do not fragment
    ip[8] = 64;
    ip[9] = static_cast<std::uint8_t>(protocol);
    std::memcpy(ip + 12, source.address.bytes.data(), 4);
    std::memcpy(ip + 16, destination.address.bytes.data(), 4);
    store_u16(ip + 10, static_cast<std::uint16_t>(~checksum_fold(checksum_add(0, ip, ip_header_size))));
    store_u16(ip + ip_header_size, source.port);
    store_u16(ip + ip_header_size + 2, destination.port);
    return packet;
}

auto finish_packet(packet_bytes& packet, ip_protocol protocol, std::size_t checksum_at) -> void {
    const auto transport_size = packet.size() - ip_header_size;
    auto sum = checksum_add(0, packet.data() + 12, 8);
    sum += static_cast<std::uint64_t>(protocol) + transport_size;
    sum = checksum_add(sum, packet.data() + ip_header_size, transport_size);
    const auto checksum = static_cast<std::uint16_t>(~checksum_fold(sum));
    // A computed UDP checksum of zero is sent as all ones, since zero means "none".
    store_u16(packet.data() + ip_header_size + checksum_at,
              checksum == 0 && protocol == ip_protocol::udp ? std::uint16_t{0xffff} : checksum);
}

}  // namespace

auto build_segment(const segment_fields& fields, std::string_view payload) -> packet_bytes {
    const auto header_size = tcp_header_size + (fields.timestamps ? timestamp_size : 0);
    auto packet =
        start_packet(ip_protocol::tcp, fields.source, fields.destination, header_size + payload.size());
    auto* tcp = packet.data() + ip_header_size;
    store_u32(tcp + 4, fields.sequence);
    store_u32(tcp + 8, fields.acknowledgment);
    tcp[12] = static_cast<std::uint8_t>((header_size / 4) << 4U);
    tcp[13] = fields.flags;
    store_u16(tcp + 14, window);
    if (fields.timestamps) {
        tcp[20] = tcp[21] = 1;  // no-operation, aligns the option
        tcp[22] = 8;
        tcp[23] = 10;
        store_u32(tcp + 24, fields.timestamps->value);
        store_u32(tcp + 28, fields.timestamps->echo);
    }
    std::memcpy(tcp + header_size, payload.data(), payload.size());
    finish_packet(packet, ip_protocol::tcp, 16);
    return packet;
}

auto build_datagram(const endpoint& source, const endpoint& destination, std::string_view payload)
    -> packet_bytes {
    auto packet = start_packet(ip_protocol::udp, source, destination, udp_header_size + payload.size());
    auto* udp = packet.data() + ip_header_size;
    store_u16(udp + 4, static_cast<std::uint16_t>(udp_header_size + payload.size()));
    std::memcpy(udp + udp_header_size, payload.data(), payload.size());
    finish_packet(packet, ip_protocol::udp, 6);
    return packet;
}

}  // namespace agatepost::rig
