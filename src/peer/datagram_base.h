// Authenticated CBOR datagrams on the host's peer address.
#pragma once

#include <functional>
#include <nlohmann/json.hpp>
#include <optional>

#include "net/socket_func.h"
#include "peer/datagram_auth_base.h"

namespace agatepost {

// Largest encoded message, without header and code: fits the smallest usual path MTU.
constexpr std::size_t datagram_limit = 1200;

// A received message and the address it came from.
struct received_datagram {
    endpoint from;
    nlohmann::json message;
};

// The UDP socket of the peer address. send is thread-safe; receive must be called by one thread only.
class datagram_socket {
public:
    // `is_blocked` simulates partitions in tests: datagrams to and from such addresses are dropped.
    datagram_socket(file_descriptor socket, const endpoint& local, const auth_keys& keys,
                    std::function<bool(const endpoint& peer)> is_blocked);

    // Encodes and sends a message. Messages over datagram_limit and failed sends are counted and dropped.
    auto send(const endpoint& to, const nlohmann::json& message) -> void;

    // Waits up to `timeout_ms` for a message. Returns nothing if none arrived or it was dropped.
    auto receive(int timeout_ms) -> std::optional<received_datagram>;

private:
    file_descriptor socket_;
    auth_keys keys_;
    datagram_checker checker_;
    std::function<bool(const endpoint& peer)> is_blocked_;
};

}  // namespace agatepost
