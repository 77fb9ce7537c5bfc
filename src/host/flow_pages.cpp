#include "host/flow_pages_func.h"

#include "core/clock_type.h"
#include "host/admin_pages_func.h"

namespace agatepost {

namespace {

using nlohmann::json;

auto to_json(const target_counts& counts) -> json {
    return {{"slots_busy", counts.slots_busy}, {"connections", counts.connections}};
}

auto to_json(const target_status& status) -> json {
    return {{"name", status.name},
            {"index", status.index},
            {"state", status.state == target_state::ready ? "ready" : "draining"},
            {"own", to_json(status.own)},
            {"inherited", to_json(status.inherited)},
            {"outside", to_json(status.outside)},
            {"slots", status.slots},
            {"connections", status.connections},
            {"passed_over_ms", status.ejected_ms},
            {"reported_unreachable", status.is_reported_unreachable},
            {"share", status.share}};
}

auto pools_section(const host_state& host) -> json {
    auto pools = json::array();
    for (const auto& status : flow_status(host.flows, now())) {
        auto targets = json::array();
        for (const auto& target : status.targets) {
            targets.push_back(to_json(target));
        }
        pools.push_back({{"pool", status.pool},
                         {"open_flows", status.open_flows},
                         {"half_open_flows", status.half_open_flows},
                         {"retry_tokens", status.retry_tokens},
                         {"marks_ignored", status.are_marks_ignored},
                         {"targets", targets}});
    }
    return pools;
}

auto flow_section(const host_state& host, const admin_query& query) -> json {
    const auto flow = flow_of_query(query);
    if (!flow) {
        return {{"error", to_text(flow.error())}};
    }
    const auto found = explain_flow(host.flows, *host.config.load(), *host.view.load(), *flow, now());
    auto candidates = json::array();
    for (const auto& candidate : found.candidates) {
        auto row = to_json(candidate);
        row["load"] = candidate.load;
        row["fault"] = std::string(candidate_fault_text(candidate.fault));
        candidates.push_back(std::move(row));
    }
    return {{"service", found.service},
            {"pool", found.pool},
            {"profile", found.profile_name},
            {"chooser", found.chooser},
            {"owner", found.owner},
            {"chooser_target", found.chooser_target},
            {"owner_target", found.owner_target},
            {"pure_pick_target", found.pure_pick_target},
            {"candidates", candidates}};
}

}  // namespace

auto add_flow_pages(admin_server& server, host_state& host) -> void {
    server.add_section("/status", "pools", [&host](const admin_query&) { return pools_section(host); });
    server.add_section("/explain", "flow",
                       [&host](const admin_query& query) { return flow_section(host, query); });
}

}  // namespace agatepost
