#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <algorithm>

#include "core/counter_func.h"
#include "core/history_func.h"
#include "core/metrics_func.h"
#include "core/version_type.h"
#include "flow/hash_func.h"
#include "host/admin_pages_func.h"

namespace agatepost {

namespace {

using nlohmann::json;

auto failure_json(const error& failure) -> json {
    return {{"error", failure.message}, {"remedy", failure.remedy}};
}

auto host_section(const host_state& host) -> json {
    return {{"name", host.options.text("name")},
            {"zone", host.options.text("zone")},
            {"version", std::string(program_version)},
            {"state", host.is_stopping ? "stopping" : "running"},
            {"data_address", host.options.text("data-address")},
            {"peer_address", host.options.text("peer-address")},
            {"admin_address", host.options.text("admin-address")}};
}

auto configuration_section(const host_state& host) -> json {
    const auto config = host.config.load();
    auto ready = std::size_t{0};
    auto draining = std::size_t{0};
    for (const auto& pool : config->pools) {
        for (const auto& target : pool.targets) {
            (target.state == target_state::ready ? ready : draining) += 1;
        }
    }
    return {{"revision", config->revision},
            {"services", config->services.size()},
            {"pools", config->pools.size()},
            {"targets_ready", ready},
            {"targets_draining", draining}};
}

// Returns the service, pool and targets that the configuration gives for a flow; the flow module adds its
// decisions.
auto explain_section(const host_state& host, const admin_query& query) -> json {
    const auto flow = flow_of_query(query);
    if (!flow) {
        return failure_json(flow.error());
    }
    const auto config = host.config.load();
    const auto* found = config->find_service(flow->service, flow->protocol);
    if (found == nullptr) {
        return failure_json({error_kind::not_found,
                             absl::StrCat("no service has address ", to_text(flow->service), " at revision ",
                                          config->revision, "; its packets are dropped"),
                             "check the address, or create the service"});
    }
    const auto& pool = config->pools[found->pool];
    const auto zone = host.options.text("zone");
    const auto* pick = host.placement == nullptr ? nullptr : host.placement->pick(pool, zone, id_of(*flow));
    auto targets = json::array();
    for (const auto& target : pool.targets) {
        targets.push_back({{"name", target.name},
                           {"index", target.index},
                           {"zone", target.zone},
                           {"state", target.state == target_state::ready ? "ready" : "draining"}});
    }
    return {{"revision", config->revision},
            {"service", found->object.name},
            {"profile", found->rules.name},
            {"pool", pool.name},
            {"hash_pick", pick == nullptr ? json() : json(pick->name)},
            {"targets", targets}};
}

auto history_answer(const admin_query& query) -> admin_answer {
    auto kind = std::optional<history_kind>();
    if (const auto at = query.find("kind"); at != query.end()) {
        kind = parse_history_kind(at->second);
        if (!kind) {
            const auto failure =
                error{error_kind::not_found, "'" + at->second + "' is not a kind of decision",
                      "use host, membership, configuration, health or refusal"};
            return {400, "application/json", failure_json(failure).dump() + "\n"};
        }
    }
    auto list = json::array();
    for (const auto& entry : recent_history(kind)) {
        auto fields = json::object();
        for (const auto& [key, value] : entry.fields) {
            fields[key] = value;
        }
        list.push_back({{"sequence", entry.sequence},
                        {"time", utc_text(entry.time_ms)},
                        {"kind", std::string(to_text(entry.kind))},
                        {"fields", fields},
                        {"left_out", entry.left_out}});
    }
    const auto body = json{{"history", list}}.dump(2, ' ', false, json::error_handler_t::replace);
    return {200, "application/json", body + "\n"};
}

auto metrics_answer(const host_state& host) -> admin_answer {
    auto body = render_metrics();
    body += render_gauge("configuration_revision", "revision of the configuration in force; 0 for none",
                         static_cast<double>(host.config.load()->revision));
    body += render_gauge("hosts_known", "live hosts of the own zone that this host knows",
                         static_cast<double>(host.view.load()->hosts.size()));
    body += render_gauge("stopping", "1 while the host stops gracefully", host.is_stopping ? 1 : 0);
    return {200, "text/plain; version=0.0.4", body};
}

}  // namespace

auto hosts_section(const std::vector<member_update>& records) -> json {
    auto list = json::array();
    for (const auto& [record, state] : records) {
        auto entry = json{{"name", record.name},
                          {"zone", record.zone},
                          {"state", std::string(to_text(state))},
                          {"data", to_text(record.data)},
                          {"peer", to_text(record.peer)}};
        if (record.admin) {
            entry["admin"] = to_text(*record.admin);
        }
        list.push_back(std::move(entry));
    }
    return list;
}

auto make_admin_server(const host_state& host) -> result<std::unique_ptr<admin_server>> {
    auto keys = auth_keys_of(host.options);
    if (!keys) {
        return tl::unexpected<error>(keys.error());
    }
    auto options = admin_options{};
    options.address = host.options.address("admin-address");
    options.keys = *keys;
    auto server = std::make_unique<admin_server>(options);
    server->add("/metrics", [&host](const admin_query&) { return metrics_answer(host); });
    server->add("/history", history_answer);
    server->add_section("/status", "host", [&host](const admin_query&) { return host_section(host); });
    server->add_section("/status", "configuration",
                        [&host](const admin_query&) { return configuration_section(host); });
    server->add_section("/explain", "configuration",
                        [&host](const admin_query& query) { return explain_section(host, query); });
    return server;
}

auto flow_of_query(const admin_query& query) -> result<flow_key> {
    const auto invalid = [](const std::string& message) {
        return make_error(error_kind::invalid_message, message,
                          "give the flow as CLIENT:PORT-SERVICE:PORT and the protocol as tcp or udp");
    };
    const auto flow = query.find("flow");
    const auto text = flow == query.end() ? std::string() : flow->second;
    const auto dash = text.find('-');
    if (dash == std::string::npos) {
        return invalid("'" + text + "' is not a flow");
    }
    const auto client = parse_endpoint(std::string_view(text).substr(0, dash));
    const auto service = parse_endpoint(std::string_view(text).substr(dash + 1));
    if (!client || !service) {
        return invalid(!client ? client.error().message : service.error().message);
    }
    const auto protocol = query.find("protocol");
    if (protocol != query.end() && protocol->second != "tcp" && protocol->second != "udp") {
        return invalid("'" + protocol->second + "' is not tcp or udp");
    }
    const auto is_udp = protocol != query.end() && protocol->second == "udp";
    return flow_key{*client, *service, is_udp ? ip_protocol::udp : ip_protocol::tcp};
}

}  // namespace agatepost
