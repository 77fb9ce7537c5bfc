#include <absl/strings/str_cat.h>
#include <netinet/tcp.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <boost/beast/http.hpp>
#include <cerrno>
#include <cstring>

#include "edge/http_base.h"

namespace agatepost::edge {

namespace {

namespace http = boost::beast::http;

constexpr std::size_t read_bytes = 16384;
// A page of the store is about 1 MB, in base64. Reading an answer takes five times its size.
constexpr std::size_t max_body_bytes = 4U << 20U;
constexpr std::size_t max_request_bytes = 8192;
constexpr std::size_t max_connections = 64;
constexpr std::int64_t idle_connection_ms = 30000;
constexpr int listen_backlog = 64;

auto system_error(std::string_view what) -> std::string {
    return absl::StrCat(std::string(what), ": ", std::strerror(errno));
}

auto set_no_delay(int fd) -> void {
    const auto on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

// Whether the body exceeds the limit. The parser's own limit is not enforced if the body begins in the same
// read as the header.
template <typename Parser>
auto is_too_large(const Parser& parser) -> bool {
    return (parser.is_header_done() && parser.content_length().value_or(0) > max_body_bytes) ||
           parser.get().body().size() > max_body_bytes;
}

}  // namespace

// Reads one response.
struct http_client::response_reader {
    http::response_parser<http::string_body> parser;
    std::string unparsed;
};

http_client::http_client(event_loop& loop, std::string_view kept_header)
    : loop_(loop), kept_header_(kept_header) {}

http_client::~http_client() {
    close();
}

auto http_client::connect(const endpoint& server) -> result<void> {
    if (socket_.value() >= 0 && server == server_) {
        loop_.change(socket_.value(), EPOLLOUT);
        return {};
    }
    close();
    auto address = sockaddr_storage{};
    const auto length = to_socket_address(server, address);
    auto opened = file_descriptor(socket(address.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    if (opened.value() < 0) {
        return make_error(error_kind::network, system_error("socket"), "raise the limit of open descriptors");
    }
    set_no_delay(opened.value());
    if (::connect(opened.value(), reinterpret_cast<const sockaddr*>(&address), length) != 0 &&
        errno != EINPROGRESS) {
        return make_error(error_kind::network, system_error("connect to " + to_text(server)),
                          "check that the server runs and can be reached");
    }
    auto added = loop_.add(opened.value(), EPOLLOUT, [this](std::uint32_t events) { on_ready(events); });
    if (!added) {
        return added;
    }
    socket_ = std::move(opened);
    server_ = server;
    return {};
}

auto http_client::call(const endpoint& server, const std::string& target, time_ms deadline, on_answer done)
    -> void {
    done_ = std::move(done);
    deadline_ = deadline;
    reader_ = std::make_unique<response_reader>();
    reader_->parser.body_limit(max_body_bytes);
    reader_->parser.eager(true);
    unsent_ = absl::StrCat("GET ", target, " HTTP/1.1\r\nHost: ", to_text(server), "\r\n\r\n");
    const auto connected = connect(server);
    if (!connected) {
        finish(tl::unexpected<error>(connected.error()));
    }
}

auto http_client::on_timer(time_ms at) -> void {
    if (is_busy() && at >= deadline_) {
        fail("no answer in time");
    }
}

auto http_client::cancel() -> void {
    done_ = nullptr;
    close();
}

auto http_client::on_ready(std::uint32_t events) -> void {
    if (!is_busy()) {
        close();  // the server closed an idle connection
        return;
    }
    if ((events & EPOLLOUT) != 0 && !unsent_.empty()) {
        const auto sent = send(socket_.value(), unsent_.data(), unsent_.size(), MSG_NOSIGNAL);
        if (sent < 0) {
            if (errno != EAGAIN) {
                fail(system_error("send"));
            }
            return;
        }
        unsent_.erase(0, static_cast<std::size_t>(sent));
        if (unsent_.empty()) {
            loop_.change(socket_.value(), EPOLLIN);
        }
        return;
    }
    read_answer();
}

auto http_client::read_answer() -> void {
    auto buffer = std::array<char, read_bytes>{};
    const auto got = recv(socket_.value(), buffer.data(), buffer.size(), 0);
    if (got < 0) {
        if (errno != EAGAIN) {
            fail(system_error("receive"));
        }
        return;
    }
    auto& parser = reader_->parser;
    auto code = boost::beast::error_code{};
    if (got == 0) {
        // The parser accepts an end of data before the first byte as a complete answer without status.
        const auto has_begun = parser.got_some();
        if (has_begun) {
            parser.put_eof(code);
        }
        if (!has_begun || code || !parser.is_done()) {
            fail("the connection was closed before the answer");
            return;
        }
    }
    reader_->unparsed.append(buffer.data(), static_cast<std::size_t>(got));
    while (!reader_->unparsed.empty() && !parser.is_done()) {
        const auto used = parser.put(boost::asio::buffer(reader_->unparsed), code);
        reader_->unparsed.erase(0, used);
        if (code == http::error::body_limit || is_too_large(parser)) {
            fail("the answer is too large", error_kind::message_too_large);
            return;
        }
        if (code == http::error::need_more) {
            return;
        }
        if (code) {
            fail("malformed answer: " + code.message());
            return;
        }
    }
    if (parser.is_done()) {
        const auto keep = parser.keep_alive() && got != 0;
        auto answer = http_answer{parser.get().result_int(), std::move(parser.get().body())};
        const auto kept = parser.get().equal_range(kept_header_);
        for (auto field = kept.first; field != kept.second; ++field) {
            const auto value = field->value();
            answer.headers.push_back({kept_header_, std::string(value.data(), value.size())});
        }
        if (!keep) {
            close();
        }
        finish(std::move(answer));
    }
}

auto http_client::finish(result<http_answer> answer) -> void {
    const auto done = std::move(done_);
    done_ = nullptr;
    if (done) {
        done(std::move(answer));
    }
}

auto http_client::fail(const std::string& what, error_kind kind) -> void {
    const auto server = to_text(server_);
    close();
    finish(make_error(kind, "call to " + server + " failed: " + what,
                      "check that the server runs and can be reached"));
}

auto http_client::close() -> void {
    if (socket_.value() >= 0) {
        loop_.remove(socket_.value());
        socket_ = file_descriptor();
    }
}

auto open_listener(const endpoint& address) -> result<file_descriptor> {
    auto bound = sockaddr_storage{};
    const auto length = to_socket_address(address, bound);
    auto opened = file_descriptor(socket(bound.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    const auto on = 1;
    if (opened.value() < 0 || setsockopt(opened.value(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on)) != 0 ||
        bind(opened.value(), reinterpret_cast<const sockaddr*>(&bound), length) != 0 ||
        ::listen(opened.value(), listen_backlog) != 0) {
        return make_error(error_kind::network, system_error("listen on " + to_text(address)),
                          "check that the address is this host's and no other process has the port");
    }
    return opened;
}

http_server::~http_server() {
    while (!connections_.empty()) {
        close(connections_.begin()->first);
    }
    if (listener_.value() >= 0) {
        loop_.remove(listener_.value());
    }
}

auto http_server::listen(const endpoint& address) -> result<void> {
    auto opened = open_listener(address);
    if (!opened) {
        return tl::unexpected<error>(opened.error());
    }
    listener_ = std::move(*opened);
    return loop_.add(listener_.value(), EPOLLIN, [this](std::uint32_t) { accept_all(); });
}

auto http_server::accept_all() -> void {
    while (true) {
        auto accepted =
            file_descriptor(accept4(listener_.value(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
        const auto fd = accepted.value();
        if (fd < 0) {
            return;
        }
        if (connections_.size() >= max_connections) {
            close_longest_idle();
        }
        set_no_delay(fd);
        if (loop_.add(fd, EPOLLIN, [this, fd](std::uint32_t events) { on_ready(fd, events); })) {
            connections_.emplace(fd, connection{std::move(accepted), {}, {}, boot_now()});
        }
    }
}

// Idle connections must not block new ones.
auto http_server::close_longest_idle() -> void {
    const auto idle = std::min_element(
        connections_.begin(), connections_.end(),
        [](const auto& a, const auto& b) { return a.second.last_used < b.second.last_used; });
    close(idle->first);
}

auto http_server::on_ready(int fd, std::uint32_t events) -> void {
    auto& peer = connections_.at(fd);
    peer.last_used = boot_now();
    if ((events & EPOLLOUT) != 0) {
        if (!send_unsent(peer)) {
            close(fd);
        }
        return;
    }
    auto buffer = std::array<char, read_bytes>{};
    const auto got = recv(fd, buffer.data(), buffer.size(), 0);
    if (got <= 0) {
        if (got == 0 || errno != EAGAIN) {
            close(fd);
        }
        return;
    }
    peer.received.append(buffer.data(), static_cast<std::size_t>(got));
    if (peer.received.size() > max_request_bytes || !answer_requests(peer) || !send_unsent(peer)) {
        close(fd);
    }
}

auto http_server::answer_requests(connection& peer) -> bool {
    while (!peer.received.empty()) {
        auto parser = http::request_parser<http::empty_body>{};
        auto code = boost::beast::error_code{};
        auto used = std::size_t{0};
        while (!parser.is_done() && used < peer.received.size()) {
            used += parser.put(boost::asio::buffer(peer.received.data() + used, peer.received.size() - used),
                               code);
            if (code == http::error::need_more) {
                return true;
            }
            if (code) {
                return false;
            }
        }
        if (!parser.is_done()) {
            return true;
        }
        peer.received.erase(0, used);
        const auto target = parser.get().target();
        const auto answer = respond_(std::string_view(target.data(), target.size()));
        absl::StrAppend(&peer.unsent, "HTTP/1.1 ", answer.status, " ",
                        std::string(http::obsolete_reason(static_cast<http::status>(answer.status))),
                        "\r\nContent-Length: ", answer.body.size(), "\r\n");
        for (const auto& header : answer.headers) {
            absl::StrAppend(&peer.unsent, header.name, ": ", header.value, "\r\n");
        }
        absl::StrAppend(&peer.unsent, "\r\n", answer.body);
    }
    return true;
}

auto http_server::send_unsent(connection& peer) -> bool {
    if (!peer.unsent.empty()) {
        const auto sent = send(peer.socket.value(), peer.unsent.data(), peer.unsent.size(), MSG_NOSIGNAL);
        if (sent < 0 && errno != EAGAIN) {
            return false;
        }
        peer.unsent.erase(0, static_cast<std::size_t>(std::max<ssize_t>(sent, 0)));
    }
    loop_.change(peer.socket.value(), peer.unsent.empty() ? EPOLLIN : EPOLLOUT);
    return true;
}

auto http_server::on_timer(time_ms at) -> void {
    for (auto i = connections_.begin(); i != connections_.end();) {
        const auto fd = i->first;
        const auto is_idle = at - i->second.last_used > idle_connection_ms;
        ++i;
        if (is_idle) {
            close(fd);
        }
    }
}

auto http_server::close(int fd) -> void {
    loop_.remove(fd);
    connections_.erase(fd);
}

}  // namespace agatepost::edge
