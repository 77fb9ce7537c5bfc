// Entry point of the agatepost binary: dispatches to the sub-command.

#include <algorithm>
#include <iostream>

#include "cmd/command_func.h"
#include "core/text_func.h"

namespace {

using agatepost::command_plugin;
namespace exit_code = agatepost::exit_code;

auto is_help(const std::string& argument) -> bool {
    return argument == "--help" || argument == "-h";
}

auto report_unknown_command(const std::string& name) -> int {
    auto names = std::vector<std::string>{"help"};
    for (const auto* command : agatepost::plugin_registry<command_plugin>::instance().all()) {
        names.emplace_back(command->name);
    }
    std::cerr << "agatepost: '" << name << "' is not a command" << agatepost::suggestion(name, names)
              << "\nremedy: 'agatepost --help' lists all commands\n";
    return exit_code::usage;
}

}  // namespace

auto main(int argc, char** argv) -> int {
    const auto arguments = std::vector<std::string>(argv + 1, argv + argc);
    if (arguments.empty()) {
        agatepost::print_usage(std::cerr);
        return exit_code::usage;
    }
    const auto& registry = agatepost::plugin_registry<command_plugin>::instance();
    const auto is_help_requested = arguments.front() == "help" || is_help(arguments.front());
    if (is_help_requested && arguments.size() == 1) {
        agatepost::print_usage(std::cout);
        return exit_code::success;
    }
    const auto name = is_help_requested                  ? arguments[1]
                      : arguments.front() == "--version" ? std::string("version")
                                                         : arguments.front();
    const auto* command = registry.find(name);
    if (command == nullptr) {
        return report_unknown_command(name);
    }
    const auto rest = std::vector<std::string>(arguments.begin() + 1, arguments.end());
    if (is_help_requested || std::any_of(rest.begin(), rest.end(), is_help)) {
        agatepost::print_command_help(std::cout, *command);
        return exit_code::success;
    }
    return command->run(rest);
}
