#include <boost/asio/io_context.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <sstream>

#include "http_func.h"

namespace agatepost::rig {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

// Runs the handlers of one asynchronous step and returns whether it succeeded.
auto run_step(asio::io_context& context, const beast::error_code& failed) -> bool {
    context.restart();
    context.run();
    return !failed;
}

}  // namespace

auto http_get(const endpoint& server, const std::string& path, int limit_ms) -> std::optional<std::string> {
    auto context = asio::io_context(1);
    auto stream = beast::tcp_stream(context);
    auto failed = beast::error_code{};
    const auto keep = [&](beast::error_code code, auto&&...) { failed = code; };
    stream.expires_after(std::chrono::milliseconds(limit_ms));
    stream.async_connect(
        asio::ip::tcp::endpoint(asio::ip::make_address(to_text(server.address)), server.port), keep);
    if (!run_step(context, failed)) {
        return std::nullopt;
    }
    auto request = http::request<http::empty_body>(http::verb::get, path, 11);
    request.set(http::field::host, to_text(server));
    request.keep_alive(false);
    http::async_write(stream, request, keep);
    if (!run_step(context, failed)) {
        return std::nullopt;
    }
    auto buffer = beast::flat_buffer{};
    auto response = http::response<http::string_body>{};
    http::async_read(stream, buffer, response, keep);
    if (!run_step(context, failed) || response.result() != http::status::ok) {
        return std::nullopt;
    }
    return std::move(response.body());
}

auto metric_value(const std::string& page, const std::string& name) -> std::optional<double> {
    auto lines = std::istringstream(page);
    auto line = std::string();
    auto sum = std::optional<double>();
    while (std::getline(lines, line)) {
        const auto space = line.rfind(' ');
        if (line.empty() || line[0] == '#' || space == std::string::npos) {
            continue;
        }
        if (line.substr(0, space).find(name) != std::string::npos) {
            sum = sum.value_or(0) + std::strtod(line.c_str() + space, nullptr);
        }
    }
    return sum;
}

}  // namespace agatepost::rig
