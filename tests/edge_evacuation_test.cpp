// Guards against new flows at targets of an evacuated zone (rule EVAC), evacuations that outlast their key or
// end without cause, harm to open flows, and changes to deployments without evacuations.

#include "core/counter_func.h"
#include "core/log_func.h"
#include "edge/edge_log_func.h"
#include "edge/peer_group_base.h"
#include "edge/round_trip_func.h"
#include "edge_test_func.h"

namespace agatepost::edge {

using namespace std::string_literals;

class edge_evacuation_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(edge_evacuation_test);
    CPPUNIT_TEST(malformed_key_changes_nothing);
    CPPUNIT_TEST(new_syns_and_retries_avoid_the_zone);
    CPPUNIT_TEST(waiting_syns_avoid_the_zone);
    CPPUNIT_TEST(copy_avoids_the_zone_unless_its_flow_is_open);
    CPPUNIT_TEST(evacuation_ends_with_its_key);
    CPPUNIT_TEST(only_zone_of_a_service);
    CPPUNIT_TEST(without_the_key_decisions_are_as_before);
    CPPUNIT_TEST_SUITE_END();

    // Two targets in this host's zone "a" and one in "b".
    forwarding_state state_ =
        test_state({{"i-1"}, {"i-2"}, {"i-3", "desk", "b"}}, {{443, "desk", "download", 500}});
    std::string log_;

    // Writes or removes the key of a zone at the next revision, and logs the change.
    static auto evacuate(forwarding_state& state, const std::string& zone, bool is_removed = false) -> void {
        const auto item = store_item{"op/evacuate/" + zone, "{}", ++state.known.revision, is_removed};
        const auto outcome = apply_item(state.known, item, test_start);
        if (outcome.change != directory_change::none) {
            log_item(item, outcome, state.known);
        }
    }

    // Sends a SYN or one of its copies. Returns its target, or what is done instead and why.
    static auto send(forwarding_state& state, std::uint16_t port, std::uint32_t copy = 0) -> std::string {
        auto packet = client_syn(port);
        packet.acknowledgement = copy;
        const auto verdict = handle_packet(state, packet, current_view, test_start + std::int64_t{10} * copy);
        const auto reason = std::string(to_text(verdict.reason));
        return verdict.action == packet_action::forward ? name_of(state, verdict)
               : verdict.action == packet_action::reset ? "reset: " + reason
                                                        : reason;
    }

public:
    auto setUp() -> void override {
        set_log_writer([this](const std::string& line) {
            log_ += line.substr(line.find("event=") + 6, 3) + line.substr(line.rfind("zone=") + 4) + "; ";
        });
    }
    auto tearDown() -> void override { set_log_writer({}); }

    auto malformed_key_changes_nothing() -> void {
        for (const auto* key : {"op/evacuate/", "op/evacuate/a/b", "op/evacuate/a/", "op/evacuate//a"}) {
            CPPUNIT_ASSERT(apply_item(state_.known, {key, "{}", 90, false}, test_start).fault);
        }
        CPPUNIT_ASSERT(state_.known.evacuated_zones.empty());
        apply_item(state_.known, {"op/evacuate/a", "not JSON", 90, false}, test_start);
        CPPUNIT_ASSERT_EQUAL("i-3"s, send(state_, 1));
    }

    auto new_syns_and_retries_avoid_the_zone() -> void {
        CPPUNIT_ASSERT(send(state_, 1) != "i-3");
        // A target that needs SYNs for its liveness check is chosen before all others.
        state_.known.targets[0].load.liveness_check_since = test_start;
        evacuate(state_, "a");
        CPPUNIT_ASSERT_EQUAL("i-3"s, send(state_, 2));
        const auto retries = collect_syn_retries(state_, test_start + initial_syn_timeout_ms);
        CPPUNIT_ASSERT(!retries.empty() && retries[0].target == target_index{2});
        // The registration of a target names its zone.
        apply_item(state_.known, target_item({"i-3"}, 20), test_start);
        apply_item(state_.known, target_item({"i-2", "desk", "b"}, 21), test_start);
        CPPUNIT_ASSERT(takes_new_flows(state_.known, 1));
        CPPUNIT_ASSERT(!takes_new_flows(state_.known, 2));
    }

    auto waiting_syns_avoid_the_zone() -> void {
        find_route(state_.known, client_syn(1).flow)->request_ms = 600;
        for (auto& one : state_.known.targets) {
            one.load.peer_busy_flows = 50;
        }
        CPPUNIT_ASSERT_EQUAL("waits_for_target"s, (send(state_, 1), send(state_, 2)));
        evacuate(state_, "a");
        // With the 2 slots of the other zone a third SYN waits for 600 of its 750 ms, and a fourth would be
        // late.
        CPPUNIT_ASSERT_EQUAL("waits_for_target"s, send(state_, 3));
        CPPUNIT_ASSERT_EQUAL("reset: overloaded"s, send(state_, 13));
        state_.known.targets[0].load.peer_busy_flows = 0;
        CPPUNIT_ASSERT(collect_waited_syns(state_, test_start).empty());
        state_.known.targets[2].load.peer_busy_flows = 3;  // in time for one more
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, collect_waited_syns(state_, test_start).size());
        CPPUNIT_ASSERT_EQUAL(1U, state_.known.targets[2].load.pending_syns);
        evacuate(state_, "b");
        CPPUNIT_ASSERT_EQUAL("reset: zone_evacuated"s, send(state_, 4));  // not overloaded
        const auto ended = collect_waited_syns(state_, test_start);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, ended.size());
        CPPUNIT_ASSERT(ended[0].reason == packet_reason::zone_evacuated);
        CPPUNIT_ASSERT(ended[1].reason == packet_reason::zone_evacuated);
    }

    auto copy_avoids_the_zone_unless_its_flow_is_open() -> void {
        auto state = test_state({{"i-1"}});
        const auto open = open_flow(state, 1, test_start);
        send(state, 2);
        evacuate(state, "a");
        CPPUNIT_ASSERT_EQUAL("may_be_answered"s, send(state, 2, 1));
        CPPUNIT_ASSERT_EQUAL("may_be_answered"s, send(state, 3, 1));
        CPPUNIT_ASSERT_EQUAL("i-1"s, send(state, 1, 1));
        const auto verdict = handle_packet(state, data(1, open, 0), current_view, test_start + 30);
        CPPUNIT_ASSERT(verdict.reason == packet_reason::established);
        // At its limit of targets, the SYN goes to the last one tried that is not evacuated.
        CPPUNIT_ASSERT_EQUAL("i-3"s, (send(state_, 1), send(state_, 1, 1), send(state_, 1, 2)));
        evacuate(state_, "b");
        CPPUNIT_ASSERT(send(state_, 1, 3) != "i-3");
    }

    // Registrations that vanish within the grace period lapse; operators' keys do not. Another host learns
    // each change from this one.
    auto evacuation_ends_with_its_key() -> void {
        auto other = test_state({});
        const auto outcome = [&](std::uint16_t port) {
            const auto changes =
                decode_changes(encode_changes(state_.known, {0, port == 1 ? 0 : state_.known.revision - 1}));
            for (const auto& item : changes->items) {
                apply_item(other.known, item, test_start);
            }
            return send(state_, port) + " " + send(other, port);
        };
        state_.known.lapse_grace_until = other.known.lapse_grace_until = test_start + lapse_grace_ms;
        evacuate(state_, "a");
        evacuate(state_, "a");  // written again: not logged
        // A removal that is older than the key changes nothing.
        apply_item(state_.known, {"op/evacuate/a", "", 1, true}, test_start);
        CPPUNIT_ASSERT_EQUAL("i-3 i-3"s, outcome(1));
        evacuate(state_, "a", true);
        CPPUNIT_ASSERT(outcome(2).find("i-3") == std::string::npos);
        evacuate(state_, "a");
        evacuate(state_, "b");  // while the listing is read
        remove_unlisted(state_.known, {{"op/config", true}}, state_.known.revision - 1, test_start);
        log_unlisted("op/evacuate/a", state_.known);
        CPPUNIT_ASSERT(state_.known.evacuated_zones == (absl::flat_hash_set<std::string>{"b"}));
        CPPUNIT_ASSERT(send(state_, 3) != "i-3");
        CPPUNIT_ASSERT_EQUAL(R"(631="a" revision="5"; 632="a" revision="7"; 631="a" revision="8"; )"
                             R"(631="b" revision="9"; 632="a" revision="8"; )"s,
                             log_);
    }

    auto only_zone_of_a_service() -> void {
        auto state = test_state({{"i-1"}, {"i-2", "till", "b"}});
        auto& backends = find_route(state.known, client_syn(1).flow)->entry.backends;
        evacuate(state, "a");
        evacuate(state, "without-targets");
        CPPUNIT_ASSERT_EQUAL("reset: zone_evacuated"s, send(state, 1));
        // A route over both services is served by the one that takes new flows.
        backends = {{"desk", 99}, {"till", 1}};
        CPPUNIT_ASSERT_EQUAL("i-2"s, send(state, 2));
        backends = {{"desk", 1}};
        state.known.targets[0].entry.state = target_state::draining;
        CPPUNIT_ASSERT_EQUAL("reset: no_target"s, send(state, 3));
        const auto before = counter_value(counter::edge_zone_evacuated);
        count_verdict({packet_action::reset, packet_reason::zone_evacuated, 0, false, true});
        CPPUNIT_ASSERT_EQUAL(before + 1, counter_value(counter::edge_zone_evacuated));
    }

    // A draining target still counts as one of its service, and a removed key leaves no trace.
    auto without_the_key_decisions_are_as_before() -> void {
        auto never = test_state({{"i-1"}, {"i-2", "till", "b", "10.1.64.1:8000", "draining"}});
        find_route(never.known, client_syn(1).flow)->entry.backends = {{"desk", 1}, {"till", 1}};
        auto ended = never;
        evacuate(ended, "b");
        evacuate(ended, "b", true);
        auto refused = 0;
        for (auto port = std::uint16_t{1}; port <= 100; ++port) {
            const auto outcome = send(never, port);
            CPPUNIT_ASSERT_EQUAL(outcome, send(ended, port));
            refused += outcome == "reset: no_target" ? 1 : 0;
        }
        CPPUNIT_ASSERT(refused > 20 && refused < 80);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(edge_evacuation_test);

}  // namespace agatepost::edge
