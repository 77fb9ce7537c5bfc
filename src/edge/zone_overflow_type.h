// Spillover of services between availability zones, as decided by one host.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/clock_type.h"

namespace agatepost::edge {

// Why a service has the spillover that it has, for the log.
enum class overflow_reason {
    unknown_load,       // the load of the host's own zone is unknown
    no_excess_demand,   // the zone's own targets suffice
    no_spare_capacity,  // no other zone has spare capacity
    old_loads,          // the loads of other zones were measured before the excess demand began
    short_wait,         // the wait in the zone is not longer than the additional network delay
    excess_demand,      // opening SYNs are sent to other zones
};

// Spillover from the host's zone for one service.
struct overflow_decision {
    std::map<std::string, double> shares;          // of the zone's opening SYNs, by receiving zone
    std::map<std::string, double> limits;          // of these shares, by the zones' spare capacity
    std::map<std::string, double> wanted;          // requests that should be in the receiving zones
    std::map<std::string, double> sent;            // requests that are there
    std::map<std::string, double> loads_per_slot;  // of other zones whose loads are known
    double long_flow_share = 0;                    // of the zone's opening SYNs of long flows
    time_ms excess_since;                          // start of the zone's excess demand; zero: none
    double overestimate = 1;                       // highest quotient of demand and arriving requests
    double demand = 0;                             // requests of the zone's clients, at all targets
    double load = 0;                               // of the host's zone
    double slots = 0;                              // of the host's zone
    overflow_reason reason = overflow_reason::unknown_load;
};

// The present spillover of one service.
struct service_overflow {
    overflow_decision decision;  // with smoothed shares
    time_ms decided;             // zero: never
    // Factors of the shares, by receiving zone, that bring the requests there to the wanted number.
    std::map<std::string, double> corrections;
    double logged_share = 0;  // sum of the shares when a change was last reported for the log
};

// Spillover of all services.
struct overflow_state {
    bool is_enabled = false;  // by the operators, with at least two zones in the settings
    std::map<std::string, service_overflow> services;
    std::uint32_t last_draw = 0;                // see next_draw
    std::vector<std::string> changed_services;  // for the log; emptied by the caller
};

}  // namespace agatepost::edge
