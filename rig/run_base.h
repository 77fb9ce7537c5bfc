// Runs a scenario with host processes, the fabric, clients and targets, and collects the metrics.
#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "checker_func.h"
#include "clients_base.h"
#include "host_process_base.h"
#include "load_endpoint_base.h"
#include "measure_base.h"
#include "store/store_base.h"
#include "store_standin.h"
#include "targets_base.h"
#include "world_base.h"

namespace agatepost::rig {

struct scenario;

// Command-line options.
struct run_options {
    const scenario* plan = nullptr;
    const mix* workload = nullptr;
    std::uint64_t seed = 1;
    std::string placement = "carried";
    std::string binary = "build/agatepost";
    std::optional<double> duration_s;     // of the measured part
    std::optional<int> feeds;             // open feeds in all zones
    double rate = 1;                      // factor on the scenario's request rates
    std::optional<std::int64_t> work_ms;  // per request; overrides the scenario
    int hosts = 5;                        // in each zone
    std::int64_t list_lag_ms = 500;       // delay until the fabric unlists a dead or stopped host
    std::int64_t client_latency_ms = 3;   // one way
    bool has_store = false;               // configuration from the store stand-in instead of a file
    fabric_faults faults;
    bool is_json_only = false;
    bool keeps_logs = false;
};

// Random request arrivals with a mean rate.
struct traffic {
    std::uint16_t service = 0;
    std::string zone;
    double per_second = 0;
    std::uint32_t work_ms = 0;
    std::uint32_t answer_size = 0;
    double without_timestamps = 0;  // share of the flows
    int datagrams = 1;              // UDP: requests of one flow
};

// A host process with its addresses.
struct run_host {
    std::string name;
    std::string zone;
    endpoint data;
    endpoint peer;
    endpoint admin;
    std::unique_ptr<child_process> process = std::make_unique<child_process>();
    bool is_forwarding = false;  // it answered a probe since its last start
    bool should_run = true;      // the scenario expects it to run
};

// Data for the final report.
struct run_result {
    findings found;
    balance measured;
    balance ideal;
    std::optional<double> control_bytes_per_s;
    std::optional<double> recovery_s;
    std::uint64_t late_to_draining = 0;  // new flows at a target 3 s or more after it began to drain
    std::uint64_t packets = 0;
    std::uint64_t stray_packets = 0;   // from hosts, to an unknown address
    std::uint64_t malformed = 0;       // from hosts, with wrong headers or checksums
    std::int64_t longest_step_ms = 0;  // of the event loop; large if the rig is overloaded
    std::map<std::string, std::uint64_t>
        reasons;                        // the hosts' counters of refusals, retries, drops and resets
    std::vector<std::string> failures;  // reasons why the run failed
};

class rig_run {
public:
    explicit rig_run(run_options wanted);
    rig_run(const rig_run&) = delete;
    auto operator=(const rig_run&) -> rig_run& = delete;
    ~rig_run();

    // Runs the scenario. Fails if the hosts cannot be started.
    auto run() -> result<run_result>;

    // The functions below are for scenarios. Times are relative to the start of the measured part.
    auto at(double seconds, std::function<void()> action) -> void;
    auto every(double from_s, double interval_s, std::function<void()> action) -> void;
    auto duration_s() const -> double;
    // Marks the current time as the start of the recovery time.
    auto mark_fault() -> void;
    auto kill_host(std::size_t i) -> void;
    auto stop_host(std::size_t i) -> void;   // SIGTERM: graceful
    auto pause_host(std::size_t i) -> void;  // SIGSTOP
    auto resume_host(std::size_t i) -> void;
    auto start_host(std::size_t i) -> void;  // listed when it forwards packets
    // Calls `then` once the condition holds, unless the measured part has ended.
    auto when(std::function<bool()> condition, std::function<void()> then) -> void;
    // Returns whether the fabric sends packets to a host.
    auto is_listed(std::size_t i) const -> bool;
    // Writes the configuration for hosts started later. Running hosts see it only with a store.
    auto write_configuration() -> void;
    // Sets a target to draining in the configuration: changes the store's document by compare-and-swap in a
    // separate thread, or the file read by hosts started later.
    auto drain_target(std::size_t i) -> void;
    // Changes a profile's document in the store by compare-and-swap.
    auto change_profile(const std::string& name, const std::function<void(nlohmann::json&)>& change) -> void;
    auto store() -> store_standin& { return store_; }
    // Marks the run as failed, with a reason.
    auto fail(std::string reason) -> void;

    const run_options options;
    world shared;
    std::vector<mix_target> specs;
    targets servers;
    clients callers;
    std::vector<run_host> hosts;
    std::vector<traffic> loads;
    double feeds_without_timestamps = 0;
    double pushes_per_s = 500;
    double keepalives_per_s = 300;

private:
    auto prepare() -> result<void>;
    auto find_addresses() -> result<endpoint>;
    auto deliver(const fabric_packet& packet) -> void;
    auto probe_hosts() -> void;
    auto step() -> void;
    auto step_until(std::int64_t limit_ms, const std::function<bool()>& is_done) -> bool;
    auto launch(std::size_t i) -> result<void>;
    auto list_when_forwarding(std::size_t i) -> void;
    auto set_listed(std::size_t i, bool is_listed) -> void;
    auto start_hosts() -> result<void>;
    auto start_traffic() -> void;
    auto tick(std::int64_t last_ms) -> void;
    auto finish_flows() -> void;
    auto open_feeds() -> void;
    auto open_random_flows(traffic& load, double elapsed_s) -> void;
    auto start_store(const ip_address& address) -> result<void>;
    // Changes a document of the store. After a lost answer, reads it back to see whether the change applied.
    auto change_document(const std::string& key, const std::function<void(nlohmann::json&)>& change) -> void;
    // Reads a host's metrics page with the hosts' shared key. Fails if the host does not answer.
    auto metrics_page(const run_host& host) const -> result<std::string>;
    auto control_bytes() const -> std::optional<double>;
    // Adds a host's counters to the result; must be called before the host stops.
    auto collect_reasons(const run_host& host) -> void;
    auto check_hosts() -> void;
    auto log_path(const run_host& host) const -> std::string;

    load_endpoint load_endpoint_;
    store_standin store_;
    endpoint store_address_;
    store_client operator_client_;               // connection for operator actions
    std::vector<std::thread> operator_threads_;  // threads of operator changes, joined at the end
    std::atomic<int> failed_operations_{0};
    std::string directory_;
    bool has_traffic_ = false;
    std::vector<std::pair<double, std::function<void()>>>
        planned_actions_;        // actions added before the measured part
    std::int64_t start_ms_ = 0;  // of the measured part
    std::int64_t end_ms_ = 0;
    std::optional<std::int64_t> fault_ms_;
    balance_sampler sampler_;
    std::uint64_t stray_packets_ = 0;
    std::int64_t longest_step_ms_ = 0;
    std::map<std::string, std::uint64_t> reasons_;
    std::vector<std::string> failures_;
};

// Requests that all runs of this process end; called by the signal handler.
auto request_interrupt() -> void;

}  // namespace agatepost::rig
