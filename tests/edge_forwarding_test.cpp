// Tests the decisions on packets: flows stay at their target through any host and reach only their own
// service, only flows that cannot go on are reset, and silent or dead targets do not delay clients.

#include <set>

#include "edge/attempt_func.h"
#include "edge/suspicion_func.h"
#include "edge_test_func.h"

namespace agatepost::edge {

class edge_forwarding_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(edge_forwarding_test);
    CPPUNIT_TEST(any_host_forwards_an_open_flow_by_its_carrier);
    CPPUNIT_TEST(packets_without_configuration_are_dropped);
    CPPUNIT_TEST(retransmitted_syn_goes_to_another_target);
    CPPUNIT_TEST(unanswered_syn_is_sent_to_another_target);
    CPPUNIT_TEST(answered_syn_is_not_sent_again);
    CPPUNIT_TEST(syn_is_sent_to_a_bounded_number_of_targets);
    CPPUNIT_TEST(copies_are_sent_to_a_bounded_number_of_targets);
    CPPUNIT_TEST(silent_target_is_suspected_and_tried_again_with_one_flow);
    CPPUNIT_TEST(silent_target_is_tried_at_growing_intervals);
    CPPUNIT_TEST(draining_target_gets_no_new_flow);
    CPPUNIT_TEST(flow_of_a_draining_target_goes_on);
    CPPUNIT_TEST(unknown_route_is_reset_only_with_a_current_view);
    CPPUNIT_TEST(dropped_route_ends_its_flows);
    CPPUNIT_TEST(flow_stays_with_the_old_service_of_its_route);
    CPPUNIT_TEST(carrier_of_another_service_is_not_followed);
    CPPUNIT_TEST(unknown_carrier_is_reset_only_when_it_stays_unknown);
    CPPUNIT_TEST(flow_of_a_target_that_left_is_reset);
    CPPUNIT_TEST(flow_of_a_vanished_target_is_reset_when_the_client_retransmits);
    CPPUNIT_TEST(flows_of_a_dead_target_are_reset);
    CPPUNIT_TEST(filings_of_a_dead_target_are_not_reset);
    CPPUNIT_TEST(overloaded_target_that_answers_syns_is_not_dead);
    CPPUNIT_TEST(old_stalls_do_not_count);
    CPPUNIT_TEST(one_unanswered_syn_does_not_fail_a_liveness_check);
    CPPUNIT_TEST(target_that_answers_only_syns_is_hung);
    CPPUNIT_TEST(missing_answers_of_all_targets_make_none_dead);
    CPPUNIT_TEST(slow_target_with_progress_is_not_dead);
    CPPUNIT_TEST(retransmissions_after_a_host_start_make_no_target_dead);
    CPPUNIT_TEST(slow_requests_make_no_target_dead);
    CPPUNIT_TEST(two_retransmitting_flows_make_no_target_dead);
    CPPUNIT_TEST(syn_received_during_a_pause_is_dropped);
    CPPUNIT_TEST(packets_received_during_a_pause_make_no_target_dead);
    CPPUNIT_TEST(pause_of_this_host_makes_no_target_a_suspect);
    CPPUNIT_TEST(counts_return_to_zero);
    CPPUNIT_TEST(request_without_response_stops_counting);
    CPPUNIT_TEST(reset_of_a_second_syn_ack_does_not_end_the_flow);
    CPPUNIT_TEST(service_without_targets_is_refused_at_once);
    CPPUNIT_TEST(copy_without_targets_is_not_refused);
    CPPUNIT_TEST(overload_refuses_the_highest_priority_last);
    CPPUNIT_TEST(retransmissions_of_an_admitted_syn_are_not_refused);
    CPPUNIT_TEST(less_busy_target_is_chosen_before_a_refusal);
    CPPUNIT_TEST(rarely_used_route_takes_no_priority);
    CPPUNIT_TEST(probed_route_takes_no_priority_over_busy_routes);
    CPPUNIT_TEST_SUITE_END();

    // Opens flows from successive client ports until `count` of them are at one target; returns their ports.
    static auto flows_at(forwarding_state& state, std::uint32_t carrier, std::size_t count)
        -> std::vector<std::uint16_t> {
        auto ports = std::vector<std::uint16_t>{};
        for (auto port = std::uint16_t{1}; ports.size() < count; ++port) {
            if (open_flow(state, port, test_start) == carrier) {
                ports.push_back(port);
            }
        }
        return ports;
    }

    // Time from a SYN to the next packet of its client.
    static constexpr std::int64_t answer_ms = 3;

public:
    auto any_host_forwards_an_open_flow_by_its_carrier() -> void {
        const auto targets = std::vector<test_target>{{"i-1"}, {"i-2"}, {"i-3"}};
        auto first = test_state(targets);
        auto second = test_state(targets);
        for (auto port = std::uint16_t{1}; port < 50; ++port) {
            const auto carrier = open_flow(first, port, test_start);
            const auto verdict = handle_packet(second, data(port, carrier, 0), old_view, test_start);
            CPPUNIT_ASSERT(verdict.action == packet_action::forward);
            CPPUNIT_ASSERT_EQUAL(carrier, carrier_of(second, verdict));
        }
    }

    auto packets_without_configuration_are_dropped() -> void {
        auto state = forwarding_state{};
        state.known.platform = &test_platform();
        CPPUNIT_ASSERT(handle_packet(state, client_syn(1), current_view, test_start).action ==
                       packet_action::drop);
        CPPUNIT_ASSERT(handle_packet(state, data(1, 5, 0), current_view, test_start).action ==
                       packet_action::drop);
    }

    // A full target does not answer, so sending the client's retransmission to it again would be useless.
    auto retransmitted_syn_goes_to_another_target() -> void {
        auto state = test_state({{"i-1"}, {"i-2"}, {"i-3"}});
        auto names = std::set<std::string>{};
        for (auto retransmission = std::int64_t{0}; retransmission < 3; ++retransmission) {
            auto packet = client_syn(1);
            packet.acknowledgement = static_cast<std::uint32_t>(retransmission);
            names.insert(name_of(
                state, handle_packet(state, packet, current_view, test_start + 200 * retransmission)));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, names.size());
    }

    auto unanswered_syn_is_sent_to_another_target() -> void {
        auto state = test_state({{"i-1"}, {"i-2"}});
        auto context = current_view;
        context.syn_bytes[0] = 0x5a;
        const auto first = handle_packet(state, client_syn(1), context, test_start);
        CPPUNIT_ASSERT(collect_syn_retries(state, test_start + (initial_syn_timeout_ms - 1)).empty());
        const auto retries = collect_syn_retries(state, test_start + initial_syn_timeout_ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, retries.size());
        CPPUNIT_ASSERT(retries[0].target != first.target);
        CPPUNIT_ASSERT_EQUAL(std::uint8_t{0x5a}, retries[0].packet[0]);
    }

    auto answered_syn_is_not_sent_again() -> void {
        auto state = test_state({{"i-1"}, {"i-2"}});
        open_flow(state, 1, test_start);
        CPPUNIT_ASSERT(collect_syn_retries(state, test_start + 1000).empty());
    }

    auto syn_is_sent_to_a_bounded_number_of_targets() -> void {
        auto state = test_state({{"i-1"}, {"i-2"}, {"i-3"}, {"i-4"}, {"i-5"}});
        handle_packet(state, client_syn(1), current_view, test_start);
        auto sent = std::size_t{1};
        for (auto at = test_start; at < test_start + client_attempt_limit_ms; at = at + 5) {
            sent += collect_syn_retries(state, at).size();
        }
        // The client has sent no copy, so it may have given up.
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, sent);
    }

    auto copies_are_sent_to_a_bounded_number_of_targets() -> void {
        auto state = test_state({{"i-1"}, {"i-2"}, {"i-3"}, {"i-4"}, {"i-5"}});
        auto tried = std::set<std::string>{};
        for (auto ms = std::int64_t{0}; ms < client_attempt_limit_ms; ms += 5) {
            for (const auto copy : {0U, 1U, 2U}) {
                auto packet = client_syn(1);
                packet.acknowledgement = copy;
                if (ms == attempt_age_ms(copy)) {
                    tried.insert(name_of(state, handle_packet(state, packet, current_view, test_start + ms)));
                }
            }
            for (const auto& retry : collect_syn_retries(state, test_start + ms)) {
                tried.insert(state.known.targets[retry.target].entry.name);
            }
        }
        CPPUNIT_ASSERT_EQUAL(syn_target_limit, tried.size());
    }

    auto silent_target_is_suspected_and_tried_again_with_one_flow() -> void {
        auto state = test_state({{"i-1"}, {"i-2"}});
        // Each flow that i-1 does not answer is answered by i-2.
        auto port = std::uint16_t{1};
        auto at = test_start;
        const auto is_suspect = [&] { return load(state, "i-1").suspect_until > at; };
        for (; !is_suspect(); ++port, at = at + 100) {
            CPPUNIT_ASSERT(port < 100);
            const auto verdict = handle_packet(state, client_syn(port), current_view, at);
            auto answered = at + answer_ms;
            if (name_of(state, verdict) == "i-1") {
                collect_syn_retries(state, at + initial_syn_timeout_ms);
                answered = answered + initial_syn_timeout_ms;
            }
            handle_packet(state, handshake_ack(port, 2), current_view, answered);
        }
        for (auto i = 0; i < 20; ++i, ++port) {
            CPPUNIT_ASSERT_EQUAL(std::string("i-2"),
                                 name_of(state, handle_packet(state, client_syn(port), current_view, at)));
            handle_packet(state, handshake_ack(port, 2), current_view, at);
        }
        at = load(state, "i-1").suspect_until;
        auto tried = 0;
        for (auto i = 0; i < 20; ++i, ++port) {
            tried +=
                name_of(state, handle_packet(state, client_syn(port), current_view, at)) == "i-1" ? 1 : 0;
        }
        CPPUNIT_ASSERT_EQUAL(1, tried);
    }

    // While a zone is unreachable, each trial of one of its targets delays a client.
    auto silent_target_is_tried_at_growing_intervals() -> void {
        auto state = test_state({{"i-1"}, {"i-2"}});
        auto trials = 0;
        auto port = std::uint16_t{1};
        constexpr std::int64_t length_ms = 12000;
        for (auto at = test_start; at < test_start + length_ms; at = at + 50, ++port) {
            const auto verdict = handle_packet(state, client_syn(port), current_view, at);
            const auto is_sent = verdict.action == packet_action::forward;
            const auto is_trial = is_sent && name_of(state, verdict) == "i-1";
            trials += is_trial ? 1 : 0;
            collect_syn_retries(state, at + initial_syn_timeout_ms);
            const auto answered = at + answer_ms + (is_trial ? initial_syn_timeout_ms : 0);
            handle_packet(state, handshake_ack(port, 2), current_view, answered);
            collect_waited_syns(state, at + initial_syn_timeout_ms);
            auto last = handshake_ack(port, 2);
            last.is_fin = true;
            handle_packet(state, last, current_view, answered + 1);
        }
        // Two unanswered SYNs make it a suspect; then come pauses of 0.8, 1.6, 3.2 and 3.2 s.
        CPPUNIT_ASSERT_MESSAGE(std::to_string(trials), trials >= 5 && trials <= 7);
    }

    auto draining_target_gets_no_new_flow() -> void {
        auto state = test_state({{"i-1"}, {"i-2", "desk", "a", "10.1.64.2:8000", "draining"}});
        for (auto port = std::uint16_t{1}; port < 30; ++port) {
            CPPUNIT_ASSERT_EQUAL(std::string("i-1"), name_of(state, handle_packet(state, client_syn(port),
                                                                                  current_view, test_start)));
        }
    }

    auto flow_of_a_draining_target_goes_on() -> void {
        auto state = test_state({{"i-1"}});
        const auto carrier = open_flow(state, 1, test_start);
        apply_item(state.known, target_item({"i-1", "desk", "a", "10.1.64.1:8000", "draining"}, 10),
                   test_start);
        const auto verdict = handle_packet(state, data(1, carrier, 0), current_view, test_start);
        CPPUNIT_ASSERT(verdict.action == packet_action::forward);
    }

    // A route may have been added a moment ago; with an old view the client's retransmission may find it.
    auto unknown_route_is_reset_only_with_a_current_view() -> void {
        auto state = test_state({{"i-1"}});
        CPPUNIT_ASSERT(handle_packet(state, client_syn(1, 999), current_view, test_start).action ==
                       packet_action::reset);
        CPPUNIT_ASSERT(handle_packet(state, client_syn(2, 999), old_view, test_start).action ==
                       packet_action::drop);
    }

    auto dropped_route_ends_its_flows() -> void {
        auto state = test_state({{"i-1"}}, {{443}, {8443}});
        const auto carrier = open_flow(state, 1, test_start);
        apply_item(state.known, routes_item({{8443}}, 2, 10), test_start);
        const auto verdict = handle_packet(state, data(1, carrier, 0), current_view, test_start);
        CPPUNIT_ASSERT(verdict.action == packet_action::reset);
        CPPUNIT_ASSERT(verdict.reason == packet_reason::unknown_route);
    }

    auto flow_stays_with_the_old_service_of_its_route() -> void {
        auto state = test_state({{"i-1"}, {"i-2", "archive"}});
        const auto carrier = open_flow(state, 1, test_start);
        apply_item(state.known, routes_item({{443, "archive"}}, 2, 10), test_start);
        const auto old_flow = handle_packet(state, data(1, carrier, 0), current_view, test_start);
        CPPUNIT_ASSERT_EQUAL(std::string("i-1"), name_of(state, old_flow));
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{2}, open_flow(state, 2, test_start));
    }

    // Clients may forge carriers; a forged one must not reach another service.
    auto carrier_of_another_service_is_not_followed() -> void {
        auto state = test_state({{"i-1"}, {"i-2", "archive"}});
        const auto verdict = handle_packet(state, data(1, 2, 0), current_view, test_start);
        CPPUNIT_ASSERT(verdict.action == packet_action::drop);
        CPPUNIT_ASSERT(verdict.reason == packet_reason::foreign_carrier);
    }

    auto unknown_carrier_is_reset_only_when_it_stays_unknown() -> void {
        auto state = test_state({{"i-1"}});
        const auto packet = data(1, 77, 0);
        CPPUNIT_ASSERT(handle_packet(state, packet, current_view, test_start).action == packet_action::drop);
        auto with_old_view = state;
        CPPUNIT_ASSERT(handle_packet(with_old_view, packet, old_view, test_start + 200).action ==
                       packet_action::drop);
        auto with_target = state;
        apply_item(with_target.known, target_item({"i-4d"}, 10), test_start);
        CPPUNIT_ASSERT(handle_packet(with_target, packet, current_view, test_start + 200).action ==
                       packet_action::forward);
        CPPUNIT_ASSERT(handle_packet(state, packet, current_view, test_start + 200).action ==
                       packet_action::reset);
    }

    auto flow_of_a_target_that_left_is_reset() -> void {
        auto state = test_state({{"i-1"}});
        const auto carrier = open_flow(state, 1, test_start);
        apply_item(state.known, target_item({"i-1", "desk", "a", "10.1.64.1:8000", "draining"}, 10),
                   test_start);
        apply_item(state.known, removal_item("i-1", 11), test_start);
        const auto verdict = handle_packet(state, data(1, carrier, 0), current_view, test_start);
        CPPUNIT_ASSERT(verdict.action == packet_action::reset);
        CPPUNIT_ASSERT(verdict.reason == packet_reason::target_left);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, load(state, "i-1").open_flows);
    }

    // A target that is cut off from the store, but not from its clients, may go on serving after its
    // registration has lapsed.
    auto flow_of_a_vanished_target_is_reset_when_the_client_retransmits() -> void {
        auto state = test_state({{"i-1"}});
        const auto carrier = open_flow(state, 1, test_start);
        apply_item(state.known, removal_item("i-1", 10), test_start);
        const auto request = data(1, carrier, 0);
        CPPUNIT_ASSERT(handle_packet(state, request, current_view, test_start).action ==
                       packet_action::forward);
        CPPUNIT_ASSERT(handle_packet(state, request, current_view, test_start + 200).action ==
                       packet_action::reset);
    }

    // Sends data of these flows and their first retransmissions.
    static auto stall(forwarding_state& state, const std::vector<std::uint16_t>& ports, std::uint32_t offset,
                      time_ms at) -> void {
        for (const auto port : ports) {
            handle_packet(state, data(port, 1, offset), current_view, at);
        }
        for (const auto port : ports) {
            const auto verdict = handle_packet(state, data(port, 1, offset), current_view, at + 200);
            CPPUNIT_ASSERT(verdict.action == packet_action::forward);
        }
    }

    // Retransmits on one flow of the target, which every host then finds unresponsive or not.
    static auto retransmit_once(forwarding_state& state, std::uint16_t port, time_ms at) -> void {
        handle_packet(state, data(port, 1, 0), current_view, at);
        settle_liveness(state, at);
    }

    // Sends SYNs to the target under a liveness check, which another target answers after the time-out.
    static auto send_unanswered_syns(forwarding_state& state, std::uint16_t first_port, time_ms at) -> void {
        for (auto i = std::uint16_t{0}; i < failed_check_after_syns; ++i) {
            const auto port = static_cast<std::uint16_t>(first_port + i);
            CPPUNIT_ASSERT_EQUAL(std::string("i-1"),
                                 name_of(state, handle_packet(state, client_syn(port), current_view, at)));
        }
        collect_syn_retries(state, at + initial_syn_timeout_ms);
        for (auto i = std::uint16_t{0}; i < failed_check_after_syns; ++i) {
            handle_packet(state, handshake_ack(static_cast<std::uint16_t>(first_port + i), 2), current_view,
                          at + initial_syn_timeout_ms);
        }
    }

    auto flows_of_a_dead_target_are_reset() -> void {
        auto state = test_state({{"i-1"}, {"i-2"}});
        const auto ports = flows_at(state, 1, 4);
        stall(state, ports, 0, test_start);
        send_unanswered_syns(state, 900, test_start + 210);
        retransmit_once(state, ports[0], test_start + 600);
        // Flows that wait for a response are reset at once, others with their next data.
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, state.flows_to_reset.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, state.presumed_dead_targets.size());
        const auto verdict = handle_packet(state, data(777, 1, 0), current_view, test_start + 610);
        CPPUNIT_ASSERT(verdict.reason == packet_reason::target_dead);
        for (auto port = std::uint16_t{1000}; port < 1020; ++port) {
            CPPUNIT_ASSERT_EQUAL(
                std::string("i-2"),
                name_of(state, handle_packet(state, client_syn(port), current_view, test_start + 620)));
        }
    }

    // A reset does not tell the client whether its non-idempotent request has run.
    auto filings_of_a_dead_target_are_not_reset() -> void {
        auto state = test_state({{"i-1"}, {"i-2"}}, {{443, "desk", "non_idempotent"}});
        const auto ports = flows_at(state, 1, 4);
        stall(state, ports, 0, test_start);
        send_unanswered_syns(state, 900, test_start + 210);
        retransmit_once(state, ports[0], test_start + 600);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, state.presumed_dead_targets.size());
        CPPUNIT_ASSERT(state.flows_to_reset.empty());
    }

    // Under overload all requests take longer than the first retransmission delay, but SYNs are answered.
    auto overloaded_target_that_answers_syns_is_not_dead() -> void {
        auto state = test_state({{"i-1"}, {"i-2"}});
        const auto ports = flows_at(state, 1, 4);
        stall(state, ports, 0, test_start);
        CPPUNIT_ASSERT_EQUAL(
            std::string("i-1"),
            name_of(state, handle_packet(state, client_syn(900), current_view, test_start + 210)));
        handle_packet(state, handshake_ack(900, 1), current_view, test_start + 220);
        collect_syn_retries(state, test_start + 300);
        for (const auto port : ports) {
            const auto verdict = handle_packet(state, data(port, 1, 0), current_view, test_start + 600);
            CPPUNIT_ASSERT(verdict.action == packet_action::forward);
        }
        settle_liveness(state, test_start + 600);
        CPPUNIT_ASSERT(state.presumed_dead_targets.empty());
    }

    // Old stalls, as of an earlier outage, must not make the first slow request count as the fourth.
    auto old_stalls_do_not_count() -> void {
        auto state = test_state({{"i-1"}, {"i-2"}});
        const auto ports = flows_at(state, 1, 4);
        stall(state, {ports[0], ports[1]}, 0, test_start);
        stall(state, {ports[2], ports[3]}, 0, test_start + 5000);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{2}, load(state, "i-1").stalled_flows);
        CPPUNIT_ASSERT(load(state, "i-1").liveness_check_since == time_ms{});
    }

    // One SYN may be lost, or the flow may go on through another host.
    auto one_unanswered_syn_does_not_fail_a_liveness_check() -> void {
        auto state = test_state({{"i-1"}, {"i-2"}});
        const auto ports = flows_at(state, 1, 4);
        stall(state, ports, 0, test_start);
        handle_packet(state, client_syn(900), current_view, test_start + 210);
        collect_syn_retries(state, test_start + 210 + initial_syn_timeout_ms);
        retransmit_once(state, ports[0], test_start + 590);
        CPPUNIT_ASSERT(state.presumed_dead_targets.empty());
        CPPUNIT_ASSERT(handle_packet(state, data(ports[0], 1, 0), current_view, test_start + 600).action ==
                       packet_action::forward);
    }

    // Happens when the host's own link is full: no target answers a SYN, and flows of all targets stall.
    auto missing_answers_of_all_targets_make_none_dead() -> void {
        auto state = test_state({{"i-1"}, {"i-2"}, {"i-3"}});
        const auto ports = flows_at(state, 1, 4);
        stall(state, ports, 0, test_start);
        for (auto port = std::uint16_t{900}; port < 910; ++port) {
            handle_packet(state, client_syn(port), current_view, test_start + 210);
        }
        for (auto at = test_start + 210; at < test_start + 600; at = at + 5) {
            collect_syn_retries(state, at);
        }
        retransmit_once(state, ports[0], test_start + 600);
        CPPUNIT_ASSERT(state.presumed_dead_targets.empty());
        for (const auto* name : {"i-1", "i-2", "i-3"}) {
            CPPUNIT_ASSERT(load(state, name).suspect_until == time_ms{});
        }
    }

    auto target_that_answers_only_syns_is_hung() -> void {
        auto state = test_state({{"i-1"}, {"i-2"}});
        const auto ports = flows_at(state, 1, 4);
        auto at = test_start;
        for (auto check = std::uint32_t{0}; check < hung_after_liveness_checks; ++check, at = at + 300) {
            stall(state, ports, 100 * check, at);
            const auto port = static_cast<std::uint16_t>(900 + check);
            CPPUNIT_ASSERT_EQUAL(std::string("i-1"), name_of(state, handle_packet(state, client_syn(port),
                                                                                  current_view, at + 210)));
            handle_packet(state, handshake_ack(port, 1), current_view, at + 220);
            CPPUNIT_ASSERT(state.presumed_dead_targets.empty());
        }
        auto resets = 0;
        for (const auto step : {0, 200}) {
            for (const auto port : ports) {
                const auto verdict = handle_packet(state, data(port, 1, 1000), current_view, at + step);
                resets += verdict.reason == packet_reason::target_dead ? 1 : 0;
                settle_liveness(state, at + step);
            }
        }
        // The first three stall, and the third shows that the target is hung.
        CPPUNIT_ASSERT_EQUAL(1, resets);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, state.presumed_dead_targets.size());
    }

    // Requests that wait in a target's queue are retransmitted too, but another flow gets its response.
    auto slow_target_with_progress_is_not_dead() -> void {
        auto state = test_state({{"i-1"}});
        const auto ports = flows_at(state, 1, 5);
        for (const auto port : ports) {
            handle_packet(state, data(port, 1, 0), current_view, test_start);
        }
        handle_packet(state, data(ports[0], 1, 100, 500), current_view, test_start + 150);
        for (const auto port : {ports[1], ports[2], ports[3], ports[4]}) {
            const auto verdict = handle_packet(state, data(port, 1, 0), current_view, test_start + 300);
            CPPUNIT_ASSERT(verdict.action == packet_action::forward);
        }
    }

    // After a power failure all clients retransmit to hosts that have seen no progress of any target yet.
    auto retransmissions_after_a_host_start_make_no_target_dead() -> void {
        auto state = test_state({{"i-1"}});
        for (const auto at : {0, 10, 40}) {
            for (auto port = std::uint16_t{1}; port <= 6; ++port) {
                const auto verdict = handle_packet(state, data(port, 1, 0), current_view, test_start + at);
                CPPUNIT_ASSERT(verdict.action == packet_action::forward);
            }
        }
    }

    // An idle target has made no progress for long, and clients retransmit after 200 ms.
    auto slow_requests_make_no_target_dead() -> void {
        auto state = test_state({{"i-1"}});
        const auto ports = flows_at(state, 1, 4);
        handle_packet(state, data(ports[0], 1, 0), current_view, test_start);
        handle_packet(state, data(ports[0], 1, 100, 500), current_view, test_start + 50);
        handle_packet(state, data(ports[0], 1, 200, 900), current_view, test_start + 100);
        for (const auto at : {5000, 5200, 5230}) {
            for (const auto port : {ports[1], ports[2], ports[3]}) {
                const auto verdict = handle_packet(state, data(port, 1, 0), current_view, test_start + at);
                CPPUNIT_ASSERT(verdict.action == packet_action::forward);
            }
        }
    }

    auto two_retransmitting_flows_make_no_target_dead() -> void {
        auto state = test_state({{"i-1"}});
        for (const auto port : flows_at(state, 1, 2)) {
            for (const auto at : {0, 300, 700, 1400}) {
                const auto verdict = handle_packet(state, data(port, 1, 0), current_view, test_start + at);
                CPPUNIT_ASSERT(verdict.action == packet_action::forward);
            }
        }
    }

    auto counts_return_to_zero() -> void {
        auto state = test_state({{"i-1"}, {"i-2"}, {"i-3"}});
        for (auto port = std::uint16_t{1}; port < 40; ++port) {
            handle_packet(state, client_syn(port), current_view, test_start);
            const auto retries = collect_syn_retries(state, test_start + initial_syn_timeout_ms);
            const auto carrier = retries.empty() ? 1U : state.known.targets[retries[0].target].entry.carrier;
            handle_packet(state, handshake_ack(port, carrier), current_view, test_start + 40);
            handle_packet(state, data(port, carrier, 0), current_view, test_start + 50);
            if (port % 3 != 0) {
                auto last = handshake_ack(port, carrier);
                last.sequence += 100;
                last.acknowledgement += 700;
                last.is_fin = true;
                handle_packet(state, last, current_view, test_start + 100);
            }
        }
        handle_packet(state, client_syn(900), current_view, test_start);
        expire_flows(state, 15000, test_start + 20000);
        CPPUNIT_ASSERT(state.flows.empty());
        for (const auto* name : {"i-1", "i-2", "i-3"}) {
            CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, load(state, name).open_flows);
            CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, load(state, name).busy_flows);
            CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, load(state, name).pending_syns);
        }
    }

    // The client has given up or opened through another host; a delayed SYN would take a slot in vain.
    auto syn_received_during_a_pause_is_dropped() -> void {
        auto state = test_state({{"i-1"}, {"i-2"}});
        const auto verdict = handle_packet(state, client_syn(1), after_pause, test_start);
        CPPUNIT_ASSERT(verdict.action == packet_action::drop);
        CPPUNIT_ASSERT(verdict.reason == packet_reason::waited_opening);
        CPPUNIT_ASSERT(state.flows.empty());
        CPPUNIT_ASSERT(state.pending.empty());
    }

    // Data and its retransmissions wait together in the socket of a paused process.
    auto packets_received_during_a_pause_make_no_target_dead() -> void {
        auto state = test_state({{"i-1"}});
        const auto carrier =
            carrier_of(state, handle_packet(state, client_syn(99), current_view, test_start));
        auto at = test_start;
        for (auto port = std::uint16_t{1}; port <= 4; ++port) {
            open_flow(state, port, at);
            handle_packet(state, data(port, carrier, 0), current_view, at);
        }
        at = at + 3000;
        record_pause(state, at);
        for (const auto context : {after_pause, current_view}) {
            for (auto port = std::uint16_t{1}; port <= 4; ++port) {
                const auto verdict = handle_packet(state, data(port, carrier, 0), context, at);
                CPPUNIT_ASSERT(verdict.action == packet_action::forward);
            }
        }
    }

    // The answers went through other hosts during the pause.
    auto pause_of_this_host_makes_no_target_a_suspect() -> void {
        auto state = test_state({{"i-1"}, {"i-2"}});
        for (auto port = std::uint16_t{1}; port <= 6; ++port) {
            handle_packet(state, client_syn(port), current_view, test_start);
        }
        record_pause(state, test_start);
        CPPUNIT_ASSERT(collect_syn_retries(state, test_start + 3000).empty());
        for (const auto* name : {"i-1", "i-2"}) {
            CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, load(state, name).unanswered_syns);
            CPPUNIT_ASSERT(load(state, name).suspect_until == time_ms{});
        }
    }

    // The last packet of a response may not be acknowledged until the next request.
    auto request_without_response_stops_counting() -> void {
        auto state = test_state({{"i-1"}});
        const auto carrier = open_flow(state, 1, test_start);
        handle_packet(state, data(1, carrier, 0), current_view, test_start);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{1}, load(state, "i-1").busy_flows);
        expire_flows(state, 15000, test_start + busy_limit_ms + 1);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, load(state, "i-1").busy_flows);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{1}, load(state, "i-1").open_flows);
    }

    auto reset_of_a_second_syn_ack_does_not_end_the_flow() -> void {
        auto state = test_state({{"i-1"}, {"i-2"}});
        const auto carrier = open_flow(state, 1, test_start);
        auto reset = handshake_ack(1, 3 - carrier);
        reset.is_rst = true;
        CPPUNIT_ASSERT_EQUAL(3 - carrier,
                             carrier_of(state, handle_packet(state, reset, current_view, test_start)));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, state.flows.size());
    }

    auto service_without_targets_is_refused_at_once() -> void {
        auto state = test_state({}, {{443, "nobody"}});
        const auto verdict = handle_packet(state, client_syn(1), current_view, test_start);
        CPPUNIT_ASSERT(verdict.action == packet_action::reset);
        CPPUNIT_ASSERT(verdict.reason == packet_reason::no_target);
    }

    // The last target has just left; another host may have sent the first SYN to it.
    auto copy_without_targets_is_not_refused() -> void {
        auto state = test_state({}, {{443, "nobody"}});
        auto copy = client_syn(1);
        copy.acknowledgement = 1;
        CPPUNIT_ASSERT(handle_packet(state, copy, current_view, test_start).action == packet_action::drop);
        mark_cut_off(state.reach, test_start);
        CPPUNIT_ASSERT(handle_packet(state, copy, current_view, test_start + 1).action ==
                       packet_action::drop);
    }

    // Feeds at port 443, and filings at 8080, which have the highest priority. Requests take 60 ms.
    static auto state_with_priorities(const std::vector<test_target>& targets) -> forwarding_state {
        auto state = test_state(
            targets, {{443, "desk", "idempotent", 250, 2}, {8080, "desk", "non_idempotent", 300, 1}});
        for (auto& [key, route] : state.known.routes) {
            route.request_ms = 60;
            route.requests = route_in_use_requests;
        }
        update_route_priorities(state.known);
        return state;
    }

    static auto set_busy(forwarding_state& state, const std::string& name, std::uint32_t peer_busy_flows)
        -> void {
        state.known.targets[state.known.by_name.at(name)].load.peer_busy_flows = peer_busy_flows;
    }

    // The expected times are 30, 240 and 720 ms with two slots.
    auto overload_refuses_the_highest_priority_last() -> void {
        auto state = state_with_priorities({{"i-1"}});
        auto port = std::uint16_t{1};
        const auto reason_of = [&](std::uint16_t service_port) {
            return handle_packet(state, client_syn(++port, service_port), old_view, test_start).reason;
        };
        set_busy(state, "i-1", 1);
        CPPUNIT_ASSERT(reason_of(443) == packet_reason::opened);
        set_busy(state, "i-1", 8);
        // A sustained overload.
        auto& queue = state.queues["desk"];
        record_overload(queue, {}, test_start + -surge_ms);
        queue.last_overloaded = test_start;
        CPPUNIT_ASSERT(reason_of(443) == packet_reason::overloaded);
        CPPUNIT_ASSERT(reason_of(8080) == packet_reason::opened);
        set_busy(state, "i-1", 24);
        CPPUNIT_ASSERT(reason_of(443) == packet_reason::overloaded);
        CPPUNIT_ASSERT(reason_of(8080) == packet_reason::waits_for_target);
    }

    // A refusal would end an attempt that a target has accepted.
    auto retransmissions_of_an_admitted_syn_are_not_refused() -> void {
        auto state = state_with_priorities({{"i-1"}, {"i-2"}});
        handle_packet(state, client_syn(1), current_view, test_start);
        set_busy(state, "i-1", 50);
        set_busy(state, "i-2", 50);
        const auto verdict = handle_packet(state, client_syn(1), current_view, test_start + 200);
        CPPUNIT_ASSERT(verdict.action == packet_action::forward);
        // The first SYN may have gone through another host.
        auto retransmission = client_syn(2);
        retransmission.acknowledgement = 1;
        CPPUNIT_ASSERT(handle_packet(state, retransmission, current_view, test_start + 200).action ==
                       packet_action::hold);
        // The retransmission waits no longer than its client, which sends its last copy after 600 ms.
        retransmission.acknowledgement = 2;
        handle_packet(state, retransmission, current_view, test_start + 600);
        const auto taken = collect_waited_syns(state, test_start + 1400);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, taken.size());
        CPPUNIT_ASSERT(taken[0].reason == packet_reason::opened);
        // In a sustained overload it is placed at once.
        auto& queue = state.queues["desk"];
        queue.overloaded_since = test_start;
        queue.last_overloaded = test_start + 1400;
        retransmission = client_syn(3);
        retransmission.acknowledgement = 1;
        CPPUNIT_ASSERT(handle_packet(state, retransmission, current_view, test_start + 1400).action ==
                       packet_action::forward);
    }

    // Feeds go to the target with the fewest open flows, which may be a busy one.
    auto less_busy_target_is_chosen_before_a_refusal() -> void {
        auto state = state_with_priorities({{"i-1"}, {"i-2"}});
        set_busy(state, "i-1", 8);
        state.known.targets[state.known.by_name.at("i-2")].load.peer_open_flows = 200;
        const auto verdict = handle_packet(state, client_syn(1), current_view, test_start);
        CPPUNIT_ASSERT(verdict.action == packet_action::forward);
        CPPUNIT_ASSERT_EQUAL(std::string("i-2"), name_of(state, verdict));
    }

    // Operators try each new route with a few requests; its priority must not delay the others.
    auto rarely_used_route_takes_no_priority() -> void {
        auto state = state_with_priorities({{"i-1"}});
        state.known.routes.at(route_key(test_service_address, 8080)).requests = route_in_use_requests - 1;
        update_route_priorities(state.known);
        CPPUNIT_ASSERT(state.known.routes.at(route_key(test_service_address, 443)).is_highest_priority);
    }

    // The probes of a route of the highest priority add up over a day; they must not get filings refused.
    auto probed_route_takes_no_priority_over_busy_routes() -> void {
        auto state = test_state({{"i-1"}}, {{443, "desk", "idempotent", 250, 2},
                                            {8080, "desk", "non_idempotent", 300, 1},
                                            {9000, "desk", "idempotent", 300, 0}});
        auto port = std::uint16_t{0};
        for (auto i = 0; i < 2000; ++i) {
            open_flow(state, ++port, test_start, i % 40 == 0 ? 9000 : i % 4 == 0 ? 8080 : 443);
        }
        const auto& routes = state.known.routes;
        CPPUNIT_ASSERT(routes.at(route_key(test_service_address, 9000)).requests > route_in_use_requests);
        CPPUNIT_ASSERT(routes.at(route_key(test_service_address, 8080)).is_highest_priority);
        CPPUNIT_ASSERT(routes.at(route_key(test_service_address, 8080)).has_lower_priority_route);
        CPPUNIT_ASSERT(!routes.at(route_key(test_service_address, 443)).is_highest_priority);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(edge_forwarding_test);

}  // namespace agatepost::edge
