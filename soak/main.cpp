// Soak test: runs real host processes on loopback addresses, injects faults from outside, and checks what
// clients and targets receive. Prints the violations and one JSON line with the seed. Exits with 1 on a
// violation.

#include <absl/strings/str_cat.h>
#include <sys/prctl.h>
#include <unistd.h>

#include <csignal>
#include <cxxopts.hpp>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>

#include "host_process_base.h"
#include "world_base.h"

namespace {

using namespace agatepost;
using namespace agatepost::soak;

constexpr std::uint16_t store_port = 8169;
constexpr std::int64_t startup_grace_ms = 3000;  // from the start of the hosts to the first fault
constexpr std::int64_t recovery_ms = 9000;       // without faults at the end, including recovery_limit_ms
constexpr std::int64_t restart_ms = 400;         // delay until the platform restarts an ended process
constexpr std::int64_t stop_limit_ms = 6000;
constexpr double min_served_share = 0.99;  // of the requests in calm time
constexpr std::uint64_t max_lost_writes = 80;

// Calls to the store that each host may make, if it watches: a second, and in the second after a return.
constexpr std::uint64_t max_calls_per_s = 2;
constexpr std::uint64_t max_calls_after_return = 10;

// A host process with its proxy and pending actions.
struct soak_host {
    std::uint32_t address = 0;
    std::string zone;
    std::string folder;
    std::unique_ptr<rig::child_process> process;
    std::unique_ptr<proxy> store_proxy;
    bool is_paused = false;
    bool may_exit = false;  // a terminating signal was sent
    time_ms restart_at;
    time_ms resume_at;
    time_ms proxy_recovers_at;
    time_ms kill_at;  // end of the time for a graceful stop
};

// One run of the soak test.
class soak_run {
public:
    soak_run(edge::event_loop& loop, const cxxopts::ParseResult& options, std::uint8_t net)
        : loop_(loop),
          net_(net),
          seed_(options["seed"].as<std::uint64_t>()),
          binary_(std::filesystem::absolute(options["binary"].as<std::string>())),
          random_(seed_),
          returns_random_(seed_ + 1),
          has_returns_(options["returns"].as<bool>()),
          writers_random_(seed_ + 2),
          has_other_writers_(options["other-writers"].as<bool>()),
          store_(loop),
          world_(loop, store_, net, seed_) {
        folder_ = std::filesystem::temp_directory_path() / absl::StrCat("soak-", getpid());
        std::filesystem::create_directories(folder_);
        hosts_.resize(options["hosts"].as<std::size_t>());
    }

    auto run(std::int64_t length_ms) -> int;

private:
    auto open() -> result<void>;
    auto open_host(std::size_t index) -> result<void>;
    auto start(soak_host& host) -> void;
    auto inject_fault() -> void;
    auto apply_change() -> void;
    auto return_store(time_ms at) -> void;
    auto cause_oddity(time_ms at) -> void;
    auto inject_host_fault(soak_host& host) -> void;
    auto update_host(soak_host& host, time_ms at) -> void;
    auto report(std::int64_t length_ms) -> int;
    static auto random_between(std::int64_t least, std::int64_t most, std::mt19937_64& random)
        -> std::int64_t {
        return least + static_cast<std::int64_t>(random() % static_cast<std::uint64_t>(most - least + 1));
    }
    auto random_between(std::int64_t least, std::int64_t most) -> std::int64_t {
        return random_between(least, most, random_);
    }

    edge::event_loop& loop_;
    std::uint8_t net_;
    std::uint64_t seed_;
    std::string binary_;
    std::filesystem::path folder_;
    std::mt19937_64 random_;
    std::mt19937_64 returns_random_;  // of its own, so that runs without returns keep their faults
    bool has_returns_ = false;
    std::mt19937_64 writers_random_;  // of its own, as above
    bool has_other_writers_ = false;
    time_ms next_oddity_;
    time_ms next_copy_;
    time_ms next_return_;
    int returns_ = 0;
    platform_store store_;
    world world_;
    std::vector<soak_host> hosts_;
    time_ms store_recovers_at_;
    bool has_extra_ = false;
    int faults_ = 0;
    int changes_ = 0;
};

auto address_text(std::uint32_t address) -> std::string {
    return absl::StrCat(address >> 24U, ".", (address >> 16U) & 0xffU, ".", (address >> 8U) & 0xffU, ".",
                        address & 0xffU);
}

auto soak_run::open_host(std::size_t index) -> result<void> {
    auto& host = hosts_[index];
    host.zone = index % 2 == 0 ? "a" : "b";
    host.address =
        0x7f000100U | (static_cast<std::uint32_t>(net_) << 16U) | static_cast<std::uint32_t>(index + 1);
    host.folder = folder_ / absl::StrCat("host-", index + 1);
    std::filesystem::create_directories(host.folder);
    const auto ip = address_text(host.address);
    const auto proxy_address = absl::StrCat(ip, ":", store_port);
    host.store_proxy =
        std::make_unique<proxy>(loop_, *parse_endpoint(absl::StrCat("127.", net_, ".2.1:", store_port)));
    auto opened = host.store_proxy->listen(*parse_endpoint(proxy_address));
    if (!opened) {
        return opened;
    }
    auto file = std::ofstream(host.folder + "/boot.conf");
    file << "node-name=host-" << index + 1 << "\nzone=" << host.zone
         << "\nbind-addresses.datagram-address=" << ip << ":" << data_port
         << "\nbind-addresses.ready-address=" << ip << ":" << ready_port
         << "\ninternal-port-range=7720,7735\nseeds=127." << int{net_} << ".1.1:8166,127." << int{net_}
         << ".1.2:8166\nheartbeat-ms=770\nbounds.grace-s=6\nbounds.max-flow-s=60\nplatform.address="
         << proxy_address << "\n";
    world_.add_host(host.address);
    return {};
}

auto soak_run::open() -> result<void> {
    auto listening = store_.listen(*parse_endpoint(absl::StrCat("127.", net_, ".2.1:", store_port)));
    if (!listening) {
        return listening;
    }
    auto opened = world_.open();
    for (auto i = std::size_t{0}; opened && i < hosts_.size(); ++i) {
        opened = open_host(i);
    }
    return opened;
}

auto soak_run::start(soak_host& host) -> void {
    host.process = std::make_unique<rig::child_process>();
    host.may_exit = false;
    host.is_paused = false;
    const auto started =
        host.process->start({binary_, "edge", "--boot=" + host.folder + "/boot.conf"}, host.folder + "/log");
    if (!started) {
        world_.results().violations.push_back("stand-in: " + to_text(started.error()));
    }
}

auto soak_run::inject_host_fault(soak_host& host) -> void {
    world_.record_disturbance(host.address);
    switch (random_() % 6) {
        case 0:
            host.may_exit = true;
            host.process->signal(SIGKILL);
            break;
        case 1:
            host.may_exit = true;
            host.kill_at = boot_now() + stop_limit_ms;
            host.process->signal(SIGTERM);
            break;
        case 2:
            host.is_paused = true;
            host.resume_at = boot_now() + random_between(300, 3000);
            host.process->signal(SIGSTOP);
            break;
        case 3:
            host.process->signal(SIGHUP);
            break;
        default:
            host.store_proxy->set_mode(static_cast<proxy_mode>(random_between(1, 4)));
            host.proxy_recovers_at = boot_now() + random_between(500, 5000);
            break;
    }
}

auto soak_run::inject_fault() -> void {
    ++faults_;
    switch (random_() % 8) {
        case 0:
            world_.record_disturbance(0);
            for (auto& host : hosts_) {
                host.may_exit = true;
                host.process->signal(SIGKILL);
            }
            break;
        case 1:
            world_.record_disturbance(0);
            store_.set_mode(random_between(0, 1) == 0 ? store_mode::busy : store_mode::slow);
            store_recovers_at_ = boot_now() + random_between(500, 4000);
            break;
        case 2:
            store_.discard_history();
            break;
        default:
            inject_host_fault(hosts_[random_() % hosts_.size()]);
            break;
    }
}

// Changes a target or the routes. Hosts that reach the store must apply the change within the limits.
auto soak_run::apply_change() -> void {
    ++changes_;
    switch (random_() % 5) {
        case 0:
            world_.crash_target();
            break;
        case 1:
            world_.restart_target();
            break;
        case 2:
            for (auto i = random_between(1, 5); i > 0; --i) {
                has_extra_ = !has_extra_;
                world_.change_routes(has_extra_);
            }
            break;
        default:
            world_.drain_target();
            break;
    }
}

// Ends faults whose time is over, and restarts the process if it has ended.
auto soak_run::update_host(soak_host& host, time_ms at) -> void {
    if (take_due(host.resume_at, at)) {
        host.is_paused = false;
        host.process->signal(SIGCONT);
        world_.record_disturbance(host.address);
    }
    if (take_due(host.proxy_recovers_at, at)) {
        host.store_proxy->set_mode(proxy_mode::pass);
        world_.record_disturbance(host.address);
    }
    if (take_due(host.kill_at, at) && host.process->is_running() && host.may_exit) {
        world_.results().violations.push_back("STOP: a graceful stop took longer than the limit");
        host.process->signal(SIGKILL);
    }
    if (host.restart_at == time_ms{} && !host.process->is_running()) {
        if (!host.may_exit) {
            world_.results().violations.push_back(
                absl::StrCat("EXIT: a host exited on its own with code ", host.process->exit_code()));
        }
        host.kill_at = time_ms{};
        host.restart_at = at + restart_ms;
        world_.record_disturbance(host.address);
    }
    if (take_due(host.restart_at, at)) {
        start(host);
        world_.record_disturbance(host.address);
    }
    host.store_proxy->on_timer(at);
}

// Takes copies of the store, and sends it back to the last one. This disturbs no host: all checks go on.
auto soak_run::return_store(time_ms at) -> void {
    if (at >= next_copy_) {
        next_copy_ = at + random_between(500, 4000, returns_random_);
        store_.take_copy();
        // Lost writes of somebody else: what is written again gets lower revisions than were known.
        for (auto writes = returns_random_() % max_lost_writes; writes > 0; --writes) {
            store_.write("other/item", "");
        }
    }
    if (next_return_ == time_ms{}) {
        next_return_ = at + random_between(startup_grace_ms, 2 * startup_grace_ms, returns_random_);
    }
    if (at >= next_return_) {
        // Every fourth return is followed by another one at once.
        const auto is_followed = returns_random_() % 4 == 0;
        next_return_ = at + (is_followed ? random_between(50, 800, returns_random_)
                                         : random_between(2500, 8000, returns_random_));
        ++returns_;
        store_.return_to_copy();
        world_.rewrite_lost_items();
    }
}

// Causes what the platform allows beside faults: entries of other writers, ids that end alike, cut watches.
// This disturbs no host: all checks go on.
auto soak_run::cause_oddity(time_ms at) -> void {
    if (at < next_oddity_) {
        return;
    }
    next_oddity_ = at + random_between(50, 1500, writers_random_);
    switch (writers_random_() % 6) {
        case 0:
            world_.add_target_with_similar_id();
            break;
        case 1:
            world_.copy_registration();
            break;
        case 2:
            world_.remove_copies();
            break;
        case 3:
            world_.overwrite_registration();
            break;
        default:
            store_.cut_watches();
            break;
    }
}

auto soak_run::run(std::int64_t length_ms) -> int {
    const auto opened = open();
    if (!opened) {
        std::cerr << to_text(opened.error()) << "\n";
        return 1;
    }
    if (has_returns_) {
        store_.tell_era();
    }
    for (auto& host : hosts_) {
        start(host);
    }
    const auto begin = boot_now();
    auto next_fault = begin + startup_grace_ms;
    auto next_change = next_fault;
    while (boot_now() - begin < length_ms) {
        const auto at = boot_now();
        if (at >= next_fault && at - begin < length_ms - recovery_ms) {
            inject_fault();
            // Faults come in overlapping series with calm time between them.
            next_fault =
                at + (random_between(0, 5) == 0 ? random_between(4000, 9000) : random_between(20, 800));
        }
        if (at >= next_change && at - begin < length_ms - recovery_ms) {
            apply_change();
            next_change = at + random_between(100, 3000);
        }
        if (store_recovers_at_ != time_ms{} && at >= store_recovers_at_) {
            store_recovers_at_ = time_ms{};
            store_.set_mode(store_mode::normal);
            world_.record_disturbance(0);
        }
        for (auto& host : hosts_) {
            update_host(host, at);
        }
        if (has_returns_ && at - begin < length_ms - recovery_ms) {
            return_store(at);
        }
        if (has_other_writers_ && at - begin < length_ms - recovery_ms) {
            cause_oddity(at);
        }
        store_.on_timer(at);
        world_.on_timer(at);
        loop_.wait(boot_now() + 2);
    }
    return report(length_ms);
}

auto soak_run::report(std::int64_t length_ms) -> int {
    auto& results = world_.results();
    const auto calm = results.asked_calm == 0 ? 1.0
                                              : static_cast<double>(results.served_calm) /
                                                    static_cast<double>(results.asked_calm);
    if (calm < min_served_share) {
        results.violations.push_back(absl::StrCat("RECOVER: ", results.served_calm, " of ",
                                                  results.asked_calm, " requests in calm time were served"));
    }
    if (results.served == 0) {
        results.violations.push_back("RECOVER: no request was served");
    }
    const auto max_calls = hosts_.size() * (max_calls_per_s * static_cast<std::uint64_t>(length_ms / 1000) +
                                            max_calls_after_return * static_cast<std::uint64_t>(returns_));
    if (has_returns_ && store_.calls() > max_calls) {
        results.violations.push_back(
            absl::StrCat("CALLS: ", store_.calls(), " calls to the store, allowed are ", max_calls));
    }
    for (const auto& what : results.violations) {
        std::cout << "broken: " << what << "\n";
    }
    const auto line = nlohmann::json{{"seed", seed_},
                                     {"seconds", length_ms / 1000},
                                     {"faults", faults_},
                                     {"changes", changes_},
                                     {"returns", returns_},
                                     {"asked", results.asked},
                                     {"served", results.served},
                                     {"asked_calm", results.asked_calm},
                                     {"served_calm", results.served_calm},
                                     {"store_calls", store_.calls()},
                                     {"broken", results.violations.size()}};
    std::cout << line.dump() << std::endl;
    if (results.violations.empty()) {
        std::filesystem::remove_all(folder_);
    } else {
        std::cout << "logs: " << folder_.string() << "\n";
    }
    return results.violations.empty() ? 0 : 1;
}

}  // namespace

auto main(int argc, char** argv) -> int {
    auto parser =
        cxxopts::Options("soak", "runs hosts under random faults and checks what clients and targets see");
    auto add = parser.add_options();
    add("seed", "of all random choices", cxxopts::value<std::uint64_t>()->default_value("1"));
    add("minutes", "length of the run", cxxopts::value<double>()->default_value("0.5"));
    add("hosts", "host processes, in two zones", cxxopts::value<std::size_t>()->default_value("4"));
    add("binary", "the agatepost binary", cxxopts::value<std::string>()->default_value("build/agatepost"));
    add("returns", "the store comes back from older copies");
    add("other-writers", "entries of other writers, ids that end alike, and cut watches");
    add("json", "accepted for scripts; the last line is JSON in any case");
    add("help", "prints this text");
    try {
        const auto options = parser.parse(argc, argv);
        if (options.count("help") != 0) {
            std::cout << parser.help();
            return 0;
        }
        auto loop = edge::event_loop::open();
        if (!loop) {
            std::cerr << to_text(loop.error()) << "\n";
            return 1;
        }
        // Concurrent runs use different loopback networks.
        const auto net = static_cast<std::uint8_t>(10 + getpid() % 200);
        constexpr double ms_per_minute = 60000;
        auto run = soak_run(*loop, options, net);
        return run.run(static_cast<std::int64_t>(options["minutes"].as<double>() * ms_per_minute));
    } catch (const cxxopts::exceptions::exception& wrong) {
        std::cerr << wrong.what() << "\n";
        return 2;
    }
}
