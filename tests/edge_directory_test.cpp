// Directory of targets and routes: older items revert no change, registrations that lapse during an outage of
// the store do not remove live targets, and an unreadable item affects nothing else.

#include "edge/carrier_func.h"
#include "edge/peer_group_base.h"
#include "edge/suspicion_func.h"
#include "edge_test_func.h"

namespace agatepost::edge {

class edge_directory_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(edge_directory_test);
    CPPUNIT_TEST(older_item_changes_nothing);
    CPPUNIT_TEST(lower_version_does_not_revert_routes);
    CPPUNIT_TEST(target_with_an_unreadable_registration_gets_no_new_flows);
    CPPUNIT_TEST(unreadable_registration_resets_no_open_flow);
    CPPUNIT_TEST(unreadable_registration_at_the_start_resets_no_open_flow);
    CPPUNIT_TEST(removed_unreadable_registration_is_gone);
    CPPUNIT_TEST(unreadable_item_affects_no_target_of_another_key);
    CPPUNIT_TEST(removal_affects_no_target_of_another_key);
    CPPUNIT_TEST(unreadable_registration_of_a_draining_target_resets_no_flow);
    CPPUNIT_TEST(repeated_unreadable_value_is_reported_once);
    CPPUNIT_TEST(unreadable_value_is_not_stored);
    CPPUNIT_TEST(unreadable_configuration_keeps_the_previous_one);
    CPPUNIT_TEST(removed_target_is_gone_but_its_carrier_is_known);
    CPPUNIT_TEST(lapsed_target_stays_in_use_for_the_grace_period);
    CPPUNIT_TEST(lapsed_target_that_registers_again_stays);
    CPPUNIT_TEST(draining_target_never_lapses);
    CPPUNIT_TEST(unlisted_target_is_removed);
    CPPUNIT_TEST(item_written_during_a_listing_is_not_removed_by_it);
    CPPUNIT_TEST(gone_target_is_erased_when_it_has_no_flows);
    CPPUNIT_TEST(new_instance_is_tried_at_once);
    CPPUNIT_TEST(target_may_move_to_another_service);
    CPPUNIT_TEST_SUITE_END();

    static auto state_of(const forwarding_state& state, const std::string& name) -> presence {
        return state.known.targets[state.known.by_name.at(name)].state;
    }

public:
    auto older_item_changes_nothing() -> void {
        auto state = test_state({{"i-1"}});
        apply_item(state.known, target_item({"i-1", "desk", "a", "10.1.64.1:8000", "draining"}, 10),
                   test_start);
        const auto outcome = apply_item(state.known, target_item({"i-1"}, 9), test_start);
        CPPUNIT_ASSERT(outcome.change == directory_change::none);
        CPPUNIT_ASSERT(state.known.targets[0].entry.state == target_state::draining);
    }

    auto lower_version_does_not_revert_routes() -> void {
        auto state = test_state({});
        apply_item(state.known, routes_item({{443}, {8443}}, 5, 10), test_start);
        apply_item(state.known, routes_item({{443}}, 4, 11), test_start);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, state.known.routes.size());
    }

    auto target_with_an_unreadable_registration_gets_no_new_flows() -> void {
        auto state = test_state({{"i-1"}, {"i-2"}});
        const auto outcome =
            apply_item(state.known, {"servers/i-1", "{\"service\":3}", 10, false}, test_start);
        CPPUNIT_ASSERT(outcome.change == directory_change::unreadable);
        CPPUNIT_ASSERT(outcome.fault.has_value());
        CPPUNIT_ASSERT(state_of(state, "i-1") == presence::unreadable);
        CPPUNIT_ASSERT(state_of(state, "i-2") == presence::registered);
        for (auto port = std::uint16_t{1}; port <= 20; ++port) {
            const auto verdict = handle_packet(state, client_syn(port), current_view, test_start);
            CPPUNIT_ASSERT_EQUAL(std::string("i-2"), name_of(state, verdict));
        }
        apply_item(state.known, target_item({"i-1"}, 11), test_start);
        CPPUNIT_ASSERT_EQUAL(std::string("i-1"),
                             name_of(state, handle_packet(state, client_syn(21), current_view, test_start)));
    }

    // review/8: requests in progress were reset at their first retransmission, while their target was alive
    // and registered again within a second.
    auto unreadable_registration_resets_no_open_flow() -> void {
        auto state = test_state({{"i-1"}});
        const auto carrier = open_flow(state, 1, test_start);
        handle_packet(state, data(1, carrier, 0), current_view, test_start + 10);
        apply_item(state.known, {"servers/i-1", "\xff", 10, false}, test_start + 20);
        for (auto ms = std::int64_t{200}; ms < 1000; ms += 200) {
            const auto verdict = handle_packet(state, data(1, carrier, 0), current_view, test_start + ms);
            CPPUNIT_ASSERT(verdict.action == packet_action::forward);
            CPPUNIT_ASSERT_EQUAL(std::string("i-1"), name_of(state, verdict));
        }
    }

    // The host doesn't know the address of the target, but it knows that there may be one.
    auto unreadable_registration_at_the_start_resets_no_open_flow() -> void {
        auto state = test_state({{"i-2000000aa"}});
        apply_item(state.known, {"servers/i-1000000aa", "\xff", 10, false}, test_start);
        for (const auto carrier : carriers_of(*test_platform().read_target_key("servers/i-1000000aa"))) {
            for (auto copy = 0; copy < 3; ++copy) {
                const auto verdict =
                    handle_packet(state, data(1, carrier, 0), current_view, test_start + copy);
                CPPUNIT_ASSERT(verdict.action == packet_action::drop);
            }
        }
        apply_item(state.known, target_item({"i-1000000aa"}, 11), test_start);
        const auto own = state.known.targets[state.known.by_name.at("i-1000000aa")].opening_carrier;
        CPPUNIT_ASSERT_EQUAL(std::string("i-1000000aa"),
                             name_of(state, handle_packet(state, data(2, own, 0), current_view, test_start)));
    }

    // Its entry may have been removed by the other writer, so that a draining target still has its flows.
    auto removed_unreadable_registration_is_gone() -> void {
        auto state = test_state({{"i-1", "desk", "a", "10.1.64.1:8000", "draining"}});
        apply_item(state.known, {"servers/i-1", "{]", 10, false}, test_start);
        const auto outcome = apply_item(state.known, removal_item("i-1", 11), test_start);
        CPPUNIT_ASSERT(outcome.change == directory_change::target_gone);
        CPPUNIT_ASSERT(state_of(state, "i-1") == presence::gone);
        CPPUNIT_ASSERT(!state.known.targets[0].has_left);
        expire_targets(state.known, 60000, test_start + 60001);
        CPPUNIT_ASSERT(state.known.by_name.empty());
    }

    // Keys were matched to targets by their last part: after a restart no request was served.
    auto unreadable_item_affects_no_target_of_another_key() -> void {
        auto state = test_state({{"i-1"}});
        for (const auto* key : {"servers/a/i-1", "other/i-1"}) {
            apply_item(state.known, {key, "{\"service\":\"desk\"}", 10, false}, test_start);
            CPPUNIT_ASSERT(state_of(state, "i-1") == presence::registered);
        }
        CPPUNIT_ASSERT_EQUAL(std::string("i-1"),
                             name_of(state, handle_packet(state, client_syn(1), current_view, test_start)));
    }

    // The open flows of a draining target were reset when another writer removed its own entry.
    auto removal_affects_no_target_of_another_key() -> void {
        auto state = test_state({{"i-1", "desk", "a", "10.1.64.1:8000", "draining"}});
        apply_item(state.known, {"servers/a/i-1", "{}", 10, false}, test_start);
        apply_item(state.known, {"servers/a/i-1", "", 11, true}, test_start);
        remove_unlisted(state.known, {{"op/config", true}, {"servers/i-1", true}}, 20, test_start);
        CPPUNIT_ASSERT(state_of(state, "i-1") == presence::registered);
        CPPUNIT_ASSERT(!state.known.targets[0].has_left);
    }

    auto unreadable_registration_of_a_draining_target_resets_no_flow() -> void {
        auto state = test_state({{"i-1"}});
        const auto carrier = open_flow(state, 1, test_start);
        apply_item(state.known, target_item({"i-1", "desk", "a", "10.1.64.1:8000", "draining"}, 10),
                   test_start);
        apply_item(state.known, {"servers/i-1", "{}", 11, false}, test_start);
        const auto verdict = handle_packet(state, data(1, carrier, 0), current_view, test_start + 10);
        CPPUNIT_ASSERT(verdict.action == packet_action::forward);
    }

    // A faulty writer repeats its entry with each heartbeat.
    auto repeated_unreadable_value_is_reported_once() -> void {
        auto state = test_state({});
        CPPUNIT_ASSERT(apply_item(state.known, {"servers/i-1", "{}", 10, false}, test_start).fault);
        const auto again = apply_item(state.known, {"servers/i-1", "{]", 11, false}, test_start);
        CPPUNIT_ASSERT(again.change == directory_change::unreadable);
        CPPUNIT_ASSERT(!again.fault);
    }

    // 40 values of 1 MB took more memory than some machines have, at the host that watches and at each host
    // that read them from it.
    auto unreadable_value_is_not_stored() -> void {
        constexpr std::size_t max_kept_bytes = 64;
        auto state = test_state({{"i-1"}});
        apply_item(state.known, {"servers/i-1", std::string(1U << 20U, '['), 10, false}, test_start);
        apply_item(state.known, {"somebody/else", std::string(1U << 20U, '['), 11, false}, test_start);
        for (const auto* key : {"servers/i-1", "somebody/else"}) {
            CPPUNIT_ASSERT(state.known.items.at(key).value.capacity() < max_kept_bytes);
        }
        // A host that reads the changes treats the item alike.
        const auto changes = decode_changes(encode_changes(state.known, {0, 9}));
        auto other = test_state({{"i-1"}});
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, changes->items.size());
        for (const auto& item : changes->items) {
            const auto is_registration = item.key == "servers/i-1";
            CPPUNIT_ASSERT(apply_item(other.known, item, test_start).change ==
                           (is_registration ? directory_change::unreadable : directory_change::none));
        }
        CPPUNIT_ASSERT(state_of(other, "i-1") == state_of(state, "i-1"));
    }

    auto unreadable_configuration_keeps_the_previous_one() -> void {
        auto state = test_state({});
        const auto outcome = apply_item(state.known, {"op/config", "{]", 10, false}, test_start);
        CPPUNIT_ASSERT(outcome.change == directory_change::unreadable);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, state.known.routes.size());
    }

    auto removed_target_is_gone_but_its_carrier_is_known() -> void {
        auto state = test_state({{"i-1"}});
        const auto outcome = apply_item(state.known, removal_item("i-1", 10), test_start);
        CPPUNIT_ASSERT(outcome.change == directory_change::target_gone);
        CPPUNIT_ASSERT(find_carrier(state.known, 1).has_value());
        CPPUNIT_ASSERT(state.known.by_service.empty());
    }

    // Registrations of live targets expire during an outage of the store, in the worst case all at once.
    auto lapsed_target_stays_in_use_for_the_grace_period() -> void {
        auto state = test_state({{"i-1"}});
        state.known.lapse_grace_until = test_start + lapse_grace_ms;
        const auto outcome = apply_item(state.known, removal_item("i-1", 10), test_start);
        CPPUNIT_ASSERT(outcome.change == directory_change::target_lapsed);
        const auto verdict = handle_packet(state, client_syn(1), current_view, test_start);
        CPPUNIT_ASSERT(verdict.action == packet_action::forward);
        CPPUNIT_ASSERT(expire_targets(state.known, 60000, test_start + (lapse_grace_ms - 1)).empty());
        const auto gone = expire_targets(state.known, 60000, test_start + lapse_grace_ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, gone.size());
        const auto later = handle_packet(state, client_syn(2), current_view, test_start + lapse_grace_ms);
        CPPUNIT_ASSERT(later.reason == packet_reason::no_target);
    }

    auto lapsed_target_that_registers_again_stays() -> void {
        auto state = test_state({{"i-1"}});
        state.known.lapse_grace_until = test_start + lapse_grace_ms;
        apply_item(state.known, removal_item("i-1", 10), test_start);
        apply_item(state.known, target_item({"i-1"}, 11), test_start + 500);
        CPPUNIT_ASSERT(expire_targets(state.known, 60000, test_start + lapse_grace_ms).empty());
        CPPUNIT_ASSERT(state_of(state, "i-1") == presence::registered);
    }

    auto draining_target_never_lapses() -> void {
        auto state = test_state({{"i-1", "desk", "a", "10.1.64.1:8000", "draining"}});
        state.known.lapse_grace_until = test_start + lapse_grace_ms;
        const auto outcome = apply_item(state.known, removal_item("i-1", 10), test_start);
        CPPUNIT_ASSERT(outcome.change == directory_change::target_gone);
        CPPUNIT_ASSERT(state.known.targets[0].has_left);
    }

    auto unlisted_target_is_removed() -> void {
        auto state = test_state({{"i-1"}, {"i-2"}});
        const auto missing =
            remove_unlisted(state.known, {{"op/config", true}, {"servers/i-2", true}}, 20, test_start);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, missing.size());
        CPPUNIT_ASSERT(state_of(state, "i-1") == presence::gone);
        CPPUNIT_ASSERT(state_of(state, "i-2") == presence::registered);
    }

    // The pages of a listing are not a consistent snapshot: an item may be written while they are read.
    auto item_written_during_a_listing_is_not_removed_by_it() -> void {
        auto state = test_state({{"i-1"}});
        apply_item(state.known, target_item({"i-9"}, 25), test_start);
        remove_unlisted(state.known, {{"op/config", true}, {"servers/i-1", true}}, 20, test_start);
        CPPUNIT_ASSERT(state_of(state, "i-9") == presence::registered);
    }

    auto gone_target_is_erased_when_it_has_no_flows() -> void {
        auto state = test_state({{"i-1"}});
        const auto carrier = open_flow(state, 1, test_start);
        apply_item(state.known, removal_item("i-1", 10), test_start);
        expire_targets(state.known, 60000, test_start + 60001);
        CPPUNIT_ASSERT(find_carrier(state.known, carrier).has_value());
        expire_flows(state, 15000, test_start + 60001);
        expire_targets(state.known, 60000, test_start + 60001);
        CPPUNIT_ASSERT(!find_carrier(state.known, carrier).has_value());
    }

    // A restarted target was in the pause of its former instance.
    auto new_instance_is_tried_at_once() -> void {
        auto state = test_state({{"i-1"}});
        record_syn_timeout(state.known.targets[0].load, test_start);
        apply_item(state.known, target_item({"i-1", "desk", "a", "10.1.64.1:8000", "ready", 2, 0, 2}, 10),
                   test_start);
        CPPUNIT_ASSERT(state.known.targets[0].load.syn_backoff_until == time_ms{});
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, state.known.targets[0].load.syn_backoffs);
    }

    auto target_may_move_to_another_service() -> void {
        auto state = test_state({{"i-1"}});
        apply_item(state.known, target_item({"i-1", "archive", "a", "10.1.64.1:8000", "ready", 2, 0, 2}, 10),
                   test_start);
        const auto verdict = handle_packet(state, client_syn(1), current_view, test_start);
        CPPUNIT_ASSERT(verdict.reason == packet_reason::no_target);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(edge_directory_test);

}  // namespace agatepost::edge
