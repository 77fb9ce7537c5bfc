// The report of a run.
#pragma once

#include <nlohmann/json.hpp>
#include <ostream>

#include "run_base.h"

namespace agatepost::rig {

// Renders a run as one JSON object.
auto report_json(const run_options& options, const run_result& done) -> nlohmann::ordered_json;

// Prints a run as a short human-readable table.
auto print_table(const run_options& options, const run_result& done, std::ostream& out) -> void;

}  // namespace agatepost::rig
