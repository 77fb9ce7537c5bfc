// Tests which hosts of a zone watch the store, and what confirms the view of a host that does not. Guards
// against calls to the store by each host, and against a host in touch with the store that misses changes
// because the host that it relies on gets none.

#include "edge/store_watch_func.h"
#include "edge_test_func.h"

namespace agatepost::edge {

namespace {

constexpr std::uint32_t own = 0x0a010005;
constexpr std::uint32_t lower = 0x0a010001;
constexpr std::uint32_t higher = 0x0a010009;
constexpr std::int64_t no_own_answer = 1000000;
constexpr std::int64_t bound_ms = 3000;

auto beat_of(const std::string& zone, std::uint64_t revision, std::int64_t store_age_ms = 0) -> heartbeat {
    auto beat = heartbeat{};
    beat.zone = zone;
    beat.revision = revision;
    beat.store_age_ms = store_age_ms;
    return beat;
}

// The host under test in zone a, with a complete view at revision 5.
struct watch_fixture {
    peer_group group;
    directory known;
    watch_timing timing = make_watch_timing(bound_ms);
    std::uint64_t revision = 5;

    watch_fixture() {
        group.own_address = own;
        group.zone = "a";
    }

    auto hear(std::uint32_t from, heartbeat beat, time_ms at = test_start) -> void {
        record_heartbeat(group, known, from, std::move(beat), at);
        record_confirmations(group, {0, revision}, at);
    }

    auto watches(bool is_watching, std::int64_t own_age_ms, std::int64_t after_ms) -> bool {
        return should_watch(group, timing, is_watching, own_age_ms, test_start + after_ms);
    }

    // Keeps the host at `from` alive with heartbeats that confirm nothing newer than at the start.
    auto hear_until(std::uint32_t from, std::int64_t after_ms) -> void {
        for (auto ms = std::int64_t{0}; ms <= after_ms; ms += heartbeat_ms) {
            hear(from, beat_of("a", revision, ms), test_start + ms);
        }
    }
};

}  // namespace

class edge_store_watch_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(edge_store_watch_test);
    CPPUNIT_TEST(times_leave_room_for_a_takeover_within_the_bound);
    CPPUNIT_TEST(one_host_of_a_zone_watches);
    CPPUNIT_TEST(watch_is_taken_over_from_a_host_without_store);
    CPPUNIT_TEST(watch_is_taken_over_from_a_silent_host);
    CPPUNIT_TEST(watch_is_taken_over_from_a_leaving_host);
    CPPUNIT_TEST(watch_is_taken_over_from_a_host_that_cannot_be_read_from);
    CPPUNIT_TEST(watch_is_returned_when_a_lower_host_confirms_the_view);
    CPPUNIT_TEST(hosts_take_over_one_after_the_other);
    CPPUNIT_TEST(confirmations_pass_from_lower_to_higher_addresses);
    CPPUNIT_TEST(confirmation_needs_a_revision_that_is_not_newer);
    CPPUNIT_TEST(confirmation_is_not_lost_to_a_newer_report);
    CPPUNIT_TEST(reports_that_waited_during_a_pause_confirm_nothing);
    CPPUNIT_TEST_SUITE_END();

public:
    auto times_leave_room_for_a_takeover_within_the_bound() -> void {
        for (const auto bound : {std::int64_t{2000}, std::int64_t{3000}, std::int64_t{5000}}) {
            const auto timing = make_watch_timing(bound);
            CPPUNIT_ASSERT(timing.wait_ms + report_delay_ms <= timing.takeover_ms);
            CPPUNIT_ASSERT(timing.takeover_ms <= timing.latest_takeover_ms);
            CPPUNIT_ASSERT(timing.latest_takeover_ms + takeover_reserve_ms <= bound);
            CPPUNIT_ASSERT(timing.current_ms <= bound);
        }
        for (const auto bound : {std::int64_t{0}, std::int64_t{1}, std::int64_t{3600000}}) {
            const auto timing = make_watch_timing(bound);
            CPPUNIT_ASSERT(timing.wait_ms >= min_watch_wait_ms && timing.wait_ms <= max_watch_wait_ms);
            CPPUNIT_ASSERT(timing.takeover_ms <= timing.latest_takeover_ms);
        }
    }

    // Each watching host costs calls to the store.
    auto one_host_of_a_zone_watches() -> void {
        auto test = watch_fixture{};
        CPPUNIT_ASSERT(test.watches(true, 0, 0));
        test.hear(higher, beat_of("a", 5));
        test.hear(lower, beat_of("b", 5));
        CPPUNIT_ASSERT(test.watches(true, 0, 0));
        test.hear(lower, beat_of("a", 5));
        CPPUNIT_ASSERT(!test.watches(true, 0, 0));
        CPPUNIT_ASSERT(!test.watches(false, no_own_answer, 0));
    }

    auto watch_is_taken_over_from_a_host_without_store() -> void {
        auto test = watch_fixture{};
        const auto takeover_ms = test.timing.takeover_ms;
        test.hear_until(lower, takeover_ms);
        CPPUNIT_ASSERT(!test.watches(false, no_own_answer, takeover_ms - 1));
        CPPUNIT_ASSERT(test.watches(false, no_own_answer, takeover_ms));
    }

    auto watch_is_taken_over_from_a_silent_host() -> void {
        auto test = watch_fixture{};
        test.hear(lower, beat_of("a", 5));
        CPPUNIT_ASSERT(!test.watches(false, no_own_answer, peer_silent_ms - 1));
        CPPUNIT_ASSERT(test.watches(false, no_own_answer, peer_silent_ms));
    }

    auto watch_is_taken_over_from_a_leaving_host() -> void {
        auto test = watch_fixture{};
        auto beat = beat_of("a", 5);
        beat.is_leaving = true;
        test.hear(lower, std::move(beat));
        CPPUNIT_ASSERT(test.watches(false, no_own_answer, 0));
    }

    // The host with the lowest address watches and reports newer changes, but every read from it fails.
    auto watch_is_taken_over_from_a_host_that_cannot_be_read_from() -> void {
        auto test = watch_fixture{};
        test.hear(lower, beat_of("a", 5));
        const auto takeover_ms = test.timing.takeover_ms;
        for (auto ms = heartbeat_ms; ms <= takeover_ms; ms += heartbeat_ms) {
            test.hear(lower, beat_of("a", 6), test_start + ms);
        }
        CPPUNIT_ASSERT(!test.watches(false, no_own_answer, takeover_ms - 1));
        CPPUNIT_ASSERT(test.watches(false, no_own_answer, takeover_ms));
    }

    auto watch_is_returned_when_a_lower_host_confirms_the_view() -> void {
        auto test = watch_fixture{};
        const auto takeover_ms = test.timing.takeover_ms;
        test.hear_until(lower, takeover_ms);
        CPPUNIT_ASSERT(test.watches(true, 0, takeover_ms));
        test.hear(lower, beat_of("a", 5, 100), test_start + takeover_ms);
        CPPUNIT_ASSERT(!test.watches(true, 0, takeover_ms));
        // The own answers count after that: the view does not age faster than with a lower host alone.
        CPPUNIT_ASSERT(!test.watches(false, 0, takeover_ms + 100));
    }

    auto hosts_take_over_one_after_the_other() -> void {
        auto test = watch_fixture{};
        constexpr auto lower_hosts = 3U;
        for (auto i = 0U; i < lower_hosts; ++i) {
            test.hear_until(lower + i, bound_ms);
        }
        const auto turn_ms = test.timing.takeover_ms + (lower_hosts - 1) * takeover_step_ms;
        CPPUNIT_ASSERT(!test.watches(false, no_own_answer, turn_ms - 1));
        CPPUNIT_ASSERT(test.watches(false, no_own_answer, turn_ms));
        // Each host of a large zone takes over before the bound.
        for (auto i = 0U; i < 300; ++i) {
            test.group.peers[own - 1000 + i] = test.group.peers.at(lower);
        }
        const auto latest_ms = test.timing.latest_takeover_ms;
        CPPUNIT_ASSERT(!test.watches(false, no_own_answer, latest_ms - 1));
        CPPUNIT_ASSERT(test.watches(false, no_own_answer, latest_ms));
    }

    // Two hosts that confirmed each other would never watch the store.
    auto confirmations_pass_from_lower_to_higher_addresses() -> void {
        auto test = watch_fixture{};
        test.hear(lower, beat_of("a", 5, 300));
        test.hear(higher, beat_of("a", 5, 0));
        test.hear(lower - 1, beat_of("b", 5, 0));
        const auto at = test_start + 50;
        CPPUNIT_ASSERT_EQUAL(std::int64_t{350}, zone_view_age_ms(test.group, 20000, at));
        CPPUNIT_ASSERT_EQUAL(std::int64_t{40}, zone_view_age_ms(test.group, 40, at));
        CPPUNIT_ASSERT(!test.watches(false, 20000, 50));
        CPPUNIT_ASSERT(!test.watches(true, 20000, 50));
        // The age of the view itself is not reported and may come from any host.
        CPPUNIT_ASSERT_EQUAL(std::int64_t{50}, view_age_ms(test.group, 20000, at));
    }

    // The report of a host with a newer revision is no evidence of the age of the own view.
    auto confirmation_needs_a_revision_that_is_not_newer() -> void {
        auto test = watch_fixture{};
        test.revision = 8;
        test.hear(lower, beat_of("a", 9, 100));
        test.hear(lower + 1, beat_of("a", 7, 300));
        test.hear(lower + 2, beat_of("a", 0, 0));  // has no complete listing
        const auto at = test_start + 50;
        CPPUNIT_ASSERT_EQUAL(std::int64_t{350}, zone_view_age_ms(test.group, no_own_answer, at));
        CPPUNIT_ASSERT_EQUAL(std::int64_t{350}, view_age_ms(test.group, no_own_answer, at));
        test.revision = 9;
        record_confirmations(test.group, {0, test.revision}, at);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{150}, zone_view_age_ms(test.group, no_own_answer, at));
    }

    // Otherwise changes in quick succession would make all hosts watch.
    auto confirmation_is_not_lost_to_a_newer_report() -> void {
        auto test = watch_fixture{};
        test.hear(lower, beat_of("a", 5, 100));
        test.hear(lower, beat_of("a", 6, 0), test_start + 50);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{150}, zone_view_age_ms(test.group, no_own_answer, test_start + 50));
    }

    auto reports_that_waited_during_a_pause_confirm_nothing() -> void {
        auto test = watch_fixture{};
        test.group.reports_delayed_until = test_start + 100;
        test.hear(lower, beat_of("a", 5), test_start + 99);
        CPPUNIT_ASSERT(zone_view_age_ms(test.group, no_own_answer, test_start + 99) >= no_own_answer);
        record_confirmations(test.group, {0, test.revision}, test_start + 150);
        CPPUNIT_ASSERT(zone_view_age_ms(test.group, no_own_answer, test_start + 150) >= no_own_answer);
        test.hear(lower, beat_of("a", 5), test_start + 150);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, zone_view_age_ms(test.group, no_own_answer, test_start + 150));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(edge_store_watch_test);

}  // namespace agatepost::edge
