// Tests the limit on opening SYNs to cold targets. Guards against more SYNs in a second than a cold target
// can handle, summed over hosts that disagree about the members of their zone, and against a limit where none
// is set.

#include <functional>
#include <map>

#include "core/counter_func.h"
#include "edge/cold_start_func.h"
#include "edge/peer_group_base.h"
#include "edge_test_func.h"

namespace agatepost::edge {

namespace {

constexpr std::int64_t second_ms = 1000;
constexpr std::int64_t up_long_ms = 60000;
constexpr int cold_ms = 30000;
constexpr auto bounds = cold_bounds{1.5, 5};
constexpr double per_s = 6;
constexpr std::ptrdiff_t limit = 14;  // per_s x 1.5 + 5

const auto cold_targets = std::vector<test_target>{{"i-01", "desk", "a", "10.1.64.1:1", "ready", 2, cold_ms},
                                                   {"i-02", "desk", "a", "10.1.64.2:1", "ready", 2, cold_ms},
                                                   {"i-03", "desk", "b", "10.2.64.3:1", "ready", 2, cold_ms}};

// Returns a state with cold targets, assigned to this host alone.
auto cold_state(const std::vector<test_target>& targets, double service_per_s = per_s) -> forwarding_state {
    auto state = test_state(targets);
    state.known.cold = bounds;
    state.known.cold_per_s["desk"] = service_per_s;
    assign_cold_targets(state.known, "a", 1, std::vector<cold_zone_host>{});
    return state;
}

auto syn_from(std::uint32_t client, std::uint32_t copy = 0) -> client_packet {
    auto syn = client_syn(static_cast<std::uint16_t>(10000 + client));
    syn.acknowledgement = copy;
    return syn;
}

// Sends SYNs of `count` clients from `first` on, and returns how many were forwarded to the target.
auto open_many(forwarding_state& state, const std::string& target, std::uint32_t first, std::uint32_t count,
               time_ms at) -> int {
    auto sent = 0;
    for (auto client = first; client < first + count; ++client) {
        const auto verdict = handle_packet(state, syn_from(client), current_view, at);
        sent += verdict.action == packet_action::forward && name_of(state, verdict) == target ? 1 : 0;
    }
    return sent;
}

// Hosts of zone "a", in a surge of SYNs. Each has its own view of the others, given by `hears`. Records the
// time of every SYN that any of them sends to each target.
struct cold_model {
    struct model_host {
        std::uint32_t address = 0;
        time_ms started = test_start + -up_long_ms;
        bool runs = true;
        bool is_leaving = false;
        peer_group group{address, "a", {}};
        forwarding_state state = cold_state(cold_targets);
    };

    std::vector<model_host> hosts;
    std::function<bool(std::size_t, std::size_t)> hears = [](std::size_t, std::size_t) { return true; };
    std::map<std::string, std::vector<time_ms>> sent;
    time_ms at = test_start;
    std::uint32_t client = 3;

    // The hosts are in the order in which they are assigned to the first target.
    explicit cold_model(std::uint32_t count) {
        for (auto i = std::uint32_t{0}; i < count; ++i) {
            hosts.push_back({0x0a010001 + 37 * i});
        }
        std::sort(hosts.begin(), hosts.end(), [](const auto& a, const auto& b) {
            return rendezvous_weight(a.address, 1) > rendezvous_weight(b.address, 1);
        });
    }

    auto hear_others(std::size_t by) -> void {
        auto& [address, started, runs, is_leaving, group, state] = hosts[by];
        for (auto from = std::size_t{0}; from < hosts.size(); ++from) {
            const auto& other = hosts[from];
            if (from != by && other.runs && at.value % heartbeat_ms == 0 && hears(by, from)) {
                const auto boot = static_cast<std::uint32_t>(other.started.value);
                record_heartbeat(group, state.known, other.address,
                                 {"a", boot, at - other.started, 0, 0, 0, other.is_leaving, {}, {}, {}}, at);
            }
        }
        expire_peers(group, state.known, at);
        const auto others = find_cold_zone_hosts(group, true, at - started, at);
        assign_cold_targets(state.known, "a", address, is_leaving ? std::nullopt : others);
    }

    // Every 10 ms, each running host gets SYNs of 6 clients, and copies of SYNs of this and other hosts.
    auto run(std::int64_t ms) -> void {
        for (const auto end = at + ms; at < end; at = at + 10) {
            for (auto i = std::size_t{0}; i < hosts.size(); ++i) {
                if (hosts[i].runs) {
                    hear_others(i);
                    handle_syns(hosts[i].state);
                }
            }
        }
    }

    auto handle_syns(forwarding_state& state) -> void {
        const auto record = [&](target_index target) {
            sent[state.known.targets[target].entry.name].push_back(at);
        };
        for (auto n = 0; n < 12; ++n) {
            const auto syn = n % 2 == 0 ? syn_from(++client) : syn_from(client - 3, 1);
            const auto verdict = handle_packet(state, syn, current_view, at);
            if (verdict.action == packet_action::forward) {
                record(verdict.target);
            }
        }
        for (const auto& retry : collect_syn_retries(state, at)) {
            record(retry.target);
        }
        for (const auto& waited : collect_waited_syns(state, at)) {
            if (waited.reason == packet_reason::opened) {
                record(waited.opening.target);
            }
        }
    }

    // Returns the largest number of SYNs that one target got in any window of a second.
    auto most_in_a_second() const -> std::ptrdiff_t {
        auto most = std::ptrdiff_t{0};
        for (const auto& [name, times] : sent) {
            for (auto first = times.begin(); first != times.end(); ++first) {
                most = std::max(most, std::upper_bound(first, times.end(), *first + second_ms) - first);
            }
        }
        return most;
    }
};

}  // namespace

class edge_cold_start_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(edge_cold_start_test);
    CPPUNIT_TEST(fields_are_read);
    CPPUNIT_TEST(target_without_limit_gets_all_syns);
    CPPUNIT_TEST(host_sends_half_of_the_limit_in_a_second);
    CPPUNIT_TEST(warm_target_gets_the_syns_of_a_limited_one);
    CPPUNIT_TEST(copies_and_probes_count);
    CPPUNIT_TEST(syn_waits_when_all_targets_are_cold);
    CPPUNIT_TEST(starting_or_alone_host_sends_none);
    CPPUNIT_TEST(hosts_that_agree_keep_the_limit);
    CPPUNIT_TEST(hosts_with_stale_members_keep_the_limit);
    CPPUNIT_TEST(hosts_that_leave_one_after_another_keep_the_limit);
    CPPUNIT_TEST_SUITE_END();

public:
    auto fields_are_read() -> void {
        auto config = nlohmann::json::parse(routes_item({test_route{}}, 1, 1).value);
        config["services"] = {{{"name", "desk"}, {"cold-per-s", 2.5}},
                              {{"name", "news"}, {"cold-per-s", 0}},
                              {{"name", "mail"}, {"cold-s", 8}},
                              {{"name", "text"}, {"cold-per-s", "4"}}};
        auto known = directory{};
        known.platform = &test_platform();
        apply_item(known, {"op/config", config.dump(), 1, false}, test_start);
        const auto expected = absl::flat_hash_map<std::string, double>{{"desk", 2.5}, {"news", 0}};
        CPPUNIT_ASSERT(known.cold_per_s == expected);
        apply_item(known, routes_item({test_route{}}, 2, 2), test_start);
        CPPUNIT_ASSERT(known.cold_per_s.empty());
    }

    // Guards against a limit in deployments without the fields, for warm targets, and after the cold time.
    auto target_without_limit_gets_all_syns() -> void {
        auto target = cold_targets[0];
        target.slots = 200;
        const auto last = test_start + (cold_ms - 1);
        auto no_bounds = cold_state({target}, 0);
        no_bounds.known.cold.reset();
        CPPUNIT_ASSERT_EQUAL(50, open_many(no_bounds, "i-01", 1, 50, last));
        auto no_field = cold_state({target}, 0);
        no_field.known.cold_per_s.clear();
        CPPUNIT_ASSERT_EQUAL(50, open_many(no_field, "i-01", 1, 50, last));
        auto state = cold_state({target}, 0);
        assign_cold_targets(state.known, "a", 1, std::nullopt);
        CPPUNIT_ASSERT_EQUAL(50, open_many(state, "i-01", 1, 50, last + 1));
        // A registration that is read again makes the target cold for its remaining time.
        apply_item(state.known, target_item(target, 100), last + 1);
        CPPUNIT_ASSERT_EQUAL(0, open_many(state, "i-01", 100, 50, last + cold_ms));
    }

    auto host_sends_half_of_the_limit_in_a_second() -> void {
        auto state = cold_state({cold_targets[0]});
        CPPUNIT_ASSERT_EQUAL(4, open_many(state, "i-01", 1, 4, test_start));
        const auto before = counter_value(counter::edge_cold_skipped);
        CPPUNIT_ASSERT_EQUAL(3, open_many(state, "i-01", 100, 10, test_start + 500));
        CPPUNIT_ASSERT_EQUAL(0, open_many(state, "i-01", 200, 10, test_start + second_ms));
        CPPUNIT_ASSERT(counter_value(counter::edge_cold_skipped) > before);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, state.cold_limited_targets.size());  // logged once
        CPPUNIT_ASSERT(cold_share(limit, 1) == 3 && cold_share(1.9, 0) == 0);
    }

    auto warm_target_gets_the_syns_of_a_limited_one() -> void {
        auto warm = test_target{"i-09"};
        warm.slots = 200;
        auto state = cold_state({cold_targets[0], warm}, 0);
        state.known.targets[0].cold.rank.reset();
        CPPUNIT_ASSERT_EQUAL(50, open_many(state, "i-09", 1, 50, test_start));
        CPPUNIT_ASSERT_EQUAL(1U, *least_busy_target(state.known, "desk", test_start));
        state.known.targets[0].load.liveness_check_since = test_start;
        CPPUNIT_ASSERT_EQUAL(5, open_many(state, "i-09", 100, 5, test_start));
    }

    // Guards against copies of SYNs, and SYNs that check a target, beyond the limit.
    auto copies_and_probes_count() -> void {
        auto state = cold_state({cold_targets[0]}, 0);
        state.known.targets[0].load.liveness_check_since = test_start;
        CPPUNIT_ASSERT_EQUAL(1, open_many(state, "i-01", 1, 1, test_start));
        const auto is_sent = [&](std::uint32_t copy, std::int64_t after_ms) {
            const auto at = test_start + after_ms;
            return handle_packet(state, syn_from(1, copy), current_view, at).action == packet_action::forward;
        };
        CPPUNIT_ASSERT(is_sent(1, 10) && !is_sent(2, 20));
        handle_packet(state, handshake_ack(10001, 1), current_view, test_start + 30);
        CPPUNIT_ASSERT(!is_sent(2, 40) && is_sent(2, 2000));
        CPPUNIT_ASSERT_EQUAL(1, open_many(state, "i-01", 50, 2, test_start + 2000));
    }

    auto syn_waits_when_all_targets_are_cold() -> void {
        auto state = cold_state(cold_targets, 0);
        open_many(state, "i-01", 1, 4, test_start);  // two for each target of the zone
        CPPUNIT_ASSERT(state.known.targets[2].cold.sent.empty());
        open_many(state, "i-01", 90, 1, test_start + 900);
        CPPUNIT_ASSERT(collect_waited_syns(state, test_start + 1000).empty());
        const auto placed = collect_waited_syns(state, test_start + cold_window_ms);
        CPPUNIT_ASSERT(placed.size() == 1 && placed[0].reason == packet_reason::opened);
        assign_cold_targets(state.known, "a", 1, std::nullopt);
        // The copies show that the client has not given up.
        for (const auto copy : {0U, 1U, 2U}) {
            const auto at = test_start + (4000 + attempt_age_ms(copy));
            handle_packet(state, syn_from(91, copy), current_view, at);
        }
        CPPUNIT_ASSERT(collect_waited_syns(state, test_start + 4600).empty());
        const auto ended = collect_waited_syns(state, test_start + 4750);
        CPPUNIT_ASSERT(ended.size() == 1 && ended[0].reason == packet_reason::cold_limited);
        CPPUNIT_ASSERT(action_after_wait(ended[0].reason) == packet_action::reset);
    }

    // Guards against hosts that send as if they were alone because they know no other host yet.
    auto starting_or_alone_host_sends_none() -> void {
        auto state = cold_state({cold_targets[0]});
        const auto group = peer_group{1, "a", {}};
        CPPUNIT_ASSERT(!find_cold_zone_hosts(group, false, 1999, test_start));
        CPPUNIT_ASSERT(find_cold_zone_hosts(group, false, 2000, test_start));
        CPPUNIT_ASSERT(!find_cold_zone_hosts(group, true, up_long_ms, test_start));
        assign_cold_targets(state.known, "a", 1, std::nullopt);
        CPPUNIT_ASSERT_EQUAL(0, open_many(state, "i-01", 1, 5, test_start));
    }

    auto hosts_that_agree_keep_the_limit() -> void {
        for (const auto hosts : {1U, 2U, 3U, 6U}) {
            auto model = cold_model(hosts);
            model.run(4000);
            // The assigned host sends its half. A host that knows no other one sends none.
            CPPUNIT_ASSERT_EQUAL(hosts == 1 ? 0 : limit / 2, model.most_in_a_second());
            CPPUNIT_ASSERT(model.sent.count("i-03") == 0);
        }
    }

    // Guards against more than the limit when hosts do not hear each other any more: in one direction, in
    // both, or in two groups; and when two have never heard of each other beside a third that hears both.
    auto hosts_with_stale_members_keep_the_limit() -> void {
        const auto views = std::vector<std::function<bool(std::size_t, std::size_t)>>{
            [](std::size_t, std::size_t) { return false; },
            [](std::size_t by, std::size_t from) { return by < from; },
            [](std::size_t by, std::size_t from) { return by > from; },
            [](std::size_t by, std::size_t from) { return by % 2 == from % 2; }};
        for (const auto& view : views) {
            auto model = cold_model(5);
            model.run(1000);
            model.hears = view;
            model.run(5000);
            CPPUNIT_ASSERT(model.most_in_a_second() <= limit);
            CPPUNIT_ASSERT(model.most_in_a_second() >= limit / 2);
        }
        auto model = cold_model(3);
        model.hears = [](std::size_t by, std::size_t from) { return by == 2 || from == 2; };
        model.run(5000);
        CPPUNIT_ASSERT(model.most_in_a_second() <= limit);
    }

    // Guards against several halves of the limit within a second when hosts stop, die or start one after the
    // other.
    auto hosts_that_leave_one_after_another_keep_the_limit() -> void {
        auto model = cold_model(5);
        model.run(1500);
        for (auto i = std::size_t{0}; i < 3; ++i) {
            model.hosts[i].is_leaving = true;
            model.run(210);
        }
        model.hosts[3].runs = false;
        model.run(2000);
        model.hosts[3] = {model.hosts[3].address, model.at};
        model.run(4000);
        CPPUNIT_ASSERT(model.most_in_a_second() <= limit);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(edge_cold_start_test);

}  // namespace agatepost::edge
