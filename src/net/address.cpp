#include <absl/strings/numbers.h>
#include <arpa/inet.h>

#include "net/address_type.h"

namespace agatepost {

auto parse_ip_address(std::string_view text) -> result<ip_address> {
    const auto terminated = std::string(text);
    auto address = ip_address{};
    if (inet_pton(AF_INET, terminated.c_str(), address.bytes.data()) == 1) {
        return address;
    }
    address.is_v6 = true;
    if (inet_pton(AF_INET6, terminated.c_str(), address.bytes.data()) == 1) {
        return address;
    }
    return make_error(error_kind::invalid_document, "'" + terminated + "' is not an IP address",
                      "give a numeric IPv4 or IPv6 address");
}

auto parse_endpoint(std::string_view text) -> result<endpoint> {
    const auto colon = text.rfind(':');
    auto port = 0U;
    if (colon == std::string_view::npos ||
        !absl::SimpleAtoi(absl::string_view(text.data() + colon + 1, text.size() - colon - 1), &port) ||
        port > 65535) {
        return make_error(error_kind::invalid_document, "'" + std::string(text) + "' is not ADDRESS:PORT",
                          "give a numeric address and a port from 0 to 65535, such as 127.0.0.1:6081");
    }
    auto host = text.substr(0, colon);
    if (host.size() >= 2 && host.front() == '[' && host.back() == ']') {
        host = host.substr(1, host.size() - 2);
    }
    const auto address = parse_ip_address(host);
    if (!address) {
        return tl::unexpected<error>(address.error());
    }
    return endpoint{*address, static_cast<std::uint16_t>(port)};
}

auto to_text(const ip_address& address) -> std::string {
    char buffer[INET6_ADDRSTRLEN] = {};
    inet_ntop(address.is_v6 ? AF_INET6 : AF_INET, address.bytes.data(), buffer, sizeof(buffer));
    return buffer;
}

auto to_text(const endpoint& e) -> std::string {
    const auto address = to_text(e.address);
    return (e.address.is_v6 ? "[" + address + "]" : address) + ":" + std::to_string(e.port);
}

auto to_text(ip_protocol protocol) -> std::string_view {
    switch (protocol) {
        case ip_protocol::icmp:
            return "icmp";
        case ip_protocol::tcp:
            return "tcp";
        case ip_protocol::udp:
            return "udp";
        case ip_protocol::icmpv6:
            return "icmpv6";
    }
    return "unknown";
}

}  // namespace agatepost
