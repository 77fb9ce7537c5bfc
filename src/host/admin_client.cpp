#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <nlohmann/json.hpp>

#include "core/clock_type.h"
#include "host/admin_auth_func.h"
#include "host/admin_client_func.h"

namespace agatepost {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;

constexpr std::size_t answer_limit = std::size_t{64} * 1024 * 1024;
constexpr std::size_t nonce_bytes = 16;

auto make_request(const endpoint& host, const std::string& target, const auth_keys& keys)
    -> http::request<http::empty_body> {
    auto request = http::request<http::empty_body>(http::verb::get, target, 11);
    request.set(http::field::host, to_text(host));
    if (keys.current) {
        const auto credentials =
            sign_admin_request(*keys.current, "GET", target, wall_clock_ms(), random_hex(nonce_bytes));
        const auto set = [&](std::string_view name, const std::string& value) {
            request.set(boost::string_view(name.data(), name.size()), value);
        };
        set(admin_time_field, credentials.time);
        set(admin_nonce_field, credentials.nonce);
        set(admin_mac_field, credentials.mac);
    }
    return request;
}

// Makes an error of an answer other than 200, with the message and remedy that the host sent.
auto refusal_of(const endpoint& host, unsigned status, const std::string& body) -> error {
    const auto document = nlohmann::json::parse(body, nullptr, false);
    const auto text_field = [&](const char* name, const std::string& fallback) {
        return document.is_object() && document.contains(name) && document[name].is_string()
                   ? document[name].get<std::string>()
                   : fallback;
    };
    return {
        status == 401 ? error_kind::unauthorized : error_kind::not_found,
        to_text(host) + " answered " + std::to_string(status) + ": " + text_field("error", "no explanation"),
        text_field("remedy", "check that --admin-address is that of an agatepost host")};
}

}  // namespace

auto fetch_admin_page(const endpoint& host, const std::string& target, const auth_keys& keys)
    -> result<std::string> {
    auto io = asio::io_context(1);
    auto stream = beast::tcp_stream(io);
    const auto request = make_request(host, target, keys);
    auto buffer = beast::flat_buffer();
    auto parser = http::response_parser<http::string_body>();
    parser.body_limit(answer_limit);
    auto failure = error_code(asio::error::timed_out);
    stream.expires_after(std::chrono::milliseconds(admin_request_timeout_ms));
    const auto address = asio::ip::tcp::endpoint(asio::ip::make_address(to_text(host.address)), host.port);
    stream.async_connect(address, [&](const error_code& connected) {
        failure = connected;
        if (connected) {
            return;
        }
        http::async_write(stream, request, [&](const error_code& written, std::size_t) {
            failure = written;
            if (written) {
                return;
            }
            http::async_read(stream, buffer, parser,
                             [&](const error_code& received, std::size_t) { failure = received; });
        });
    });
    io.run();
    if (failure) {
        return make_error(error_kind::network, "cannot ask " + to_text(host) + ": " + failure.message(),
                          "check that the host runs and that --admin-address is right");
    }
    const auto& response = parser.get();
    if (response.result_int() != 200) {
        return tl::unexpected<error>(refusal_of(host, response.result_int(), response.body()));
    }
    return response.body();
}

}  // namespace agatepost
