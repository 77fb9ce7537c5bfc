#include <absl/strings/str_cat.h>

#include <algorithm>

#include "core/counter_func.h"
#include "core/log_func.h"
#include "edge/cold_start_func.h"
#include "edge/edge_log_func.h"
#include "edge/suspicion_func.h"

namespace agatepost::edge {

namespace {

auto counter_of(packet_reason reason) -> counter {
    switch (reason) {
        case packet_reason::established:
            return counter::edge_established;
        case packet_reason::former_service:
            return counter::edge_former_service;
        case packet_reason::opened:
            return counter::edge_opened;
        case packet_reason::open_retried:
            return counter::edge_open_retried;
        case packet_reason::no_configuration:
            return counter::edge_no_configuration;
        case packet_reason::waited_opening:
            return counter::edge_waited_opening;
        case packet_reason::unknown_route:
            return counter::edge_unknown_route;
        case packet_reason::stale_route:
            return counter::edge_stale_route;
        case packet_reason::no_target:
            return counter::edge_no_target;
        case packet_reason::zone_evacuated:
            return counter::edge_zone_evacuated;
        case packet_reason::cut_off:
            return counter::edge_cut_off;
        case packet_reason::waits_for_target:
            return counter::edge_waits_for_target;
        case packet_reason::abandoned:
            return counter::edge_abandoned;
        case packet_reason::may_be_answered:
            return counter::edge_may_be_answered;
        case packet_reason::overloaded:
            return counter::edge_overloaded;
        case packet_reason::cold_limited:
            return counter::edge_cold_limited;
        case packet_reason::unknown_carrier:
            return counter::edge_unknown_carrier;
        case packet_reason::unknown_carrier_reset:
            return counter::edge_unknown_carrier_reset;
        case packet_reason::foreign_carrier:
            return counter::edge_foreign_carrier;
        case packet_reason::shared_carrier:
            return counter::edge_shared_carrier;
        case packet_reason::unreadable_target:
            return counter::edge_unreadable_target;
        case packet_reason::target_left:
            return counter::edge_target_left;
        case packet_reason::target_dead:
            return counter::edge_target_dead;
        case packet_reason::no_carrier:
            return counter::edge_no_carrier;
        case packet_reason::not_of_a_client:
            return counter::edge_not_of_a_client;
    }
    return counter::edge_malformed;
}

auto event_of(const packet_verdict& verdict, bool is_syn_packet) -> log_event {
    switch (verdict.action) {
        case packet_action::forward:
            return verdict.reason == packet_reason::opened           ? log_event::flow_opened
                   : verdict.reason == packet_reason::former_service ? log_event::flow_of_former_service
                                                                     : log_event::flow_open_retried;
        case packet_action::reset:
            return is_syn_packet ? log_event::flow_refused : log_event::flow_reset;
        case packet_action::drop:
            return log_event::flow_packet_dropped;
        case packet_action::hold:
            return log_event::flow_waits;
    }
    return log_event::flow_packet_dropped;
}

auto event_of(directory_change change) -> log_event {
    switch (change) {
        case directory_change::target_added:
            return log_event::target_registered;
        case directory_change::target_lapsed:
            return log_event::target_lapsed;
        case directory_change::target_gone:
            return log_event::target_gone;
        case directory_change::routes_changed:
            return log_event::configuration_applied;
        case directory_change::unreadable:
            return log_event::item_unreadable;
        case directory_change::evacuation_started:
            return log_event::zone_evacuation_started;
        case directory_change::evacuation_ended:
            return log_event::zone_evacuation_ended;
        case directory_change::target_changed:
        case directory_change::none:
            return log_event::target_updated;
    }
    return log_event::target_updated;
}

// Renders the load of a target: own busy, pending and open flows, then the busy and open flows of peers.
auto load_text(const target_load& load) -> std::string {
    return absl::StrCat(load.busy_flows, "+", load.pending_syns, "/", load.open_flows, " told ",
                        load.peer_busy_flows, "/", load.peer_open_flows);
}

}  // namespace

auto address_text(std::uint32_t address) -> std::string {
    return absl::StrCat(address >> 24U, ".", (address >> 16U) & 0xffU, ".", (address >> 8U) & 0xffU, ".",
                        address & 0xffU);
}

auto flow_text(const flow_key& flow) -> std::string {
    return absl::StrCat(address_text(flow.client_address), ":", flow.client_port, "-",
                        address_text(flow.service_address), ":", flow.service_port);
}

auto count_verdict(const packet_verdict& verdict) -> void {
    count(counter_of(verdict.reason));
}

auto log_verdict(const forwarding_state& state, const client_packet& packet, const packet_verdict& verdict,
                 std::int64_t view_age_ms) -> void {
    const auto version = std::to_string(state.known.configuration_version);
    if (verdict.reason == packet_reason::overloaded || verdict.reason == packet_reason::waits_for_target) {
        const auto& target = state.known.targets[verdict.target];
        const auto route =
            state.known.routes.find(route_key(packet.flow.service_address, packet.flow.service_port));
        const auto request_ms = route == state.known.routes.end() ? 0.0 : expected_request_ms(route->second);
        write_log(event_of(verdict, packet.is_syn), {{"flow", flow_text(packet.flow)},
                                                     {"reason", std::string(to_text(verdict.reason))},
                                                     {"least_busy", target.entry.name},
                                                     {"load", load_text(target.load)},
                                                     {"slots", std::to_string(target.entry.slots)},
                                                     {"request_ms", absl::StrCat(request_ms)},
                                                     {"version", version}});
        return;
    }
    if (verdict.action != packet_action::forward) {
        write_log(event_of(verdict, packet.is_syn), {{"flow", flow_text(packet.flow)},
                                                     {"reason", std::string(to_text(verdict.reason))},
                                                     {"carrier", absl::StrCat(absl::Hex(packet.carrier))},
                                                     {"version", version},
                                                     {"revision", std::to_string(state.known.revision)},
                                                     {"view_age_ms", std::to_string(view_age_ms)}});
        return;
    }
    const auto& target = state.known.targets[verdict.target];
    write_log(event_of(verdict, packet.is_syn), {{"flow", flow_text(packet.flow)},
                                                 {"target", target.entry.name},
                                                 {"target_zone", target.entry.zone},
                                                 {"target_revision", std::to_string(target.revision)},
                                                 {"load", load_text(target.load)},
                                                 {"version", version},
                                                 {"view_age_ms", std::to_string(view_age_ms)}});
}

auto log_waited_syn(const forwarding_state& state, const waited_opening& waited) -> void {
    const auto waited_ms = std::to_string(waited.waited_ms);
    const auto version = std::to_string(state.known.configuration_version);
    const auto event = event_of({action_after_wait(waited.reason), waited.reason, 0, false, true}, true);
    if (waited.reason != packet_reason::opened) {
        write_log(event, {{"flow", flow_text(waited.opening.flow)},
                          {"reason", std::string(to_text(waited.reason))},
                          {"waited_ms", waited_ms},
                          {"version", version}});
        return;
    }
    const auto& target = state.known.targets[waited.opening.target];
    write_log(event, {{"flow", flow_text(waited.opening.flow)},
                      {"target", target.entry.name},
                      {"target_zone", target.entry.zone},
                      {"target_revision", std::to_string(target.revision)},
                      {"load", load_text(target.load)},
                      {"waited_ms", waited_ms},
                      {"version", version}});
}

auto log_presumed_dead(const target_record& target) -> void {
    write_log(log_event::target_suspected,
              {{"target", target.entry.name},
               {"unanswered", target.load.answered_liveness_checks >= hung_after_liveness_checks
                                  ? "data of several flows, though openings are answered"
                                  : "data of several flows, and openings"},
               {"pause_ms", std::to_string(presumed_dead_ms)}});
}

auto log_suspect(const target_record& target, time_ms at) -> void {
    write_log(log_event::target_suspected, {{"target", target.entry.name},
                                            {"unanswered", std::to_string(target.load.unanswered_syns)},
                                            {"pause_ms", std::to_string(target.load.suspect_until - at)}});
}

auto log_cold_limited(const directory& known, const target_record& target, time_ms at) -> void {
    const auto limit = cold_limit(known, target, at).value_or(0);
    write_log(log_event::cold_target_limited,
              {{"target", target.entry.name},
               {"limit_per_s", absl::StrCat(limit)},
               {"own_share", std::to_string(cold_share(limit, target.cold.rank.value_or(0)))},
               {"cold_ms", std::to_string(std::max<std::int64_t>(0, target.cold_until - at))}});
}

auto log_syn_resend(const forwarding_state& state, const syn_resend& retry) -> void {
    const auto& target = state.known.targets[retry.target];
    const auto found = state.flows.find(retry.flow);
    const auto has_from = found != state.flows.end() && found->second.tried.size() > 1;
    const auto from = has_from ? found->second.tried[found->second.tried.size() - 2] : retry.target;
    write_log(log_event::flow_open_retried, {{"flow", flow_text(retry.flow)},
                                             {"from", state.known.targets[from].entry.name},
                                             {"target", target.entry.name},
                                             {"load", load_text(target.load)}});
}

auto log_unlisted(const std::string& key, const directory& known) -> void {
    const auto found = known.items.find(key);
    if (found != known.items.end() && !found->second.evacuated_zone.empty()) {
        log_item({key, "", found->second.revision, true}, {directory_change::evacuation_ended, std::nullopt},
                 known);
    } else {
        write_log(log_event::target_gone, {{"target", key}});
    }
}

auto log_item(const store_item& item, const item_outcome& outcome, const directory& known) -> void {
    if (outcome.change == directory_change::unreadable) {
        count(counter::edge_unreadable_items);
        if (outcome.fault) {
            write_log(log_event::item_unreadable, {{"key", item.key}, {"fault", to_text(*outcome.fault)}});
        }
    } else if (outcome.change == directory_change::routes_changed) {
        write_log(log_event::configuration_applied, {{"revision", std::to_string(item.revision)},
                                                     {"version", std::to_string(known.configuration_version)},
                                                     {"routes", std::to_string(known.routes.size())}});
    } else if (const auto kept = known.items.find(item.key);
               kept != known.items.end() && !kept->second.evacuated_zone.empty()) {
        write_log(event_of(outcome.change), {{"evacuated_zone", kept->second.evacuated_zone},
                                             {"revision", std::to_string(item.revision)}});
    } else {
        const auto found = known.by_name.find(item.key.substr(item.key.rfind('/') + 1));
        const auto is_draining = found != known.by_name.end() &&
                                 known.targets[found->second].entry.state == target_state::draining;
        write_log(event_of(outcome.change), {{"target", item.key},
                                             {"state", is_draining ? "draining" : "ready"},
                                             {"revision", std::to_string(item.revision)}});
    }
}

}  // namespace agatepost::edge
