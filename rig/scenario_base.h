// Scenarios: scheduled faults, operations and traffic of a run.
#pragma once

#include <string_view>
#include <vector>

#include "run_base.h"

namespace agatepost::rig {

// A named test scenario. `plan` sets the load and schedules actions with rig_run::at.
struct scenario {
    std::string_view name;
    std::string_view summary;
    double duration_s = 10;
    int feeds = 3000;
    int zones = 1;
    bool needs_store = false;  // changes the configuration of running hosts
    void (*plan)(rig_run& run) = nullptr;
};

// Returns all scenarios in listing order.
auto scenarios() -> const std::vector<scenario>&;

// Returns the scenario with this name, or nullptr.
auto find_scenario(std::string_view name) -> const scenario*;

}  // namespace agatepost::rig
