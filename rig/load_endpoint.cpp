#include "load_endpoint_base.h"

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <nlohmann/json.hpp>

namespace agatepost::rig {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr int port_attempts = 20;
constexpr auto idle_limit = std::chrono::seconds(30);

// A prober's connection. Its pending handlers own it.
class load_session : public std::enable_shared_from_this<load_session> {
public:
    load_session(asio::ip::tcp::socket socket, std::shared_ptr<load_report> report)
        : stream_(std::move(socket)), report_(std::move(report)) {}

    auto read() -> void {
        request_ = {};
        stream_.expires_after(idle_limit);
        http::async_read(stream_, buffer_, request_,
                         [self = shared_from_this()](beast::error_code failed, std::size_t /*size*/) {
                             // An unresponsive target sends no answer.
                             if (!failed && self->report_->is_answering) {
                                 self->answer();
                             }
                         });
    }

private:
    auto answer() -> void {
        const auto is_load = request_.target() == "/load";
        const auto reported = report_->false_slots_busy.load();
        response_ = {is_load ? http::status::ok : http::status::not_found, request_.version()};
        response_.keep_alive(request_.keep_alive());
        response_.set(http::field::content_type, "application/json");
        response_.body() =
            nlohmann::json{{"slots_busy", reported >= 0 ? reported : report_->slots_busy.load()},
                           {"connections", report_->connections.load()}}
                .dump();
        response_.prepare_payload();
        http::async_write(stream_, response_,
                          [self = shared_from_this()](beast::error_code failed, std::size_t /*size*/) {
                              if (!failed && self->response_.keep_alive()) {
                                  self->read();
                              }
                          });
    }

    beast::tcp_stream stream_;
    beast::flat_buffer buffer_;
    http::request<http::empty_body> request_;
    http::response<http::string_body> response_;
    std::shared_ptr<load_report> report_;
};

auto accept_next(asio::ip::tcp::acceptor& acceptor, const std::shared_ptr<load_report>& report) -> void {
    acceptor.async_accept([&acceptor, report](beast::error_code failed, asio::ip::tcp::socket socket) {
        if (failed == asio::error::operation_aborted) {
            return;
        }
        if (!failed) {
            std::make_shared<load_session>(std::move(socket), report)->read();
        }
        accept_next(acceptor, report);
    });
}

// Binds the port on an address. Returns false if this fails, for example because the port is taken.
auto bind_address(asio::ip::tcp::acceptor& acceptor, const ip_address& address, std::uint16_t port) -> bool {
    auto failed = beast::error_code{};
    const auto at = asio::ip::tcp::endpoint(asio::ip::make_address(to_text(address)), port);
    acceptor.open(at.protocol(), failed);
    acceptor.set_option(asio::socket_base::reuse_address(true), failed);
    acceptor.bind(at, failed);
    if (!failed) {
        acceptor.listen(asio::socket_base::max_listen_connections, failed);
    }
    return !failed;
}

}  // namespace

load_endpoint::~load_endpoint() {
    context_.stop();
    if (thread_.joinable()) {
        thread_.join();
    }
}

auto load_endpoint::open(const std::vector<ip_address>& addresses) -> result<std::uint16_t> {
    for (auto attempt = 0; attempt < port_attempts; ++attempt) {
        acceptors_.clear();
        auto port = std::uint16_t{0};
        auto is_bound = true;
        for (const auto& address : addresses) {
            auto& acceptor = acceptors_.emplace_back(context_);
            is_bound = is_bound && bind_address(acceptor, address, port);
            port = is_bound && port == 0 ? acceptor.local_endpoint().port() : port;
        }
        if (is_bound) {
            return port;
        }
    }
    return make_error(error_kind::network, "no port is free on the addresses of all targets",
                      "stop other rigs on this machine");
}

auto load_endpoint::start(std::vector<std::shared_ptr<load_report>> reports) -> void {
    for (auto i = std::size_t{0}; i < acceptors_.size(); ++i) {
        accept_next(acceptors_[i], reports[i]);
    }
    thread_ = std::thread([this] { context_.run(); });
}

}  // namespace agatepost::rig
