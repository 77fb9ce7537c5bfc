// Small HTTP/1.1 client and server on an event loop, for store calls, reads between hosts,
// and readiness and metrics requests.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "edge/event_loop_base.h"

namespace agatepost::edge {

// A header field of a response.
struct http_header {
    std::string name;
    std::string value;

    friend auto operator==(const http_header& a, const http_header& b) -> bool {
        return a.name == b.name && a.value == b.value;
    }
};

// Response to a request.
struct http_answer {
    unsigned status = 0;
    std::string body;
    std::vector<http_header> headers{};  // a client has only those that it was asked to keep

    friend auto operator==(const http_answer& a, const http_answer& b) -> bool {
        return a.status == b.status && a.body == b.body && a.headers == b.headers;
    }
};

// One connection for one call at a time. A call that fails closes the connection; the next call opens a new
// one.
class http_client {
public:
    using on_answer = std::function<void(result<http_answer>)>;

    // Answers contain the headers with the name `kept_header`, if one is given.
    explicit http_client(event_loop& loop, std::string_view kept_header = {});
    http_client(const http_client&) = delete;
    auto operator=(const http_client&) -> http_client& = delete;
    ~http_client();

    // Sends GET `target` to a server; `done` is called once, from the loop, at the latest by on_timer after
    // the deadline. An answer whose body exceeds the limit is an error of kind message_too_large. No other
    // call may be in progress.
    auto call(const endpoint& server, const std::string& target, time_ms deadline, on_answer done) -> void;

    // Fails the call whose deadline has passed.
    auto on_timer(time_ms at) -> void;

    // Aborts the call in progress without calling `done`, and closes the connection.
    auto cancel() -> void;

    auto is_busy() const -> bool { return done_ != nullptr; }
    auto deadline() const -> time_ms { return deadline_; }

private:
    struct response_reader;

    auto connect(const endpoint& server) -> result<void>;
    auto on_ready(std::uint32_t events) -> void;
    auto read_answer() -> void;
    auto finish(result<http_answer> answer) -> void;
    auto fail(const std::string& what, error_kind kind = error_kind::network) -> void;
    auto close() -> void;

    event_loop& loop_;
    std::string kept_header_;
    file_descriptor socket_;
    endpoint server_;
    std::string unsent_;
    std::unique_ptr<response_reader> reader_;
    on_answer done_;
    time_ms deadline_;
};

// Answers GET requests on one address.
class http_server {
public:
    // Returns the answer to a request target.
    using responder = std::function<http_answer(std::string_view target)>;

    http_server(event_loop& loop, responder respond) : loop_(loop), respond_(std::move(respond)) {}
    http_server(const http_server&) = delete;
    auto operator=(const http_server&) -> http_server& = delete;
    ~http_server();

    // Listens on an address.
    auto listen(const endpoint& address) -> result<void>;

    // Closes connections that were idle for 30 s.
    auto on_timer(time_ms at) -> void;

private:
    struct connection {
        file_descriptor socket;
        std::string received;
        std::string unsent;
        time_ms last_used;
    };

    auto accept_all() -> void;
    auto close_longest_idle() -> void;
    auto on_ready(int fd, std::uint32_t events) -> void;
    auto answer_requests(connection& peer) -> bool;
    auto send_unsent(connection& peer) -> bool;
    auto close(int fd) -> void;

    event_loop& loop_;
    responder respond_;
    file_descriptor listener_;
    std::map<int, connection> connections_;
};

// Opens a non-blocking TCP listener.
auto open_listener(const endpoint& address) -> result<file_descriptor>;

}  // namespace agatepost::edge
