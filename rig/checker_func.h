// Finds what must not happen in a recorded history.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "history_type.h"

namespace agatepost::rig {

// Flows of one service.
struct service_findings {
    std::uint64_t flows = 0;   // established, refused or not answered
    std::uint64_t served = 0;  // established and not broken, with a whole answer to each request
};

// What the checker counts. All but the first group are faults.
struct findings {
    std::uint64_t flows = 0;           // established or refused
    std::uint64_t requests = 0;        // sent
    std::uint64_t refused = 0;         // flows or datagrams that were told that nothing was run
    std::uint64_t unopened = 0;        // flows whose SYN was not answered within the client's time limit
    std::uint64_t udp_unanswered = 0;  // datagrams without an answer; UDP promises none

    std::uint64_t broken = 0;          // established flows that ended by reset or time-out, or changed target
    std::uint64_t misdelivered = 0;    // requests at another service, answers at another flow
    std::uint64_t doubled = 0;         // requests run more than once
    std::uint64_t cut = 0;             // answers or requests with wrong or missing bytes
    std::uint64_t lost = 0;            // requests without an answer whose flow neither broke nor was refused
    std::uint64_t false_refusals = 0;  // refused as not run, but run

    std::map<std::uint16_t, service_findings> services;  // by service number
    std::vector<std::string> examples;                   // the first few faults, for a person

    auto has_faults() const -> bool {
        return broken + misdelivered + doubled + cut + lost + false_refusals != 0;
    }
};

// Checks a history. The order of events matters only for which example is named first.
auto check(const history& events) -> findings;

}  // namespace agatepost::rig
