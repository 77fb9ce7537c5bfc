// Websocket links between hosts: authenticated CBOR frames, one thread for each link.
#pragma once

#include <atomic>
#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "core/message_auth_func.h"
#include "net/socket_func.h"
#include "peer/host_view_type.h"

namespace agatepost {

// Options and callbacks of links. The functions are called on the links' threads.
struct peer_link_options {
    host_record self;
    auth_keys keys;
    std::function<void(const std::string& sender, const std::string& type, const nlohmann::json& body)>
        on_message;
    // Called when a link to a host is ready for messages.
    std::function<void(const std::string& name)> on_open;
    // For tests of partitions: returns whether traffic with this peer address is dropped.
    std::function<bool(const endpoint& peer)> is_blocked;
};

class peer_link;

// All links of one host. Two hosts that connect to each other at once keep both links; each sends over one of
// them. Thread-safe.
class peer_links {
public:
    explicit peer_links(peer_link_options options);
    peer_links(const peer_links&) = delete;
    auto operator=(const peer_links&) -> peer_links& = delete;
    ~peer_links();

    // Listens on the own peer address (TCP) and starts the threads.
    auto start() -> result<void>;

    // Closes all links and joins all threads.
    auto stop() -> void;

    // Replaces the hosts to which a link is kept. A link to another host is closed when it has not been used
    // for a while.
    auto set_wanted(const std::vector<host_record>& hosts) -> void;

    // Sends over the link to a host. Opens one if there is none; it queues messages until it is ready.
    auto send(const host_record& to, std::string_view type, const nlohmann::json& body) -> void;

    // Sends over an open link; returns whether there is one.
    auto send_if_open(const std::string& name, std::string_view type, const nlohmann::json& body) -> bool;

    // Names of hosts with a link that is ready, each once.
    auto open_names() const -> std::vector<std::string>;

private:
    friend class peer_link;

    auto run_acceptor() -> void;
    auto run_maintenance() -> void;
    auto remove_ended_links() -> void;
    auto connect_wanted() -> void;
    auto link_to(const host_record& host) -> std::shared_ptr<peer_link>;
    auto find_link(const std::string& name) -> std::shared_ptr<peer_link>;
    auto replace_older(peer_link& ready) -> void;

    peer_link_options options_;
    file_descriptor listener_;
    std::atomic<bool> is_done_{false};
    std::thread acceptor_;
    std::thread maintainer_;
    mutable std::mutex mutex_;
    std::vector<std::shared_ptr<peer_link>> links_;
    // The link over which messages to a host are sent. It stays the same while it is usable, because messages
    // stay in order only within one link.
    std::map<std::string, std::shared_ptr<peer_link>> sending_links_;
    std::map<std::string, host_record> wanted_;
    std::map<std::string, std::int64_t> last_attempt_ms_;
};

}  // namespace agatepost
