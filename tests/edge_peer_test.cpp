// Tests the messages between hosts: which host is behind, the loads of targets, and the rejection of
// malformed messages.

#include <rapidcheck.h>

#include <map>

#include "edge/peer_group_base.h"
#include "edge_test_func.h"

namespace agatepost::edge {

namespace {

constexpr std::uint32_t own = 0x0a010005;
constexpr std::uint32_t lower = 0x0a010001;
constexpr std::uint32_t higher = 0x0a010009;

auto test_group() -> peer_group {
    auto group = peer_group{};
    group.own_address = own;
    group.zone = "a";
    return group;
}

auto beat_of(const std::string& zone, std::uint64_t revision, std::int64_t store_age_ms = 0) -> heartbeat {
    auto beat = heartbeat{};
    beat.zone = zone;
    beat.revision = revision;
    beat.store_age_ms = store_age_ms;
    beat.view_age_ms = store_age_ms;
    return beat;
}

}  // namespace

class edge_peer_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(edge_peer_test);
    CPPUNIT_TEST(heartbeat_is_read_as_written);
    CPPUNIT_TEST(malformed_messages_are_rejected);
    CPPUNIT_TEST(hosts_named_by_others_get_heartbeats);
    CPPUNIT_TEST(large_fleet_sends_a_fixed_number_of_heartbeats);
    CPPUNIT_TEST(load_reports_stay_within_the_control_budget);
    CPPUNIT_TEST(each_target_is_assigned_to_one_host);
    CPPUNIT_TEST(host_that_leaves_moves_only_its_share);
    CPPUNIT_TEST(new_load_report_replaces_the_previous_one);
    CPPUNIT_TEST(loads_of_a_silent_host_are_subtracted);
    CPPUNIT_TEST(loads_are_not_subtracted_from_a_new_target);
    CPPUNIT_TEST(host_behind_reads_from_a_host_of_its_zone_first);
    CPPUNIT_TEST(request_for_changes_is_read_as_written);
    CPPUNIT_TEST(changes_bring_another_host_up_to_date);
    CPPUNIT_TEST(changes_include_removals);
    CPPUNIT_TEST(dropped_removals_make_the_answer_whole);
    CPPUNIT_TEST_SUITE_END();

public:
    auto heartbeat_is_read_as_written() -> void {
        auto beat = beat_of("zone-x", 1ULL << 40U, 250);
        beat.is_leaving = true;
        beat.peers = {1, 0xffffffff};
        beat.loads = {{0xdeadbeef, 3, 40}, {1, 0, 7}};
        const auto read = decode_heartbeat(encode_heartbeat(beat));
        CPPUNIT_ASSERT(read.has_value());
        CPPUNIT_ASSERT(*read == beat);
    }

    auto malformed_messages_are_rejected() -> void {
        auto beat = beat_of("a", 7);
        beat.loads = {{1, 2, 3}};
        const auto bytes = encode_heartbeat(beat);
        for (auto size = std::size_t{0}; size < bytes.size(); ++size) {
            CPPUNIT_ASSERT(!decode_heartbeat(bytes.substr(0, size)));
        }
        const auto ok = rc::check("any message", [](const std::string& any) {
            static_cast<void>(decode_heartbeat(any));
            static_cast<void>(decode_changes(any));
        });
        CPPUNIT_ASSERT(ok);
    }

    auto hosts_named_by_others_get_heartbeats() -> void {
        auto group = test_group();
        auto known = directory{};
        auto random = std::minstd_rand(1);
        auto beat = beat_of("b", 5);
        beat.peers = {higher, own};
        record_heartbeat(group, known, lower, std::move(beat), test_start);
        auto receivers = heartbeat_receivers(group, test_start, random);
        std::sort(receivers.begin(), receivers.end());
        CPPUNIT_ASSERT((receivers == std::vector<std::uint32_t>{lower, higher}));
    }

    // The number of heartbeats to all hosts of a zone grows with the square of its size.
    auto large_fleet_sends_a_fixed_number_of_heartbeats() -> void {
        auto random = std::minstd_rand(1);
        for (const auto hosts : {40U, 1060U}) {
            auto group = test_group();
            auto known = directory{};
            for (auto i = 1U; i <= hosts; ++i) {
                record_heartbeat(group, known, own + i, beat_of(i % 2 == 0 ? "a" : "b", 5), test_start);
            }
            auto in_all = std::size_t{0};
            constexpr auto heartbeats = std::size_t{400};
            for (auto i = std::size_t{0}; i < heartbeats; ++i) {
                auto receivers = heartbeat_receivers(group, test_start, random);
                in_all += receivers.size();
                CPPUNIT_ASSERT(receivers.size() <= next_receivers + random_zone_receivers + 1);
                CPPUNIT_ASSERT_EQUAL(own + 2, receivers[0]);
                std::sort(receivers.begin(), receivers.end());
                CPPUNIT_ASSERT(std::adjacent_find(receivers.begin(), receivers.end()) == receivers.end());
            }
            const auto of_other_zones = in_all - heartbeats * (next_receivers + random_zone_receivers);
            CPPUNIT_ASSERT(of_other_zones > heartbeats / other_zone_interval_heartbeats / 2);
            CPPUNIT_ASSERT(of_other_zones < heartbeats / other_zone_interval_heartbeats * 2);
        }
    }

    auto load_reports_stay_within_the_control_budget() -> void {
        for (const auto hosts : {std::size_t{1}, std::size_t{2}}) {
            for (const auto bytes : {std::size_t{60}, std::size_t{110}, std::size_t{400}}) {
                const auto interval = load_interval_ms(hosts, bytes);
                const auto bytes_per_s =
                    static_cast<std::int64_t>(hosts * (bytes + udp_header_bytes)) * 1000 / interval;
                CPPUNIT_ASSERT(interval >= min_load_report_ms);
                CPPUNIT_ASSERT_MESSAGE(std::to_string(bytes_per_s), bytes_per_s <= control_bytes_per_s);
            }
        }
    }

    // Returns for each target of the zone the hosts that consider it assigned to themselves.
    static auto assign_to_hosts(const std::vector<std::uint32_t>& hosts, forwarding_state& state)
        -> std::vector<std::vector<std::uint32_t>> {
        auto owners = std::vector<std::vector<std::uint32_t>>(state.known.targets.size());
        for (const auto host : hosts) {
            auto others = hosts;
            others.erase(std::remove(others.begin(), others.end(), host), others.end());
            assign_targets(state.known, "a", host, others);
            for (auto i = std::size_t{0}; i < owners.size(); ++i) {
                if (!state.known.targets[i].is_assigned_to_peer) {
                    owners[i].push_back(host);
                }
            }
        }
        return owners;
    }

    static auto forty_targets() -> forwarding_state {
        auto targets = std::vector<test_target>{};
        for (auto i = 10; i < 50; ++i) {
            targets.push_back({"i-" + std::to_string(i)});
        }
        return test_state(targets);
    }

    // Two hosts of one target would each count only a part of its load; a target without a host would stay
    // idle.
    auto each_target_is_assigned_to_one_host() -> void {
        auto state = forty_targets();
        auto by_host = std::map<std::uint32_t, int>{};
        for (const auto& owners : assign_to_hosts({1, 2, 3, 4, 5}, state)) {
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, owners.size());
            ++by_host[owners[0]];
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{5}, by_host.size());
    }

    auto host_that_leaves_moves_only_its_share() -> void {
        auto state = forty_targets();
        const auto before = assign_to_hosts({1, 2, 3, 4, 5}, state);
        const auto after = assign_to_hosts({1, 2, 4, 5}, state);
        for (auto i = std::size_t{0}; i < before.size(); ++i) {
            CPPUNIT_ASSERT(before[i][0] == 3 || before[i] == after[i]);
        }
    }

    auto new_load_report_replaces_the_previous_one() -> void {
        auto state = test_state({{"i-1"}});
        auto group = test_group();
        for (const auto busy : {5U, 2U}) {
            auto beat = beat_of("a", 5);
            beat.loads = {{1, busy, busy + 10}, {0x99, 1, 1}};
            record_heartbeat(group, state.known, lower, std::move(beat), test_start);
        }
        CPPUNIT_ASSERT_EQUAL(2U, state.known.targets[0].load.peer_busy_flows);
        CPPUNIT_ASSERT_EQUAL(12U, state.known.targets[0].load.peer_open_flows);
    }

    auto loads_of_a_silent_host_are_subtracted() -> void {
        auto state = test_state({{"i-1"}});
        auto group = test_group();
        auto beat = beat_of("a", 5);
        beat.loads = {{1, 4, 9}};
        record_heartbeat(group, state.known, lower, std::move(beat), test_start);
        const auto silent = expire_peers(group, state.known, test_start + peer_silent_ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, silent.size());
        CPPUNIT_ASSERT_EQUAL(0U, state.known.targets[0].load.peer_busy_flows);
        CPPUNIT_ASSERT_EQUAL(0U, state.known.targets[0].load.peer_open_flows);
    }

    // Another target may reuse the record between two heartbeats.
    auto loads_are_not_subtracted_from_a_new_target() -> void {
        auto state = test_state({{"i-1"}});
        auto group = test_group();
        auto beat = beat_of("a", 5);
        beat.loads = {{1, 4, 9}};
        record_heartbeat(group, state.known, lower, std::move(beat), test_start);
        apply_item(state.known, removal_item("i-1", 10), test_start);
        expire_targets(state.known, 10, test_start + 11);
        apply_item(state.known, target_item({"i-2"}, 11), test_start + 11);
        state.known.targets[0].load.peer_busy_flows = 3;
        expire_peers(group, state.known, test_start + peer_silent_ms);
        CPPUNIT_ASSERT_EQUAL(3U, state.known.targets[0].load.peer_busy_flows);
    }

    auto host_behind_reads_from_a_host_of_its_zone_first() -> void {
        auto group = test_group();
        auto known = directory{};
        record_heartbeat(group, known, lower, beat_of("b", 9), test_start);
        record_heartbeat(group, known, higher, beat_of("a", 8), test_start);
        CPPUNIT_ASSERT_EQUAL(higher, *newest_peer(group, {0, 7}, test_start));
        CPPUNIT_ASSERT_EQUAL(lower, *newest_peer(group, {0, 8}, test_start));
        CPPUNIT_ASSERT(!newest_peer(group, {0, 9}, test_start));
    }

    // Hosts of different eras must not read changes after a revision of the other era.
    auto request_for_changes_is_read_as_written() -> void {
        CPPUNIT_ASSERT_EQUAL(std::string("/changes?after=7"), encode_changes_request({0, 7}));
        for (const auto after :
             {store_position{0, 7}, store_position{3, 0}, store_position{1ULL << 63U, 1}}) {
            CPPUNIT_ASSERT(*decode_changes_request(encode_changes_request(after)) == after);
        }
        for (const auto* target :
             {"/", "/changes", "/changes?after=", "/changes?after=x",
              "/changes?after=1&era=", "/changes?after=1&era=-1", "/changes?after=1&era=1&era=2",
              "/changes?after=1&other=1", "/changes?after=18446744073709551616"}) {
            CPPUNIT_ASSERT_MESSAGE(target, !decode_changes_request(target));
        }
    }

    auto changes_bring_another_host_up_to_date() -> void {
        auto ahead = test_state({{"i-1"}, {"i-2"}});
        auto behind = forwarding_state{};
        behind.known.platform = &test_platform();
        const auto changes = decode_changes(encode_changes(ahead.known, {0, 0}));
        CPPUNIT_ASSERT(changes.has_value());
        CPPUNIT_ASSERT(changes->is_whole);
        CPPUNIT_ASSERT_EQUAL(ahead.known.revision, changes->revision);
        for (const auto& item : changes->items) {
            apply_item(behind.known, item, test_start);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, behind.known.by_name.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, behind.known.routes.size());
    }

    auto changes_include_removals() -> void {
        auto ahead = test_state({{"i-1"}, {"i-2"}});
        const auto before = ahead.known.revision;
        apply_item(ahead.known, removal_item("i-2", before + 1), test_start);
        const auto changes = decode_changes(encode_changes(ahead.known, {0, before}));
        CPPUNIT_ASSERT(!changes->is_whole);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, changes->items.size());
        CPPUNIT_ASSERT(changes->items[0] == removal_item("i-2", before + 1));
    }

    auto dropped_removals_make_the_answer_whole() -> void {
        auto ahead = test_state({{"i-1"}});
        auto revision = ahead.known.revision;
        for (auto i = 0; i < 5000; ++i) {
            apply_item(ahead.known, removal_item("i-x" + std::to_string(i), ++revision), test_start);
        }
        CPPUNIT_ASSERT(decode_changes(encode_changes(ahead.known, {0, 2}))->is_whole);
        CPPUNIT_ASSERT(!decode_changes(encode_changes(ahead.known, {0, revision - 1}))->is_whole);
        CPPUNIT_ASSERT(ahead.known.items.size() < 5000);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(edge_peer_test);

}  // namespace agatepost::edge
