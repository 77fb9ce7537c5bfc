#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <unistd.h>

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <list>
#include <mutex>
#include <thread>

#include "core/clock_type.h"
#include "core/counter_func.h"
#include "core/log_func.h"
#include "host/admin_auth_func.h"
#include "host/admin_base.h"

namespace agatepost {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;

constexpr auto accept_error_pause = std::chrono::milliseconds(50);

// One connection with its thread. Its own event loop applies one deadline to the whole request; receive
// timeouts of the socket cannot do so for a client that sends a byte at a time.
struct admin_connection {
    asio::io_context io{1};
    beast::tcp_stream stream{io};
    std::thread thread;
    std::atomic<bool> is_finished{false};
};

// The handler or sections of a path.
struct admin_path {
    admin_handler handler;
    std::map<std::string, admin_section> sections;
};

auto hex_digit(char digit) -> int {
    return digit >= '0' && digit <= '9'   ? digit - '0'
           : digit >= 'a' && digit <= 'f' ? digit - 'a' + 10
           : digit >= 'A' && digit <= 'F' ? digit - 'A' + 10
                                          : -1;
}

auto percent_decode(std::string_view text) -> std::string {
    auto out = std::string();
    for (auto i = std::size_t{0}; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size() && hex_digit(text[i + 1]) >= 0 &&
            hex_digit(text[i + 2]) >= 0) {
            out.push_back(static_cast<char>(hex_digit(text[i + 1]) * 16 + hex_digit(text[i + 2])));
            i += 2;
        } else {
            out.push_back(text[i]);
        }
    }
    return out;
}

auto parse_query(const std::string& text) -> admin_query {
    auto query = admin_query{};
    for (const auto part : absl::StrSplit(text, '&', absl::SkipEmpty())) {
        const std::pair<std::string, std::string> pair = absl::StrSplit(part, absl::MaxSplits('=', 1));
        query[percent_decode(pair.first)] = percent_decode(pair.second);
    }
    return query;
}

auto error_answer(unsigned status, const std::string& message, const std::string& remedy) -> admin_answer {
    return {status, "application/json", nlohmann::json{{"error", message}, {"remedy", remedy}}.dump() + "\n"};
}

// Builds the answer from its sections. A section that throws is replaced by its error.
auto answer_sections(const std::map<std::string, admin_section>& sections, const admin_query& query)
    -> admin_answer {
    auto document = nlohmann::json::object();
    for (const auto& [name, section] : sections) {
        try {
            document[name] = section(query);
        } catch (const std::exception& e) {
            document[name] = {{"error", e.what()}};
        }
    }
    const auto replace = nlohmann::json::error_handler_t::replace;
    return {200, "application/json", document.dump(2, ' ', false, replace) + "\n"};
}

auto to_asio(const endpoint& e) -> asio::ip::tcp::endpoint {
    return {asio::ip::make_address(to_text(e.address)), e.port};
}

// Returns the counter of the reason why a connection is cut off, or nothing if the client closed it.
auto cut_reason(const error_code& failure) -> std::optional<counter> {
    if (failure == beast::error::timeout) {
        return counter::admin_cut_slow;
    }
    if (failure == http::error::header_limit || failure == http::error::body_limit ||
        failure == http::error::buffer_overflow) {
        return counter::admin_cut_oversize;
    }
    if (failure == http::error::end_of_stream ||
        failure.category() != make_error_code(http::error::bad_method).category()) {
        return std::nullopt;
    }
    return counter::admin_cut_malformed;
}

}  // namespace

struct admin_server::server_state {
    explicit server_state(const admin_options& given) : options(given), authenticator(options.keys) {}

    auto has_key() const -> bool { return options.keys.current || options.keys.previous; }

    // Accepts the next connection, and so on until the acceptor is closed.
    auto accept_next() -> void {
        auto next = std::make_unique<admin_connection>();
        auto& socket = next->stream.socket();
        acceptor.async_accept(socket, [this, next = std::move(next)](const error_code& failure) mutable {
            if (failure == asio::error::operation_aborted) {
                return;
            }
            if (failure) {
                std::this_thread::sleep_for(accept_error_pause);
            } else {
                start_connection(std::move(next));
            }
            accept_next();
        });
    }

    auto start_connection(std::unique_ptr<admin_connection> connection) -> void {
        const auto lock = std::lock_guard<std::mutex>(connections_mutex);
        for (auto at = connections.begin(); at != connections.end();) {
            if ((*at)->is_finished) {
                (*at)->thread.join();
                at = connections.erase(at);
            } else {
                ++at;
            }
        }
        if (connections.size() >= options.connection_limit) {
            count(counter::admin_cut_busy);
            return;
        }
        auto& started = *connections.emplace_back(std::move(connection));
        started.thread = std::thread([this, &started] {
            serve(started);
            started.is_finished = true;
        });
    }

    // Reads one request, answers it and closes the connection.
    auto serve(admin_connection& connection) -> void {
        auto parser = http::request_parser<http::empty_body>();
        parser.header_limit(static_cast<std::uint32_t>(options.request_limit));
        auto buffer = beast::flat_buffer(options.request_limit);
        auto failure = error_code(asio::error::operation_aborted);
        connection.stream.expires_after(std::chrono::milliseconds(options.time_limit_ms));
        http::async_read(connection.stream, buffer, parser,
                         [&failure](const error_code& outcome, std::size_t) { failure = outcome; });
        connection.io.run();
        if (!failure) {
            send(connection, answer(connection, parser.get()));
        } else if (const auto reason = cut_reason(failure)) {
            count(*reason);
            if (*reason != counter::admin_cut_slow) {
                send(connection, error_answer(400, "the request is malformed or too large",
                                              "send a GET request without a body"));
            }
        }
        auto ignored = error_code();
        connection.stream.socket().shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
        connection.stream.socket().close(ignored);
    }

    auto send(admin_connection& connection, admin_answer answer) -> void {
        auto response = http::response<http::string_body>(static_cast<http::status>(answer.status), 11);
        response.set(http::field::content_type, answer.content_type);
        response.set(http::field::cache_control, "no-store");
        response.keep_alive(false);
        response.body() = std::move(answer.body);
        response.prepare_payload();
        connection.io.restart();
        connection.stream.expires_after(std::chrono::milliseconds(options.time_limit_ms));
        http::async_write(connection.stream, response, [](const error_code& failure, std::size_t) {
            if (failure == beast::error::timeout) {
                count(counter::admin_cut_slow);
            }
        });
        connection.io.run();
    }

    // Refuses a request that is not authentic; otherwise answers it from what is registered for its path.
    auto answer(admin_connection& connection, const http::request<http::empty_body>& request)
        -> admin_answer {
        count(counter::admin_requests);
        const auto target = std::string(request.target());
        const auto field = [&](std::string_view name) {
            return std::string(request[boost::string_view(name.data(), name.size())]);
        };
        if (has_key()) {
            const auto credentials =
                admin_credentials{field(admin_time_field), field(admin_nonce_field), field(admin_mac_field)};
            const auto method = std::string(request.method_string());
            const auto checked = authenticator.check(method, target, credentials, wall_clock_ms());
            if (!checked) {
                return refuse(connection, checked.error());
            }
        }
        if (request.method() != http::verb::get) {
            return error_answer(405, "only GET is answered", "send a GET request");
        }
        const std::pair<std::string, std::string> parts = absl::StrSplit(target, absl::MaxSplits('?', 1));
        return answer_path(parts.first, parse_query(parts.second));
    }

    auto refuse(admin_connection& connection, counter reason) -> admin_answer {
        count(reason);
        auto ignored = error_code();
        const auto client = connection.stream.socket().remote_endpoint(ignored);
        write_log(log_event::admin_request_refused,
                  {{"client", client.address().to_string()}, {"reason", std::string(counter_name(reason))}});
        // The reason is not disclosed to a client without the key, except a wrong clock.
        return reason == counter::admin_refused_time
                   ? error_answer(401, "the request's time differs too much from this host's clock",
                                  "correct the clock of one of the two hosts")
                   : error_answer(401, "the request is not authenticated",
                                  "set AGATEPOST_KEY to the fleet's key");
    }

    auto answer_path(const std::string& path, const admin_query& query) -> admin_answer {
        auto found = admin_path{};
        {
            const auto lock = std::lock_guard<std::mutex>(paths_mutex);
            const auto at = paths.find(path);
            if (at == paths.end()) {
                auto known = std::string();
                for (const auto& [name, unused] : paths) {
                    absl::StrAppend(&known, known.empty() ? "" : ", ", name);
                }
                return error_answer(404, "there is no path '" + path + "'", "use one of: " + known);
            }
            found = at->second;
        }
        try {
            return found.handler ? found.handler(query) : answer_sections(found.sections, query);
        } catch (const std::exception& e) {
            return error_answer(500, e.what(), "look for an error in this host's log");
        }
    }

    const admin_options options;
    admin_authenticator authenticator;
    std::mutex paths_mutex;
    std::map<std::string, admin_path> paths;
    std::mutex connections_mutex;
    std::list<std::unique_ptr<admin_connection>> connections;
    asio::io_context io{1};
    asio::ip::tcp::acceptor acceptor{io};
    std::thread accept_thread;
    endpoint local;
};

admin_server::admin_server(const admin_options& options) : state_(std::make_unique<server_state>(options)) {}

admin_server::~admin_server() {
    stop();
}

auto admin_server::add(const std::string& path, admin_handler handler) -> void {
    const auto lock = std::lock_guard<std::mutex>(state_->paths_mutex);
    state_->paths[path].handler = std::move(handler);
}

auto admin_server::add_section(const std::string& path, const std::string& name, admin_section section)
    -> void {
    const auto lock = std::lock_guard<std::mutex>(state_->paths_mutex);
    state_->paths[path].sections[name] = std::move(section);
}

auto admin_server::start() -> result<void> {
    auto& state = *state_;
    const auto address = to_asio(state.options.address);
    if (!state.has_key()) {
        const auto is_loopback = address.address().is_loopback();
        write_log(log_event::admin_without_key,
                  {{"address", to_text(state.options.address)}, {"listening", is_loopback ? "yes" : "no"}});
        if (!is_loopback) {
            return {};
        }
    }
    try {
        state.acceptor.open(address.protocol());
        state.acceptor.set_option(asio::socket_base::reuse_address(true));
        state.acceptor.bind(address);
        state.acceptor.listen();
        state.local = state.options.address;
        state.local.port = state.acceptor.local_endpoint().port();
    } catch (const boost::system::system_error& e) {
        return make_error(
            error_kind::network,
            "cannot listen on admin address " + to_text(state.options.address) + ": " + e.what(),
            "set --admin-address to a free address of this host");
    }
    state.accept_next();
    state.accept_thread = std::thread([&state] { state.io.run(); });
    return {};
}

auto admin_server::local_address() const -> endpoint {
    return state_->local;
}

auto admin_server::stop() -> void {
    auto& state = *state_;
    state.io.stop();
    if (state.accept_thread.joinable()) {
        state.accept_thread.join();
    }
    auto ignored = error_code();
    state.acceptor.close(ignored);
    const auto lock = std::lock_guard<std::mutex>(state.connections_mutex);
    for (const auto& connection : state.connections) {
        connection->io.stop();
        connection->thread.join();
    }
    state.connections.clear();
}

}  // namespace agatepost
