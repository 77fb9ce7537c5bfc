// Conversions between endpoints and socket addresses, an owning file descriptor, and UDP sockets.
#pragma once

#include <netinet/in.h>
#include <sys/socket.h>

#include "core/error_type.h"
#include "net/address_type.h"

namespace agatepost {

// Owns a file descriptor and closes it on destruction.
class file_descriptor {
public:
    explicit file_descriptor(int fd = -1) : fd_(fd) {}
    file_descriptor(file_descriptor&& other) noexcept : fd_(other.release()) {}
    file_descriptor(const file_descriptor&) = delete;
    auto operator=(const file_descriptor&) -> file_descriptor& = delete;
    auto operator=(file_descriptor&& other) noexcept -> file_descriptor&;
    ~file_descriptor();

    auto value() const -> int { return fd_; }
    // Gives up ownership and returns the descriptor.
    auto release() -> int;

private:
    int fd_;
};

// Fills in a socket address and returns its length.
auto to_socket_address(const endpoint& e, sockaddr_storage& out) -> socklen_t;

auto from_socket_address(const sockaddr_storage& address) -> endpoint;

// Opens a UDP socket bound to an address. With `shared`, several sockets can bind the same address and the
// kernel distributes packets over them by the sender's address.
auto open_udp_socket(const endpoint& local, bool shared) -> result<file_descriptor>;

}  // namespace agatepost
