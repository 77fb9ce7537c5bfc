// Load endpoints of the targets: HTTP GET /load on each target's address.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <thread>
#include <vector>

#include "core/error_type.h"
#include "targets_base.h"

namespace agatepost::rig {

// Serves all targets in one thread.
class load_endpoint {
public:
    load_endpoint() = default;
    load_endpoint(const load_endpoint&) = delete;
    auto operator=(const load_endpoint&) -> load_endpoint& = delete;
    ~load_endpoint();

    // Binds the same free port on each target's address and returns it.
    auto open(const std::vector<ip_address>& addresses) -> result<std::uint16_t>;

    // Starts serving `reports`, which are in the order of the addresses.
    auto start(std::vector<std::shared_ptr<load_report>> reports) -> void;

private:
    boost::asio::io_context context_{1};
    std::vector<boost::asio::ip::tcp::acceptor> acceptors_;
    std::thread thread_;
};

}  // namespace agatepost::rig
