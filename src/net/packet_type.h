// Result of parsing an IP packet.
#pragma once

#include <cstddef>
#include <cstdint>

#include "core/counter_func.h"
#include "net/address_type.h"

namespace agatepost {

// TCP flag bits.
namespace tcp_flag {
constexpr std::uint8_t fin = 0x01;
constexpr std::uint8_t syn = 0x02;
constexpr std::uint8_t rst = 0x04;
constexpr std::uint8_t ack = 0x10;
}  // namespace tcp_flag

// The headers of one IP packet. Offsets count from the first byte of the IP header; 0 means absent.
struct packet_headers {
    ip_protocol protocol = ip_protocol::tcp;
    endpoint source;
    endpoint destination;
    std::uint16_t transport_offset = 0;
    std::uint16_t payload_offset = 0;
    std::uint16_t size = 0;              // bytes of the IP packet without trailing padding
    std::uint16_t timestamp_offset = 0;  // of TSval in the TCP timestamp option
    std::uint8_t tcp_flags = 0;
    std::uint32_t tcp_sequence = 0;
    std::uint32_t tcp_acknowledgment = 0;
    std::uint8_t timestamp_echo_low = 0;  // low 8 bits of TSecr
    bool embedded = false;                // quoted by an ICMP error, so it may be truncated

    auto has_flags(std::uint8_t flags) const -> bool { return (tcp_flags & flags) == flags; }
    auto is_syn() const -> bool { return has_flags(tcp_flag::syn) && !has_flags(tcp_flag::ack); }
    auto is_syn_ack() const -> bool { return has_flags(tcp_flag::syn | tcp_flag::ack); }
    auto has_timestamp() const -> bool { return timestamp_offset != 0; }
};

}  // namespace agatepost
