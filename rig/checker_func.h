// Finds faults in a recorded history.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "history_type.h"

namespace agatepost::rig {

// Flows of one service.
struct service_findings {
    std::uint64_t flows = 0;   // established, refused or unanswered
    std::uint64_t served = 0;  // established, unbroken, with a complete answer to each request
};

// Counts of the checker. Those of the first group are not faults.
struct findings {
    std::uint64_t flows = 0;           // established or refused
    std::uint64_t requests = 0;        // sent
    std::uint64_t refused = 0;         // flows or datagrams refused without running a request
    std::uint64_t unopened = 0;        // flows whose SYN stayed unanswered until the client's time limit
    std::uint64_t udp_unanswered = 0;  // datagrams without an answer; UDP guarantees none

    std::uint64_t broken = 0;          // established flows that were reset, timed out or changed target
    std::uint64_t misdelivered = 0;    // requests at a wrong service, answers on a wrong flow
    std::uint64_t doubled = 0;         // requests run more than once
    std::uint64_t cut = 0;             // answers or requests with wrong or missing bytes
    std::uint64_t lost = 0;            // requests without an answer whose flow neither broke nor was refused
    std::uint64_t false_refusals = 0;  // refused although the request was run

    std::map<std::uint16_t, service_findings> services;  // by service number
    std::vector<std::string> examples;                   // descriptions of the first faults

    auto has_faults() const -> bool {
        return broken + misdelivered + doubled + cut + lost + false_refusals != 0;
    }
};

// Checks a history. The order of events affects only the order of the examples.
auto check(const history& events) -> findings;

}  // namespace agatepost::rig
