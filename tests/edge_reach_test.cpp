// Reachability of targets: a host that is cut off from the targets refuses SYNs of clients, and a host whose
// targets are only full does not.

#include "edge/suspicion_func.h"
#include "edge_test_func.h"

namespace agatepost::edge {

namespace {

constexpr std::int64_t step_ms = 5;
constexpr std::size_t target_count = 4;

auto four_targets() -> std::vector<test_target> {
    return {{"i-1"}, {"i-2"}, {"i-3"}, {"i-4"}};
}

// Clients that open flows at a steady rate; no target answers.
struct unreachable_targets {
    forwarding_state state = test_state(four_targets());
    time_ms at = test_start;
    std::uint16_t port = 0;

    // Sends SYNs for this time. Returns how many are not reset.
    auto run(std::int64_t ms) -> int {
        auto taken = 0;
        for (const auto end = at + ms; at < end; at = at + step_ms) {
            const auto verdict = handle_packet(state, client_syn(++port), current_view, at);
            taken += verdict.action != packet_action::reset ? 1 : 0;
            collect_syn_retries(state, at);
            collect_waited_syns(state, at);
        }
        return taken;
    }
};

}  // namespace

class edge_reach_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(edge_reach_test);
    CPPUNIT_TEST(host_that_reaches_no_target_refuses_at_once);
    CPPUNIT_TEST(answer_ends_the_cut_off_state);
    CPPUNIT_TEST(full_targets_do_not_mean_cut_off);
    CPPUNIT_TEST(few_unanswered_syns_do_not_mean_cut_off);
    CPPUNIT_TEST(silent_targets_of_one_zone_do_not_mean_cut_off);
    CPPUNIT_TEST(cut_off_host_tries_again_when_other_hosts_are_heard);
    CPPUNIT_TEST_SUITE_END();

public:
    auto host_that_reaches_no_target_refuses_at_once() -> void {
        auto clients = unreachable_targets{};
        clients.run(500);
        CPPUNIT_ASSERT(is_cut_off(clients.state.reach, clients.at));
        // SYNs that probe the targets are still sent.
        CPPUNIT_ASSERT(clients.run(1000) <= 1000 / cut_off_probe_interval_ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, count_waiting_syns(clients.state.queues));
    }

    auto answer_ends_the_cut_off_state() -> void {
        auto clients = unreachable_targets{};
        clients.run(500);
        clients.at = clients.at + cut_off_probe_interval_ms;
        const auto verdict = handle_packet(clients.state, client_syn(9000), current_view, clients.at);
        CPPUNIT_ASSERT(verdict.action == packet_action::forward);
        handle_packet(clients.state, handshake_ack(9000, carrier_of(clients.state, verdict)), current_view,
                      clients.at + 5);
        CPPUNIT_ASSERT(!is_cut_off(clients.state.reach, clients.at + 5));
        CPPUNIT_ASSERT(handle_packet(clients.state, client_syn(9001), current_view, clients.at + 6).action !=
                       packet_action::reset);
    }

    // SYNs stay unanswered, but requests of open flows get responses.
    auto full_targets_do_not_mean_cut_off() -> void {
        auto clients = unreachable_targets{};
        for (auto i = 1U; i <= target_count; ++i) {
            handle_packet(clients.state, handshake_ack(static_cast<std::uint16_t>(8000 + i), i), current_view,
                          clients.at);
        }
        for (auto round = 0U; round < 20; ++round) {
            handle_packet(clients.state, data(8001, 1, 100 * round, 500 * round), current_view, clients.at);
            clients.run(100);
            CPPUNIT_ASSERT(!is_cut_off(clients.state.reach, clients.at));
        }
    }

    auto few_unanswered_syns_do_not_mean_cut_off() -> void {
        auto state = test_state(four_targets());
        for (auto port = std::uint16_t{1}; port < 3; ++port) {
            handle_packet(state, client_syn(port), current_view, test_start);
        }
        for (auto at = test_start; at < test_start + 100; at = at + step_ms) {
            collect_syn_retries(state, at);
        }
        CPPUNIT_ASSERT(!is_cut_off(state.reach, test_start + 100));
    }

    // All targets of the host's zone died, and no SYN has gone to another zone yet.
    auto silent_targets_of_one_zone_do_not_mean_cut_off() -> void {
        auto known = test_state({{"i-1"}, {"i-2"}, {"i-4", "desk", "b"}}).known;
        known.targets[known.by_name.at("i-1")].load.syn_backoffs = 1;
        known.targets[known.by_name.at("i-2")].load.syn_backoffs = 1;
        CPPUNIT_ASSERT(!are_targets_silent(known));
        known.targets[known.by_name.at("i-4")].load.syn_backoffs = 1;
        CPPUNIT_ASSERT(are_targets_silent(known));
    }

    auto cut_off_host_tries_again_when_other_hosts_are_heard() -> void {
        auto clients = unreachable_targets{};
        clients.run(500);
        auto alone = clients.state.reach;
        const auto later = clients.at + cut_off_pause_ms;
        CPPUNIT_ASSERT(is_cut_off(alone, later));
        clients.state.reach.last_peer_heard = later;
        CPPUNIT_ASSERT(!is_cut_off(clients.state.reach, later));
        CPPUNIT_ASSERT(!is_cut_off(alone, clients.at + max_cut_off_pause_ms));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(edge_reach_test);

}  // namespace agatepost::edge
