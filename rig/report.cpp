#include "report_func.h"

#include <iomanip>

#include "scenario_base.h"

namespace agatepost::rig {

namespace {

using json = nlohmann::ordered_json;

auto number(const std::optional<double>& value) -> json {
    return value ? json(std::round(*value * 10000) / 10000) : json(nullptr);
}

auto spread_json(const spread& value) -> json {
    return {{"median", number(value.median)}, {"p99", number(value.p99)}};
}

auto print_row(std::ostream& out, const char* what, const json& value, const char* meaning) -> void {
    out << "  " << std::left << std::setw(16) << what << std::right << std::setw(10) << value.dump() << "  "
        << meaning << "\n";
}

// Share of each service's flows that were fully served.
auto served_json(const run_options& options, const run_result& done) -> json {
    auto shares = json::object();
    for (const auto& [service, found] : done.found.services) {
        shares[options.workload->services[service].name] = {
            {"flows", found.flows},
            {"share", number(static_cast<double>(found.served) / static_cast<double>(found.flows))}};
    }
    return shares;
}

}  // namespace

auto report_json(const run_options& options, const run_result& done) -> json {
    return {{"scenario", std::string(options.plan->name)},
            {"placement", options.placement},
            {"mix", options.workload->name},
            {"seed", options.seed},
            {"flows", done.found.flows},
            {"requests", done.found.requests},
            {"broken", done.found.broken},
            {"misdelivered", done.found.misdelivered},
            {"doubled", done.found.doubled},
            {"cut", done.found.cut},
            {"lost", done.found.lost},
            {"refused", done.found.refused},
            {"false_refusals", done.found.false_refusals},
            {"unopened", done.found.unopened},
            {"udp_unanswered", done.found.udp_unanswered},
            {"imbalance", spread_json(done.measured.all_flows)},
            {"imbalance_requests", spread_json(done.measured.request_flows)},
            {"avoidable_wait", number(done.measured.avoidable_wait)},
            {"ideal",
             {{"avoidable_wait", number(done.ideal.avoidable_wait)},
              {"p99", number(done.ideal.all_flows.p99)},
              {"p99_requests", number(done.ideal.request_flows.p99)}}},
            {"control_bytes_per_s_per_host", number(done.control_bytes_per_s)},
            {"late_to_draining", done.late_to_draining},
            {"packets", done.packets},
            {"stray_packets", done.stray_packets},
            {"malformed_packets", done.malformed},
            {"longest_step_ms", done.longest_step_ms},
            {"seconds_to_recover", number(done.recovery_s)},
            {"served", served_json(options, done)},
            {"reasons", done.reasons},
            {"failures", done.failures}};
}

auto print_table(const run_options& options, const run_result& done, std::ostream& out) -> void {
    const auto& found = done.found;
    out << options.plan->name << ": " << options.plan->summary << "\n"
        << "  placement " << options.placement << ", mix " << options.workload->name << ", seed "
        << options.seed << "\n";
    print_row(out, "flows", found.flows, "opened or refused");
    print_row(out, "broken", found.broken, "ended by a reset or time-out, or moved to another target");
    print_row(out, "misdelivered", found.misdelivered, "reached another service or another flow");
    print_row(out, "doubled", found.doubled, "requests run more than once");
    print_row(out, "cut", found.cut, "answers or requests with wrong or missing bytes");
    print_row(out, "lost", found.lost, "requests without an answer");
    print_row(out, "refused", found.refused, "refused without running a request");
    print_row(out, "false refusals", found.false_refusals, "refused although run");
    print_row(out, "unopened", found.unopened, "SYN not answered within the client's time limit");
    print_row(out, "udp unanswered", found.udp_unanswered, "datagrams without an answer");
    print_row(out, "avoidable wait", number(done.measured.avoidable_wait),
              "share of requests that found all slots busy while another target had one free");
    print_row(out, "imbalance p99", number(done.measured.all_flows.p99),
              "max over mean of open flows per slot");
    for (const auto& example : found.examples) {
        out << "  fault: " << example << "\n";
    }
    for (const auto& failure : done.failures) {
        out << "  failure: " << failure << "\n";
    }
}

}  // namespace agatepost::rig
