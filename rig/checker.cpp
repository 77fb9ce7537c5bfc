#include <absl/container/flat_hash_map.h>

#include "checker_func.h"

namespace agatepost::rig {

namespace {

constexpr std::size_t example_limit = 10;

// Facts collected about a flow.
struct flow_facts {
    bool is_established = false;
    bool is_refused = false;
    bool is_ended_by_fault = false;  // reset or timed out
    bool is_excused = false;
    bool has_changed_target = false;
    bool is_unopened = false;
    bool lacks_answer = false;
    std::uint16_t service = 0;
    std::uint32_t target = 0;  // target of the first request run, plus 1; 0: none
};

// Facts collected about a request.
struct request_facts {
    bool is_sent = false;
    bool is_refused = false;
    bool is_datagram = false;
    bool has_wrong_bytes = false;
    bool is_complete = false;
    std::uint16_t service = 0;
    std::uint32_t expected_bytes = 0;
    std::uint64_t answer_bytes = 0;
    std::uint64_t flow = 0;
    std::uint32_t runs = 0;
    bool at_wrong_service = false;
};

struct fact_tables {
    absl::flat_hash_map<std::uint64_t, flow_facts> flows;
    absl::flat_hash_map<std::uint64_t, request_facts> requests;
};

auto add_example(findings& found, const char* what, std::uint64_t flow, std::uint64_t request) -> void {
    if (found.examples.size() < example_limit) {
        found.examples.push_back(std::string(what) + " flow " + std::to_string(flow) + " request " +
                                 std::to_string(request));
    }
}

// First pass: records what was sent, so that the second pass matches runs and answers in any order.
auto collect_sent(const history& events, fact_tables& facts) -> void {
    for (const auto& event : events) {
        if (event.kind == event_kind::request_sent) {
            auto& request = facts.requests[event.request];
            request.is_sent = true;
            request.is_datagram = event.is_datagram;
            request.service = event.service;
            request.expected_bytes = event.bytes;
            request.flow = event.flow;
        }
    }
}

auto record_run(const history_event& event, fact_tables& facts) -> void {
    auto& request = facts.requests[event.request];
    ++request.runs;
    request.has_wrong_bytes = request.has_wrong_bytes || !event.is_correct;
    request.at_wrong_service =
        request.at_wrong_service || !request.is_sent || request.service != event.service;
    if (request.is_sent) {
        auto& flow = facts.flows[request.flow];
        flow.has_changed_target =
            flow.has_changed_target || (flow.target != 0 && flow.target != event.target + 1U);
        flow.target = flow.target == 0 ? event.target + 1U : flow.target;
    }
}

auto record_event(const history_event& event, fact_tables& facts, findings& found) -> void {
    switch (event.kind) {
        case event_kind::flow_established:
            facts.flows[event.flow].is_established = true;
            facts.flows[event.flow].service = event.service;
            break;
        case event_kind::flow_refused:
            if (event.request != 0) {
                facts.requests[event.request].is_refused = true;
                ++found.refused;
            } else {
                facts.flows[event.flow].is_refused = true;
                facts.flows[event.flow].service = event.service;
            }
            break;
        case event_kind::flow_unopened:
            ++found.unopened;
            facts.flows[event.flow].is_unopened = true;
            facts.flows[event.flow].service = event.service;
            break;
        case event_kind::flow_reset:
        case event_kind::flow_timed_out:
            facts.flows[event.flow].is_ended_by_fault = true;
            break;
        case event_kind::flow_excused:
            facts.flows[event.flow].is_excused = true;
            break;
        case event_kind::request_run:
            record_run(event, facts);
            break;
        case event_kind::answer_bytes: {
            auto& request = facts.requests[event.request];
            request.answer_bytes += event.bytes;
            request.has_wrong_bytes = request.has_wrong_bytes || !event.is_correct;
            break;
        }
        case event_kind::answer_complete:
            facts.requests[event.request].is_complete = true;
            break;
        case event_kind::answer_foreign:
            ++found.misdelivered;
            add_example(found, "answer that matches no request:", event.flow, event.request);
            break;
        case event_kind::flow_closed:
        case event_kind::request_sent:
        case event_kind::request_abandoned:
            break;
    }
}

auto check_flows(const fact_tables& facts, findings& found) -> void {
    for (const auto& [id, flow] : facts.flows) {
        found.flows += flow.is_established || flow.is_refused ? 1 : 0;
        found.refused += flow.is_refused ? 1 : 0;
        if (flow.is_established || flow.is_refused || flow.is_unopened) {
            auto& counts = found.services[flow.service];
            ++counts.flows;
            counts.served += flow.is_established && !flow.is_ended_by_fault && !flow.lacks_answer ? 1 : 0;
        }
        if (!flow.is_excused &&
            ((flow.is_established && flow.is_ended_by_fault) || flow.has_changed_target)) {
            ++found.broken;
            add_example(found, flow.has_changed_target ? "flow changed target:" : "broken:", id, 0);
        }
    }
}

auto check_request(std::uint64_t id, const request_facts& request, const flow_facts& flow, findings& found)
    -> void {
    found.requests += request.is_sent ? 1 : 0;
    if (request.at_wrong_service) {
        ++found.misdelivered;
        add_example(found, "request at a wrong service:", request.flow, id);
    }
    if (request.runs > 1) {
        ++found.doubled;
        add_example(found, "run more than once:", request.flow, id);
    }
    const auto is_refused = flow.is_refused || request.is_refused;
    if (is_refused && request.runs > 0) {
        ++found.false_refusals;
        add_example(found, "refused although run:", request.flow, id);
    }
    const auto is_short = request.is_complete && request.answer_bytes != request.expected_bytes;
    // A partial answer on a broken flow counts as broken only.
    const auto is_truncated = !request.is_complete && request.answer_bytes > 0 && !flow.is_ended_by_fault;
    if (request.has_wrong_bytes || is_short || (is_truncated && !flow.is_excused)) {
        ++found.cut;
        add_example(found, "wrong or missing bytes:", request.flow, id);
        return;
    }
    if (request.is_sent && !request.is_complete && !is_refused && !flow.is_ended_by_fault &&
        !flow.is_excused) {
        if (request.is_datagram) {
            ++found.udp_unanswered;
        } else {
            ++found.lost;
            add_example(found, "lost:", request.flow, id);
        }
    }
}

}  // namespace

auto check(const history& events) -> findings {
    auto facts = fact_tables{};
    auto found = findings{};
    collect_sent(events, facts);
    for (const auto& event : events) {
        record_event(event, facts, found);
    }
    for (const auto& [id, request] : facts.requests) {
        if (request.is_sent && !request.is_complete) {
            facts.flows[request.flow].lacks_answer = true;
        }
    }
    check_flows(facts, found);
    for (const auto& [id, request] : facts.requests) {
        const auto flow = facts.flows.find(request.flow);
        check_request(id, request, flow == facts.flows.end() ? flow_facts{} : flow->second, found);
    }
    return found;
}

}  // namespace agatepost::rig
