// Version of the program.
#pragma once

#include <string_view>

namespace agatepost {

// Semantic version of the command line, settings, log events and metrics.
constexpr std::string_view program_version = "0.1.0";

}  // namespace agatepost
