// Probes of targets over HTTP, and reports of their load to the choosers of their pools.
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

// What a target says of itself.
struct target_load {
    std::uint32_t slots_busy = 0;
    std::uint32_t connections = 0;

    friend auto operator==(const target_load& a, const target_load& b) -> bool {
        return a.slots_busy == b.slots_busy && a.connections == b.connections;
    }
};

// Takes a verdict about a target; load is 0 when it is not reachable. Called by any thread.
using load_report_handler =
    std::function<void(const std::string& pool, const std::string& target, std::uint32_t slots_busy,
                       std::uint32_t connections, bool is_reachable)>;

// Asks GET /load at an address. Empty if no valid answer came within 500 ms.
auto probe_target(const endpoint& address) -> std::optional<target_load>;

// Returns whether a host probes a target: it is one of two named by rendezvous of pool and target.
auto is_prober(const host_view& view, const target& probed) -> bool;

// What a prober needs.
struct prober_options {
    const published<snapshot>* config = nullptr;
    const published<host_view>* view = nullptr;
    const peer_channel* channel = nullptr;
    std::string zone;
    load_report_handler apply_load_report;  // called at the chooser
};

// Probes each second what this host is named for, and delivers reports of others. Construct before the node
// starts.
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
    struct verdict {
        std::string target;
        std::optional<target_load> load;
    };
    // Verdicts of one pool that wait to be sent together.
    struct report {
        std::int64_t since_ms = 0;
        std::vector<verdict> verdicts;
    };

    auto run_worker() -> void;
    auto run_sender() -> void;
    auto refresh() -> void;
    auto next_due(std::int64_t at) -> std::shared_ptr<task>;
    auto add_verdict(const target& probed, const std::optional<target_load>& load) -> void;
    auto send_report(const std::string& pool, const std::vector<verdict>& verdicts) -> void;
    auto on_report(const nlohmann::json& body) -> void;

    prober_options options_;
    std::mutex mutex_;  // guards what follows
    std::condition_variable changed_;
    bool is_done_ = false;
    std::shared_ptr<const snapshot> config_;
    std::shared_ptr<const host_view> view_;
    std::map<std::string, std::shared_ptr<task>> tasks_;  // by pool and target
    std::map<std::string, report> reports_;               // by pool
    std::vector<std::thread> threads_;
};

}  // namespace agatepost
