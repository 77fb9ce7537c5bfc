#include "scenario_base.h"

#include <algorithm>
#include <csignal>

namespace agatepost::rig {

namespace {

constexpr double plain_share = 0.1;  // flows without timestamps in scenarios that have some

// Slots of one zone that work on a service's requests.
auto slots_of(const rig_run& run, std::size_t service) -> double {
    const auto& pool = run.shared.workload.pools[run.shared.workload.services[service].pool];
    return static_cast<double>(pool.targets) * pool.slots;
}

// Requests of a service that keep a share of its pool's slots busy, in each zone.
auto add_requests(rig_run& run, std::size_t service, double slot_share, std::int64_t work_ms) -> void {
    const auto& part = run.shared.workload.services[service];
    for (const auto& zone : run.shared.zones) {
        auto load = traffic{};
        load.service = static_cast<std::uint16_t>(service);
        load.zone = zone;
        load.per_second = slot_share * slots_of(run, service) * 1000 / static_cast<double>(work_ms);
        load.work_ms = static_cast<std::uint32_t>(work_ms);
        load.answer_size = part.answer_size;
        run.loads.push_back(load);
    }
}

// The mix's usual TCP requests.
auto add_usual_requests(rig_run& run) -> void {
    for (auto i = std::size_t{0}; i < run.shared.workload.services.size(); ++i) {
        const auto& part = run.shared.workload.services[i];
        if (part.kind == flow_kind::request && part.protocol == ip_protocol::tcp) {
            add_requests(run, i, part.slot_share, part.work_ms);
        }
    }
}

// UDP flows of several datagrams, and a share of TCP flows without timestamps.
auto add_flows_without_index(rig_run& run) -> void {
    for (auto& load : run.loads) {
        load.without_timestamps = plain_share;
    }
    run.feeds_without_timestamps = plain_share;
    for (auto i = std::size_t{0}; i < run.shared.workload.services.size(); ++i) {
        const auto& part = run.shared.workload.services[i];
        if (part.protocol == ip_protocol::udp) {
            add_requests(run, i, part.slot_share, part.work_ms);
            run.loads.back().datagrams = 5;
            run.loads.back().per_second /= 5;
        }
    }
}

auto plan_steady(rig_run& run) -> void {
    add_usual_requests(run);
    add_flows_without_index(run);
}

// Hosts and targets change at the same moment: the replacement of the dead host starts with a configuration
// in which a target drains. The remaining hosts see the change only if the run has a store.
auto plan_host_death(rig_run& run) -> void {
    add_usual_requests(run);
    run.at(run.duration_s() * 0.3, [&run] {
        run.note_fault();
        run.kill_host(1);
    });
    run.at(run.duration_s() * 0.6, [&run] {
        run.drain_target(0);
        run.start_host(1);
    });
}

auto plan_demo(rig_run& run) -> void {
    add_usual_requests(run);
    run.at(run.duration_s() * 0.4, [&run] {
        run.note_fault();
        run.kill_host(1);
    });
}

auto plan_host_join(rig_run& run) -> void {
    add_usual_requests(run);
    run.hosts.back().is_wanted = false;
    run.hosts.back().process->signal(SIGKILL);
    run.shared.net.hosts.back().is_listed = false;
    run.at(run.duration_s() * 0.4, [&run] {
        run.note_fault();
        run.drain_target(0);
        run.start_host(run.hosts.size() - 1);
    });
}

}  // namespace

auto scenarios() -> const std::vector<scenario>& {
    static const std::vector<scenario> all = {
        {"steady", "requests, feeds, UDP and clients without timestamps; nothing fails", 10, 3000, 1, false,
         plan_steady},
        {"host-death", "a host dies; its replacement starts while a target drains", 12, 3000, 1, false,
         plan_host_death},
        {"demo", "steady flows of both kinds over five hosts, one of which dies", 8, 2000, 1, false,
         plan_demo},
        {"host-join", "a host joins while a target drains", 10, 3000, 1, false, plan_host_join},
    };
    return all;
}

auto find_scenario(std::string_view name) -> const scenario* {
    const auto& all = scenarios();
    const auto found =
        std::find_if(all.begin(), all.end(), [&](const auto& candidate) { return candidate.name == name; });
    return found == all.end() ? nullptr : &*found;
}

}  // namespace agatepost::rig
