// Liveness queries: a target that answers clients of any host is not presumed dead, and one that answers none
// is, also while hosts are away.

#include <cppunit/extensions/HelperMacros.h>

#include "edge/suspicion_func.h"
#include "edge_test_func.h"

namespace agatepost::edge {

namespace {

constexpr std::int64_t running_host_uptime_ms = 60000;
constexpr std::int64_t asked_at_ms = 700;
constexpr std::uint32_t never = UINT32_MAX;

// A host whose target i-1 is unresponsive towards it, and the other hosts of its fleet.
struct asking_host {
    forwarding_state state = test_state({{"i-1"}, {"i-2"}, {"i-3"}});
    peer_group group;
    std::vector<liveness_query> queries;
    time_ms now = test_start + asked_at_ms;

    explicit asking_host(std::uint32_t other_hosts) {
        group.own_address = 1;
        group.zone = "a";
        for (auto address = 2U; address < 2 + other_hosts; ++address) {
            hear(address);
        }
        for (auto port = std::uint16_t{1}; port <= 4; ++port) {
            handle_packet(state, handshake_ack(port, 1), current_view, test_start);
            handle_packet(state, data(port, 1, 0), current_view, test_start);
        }
        for (auto port = std::uint16_t{1}; port <= 4; ++port) {
            handle_packet(state, data(port, 1, 0), current_view, test_start + 200);
        }
        for (const auto port : {std::uint16_t{91}, std::uint16_t{92}}) {
            handle_packet(state, client_syn(port), current_view, test_start + 210);
        }
        for (const auto& retry : collect_syn_retries(state, test_start + 210 + initial_syn_timeout_ms)) {
            const auto carrier = state.known.targets[retry.target].entry.carrier;
            handle_packet(state, handshake_ack(retry.flow.client_port, carrier), current_view,
                          test_start + 250);
        }
        handle_packet(state, data(1, 1, 0), current_view, now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, state.unresponsive_targets.size());
        begin_liveness_query(queries, state.known, state.unresponsive_targets[0], now);
        const auto question = unsent_question(queries, state.known);
        CPPUNIT_ASSERT(question.asked == std::vector<std::uint32_t>{1});
    }

    auto hear(std::uint32_t address) -> void {
        auto beat = heartbeat{};
        beat.zone = "a";
        beat.uptime_ms = running_host_uptime_ms;
        record_heartbeat(group, state.known, address, std::move(beat), now);
    }

    // Returns the number of targets found alive.
    auto answer(std::uint32_t host, std::uint32_t silent_ms) -> std::size_t {
        return record_liveness_answer(queries, state.known, host, {{}, {{1, silent_ms}}}, now);
    }

    auto dead() -> std::size_t { return collect_dead_targets(queries, state.known, group, now).size(); }
};

}  // namespace

class edge_liveness_query_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(edge_liveness_query_test);
    CPPUNIT_TEST(full_target_that_answers_other_hosts_is_not_presumed_dead);
    CPPUNIT_TEST(target_silent_towards_all_hosts_is_presumed_dead);
    CPPUNIT_TEST(host_that_is_gone_delays_no_decision);
    CPPUNIT_TEST(host_that_has_just_started_confirms_nothing);
    CPPUNIT_TEST(answer_to_a_client_of_this_host_ends_the_query);
    CPPUNIT_TEST(large_fleet_presumes_no_target_dead);
    CPPUNIT_TEST(messages_are_read_as_written);
    CPPUNIT_TEST(malformed_messages_are_rejected);
    CPPUNIT_TEST_SUITE_END();

public:
    // In a burst, clients of other hosts took the places that became free at the target, and the flows of
    // this host were reset.
    auto full_target_that_answers_other_hosts_is_not_presumed_dead() -> void {
        auto host = asking_host(2);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, host.answer(2, never));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, host.answer(3, 40));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, host.dead());
        CPPUNIT_ASSERT(host.queries.empty());
        CPPUNIT_ASSERT(!is_unresponsive(host.state.known, 0, host.now));
    }

    auto target_silent_towards_all_hosts_is_presumed_dead() -> void {
        auto host = asking_host(2);
        host.answer(2, never);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, host.dead());
        host.answer(3, 2000);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, host.dead());
        presume_dead(host.state, 0, host.now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, host.state.flows_to_reset.size());
    }

    auto host_that_is_gone_delays_no_decision() -> void {
        auto host = asking_host(2);
        host.answer(2, never);
        // Further flows stall meanwhile, so that the evidence stays recent.
        for (const auto at_ms : {asked_at_ms, asked_at_ms + 200}) {
            handle_packet(host.state, data(5, 1, 0), current_view, test_start + at_ms);
        }
        host.now = host.now + peer_silent_ms;
        host.hear(2);
        // The client of an open flow retransmits, and another target answers.
        handle_packet(host.state, data(1, 1, 0), current_view, host.now);
        handle_packet(host.state, data(7, 2, 0), current_view, host.now);
        auto answer = handshake_ack(7, 2);
        answer.acknowledgement += 500;
        handle_packet(host.state, answer, current_view, host.now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, host.dead());
    }

    auto host_that_has_just_started_confirms_nothing() -> void {
        auto known = test_state({{"i-1"}}).known;
        const auto question = liveness_message{{1, 99}, {}};
        extend_startup_grace(known, test_start, test_start);
        CPPUNIT_ASSERT(answer_question(known, question, test_start + 10).silences.empty());
        const auto answer = answer_question(known, question, test_start + startup_grace_ms);
        CPPUNIT_ASSERT(answer.silences == std::vector<target_silence>{(target_silence{1, never})});
        record_progress(known.targets[0].load, test_start + startup_grace_ms);
        CPPUNIT_ASSERT_EQUAL(
            std::uint32_t{30},
            answer_question(known, question, test_start + startup_grace_ms + 30).silences.at(0).silent_ms);
    }

    auto answer_to_a_client_of_this_host_ends_the_query() -> void {
        auto host = asking_host(1);
        host.answer(2, never);
        record_progress(host.state.known.targets[0].load, host.now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, host.dead());
        CPPUNIT_ASSERT(host.queries.empty());
    }

    // Not all hosts are known there, so one that sees the target answer may be missed.
    auto large_fleet_presumes_no_target_dead() -> void {
        auto host = asking_host(large_fleet_peers);
        for (auto address = 2U; address < 2 + large_fleet_peers; ++address) {
            host.answer(address, never);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, host.dead());
    }

    auto messages_are_read_as_written() -> void {
        for (const auto& message : {liveness_message{{1, UINT32_MAX}, {}},
                                    liveness_message{{}, {{7, 40}, {8, never}}}, liveness_message{}}) {
            const auto read = decode_liveness_message(encode_liveness_message(message));
            CPPUNIT_ASSERT(read && *read == message);
        }
    }

    auto malformed_messages_are_rejected() -> void {
        auto beat = heartbeat{};
        beat.zone = "a";
        CPPUNIT_ASSERT(!decode_liveness_message(encode_heartbeat(beat)));
        CPPUNIT_ASSERT(!decode_heartbeat(encode_liveness_message({{1}, {}})));
        const auto many = liveness_message{std::vector<std::uint32_t>(max_queried_targets + 1, 1), {}};
        CPPUNIT_ASSERT(!decode_liveness_message(encode_liveness_message(many)));
        const auto bytes = encode_liveness_message({{}, {{7, 40}}});
        for (auto size = std::size_t{0}; size < bytes.size(); ++size) {
            CPPUNIT_ASSERT(!decode_liveness_message(bytes.substr(0, size)));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(edge_liveness_query_test);

}  // namespace agatepost::edge
