#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <utility>

#include "net/socket_func.h"

namespace agatepost {

namespace {

// Holds simultaneous batches of several senders; the kernel's default size holds about 100 packets.
constexpr int socket_buffer_bytes = 4 << 20;

}  // namespace

auto file_descriptor::operator=(file_descriptor&& other) noexcept -> file_descriptor& {
    std::swap(fd_, other.fd_);
    return *this;
}

file_descriptor::~file_descriptor() {
    if (fd_ >= 0) {
        ::close(fd_);
    }
}

auto file_descriptor::release() -> int {
    return std::exchange(fd_, -1);
}

auto to_socket_address(const endpoint& e, sockaddr_storage& out) -> socklen_t {
    std::memset(&out, 0, sizeof(out));
    if (e.address.is_v6) {
        auto* v6 = reinterpret_cast<sockaddr_in6*>(&out);
        v6->sin6_family = AF_INET6;
        v6->sin6_port = htons(e.port);
        std::memcpy(&v6->sin6_addr, e.address.bytes.data(), sizeof(v6->sin6_addr));
        return sizeof(*v6);
    }
    auto* v4 = reinterpret_cast<sockaddr_in*>(&out);
    v4->sin_family = AF_INET;
    v4->sin_port = htons(e.port);
    std::memcpy(&v4->sin_addr, e.address.bytes.data(), sizeof(v4->sin_addr));
    return sizeof(*v4);
}

auto from_socket_address(const sockaddr_storage& address) -> endpoint {
    auto e = endpoint{};
    if (address.ss_family == AF_INET6) {
        const auto* v6 = reinterpret_cast<const sockaddr_in6*>(&address);
        e.address.is_v6 = true;
        std::memcpy(e.address.bytes.data(), &v6->sin6_addr, sizeof(v6->sin6_addr));
        e.port = ntohs(v6->sin6_port);
        return e;
    }
    const auto* v4 = reinterpret_cast<const sockaddr_in*>(&address);
    std::memcpy(e.address.bytes.data(), &v4->sin_addr, sizeof(v4->sin_addr));
    e.port = ntohs(v4->sin_port);
    return e;
}

auto open_udp_socket(const endpoint& local, bool shared) -> result<file_descriptor> {
    auto fd = file_descriptor(
        ::socket(local.address.is_v6 ? AF_INET6 : AF_INET, SOCK_DGRAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
    const auto failed = [&](const char* step) {
        return make_error(error_kind::network,
                          std::string(step) + " " + to_text(local) + ": " + std::strerror(errno),
                          "check that the address is this machine's and that the port is free");
    };
    if (fd.value() < 0) {
        return failed("cannot open a UDP socket for");
    }
    const auto on = 1;
    ::setsockopt(fd.value(), SOL_SOCKET, SO_RCVBUF, &socket_buffer_bytes, sizeof(socket_buffer_bytes));
    ::setsockopt(fd.value(), SOL_SOCKET, SO_SNDBUF, &socket_buffer_bytes, sizeof(socket_buffer_bytes));
    if (shared) {
        ::setsockopt(fd.value(), SOL_SOCKET, SO_REUSEPORT, &on, sizeof(on));
    }
    auto address = sockaddr_storage{};
    const auto length = to_socket_address(local, address);
    if (::bind(fd.value(), reinterpret_cast<sockaddr*>(&address), length) != 0) {
        return failed("cannot bind UDP address");
    }
    return fd;
}

}  // namespace agatepost
