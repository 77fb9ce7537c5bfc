// agatepost check FILE: prints the line, description and remedy of each fault of a document.

#include <algorithm>
#include <iostream>

#include "cmd/command_base.h"
#include "cmd/operator_command_func.h"
#include "config/check_func.h"

namespace agatepost {

namespace {

auto run_check(const std::vector<std::string>& arguments) -> int {
    const auto classified = classify_arguments(arguments);
    if (classified.words.size() != 1) {
        return print_failure(
            classified, {error_kind::invalid_setting, "no document given", "use: agatepost check FILE"}, "");
    }
    const auto& path = classified.words[0];
    const auto text = read_text_file(path);
    if (!text) {
        return print_failure(classified, text.error(), "");
    }
    const auto faults = check_document(*text);
    for (const auto& fault : faults) {
        const auto* severity = fault.severity == fault_severity::error ? "error" : "warning";
        if (classified.has("json")) {
            std::cout << nlohmann::json{{"line", fault.line},
                                        {"severity", severity},
                                        {"message", fault.message},
                                        {"remedy", fault.remedy}}
                             .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace)
                      << "\n";
        } else {
            std::cout << path << ":" << fault.line << ": " << severity << ": " << fault.message
                      << "; remedy: " << fault.remedy << "\n";
        }
    }
    const auto is_error = [](const auto& fault) { return fault.severity == fault_severity::error; };
    return std::any_of(faults.begin(), faults.end(), is_error) ? exit_code::usage : exit_code::success;
}

constexpr command_plugin command = {"check", "check a configuration document", run_check};
const plugin_registration<command_plugin> registration(command);

}  // namespace

}  // namespace agatepost
