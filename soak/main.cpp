// The soak: real host processes on loopback addresses, faults from outside them, and checks of what clients
// and targets see. Prints its seed, what was broken, and one JSON line. Exits 1 if anything was broken.

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
constexpr std::int64_t settle_ms = 3000;    // from the start to the first fault
constexpr std::int64_t recovery_ms = 9000;  // calm time at the end, contact_ms of it for recovery
constexpr std::int64_t restart_ms = 400;    // the platform starts a process again after this
constexpr std::int64_t stop_limit_ms = 6000;
constexpr double calm_share = 0.99;  // of requests in calm time that are served

// A host process and its surroundings.
struct soak_host {
    std::uint32_t address = 0;
    std::string zone;
    std::string folder;
    std::unique_ptr<rig::child_process> process;
    std::unique_ptr<proxy> to_store;
    bool is_paused = false;
    bool may_end = false;  // a signal was sent that ends it
    time_ms restart_at;
    time_ms resume_at;
    time_ms heal_at;
    time_ms kill_at;  // if a graceful stop takes too long
};

// One run.
class soak_run {
public:
    soak_run(edge::event_loop& loop, const cxxopts::ParseResult& options, std::uint8_t net)
        : loop_(loop),
          net_(net),
          seed_(options["seed"].as<std::uint64_t>()),
          binary_(std::filesystem::absolute(options["binary"].as<std::string>())),
          random_(seed_),
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
    auto fault() -> void;
    auto change() -> void;
    auto fault_of_host(soak_host& host) -> void;
    auto tend(soak_host& host, time_ms at) -> void;
    auto report(std::int64_t length_ms) -> int;
    auto some(std::int64_t least, std::int64_t most) -> std::int64_t {
        return least + static_cast<std::int64_t>(random_() % static_cast<std::uint64_t>(most - least + 1));
    }

    edge::event_loop& loop_;
    std::uint8_t net_;
    std::uint64_t seed_;
    std::string binary_;
    std::filesystem::path folder_;
    std::mt19937_64 random_;
    platform_store store_;
    world world_;
    std::vector<soak_host> hosts_;
    time_ms store_heals_;
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
    host.to_store =
        std::make_unique<proxy>(loop_, *parse_endpoint(absl::StrCat("127.", net_, ".2.1:", store_port)));
    auto opened = host.to_store->listen(*parse_endpoint(proxy_address));
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
    host.may_end = false;
    host.is_paused = false;
    const auto started =
        host.process->start({binary_, "edge", "--boot=" + host.folder + "/boot.conf"}, host.folder + "/log");
    if (!started) {
        world_.seen().broken.push_back("stand-in: " + to_text(started.error()));
    }
}

auto soak_run::fault_of_host(soak_host& host) -> void {
    world_.note_disturbance(host.address);
    switch (random_() % 6) {
        case 0:
            host.may_end = true;
            host.process->signal(SIGKILL);
            break;
        case 1:
            host.may_end = true;
            host.kill_at = boot_now() + stop_limit_ms;
            host.process->signal(SIGTERM);
            break;
        case 2:
            host.is_paused = true;
            host.resume_at = boot_now() + some(300, 3000);
            host.process->signal(SIGSTOP);
            break;
        case 3:
            host.process->signal(SIGHUP);
            break;
        default:
            host.to_store->set_mode(static_cast<proxy_mode>(some(1, 4)));
            host.heal_at = boot_now() + some(500, 5000);
            break;
    }
}

auto soak_run::fault() -> void {
    ++faults_;
    switch (random_() % 8) {
        case 0:
            world_.note_disturbance(0);
            for (auto& host : hosts_) {
                host.may_end = true;
                host.process->signal(SIGKILL);
            }
            break;
        case 1:
            world_.note_disturbance(0);
            store_.set_mode(some(0, 1) == 0 ? store_mode::busy : store_mode::slow);
            store_heals_ = boot_now() + some(500, 4000);
            break;
        case 2:
            store_.forget();
            break;
        default:
            fault_of_host(hosts_[random_() % hosts_.size()]);
            break;
    }
}

// Changes of targets and routes, which hosts in touch must follow in time.
auto soak_run::change() -> void {
    ++changes_;
    switch (random_() % 5) {
        case 0:
            world_.crash_target();
            break;
        case 1:
            world_.restart_target();
            break;
        case 2:
            for (auto i = some(1, 5); i > 0; --i) {
                has_extra_ = !has_extra_;
                world_.change_routes(has_extra_);
            }
            break;
        default:
            world_.drain_target();
            break;
    }
}

// Ends what is over, and starts again what has ended.
auto soak_run::tend(soak_host& host, time_ms at) -> void {
    const auto is_due = [at](time_ms& when) {
        const auto due = when != time_ms{} && at >= when;
        when = due ? time_ms{} : when;
        return due;
    };
    if (is_due(host.resume_at)) {
        host.is_paused = false;
        host.process->signal(SIGCONT);
        world_.note_disturbance(host.address);
    }
    if (is_due(host.heal_at)) {
        host.to_store->set_mode(proxy_mode::pass);
        world_.note_disturbance(host.address);
    }
    if (is_due(host.kill_at) && host.process->is_running() && host.may_end) {
        world_.seen().broken.push_back("STOP: a graceful stop took longer than the limit");
        host.process->signal(SIGKILL);
    }
    if (host.restart_at == time_ms{} && !host.process->is_running()) {
        if (!host.may_end) {
            world_.seen().broken.push_back(
                absl::StrCat("EXIT: a host ended by itself with code ", host.process->exit_code()));
        }
        host.kill_at = time_ms{};
        host.restart_at = at + restart_ms;
        world_.note_disturbance(host.address);
    }
    if (is_due(host.restart_at)) {
        start(host);
        world_.note_disturbance(host.address);
    }
    host.to_store->on_timer(at);
}

auto soak_run::run(std::int64_t length_ms) -> int {
    const auto opened = open();
    if (!opened) {
        std::cerr << to_text(opened.error()) << "\n";
        return 1;
    }
    for (auto& host : hosts_) {
        start(host);
    }
    const auto begin = boot_now();
    auto next_fault = begin + settle_ms;
    auto next_change = next_fault;
    while (boot_now() - begin < length_ms) {
        const auto at = boot_now();
        if (at >= next_fault && at - begin < length_ms - recovery_ms) {
            fault();
            // Faults come in series and overlap, with calm times between.
            next_fault = at + (some(0, 5) == 0 ? some(4000, 9000) : some(20, 800));
        }
        if (at >= next_change && at - begin < length_ms - recovery_ms) {
            change();
            next_change = at + some(100, 3000);
        }
        if (store_heals_ != time_ms{} && at >= store_heals_) {
            store_heals_ = time_ms{};
            store_.set_mode(store_mode::normal);
            world_.note_disturbance(0);
        }
        for (auto& host : hosts_) {
            tend(host, at);
        }
        store_.on_timer(at);
        world_.on_timer(at);
        loop_.wait(boot_now() + 2);
    }
    return report(length_ms);
}

auto soak_run::report(std::int64_t length_ms) -> int {
    auto& seen = world_.seen();
    const auto calm = seen.asked_calm == 0
                          ? 1.0
                          : static_cast<double>(seen.served_calm) / static_cast<double>(seen.asked_calm);
    if (calm < calm_share) {
        seen.broken.push_back(
            absl::StrCat("RECOVER: ", seen.served_calm, " of ", seen.asked_calm, " requests in calm time"));
    }
    if (seen.served == 0) {
        seen.broken.push_back("RECOVER: nothing was served");
    }
    for (const auto& what : seen.broken) {
        std::cout << "broken: " << what << "\n";
    }
    const auto line = nlohmann::json{{"seed", seed_},
                                     {"seconds", length_ms / 1000},
                                     {"faults", faults_},
                                     {"changes", changes_},
                                     {"asked", seen.asked},
                                     {"served", seen.served},
                                     {"asked_calm", seen.asked_calm},
                                     {"served_calm", seen.served_calm},
                                     {"store_calls", store_.calls()},
                                     {"broken", seen.broken.size()}};
    std::cout << line.dump() << std::endl;
    if (seen.broken.empty()) {
        std::filesystem::remove_all(folder_);
    } else {
        std::cout << "logs: " << folder_.string() << "\n";
    }
    return seen.broken.empty() ? 0 : 1;
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
        // Runs beside each other use other loopback networks.
        const auto net = static_cast<std::uint8_t>(10 + getpid() % 200);
        constexpr double ms_per_minute = 60000;
        auto run = soak_run(*loop, options, net);
        return run.run(static_cast<std::int64_t>(options["minutes"].as<double>() * ms_per_minute));
    } catch (const cxxopts::exceptions::exception& wrong) {
        std::cerr << wrong.what() << "\n";
        return 2;
    }
}
