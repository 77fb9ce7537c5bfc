// Tests the store follower over real sockets: listing and watch, compacted history, outages, refusals, dead
// connections and malformed answers.

#include <absl/strings/escaping.h>
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <chrono>
#include <map>
#include <thread>

#include "edge/store_era_func.h"
#include "edge/store_follower_base.h"
#include "edge_socket_test_func.h"
#include "edge_test_func.h"

namespace agatepost::edge {

namespace {

constexpr std::int64_t test_limit_ms = 10000;
constexpr std::int64_t test_watch_wait_ms = 400;

// A store with scripted answers to listings and watches, in order; the last one repeats.
struct scripted_store {
    std::vector<http_answer> listings;
    std::vector<http_answer> watches;
    std::vector<std::string> targets;  // of all requests

    auto answer(std::string_view target) -> http_answer {
        targets.emplace_back(target);
        const auto is_watch = absl::StrContains(absl::string_view(target.data(), target.size()), "kv-watch");
        auto& script = is_watch ? watches : listings;
        if (script.empty()) {
            return {503, ""};
        }
        auto next = script.front();
        if (script.size() > 1) {
            script.erase(script.begin());
        }
        return next;
    }
};

auto item_json(const store_item& item) -> nlohmann::json {
    if (item.is_removed) {
        return {{"key", item.key}, {"revision", item.revision}, {"removed", true}};
    }
    return {{"key", item.key}, {"revision", item.revision}, {"value", absl::Base64Escape(item.value)}};
}

auto page_answer(const char* list, const std::vector<store_item>& items, std::uint64_t revision,
                 bool has_more = false) -> http_answer {
    auto array = nlohmann::json::array();
    for (const auto& item : items) {
        array.push_back(item_json(item));
    }
    return {200, nlohmann::json{{list, array}, {"has-more", has_more}, {"store-revision", revision}}.dump()};
}

// An answer of the store in an era.
auto in_era(http_answer answer, const std::string& era) -> http_answer {
    answer.headers = {{"Store-Era", era}};
    return answer;
}

auto draining_target(const std::string& id, std::uint64_t revision) -> store_item {
    return target_item({id, "desk", "a", "10.1.64.1:8000", "draining"}, revision);
}

// A follower and its store on one loop.
struct follower_fixture {
    event_loop loop = *event_loop::open();
    scripted_store store;
    endpoint address = loopback(free_port());
    http_server server{loop, [this](std::string_view target) { return store.answer(target); }};
    directory known;
    std::minstd_rand random{1};
    int lost = 0;
    int regained = 0;
    int listed_again = 0;
    int news = 0;
    int eras = 0;
    int invalid_eras = 0;
    std::vector<std::string> gone;
    store_follower follower;

    // `lapse_outage_ms`: shorter outages let no registration lapse.
    explicit follower_fixture(std::int64_t lapse_outage_ms = 0)
        : follower(loop, known, {address, test_watch_wait_ms, test_platform().era_header, lapse_outage_ms},
                   make_events(), random) {
        known.platform = &test_platform();
    }

    auto make_events() -> follower_events {
        auto events = follower_events{};
        events.on_item = [](const store_item&, const item_outcome&) {};
        events.on_target_gone = [this](const std::string& key) { gone.push_back(key); };
        events.on_store_lost = [this](const error&) { ++lost; };
        events.on_listing_needed = [this](std::string_view) { ++listed_again; };
        events.on_store_regained = [this](std::int64_t) { ++regained; };
        events.on_era = [this](const era_change&) { ++eras; };
        events.on_era_invalid = [this](const error&) { ++invalid_eras; };
        events.on_news = [this] { ++news; };
        return events;
    }

    // Runs the loop until a condition holds.
    template <typename Condition>
    auto run_until(Condition condition) -> void {
        follower.enable(true, boot_now());
        const auto limit = boot_now() + test_limit_ms;
        while (!condition()) {
            CPPUNIT_ASSERT_MESSAGE("condition not met in time", boot_now() < limit);
            follower.on_timer(boot_now());
            loop.wait(boot_now() + 5);
        }
    }
};

}  // namespace

class edge_follower_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(edge_follower_test);
    CPPUNIT_TEST(listing_is_read_page_by_page_and_watched_from_its_first_revision);
    CPPUNIT_TEST(watch_brings_changes);
    CPPUNIT_TEST(compacted_history_leads_to_a_new_listing);
    CPPUNIT_TEST(watches_that_never_succeed_cause_few_calls);
    CPPUNIT_TEST(invalid_revision_leads_to_a_new_listing);
    CPPUNIT_TEST(refused_calls_are_retried_with_pauses);
    CPPUNIT_TEST(malformed_answer_counts_as_an_outage);
    CPPUNIT_TEST(watch_answer_that_is_too_large_leads_to_a_new_listing);
    CPPUNIT_TEST(removals_after_an_outage_count_as_lapses);
    CPPUNIT_TEST(removals_without_an_outage_are_final);
    CPPUNIT_TEST(removals_after_short_losses_are_final);
    CPPUNIT_TEST(silence_counts_as_an_outage_from_its_beginning);
    CPPUNIT_TEST(silent_connection_is_replaced);
    CPPUNIT_TEST(drain_after_a_return_to_a_copy_is_seen);
    CPPUNIT_TEST(changes_under_reused_revisions_are_seen);
    CPPUNIT_TEST(refused_watch_of_a_new_era_leads_to_one_listing);
    CPPUNIT_TEST(answer_of_a_former_era_changes_nothing);
    CPPUNIT_TEST(pages_of_two_eras_are_not_mixed);
    CPPUNIT_TEST(era_that_rises_with_each_answer_causes_few_calls);
    CPPUNIT_TEST(invalid_era_is_counted_and_ignored);
    CPPUNIT_TEST(false_era_is_given_up);
    CPPUNIT_TEST(disabled_follower_makes_no_call);
    CPPUNIT_TEST(first_watch_of_a_takeover_is_answered_at_once);
    CPPUNIT_TEST(held_up_answer_confirms_the_view_of_when_it_was_due);
    CPPUNIT_TEST_SUITE_END();

public:
    auto listing_is_read_page_by_page_and_watched_from_its_first_revision() -> void {
        auto test = follower_fixture{};
        CPPUNIT_ASSERT(test.server.listen(test.address).has_value());
        test.store.listings = {page_answer("items", {routes_item({{443}}, 1, 3)}, 10, true),
                               page_answer("items", {target_item({"i-1"}, 4)}, 12)};
        test.store.watches = {page_answer("events", {target_item({"i-2"}, 13)}, 13)};
        test.run_until([&] { return test.known.by_name.size() == 2; });
        CPPUNIT_ASSERT(absl::EndsWith(test.store.targets.at(1), "after=op/config"));
        // The watch covers changes made between the pages.
        CPPUNIT_ASSERT(absl::StrContains(test.store.targets.at(2), "after=10&"));
        CPPUNIT_ASSERT(test.known.is_complete);
    }

    auto watch_brings_changes() -> void {
        auto test = follower_fixture{};
        CPPUNIT_ASSERT(test.server.listen(test.address).has_value());
        test.store.listings = {
            page_answer("items", {routes_item({{443}}, 1, 3), target_item({"i-1"}, 4)}, 4)};
        test.store.watches = {
            page_answer("events", {removal_item("i-1", 5), routes_item({{443}, {80}}, 2, 6)}, 6)};
        test.run_until([&] { return test.known.revision == 6; });
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, test.known.routes.size());
        CPPUNIT_ASSERT(test.known.by_service.empty());
    }

    auto compacted_history_leads_to_a_new_listing() -> void {
        auto test = follower_fixture{};
        CPPUNIT_ASSERT(test.server.listen(test.address).has_value());
        test.store.listings = {page_answer("items", {target_item({"i-1"}, 4)}, 4),
                               page_answer("items", {target_item({"i-2"}, 30)}, 30)};
        test.store.watches = {{410, ""}, page_answer("events", {}, 30)};
        test.run_until([&] { return test.known.revision == 30; });
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, test.gone.size());
        CPPUNIT_ASSERT_EQUAL(std::string("servers/i-1"), test.gone[0]);
        CPPUNIT_ASSERT_EQUAL(0, test.lost);
    }

    // A store that came back from an older copy discards each watch: 4,200 listings a second followed. All
    // calls are priced, and beyond its rate the store refuses the calls of all hosts.
    auto watches_that_never_succeed_cause_few_calls() -> void {
        auto test = follower_fixture{};
        CPPUNIT_ASSERT(test.server.listen(test.address).has_value());
        test.store.listings = {page_answer("items", {target_item({"i-1"}, 4)}, 4)};
        test.store.watches = {{410, ""}};
        const auto calls_in = [&](std::int64_t ms) {
            test.store.targets.clear();
            const auto end = boot_now() + ms;
            test.run_until([&] { return boot_now() >= end; });
            return test.store.targets.size();
        };
        const auto first = calls_in(1000);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(first), first <= 10);
        calls_in(2000);
        const auto later = calls_in(4000);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(later), later <= 2 * 4 + 1);
        CPPUNIT_ASSERT_EQUAL(0, test.lost);
    }

    // A peer reported an invalid revision and a target that the store does not have. A watch from that
    // revision would never return a change, and the target would stay in use after each listing.
    auto invalid_revision_leads_to_a_new_listing() -> void {
        auto test = follower_fixture{};
        CPPUNIT_ASSERT(test.server.listen(test.address).has_value());
        test.store.listings = {page_answer("items", {target_item({"i-1"}, 4)}, 4),
                               page_answer("items", {target_item({"i-1"}, 4), target_item({"i-2"}, 6)}, 6)};
        test.store.watches = {page_answer("events", {}, 6), page_answer("events", {}, 6)};
        test.run_until([&] { return test.known.revision == 4; });
        constexpr std::uint64_t invalid_revision = 1ULL << 50U;
        apply_item(test.known, target_item({"i-9"}, invalid_revision), boot_now());
        test.known.revision = invalid_revision;
        test.run_until([&] { return test.known.by_name.count("i-2") != 0; });
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{6}, test.known.revision);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, test.gone.size());
        CPPUNIT_ASSERT_EQUAL(std::string("servers/i-9"), test.gone[0]);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, test.known.by_service.at("desk").size());
    }

    // All calls are priced, also refused ones.
    auto refused_calls_are_retried_with_pauses() -> void {
        auto test = follower_fixture{};
        CPPUNIT_ASSERT(test.server.listen(test.address).has_value());
        test.store.listings = {{429, ""}, {503, ""}, {429, ""}, page_answer("items", {}, 4)};
        test.store.watches = {page_answer("events", {}, 4)};
        const auto start = boot_now();
        test.run_until([&] { return test.known.is_complete; });
        CPPUNIT_ASSERT(boot_now() - start >= retry_pause_ms / 2 + retry_pause_ms + 2 * retry_pause_ms);
        CPPUNIT_ASSERT_EQUAL(1, test.lost);
        CPPUNIT_ASSERT_EQUAL(1, test.regained);
    }

    auto malformed_answer_counts_as_an_outage() -> void {
        auto test = follower_fixture{};
        CPPUNIT_ASSERT(test.server.listen(test.address).has_value());
        test.store.listings = {{200, "<html>"}, page_answer("items", {}, 4)};
        test.store.watches = {page_answer("events", {}, 4)};
        test.run_until([&] { return test.known.is_complete; });
        CPPUNIT_ASSERT_EQUAL(1, test.lost);
    }

    // Another writer wrote many values of 1 MB. The pages of a listing are limited, the answer to a watch is
    // not: reading it takes more memory than some machines have, and repeating the watch never brings a
    // change.
    auto watch_answer_that_is_too_large_leads_to_a_new_listing() -> void {
        auto test = follower_fixture{};
        CPPUNIT_ASSERT(test.server.listen(test.address).has_value());
        test.store.listings = {page_answer("items", {target_item({"i-1"}, 4)}, 4),
                               page_answer("items", {target_item({"i-2"}, 60)}, 60)};
        const auto large = store_item{"servers/x", std::string(9U << 20U, 'x'), 59, false};
        test.store.watches = {page_answer("events", {large}, 60), page_answer("events", {}, 60)};
        test.run_until([&] { return test.known.by_name.count("i-2") != 0; });
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{60}, test.known.revision);
        CPPUNIT_ASSERT_EQUAL(1, test.listed_again);
        CPPUNIT_ASSERT_EQUAL(0, test.lost);
    }

    auto removals_after_an_outage_count_as_lapses() -> void {
        auto test = follower_fixture{};
        CPPUNIT_ASSERT(test.server.listen(test.address).has_value());
        test.store.listings = {page_answer("items", {target_item({"i-1"}, 4)}, 4)};
        test.store.watches = {{503, ""}, page_answer("events", {removal_item("i-1", 5)}, 5)};
        test.run_until([&] { return test.known.revision == 5; });
        CPPUNIT_ASSERT(test.known.targets[0].state == presence::lapsed);
    }

    // review/12: cuts of waiting watches in a row kept removed targets in use for good.
    auto removals_after_short_losses_are_final() -> void {
        auto test = follower_fixture{5000};
        CPPUNIT_ASSERT(test.server.listen(test.address).has_value());
        test.store.listings = {page_answer("items", {target_item({"i-1"}, 4)}, 4)};
        test.store.watches = {{503, ""},
                              page_answer("events", {}, 4),
                              {503, ""},
                              page_answer("events", {removal_item("i-1", 5)}, 5)};
        test.run_until([&] { return test.known.revision == 5; });
        CPPUNIT_ASSERT_EQUAL(2, test.regained);
        CPPUNIT_ASSERT(test.known.targets[0].state == presence::gone);
    }

    // The store accepts a watch and says nothing until it is back. It may have been away all that time, so
    // that the pause before the next call is a small part of the outage.
    auto silence_counts_as_an_outage_from_its_beginning() -> void {
        auto test = follower_fixture{store_answer_limit_ms};
        test.known.is_complete = true;
        apply_item(test.known, target_item({"i-1"}, 4), test_start);
        test.known.revision = 4;
        {
            const auto silent = open_listener(test.address);
            CPPUNIT_ASSERT(silent.has_value());
            test.run_until([&] { return test.lost == 1; });
        }
        CPPUNIT_ASSERT(test.server.listen(test.address).has_value());
        test.store.watches = {page_answer("events", {removal_item("i-1", 5)}, 5)};
        test.run_until([&] { return test.known.revision == 5; });
        CPPUNIT_ASSERT(test.known.targets[0].state == presence::lapsed);
    }

    auto removals_without_an_outage_are_final() -> void {
        auto test = follower_fixture{};
        CPPUNIT_ASSERT(test.server.listen(test.address).has_value());
        test.store.listings = {page_answer("items", {target_item({"i-1"}, 4)}, 4)};
        test.store.watches = {page_answer("events", {removal_item("i-1", 5)}, 5)};
        test.run_until([&] { return test.known.revision == 5; });
        CPPUNIT_ASSERT(test.known.targets[0].state == presence::gone);
    }

    // A connection may stop delivering data for good while new ones work.
    auto silent_connection_is_replaced() -> void {
        auto test = follower_fixture{};
        {
            const auto silent = open_listener(test.address);
            CPPUNIT_ASSERT(silent.has_value());
            test.run_until([&] { return test.lost == 1; });
        }
        CPPUNIT_ASSERT(test.server.listen(test.address).has_value());
        test.store.listings = {page_answer("items", {}, 4)};
        test.store.watches = {page_answer("events", {}, 4)};
        test.run_until([&] { return test.known.is_complete; });
        CPPUNIT_ASSERT_EQUAL(1, test.regained);
    }

    // A host that takes over confirms its view to the others, who would take over as well if the answer came
    // only after the wait of a watch.
    auto first_watch_of_a_takeover_is_answered_at_once() -> void {
        auto test = follower_fixture{};
        CPPUNIT_ASSERT(test.server.listen(test.address).has_value());
        test.store.listings = {page_answer("items", {}, 4)};
        test.store.watches = {page_answer("events", {}, 4)};
        test.run_until([&] { return test.store.targets.size() >= 3; });
        CPPUNIT_ASSERT(absl::EndsWith(test.store.targets[1], absl::StrCat("wait-ms=", test_watch_wait_ms)));
        test.follower.enable(false, boot_now());
        test.store.targets.clear();
        const auto news = test.news;
        test.run_until([&] { return test.store.targets.size() >= 3; });
        CPPUNIT_ASSERT(absl::EndsWith(test.store.targets[0], absl::StrCat("wait-ms=", confirming_wait_ms)));
        CPPUNIT_ASSERT(absl::EndsWith(test.store.targets[1], absl::StrCat("wait-ms=", test_watch_wait_ms)));
        CPPUNIT_ASSERT_EQUAL(news + 1, test.news);
    }

    // An answer may wait in the socket of a host that stands still, or on a link that is cut for a moment.
    auto held_up_answer_confirms_the_view_of_when_it_was_due() -> void {
        auto test = follower_fixture{};
        CPPUNIT_ASSERT(test.server.listen(test.address).has_value());
        test.store.listings = {page_answer("items", {}, 4)};
        test.store.watches = {page_answer("events", {}, 4)};
        test.run_until([&] { return test.store.targets.size() == 2; });
        const auto sent_before = boot_now();
        constexpr std::int64_t held_up_ms = 300;
        while (boot_now() < sent_before + (test_watch_wait_ms + held_up_ms)) {
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        }
        test.run_until([&] { return test.store.targets.size() == 3; });
        CPPUNIT_ASSERT(test.follower.view_age_ms(boot_now()) >= held_up_ms);
    }

    // The store came back at a lower revision: the drain had a lower one than the known registration and was
    // dropped as an older change.
    auto drain_after_a_return_to_a_copy_is_seen() -> void {
        auto test = follower_fixture{};
        CPPUNIT_ASSERT(test.server.listen(test.address).has_value());
        test.store.listings = {in_era(page_answer("items", {target_item({"i-1"}, 167)}, 167), "4"),
                               in_era(page_answer("items", {target_item({"i-1"}, 100)}, 107), "5")};
        test.store.watches = {in_era({410, ""}, "5"),
                              in_era(page_answer("events", {draining_target("i-1", 108)}, 108), "5")};
        test.run_until([&] { return test.known.revision == 108; });
        CPPUNIT_ASSERT(test.known.targets[0].entry.state == target_state::draining);
        CPPUNIT_ASSERT((position_of(test.known) == store_position{5, 108}));
        CPPUNIT_ASSERT_EQUAL(1, test.eras);
    }

    // More was written after the return than was lost, so that the known revision was valid again: a drain
    // and a removal under lower revisions were never seen.
    auto changes_under_reused_revisions_are_seen() -> void {
        auto test = follower_fixture{};
        CPPUNIT_ASSERT(test.server.listen(test.address).has_value());
        test.store.listings = {
            in_era(page_answer("items", {target_item({"i-1"}, 90), target_item({"i-2"}, 91)}, 167), "4"),
            in_era(page_answer("items", {draining_target("i-1", 110)}, 199), "5")};
        test.store.watches = {in_era(page_answer("events", {}, 199), "5")};
        test.run_until([&] { return test.known.revision == 199; });
        CPPUNIT_ASSERT(test.known.targets[0].entry.state == target_state::draining);
        CPPUNIT_ASSERT(test.known.targets[test.known.by_name.at("i-2")].state == presence::lapsed);
        CPPUNIT_ASSERT_EQUAL(std::string("/-/kv-range?prefix="), test.store.targets.at(2));
    }

    auto refused_watch_of_a_new_era_leads_to_one_listing() -> void {
        for (const auto status : {410U, 429U, 503U}) {
            auto test = follower_fixture{};
            CPPUNIT_ASSERT(test.server.listen(test.address).has_value());
            test.store.listings = {in_era(page_answer("items", {target_item({"i-1"}, 9)}, 9), "1"),
                                   in_era(page_answer("items", {target_item({"i-1"}, 3)}, 3), "2")};
            test.store.watches = {in_era({status, ""}, "2"), in_era(page_answer("events", {}, 3), "2")};
            test.run_until([&] { return test.store.targets.size() == 5; });
            CPPUNIT_ASSERT((position_of(test.known) == store_position{2, 3}));
            const auto is_listing = [](const std::string& target) {
                return absl::StrContains(target, "kv-range");
            };
            CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{2}, std::count_if(test.store.targets.begin(),
                                                                  test.store.targets.end(), is_listing));
        }
    }

    // A call that was held up, or a second store address that is behind.
    auto answer_of_a_former_era_changes_nothing() -> void {
        auto test = follower_fixture{};
        CPPUNIT_ASSERT(test.server.listen(test.address).has_value());
        test.store.listings = {in_era(page_answer("items", {target_item({"i-1"}, 9)}, 9), "2")};
        test.store.watches = {in_era(page_answer("events", {removal_item("i-1", 20)}, 20), "1"),
                              in_era(page_answer("events", {target_item({"i-2"}, 10)}, 10), "2")};
        test.run_until([&] { return test.known.by_name.count("i-2") != 0; });
        CPPUNIT_ASSERT(test.known.targets[0].state == presence::registered);
        CPPUNIT_ASSERT_EQUAL(1, test.invalid_eras);
        CPPUNIT_ASSERT_EQUAL(0, test.eras);
    }

    auto pages_of_two_eras_are_not_mixed() -> void {
        for (const auto was_complete : {false, true}) {
            auto test = follower_fixture{};
            CPPUNIT_ASSERT(test.server.listen(test.address).has_value());
            test.store.listings = {in_era(page_answer("items", {target_item({"i-1"}, 50)}, 60, true), "1"),
                                   in_era(page_answer("items", {target_item({"i-2"}, 40)}, 45), "2"),
                                   in_era(page_answer("items", {target_item({"i-3"}, 41)}, 45), "2")};
            test.store.watches = {in_era(page_answer("events", {}, 45), "2")};
            if (was_complete) {
                test.store.listings.insert(test.store.listings.begin(),
                                           in_era(page_answer("items", {}, 5), "0"));
                test.store.watches.insert(test.store.watches.begin(), in_era({410, ""}, "1"));
            }
            test.run_until([&] { return test.known.is_complete && test.known.era == 2; });
            CPPUNIT_ASSERT((position_of(test.known) == store_position{2, 45}));
            const auto is_used = [&](const std::string& id) {
                const auto found = test.known.by_name.find(id);
                return found != test.known.by_name.end() &&
                       test.known.targets[found->second].state == presence::registered;
            };
            CPPUNIT_ASSERT(!is_used("i-1") && !is_used("i-2") && is_used("i-3"));
        }
    }

    // Each call is priced: a store that is broken must not be asked thousands of times a second.
    auto era_that_rises_with_each_answer_causes_few_calls() -> void {
        auto test = follower_fixture{};
        CPPUNIT_ASSERT(test.server.listen(test.address).has_value());
        for (auto era = 1; era <= 100; ++era) {
            test.store.listings.push_back(
                in_era(page_answer("items", {target_item({"i-1"}, 4)}, 4), std::to_string(2 * era)));
            test.store.watches.push_back(in_era(page_answer("events", {}, 4), std::to_string(2 * era + 1)));
        }
        const auto end = boot_now() + 2000;
        test.run_until([&] { return boot_now() >= end; });
        const auto calls = test.store.targets.size();
        CPPUNIT_ASSERT_MESSAGE(std::to_string(calls), calls <= 12);
        CPPUNIT_ASSERT(test.known.targets[0].state == presence::registered);
    }

    auto invalid_era_is_counted_and_ignored() -> void {
        auto test = follower_fixture{};
        CPPUNIT_ASSERT(test.server.listen(test.address).has_value());
        test.store.listings = {in_era(page_answer("items", {target_item({"i-1"}, 4)}, 4), "3")};
        auto twice = in_era(page_answer("events", {target_item({"i-6"}, 9)}, 9), "3");
        twice.headers.push_back({"store-era", "4"});
        auto revision = std::uint64_t{4};
        for (const auto* era : {"", "-1", "x", "1.5", "18446744073709551616"}) {
            ++revision;
            const auto id = "i-" + std::to_string(revision - 4);
            test.store.watches.push_back(
                in_era(page_answer("events", {target_item({id}, revision)}, revision), era));
        }
        test.store.watches.insert(test.store.watches.end(), {twice, page_answer("events", {}, 9)});
        test.run_until([&] { return test.known.by_name.size() == 6; });
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, test.known.era);
        CPPUNIT_ASSERT(test.invalid_eras >= 6);
        CPPUNIT_ASSERT_EQUAL(0, test.eras);
    }

    // One answer with a false, high era must not keep the host from the store for good.
    auto false_era_is_given_up() -> void {
        auto test = follower_fixture{};
        CPPUNIT_ASSERT(test.server.listen(test.address).has_value());
        test.store.listings = {in_era(page_answer("items", {target_item({"i-1"}, 4)}, 4), "9000000000"),
                               in_era(page_answer("items", {target_item({"i-2"}, 6)}, 6), "3")};
        test.store.watches = {in_era(page_answer("events", {}, 6), "3")};
        test.run_until([&] { return test.known.by_name.count("i-2") != 0; });
        CPPUNIT_ASSERT((position_of(test.known) == store_position{3, 6}));
        CPPUNIT_ASSERT_EQUAL(max_older_answers - 1, test.invalid_eras);
    }

    auto disabled_follower_makes_no_call() -> void {
        auto test = follower_fixture{};
        CPPUNIT_ASSERT(test.server.listen(test.address).has_value());
        test.store.listings = {page_answer("items", {}, 4)};
        for (auto i = 0; i < 20; ++i) {
            test.follower.on_timer(boot_now());
            test.loop.wait(boot_now() + 1);
        }
        CPPUNIT_ASSERT(test.store.targets.empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(edge_follower_test);

}  // namespace agatepost::edge
