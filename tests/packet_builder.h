// Builds TCP and UDP packets for tests, with all checksums right.
#pragma once

#include <cstring>
#include <vector>

#include "net/byte_order_func.h"
#include "net/checksum_func.h"
#include "net/packet_type.h"

namespace agatepost::test {

// What a built packet contains.
struct packet_spec {
    endpoint source;
    endpoint destination;
    ip_protocol protocol = ip_protocol::tcp;
    std::uint8_t tcp_flags = tcp_flag::ack;
    bool has_timestamp = true;
    std::uint32_t timestamp_value = 0;
    std::uint32_t timestamp_echo = 0;
    std::size_t leading_nops = 2;  // 2 is what common stacks send; other numbers move the option
    std::vector<std::uint8_t> payload;
    std::uint32_t sequence = 1000;
    std::uint32_t acknowledgment = 2000;
};

inline auto write_options(std::vector<std::uint8_t>& packet, const packet_spec& spec) -> void {
    if (!spec.has_timestamp) {
        return;
    }
    const auto begin = packet.size();
    packet.insert(packet.end(), spec.leading_nops, 1);
    packet.insert(packet.end(), {8, 10});
    packet.resize(packet.size() + 8);
    store_u32(packet.data() + packet.size() - 8, spec.timestamp_value);
    store_u32(packet.data() + packet.size() - 4, spec.timestamp_echo);
    packet.resize(begin + (packet.size() - begin + 3) / 4 * 4);
}

inline auto build_packet(const packet_spec& spec) -> std::vector<std::uint8_t> {
    const auto is_v6 = spec.source.address.is_v6;
    const auto network = is_v6 ? std::size_t{40} : std::size_t{20};
    const auto is_tcp = spec.protocol == ip_protocol::tcp;
    auto packet = std::vector<std::uint8_t>(network + (is_tcp ? 20 : 8));
    if (is_tcp) {
        write_options(packet, spec);
        packet[network + 12] = static_cast<std::uint8_t>((packet.size() - network) / 4 * 16);
        packet[network + 13] = spec.tcp_flags;
        store_u32(packet.data() + network + 4, spec.sequence);
        store_u32(packet.data() + network + 8, spec.acknowledgment);
    }
    packet.insert(packet.end(), spec.payload.begin(), spec.payload.end());
    auto* data = packet.data();
    const auto length = static_cast<std::uint16_t>(packet.size() - network);
    store_u16(data + network, spec.source.port);
    store_u16(data + network + 2, spec.destination.port);
    if (!is_tcp) {
        store_u16(data + network + 4, length);
    }
    const auto width = spec.source.address.size();
    auto* addresses = data + (is_v6 ? 8 : 12);
    std::memcpy(addresses, spec.source.address.bytes.data(), width);
    std::memcpy(addresses + width, spec.destination.address.bytes.data(), width);
    if (is_v6) {
        data[0] = 0x60;
        store_u16(data + 4, length);
        data[6] = static_cast<std::uint8_t>(spec.protocol);
    } else {
        data[0] = 0x45;
        store_u16(data + 2, static_cast<std::uint16_t>(packet.size()));
        data[9] = static_cast<std::uint8_t>(spec.protocol);
        store_u16(data + 10, static_cast<std::uint16_t>(~checksum_fold(checksum_add(0, data, 20))));
    }
    auto sum = checksum_add(0, addresses, width * 2) + static_cast<std::uint64_t>(spec.protocol) + length;
    sum = checksum_add(sum, data + network, length);
    store_u16(data + network + (is_tcp ? 16 : 6), static_cast<std::uint16_t>(~checksum_fold(sum)));
    return packet;
}

}  // namespace agatepost::test
