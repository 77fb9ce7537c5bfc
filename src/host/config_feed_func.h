// Keeps the host's configuration up to date: from the store as one of the zone's watch holders, from peers
// otherwise.
#pragma once

#include <memory>
#include <thread>
#include <vector>

#include "host/host_base.h"
#include "peer/mesh_base.h"
#include "store/store_base.h"

namespace agatepost {

// Prefix of the platform's list of hosts; the rest of a key is the host's name.
constexpr std::string_view platform_hosts_prefix = "/platform/hosts/";

// Parses the platform's list of hosts. Skips invalid entries.
auto platform_hosts_of(const store_listing& listing) -> std::vector<platform_host>;

// Returns whether the view's own host is one of the two that hold the store's watch for the zone.
auto is_watch_holder(const host_view& view) -> bool;

// Runs the threads that keep host.keeper and host.config up to date. Construct before the node starts.
class config_feed {
public:
    config_feed(host_state& host, store_client store, peer_node& node);
    config_feed(const config_feed&) = delete;
    auto operator=(const config_feed&) -> config_feed& = delete;
    ~config_feed();

    // Starts the threads: one that watches the store while this host is a holder, one that reads the
    // platform's list, and the mesh.
    auto start() -> void;
    auto stop() -> void;

private:
    auto run_watch() -> void;
    auto run_platform_list() -> void;
    auto must_watch() const -> bool;
    auto apply_from_peer(const std::vector<std::uint8_t>& bytes) -> bool;
    auto publish(const snapshot_ptr& next) -> void;
    auto pause(std::int64_t ms) const -> void;

    host_state& host_;
    store_client store_;
    peer_node& node_;
    std::atomic<bool> is_done_{false};
    std::atomic<bool> has_addresses_;  // other hosts may exist
    time_ms start_ = now();
    mesh mesh_;
    std::vector<std::thread> threads_;
};

}  // namespace agatepost
