#include <poll.h>
#include <sys/socket.h>

#include "core/cbor_func.h"
#include "core/clock_type.h"
#include "peer/datagram_base.h"

namespace agatepost {

namespace {

constexpr std::size_t header_bytes = 28;  // IPv4 and UDP

}  // namespace

datagram_socket::datagram_socket(file_descriptor socket, const endpoint& local, const auth_keys& keys,
                                 std::function<bool(const endpoint& peer)> is_blocked)
    : socket_(std::move(socket)),
      keys_(keys),
      checker_(keys, to_text(local)),
      is_blocked_(std::move(is_blocked)) {}

auto datagram_socket::send(const endpoint& to, const nlohmann::json& message) -> void {
    const auto encoded = nlohmann::json::to_cbor(message);
    if (encoded.size() > datagram_limit) {
        count(counter::drop_peer_message);
        return;
    }
    if (is_blocked_ && is_blocked_(to)) {
        return;
    }
    const auto payload = std::string_view(reinterpret_cast<const char*>(encoded.data()), encoded.size());
    const auto datagram = seal_datagram(keys_, to_text(to), wall_clock_ms(), payload);
    auto address = sockaddr_storage{};
    const auto length = to_socket_address(to, address);
    const auto sent = ::sendto(socket_.value(), datagram.data(), datagram.size(), 0,
                               reinterpret_cast<const sockaddr*>(&address), length);
    if (sent < 0) {
        count(counter::drop_send_failed);
        return;
    }
    count(counter::control_bytes_sent, datagram.size() + header_bytes);
}

auto datagram_socket::receive(int timeout_ms) -> std::optional<received_datagram> {
    auto waiting = pollfd{socket_.value(), POLLIN, 0};
    if (::poll(&waiting, 1, timeout_ms) <= 0) {
        return std::nullopt;
    }
    char buffer[2048];
    auto address = sockaddr_storage{};
    auto length = socklen_t{sizeof(address)};
    const auto size = ::recvfrom(socket_.value(), buffer, sizeof(buffer), 0,
                                 reinterpret_cast<sockaddr*>(&address), &length);
    if (size < 0) {
        return std::nullopt;
    }
    count(counter::control_bytes_received, static_cast<std::size_t>(size) + header_bytes);
    const auto from = from_socket_address(address);
    if (is_blocked_ && is_blocked_(from)) {
        return std::nullopt;
    }
    const auto payload =
        checker_.open(std::string_view(buffer, static_cast<std::size_t>(size)), wall_clock_ms());
    if (!payload) {
        count(payload.error());
        return std::nullopt;
    }
    auto message = read_cbor(*payload);
    if (message.is_discarded()) {
        count(counter::drop_peer_message);
        return std::nullopt;
    }
    return received_datagram{from, std::move(message)};
}

}  // namespace agatepost
