// State shared by the parts of a run: time, timers, random numbers, fabric and history.
#pragma once

#include <random>

#include "fabric_base.h"
#include "history_type.h"
#include "mix_type.h"
#include "tcp_base.h"

namespace agatepost::rig {

struct world {
    explicit world(const mix& used, std::uint64_t seed) : workload(used), random(seed), net(timers, random) {}

    const mix& workload;
    std::vector<std::string> zones;
    std::int64_t now_ms = 0;  // time of the current event loop step
    std::mt19937_64 random;
    timer_queue timers;
    fabric net;
    history events;

    auto uniform() -> double { return std::uniform_real_distribution<double>(0, 1)(random); }

    auto send_all(const std::string& zone, tcp_output& out) -> void {
        for (auto& packet : out.packets) {
            net.send(zone, std::move(packet));
        }
        out.packets.clear();
    }
};

}  // namespace agatepost::rig
