// agatepost history: prints the newest decisions of a host.

#include <iostream>
#include <nlohmann/json.hpp>

#include "cmd/command_func.h"
#include "core/history_func.h"

namespace agatepost {

namespace {

using nlohmann::json;

auto flags() -> std::vector<flag_row> {
    return {{"kind", "KIND", "only this kind: host, membership, configuration, health, refusal"},
            {"json", "", "write the host's JSON answer for programs"}};
}

auto print_entry(const json& entry) -> void {
    std::cout << entry.value("time", "?") << " " << entry.value("kind", "?");
    const auto fields = entry.value("fields", json::object());
    for (const auto& field : fields.items()) {
        std::cout << " " << field.key() << "=" << field.value().dump();
    }
    const auto left_out = entry.value("left_out", std::uint64_t{0});
    if (left_out != 0) {
        std::cout << " (" << left_out << " before it left out)";
    }
    std::cout << "\n";
}

auto run_history(const std::vector<std::string>& arguments) -> int {
    const auto read = read_arguments(arguments, flags());
    if (!read) {
        return report_failure(read.error());
    }
    const auto kind = read->value("kind");
    if (read->has("kind") && !parse_history_kind(kind)) {
        return report_failure({error_kind::invalid_setting, "'" + kind + "' is not a kind of decision",
                               "use host, membership, configuration, health or refusal"});
    }
    const auto answer = query_host(read->options, kind.empty() ? "/history" : "/history?kind=" + kind);
    if (!answer) {
        return report_failure(answer.error());
    }
    if (read->has("json")) {
        std::cout << answer->dump(2) << "\n";
        return exit_code::success;
    }
    for (const auto& entry : answer->value("history", json::array())) {
        print_entry(entry);
    }
    return exit_code::success;
}

constexpr command_plugin command = {"history",
                                    "print the newest decisions of a host",
                                    run_history,
                                    "[--admin-address=ADDRESS:PORT] [--kind=KIND] [--json]",
                                    "agatepost history --admin-address=127.0.0.1:8081 --kind=membership",
                                    flags,
                                    "admin-address,key"};
const plugin_registration<command_plugin> registration(command);

}  // namespace

}  // namespace agatepost
