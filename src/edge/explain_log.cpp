#include <absl/algorithm/container.h>
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>

#include "edge/explain_log_func.h"

namespace agatepost::edge {

namespace {

auto field(const explained_line& line, const std::string& name) -> std::string {
    const auto found = line.fields.find(name);
    return found == line.fields.end() ? std::string() : found->second;
}

// Returns the target name of a line. Lines about registrations contain the store key.
auto target_of(const explained_line& line) -> std::string {
    const auto name = field(line, "target");
    return name.substr(name.rfind('/') + 1);
}

auto is_host_event(const explained_line& line) -> bool {
    static const auto events =
        std::set<std::string>{"edge_started", "edge_ready",     "host_stopping", "host_stopped",
                              "store_lost",   "store_regained", "edge_resumed"};
    return events.count(line.event) != 0;
}

auto cause_of_refusal(const explained_line& line) -> std::string {
    static const auto causes = std::map<std::string, std::string>{
        {"no_target", "no target of the service takes flows: refused under load or with all targets away"},
        {"zone_evacuated", "operators evacuated the zones of all targets of the service; it has not run"},
        {"cut_off",
         "the host reached no target; it has not run, and the next try may come through another host"},
        {"overloaded", "no target of the service would have answered in time; it has not run"},
        {"cold_limited", "the targets of the service were cold and had got their openings; it has not run"},
        {"unknown_route", "the configuration in force has no route for this address"},
        {"unknown_carrier_reset",
         "the flow's target is not registered any more, by a current view of the store"},
        {"target_left", "the flow's target drained and left, or died, while the flow was open"},
        {"target_dead", "flows of the target stalled and openings stayed unanswered: the target died"},
    };
    const auto found = causes.find(field(line, "reason"));
    const auto why = found == causes.end() ? "reason " + field(line, "reason") : found->second;
    return absl::StrCat("reset by ", line.host, " at ", line.time, ": ", why, " (version ",
                        field(line, "version"), ", view ", field(line, "view_age_ms"), " ms old)");
}

// Returns the line in which a host learnt that the target drained or was gone, before another host used it by
// an outdated view; nullptr without one.
auto find_earlier_end(const std::vector<explained_line>& lines, const explained_line& opened)
    -> const explained_line* {
    const auto found = absl::c_find_if(lines, [&](const explained_line& line) {
        const auto is_end = line.event == "target_gone" ||
                            (line.event == "target_updated" && field(line, "state") == "draining");
        return is_end && target_of(line) == target_of(opened) && line.time < opened.time;
    });
    return found == lines.end() ? nullptr : &*found;
}

auto cause_of(const std::vector<explained_line>& lines, const std::vector<explained_line>& of_flow)
    -> std::string {
    if (of_flow.empty()) {
        return "no host wrote a line about this flow: its SYN reached no running host, or the lines were "
               "left out "
               "(check for the field left_out, and for hosts that stopped)";
    }
    for (const auto& line : of_flow) {
        if (line.event == "flow_refused" || line.event == "flow_reset") {
            return cause_of_refusal(line);
        }
    }
    const auto& last = of_flow.back();
    if (last.event == "flow_packet_dropped") {
        return absl::StrCat("packets were dropped by ", last.host, ": ", field(last, "reason"), " (version ",
                            field(last, "version"), ", view ", field(last, "view_age_ms"), " ms old)");
    }
    if (const auto* knew = find_earlier_end(lines, last)) {
        return absl::StrCat("sent at ", last.time, " to a target that ", knew->host,
                            " knew to be leaving since ", knew->time, ": the view of ", last.host, " was ",
                            field(last, "view_age_ms"), " ms old");
    }
    for (const auto& line : lines) {
        if (line.time < last.time) {
            continue;
        }
        if (line.event == "target_gone" && target_of(line) == target_of(last)) {
            return absl::StrCat("lost with its target ", target_of(last), ", which left or died; ", line.host,
                                " learnt this at ", line.time);
        }
        if (line.event == "edge_started" && line.host == last.host) {
            return absl::StrCat("its host ", last.host, " ended and started again at ", line.time);
        }
    }
    return absl::StrCat("opened at ", target_of(last),
                        " and nothing went wrong at the hosts: look at the target");
}

}  // namespace

auto read_log_lines(std::istream& in) -> std::vector<explained_line> {
    auto lines = std::vector<explained_line>{};
    for (auto text = std::string(); std::getline(in, text);) {
        const auto start = text.find('{');
        if (start == std::string::npos) {
            continue;
        }
        const auto object = nlohmann::json::parse(text.begin() + static_cast<std::ptrdiff_t>(start),
                                                  text.end(), nullptr, false);
        if (!object.is_object()) {
            continue;
        }
        auto line = explained_line{};
        for (const auto& [key, value] : object.items()) {
            line.fields[key] = value.is_string() ? value.get<std::string>() : value.dump();
        }
        line.time = field(line, "time");
        line.host = field(line, "host");
        line.event = field(line, "name");
        lines.push_back(std::move(line));
    }
    absl::c_stable_sort(lines, [](const auto& a, const auto& b) { return a.time < b.time; });
    return lines;
}

auto explain_flow(const std::vector<explained_line>& lines, const std::string& flow) -> flow_explanation {
    auto of_flow = std::vector<explained_line>{};
    auto hosts = std::set<std::string>{};
    auto targets = std::set<std::string>{};
    for (const auto& line : lines) {
        if (field(line, "flow") == flow) {
            of_flow.push_back(line);
            hosts.insert(line.host);
            targets.insert(target_of(line));
        }
    }
    targets.erase("");
    auto explanation = flow_explanation{};
    for (const auto& line : lines) {
        const auto is_of_target =
            absl::StartsWith(line.event, "target_") && targets.count(target_of(line)) != 0;
        if (field(line, "flow") == flow || is_of_target ||
            (is_host_event(line) && hosts.count(line.host) != 0)) {
            explanation.lines.push_back(line);
        }
    }
    explanation.cause = cause_of(lines, of_flow);
    return explanation;
}

}  // namespace agatepost::edge
