// Parsing, rewriting and building of IP packets.
#pragma once

#include <cstdint>
#include <vector>

#include "net/packet_type.h"

namespace agatepost {

// Parses the IP packet at `data` and verifies its checksums. On failure returns the drop counter that names
// the reason. For ICMP errors the protocol is icmp or icmpv6 and payload_offset is that of the quoted packet.
auto parse_packet(const std::uint8_t* data, std::size_t size) -> tl::expected<packet_headers, counter>;

// Parses the packet quoted by an ICMP error. Only addresses and ports must be present; the TCP timestamp is
// found if the quotation contains it.
auto parse_quoted_packet(const std::uint8_t* data, std::size_t size) -> tl::expected<packet_headers, counter>;

// Replace the source or destination and update the checksums incrementally (RFC 1624).
auto rewrite_source(std::uint8_t* data, const packet_headers& headers, const endpoint& source) -> void;
auto rewrite_destination(std::uint8_t* data, const packet_headers& headers, const endpoint& destination)
    -> void;

// Replace the low 8 bits of the TCP timestamp value (TSval) or echo (TSecr). The packet must have a
// timestamp.
auto rewrite_timestamp_value_low(std::uint8_t* data, const packet_headers& headers, std::uint8_t low) -> void;
auto rewrite_timestamp_echo_low(std::uint8_t* data, const packet_headers& headers, std::uint8_t low) -> void;

// Builds a TCP reset that answers a packet with these headers: source and destination swapped, sequence
// numbers as RFC 9293, section 3.10.7.1 prescribes for a connection that does not exist.
auto build_reset_reply(const packet_headers& headers) -> std::vector<std::uint8_t>;

// Builds a TCP reset from `source` to `destination` with the given sequence number.
auto build_reset(const endpoint& source, const endpoint& destination, std::uint32_t sequence)
    -> std::vector<std::uint8_t>;

// Builds an ICMP "administratively prohibited" error about the packet at `data`, sent from its destination to
// its source. Quotes the IP header and the first 8 bytes after it.
auto build_icmp_prohibited(const std::uint8_t* data, const packet_headers& headers)
    -> std::vector<std::uint8_t>;

// Replacements in an ICMP error: the outer source or destination, and the matching end of the quoted packet.
// A null pointer leaves the field unchanged.
struct icmp_rewrite {
    const endpoint* outer_source = nullptr;       // only the address is used
    const endpoint* outer_destination = nullptr;  // only the address is used
    const endpoint* quoted_source = nullptr;
    const endpoint* quoted_destination = nullptr;
};

// Rewrites an ICMP error and its quoted packet, whose headers are `quoted`. Recomputes the IPv4 header
// checksums and the ICMP checksum.
auto rewrite_icmp_error(std::uint8_t* data, const packet_headers& headers, const packet_headers& quoted,
                        const icmp_rewrite& change) -> void;

}  // namespace agatepost
