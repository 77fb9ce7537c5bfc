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
constexpr int failure = 1;   // the command is valid but failed
constexpr int usage = 2;     // wrong flags, settings or documents
constexpr int conflict = 3;  // another operator changed the object first
}  // namespace exit_code

// A sub-command. The fields after `run` are for `agatepost COMMAND --help` and may be left out.
struct command_plugin {
    std::string_view name;
    std::string_view summary;
    // Runs the sub-command with the arguments after its name and returns the exit code.
    auto(*run)(const std::vector<std::string>& arguments) -> int;
    std::string_view usage = {};     // arguments after the command's name
    std::string_view examples = {};  // complete command lines, one per line
    // Returns the flags that are not settings.
    auto(*flags)() -> std::vector<flag_row> = nullptr;
    std::string_view settings = {};  // comma-separated names of the settings it uses, or "all"
};

}  // namespace agatepost
