// Tests the loads of availability zones: counts, sums, ages, messages between hosts, and their spread through
// a large fleet with a simulated clock.

#include "edge/zone_load_func.h"

#include <rapidcheck.h>

#include <map>
#include <tuple>

#include "core/counter_func.h"
#include "edge/peer_group_base.h"
#include "edge_test_func.h"

namespace agatepost::edge {

namespace {

using nlohmann::json;

const auto desk = hash_service("desk");
const auto docs = hash_service("docs");

auto counts(const std::string& target_zone, std::uint32_t busy, std::uint32_t waiting = 0) -> request_counts {
    return {{{target_zone, busy}}, waiting};
}

auto report_of(const std::string& zone, std::uint32_t waiting, std::int64_t age_ms) -> zone_report {
    return {{{desk, counts("a", 1)}}, {{desk, zone, counts("b", 7, waiting), age_ms, 0}}};
}

// A host's state of the exchange, in the zone "a" unless stated.
struct exchange_state {
    std::string zone = "a";
    zone_load_exchange exchange;
    zone_loads loads;
    service_counts own;

    auto record(std::uint32_t from, const std::string& from_zone, const zone_report& report, time_ms at)
        -> merge_outcome {
        return record_report(exchange, loads, zone, from, from_zone, report, at);
    }
    auto update(const service_counts& own, const std::vector<std::uint32_t>& members, time_ms at) -> void {
        update_own_zone(exchange, loads, zone, own, members, at);
    }
    auto report(const service_counts& own, time_ms at) const -> zone_report {
        return make_report(exchange, loads, zone, own, max_reported_services, at);
    }
};

// Returns a host of "zone-0" that knows the loads of three zones for two services, each count being `count`.
auto loaded_host(std::uint32_t count) -> exchange_state {
    auto host = exchange_state{"zone-0", {}, {}, {}};
    host.own[desk] = host.own[docs] = {{{"zone-0", count}, {"zone-1", count}, {"zone-2", count}}, count};
    for (const auto& [zone, busy] : host.own[desk].busy) {
        host.loads[{desk, zone}] = host.loads[{docs, zone}] = {host.own[desk].busy, count, test_start + -800};
    }
    return host;
}

auto beat_of(const std::string& zone) -> heartbeat {
    auto beat = heartbeat{};
    beat.zone = zone;
    return beat;
}

// Returns a heartbeat of the largest usual size, without zone loads.
auto large_fleet_beat() -> heartbeat {
    auto beat = beat_of("zone-0");
    beat.boot = 0xdeadbeef;
    beat.uptime_ms = 864000000;
    beat.revision = 70000;
    beat.store_age_ms = 2000;
    beat.view_age_ms = 2000;
    beat.peers.resize(max_named_peers, 0x0a010101);
    return beat;
}

auto cbor(const json& message) -> std::string {
    auto bytes = std::string();
    json::to_cbor(message, bytes);
    return bytes;
}

// Returns the elements of a heartbeat without zone loads.
auto nine_elements() -> json {
    return json::from_cbor(encode_heartbeat(large_fleet_beat()));
}

// Three zones of 20 hosts that exchange heartbeats as in a large fleet. Messages take `transit_ms`.
class load_fleet {
public:
    explicit load_fleet(std::int64_t transit_ms) : transit_ms_(transit_ms) {
        for (auto i = std::uint32_t{0}; i < 60; ++i) {
            auto& host = hosts_[0x0a010001 + i];
            host.group.own_address = 0x0a010001 + i;
            host.group.zone = host.state.zone = std::string(1, static_cast<char>('a' + i % 3));
            host.random.seed(i + 1);
            host.next_heartbeat = at_ + static_cast<std::int64_t>(host.random() % heartbeat_ms);
        }
        for (auto& [address, host] : hosts_) {
            for (const auto& [other, state] : hosts_) {
                record_heartbeat(host.group, host.known, other, beat_of(state.state.zone), at_);
            }
        }
    }

    auto run(std::int64_t ms) -> void {
        for (const auto end = at_ + ms; at_ < end; at_ = at_ + 10) {
            for (; !messages_.empty() && messages_.begin()->first <= at_;
                 messages_.erase(messages_.begin())) {
                const auto& [from, to, bytes] = messages_.begin()->second;
                auto& host = hosts_.at(to);
                auto beat = decode_heartbeat(bytes);
                host.state.record(from, beat->zone, *beat->zones, at_);
                record_heartbeat(host.group, host.known, from, std::move(*beat), at_);
            }
            for (auto& [address, host] : hosts_) {
                if (host.state.zone != silent_zone && at_ >= host.next_heartbeat) {
                    send(address, host);
                }
            }
        }
    }

    // Returns the number of sending hosts outside of the zone that know its load for "desk", and the highest
    // age. Silent hosts cannot pass loads on to each other, so each depends on messages from other zones.
    auto knowing(const std::string& zone) const -> std::pair<std::size_t, std::int64_t> {
        auto result = std::pair<std::size_t, std::int64_t>{};
        for (const auto& [address, host] : hosts_) {
            const auto* load = find_load(host.state.loads, desk, zone, at_);
            if (host.state.zone != zone && host.state.zone != silent_zone && load != nullptr) {
                ++result.first;
                // 20 hosts with 2 requests each, including those that have not reported in the last second.
                CPPUNIT_ASSERT_EQUAL(40U, load->busy.at("a"));
                result.second = std::max(result.second, at_ - load->measured);
            }
        }
        return result;
    }

    std::string silent_zone;

private:
    struct model_host {
        exchange_state state;
        peer_group group;
        directory known;
        std::minstd_rand random;
        time_ms next_heartbeat;
    };
    auto send(std::uint32_t address, model_host& host) -> void {
        host.next_heartbeat = at_ + heartbeat_ms;
        const auto own = service_counts{{desk, counts("a", 2)}};
        expire_loads(host.state.exchange, host.state.loads, at_);
        host.state.update(own, zone_members(host.group, at_), at_);
        auto beat = beat_of(host.state.zone);
        beat.peers = named_peers(host.group, at_, host.random);
        add_report(beat, host.state.exchange, host.state.loads, own, large_fleet_receivers, at_);
        for (const auto to : heartbeat_receivers(host.group, at_, host.random)) {
            messages_.emplace(at_ + transit_ms_, std::make_tuple(address, to, encode_heartbeat(beat)));
        }
    }

    std::int64_t transit_ms_ = 0;
    std::map<std::uint32_t, model_host> hosts_;
    std::multimap<time_ms, std::tuple<std::uint32_t, std::uint32_t, std::string>> messages_;  // from, to
    time_ms at_ = test_start;
};

}  // namespace

class edge_zone_load_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(edge_zone_load_test);
    CPPUNIT_TEST(own_requests_are_counted_by_zone_of_their_targets);
    CPPUNIT_TEST(silent_member_counts_as_the_average_of_the_others);
    CPPUNIT_TEST(load_of_an_idle_zone_is_known);
    CPPUNIT_TEST(end_of_requests_is_reported);
    CPPUNIT_TEST(load_ages_through_two_hosts);
    CPPUNIT_TEST(older_load_never_replaces_a_newer_one);
    CPPUNIT_TEST(old_load_is_unknown);
    CPPUNIT_TEST(malformed_reports_are_rejected);
    CPPUNIT_TEST(corrupted_reports_do_not_end_the_process);
    CPPUNIT_TEST(false_loads_do_not_exhaust_the_memory);
    CPPUNIT_TEST(heartbeat_of_nine_elements_is_read);
    CPPUNIT_TEST(report_contains_the_services_and_zones_with_most_traffic);
    CPPUNIT_TEST(messages_stay_within_their_limits);
    CPPUNIT_TEST(loads_reach_all_hosts_of_a_large_fleet);
    CPPUNIT_TEST(load_of_a_silent_zone_becomes_unknown);
    CPPUNIT_TEST_SUITE_END();

public:
    auto own_requests_are_counted_by_zone_of_their_targets() -> void {
        auto state = test_state({{"i-1"}, {"i-2", "desk", "b"}, {"i-3", "docs", "b"}});
        state.known.targets[0].load.busy_flows = 3;
        state.known.targets[0].load.pending_syns = 1;
        state.known.targets[1].load.pending_syns = 2;
        state.known.targets[2].load.busy_flows = 5;
        state.queues["desk"].waiting[1].resize(4);
        const auto expected = service_counts{{desk, {{{"a", 4}, {"b", 2}}, 4}}, {docs, counts("b", 5)}};
        CPPUNIT_ASSERT(count_own_requests(state) == expected);
    }

    auto silent_member_counts_as_the_average_of_the_others() -> void {
        auto host = exchange_state{};
        host.record(2, "a", {{{desk, {{{"a", 6}, {"b", 1}}, 2}}}, {}}, test_start);
        host.record(3, "a", {{{desk, {{{"a", 2}, {"b", 2}}, 1}}}, {}}, test_start + 500);
        host.record(9, "b", {{{desk, counts("a", 100)}}, {}}, test_start + 500);
        host.update({{desk, counts("a", 4)}}, {2, 3, 4}, test_start + max_count_age_ms);
        auto expected = zone_load{{{"a", 16}, {"b", 4}}, 4, test_start + max_count_age_ms};
        CPPUNIT_ASSERT(host.loads.at({desk, "a"}) == expected);  // 12, 3 and 3 of three hosts, times 4/3
        // The counts of host 2 are now too old, so two of four hosts are known.
        host.update({{desk, counts("a", 4)}}, {2, 3, 4}, test_start + max_count_age_ms + 1);
        expected = {{{"a", 12}, {"b", 4}}, 2, test_start + max_count_age_ms + 1};
        CPPUNIT_ASSERT(host.loads.at({desk, "a"}) == expected);
    }

    // An unknown load would keep other zones from sending requests to an idle zone.
    auto load_of_an_idle_zone_is_known() -> void {
        auto host = exchange_state{};
        host.update({}, {}, test_start);
        CPPUNIT_ASSERT(host.loads.empty());
        host.record(9, "b", report_of("b", 3, 0), test_start);
        host.update({}, {}, test_start);
        CPPUNIT_ASSERT((host.loads.at({desk, "a"}) == zone_load{{}, 0, test_start}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, host.report({}, test_start).loads.size());
    }

    // Other zones would use the last load for 3 s. Reports of 0 must not keep the service in each other's
    // reports for ever.
    auto end_of_requests_is_reported() -> void {
        auto host = exchange_state{};
        host.update({{desk, counts("a", 1)}}, {}, test_start);
        const auto last = test_start + max_load_age_ms;
        host.record(9, "b", {{}, {{desk, "b", {}, 0, 0}}}, last);
        host.update({}, {}, last);
        const auto zero = zone_report{{{desk, {}}}, {{desk, "a", {}, 0, 0}, {desk, "b", {}, 0, 1}}};
        CPPUNIT_ASSERT(host.report({}, last) == zero);
        host.update({}, {}, last + 1);
        CPPUNIT_ASSERT(host.report({}, last + 1) == zone_report{});
    }

    auto load_ages_through_two_hosts() -> void {
        auto second = exchange_state{};
        auto third = exchange_state{"c", {}, {}, {}};
        second.record(9, "b", report_of("b", 5, 100), test_start);
        const auto passed = encode_report(second.report({}, test_start + 300), "a");
        third.record(2, "a", *decode_report(passed, "a"), test_start + 300);
        const auto expected = zone_load{{{"b", 7}}, 5, test_start + -100};
        CPPUNIT_ASSERT(third.loads.at({desk, "b"}) == expected);
        CPPUNIT_ASSERT_EQUAL(2U, third.exchange.hops.at({desk, "b"}));
        CPPUNIT_ASSERT(third.report({}, test_start + 1000).loads.back().age_ms == 1100);
    }

    auto older_load_never_replaces_a_newer_one() -> void {
        auto host = exchange_state{};
        host.record(9, "b", report_of("b", 1, 0), test_start);
        CPPUNIT_ASSERT(host.record(3, "c", report_of("b", 2, 51), test_start + 50).older == 1);
        CPPUNIT_ASSERT_EQUAL(1U, host.loads.at({desk, "b"}).waiting);
        CPPUNIT_ASSERT(host.record(3, "c", report_of("b", 3, 49), test_start + 50).taken == 1);
        CPPUNIT_ASSERT_EQUAL(3U, host.loads.at({desk, "b"}).waiting);
        // A load that was passed on appears younger by the time in transit.
        auto passed_on = report_of("b", 4, 0);
        passed_on.loads[0].hops = 1;
        CPPUNIT_ASSERT(host.record(3, "c", passed_on, test_start + 1 + hop_allowance_ms).older == 1);
        CPPUNIT_ASSERT(host.record(3, "c", passed_on, test_start + 2 + hop_allowance_ms).taken == 1);
        // What others say of the own zone is never newer than the own counts.
        host.update({{desk, counts("a", 1)}}, {}, test_start + 200);
        host.record(3, "c", report_of("a", 4, 0), test_start + 210);
        CPPUNIT_ASSERT_EQUAL(0U, host.loads.at({desk, "a"}).waiting);
    }

    auto old_load_is_unknown() -> void {
        auto host = exchange_state{};
        host.record(9, "b", report_of("b", 1, 1000), test_start);
        const auto last = test_start + (max_load_age_ms - 1000);
        CPPUNIT_ASSERT(find_load(host.loads, desk, "b", last) != nullptr);
        CPPUNIT_ASSERT(find_load(host.loads, desk, "b", last + 1) == nullptr);
        CPPUNIT_ASSERT(host.report({}, last + 1) == zone_report{});
        expire_loads(host.exchange, host.loads, last);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, other_zones(host.loads, "a").size());
        expire_loads(host.exchange, host.loads, last + 1);
        CPPUNIT_ASSERT(host.loads.empty() && host.exchange.hops.empty());
    }

    auto malformed_reports_are_rejected() -> void {
        CPPUNIT_ASSERT(decode_report(json::parse(R"([["b"],[7],[1,2,3],[0,1,2,3,null]])"), "a"));
        // Other structures; parts, counts or loads too many or too few; values out of range; repeated,
        // missing or too many zones and services.
        auto rejected = json::parse(R"([7, {}, [[]], [["b"],[7],[1,2,3],[0,1,2,3,null],[]],
            [["b"],[7],[1,2,3],{"x":1}], [["b"],[7],[1,2,3],[0,1,2,null,null]],
            [["b"],[7],[1,2],[0,1,2,3,null]], [["b"],[7],[1,2,3,4],[0,1,2,3,null]],
            [["b"],[7],[1,2,3],[0,1,2,3]], [["b"],[7],[1,2,3],[0,1,2,3,null,null]],
            [["b"],[7],[1000001,2,3],[0,1,2,3,null]], [["b"],[7],[1,2,3],[0,1,2,1000001,null]],
            [["b"],[7],[-1,2,3],[0,1,2,3,null]], [["b"],[7],[1.5,2,3],[0,1,2,3,null]],
            [["b"],[7],[1,2,3],[24008,1,2,3,null]], [["b"],[4294967296],[1,2,3],[0,1,2,3,null]],
            [["zone-0"],[7],[1,2,3],[0,1,2,3,null]], [[""],[7],[1,2,3],[0,1,2,3,null]],
            [["b"],[],[],[]], [["b"],[7,7],[1,2,3,1,2,3],[null,null,null,null]],
            [[],[1,2,3,4,5],[1,1,1,1,1,1,1,1,1,1],[null,null,null,null,null]],
            [["b","c","d","e","f","g","h","i"],[7],[1,1,1,1,1,1,1,1,1,1],
             [null,null,null,null,null,null,null,null,null]]])");
        rejected.push_back({{std::string(max_zone_name_bytes + 1, 'x')}, {7}, {1, 2, 3}, {nullptr, nullptr}});
        const auto before = counter_value(counter::edge_zone_loads_malformed);
        for (const auto& element : rejected) {
            auto message = nine_elements();
            message.push_back(element);
            CPPUNIT_ASSERT_MESSAGE(element.dump(), !decode_heartbeat(cbor(message)));
        }
        CPPUNIT_ASSERT_EQUAL(before + rejected.size(), counter_value(counter::edge_zone_loads_malformed));
    }

    auto corrupted_reports_do_not_end_the_process() -> void {
        const auto host = loaded_host(300);
        auto beat = large_fleet_beat();
        beat.zones = host.report(host.own, test_start);
        const auto valid = encode_heartbeat(beat);
        CPPUNIT_ASSERT(*decode_heartbeat(valid) == beat);
        const auto ok = rc::check("changed reports", [&] {
            auto bytes = valid;
            for (auto i = *rc::gen::inRange(1, 4); i > 0; --i) {
                bytes[*rc::gen::inRange(valid.size() / 2, valid.size())] =
                    static_cast<char>(*rc::gen::inRange(0, 256));
            }
            if (const auto read = decode_heartbeat(bytes); read && read->zones) {
                auto receiver = exchange_state{};
                receiver.record(9, read->zone, *read->zones, test_start);
                receiver.update({}, {9, 8}, test_start);
                const auto passed = receiver.report({}, test_start);
                RC_ASSERT(decode_report(encode_report(passed, "a"), "a") == passed);
            }
        });
        CPPUNIT_ASSERT(ok);
    }

    auto false_loads_do_not_exhaust_the_memory() -> void {
        auto host = exchange_state{};
        auto full = std::size_t{0};
        for (auto i = 0; i < 1000; ++i) {
            full += host.record(9, "x", report_of("zone-" + std::to_string(i), 1, 0), test_start).full;
        }
        CPPUNIT_ASSERT_EQUAL(max_known_loads, host.loads.size());
        CPPUNIT_ASSERT_EQUAL(1000 - max_known_loads, full);
        // Sums of the largest counts stay valid in a message.
        for (auto i = 1U; i <= 3; ++i) {
            host.record(i, "a", {{{desk, counts("a", max_load_count, max_load_count)}}, {}}, test_start);
        }
        host.update({{desk, counts("a", 1)}}, {1, 2, 3, 4}, test_start);
        CPPUNIT_ASSERT(decode_report(encode_report(host.report({}, test_start), "a"), "a"));
    }

    // Fleets with targets in one zone send it, as does every host between two reports.
    auto heartbeat_of_nine_elements_is_read() -> void {
        CPPUNIT_ASSERT(!needs_zone_loads(test_state({{"i-1"}, {"i-2"}}).known));
        CPPUNIT_ASSERT(needs_zone_loads(test_state({{"i-1"}, {"i-2", "desk", "b"}}).known));
        const auto nine = nine_elements();
        CPPUNIT_ASSERT(nine.size() == 9 && *decode_heartbeat(cbor(nine)) == large_fleet_beat());
    }

    auto report_contains_the_services_and_zones_with_most_traffic() -> void {
        auto host = exchange_state{};
        auto own = service_counts{};
        for (auto i = 1U; i <= 12; ++i) {
            own[i].waiting = i;
            own[12].busy["z" + std::to_string(i)] = i;
        }
        host.update(own, {}, test_start);
        const auto report = host.report(own, test_start);
        CPPUNIT_ASSERT_EQUAL(max_reported_services, report.own.size());
        CPPUNIT_ASSERT_EQUAL(0, static_cast<int>(report.own.count(1) + report.own.count(8)));
        CPPUNIT_ASSERT_EQUAL(max_reported_zones - 1, report.own.at(12).busy.size());
        CPPUNIT_ASSERT_EQUAL(6U, report.own.at(12).busy.at("z6"));
        CPPUNIT_ASSERT(decode_report(encode_report(report, "a"), "a") == report);
    }

    // Counts of 999 are beyond what the design covers: 150 targets with 2 slots and a queue of 8 hold 500
    // requests in each of 3 zones. Control traffic is computed for heartbeats every 200 ms to 6 receivers,
    // with UDP and IP headers.
    auto messages_stay_within_their_limits() -> void {
        auto beat = large_fleet_beat();
        const auto without = encode_heartbeat(beat).size();
        beat.zones = zone_report{};
        CPPUNIT_ASSERT_EQUAL(without + 1, encode_heartbeat(beat).size());
        for (const auto count : {5U, 100U, 999U}) {
            const auto host = loaded_host(count);
            const auto interval =
                add_report(beat, host.exchange, host.loads, host.own, large_fleet_receivers, test_start);
            const auto growth = encode_heartbeat(beat).size() - without;
            CPPUNIT_ASSERT_EQUAL(std::size_t{6}, beat.zones->loads.size());
            CPPUNIT_ASSERT_MESSAGE(std::to_string(growth), growth <= 150);
            CPPUNIT_ASSERT(interval <= max_count_age_ms);
            const auto ms = static_cast<std::size_t>(interval);
            const auto bytes = growth + (without + udp_header_bytes) * ms / heartbeat_ms;
            const auto bytes_per_s = bytes * large_fleet_receivers * 1000 / ms;
            CPPUNIT_ASSERT_MESSAGE(std::to_string(bytes_per_s), bytes_per_s <= control_bytes_per_s);
        }
    }

    auto loads_reach_all_hosts_of_a_large_fleet() -> void {
        auto fleet = load_fleet(60);
        fleet.run(5000);
        for (const auto* zone : {"a", "b", "c"}) {
            const auto [known, age_ms] = fleet.knowing(zone);
            CPPUNIT_ASSERT_EQUAL(std::size_t{40}, known);
            CPPUNIT_ASSERT_MESSAGE(std::to_string(age_ms), age_ms <= 1500);
        }
    }

    // Hosts that pass an old load to each other in a circle would make it appear younger each time. 150 ms in
    // transit exceed the allowance for a hop.
    auto load_of_a_silent_zone_becomes_unknown() -> void {
        for (const auto transit_ms : {60, 150}) {
            auto fleet = load_fleet(transit_ms);
            fleet.run(5000);
            fleet.silent_zone = "b";
            fleet.run(max_load_age_ms + std::int64_t{max_load_hops + 1} * transit_ms);
            CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.knowing("b").first);
            CPPUNIT_ASSERT(transit_ms > hop_allowance_ms || fleet.knowing("c").first == 20);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(edge_zone_load_test);

}  // namespace agatepost::edge
