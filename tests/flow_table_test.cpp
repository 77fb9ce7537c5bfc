// Tests of the flow table, the bucket tables and the silence table against: flows that change their target,
// wrong counts, lost exceptions, and live flows presumed silent.

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <map>

#include "flow_test_func.h"

namespace agatepost {

namespace {

auto rules_with(flow_kind kind, std::int64_t idle_ms) -> profile {
    auto rules = profile{};
    rules.kind = kind;
    rules.idle_timeout_ms = idle_ms;
    return rules;
}

// Entry of a reference model of the flow table.
struct reference_entry {
    std::uint8_t target = 0;
    bool client_fin = false;
    bool target_fin = false;
    bool is_feed = false;
    std::int64_t touched = 0;

    auto is_closed() const -> bool { return client_fin && target_fin; }
};

class flow_table_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(flow_table_test);
    CPPUNIT_TEST(random_operations_match_a_reference_table);
    CPPUNIT_TEST(buckets_move_only_with_their_owner);
    CPPUNIT_TEST(buckets_are_rebuilt_only_by_a_newer_view);
    CPPUNIT_TEST(answered_flow_is_not_suspect);
    CPPUNIT_TEST(suspect_needs_the_answers_of_all_hosts);
    CPPUNIT_TEST_SUITE_END();

public:
    auto random_operations_match_a_reference_table() -> void {
        const auto has_passed = rc::check("random history", [] {
            auto table = flow_table{};
            auto reference = std::map<int, reference_entry>{};
            auto exceptions = std::map<int, std::uint8_t>{};
            auto when = time_ms{1000};
            const auto steps = *rc::gen::inRange(1, 300);
            for (auto i = 0; i < steps; ++i) {
                const auto n = *rc::gen::inRange(0, 20);
                const auto id = id_of_number(n);
                const auto rules = rules_with(n % 2 == 0 ? flow_kind::request : flow_kind::feed, 60000);
                const auto index = static_cast<std::uint8_t>(*rc::gen::inRange(1, 5));
                const auto known = reference.find(n);
                switch (*rc::gen::inRange(0, 6)) {
                    case 0:
                        table.insert(id, "p", rules, ip_protocol::tcp, index, when);
                        reference[n] = {index, false, false, n % 2 != 0, when.value};
                        break;
                    case 1: {
                        auto expected = std::uint8_t{0};
                        if (known != reference.end()) {
                            known->second.touched = when.value;
                            expected = known->second.target;
                        } else if (exceptions.count(n) != 0) {
                            expected = exceptions[n];
                            reference[n] = {expected, false, false, n % 2 != 0, when.value};
                            exceptions.erase(n);
                        }
                        RC_ASSERT(table.find(id, "p", rules, ip_protocol::tcp, when) == expected);
                        break;
                    }
                    case 2: {
                        const auto end = *rc::gen::element(flow_end::client, flow_end::target);
                        const auto is_reset = *rc::gen::inRange(0, 4) == 0;
                        table.close(id, end, is_reset, when);
                        if (known != reference.end() && is_reset) {
                            reference.erase(known);
                        } else if (known != reference.end()) {
                            (end == flow_end::client ? known->second.client_fin : known->second.target_fin) =
                                true;
                            known->second.touched = when.value;
                        }
                        break;
                    }
                    case 3:
                        table.learn({id.high, index}, when);
                        exceptions[n] = index;
                        break;
                    case 4:
                        table.erase_closed(id);
                        if (known != reference.end() && known->second.is_closed()) {
                            reference.erase(known);
                        }
                        break;
                    default:
                        when = when + *rc::gen::inRange(0, 20000);
                        for (auto shard = std::size_t{0}; shard < flow_table::shard_total; ++shard) {
                            table.expire(when);
                        }
                        for (auto f = reference.begin(); f != reference.end();) {
                            const auto limit = f->second.is_closed() ? 8000 : 60000;
                            f = when.value - f->second.touched >= limit ? reference.erase(f) : std::next(f);
                        }
                        break;
                }
                auto expected = std::map<std::uint8_t, target_counts>{};
                for (const auto& [key, f] : reference) {
                    if (!f.is_closed()) {
                        ++(f.is_feed ? expected[f.target].connections : expected[f.target].slots_busy);
                    }
                }
                const auto counts = table.counts("p");
                RC_ASSERT(counts == indexed_counts(expected.begin(), expected.end()));
                RC_ASSERT(table.size() == reference.size());
            }
        });
        CPPUNIT_ASSERT(has_passed);
    }

    auto buckets_move_only_with_their_owner() -> void {
        auto zone = test_zone(5, test_pool(1).build());
        const auto before = build_buckets(zone.views[0]);
        zone.set_alive(3, false);
        const auto after = build_buckets(zone.views[0]);
        auto moved = 0;
        for (auto n = 0; n < 2000; ++n) {
            const auto id = id_of_number(n);
            const auto owner = before->owner(id)->name;
            // The second-ranked host of a bucket is the one that takes over when its owner dies.
            const auto& expected = owner == "h3" ? before->second_ranked(id)->name : owner;
            CPPUNIT_ASSERT_EQUAL(expected, after->owner(id)->name);
            moved += owner == "h3" ? 1 : 0;
        }
        CPPUNIT_ASSERT(moved > 300 && moved < 500);
    }

    auto buckets_are_rebuilt_only_by_a_newer_view() -> void {
        auto zone = test_zone(3, test_pool(1).build());
        auto buckets = owner_buckets{};
        const auto old_view = zone.views[0];
        const auto first = buckets.of_view(old_view, {1000});
        CPPUNIT_ASSERT(buckets.of_view(old_view, {1001}) == first);
        zone.set_alive(2, false);
        const auto second = buckets.of_view(zone.views[0], {2000});
        CPPUNIT_ASSERT(second != first);
        CPPUNIT_ASSERT(buckets.previous({2000}) == first);
        CPPUNIT_ASSERT(buckets.of_view(old_view, {2001}) == second);  // a worker with an older view
        CPPUNIT_ASSERT(buckets.previous({6000}) == nullptr);
    }

    auto answered_flow_is_not_suspect() -> void {
        auto notes = silence_table{};
        const auto id = id_of_number(1);
        const auto send = [&](std::uint32_t sequence, std::int64_t ms) {
            return notes.record_forward(id, sequence, true, 10000, 1800000, {ms});
        };
        CPPUNIT_ASSERT(!send(100, 1000).is_suspect);
        CPPUNIT_ASSERT(!send(100, 10999).is_suspect);
        CPPUNIT_ASSERT(send(100, 11000).is_suspect);
        notes.record_reverse(id, {11001});
        CPPUNIT_ASSERT(!send(100, 12000).is_suspect);
        // New data after the limit means that the earlier data was acknowledged at another host.
        CPPUNIT_ASSERT(!send(200, 40000).is_suspect);
        CPPUNIT_ASSERT(send(200, 50000).is_suspect);
        // Packets that need no answer never make a flow suspect.
        const auto feed = id_of_number(2);
        for (const auto ms : {1000, 20000, 40000}) {
            CPPUNIT_ASSERT(!notes.record_forward(feed, 5, false, 10000, 1800000, {ms}).is_suspect);
        }
    }

    auto suspect_needs_the_answers_of_all_hosts() -> void {
        const auto hosts = std::vector<std::string>{"b", "c"};
        auto suspect = silent_suspect{};
        suspect.id = id_of_number(1);
        for (const auto is_answered : {true, false}) {
            auto suspects = silent_suspects{};
            CPPUNIT_ASSERT(suspects.add(suspect));
            CPPUNIT_ASSERT(!suspects.add(suspect));
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, suspects.collect_queries(hosts, 16, {1000}).size());
            suspects.answer(suspect.id, "b", silence_verdict::not_seen);
            if (is_answered) {
                suspects.answer(suspect.id, "c", silence_verdict::not_seen);
            }
            CPPUNIT_ASSERT(suspects.collect_silent(hosts, {1999}).empty());
            CPPUNIT_ASSERT_EQUAL(std::size_t{is_answered ? 1U : 0U},
                                 suspects.collect_silent(hosts, {2000}).size());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(flow_table_test);

}  // namespace

}  // namespace agatepost
