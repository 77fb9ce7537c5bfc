// agatepost explain: prints what a host knows and decided about one flow.

#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>

#include "cmd/command_func.h"
#include "edge/explain_log_func.h"
#include "host/admin_pages_func.h"

namespace agatepost {

namespace {

auto flags() -> std::vector<flag_row> {
    return {{"flow", "CLIENT:PORT-SERVICE:PORT", "the flow's two ends; IPv6 addresses in brackets"},
            {"protocol", "tcp|udp", "the flow's protocol, tcp if not given"},
            {"log", "FILE", "collected log lines of hosts; explains from them instead of asking a host"},
            {"json", "", "write the host's JSON answer for programs"}};
}

// Explains a flow from collected log lines.
auto explain_from_log(const std::string& path, const std::string& flow) -> int {
    auto file = std::ifstream(path);
    if (!file) {
        return report_failure({error_kind::not_found, "log '" + path + "' cannot be read",
                               "give --log a file with the hosts' log lines"});
    }
    const auto explained = edge::explain_flow(edge::read_log_lines(file), flow);
    for (const auto& line : explained.lines) {
        std::cout << line.time << " " << line.host << " " << line.event;
        for (const auto& [key, value] : line.fields) {
            const auto is_shown = key != "time" && key != "host" && key != "name" && key != "zone" &&
                                  key != "severity" && key != "event";
            if (is_shown) {
                std::cout << " " << key << "=" << value;
            }
        }
        std::cout << "\n";
    }
    std::cout << "cause: " << explained.cause << "\n";
    return exit_code::success;
}

auto run_explain(const std::vector<std::string>& arguments) -> int {
    const auto read = read_arguments(arguments, flags());
    if (!read) {
        return report_failure(read.error());
    }
    if (read->has("log")) {
        return explain_from_log(read->value("log"), read->value("flow"));
    }
    const auto protocol = read->has("protocol") ? read->value("protocol") : std::string("tcp");
    const auto flow = flow_of_query({{"flow", read->value("flow")}, {"protocol", protocol}});
    if (!flow) {
        return report_failure({error_kind::invalid_setting, flow.error().message, flow.error().remedy});
    }
    const auto target =
        "/explain?flow=" + to_text(flow->client) + "-" + to_text(flow->service) + "&protocol=" + protocol;
    const auto answer = query_host(read->options, target);
    if (!answer) {
        return report_failure(answer.error());
    }
    if (read->has("json")) {
        std::cout << answer->dump(2) << "\n";
    } else {
        print_as_text(std::cout, *answer);
    }
    return exit_code::success;
}

constexpr command_plugin command = {
    "explain",
    "say what a host knows and decided about one flow",
    run_explain,
    "--flow CLIENT:PORT-SERVICE:PORT [--protocol=tcp|udp] [--admin-address=ADDRESS:PORT] [--json]",
    "agatepost explain --flow 192.0.2.7:40000-10.9.0.1:443\n"
    "agatepost explain --log hosts.log --flow 100.64.0.7:1051-198.18.0.1:443\n"
    "agatepost explain --flow [2001:db8::7]:5353-[2001:db8::9]:53 --protocol=udp --json",
    flags,
    "admin-address,key"};
const plugin_registration<command_plugin> registration(command);

}  // namespace

}  // namespace agatepost
