// Sub-commands of the agatepost binary, each a plug-in in its own _cmd.cpp file.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "core/plugin_base.h"

namespace agatepost {

// Exit codes of all commands.
namespace exit_code {
constexpr int success = 0;
constexpr int failure = 1;   // the command was understood and failed
constexpr int usage = 2;     // wrong flags, settings or documents
constexpr int conflict = 3;  // another operator changed the object first
}  // namespace exit_code

// A sub-command.
struct command_plugin {
    std::string_view name;
    std::string_view summary;
    // Runs with the arguments after the sub-command's name and returns the exit code.
    auto(*run)(const std::vector<std::string>& arguments) -> int;
};

}  // namespace agatepost
