// Probes targets over HTTP and reports their load to the choosers of their pools.
#pragma once

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "config/snapshot_type.h"
#include "core/published_base.h"
#include "peer/host_view_type.h"
#include "peer/peer_channel_base.h"

namespace agatepost {

// Load that a target reports.
struct target_load {
    std::uint32_t slots_busy = 0;
    std::uint32_t connections = 0;

    friend auto operator==(const target_load& a, const target_load& b) -> bool {
        return a.slots_busy == b.slots_busy && a.connections == b.connections;
    }
};

// Applies a probe result. The load is 0 if the target is not reachable. Called by any thread.
using load_report_handler =
    std::function<void(const std::string& pool, const std::string& target, std::uint32_t slots_busy,
                       std::uint32_t connections, bool is_reachable)>;

// Requests GET /load from an address. Empty if no valid answer arrives within 500 ms.
auto probe_target(const endpoint& address) -> std::optional<target_load>;

// Returns whether this host is one of the two that probe a target, by rendezvous hashing of pool and target.
auto is_prober(const host_view& view, const target& probed) -> bool;

// Dependencies of a prober.
struct prober_options {
    const published<snapshot>* config = nullptr;
    const published<host_view>* view = nullptr;
    const peer_channel* channel = nullptr;
    std::string zone;
    load_report_handler apply_load_report;  // called at the chooser
};

// Probes the targets assigned to this host once a second and applies the reports of other hosts. Construct
// before the node starts.
class prober {
public:
    explicit prober(prober_options options);
    prober(const prober&) = delete;
    auto operator=(const prober&) -> prober& = delete;
    ~prober();

    auto start() -> void;
    auto stop() -> void;

private:
    struct task {
        target probed;
        std::int64_t next_ms = 0;
        bool is_running = false;
    };
    struct probe_result {
        std::string target;
        std::optional<target_load> load;
    };
    // Results of one pool that are to be sent together.
    struct report {
        std::int64_t since_ms = 0;
        std::vector<probe_result> results;
    };

    auto run_worker() -> void;
    auto run_sender() -> void;
    auto refresh() -> void;
    auto next_due(std::int64_t at) -> std::shared_ptr<task>;
    auto add_result(const target& probed, const std::optional<target_load>& load) -> void;
    auto send_report(const std::string& pool, const std::vector<probe_result>& results) -> void;
    auto on_report(const nlohmann::json& body) -> void;

    prober_options options_;
    std::mutex mutex_;  // guards the members below
    std::condition_variable changed_;
    bool is_done_ = false;
    std::shared_ptr<const snapshot> config_;
    std::shared_ptr<const host_view> view_;
    std::map<std::string, std::shared_ptr<task>> tasks_;  // by pool and target
    std::map<std::string, report> reports_;               // by pool
    std::vector<std::thread> threads_;
};

}  // namespace agatepost
