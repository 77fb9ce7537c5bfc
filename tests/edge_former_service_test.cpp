// Tests flows that opened at the former service of a route, through a host that started after the change:
// they are not cut off, SYNs do not reach that service, and statistics do not mix the two.

#include "core/counter_func.h"
#include "edge/edge_log_func.h"
#include "edge/suspicion_func.h"
#include "edge_test_func.h"

namespace agatepost::edge {

class edge_former_service_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(edge_former_service_test);
    CPPUNIT_TEST(restarted_host_forwards_until_the_longest_flow_has_ended);
    CPPUNIT_TEST(answered_flow_updates_no_statistics_of_its_route);
    CPPUNIT_TEST(syn_goes_only_to_the_new_service);
    CPPUNIT_TEST(changes_of_route_and_target_apply_to_the_flow);
    CPPUNIT_TEST(slow_former_service_makes_no_target_dead);
    CPPUNIT_TEST(flows_of_known_services_are_handled_as_before);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::int64_t max_flow_ms = 60000;

    // Returns the state of a host that starts at `test_start`, after route 443 moved from "desk" to
    // "archive".
    static auto restarted_state() -> forwarding_state {
        auto state = test_state({{"i-1"}, {"i-2", "archive"}}, {{443, "archive"}});
        state.former_services_until = test_start + max_flow_ms;
        return state;
    }

    // Checks the numbers of flows at the former target that are open and have a request in progress.
    static auto assert_flows(const forwarding_state& state, std::uint32_t open, std::uint32_t busy) -> void {
        CPPUNIT_ASSERT_EQUAL(open, load(state, "i-1").open_flows);
        CPPUNIT_ASSERT_EQUAL(open, load(state, "i-1").former_service_flows);
        CPPUNIT_ASSERT_EQUAL(busy, load(state, "i-1").busy_flows);
    }

public:
    auto restarted_host_forwards_until_the_longest_flow_has_ended() -> void {
        auto state = restarted_state();
        const auto counted = counter_value(counter::edge_former_service);
        const auto last = test_start + (max_flow_ms - 1);
        for (const auto at : {test_start, last}) {
            const auto verdict = handle_packet(state, data(1, 1, 0), current_view, at);
            CPPUNIT_ASSERT(verdict.action == packet_action::forward && verdict.target == 0);
            CPPUNIT_ASSERT_EQUAL(at == test_start, verdict.is_logged);
            count_verdict(verdict);
        }
        CPPUNIT_ASSERT_EQUAL(counted + 2, counter_value(counter::edge_former_service));
        assert_flows(state, 1, 1);
        CPPUNIT_ASSERT(handle_packet(state, data(1, 1, 100), current_view, last + 1).reason ==
                       packet_reason::foreign_carrier);
        assert_flows(state, 0, 0);
    }

    // The new service may be faster, and its flows shorter.
    auto answered_flow_updates_no_statistics_of_its_route() -> void {
        auto state = restarted_state();
        const auto start = test_start + startup_grace_ms;
        handle_packet(state, data(1, 1, 0), current_view, start);
        auto answered = data(1, 1, 100, 500);
        answered.payload_bytes = 0;
        handle_packet(state, answered, current_view, start + 300);
        assert_flows(state, 1, 0);
        CPPUNIT_ASSERT(load(state, "i-1").last_answer == start + 300);
        answered.is_fin = true;
        handle_packet(state, answered, current_view, start + 301);
        assert_flows(state, 0, 0);
        const auto& route = state.known.routes.at(route_key(test_service_address, 443));
        CPPUNIT_ASSERT_EQUAL(0.0, route.request_ms + route.requests_per_flow + route.requests);
    }

    // A client's new flow may use the port of one at the former service, with any sequence number.
    auto syn_goes_only_to_the_new_service() -> void {
        auto state = restarted_state();
        handle_packet(state, data(1, 1, 0), current_view, test_start);
        const auto syn = handle_packet(state, client_syn(1), current_view, test_start + 1);
        CPPUNIT_ASSERT_EQUAL(std::string("i-2"), name_of(state, syn));
        assert_flows(state, 0, 0);
        // If the SYN was a late copy of the flow's own, the flow goes on at the former service.
        const auto next = handle_packet(state, data(1, 1, 100), current_view, test_start + 2);
        CPPUNIT_ASSERT_EQUAL(std::string("i-1"), name_of(state, next));
        assert_flows(state, 1, 1);
    }

    auto changes_of_route_and_target_apply_to_the_flow() -> void {
        auto state = restarted_state();
        handle_packet(state, data(1, 1, 0), current_view, test_start);
        const auto reason_after = [&state](const store_item& change, time_ms at) {
            apply_item(state.known, change, at);
            return handle_packet(state, data(1, 1, 100), current_view, at).reason;
        };
        CPPUNIT_ASSERT(reason_after(routes_item({{8443}}, 2, 10), test_start) ==
                       packet_reason::unknown_route);
        const auto later = test_start + max_flow_ms;
        CPPUNIT_ASSERT(reason_after(routes_item({{443}}, 3, 11), later) == packet_reason::established);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, load(state, "i-1").former_service_flows);
        state = restarted_state();
        const auto draining = test_target{"i-1", "desk", "a", "10.1.64.1:8000", "draining"};
        CPPUNIT_ASSERT(reason_after(target_item(draining, 10), test_start) == packet_reason::former_service);
        CPPUNIT_ASSERT(reason_after(removal_item("i-1", 11), test_start) == packet_reason::target_left);
        assert_flows(state, 0, 0);
    }

    // Requests at the former service may take 1.2 s and fill the slots of a target that a route with requests
    // of 10 ms leads to as well. No flow of a live target may be reset for the silence that follows.
    auto slow_former_service_makes_no_target_dead() -> void {
        auto state = restarted_state();
        const auto index = state.known.by_name.at("i-1");
        auto& load = state.known.targets[index].load;
        // The target is silent towards the flows of the other route.
        load.has_failed_check = true;
        load.stalled_flows = liveness_check_after_stalled_flows;
        load.last_stall = test_start;
        load.busy_flows = liveness_check_after_stalled_flows;
        load.waiting_since = test_start + -10000;
        CPPUNIT_ASSERT(is_unresponsive(state.known, index, test_start));
        load.presumed_dead_until = test_start + 9000;
        for (const auto ms : {0, 3000}) {
            const auto verdict = handle_packet(state, data(1, 1, 0), current_view, test_start + ms);
            CPPUNIT_ASSERT(verdict.action == packet_action::forward);
            CPPUNIT_ASSERT(!is_unresponsive(state.known, index, test_start + ms));
        }
        CPPUNIT_ASSERT_EQUAL(liveness_check_after_stalled_flows, load.stalled_flows);
        // The silence counts anew from the end of the last flow at the former service.
        expire_flows(state, 1000, test_start + 5000);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, load.former_service_flows);
        CPPUNIT_ASSERT(!is_unresponsive(state.known, index, test_start + 5000));
    }

    // In a deployment whose routes keep their services, the time after a start changes nothing.
    auto flows_of_known_services_are_handled_as_before() -> void {
        auto during = test_state({{"i-1"}, {"i-2"}});
        auto outside = during;
        during.former_services_until = test_start + max_flow_ms;
        for (auto i = std::uint32_t{0}; i < 300; ++i) {
            const auto port = static_cast<std::uint16_t>(i % 30);
            auto packet = i < 30 ? client_syn(port) : data(port, 1 + i % 2, i / 60 * 100, i / 30);
            packet.is_fin = i >= 270;
            const auto a = handle_packet(during, packet, current_view, test_start + i);
            const auto b = handle_packet(outside, packet, current_view, test_start + i);
            CPPUNIT_ASSERT(a.reason == b.reason && a.target == b.target && a.is_logged == b.is_logged);
            CPPUNIT_ASSERT(load(during, "i-1") == load(outside, "i-1"));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(edge_former_service_test);

}  // namespace agatepost::edge
