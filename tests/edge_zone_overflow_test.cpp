// Replays loads of three zones against the decisions of their hosts, in a model of targets with slots and a
// queue and of reports with an age. Guards against spillover that overloads the receiving zone, that two
// zones send to each other, or that outlasts its reason.

#include <algorithm>
#include <array>
#include <deque>

#include "core/counter_func.h"
#include "core/log_func.h"
#include "edge/zone_load_func.h"
#include "edge/zone_overflow_func.h"
#include "edge_test_func.h"

namespace agatepost::edge {

namespace {

constexpr std::int64_t step_ms = 5;
constexpr std::size_t hosts_per_zone = 3;
constexpr std::int64_t model_request_ms = 300;
constexpr std::int64_t own_report_age_ms = 100;  // of reports of hosts of the own zone
constexpr std::array<std::int64_t, hosts_per_zone> other_report_ages_ms = {400, 600, 800};  // by host
constexpr std::size_t queue_per_slot = 4;  // targets of 2 slots queue 8 requests, then refuse

const std::string model_service = "desk";
const auto model_hash = hash_service(model_service);

struct model_zone {
    std::size_t slots = 100;
    double arrivals_per_s = 0;
    bool is_cut_off = false;  // its reports and its spillover do not arrive
    double next_arrival = 0;  // fraction of an arrival
    std::size_t next_host = 0;
    // At its targets, oldest first: zone of the client, and end (zero: queued).
    std::deque<std::pair<std::string, time_ms>> requests;
    std::array<overflow_state, hosts_per_zone> hosts;
};

// Zones with hosts that decide from reports, one service. Arrivals are evenly spaced: what a host cannot
// foresee, such as a burst, is not the subject.
class overflow_model {
public:
    // Runs until the zones have these loads and all reports show them.
    overflow_model(double load_a, double load_b, double load_c, std::size_t slots_c = 100) {
        zones["c"].slots = slots_c;
        set_load("a", load_a);
        set_load("b", load_b);
        set_load("c", load_c);
        run(3000);
    }
    std::map<std::string, model_zone> zones{{"a", {}}, {"b", {}}, {"c", {}}};
    std::size_t received = 0;          // requests that spillover sent
    double highest_received_load = 0;  // per slot, at arrivals by spillover
    bool was_mutual = false;           // two zones sent to each other at a time

    // Sets the arrivals of a zone to this number of requests in progress per slot.
    auto set_load(const std::string& zone, double per_slot) -> void {
        zones[zone].arrivals_per_s =
            per_slot * static_cast<double>(zones[zone].slots) * 1000 / model_request_ms;
    }
    // Returns the highest share of the zone's hosts for the other zone.
    auto share(const std::string& from, const std::string& to) -> double {
        auto highest = 0.0;
        for (auto& host : zones[from].hosts) {
            const auto& shares = host.services[model_service].decision.shares;
            highest = std::max(highest, shares.count(to) != 0 ? shares.at(to) : 0.0);
        }
        return highest;
    }
    auto run(std::int64_t ms) -> void {
        for (const auto end = at_ + ms; at_ < end; at_ = at_ + step_ms) {
            serve();
            report();
            for (auto& [name, zone] : zones) {
                for (zone.next_arrival += zone.arrivals_per_s * step_ms / 1000; zone.next_arrival >= 1;
                     --zone.next_arrival) {
                    arrive(name, zone);
                }
            }
            for (const auto& [from, to] : {std::pair("a", "b"), std::pair("a", "c"), std::pair("b", "c")}) {
                was_mutual = was_mutual || (share(from, to) > 0 && share(to, from) > 0);
            }
        }
    }
    auto load(const std::string& zone) -> double {
        return static_cast<double>(zones[zone].requests.size()) / static_cast<double>(zones[zone].slots);
    }

private:
    // Starts queued requests at free slots and removes finished ones.
    auto serve() -> void {
        for (auto& [name, zone] : zones) {
            auto& requests = zone.requests;
            requests.erase(
                std::remove_if(requests.begin(), requests.end(),
                               [&](const auto& r) { return r.second != time_ms{} && r.second <= at_; }),
                requests.end());
            for (auto i = std::size_t{0}; i < std::min(zone.slots, requests.size()); ++i) {
                auto& end = requests[i].second;
                end = end == time_ms{} ? at_ + model_request_ms : end;
            }
        }
    }
    // Stores the loads of all zones as they are now.
    auto report() -> void {
        auto loads = zone_loads{};
        for (auto& [name, zone] : zones) {
            loads[{model_hash, name}] = zone.is_cut_off ? reported(name, 0) : zone_load{{}, 0, at_};
        }
        for (auto& [name, zone] : zones) {
            for (const auto& [client, end] : zone.requests) {
                loads[{model_hash, client}].busy[name] += zones[client].is_cut_off ? 0 : 1;
            }
        }
        history_.push_back(std::move(loads));
    }
    auto reported(const std::string& zone, std::int64_t age_ms) const -> zone_load {
        const auto steps = std::min(static_cast<std::size_t>(age_ms / step_ms), history_.size() - 1);
        return history_[history_.size() - 1 - steps].at({model_hash, zone});
    }
    auto arrive(const std::string& name, model_zone& zone) -> void {
        zone.next_host = (zone.next_host + 1) % hosts_per_zone;
        auto& host = zone.hosts[zone.next_host];
        auto& overflow = host.services[model_service];
        if (at_ - overflow.decided >= overflow_interval_ms) {
            auto loads = zone_loads{};
            auto input = overflow_input{model_hash, name, {}, model_request_ms, {}, {}, 1};
            for (const auto& [other, state] : zones) {
                input.slots[other] = static_cast<double>(state.slots);
                loads[{model_hash, other}] = reported(
                    other, other == name ? own_report_age_ms : other_report_ages_ms.at(zone.next_host));
            }
            input.excess_since = overflow.decision.excess_since;
            overflow = with_smoothing(decide_overflow(loads, input, at_), overflow, at_);
        }
        const auto* receiver = receiving_zone(overflow.decision, next_draw(host), false);
        auto& target = receiver == nullptr || zones[*receiver].is_cut_off ? zone : zones[*receiver];
        if (target.requests.size() >= target.slots * (1 + queue_per_slot)) {
            return;
        }
        target.requests.push_back({name, {}});
        if (&target != &zone) {
            ++received;
            highest_received_load = std::max(highest_received_load, load(*receiver));
        }
    }

    time_ms at_ = test_start;
    std::deque<zone_loads> history_;
};

// A host of zone "a" with twice as many requests as slots there, and zone "b" without requests.
auto overloaded_state(const std::string& kind = "non_idempotent") -> forwarding_state {
    auto state = test_state({{"i-a1", "desk", "a", "10.1.64.1:8000", "ready", 100},
                             {"i-b2", "desk", "b", "10.1.64.2:8000", "ready", 200}},
                            {{443, "desk", kind, 1200}});  // requests of 300 ms are expected
    state.overflow.is_enabled = true;
    state.loads[{model_hash, "a"}] = {{{"a", 200}}, 0, test_start};
    state.loads[{model_hash, "b"}] = {{}, 0, test_start};
    return state;
}

// Sends a SYN and returns the zone of its target; empty if it waits.
auto place_syn(forwarding_state& state, std::uint16_t port, time_ms at = test_start) -> std::string {
    const auto verdict = handle_packet(state, client_syn(port), current_view, at);
    return verdict.action == packet_action::forward ? state.known.targets[verdict.target].entry.zone : "";
}

// Opens 20 flows and returns how many go to zone "b".
auto count_flows_to_b(forwarding_state& state) -> int {
    auto flows = 0;
    for (auto port = std::uint16_t{1}; port <= 20; ++port) {
        flows += place_syn(state, port) == "b" ? 1 : 0;
    }
    return flows;
}

auto target(forwarding_state& state, const std::string& name) -> target_record& {
    return state.known.targets[state.known.by_name.at(name)];
}

}  // namespace

class edge_zone_overflow_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(edge_zone_overflow_test);
    CPPUNIT_TEST(overloaded_zone_uses_spare_capacity);
    CPPUNIT_TEST(two_overloaded_zones_share_the_third);
    CPPUNIT_TEST(load_that_moves_to_the_receiver_is_not_sent_back);
    CPPUNIT_TEST(receiver_that_is_cut_off_is_left);
    CPPUNIT_TEST(share_falls_slowly);
    CPPUNIT_TEST(loads_older_than_three_seconds_are_unknown);
    CPPUNIT_TEST(zone_of_one_target_is_not_overloaded);
    CPPUNIT_TEST(no_excess_demand_no_spillover);
    CPPUNIT_TEST(capacity_is_not_granted_twice);
    CPPUNIT_TEST(short_wait_is_not_worth_a_long_way);
    CPPUNIT_TEST(long_flows_follow_the_excess_demand);
    CPPUNIT_TEST(without_zones_or_switched_off_placement_is_as_before);
    CPPUNIT_TEST(round_trips_of_clients_use_no_slots);
    CPPUNIT_TEST(targets_without_new_flows_get_no_spillover);
    CPPUNIT_TEST(copies_stay_and_queued_syns_delay_no_spillover);
    CPPUNIT_TEST(share_of_flows_goes_to_the_receiving_zone_and_is_reported);
    CPPUNIT_TEST_SUITE_END();

    static auto assert_rules(const overflow_model& model) -> void {
        CPPUNIT_ASSERT(model.highest_received_load <= excess_load);
        CPPUNIT_ASSERT(!model.was_mutual);
    }

    // Five times the load in one zone, then its former load.
    auto overloaded_zone_uses_spare_capacity() -> void {
        auto model = overflow_model(0.4, 0.25, 0.25);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, model.received);
        model.set_load("a", 2);
        model.run(8000);
        assert_rules(model);
        CPPUNIT_ASSERT(model.load("b") >= 0.7 && model.load("c") >= 0.7);
        model.set_load("a", 0.4);
        model.run(5000);
        assert_rules(model);
        CPPUNIT_ASSERT_EQUAL(0.0, model.share("a", "b") + model.share("a", "c"));
    }

    auto two_overloaded_zones_share_the_third() -> void {
        auto model = overflow_model(0.4, 0.4, 0.2);
        model.set_load("a", 2);
        model.set_load("b", 1.5);
        model.run(8000);
        assert_rules(model);
        CPPUNIT_ASSERT(model.share("a", "c") > 0 && model.share("b", "c") > 0);
        CPPUNIT_ASSERT(model.load("c") >= 0.7);
        model.set_load("a", 0.4);  // "b" stays overloaded, and "a" has spare capacity for it
        model.run(5000);
        assert_rules(model);
        CPPUNIT_ASSERT_EQUAL(0.0, model.share("a", "b") + model.share("a", "c"));
        CPPUNIT_ASSERT(model.share("b", "a") > 0);
    }

    // The new excess demand of "b" must not go to "a" while hosts of "a" still send to "b".
    auto load_that_moves_to_the_receiver_is_not_sent_back() -> void {
        for (const auto delay_ms : {0, 500, 1000, 1500, 2000, 3000}) {
            auto model = overflow_model(2, 0.25, 0.9);
            CPPUNIT_ASSERT(model.share("a", "b") > 0);
            model.set_load("a", 0.3);
            model.run(delay_ms);
            model.set_load("b", 2);
            model.run(8000);
            CPPUNIT_ASSERT_MESSAGE(std::to_string(delay_ms), !model.was_mutual);
            CPPUNIT_ASSERT(model.share("b", "a") > 0);
        }
    }

    auto receiver_that_is_cut_off_is_left() -> void {
        auto model = overflow_model(0.4, 0.25, 0.25);
        model.set_load("a", 2);
        model.run(4000);
        CPPUNIT_ASSERT(model.share("a", "b") > 0);
        model.zones["b"].is_cut_off = true;
        model.run(max_zone_load_age_ms + 100);
        CPPUNIT_ASSERT_EQUAL(0.0, model.share("a", "b"));
        CPPUNIT_ASSERT(model.share("a", "c") > 0);
        model.run(2000);
        assert_rules(model);
    }

    // A share that followed each dip of the demand would come and go.
    auto share_falls_slowly() -> void {
        auto state = overloaded_state();
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.55, total_share(*update_overflow(state, "desk", test_start)), 0.001);
        state.loads[{model_hash, "a"}].busy = {{"a", 60}};
        const auto* next = update_overflow(state, "desk", test_start + 1000);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.55 / 2.718, total_share(*next), 0.001);
    }

    auto loads_older_than_three_seconds_are_unknown() -> void {
        const auto state = overloaded_state();
        auto input = make_overflow_input(state, "desk", test_start);
        input.excess_since = test_start;
        const auto last_time = test_start + max_zone_load_age_ms;
        const auto last = decide_overflow(state.loads, input, last_time);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.55, total_share(last), 0.001);
        const auto unknown = decide_overflow(state.loads, input, last_time + 1);
        const auto next = with_smoothing(unknown, with_smoothing(last, {}, last_time), last_time + 1);
        CPPUNIT_ASSERT_EQUAL(0.0, total_share(next.decision));
    }

    auto zone_of_one_target_is_not_overloaded() -> void {
        auto model = overflow_model(0.4, 0.25, 0.25, 2);
        model.set_load("a", 2);
        model.run(8000);
        assert_rules(model);
        CPPUNIT_ASSERT(model.load("b") >= 0.7);
        CPPUNIT_ASSERT_EQUAL(0.0, model.share("a", "c"));
    }

    auto no_excess_demand_no_spillover() -> void {
        auto model = overflow_model(0.85, 0.1, 0.6);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, model.received);
    }

    // All zones that send to one together get its spare capacity once.
    auto capacity_is_not_granted_twice() -> void {
        auto loads = zone_loads{};
        loads[{1, "a"}] = {{{"a", 200}, {"c", 20}}, 50, test_start};
        loads[{1, "b"}] = {{{"b", 120}}, 0, test_start};
        loads[{1, "c"}] = {{{"c", 30}}, 0, test_start};
        const auto moved = [&](const std::string& zone, double demand) {
            const auto input =
                overflow_input{1, zone, {{"a", 100}, {"b", 100}, {"c", 100}}, model_request_ms, {}, {}, 1};
            const auto decision = decide_overflow(loads, input, test_start);
            CPPUNIT_ASSERT(decision.shares.size() == (zone == "c" ? 0 : 1));
            return total_share(decision) * demand;
        };
        CPPUNIT_ASSERT_DOUBLES_EQUAL(45, moved("a", 270) + moved("b", 120) + moved("c", 30), 0.001);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(45.0 * 30 / 210, moved("b", 120), 0.001);
    }

    auto short_wait_is_not_worth_a_long_way() -> void {
        auto state = overloaded_state();
        auto input = make_overflow_input(state, "desk", test_start);
        input.request_ms = 100;  // the wait is 100 ms at twice as many requests as slots
        input.round_trips_ms = {{"a", 5}, {"b", 106}};
        const auto reason = [&] { return decide_overflow(state.loads, input, test_start).reason; };
        CPPUNIT_ASSERT(reason() == overflow_reason::short_wait);
        input.round_trips_ms["b"] = 104;
        CPPUNIT_ASSERT(reason() == overflow_reason::excess_demand);
        input.round_trips_ms = {{"b", 106}};  // not measured in the own zone
        CPPUNIT_ASSERT(reason() == overflow_reason::excess_demand);
        CPPUNIT_ASSERT(expected_wait_ms(1, 100, 300) >= expected_wait_ms(0.98, 100, 300));
    }

    // A long flow keeps its target and brings few requests. All new ones leave while a tenth of the zone's
    // slots or more is missing in the other zone, and fewer as it fills.
    auto long_flows_follow_the_excess_demand() -> void {
        const auto flows_with = [](std::uint32_t at_a, std::uint32_t at_b) {
            auto state = overloaded_state("idempotent");
            state.loads[{model_hash, "a"}].busy = {{"a", at_a}, {"b", at_b}};
            return count_flows_to_b(state);
        };
        CPPUNIT_ASSERT_EQUAL(20, flows_with(100, 100));
        CPPUNIT_ASSERT_EQUAL(10, flows_with(95, 105));
        CPPUNIT_ASSERT_EQUAL(2, flows_with(91, 109));
        CPPUNIT_ASSERT_EQUAL(0, flows_with(90, 110));
    }

    auto without_zones_or_switched_off_placement_is_as_before() -> void {
        auto off = overloaded_state();
        off.overflow.is_enabled = false;
        auto one_zone = overloaded_state();
        apply_item(one_zone.known, removal_item("i-b2", 10), test_start);
        auto without_loads = overloaded_state();
        without_loads.loads.clear();
        for (auto* state : {&off, &one_zone, &without_loads}) {
            CPPUNIT_ASSERT_EQUAL(0, count_flows_to_b(*state));
            CPPUNIT_ASSERT(state->random == off.random);
        }
        CPPUNIT_ASSERT(off.overflow.services.empty());
    }

    // Without spillover, a target that looks idle here may be busy with requests of its own zone.
    // A host counts a request for a round trip longer than its target works on it. Without allowance for it,
    // the receiver's slots stay idle while the requests of the overloaded zone are late.
    auto round_trips_of_clients_use_no_slots() -> void {
        auto state = overloaded_state();
        state.loads[{model_hash, "a"}].busy = {{"a", 900}};
        auto input = make_overflow_input(state, "desk", test_start);
        CPPUNIT_ASSERT_EQUAL(1.0, input.requests_per_slot);
        const auto limit = [&] { return decide_overflow(state.loads, input, test_start).limits["b"] * 900; };
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.75 * 200, limit(), 0.001);
        state.round_trips["a"] = {30, 1};
        input = make_overflow_input(state, "desk", test_start);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(300.0 / 270, input.requests_per_slot, 0.001);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.75 * 200 * 300 / 270, limit(), 0.001);
        // The receiver stays three requests below excess demand of its own.
        state.round_trips["a"] = {290, 1};
        input = make_overflow_input(state, "desk", test_start);
        CPPUNIT_ASSERT_EQUAL(max_requests_per_slot, input.requests_per_slot);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.9 * 200 - 3, limit(), 0.001);
    }

    auto targets_without_new_flows_get_no_spillover() -> void {
        const auto check = [](const auto& change) {
            auto state = overloaded_state();
            change(target(state, "i-b2"));
            CPPUNIT_ASSERT_EQUAL(0, count_flows_to_b(state));
        };
        check([](auto& receiver) { receiver.entry.state = target_state::draining; });
        check([](auto& receiver) { receiver.cold_until = test_start + 1; });
        check([](auto& receiver) { receiver.load.suspect_until = test_start + 1; });
        check([](auto& receiver) { receiver.load.peer_busy_flows = 2000; });
    }

    // A copy must not follow a silent first target, and other zones' targets need not wait for the queue's.
    auto copies_stay_and_queued_syns_delay_no_spillover() -> void {
        auto state = overloaded_state();
        apply_item(state.known, target_item({"i-b3", "desk", "b", "10.1.64.3:8000"}, 10), test_start);
        state.overflow.last_draw -= draw_step;  // draws as shares: 0, 0.62, 0.24
        CPPUNIT_ASSERT_EQUAL(std::string("b"), place_syn(state, 1));
        state.queues["desk"].waiting[0].push_back(
            {client_syn(99).flow, test_start, test_start + 1000, false, {}});
        CPPUNIT_ASSERT_EQUAL(std::string(), place_syn(state, 2));  // waits
        CPPUNIT_ASSERT_EQUAL(std::string("b"), place_syn(state, 3));
        CPPUNIT_ASSERT_EQUAL(std::string("a"), place_syn(state, 1, test_start + 200));
    }

    auto share_of_flows_goes_to_the_receiving_zone_and_is_reported() -> void {
        const auto before = counter_value(counter::edge_zone_overflow);
        auto state = overloaded_state();
        CPPUNIT_ASSERT_EQUAL(11, count_flows_to_b(state));  // share 0.55: (200 - 90) / 200
        CPPUNIT_ASSERT_EQUAL(before + 11, counter_value(counter::edge_zone_overflow));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, state.overflow.changed_services.size());
        const auto metrics = render_overflow_shares(state.overflow);
        CPPUNIT_ASSERT(metrics.find("share{service=\"desk\",zone=\"b\"} 0.55\n") != std::string::npos);
        auto lines = std::vector<std::string>{};
        set_log_writer([&](const std::string& line) { lines.push_back(line); });
        log_overflow_changes(state.overflow);
        flush_log();
        set_log_writer({});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, lines.size());
        CPPUNIT_ASSERT(lines[0].find("excess_demand") != std::string::npos);
        update_all_overflows(state, test_start + max_zone_load_age_ms + 1);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, state.overflow.changed_services.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(edge_zone_overflow_test);

}  // namespace agatepost::edge
