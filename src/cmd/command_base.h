// Sub-commands of the agatepost binary, each a plug-in in its own _cmd.cpp file.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "core/plugin_base.h"
#include "core/settings_func.h"

namespace agatepost {

// Exit codes of all commands.
namespace exit_code {
constexpr int success = 0;
constexpr int failure = 1;   // the command was understood and failed
constexpr int usage = 2;     // wrong flags, settings or documents
constexpr int conflict = 3;  // another operator changed the object first
}  // namespace exit_code

// A sub-command. The fields after `run` are for `agatepost COMMAND --help` and may be left out.
struct command_plugin {
    std::string_view name;
    std::string_view summary;
    // Runs with the arguments after the sub-command's name and returns the exit code.
    auto(*run)(const std::vector<std::string>& arguments) -> int;
    std::string_view usage = {};     // arguments after the command's name
    std::string_view examples = {};  // whole command lines, one a line
    // Returns the command's own flags.
    auto(*flags)() -> std::vector<flag_row> = nullptr;
    std::string_view settings = {};  // names of the settings it uses, comma-separated, or "all"
};

}  // namespace agatepost
