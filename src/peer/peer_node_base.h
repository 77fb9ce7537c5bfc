// A host's communication with other hosts: membership, datagrams and links.
#pragma once

#include <map>
#include <memory>
#include <thread>

#include "core/settings_func.h"
#include "peer/datagram_base.h"
#include "peer/membership_base.h"
#include "peer/peer_channel_base.h"
#include "peer/peer_link_base.h"

namespace agatepost {

// What a node is constructed with.
struct peer_node_options {
    membership_options member;
    auth_keys keys;
    // For tests of partitions: returns whether traffic with this peer address is dropped.
    std::function<bool(const endpoint& peer)> is_blocked;
};

// Reads a node's options from the settings. Fails with error_kind::invalid_setting for an invalid key or peer
// address.
auto read_peer_node_options(const settings& options) -> result<peer_node_options>;

// Connects a host to its peers. Construct, subscribe handlers, then start.
class peer_node {
public:
    // Opens the peer address and publishes the first view, which contains only this host.
    static auto open(peer_node_options options, published<host_view>& view)
        -> result<std::unique_ptr<peer_node>>;

    peer_node(const peer_node&) = delete;
    auto operator=(const peer_node&) -> peer_node& = delete;
    ~peer_node();

    // Starts the threads: one that receives datagrams, one for timers, and those of the links.
    auto start() -> result<void>;

    // Ends all threads. Without announce_leaving before, other hosts presume this host dead.
    auto stop() -> void;

    auto channel() -> const peer_channel& { return channel_; }
    auto members() -> membership& { return members_; }
    auto links() -> peer_links& { return links_; }

    // Adds a function that is called when a link to a host becomes ready. Call it only before start.
    auto on_link_open(std::function<void(const std::string& name)> callback) -> void {
        on_open_.push_back(std::move(callback));
    }

private:
    peer_node(peer_node_options options, file_descriptor socket, published<host_view>& view);

    auto run_receiver() -> void;
    auto run_timer() -> void;
    auto receive_message(const nlohmann::json& message) -> void;
    auto dispatch(const std::string& sender, const std::string& type, const nlohmann::json& body) -> void;

    peer_node_options options_;
    const published<host_view>& view_;
    datagram_socket socket_;
    membership members_;
    std::map<std::string, std::vector<peer_handler>> handlers_;
    std::vector<std::function<void(const std::string& name)>> on_open_;
    peer_links links_;
    peer_channel channel_;
    std::atomic<bool> is_done_{false};
    std::thread receiver_;
    std::thread timer_;
};

}  // namespace agatepost
