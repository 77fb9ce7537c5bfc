#include "net/packet_func.h"

#include <algorithm>
#include <cstring>

#include "net/byte_order_func.h"
#include "net/checksum_func.h"

namespace agatepost {

namespace {

constexpr std::size_t ipv4_header_min = 20;
constexpr std::size_t ipv6_header_size = 40;
constexpr std::size_t tcp_header_min = 20;
constexpr std::size_t udp_header_size = 8;
constexpr std::size_t icmp_header_size = 8;
constexpr std::uint8_t tcp_option_end = 0;
constexpr std::uint8_t tcp_option_nop = 1;
constexpr std::uint8_t tcp_option_timestamp = 8;
constexpr std::uint8_t tcp_option_timestamp_size = 10;
constexpr std::uint8_t reply_ttl = 64;

using parse_result = tl::expected<packet_headers, counter>;

auto failure(counter reason) -> tl::unexpected<counter> {
    return tl::unexpected<counter>(reason);
}

auto load_address(const std::uint8_t* p, bool is_v6) -> ip_address {
    auto address = ip_address{};
    address.is_v6 = is_v6;
    std::memcpy(address.bytes.data(), p, address.size());
    return address;
}

auto source_offset(bool is_v6) -> std::size_t {
    return is_v6 ? 8 : 12;
}
auto destination_offset(bool is_v6) -> std::size_t {
    return is_v6 ? 24 : 16;
}

// Returns the offset of the checksum within the transport header.
auto checksum_offset(ip_protocol protocol) -> std::size_t {
    switch (protocol) {
        case ip_protocol::tcp:
            return 16;
        case ip_protocol::udp:
            return 6;
        case ip_protocol::icmp:
        case ip_protocol::icmpv6:
            return 2;
    }
    return 0;
}

// Returns the sum of the pseudo-header that TCP, UDP and ICMPv6 checksums cover.
auto pseudo_header_sum(const std::uint8_t* data, const packet_headers& headers) -> std::uint64_t {
    const auto is_v6 = headers.source.address.is_v6;
    const auto width = headers.source.address.size();
    auto sum = checksum_add(0, data + source_offset(is_v6), width * 2);
    sum += static_cast<std::uint64_t>(headers.protocol);
    return sum + static_cast<std::uint64_t>(headers.size - headers.transport_offset);
}

auto transport_sum(const std::uint8_t* data, const packet_headers& headers) -> std::uint64_t {
    const auto pseudo = headers.protocol == ip_protocol::icmp ? 0 : pseudo_header_sum(data, headers);
    return checksum_add(pseudo, data + headers.transport_offset, headers.size - headers.transport_offset);
}

// Parses the TCP options and records the timestamp option. Returns false if the options are malformed.
auto parse_tcp_options(const std::uint8_t* data, std::size_t begin, std::size_t end, packet_headers& headers)
    -> bool {
    auto at = begin;
    while (at < end && data[at] != tcp_option_end) {
        if (data[at] == tcp_option_nop) {
            ++at;
            continue;
        }
        if (at + 1 >= end || data[at + 1] < 2 || at + data[at + 1] > end) {
            return false;
        }
        if (data[at] == tcp_option_timestamp) {
            if (data[at + 1] != tcp_option_timestamp_size) {
                return false;
            }
            headers.timestamp_offset = static_cast<std::uint16_t>(at + 2);
            headers.timestamp_echo_low = data[at + 9];
        }
        at += data[at + 1];
    }
    return true;
}

auto parse_tcp(const std::uint8_t* data, std::size_t available, packet_headers& headers) -> parse_result {
    const auto* tcp = data + headers.transport_offset;
    const auto remaining_bytes = available - headers.transport_offset;
    if (remaining_bytes < (headers.embedded ? 8U : tcp_header_min)) {
        return failure(counter::drop_short_packet);
    }
    headers.source.port = load_u16(tcp);
    headers.destination.port = load_u16(tcp + 2);
    headers.tcp_sequence = load_u32(tcp + 4);
    if (remaining_bytes < tcp_header_min) {
        return headers;
    }
    const auto header_size = static_cast<std::size_t>(tcp[12] >> 4U) * 4;
    if (header_size < tcp_header_min) {
        return failure(counter::drop_bad_header);
    }
    headers.tcp_acknowledgment = load_u32(tcp + 8);
    headers.tcp_flags = tcp[13];
    if (header_size > remaining_bytes) {
        return headers.embedded ? parse_result(headers) : failure(counter::drop_short_packet);
    }
    headers.payload_offset = static_cast<std::uint16_t>(headers.transport_offset + header_size);
    if (!parse_tcp_options(data, headers.transport_offset + tcp_header_min, headers.payload_offset,
                           headers)) {
        return failure(counter::drop_bad_header);
    }
    return headers;
}

auto parse_udp(const std::uint8_t* data, std::size_t available, packet_headers& headers) -> parse_result {
    const auto* udp = data + headers.transport_offset;
    const auto remaining_bytes = available - headers.transport_offset;
    if (remaining_bytes < udp_header_size) {
        return failure(counter::drop_short_packet);
    }
    headers.source.port = load_u16(udp);
    headers.destination.port = load_u16(udp + 2);
    headers.payload_offset = static_cast<std::uint16_t>(headers.transport_offset + udp_header_size);
    if (!headers.embedded && load_u16(udp + 4) != remaining_bytes) {
        return failure(counter::drop_bad_header);
    }
    return headers;
}

// Returns whether an ICMP message is an error that quotes a packet. Other ICMP messages are not forwarded.
auto is_icmp_error(ip_protocol protocol, std::uint8_t type) -> bool {
    if (protocol == ip_protocol::icmpv6) {
        return type >= 1 && type <= 4;
    }
    return type == 3 || type == 11 || type == 12;
}

auto parse_icmp(const std::uint8_t* data, std::size_t available, packet_headers& headers) -> parse_result {
    if (headers.embedded || available - headers.transport_offset < icmp_header_size) {
        return failure(counter::drop_short_packet);
    }
    if (!is_icmp_error(headers.protocol, data[headers.transport_offset])) {
        return failure(counter::drop_unknown_protocol);
    }
    headers.payload_offset = static_cast<std::uint16_t>(headers.transport_offset + icmp_header_size);
    return headers;
}

auto parse_ipv4(const std::uint8_t* data, std::size_t available, packet_headers& headers)
    -> tl::expected<void, counter> {
    if (available < ipv4_header_min) {
        return failure(counter::drop_short_packet);
    }
    const auto header_size = static_cast<std::size_t>(data[0] & 0x0fU) * 4;
    const auto total = load_u16(data + 2);
    if (header_size < ipv4_header_min || total < header_size) {
        return failure(counter::drop_bad_header);
    }
    if (header_size > available || (total > available && !headers.embedded)) {
        return failure(counter::drop_short_packet);
    }
    if (!headers.embedded && checksum_fold(checksum_add(0, data, header_size)) != 0xffff) {
        return failure(counter::drop_bad_checksum);
    }
    if ((load_u16(data + 6) & 0x3fffU) != 0) {  // more-fragments flag or a fragment offset
        return failure(counter::drop_fragment);
    }
    headers.protocol = static_cast<ip_protocol>(data[9]);
    headers.size = total;
    headers.transport_offset = static_cast<std::uint16_t>(header_size);
    return {};
}

auto parse_ipv6(const std::uint8_t* data, std::size_t available, packet_headers& headers)
    -> tl::expected<void, counter> {
    constexpr std::uint8_t fragment_header = 44;
    if (available < ipv6_header_size) {
        return failure(counter::drop_short_packet);
    }
    const auto total = ipv6_header_size + load_u16(data + 4);
    if (total > UINT16_MAX || (total > available && !headers.embedded)) {
        return failure(counter::drop_short_packet);
    }
    if (data[6] == fragment_header) {
        return failure(counter::drop_fragment);
    }
    headers.protocol = static_cast<ip_protocol>(data[6]);
    headers.size = static_cast<std::uint16_t>(total);
    headers.transport_offset = ipv6_header_size;
    return {};
}

auto parse_transport(const std::uint8_t* data, std::size_t available, packet_headers& headers)
    -> parse_result {
    switch (headers.protocol) {
        case ip_protocol::tcp:
            return parse_tcp(data, available, headers);
        case ip_protocol::udp:
            return parse_udp(data, available, headers);
        case ip_protocol::icmp:
        case ip_protocol::icmpv6:
            if ((headers.protocol == ip_protocol::icmpv6) != headers.source.address.is_v6) {
                return failure(counter::drop_unknown_protocol);
            }
            return parse_icmp(data, available, headers);
    }
    return failure(counter::drop_unknown_protocol);
}

auto parse_headers(const std::uint8_t* data, std::size_t size, bool embedded) -> parse_result {
    if (size < 1) {
        return failure(counter::drop_short_packet);
    }
    auto headers = packet_headers{};
    headers.embedded = embedded;
    const auto version = data[0] >> 4U;
    if (version != 4 && version != 6) {
        return failure(counter::drop_bad_header);
    }
    const auto is_v6 = version == 6;
    const auto network = is_v6 ? parse_ipv6(data, size, headers) : parse_ipv4(data, size, headers);
    if (!network) {
        return failure(network.error());
    }
    headers.source.address = load_address(data + source_offset(is_v6), is_v6);
    headers.destination.address = load_address(data + destination_offset(is_v6), is_v6);
    return parse_transport(data, std::min<std::size_t>(size, headers.size), headers);
}

// Returns whether a packet has no transport checksum, which only UDP over IPv4 allows.
auto has_no_checksum(const std::uint8_t* data, const packet_headers& headers) -> bool {
    return headers.protocol == ip_protocol::udp && !headers.source.address.is_v6 &&
           load_u16(data + headers.transport_offset + checksum_offset(ip_protocol::udp)) == 0;
}

// Replaces bytes that the transport checksum covers, directly or through the pseudo-header, and updates it.
auto replace_checksummed(std::uint8_t* data, const packet_headers& headers, std::uint8_t* at,
                         const std::uint8_t* bytes, std::size_t size) -> void {
    auto* sum = data + headers.transport_offset + checksum_offset(headers.protocol);
    if (!has_no_checksum(data, headers)) {
        auto updated = checksum_update(load_u16(sum), at, bytes, size);
        // A computed UDP checksum of zero is sent as all ones, since zero means "no checksum".
        if (updated == 0 && headers.protocol == ip_protocol::udp) {
            updated = 0xffff;
        }
        store_u16(sum, updated);
    }
    std::memcpy(at, bytes, size);
}

auto rewrite_endpoint(std::uint8_t* data, const packet_headers& headers, std::size_t address_at,
                      std::size_t port_at, const endpoint& value) -> void {
    const auto width = value.address.size();
    if (!value.address.is_v6) {
        store_u16(data + 10,
                  checksum_update(load_u16(data + 10), data + address_at, value.address.bytes.data(), width));
    }
    replace_checksummed(data, headers, data + address_at, value.address.bytes.data(), width);
    std::uint8_t port[2];
    store_u16(port, value.port);
    replace_checksummed(data, headers, data + headers.transport_offset + port_at, port, sizeof(port));
}

// Replaces the low byte of the timestamp field at `field_at` and updates the checksum.
auto rewrite_low_byte(std::uint8_t* data, const packet_headers& headers, std::size_t field_at,
                      std::uint8_t low) -> void {
    auto* word = data + field_at + 2;
    // The 16-bit word may be at an odd offset of the segment. Its bytes then have swapped positions in the
    // checksum.
    const auto is_odd = ((field_at + 2 - headers.transport_offset) % 2) != 0;
    auto* sum = data + headers.transport_offset + checksum_offset(headers.protocol);
    const std::uint8_t before[2] = {is_odd ? word[1] : std::uint8_t{0}, is_odd ? std::uint8_t{0} : word[1]};
    const std::uint8_t after[2] = {is_odd ? low : std::uint8_t{0}, is_odd ? std::uint8_t{0} : low};
    store_u16(sum, checksum_update(load_u16(sum), before, after, sizeof(before)));
    word[1] = low;
}

// Fills in the IP header of `packet`, whose size is final, and returns the offset of the transport header.
auto write_ip_header(std::vector<std::uint8_t>& packet, ip_protocol protocol, const ip_address& source,
                     const ip_address& destination) -> std::size_t {
    auto* data = packet.data();
    if (source.is_v6) {
        data[0] = 0x60;
        store_u16(data + 4, static_cast<std::uint16_t>(packet.size() - ipv6_header_size));
        data[6] = static_cast<std::uint8_t>(protocol);
        data[7] = reply_ttl;
    } else {
        data[0] = 0x45;
        store_u16(data + 2, static_cast<std::uint16_t>(packet.size()));
        store_u16(data + 6, 0x4000);  // do not fragment
        data[8] = reply_ttl;
        data[9] = static_cast<std::uint8_t>(protocol);
    }
    std::memcpy(data + source_offset(source.is_v6), source.bytes.data(), source.size());
    std::memcpy(data + destination_offset(source.is_v6), destination.bytes.data(), source.size());
    if (!source.is_v6) {
        store_u16(data + 10,
                  static_cast<std::uint16_t>(~checksum_fold(checksum_add(0, data, ipv4_header_min))));
    }
    return source.is_v6 ? ipv6_header_size : ipv4_header_min;
}

auto header_size_for(const ip_address& address) -> std::size_t {
    return address.is_v6 ? ipv6_header_size : ipv4_header_min;
}

// Computes and stores the transport checksum over the whole packet.
auto write_transport_checksum(std::uint8_t* data, const packet_headers& headers) -> void {
    auto* sum = data + headers.transport_offset + checksum_offset(headers.protocol);
    store_u16(sum, 0);
    store_u16(sum, static_cast<std::uint16_t>(~checksum_fold(transport_sum(data, headers))));
}

auto build_tcp(const endpoint& source, const endpoint& destination, std::uint32_t sequence,
               std::uint32_t acknowledgment, std::uint8_t flags) -> std::vector<std::uint8_t> {
    auto packet = std::vector<std::uint8_t>(header_size_for(source.address) + tcp_header_min);
    const auto at = write_ip_header(packet, ip_protocol::tcp, source.address, destination.address);
    auto* tcp = packet.data() + at;
    store_u16(tcp, source.port);
    store_u16(tcp + 2, destination.port);
    store_u32(tcp + 4, sequence);
    store_u32(tcp + 8, acknowledgment);
    tcp[12] = 0x50;
    tcp[13] = flags;
    auto headers = packet_headers{};
    headers.source = source;
    headers.destination = destination;
    headers.transport_offset = static_cast<std::uint16_t>(at);
    headers.size = static_cast<std::uint16_t>(packet.size());
    write_transport_checksum(packet.data(), headers);
    return packet;
}

auto rewrite_quoted_endpoint(std::uint8_t* quoted_data, const packet_headers& quoted, std::size_t address_at,
                             std::size_t port_at, const endpoint& value) -> void {
    std::memcpy(quoted_data + address_at, value.address.bytes.data(), value.address.size());
    store_u16(quoted_data + quoted.transport_offset + port_at, value.port);
}

auto write_ipv4_checksum(std::uint8_t* data) -> void {
    const auto header_size = static_cast<std::size_t>(data[0] & 0x0fU) * 4;
    store_u16(data + 10, 0);
    store_u16(data + 10, static_cast<std::uint16_t>(~checksum_fold(checksum_add(0, data, header_size))));
}

}  // namespace

auto parse_packet(const std::uint8_t* data, std::size_t size) -> parse_result {
    auto parsed = parse_headers(data, size, false);
    if (!parsed || has_no_checksum(data, *parsed)) {
        return parsed;
    }
    if (checksum_fold(transport_sum(data, *parsed)) != 0xffff) {
        return failure(counter::drop_bad_checksum);
    }
    return parsed;
}

auto parse_quoted_packet(const std::uint8_t* data, std::size_t size) -> parse_result {
    return parse_headers(data, size, true);
}

auto rewrite_source(std::uint8_t* data, const packet_headers& headers, const endpoint& source) -> void {
    rewrite_endpoint(data, headers, source_offset(source.address.is_v6), 0, source);
}

auto rewrite_destination(std::uint8_t* data, const packet_headers& headers, const endpoint& destination)
    -> void {
    rewrite_endpoint(data, headers, destination_offset(destination.address.is_v6), 2, destination);
}

auto rewrite_timestamp_value_low(std::uint8_t* data, const packet_headers& headers, std::uint8_t low)
    -> void {
    rewrite_low_byte(data, headers, headers.timestamp_offset, low);
}

auto rewrite_timestamp_echo_low(std::uint8_t* data, const packet_headers& headers, std::uint8_t low) -> void {
    rewrite_low_byte(data, headers, headers.timestamp_offset + 4U, low);
}

auto build_reset_reply(const packet_headers& headers) -> std::vector<std::uint8_t> {
    if (headers.has_flags(tcp_flag::ack)) {
        return build_tcp(headers.destination, headers.source, headers.tcp_acknowledgment, 0, tcp_flag::rst);
    }
    auto length = static_cast<std::uint32_t>(headers.size - headers.payload_offset);
    length += headers.has_flags(tcp_flag::syn) ? 1 : 0;
    length += headers.has_flags(tcp_flag::fin) ? 1 : 0;
    return build_tcp(headers.destination, headers.source, 0, headers.tcp_sequence + length,
                     tcp_flag::rst | tcp_flag::ack);
}

auto build_reset(const endpoint& source, const endpoint& destination, std::uint32_t sequence)
    -> std::vector<std::uint8_t> {
    return build_tcp(source, destination, sequence, 0, tcp_flag::rst);
}

auto build_icmp_prohibited(const std::uint8_t* data, const packet_headers& headers)
    -> std::vector<std::uint8_t> {
    const auto is_v6 = headers.source.address.is_v6;
    const auto quoted_size = std::min<std::size_t>(headers.size, headers.transport_offset + 8U);
    const auto outer = header_size_for(headers.source.address);
    auto packet = std::vector<std::uint8_t>(outer + icmp_header_size + quoted_size);
    const auto protocol = is_v6 ? ip_protocol::icmpv6 : ip_protocol::icmp;
    const auto at = write_ip_header(packet, protocol, headers.destination.address, headers.source.address);
    packet[at] = is_v6 ? 1 : 3;       // destination unreachable
    packet[at + 1] = is_v6 ? 1 : 13;  // administratively prohibited
    std::memcpy(packet.data() + at + icmp_header_size, data, quoted_size);
    auto built = packet_headers{};
    built.protocol = protocol;
    built.source = headers.destination;
    built.destination = headers.source;
    built.transport_offset = static_cast<std::uint16_t>(at);
    built.size = static_cast<std::uint16_t>(packet.size());
    write_transport_checksum(packet.data(), built);
    return packet;
}

auto rewrite_icmp_error(std::uint8_t* data, const packet_headers& headers, const packet_headers& quoted,
                        const icmp_rewrite& change) -> void {
    const auto is_v6 = headers.source.address.is_v6;
    auto* quoted_data = data + headers.payload_offset;
    if (change.quoted_source != nullptr) {
        rewrite_quoted_endpoint(quoted_data, quoted, source_offset(is_v6), 0, *change.quoted_source);
    }
    if (change.quoted_destination != nullptr) {
        rewrite_quoted_endpoint(quoted_data, quoted, destination_offset(is_v6), 2,
                                *change.quoted_destination);
    }
    if (change.outer_source != nullptr) {
        std::memcpy(data + source_offset(is_v6), change.outer_source->address.bytes.data(),
                    change.outer_source->address.size());
    }
    if (change.outer_destination != nullptr) {
        std::memcpy(data + destination_offset(is_v6), change.outer_destination->address.bytes.data(),
                    change.outer_destination->address.size());
    }
    if (!is_v6) {
        write_ipv4_checksum(quoted_data);
        write_ipv4_checksum(data);
    }
    write_transport_checksum(data, headers);
}

}  // namespace agatepost
