// Guards operators' changes against an index assigned twice or too early, a lost update between two
// operators, a wrong report or a repetition after a lost response, and references to objects that do not
// exist.

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <atomic>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>

#include "config/config_func.h"
#include "config/operator_func.h"
#include "store_fixture.h"

namespace agatepost {

namespace {

using nlohmann::json;

constexpr std::int64_t quarantine_ms = 1000;

auto target_fields(int number, const std::string& pool = "p") -> json {
    return {{"pool", pool},
            {"address", "10.0." + std::to_string(number / 250) + "." + std::to_string(1 + number % 250)},
            {"zone", "z"}};
}

// Operators with a clock that the test controls.
struct operators {
    operators() {
        options.quarantine_ms = quarantine_ms;
        options.clock = [this] { return clock_ms.load(); };
    }

    auto set(const std::string& kind, const std::string& name, const json& fields) const
        -> result<object_change> {
        return set_object(client, kind, name, fields, merge_rule::update, options);
    }
    auto remove(const std::string& kind, const std::string& name) const -> result<object_change> {
        return remove_object(client, kind, name, options);
    }
    auto read(const std::string& kind, const std::string& name) const -> json {
        const auto stored = client.read(std::string(config_prefix) + kind + "/" + name);
        return *stored ? json::parse((*stored)->value) : json();
    }

    // Writes targets t1, t2 and so on, which hold the lowest indexes.
    auto fill_pool(int total) const -> void {
        auto changes = std::vector<store_change>{};
        for (auto i = 1; i <= total; ++i) {
            const auto name = "t" + std::to_string(i);
            auto document = target_fields(i);
            document["index"] = i;
            document["name"] = name;
            changes.push_back({std::string(config_prefix) + "target/" + name,
                               to_json(*parse_object("target", document)).dump(), 0});
        }
        CPPUNIT_ASSERT(client.transact({}, changes).has_value());
    }

    running_store store;
    store_client client = store.client();
    std::atomic<std::int64_t> clock_ms{1000000};
    operator_options options;
};

// Replays the stored versions of all targets and checks that at no revision two targets in use or in
// quarantine have the same index. Returns the violation, if any. `allocated_at` is the time just
// after the write of a revision, so the allocation used an earlier or equal time.
auto check_index_history(const std::vector<store_event>& events,
                         const std::map<std::uint64_t, std::int64_t>& allocated_at) -> std::string {
    auto targets = std::map<std::string, json>{};
    auto freed = std::map<int, std::int64_t>{};
    for (auto at = events.begin(); at != events.end();) {
        const auto revision = at->revision;
        for (; at != events.end() && at->revision == revision; ++at) {
            if (!at->value) {
                targets.erase(at->key);
                continue;
            }
            const auto document = json::parse(*at->value);
            const auto before = targets.find(at->key);
            const auto is_gone = document.at("state") == "gone";
            const auto index = document.at("index").get<int>();
            if (is_gone) {
                freed[index] = document.at("freed_at_ms").get<std::int64_t>();
            } else if (before == targets.end() || before->second.at("state") == "gone") {
                if (freed.count(index) != 0 && freed[index] + quarantine_ms > allocated_at.at(revision)) {
                    return "index " + std::to_string(index) + " was assigned during its quarantine";
                }
            }
            targets[at->key] = document;
        }
        auto in_use = std::map<int, std::string>{};
        for (const auto& [key, document] : targets) {
            if (document.at("state") != "gone" &&
                !in_use.emplace(document.at("index").get<int>(), key).second) {
                return "index " + document.at("index").dump() + " is in use twice at revision " +
                       std::to_string(revision);
            }
        }
    }
    return {};
}

auto all_events(const store_client& client, const std::string& prefix, std::uint64_t last)
    -> std::vector<store_event> {
    auto events = std::vector<store_event>{};
    (void)client.watch(prefix, 0, [&](const std::vector<store_event>& some) {
        events.insert(events.end(), some.begin(), some.end());
        return events.empty() || events.back().revision < last;
    });
    return events;
}

class config_operator_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(config_operator_test);
    CPPUNIT_TEST(concurrent_allocations_never_share_an_index);
    CPPUNIT_TEST(index_freed_longest_ago_is_reused_after_its_quarantine);
    CPPUNIT_TEST(last_index_goes_to_one_of_two_racing_targets);
    CPPUNIT_TEST(one_of_two_racing_operators_gets_a_conflict);
    CPPUNIT_TEST(lost_responses_are_resolved_by_reading_back);
    CPPUNIT_TEST(references_and_addresses_are_kept_consistent);
    CPPUNIT_TEST(apply_is_idempotent);
    CPPUNIT_TEST_SUITE_END();

public:
    auto concurrent_allocations_never_share_an_index() -> void {
        CPPUNIT_ASSERT(rc::check("no index is used twice or during its quarantine", [] {
            // Few indexes are left, so that freed ones are needed immediately.
            auto all = operators{};
            all.fill_pool(251);
            const auto seed = *rc::gen::arbitrary<unsigned>();
            auto threads = std::vector<std::thread>{};
            auto mutex = std::mutex{};
            auto allocated_at = std::map<std::uint64_t, std::int64_t>{};
            auto failures = std::atomic<int>{0};
            for (auto i = 0; i < 4; ++i) {
                threads.emplace_back([&, i] {
                    auto state = seed + static_cast<unsigned>(i) * 7919U;
                    for (auto step = 0; step < 8; ++step) {
                        state = state * 1664525U + 1013904223U;
                        const auto number = 300 + static_cast<int>(state >> 16U) % 6;
                        const auto name = "t" + std::to_string(number);
                        if ((state >> 8U) % 3 == 0) {
                            auto forced = all.options;
                            forced.is_forced = true;
                            (void)remove_object(all.client, "target", name, forced);
                        } else {
                            const auto done = all.set("target", name, target_fields(number));
                            if (done) {
                                const auto locked = std::lock_guard(mutex);
                                allocated_at.emplace(done->revision, all.clock_ms.load());
                            }
                            const auto is_expected =
                                done || done.error().kind == error_kind::conflict ||
                                done.error().message.find("no free index") != std::string::npos;
                            failures += is_expected ? 0 : 1;
                        }
                        if ((state >> 4U) % 4 == 0) {
                            all.clock_ms += 400;
                        }
                    }
                });
            }
            for (auto& thread : threads) {
                thread.join();
            }
            RC_ASSERT(failures == 0);
            const auto listing = all.client.list(std::string(config_prefix) + "target/");
            auto last = std::uint64_t{0};
            for (const auto& [key, stored] : listing->values) {
                last = std::max(last, stored.revision);
            }
            const auto events = all_events(all.client, std::string(config_prefix) + "target/", last);
            RC_ASSERT(check_index_history(events, allocated_at) == "");
        }));
    }

    auto index_freed_longest_ago_is_reused_after_its_quarantine() -> void {
        auto all = operators{};
        all.fill_pool(255);
        CPPUNIT_ASSERT(all.remove("target", "t9").error().kind == error_kind::invalid_document);
        for (const auto* name : {"t9", "t4"}) {
            CPPUNIT_ASSERT(all.set("target", name, {{"state", "draining"}}).has_value());
            CPPUNIT_ASSERT_EQUAL(std::string("gone"),
                                 all.remove("target", name)->after["state"].get<std::string>());
            ++all.clock_ms;
        }
        CPPUNIT_ASSERT(all.set("target", "new", target_fields(300)).error().kind ==
                       error_kind::invalid_document);
        all.clock_ms += quarantine_ms;
        CPPUNIT_ASSERT_EQUAL(9, all.set("target", "new", target_fields(300))->after["index"].get<int>());
        CPPUNIT_ASSERT(all.read("target", "t9").is_null());
        CPPUNIT_ASSERT(all.read("target", "t4").is_null());
    }

    auto last_index_goes_to_one_of_two_racing_targets() -> void {
        auto all = operators{};
        for (auto i = 0; i < 254; ++i) {
            CPPUNIT_ASSERT(all.set("target", "t" + std::to_string(i), target_fields(i)).has_value());
        }
        auto failures = std::atomic<int>{0};
        auto run = [&](int number) {
            const auto done = all.set("target", "t" + std::to_string(number), target_fields(number));
            if (!done) {
                failures += done.error().remedy.find("index-quarantine") != std::string::npos ? 1 : 100;
            }
        };
        auto other = std::thread(run, 301);
        run(302);
        other.join();
        CPPUNIT_ASSERT_EQUAL(1, failures.load());
    }

    auto one_of_two_racing_operators_gets_a_conflict() -> void {
        auto all = operators{};
        const auto first = all.set("profile", "f", {{"priority", 1}});
        auto late = all.options;
        late.expected_revision = first->revision;
        CPPUNIT_ASSERT(all.set("profile", "f", {{"priority", 2}}).has_value());
        const auto rejected =
            set_object(all.client, "profile", "f", {{"priority", 3}}, merge_rule::update, late);
        CPPUNIT_ASSERT(rejected.error().kind == error_kind::conflict);
        CPPUNIT_ASSERT_EQUAL(2, all.read("profile", "f")["priority"].get<int>());
        // Both operators read the same revision before either writes.
        auto raced = all.client;
        raced.transact = [&](const auto& compares, const auto& changes) {
            (void)all.set("profile", "f", {{"priority", 5}});
            return all.client.transact(compares, changes);
        };
        const auto lost =
            set_object(raced, "profile", "f", {{"priority", 6}}, merge_rule::update, all.options);
        CPPUNIT_ASSERT(lost.error().kind == error_kind::conflict);
        CPPUNIT_ASSERT(lost.error().message.find("priority: 2 -> 5") != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(5, all.read("profile", "f")["priority"].get<int>());
    }

    auto lost_responses_are_resolved_by_reading_back() -> void {
        auto all = operators{};
        all.store.set([](auto& faults) { faults.lost_answers = 1; });
        const auto accepted = all.set("target", "a", target_fields(1));
        CPPUNIT_ASSERT(accepted.has_value() && accepted->revision == all.store.standin.revision());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, all.store.standin.calls()["txn"]);
        all.store.set([](auto& faults) { faults.lost_requests = 1; });
        const auto refused = all.set("target", "b", target_fields(2));
        CPPUNIT_ASSERT(refused.error().kind == error_kind::store_unavailable);
        CPPUNIT_ASSERT(all.read("target", "b").is_null());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, all.store.standin.calls()["txn"]);
        // The store fails before the object is read back.
        auto failing = all.client;
        failing.transact = [&](const auto& compares, const auto& changes) {
            all.store.set([](auto& faults) { faults.is_down = true; });
            return all.client.transact(compares, changes);
        };
        const auto open =
            set_object(failing, "target", "c", target_fields(3), merge_rule::update, all.options);
        CPPUNIT_ASSERT(open.error().kind == error_kind::outcome_unknown);
    }

    auto references_and_addresses_are_kept_consistent() -> void {
        auto all = operators{};
        auto fields =
            json{{"address", "10.9.0.1"}, {"port", 80}, {"pool", "p"}, {"target_port", 1}, {"profile", "f"}};
        CPPUNIT_ASSERT(!all.set("service", "s", fields).has_value());
        CPPUNIT_ASSERT(all.set("profile", "f", json::object()).has_value());
        CPPUNIT_ASSERT(all.set("service", "s", fields).has_value());
        CPPUNIT_ASSERT(!all.remove("profile", "f").has_value());
        fields["target_port"] = 2;
        CPPUNIT_ASSERT(!all.set("service", "s2", fields).has_value());
        CPPUNIT_ASSERT(all.set("service", "s", {{"port", 81}}).has_value());
        CPPUNIT_ASSERT(all.set("service", "s2", fields).has_value());
        CPPUNIT_ASSERT(all.set("target", "a", target_fields(1)).has_value());
        CPPUNIT_ASSERT(!all.set("target", "b", target_fields(1)).has_value());
        CPPUNIT_ASSERT(all.remove("service", "s").has_value());
        CPPUNIT_ASSERT(all.remove("service", "s2").has_value());
        CPPUNIT_ASSERT(all.remove("profile", "f").has_value());
    }

    auto apply_is_idempotent() -> void {
        auto all = operators{};
        const auto text =
            json{{"targets", {{{"name", "a"}, {"pool", "p"}, {"address", "10.0.0.1"}, {"zone", "z"}}}},
                 {"services",
                  {{{"name", "s"},
                    {"address", "10.9.0.1"},
                    {"port", 80},
                    {"pool", "p"},
                    {"target_port", 1},
                    {"profile", "f"}}}},
                 {"profiles", {{{"name", "f"}, {"priority", 2}}}}}
                .dump();
        auto keys = std::vector<std::string>{};
        const auto note = [&](const object_change& change) { keys.push_back(change.key); };
        auto dry = all.options;
        dry.is_dry_run = true;
        CPPUNIT_ASSERT(apply_document(all.client, text, dry, note).has_value());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, all.store.standin.calls()["txn"]);
        CPPUNIT_ASSERT(apply_document(all.client, text, all.options, note).has_value());
        CPPUNIT_ASSERT_EQUAL(std::size_t{6}, keys.size());
        const auto revision = all.store.standin.revision();
        CPPUNIT_ASSERT(apply_document(all.client, text, all.options, note).has_value());
        CPPUNIT_ASSERT_EQUAL(std::size_t{6}, keys.size());
        CPPUNIT_ASSERT_EQUAL(revision, all.store.standin.revision());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(config_operator_test);

}  // namespace

}  // namespace agatepost
