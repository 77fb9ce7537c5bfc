// Tests what stays in use when the store comes back from an older copy. Guards against a draining target that
// gets flows again, a target that has left and is used again, open flows that are reset, a configuration that
// goes back, and an evacuation that is lost or comes back.

#include "edge/peer_group_base.h"
#include "edge/store_era_func.h"
#include "edge_test_func.h"

namespace agatepost::edge {

namespace {

constexpr auto new_era = store_position{1, 50};

auto target_in(const std::string& state, std::uint64_t revision, std::int64_t born = 1) -> store_item {
    return target_item({"i-1", "desk", "a", "10.1.64.1:8000", state, 2, 0, born}, revision);
}

auto record_of(forwarding_state& state, const std::string& name) -> target_record& {
    return state.known.targets[state.known.by_name.at(name)];
}

// The configuration of all tests, as test_state() has it.
auto configuration_in_copy(int version = 1) -> store_item {
    return routes_item({{443}}, version, 2);
}

// Adopts an era as the follower does after it has read the items of the copy.
auto adopt(directory& known, store_position to, const std::vector<store_item>& copy, time_ms at)
    -> era_change {
    auto decoded = std::vector<decoded_item>{};
    for (const auto& item : copy) {
        decoded.push_back(decode_item(test_platform(), item));
    }
    return adopt_era(known, to, std::move(decoded), at);
}

}  // namespace

class edge_store_era_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(edge_store_era_test);
    CPPUNIT_TEST(draining_target_stays_draining);
    CPPUNIT_TEST(target_that_has_left_is_not_used_again);
    CPPUNIT_TEST(target_that_registered_after_the_copy_stays_for_the_grace_period);
    CPPUNIT_TEST(draining_target_that_the_copy_lacks_keeps_its_flows);
    CPPUNIT_TEST(new_instance_is_not_replaced_by_the_former_one);
    CPPUNIT_TEST(newer_instance_of_the_copy_is_used);
    CPPUNIT_TEST(cold_start_is_not_prolonged);
    CPPUNIT_TEST(configuration_does_not_go_back);
    CPPUNIT_TEST(evacuation_stays_until_the_store_is_settled);
    CPPUNIT_TEST(evacuation_that_was_taken_back_does_not_come_back_at_once);
    CPPUNIT_TEST(item_written_after_the_return_is_applied);
    CPPUNIT_TEST(host_of_a_former_era_gets_all_items);
    CPPUNIT_TEST(open_flows_of_live_targets_survive);
    CPPUNIT_TEST(unused_values_of_the_copy_are_not_held);
    CPPUNIT_TEST(two_returns_in_a_row_keep_the_decisions);
    CPPUNIT_TEST_SUITE_END();

public:
    // The drain was acknowledged after the copy was taken.
    auto draining_target_stays_draining() -> void {
        auto state = test_state({{"i-1"}});
        apply_item(state.known, target_in("draining", 60), test_start);
        const auto change =
            adopt(state.known, new_era, {configuration_in_copy(), target_in("ready", 10)}, test_start);
        CPPUNIT_ASSERT(record_of(state, "i-1").entry.state == target_state::draining);
        CPPUNIT_ASSERT_EQUAL(1U, change.targets.kept);
        const auto verdict = handle_packet(state, client_syn(1), current_view, test_start);
        CPPUNIT_ASSERT(verdict.reason == packet_reason::no_target);
        // Other hosts get it as draining too.
        const auto changes = decode_changes(encode_changes(state.known, {}));
        auto other = test_state({{"i-1"}});
        adopt(other.known, {changes->era, changes->revision}, changes->items, test_start);
        CPPUNIT_ASSERT(record_of(other, "i-1").entry.state == target_state::draining);
    }

    auto target_that_has_left_is_not_used_again() -> void {
        auto state = test_state({{"i-1"}, {"i-2"}});
        apply_item(state.known, removal_item("i-1", 60), test_start);
        adopt(state.known, new_era,
              {configuration_in_copy(), target_in("ready", 10), target_item({"i-2"}, 11)}, test_start);
        CPPUNIT_ASSERT(record_of(state, "i-1").state == presence::gone);
        CPPUNIT_ASSERT(record_of(state, "i-2").state == presence::registered);
        // A later listing of the same era has the item of the copy still.
        apply_item(state.known, target_in("ready", 10), test_start);
        CPPUNIT_ASSERT(record_of(state, "i-1").state == presence::gone);
        // The target is alive after all.
        apply_item(state.known, target_in("ready", 51), test_start);
        CPPUNIT_ASSERT(record_of(state, "i-1").state == presence::registered);
    }

    auto target_that_registered_after_the_copy_stays_for_the_grace_period() -> void {
        auto state = test_state({{"i-1"}});
        const auto change = adopt(state.known, new_era, {configuration_in_copy()}, test_start);
        CPPUNIT_ASSERT_EQUAL(1U, change.targets.dropped);
        CPPUNIT_ASSERT(handle_packet(state, client_syn(1), current_view, test_start).action ==
                       packet_action::forward);
        CPPUNIT_ASSERT(expire_targets(state.known, 60000, test_start + (lapse_grace_ms - 1)).empty());
        auto again = state.known;
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             expire_targets(again, 60000, test_start + lapse_grace_ms).size());
        apply_item(state.known, target_in("ready", 51), test_start + 500);
        CPPUNIT_ASSERT(expire_targets(state.known, 60000, test_start + lapse_grace_ms).empty());
        CPPUNIT_ASSERT(record_of(state, "i-1").state == presence::registered);
    }

    // Without an outage, a draining target without a registration has left, and its flows are reset.
    auto draining_target_that_the_copy_lacks_keeps_its_flows() -> void {
        auto state = test_state({{"i-1"}});
        const auto carrier = open_flow(state, 1, test_start);
        apply_item(state.known, target_in("draining", 60), test_start);
        adopt(state.known, new_era, {configuration_in_copy()}, test_start);
        CPPUNIT_ASSERT(record_of(state, "i-1").state == presence::lapsed);
        const auto verdict = handle_packet(state, data(1, carrier, 0), current_view, test_start + 10);
        CPPUNIT_ASSERT(verdict.action == packet_action::forward);
        const auto opening = handle_packet(state, client_syn(2), current_view, test_start + 10);
        CPPUNIT_ASSERT(opening.action != packet_action::forward);
    }

    auto new_instance_is_not_replaced_by_the_former_one() -> void {
        auto state = test_state({{"i-1"}});
        apply_item(state.known, target_in("ready", 60, 7), test_start);
        adopt(state.known, new_era, {configuration_in_copy(), target_in("draining", 10, 1)}, test_start);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{7}, record_of(state, "i-1").entry.started_ms);
        CPPUNIT_ASSERT(record_of(state, "i-1").entry.state == target_state::ready);
        CPPUNIT_ASSERT(record_of(state, "i-1").state == presence::lapsed);
        apply_item(state.known, target_in("ready", 51, 7), test_start + 500);
        CPPUNIT_ASSERT(record_of(state, "i-1").state == presence::registered);
    }

    // A host that was behind learns of a new instance from the copy.
    auto newer_instance_of_the_copy_is_used() -> void {
        auto state = test_state({{"i-1"}});
        apply_item(state.known, removal_item("i-1", 20), test_start);
        adopt(state.known, new_era, {configuration_in_copy(), target_in("ready", 30, 7)}, test_start);
        CPPUNIT_ASSERT(record_of(state, "i-1").state == presence::registered);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{7}, record_of(state, "i-1").entry.started_ms);
    }

    auto cold_start_is_not_prolonged() -> void {
        auto state = test_state({});
        const auto cold = target_item({"i-1", "desk", "a", "10.1.64.1:8000", "ready", 2, 3000, 1}, 10);
        apply_item(state.known, cold, test_start);
        adopt(state.known, new_era, {configuration_in_copy(), cold}, test_start + 2000);
        CPPUNIT_ASSERT(record_of(state, "i-1").cold_until == test_start + 3000);
    }

    auto configuration_does_not_go_back() -> void {
        auto state = test_state({});
        apply_item(state.known, routes_item({{443}, {8443}}, 7, 60), test_start);
        for (const auto& copy :
             {std::vector<store_item>{configuration_in_copy(5)}, std::vector<store_item>{}}) {
            adopt(state.known, new_era, copy, test_start);
            CPPUNIT_ASSERT_EQUAL(std::size_t{2}, state.known.routes.size());
            CPPUNIT_ASSERT_EQUAL(std::int64_t{7}, state.known.configuration_version);
        }
        // Other hosts get the version in use, and the operators' next one is applied.
        auto other = forwarding_state{};
        other.known.platform = &test_platform();
        const auto changes = decode_changes(encode_changes(state.known, {}));
        for (const auto& item : changes->items) {
            apply_item(other.known, item, test_start);
        }
        CPPUNIT_ASSERT_EQUAL(std::int64_t{7}, other.known.configuration_version);
        apply_item(state.known, routes_item({{443}}, 9, 51), test_start);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, state.known.routes.size());
    }

    auto evacuation_stays_until_the_store_is_settled() -> void {
        for (const auto is_written_again : {false, true}) {
            auto state = test_state({{"i-1"}});
            apply_item(state.known, {"op/evacuate/a", "", 60, false}, test_start);
            adopt(state.known, new_era, {configuration_in_copy(), target_in("ready", 10)}, test_start);
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, state.known.evacuated_zones.count("a"));
            if (is_written_again) {
                apply_item(state.known, {"op/evacuate/a", "", 51, false}, test_start + 100);
            }
            CPPUNIT_ASSERT(settle_evacuations(state.known, test_start + (lapse_grace_ms - 1)).empty());
            settle_evacuations(state.known, test_start + lapse_grace_ms);
            CPPUNIT_ASSERT_EQUAL(std::size_t{is_written_again ? 1U : 0U},
                                 state.known.evacuated_zones.count("a"));
        }
    }

    auto evacuation_that_was_taken_back_does_not_come_back_at_once() -> void {
        for (const auto is_removed_again : {false, true}) {
            auto state = test_state({{"i-1"}});
            const auto order = store_item{"op/evacuate/a", "", 40, false};
            apply_item(state.known, order, test_start);
            apply_item(state.known, {"op/evacuate/a", "", 60, true}, test_start);
            adopt(state.known, new_era, {configuration_in_copy(), order, target_in("ready", 10)}, test_start);
            CPPUNIT_ASSERT(state.known.evacuated_zones.empty());
            if (is_removed_again) {
                apply_item(state.known, {"op/evacuate/a", "", 51, true}, test_start + 100);
            }
            settle_evacuations(state.known, test_start + lapse_grace_ms);
            CPPUNIT_ASSERT_EQUAL(is_removed_again, state.known.evacuated_zones.empty());
        }
    }

    // The bounds of the rules run from the acknowledgements after the return.
    auto item_written_after_the_return_is_applied() -> void {
        auto state = test_state({{"i-1"}});
        apply_item(state.known, target_in("ready", 900), test_start);
        adopt(state.known, new_era, {configuration_in_copy(), target_in("ready", 10)}, test_start);
        apply_item(state.known, target_in("draining", 51), test_start);
        CPPUNIT_ASSERT(record_of(state, "i-1").entry.state == target_state::draining);
    }

    auto host_of_a_former_era_gets_all_items() -> void {
        auto state = test_state({{"i-1"}, {"i-2"}});
        adopt(state.known, new_era,
              {configuration_in_copy(), target_in("ready", 10), target_item({"i-2"}, 11)}, test_start);
        CPPUNIT_ASSERT(decode_changes(encode_changes(state.known, {0, 200}))->is_whole);
        CPPUNIT_ASSERT(!decode_changes(encode_changes(state.known, {1, 50}))->is_whole);
        const auto changes = decode_changes(encode_changes(state.known, {0, 200}));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, changes->era);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, changes->items.size());
        auto beat = heartbeat{};
        beat.zone = "a";
        beat.era = 1;
        beat.revision = 50;
        CPPUNIT_ASSERT(*decode_heartbeat(encode_heartbeat(beat)) == beat);
        auto group = peer_group{};
        record_heartbeat(group, state.known, 2, std::move(beat), test_start);
        CPPUNIT_ASSERT(newest_peer(group, {0, 200}, test_start).has_value());
        CPPUNIT_ASSERT(!newest_peer(group, {2, 3}, test_start));
    }

    auto open_flows_of_live_targets_survive() -> void {
        auto state = test_state({{"i-1"}, {"i-2"}});
        auto carriers = std::vector<std::uint32_t>{};
        for (auto port = std::uint16_t{1}; port <= 8; ++port) {
            carriers.push_back(open_flow(state, port, test_start));
        }
        adopt(state.known, new_era, {configuration_in_copy(), target_in("ready", 10)}, test_start);
        apply_item(state.known, target_item({"i-2"}, 51), test_start + 800);
        expire_targets(state.known, 60000, test_start + lapse_grace_ms);
        for (auto port = std::uint16_t{1}; port <= 8; ++port) {
            for (const auto after_ms : {lapse_grace_ms, lapse_grace_ms + 200}) {
                const auto verdict = handle_packet(state, data(port, carriers[port - 1U], 0), current_view,
                                                   test_start + after_ms);
                CPPUNIT_ASSERT(verdict.action == packet_action::forward);
            }
        }
    }

    // A listing of a new era is held until it is complete: 40 values of 1 MB of another writer took more
    // memory than some machines have.
    auto unused_values_of_the_copy_are_not_held() -> void {
        const auto large = std::string(1U << 20U, '[');
        for (const auto* key : {"servers/i-9", "somebody/else", "op/evacuate/a", "op/config"}) {
            CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                                 decode_item(test_platform(), {key, large, 9, false}).item.value.size());
        }
        const auto used = target_in("ready", 9);
        CPPUNIT_ASSERT(decode_item(test_platform(), used).item == used);
    }

    // The second return comes before anything was written again.
    auto two_returns_in_a_row_keep_the_decisions() -> void {
        auto state = test_state({{"i-1"}, {"i-2"}, {"i-3"}});
        apply_item(state.known, target_in("draining", 60), test_start);
        apply_item(state.known, removal_item("i-2", 61), test_start);
        apply_item(state.known, {"op/evacuate/b", "", 62, false}, test_start);
        const auto copy = std::vector<store_item>{configuration_in_copy(), target_in("ready", 10),
                                                  target_item({"i-2"}, 11)};
        adopt(state.known, {1, 50}, copy, test_start);
        adopt(state.known, {2, 45}, copy, test_start + 800);
        CPPUNIT_ASSERT(record_of(state, "i-1").entry.state == target_state::draining);
        CPPUNIT_ASSERT(record_of(state, "i-2").state == presence::gone);
        CPPUNIT_ASSERT(record_of(state, "i-3").state == presence::lapsed);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, state.known.evacuated_zones.count("b"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(edge_store_era_test);

}  // namespace agatepost::edge
