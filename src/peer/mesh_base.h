// Mesh of links between hosts, over which the configuration spreads.
#pragma once

#include <atomic>
#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "core/published_base.h"
#include "peer/peer_node_base.h"

namespace agatepost {

// Access of the mesh to the configuration: a revision, and opaque changes that lead to a higher one.
struct config_exchange {
    std::function<std::uint64_t()> revision;
    // Returns the encoded changes after a revision.
    std::function<std::vector<std::uint8_t>(std::uint64_t since)> changes_since;
    // Applies encoded changes if they lead to a higher revision; returns whether they did.
    std::function<bool(const std::vector<std::uint8_t>& changes)> apply;
};

// Returns the hosts to which the view's host keeps links: 4 of its zone and one contact of another, by
// rendezvous hashing.
auto mesh_peers(const host_view& view, const std::vector<host_record>& contacts) -> std::vector<host_record>;

// Exchanges revisions and changes with the hosts at the other ends of all open links. Construct before the
// node starts, and stop before it stops.
class mesh {
public:
    mesh(peer_node& node, const published<host_view>& view, config_exchange exchange);
    mesh(const mesh&) = delete;
    auto operator=(const mesh&) -> mesh& = delete;
    ~mesh();

    auto start() -> void;
    auto stop() -> void;

    // Sends the new revision over all open links at once. Call it after each change.
    auto announce() -> void;

private:
    // Encoded changes that peers fetch part by part.
    struct encoded_changes {
        std::uint64_t since = 0;
        std::uint64_t revision = 0;
        std::vector<std::uint8_t> bytes;
    };
    // The changes being fetched from a peer.
    struct transfer {
        std::string from;
        std::uint64_t revision = 0;
        std::size_t parts = 0;
        std::vector<std::uint8_t> bytes;
        std::size_t received = 0;
        std::int64_t last_progress_ms = 0;
    };

    auto run() -> void;
    auto send_revision(const std::string& to) -> void;
    auto on_revision(const std::string& sender, const nlohmann::json& body) -> void;
    auto on_request(const std::string& sender, const nlohmann::json& body) -> void;
    auto on_part(const std::string& sender, const nlohmann::json& body) -> void;
    auto request_part(const std::string& from, std::uint64_t revision, std::size_t part) -> void;

    peer_node& node_;
    const published<host_view>& view_;
    config_exchange exchange_;
    std::atomic<bool> is_done_{false};
    std::mutex mutex_;  // guards the members below
    std::condition_variable changed_;
    bool must_announce_ = false;
    transfer transfer_;
    std::vector<encoded_changes> served_;  // newest last
    std::thread thread_;
};

}  // namespace agatepost
