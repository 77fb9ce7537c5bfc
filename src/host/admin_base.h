// The admin port: a small HTTP server for operators and monitoring.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "core/error_type.h"
#include "core/message_auth_func.h"
#include "net/address_type.h"

namespace agatepost {

// The parameters after the '?' of a request, decoded.
using admin_query = std::map<std::string, std::string>;

// An HTTP answer.
struct admin_answer {
    unsigned status = 200;
    std::string content_type = "application/json";
    std::string body;
};

// Answers requests of one path. Called on the connection's thread, on several threads at the same time.
using admin_handler = std::function<admin_answer(const admin_query& query)>;

// Returns one member of a JSON answer to which several modules contribute. Called like an admin_handler.
using admin_section = std::function<nlohmann::json(const admin_query& query)>;

// Address, keys and limits of the admin port.
struct admin_options {
    endpoint address;
    auth_keys keys;
    std::size_t connection_limit = 32;  // each has a thread; more are closed at once
    std::size_t request_limit = 8192;   // bytes of request line and headers; bodies are not accepted
    std::int64_t time_limit_ms = 2000;  // for the whole request, and again for the whole answer
};

// The HTTP server. One thread accepts connections; each connection has a thread and serves one request. With
// a key, requests without a valid code are refused. Without a key the port listens only on a loopback
// address, and a warning is logged.
class admin_server {
public:
    explicit admin_server(const admin_options& options);
    admin_server(const admin_server&) = delete;
    auto operator=(const admin_server&) -> admin_server& = delete;
    ~admin_server();

    // Sets the handler of a path and replaces an earlier one. Thread-safe.
    auto add(const std::string& path, admin_handler handler) -> void;

    // Sets a member of the JSON object that a path answers with and replaces an earlier one of that name.
    // Thread-safe. A path has either a handler or sections; the handler takes precedence.
    auto add_section(const std::string& path, const std::string& name, admin_section section) -> void;

    // Starts to listen. Succeeds without listening if the address is not loopback and no key is set.
    auto start() -> result<void>;

    // Returns the address it listens on, with the port that the system assigned if port 0 was requested.
    auto local_address() const -> endpoint;

    // Ends all connections and threads. Called by the destructor.
    auto stop() -> void;

private:
    struct server_state;
    std::unique_ptr<server_state> state_;
};

}  // namespace agatepost
