// agatepost version: prints the version.

#include <iostream>

#include "cmd/command_func.h"
#include "core/version_type.h"

namespace agatepost {

namespace {

auto flags() -> std::vector<flag_row> {
    return {{"json", "", "write a JSON object for programs"}};
}

auto run_version(const std::vector<std::string>& arguments) -> int {
    const auto read = read_arguments(arguments, flags());
    if (!read) {
        return report_failure(read.error());
    }
    if (read->has("json")) {
        std::cout << "{\"version\":\"" << program_version << "\"}\n";
    } else {
        std::cout << "agatepost " << program_version << "\n";
    }
    return exit_code::success;
}

constexpr command_plugin command = {
    "version", "print the version of this binary", run_version, "[--json]", "agatepost version", flags};
const plugin_registration<command_plugin> registration(command);

}  // namespace

}  // namespace agatepost
