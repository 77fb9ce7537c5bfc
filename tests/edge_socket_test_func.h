// Loopback addresses for tests of the one-way path over real sockets.
#pragma once

#include <cppunit/TestAssert.h>
#include <sys/socket.h>

#include <string>

#include "edge/http_base.h"
#include "net/socket_func.h"

namespace agatepost::edge {

inline auto loopback(std::uint16_t port) -> endpoint {
    return *parse_endpoint("127.0.0.1:" + std::to_string(port));
}

// Returns a port that was free at the time of the call.
inline auto free_port() -> std::uint16_t {
    const auto listener = open_listener(loopback(0));
    CPPUNIT_ASSERT(listener.has_value());
    auto address = sockaddr_storage{};
    auto length = socklen_t{sizeof(address)};
    getsockname(listener->value(), reinterpret_cast<sockaddr*>(&address), &length);
    return from_socket_address(address).port;
}

}  // namespace agatepost::edge
