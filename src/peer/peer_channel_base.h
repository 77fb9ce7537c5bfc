// Exchange of messages with other hosts, independent of the transport.
#pragma once

#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "peer/host_view_type.h"

namespace agatepost {

// Called with the sender's name and the message body, on the receiving thread of the transport.
using peer_handler = std::function<void(const std::string& sender, const nlohmann::json& body)>;

// Messages between hosts, encoded as CBOR and authenticated. Thread-safe after start.
struct peer_channel {
    // Adds a handler for a message type. Call it only before the host starts.
    std::function<void(std::string_view type, peer_handler handler)> subscribe;
    // Sends one UDP datagram, at most 1200 bytes encoded; it may be lost.
    std::function<void(const host_record& to, std::string_view type, const nlohmann::json& body)> send;
    // Sends over the websocket link to a host, opening one if needed; lost only if the link breaks.
    std::function<void(const host_record& to, std::string_view type, const nlohmann::json& body)>
        send_reliable;
};

}  // namespace agatepost
