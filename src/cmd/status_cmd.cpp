// agatepost status: prints the state of a host or of all hosts that it knows.

#include <algorithm>
#include <atomic>
#include <iostream>
#include <nlohmann/json.hpp>
#include <thread>

#include "cmd/command_func.h"
#include "host/admin_client_func.h"

namespace agatepost {

namespace {

using nlohmann::json;

// Number of hosts queried in parallel. Bounds the threads of one command in a large fleet.
constexpr std::size_t max_parallel_queries = 16;

// One host of the fleet and the response to its query.
struct fleet_entry {
    std::string name;
    std::string address;
    result<std::string> answer = std::string();
};

auto flags() -> std::vector<flag_row> {
    return {{"fleet", "", "ask all hosts that the host names; exit code 1 if one cannot be reached"},
            {"json", "", "write JSON for programs"}};
}

// Returns the admin address of a listed host. The default is its peer address with the admin port of the
// host that was queried.
auto admin_address_of(const json& host, std::uint16_t queried_port) -> std::string {
    auto reported = host.value("admin", "");
    if (!reported.empty()) {
        return reported;
    }
    const auto peer = parse_endpoint(host.value("peer", ""));
    return peer ? to_text(endpoint{peer->address, queried_port}) : std::string();
}

// Queries all entries, at most max_parallel_queries of them at a time.
auto query_all(std::vector<fleet_entry>& entries, const auth_keys& keys) -> void {
    auto next = std::atomic<std::size_t>(0);
    auto threads = std::vector<std::thread>{};
    for (auto i = std::size_t{0}; i < std::min(max_parallel_queries, entries.size()); ++i) {
        threads.emplace_back([&] {
            for (auto at = next++; at < entries.size(); at = next++) {
                const auto address = parse_endpoint(entries[at].address);
                entries[at].answer = address ? fetch_admin_page(*address, "/status", keys)
                                             : result<std::string>(tl::unexpected<error>(address.error()));
            }
        });
    }
    for (auto& thread : threads) {
        thread.join();
    }
}

// Returns whether a listed host is expected to respond. Hosts of older versions report no state and count as
// live.
auto is_live(const json& host) -> bool {
    const auto state = host.value("state", "live");
    return state == "live" || state == "suspect";
}

auto print_fleet_line(const fleet_entry& entry, const json& status) -> void {
    const auto host = status.value("host", json::object());
    const auto config = status.value("configuration", json::object());
    const auto hosts = status.value("hosts", json::array());
    std::cout << entry.name << "  " << entry.address << "  zone=" << host.value("zone", "?")
              << " state=" << host.value("state", "?") << " version=" << host.value("version", "?")
              << " revision=" << config.value("revision", std::uint64_t{0})
              << " hosts=" << std::count_if(hosts.begin(), hosts.end(), is_live) << "\n";
}

auto print_fleet(const std::vector<fleet_entry>& entries, bool as_json) -> int {
    auto reached = json::array();
    auto unreached = json::array();
    for (const auto& entry : entries) {
        const auto status = entry.answer ? json::parse(*entry.answer, nullptr, false) : json();
        if (status.is_object()) {
            reached.push_back({{"name", entry.name}, {"address", entry.address}, {"status", status}});
            if (!as_json) {
                print_fleet_line(entry, status);
            }
            continue;
        }
        const auto failure = entry.answer
                                 ? error{error_kind::invalid_message, "the answer is not a JSON object",
                                         "check that the address is that of an agatepost host"}
                                 : entry.answer.error();
        unreached.push_back({{"name", entry.name},
                             {"address", entry.address},
                             {"error", failure.message},
                             {"remedy", failure.remedy}});
        if (!as_json) {
            std::cout << entry.name << "  " << entry.address << "  not reached: " << to_text(failure) << "\n";
        }
    }
    if (as_json) {
        std::cout << json{{"hosts", reached}, {"unreached", unreached}}.dump(2) << "\n";
    } else {
        std::cout << reached.size() << " hosts reached, " << unreached.size() << " not reached\n";
    }
    return unreached.empty() ? exit_code::success : exit_code::failure;
}

auto run_fleet(const settings& options, const json& first, bool as_json) -> int {
    const auto keys = auth_keys_of(options);
    if (!keys) {
        return report_failure(keys.error());
    }
    const auto queried = options.address("admin-address");
    const auto own_name = first.value("host", json::object()).value("name", "");
    auto entries = std::vector<fleet_entry>{{own_name, to_text(queried), first.dump()}};
    auto others = std::vector<fleet_entry>{};
    for (const auto& host : first.value("hosts", json::array())) {
        if (host.value("name", "") != own_name && is_live(host)) {
            others.push_back({host.value("name", "?"), admin_address_of(host, queried.port), std::string()});
        }
    }
    query_all(others, *keys);
    entries.insert(entries.end(), others.begin(), others.end());
    return print_fleet(entries, as_json);
}

auto run_status(const std::vector<std::string>& arguments) -> int {
    const auto read = read_arguments(arguments, flags());
    if (!read) {
        return report_failure(read.error());
    }
    const auto answer = query_host(read->options, "/status");
    if (!answer) {
        return report_failure(answer.error());
    }
    if (read->has("fleet")) {
        return run_fleet(read->options, *answer, read->has("json"));
    }
    if (read->has("json")) {
        std::cout << answer->dump(2) << "\n";
    } else {
        print_as_text(std::cout, *answer);
    }
    return exit_code::success;
}

constexpr command_plugin command = {"status",
                                    "show the state of a host, or of all hosts that it knows",
                                    run_status,
                                    "[--admin-address=ADDRESS:PORT] [--fleet] [--json]",
                                    "agatepost status --admin-address=127.0.0.1:8081\n"
                                    "agatepost status --fleet --json",
                                    flags,
                                    "admin-address,key"};
const plugin_registration<command_plugin> registration(command);

}  // namespace

}  // namespace agatepost
