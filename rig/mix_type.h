// Traffic mixes: pools and services of a workload.
#pragma once

#include <string>
#include <vector>

#include "config/config_type.h"

namespace agatepost::rig {

// A pool, with the same targets in each zone.
struct mix_pool {
    std::string name;
    int targets = 0;
    int slots = 0;
};

// A service and its traffic. Its position is the service number in messages and events.
struct mix_service {
    std::string name;
    std::size_t pool = 0;
    flow_kind kind = flow_kind::request;
    int priority = 4;
    ip_protocol protocol = ip_protocol::tcp;
    std::int64_t work_ms = 0;       // of one request
    std::uint32_t answer_size = 0;  // bytes
    double slot_share = 0;          // default share of the pool's slots kept busy by its requests
    int reserve_percent = 0;        // share of slots withheld from lower priorities
};

// The workload of one user.
struct mix {
    std::string name;
    std::vector<mix_pool> pools;
    std::vector<mix_service> services;
};

// A target of a run and the position of its pool in the mix.
struct mix_target {
    target object;
    std::size_t pool = 0;
};

}  // namespace agatepost::rig
