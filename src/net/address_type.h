// Value types for IP addresses and transport endpoints.
#pragma once

#include <array>
#include <cstdint>
#include <cstring>
#include <string>
#include <string_view>
#include <utility>

#include "core/error_type.h"

namespace agatepost {

// An IPv4 or IPv6 address in network byte order. IPv4 uses the first 4 bytes; the others are zero.
struct ip_address {
    std::array<std::uint8_t, 16> bytes{};
    bool is_v6 = false;

    // Returns the number of significant bytes: 4 or 16.
    auto size() const -> std::size_t { return is_v6 ? 16U : 4U; }

    friend auto operator==(const ip_address& a, const ip_address& b) -> bool {
        return a.is_v6 == b.is_v6 && a.bytes == b.bytes;
    }
    friend auto operator!=(const ip_address& a, const ip_address& b) -> bool { return !(a == b); }
    friend auto operator<(const ip_address& a, const ip_address& b) -> bool {
        return a.is_v6 != b.is_v6 ? a.is_v6 < b.is_v6 : a.bytes < b.bytes;
    }
    template <typename H>
    friend auto AbslHashValue(H h, const ip_address& a) -> H {
        return H::combine(std::move(h), a.bytes, a.is_v6);
    }
};

// An IP address and a port; the port is in host byte order.
struct endpoint {
    ip_address address;
    std::uint16_t port = 0;

    friend auto operator==(const endpoint& a, const endpoint& b) -> bool {
        return a.port == b.port && a.address == b.address;
    }
    friend auto operator!=(const endpoint& a, const endpoint& b) -> bool { return !(a == b); }
    friend auto operator<(const endpoint& a, const endpoint& b) -> bool {
        return a.address != b.address ? a.address < b.address : a.port < b.port;
    }
    template <typename H>
    friend auto AbslHashValue(H h, const endpoint& e) -> H {
        return H::combine(std::move(h), e.address, e.port);
    }
};

// Transport protocols, with their IP protocol numbers.
enum class ip_protocol : std::uint8_t {
    icmp = 1,  // for IPv4
    tcp = 6,
    udp = 17,
    icmpv6 = 58,
};

// Parses a numeric IPv4 or IPv6 address.
auto parse_ip_address(std::string_view text) -> result<ip_address>;

// Parses ADDRESS:PORT with a numeric address; IPv6 addresses are in brackets.
auto parse_endpoint(std::string_view text) -> result<endpoint>;

auto to_text(const ip_address& address) -> std::string;
auto to_text(const endpoint& e) -> std::string;
auto to_text(ip_protocol protocol) -> std::string_view;

}  // namespace agatepost
