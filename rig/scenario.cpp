#include "scenario_base.h"

#include <algorithm>
#include <csignal>

namespace agatepost::rig {

namespace {

constexpr double no_timestamp_share = 0.1;  // share of flows without timestamps where a scenario has some

// Returns the number of slots per zone that run a service's requests.
auto slots_of(const rig_run& run, std::size_t service) -> double {
    const auto& pool = run.shared.workload.pools[run.shared.workload.services[service].pool];
    return static_cast<double>(pool.targets) * pool.slots;
}

// Adds requests of a service that keep a share of its pool's slots busy, in each zone.
auto add_requests(rig_run& run, std::size_t service, double slot_share, std::int64_t default_work_ms)
    -> void {
    const auto work_ms = run.options.work_ms.value_or(default_work_ms);
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

// Adds the mix's default TCP requests.
auto add_default_requests(rig_run& run) -> void {
    for (auto i = std::size_t{0}; i < run.shared.workload.services.size(); ++i) {
        const auto& part = run.shared.workload.services[i];
        if (part.kind == flow_kind::request && part.protocol == ip_protocol::tcp && part.slot_share > 0) {
            add_requests(run, i, part.slot_share, part.work_ms);
        }
    }
}

// Adds UDP flows of several datagrams, and a share of TCP flows without timestamps.
auto add_flows_without_index(rig_run& run) -> void {
    for (auto& load : run.loads) {
        load.without_timestamps = no_timestamp_share;
    }
    run.feeds_without_timestamps = no_timestamp_share;
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
    add_default_requests(run);
    add_flows_without_index(run);
}

// Hosts and targets change at the same time: the replacement of the dead host starts with a configuration in
// which a target drains. The other hosts see the change only if the run has a store.
auto plan_host_death(rig_run& run) -> void {
    add_default_requests(run);
    run.at(run.duration_s() * 0.3, [&run] {
        run.mark_fault();
        run.kill_host(1);
    });
    run.at(run.duration_s() * 0.6, [&run] {
        run.drain_target(0);
        run.start_host(1);
    });
}

auto plan_demo(rig_run& run) -> void {
    add_default_requests(run);
    run.at(run.duration_s() * 0.4, [&run] {
        run.mark_fault();
        run.kill_host(1);
    });
}

auto plan_host_join(rig_run& run) -> void {
    add_default_requests(run);
    run.hosts.back().should_run = false;
    run.hosts.back().process->signal(SIGKILL);
    run.shared.net.hosts.back().is_listed = false;
    run.at(run.duration_s() * 0.4, [&run] {
        run.mark_fault();
        run.drain_target(0);
        run.start_host(run.hosts.size() - 1);
    });
}

auto plan_drain(rig_run& run) -> void {
    add_default_requests(run);
    run.at(run.duration_s() * 0.3, [&run] { run.drain_target(0); });
}

// Restarts the hosts in sequence; each is listed again before the next stops.
auto restart_from(rig_run& run, std::size_t i) -> void {
    if (i == run.hosts.size()) {
        return;
    }
    run.stop_host(i);
    run.when([&run, i] { return !run.hosts[i].process->is_running(); },
             [&run, i] {
                 if (run.hosts[i].process->exit_code() != 0) {
                     run.fail("host " + run.hosts[i].name + " did not stop gracefully");
                 }
                 run.start_host(i);
                 run.when([&run, i] { return run.is_listed(i); }, [&run, i] { restart_from(run, i + 1); });
             });
}

auto plan_rolling_restart(rig_run& run) -> void {
    add_default_requests(run);
    run.at(1, [&run] { restart_from(run, 0); });
}

constexpr std::int64_t burst_work_ms = 200;

// Returns the request service of the mix's first pool.
auto main_request_service(const rig_run& run) -> std::size_t {
    auto service = std::size_t{0};
    while (run.shared.workload.services[service].kind != flow_kind::request) {
        ++service;
    }
    return service;
}

auto plan_burst(rig_run& run) -> void {
    add_requests(run, main_request_service(run), 0.7, burst_work_ms);
}

// Load of twice the first pool's capacity: 70% of the capacity at the highest priority, the rest at others.
auto plan_overload(rig_run& run) -> void {
    constexpr auto highest_priority_share = 0.7;
    const auto& services = run.shared.workload.services;
    for (auto i = std::size_t{0}; i < services.size(); ++i) {
        if (services[i].pool == 0 && services[i].kind == flow_kind::request) {
            add_requests(run, i,
                         services[i].priority == 0 ? highest_priority_share : 2 - highest_priority_share,
                         burst_work_ms);
        }
    }
}

// Only the highest-priority part of the overload, as a reference.
auto plan_overload_alone(rig_run& run) -> void {
    plan_overload(run);
    auto& loads = run.loads;
    loads.erase(std::remove_if(loads.begin(), loads.end(),
                               [&](const traffic& load) {
                                   return run.shared.workload.services[load.service].priority != 0;
                               }),
                loads.end());
}

auto plan_cold_start(rig_run& run) -> void {
    add_default_requests(run);
    run.at(run.duration_s() * 0.2, [&run] { run.servers.kill(*run.servers.all[0]); });
    run.at(run.duration_s() * 0.4, [&run] {
        run.mark_fault();
        run.servers.start_cold(*run.servers.all[0], 3000);
    });
}

// Some targets report that they are idle, another that it is full.
auto plan_misleading_load(rig_run& run) -> void {
    add_requests(run, main_request_service(run), 0.7, burst_work_ms);
    for (auto i = std::size_t{0}; i < 4; ++i) {
        run.servers.all[i]->report->false_slots_busy = 0;
    }
    run.servers.all[4]->report->false_slots_busy = 1000;
}

auto plan_target_death(rig_run& run) -> void {
    add_default_requests(run);
    run.at(run.duration_s() * 0.4, [&run] {
        run.mark_fault();
        run.servers.kill(*run.servers.all[0]);
    });
}

auto plan_silent(rig_run& run) -> void {
    add_default_requests(run);
    run.at(run.duration_s() * 0.2, [&run] { run.servers.mute_open_flows(*run.servers.all[0]); });
}

// All targets refuse for a while, and refused clients retry at once with a new request.
auto plan_retry_storm(rig_run& run) -> void {
    add_requests(run, main_request_service(run), 0.7, burst_work_ms);
    run.callers.on_failed_open = [&run](const client_flow& flow) {
        if (!flow.pending.empty() || flow.is_feed) {
            return;
        }
        auto again = flow_request{};
        again.service = flow.service;
        again.zone = flow.zone;
        again.work_ms = flow.first.work_ms;
        again.answer_size = flow.first.answer_size;
        run.shared.timers.add(run.shared.now_ms + 50, [&run, again] { run.callers.open(again); });
    };
    const auto set_shedding = [&run](bool is_shedding) {
        for (auto& server : run.servers.all) {
            server->is_shedding = is_shedding;
        }
    };
    run.at(run.duration_s() * 0.4, [set_shedding] { set_shedding(true); });
    run.at(run.duration_s() * 0.6, [&run, set_shedding] {
        run.mark_fault();
        set_shedding(false);
    });
}

auto set_store_down(rig_run& run, bool is_down) -> void {
    if (run.options.has_store) {
        auto faults = run.store().faults();
        faults.is_down = is_down;
        run.store().set_faults(faults);
    }
}

auto plan_store_outage(rig_run& run) -> void {
    add_default_requests(run);
    run.at(run.duration_s() * 0.2, [&run] { set_store_down(run, true); });
    run.at(run.duration_s() * 0.4, [&run] { run.kill_host(1); });
    // This host starts while the store is down and must get its configuration from a peer.
    run.at(run.duration_s() * 0.5, [&run] { run.start_host(1); });
    run.at(run.duration_s() * 0.6, [&run] {
        set_store_down(run, false);
        run.drain_target(0);
    });
}

auto plan_lost_answer(rig_run& run) -> void {
    add_default_requests(run);
    run.at(run.duration_s() * 0.2, [&run] {
        auto faults = run.store().faults();
        faults.lost_answers = 1;
        run.store().set_faults(faults);
        run.drain_target(0);
    });
}

auto plan_operator_race(rig_run& run) -> void {
    add_default_requests(run);
    run.at(run.duration_s() * 0.2, [&run] {
        run.drain_target(0);
        run.drain_target(0);
        const auto& name = run.shared.workload.services[0].name;
        run.change_profile(name, [](nlohmann::json& document) { document["syn_timeout_ms"] = 700; });
        run.change_profile(name, [](nlohmann::json& document) { document["idle_timeout_ms"] = 7200000; });
    });
}

auto plan_lease_lapse(rig_run& run) -> void {
    add_default_requests(run);
    run.at(run.duration_s() * 0.3, [&run] {
        run.mark_fault();
        run.pause_host(1);
    });
    run.at(run.duration_s() * 0.45, [&run] { run.drain_target(0); });
    run.at(run.duration_s() * 0.6, [&run] { run.resume_host(1); });
}

auto plan_zone_partition(rig_run& run) -> void {
    add_default_requests(run);
    run.at(run.duration_s() * 0.3, [&run] {
        run.shared.net.set_partition("zone-1", "zone-2", true);
        set_store_down(run, true);
    });
    run.at(run.duration_s() * 0.7, [&run] {
        run.shared.net.set_partition("zone-1", "zone-2", false);
        set_store_down(run, false);
    });
}

auto set_watch_delay(rig_run& run, std::int64_t delay_ms) -> void {
    if (run.options.has_store) {
        auto faults = run.store().faults();
        faults.watch_delay_ms = delay_ms;
        run.store().set_faults(faults);
    }
}

// Watch events are delayed, but hosts started meanwhile read the newest configuration at once.
auto plan_uneven_updates(rig_run& run) -> void {
    add_default_requests(run);
    run.at(run.duration_s() * 0.2, [&run] {
        set_watch_delay(run, 1500);
        run.kill_host(1);
    });
    run.at(run.duration_s() * 0.3, [&run] {
        run.drain_target(0);
        run.start_host(1);
    });
}

auto plan_profile_change(rig_run& run) -> void {
    add_default_requests(run);
    run.at(run.duration_s() * 0.4, [&run] {
        for (const auto& service : run.shared.workload.services) {
            run.change_profile(service.name,
                               [](nlohmann::json& document) { document["reserve_percent"] = 10; });
        }
    });
}

// Host death, drain, uneven updates, burst and store outage combined, twice.
auto plan_everything(rig_run& run) -> void {
    add_default_requests(run);
    add_requests(run, main_request_service(run), 0, burst_work_ms);
    const auto burst = run.loads.size() - run.shared.zones.size();
    const auto burst_rate = 0.3 * slots_of(run, main_request_service(run)) * 1000 / burst_work_ms;
    for (auto round = std::size_t{0}; round < 2; ++round) {
        const auto begin = run.duration_s() * (0.1 + 0.45 * static_cast<double>(round));
        run.at(begin, [&run, round, burst, burst_rate] {
            set_watch_delay(run, 1000);
            run.drain_target(round);
            run.kill_host(round + 1);
            run.loads[burst].per_second = burst_rate;
        });
        run.at(begin + 0.3, [&run] { set_store_down(run, true); });
        run.at(begin + 2, [&run, round, burst] {
            set_store_down(run, false);
            set_watch_delay(run, 0);
            run.start_host(round + 1);
            run.loads[burst].per_second = 0;
        });
    }
}

}  // namespace

auto scenarios() -> const std::vector<scenario>& {
    static const std::vector<scenario> all = {
        {"steady", "requests, feeds, UDP and clients without timestamps; nothing fails", 10, 3000, 1, false,
         plan_steady},
        {"host-death", "a host dies; its replacement starts while a target drains", 12, 3000, 1, true,
         plan_host_death},
        {"demo", "steady flows of both kinds over five hosts, one of which dies", 8, 2000, 1, false,
         plan_demo},
        {"host-join", "a host joins while a target drains", 10, 3000, 1, true, plan_host_join},
        {"drain", "an operator drains a target", 10, 3000, 1, true, plan_drain},
        {"rolling-restart", "every host is stopped and started, one after the other", 20, 3000, 1, false,
         plan_rolling_restart},
        {"burst", "200 ms of work on 70% of the slots, on top of 20,000 feeds", 10, 20000, 1, false,
         plan_burst},
        {"overload", "requests for twice the slots", 10, 3000, 1, false, plan_overload},
        {"overload-alone", "the highest priority of overload, without the rest", 10, 3000, 1, false,
         plan_overload_alone},
        {"cold-start", "a target dies and starts again, slow at first", 12, 3000, 1, false, plan_cold_start},
        {"misleading-load", "some targets report a false load", 10, 3000, 1, false, plan_misleading_load},
        {"target-death", "a target dies with its flows", 10, 3000, 1, false, plan_target_death},
        {"silent", "the open flows of a target go silent", 20, 3000, 1, false, plan_silent},
        {"retry-storm", "all targets refuse for a while and clients try again at once", 10, 3000, 1, false,
         plan_retry_storm},
        {"store-outage", "the store is down while a host is replaced", 14, 3000, 1, true, plan_store_outage},
        {"lost-answer", "a change takes effect but its answer is lost", 10, 3000, 1, true, plan_lost_answer},
        {"operator-race", "operators change the same objects at once", 10, 3000, 1, true, plan_operator_race},
        {"lease-lapse", "a host is paused and resumed while a target drains", 12, 3000, 1, true,
         plan_lease_lapse},
        {"zone-partition", "two zones and the store are cut off from each other", 10, 3000, 2, true,
         plan_zone_partition},
        {"uneven-updates", "hosts learn of a drain at different times", 10, 3000, 1, true,
         plan_uneven_updates},
        {"profile-change", "every profile changes while requests run", 10, 3000, 1, true,
         plan_profile_change},
        {"everything", "host death, drain, uneven updates, burst and store outage at once, twice", 20, 3000,
         1, true, plan_everything},
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
