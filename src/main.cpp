// The agatepost binary: picks the sub-command.

#include <algorithm>
#include <iostream>

#include "cmd/command_base.h"

namespace {

auto print_usage(std::ostream& out) -> void {
    out << "usage: agatepost COMMAND [--flag=value ...]\n\ncommands:\n";
    for (const auto* command : agatepost::plugin_registry<agatepost::command_plugin>::instance().all()) {
        out << "  " << command->name << std::string(12 - std::min<std::size_t>(11, command->name.size()), ' ')
            << command->summary << "\n";
    }
}

}  // namespace

auto main(int argc, char** argv) -> int {
    const auto arguments = std::vector<std::string>(argv + 1, argv + argc);
    if (arguments.empty() || arguments.front() == "--help" || arguments.front() == "help") {
        print_usage(arguments.empty() ? std::cerr : std::cout);
        return arguments.empty() ? agatepost::exit_code::usage : agatepost::exit_code::success;
    }
    const auto* command =
        agatepost::plugin_registry<agatepost::command_plugin>::instance().find(arguments.front());
    if (command == nullptr) {
        std::cerr << "'" << arguments.front() << "' is not a command\n";
        print_usage(std::cerr);
        return agatepost::exit_code::usage;
    }
    return command->run(std::vector<std::string>(arguments.begin() + 1, arguments.end()));
}
