// Guards the etcd client against a wrong outcome after a lost response, a write sent twice, and a watch that
// misses, repeats or reorders changes when its connection is renewed, closed or stalled.

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <mutex>

#include "store_fixture.h"

namespace agatepost {

namespace {

class store_etcd_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(store_etcd_test);
    CPPUNIT_TEST(compare_and_swap_writes_once);
    CPPUNIT_TEST(listing_is_read_in_pages_at_one_revision);
    CPPUNIT_TEST(transaction_changes_all_or_nothing);
    CPPUNIT_TEST(lost_response_to_a_write_is_unknown_and_not_repeated);
    CPPUNIT_TEST(store_that_is_down_or_slow_is_reported);
    CPPUNIT_TEST(next_address_is_tried);
    CPPUNIT_TEST(watch_reports_each_change_once_through_faults);
    CPPUNIT_TEST(compacted_watch_requires_a_listing);
    CPPUNIT_TEST(lease_ends_with_its_keys);
    CPPUNIT_TEST_SUITE_END();

public:
    auto compare_and_swap_writes_once() -> void {
        auto store = running_store{};
        const auto client = store.client();
        const auto created = client.write("/k", 0, "one");
        CPPUNIT_ASSERT(created.has_value());
        CPPUNIT_ASSERT(client.write("/k", 0, "two").error().kind == error_kind::conflict);
        const auto changed = client.write("/k", *created, "three");
        CPPUNIT_ASSERT(changed.has_value() && *changed > *created);
        CPPUNIT_ASSERT(**client.read("/k") == (store_value{"three", *changed}));
        CPPUNIT_ASSERT(client.write("/k", *changed, {}).has_value());
        CPPUNIT_ASSERT(!client.read("/k")->has_value());
    }

    auto listing_is_read_in_pages_at_one_revision() -> void {
        auto store = running_store{};
        const auto client = store.client();
        auto changes = std::vector<store_change>{};
        for (auto i = 0; i < 12000; ++i) {
            changes.push_back({"/many/" + std::to_string(i), std::to_string(i), 0});
        }
        const auto written = client.transact({}, changes);
        CPPUNIT_ASSERT(written.has_value());
        CPPUNIT_ASSERT(client.write("/other", 0, "x").has_value());
        const auto listing = client.list("/many/");
        CPPUNIT_ASSERT_EQUAL(changes.size(), listing->values.size());
        for (const auto& change : changes) {
            CPPUNIT_ASSERT(listing->values.at(change.key) == (store_value{*change.value, *written}));
        }
        CPPUNIT_ASSERT_EQUAL(store.standin.revision(), listing->revision);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, store.standin.calls()["range"]);
    }

    auto transaction_changes_all_or_nothing() -> void {
        auto store = running_store{};
        const auto client = store.client();
        const auto a = client.write("/a", 0, "1");
        const auto refused = client.transact({{"/a", *a}, {"/b", 77}}, {{"/a", "2", 0}, {"/b", "2", 0}});
        CPPUNIT_ASSERT(refused.error().kind == error_kind::conflict);
        CPPUNIT_ASSERT_EQUAL(std::string("1"), (*client.read("/a"))->value);
        const auto done = client.transact({{"/a", *a}, {"/b", 0}}, {{"/a", "2", 0}, {"/b", "2", 0}});
        CPPUNIT_ASSERT(**client.read("/a") == (store_value{"2", *done}));
        CPPUNIT_ASSERT(**client.read("/b") == (store_value{"2", *done}));
    }

    auto lost_response_to_a_write_is_unknown_and_not_repeated() -> void {
        auto store = running_store{};
        const auto client =
            store.client({"--store-address=" + to_text(store.address) + "," + to_text(store.address)});
        store.set([](auto& faults) { faults.lost_answers = 1; });
        CPPUNIT_ASSERT(client.write("/k", 0, "one").error().kind == error_kind::outcome_unknown);
        CPPUNIT_ASSERT_EQUAL(std::string("one"), (*client.read("/k"))->value);
        store.set([](auto& faults) { faults.lost_requests = 1; });
        CPPUNIT_ASSERT(client.write("/l", 0, "one").error().kind == error_kind::outcome_unknown);
        CPPUNIT_ASSERT(!client.read("/l")->has_value());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, store.standin.calls()["txn"]);
    }

    auto store_that_is_down_or_slow_is_reported() -> void {
        auto store = running_store{};
        const auto client = store.client({"--store-timeout=100"});
        store.set([](auto& faults) { faults.is_down = true; });
        CPPUNIT_ASSERT(client.read("/k").error().kind == error_kind::store_unavailable);
        store.set([](auto& faults) {
            faults.is_down = false;
            faults.delay_ms = 30000;
        });
        CPPUNIT_ASSERT(client.read("/k").error().kind == error_kind::store_unavailable);
        CPPUNIT_ASSERT(client.write("/k", 0, "one").error().kind == error_kind::outcome_unknown);
        store.standin.stop();
        CPPUNIT_ASSERT(client.write("/k", 0, "one").error().kind == error_kind::store_unavailable);
    }

    auto next_address_is_tried() -> void {
        auto dead = running_store{};
        auto store = running_store{};
        dead.standin.stop();
        const auto client =
            store.client({"--store-address=" + to_text(dead.address) + "," + to_text(store.address)});
        CPPUNIT_ASSERT(client.write("/k", 0, "one").has_value());
        CPPUNIT_ASSERT_EQUAL(std::string("one"), (*client.read("/k"))->value);
    }

    auto watch_reports_each_change_once_through_faults() -> void {
        auto store = running_store{};
        const auto client = store.client({"--store-watch-renewal=300"});
        const auto start = store.standin.revision();
        auto mutex = std::mutex{};
        auto seen = std::vector<std::uint64_t>{};
        auto is_done = std::atomic<bool>{false};
        auto watcher = std::thread([&] {
            auto from = start;
            while (!is_done) {
                (void)client.watch("/w/", from, [&](const std::vector<store_event>& events) {
                    const auto locked = std::lock_guard(mutex);
                    for (const auto& event : events) {
                        seen.push_back(event.revision);
                        from = event.revision;
                    }
                    return !is_done;
                });
            }
        });
        const auto has_seen = [&](std::uint64_t revision) {
            return eventually([&] {
                const auto locked = std::lock_guard(mutex);
                return !seen.empty() && seen.back() == revision;
            });
        };
        auto written = std::vector<std::uint64_t>{};
        for (auto round = 0; round < 3; ++round) {
            for (auto i = 0; i < 20; ++i) {
                const auto key = "/w/" + std::to_string(round * 100 + i);
                written.push_back(*client.write(key, 0, "v"));
            }
            if (round == 0) {
                CPPUNIT_ASSERT(has_seen(written.back()));
                CPPUNIT_ASSERT(store.standin.calls()["watch"] >= 1);
                store.set([](auto& faults) { faults.are_watches_silent = true; });
            } else if (round == 1) {
                CPPUNIT_ASSERT(has_seen(written.back()));
                store.set([](auto& faults) { faults.is_down = true; });
                store.set([](auto& faults) { faults.is_down = false; });
            }
        }
        CPPUNIT_ASSERT(has_seen(written.back()));
        is_done = true;
        watcher.join();
        CPPUNIT_ASSERT(written == seen);
    }

    auto compacted_watch_requires_a_listing() -> void {
        auto store = running_store{};
        const auto client = store.client();
        const auto first = client.write("/w/a", 0, "1");
        CPPUNIT_ASSERT(client.write("/w/a", *first, "2").has_value());
        store.standin.compact(store.standin.revision());
        const auto watched = client.watch("/w/", 1, [](const auto&) { return true; });
        CPPUNIT_ASSERT(watched.error().kind == error_kind::revision_compacted);
    }

    auto lease_ends_with_its_keys() -> void {
        auto store = running_store{};
        const auto client = store.client();
        const auto lease = client.grant_lease(60);
        CPPUNIT_ASSERT(client.transact({{"/l", 0}}, {{"/l", "v", *lease}}).has_value());
        CPPUNIT_ASSERT_EQUAL(std::int64_t{60}, *client.keep_lease_alive(*lease));
        CPPUNIT_ASSERT(client.revoke_lease(*lease).has_value());
        CPPUNIT_ASSERT(!client.read("/l")->has_value());
        CPPUNIT_ASSERT(client.keep_lease_alive(*lease).error().kind == error_kind::not_found);
        const auto short_lease = client.grant_lease(1);
        CPPUNIT_ASSERT(client.transact({}, {{"/s", "v", *short_lease}}).has_value());
        CPPUNIT_ASSERT(eventually([&] { return !client.read("/s")->has_value(); }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(store_etcd_test);

}  // namespace

}  // namespace agatepost
