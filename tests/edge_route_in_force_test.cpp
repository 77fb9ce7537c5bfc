// SYNs obey the route, the drains and the evacuations in force when they are sent on: first ones, copies,
// retries and those that waited in the host. A target that opens a flow by an outdated route breaks the
// configuration that is in use already.

#include <rapidcheck.h>

#include "edge_test_func.h"

namespace agatepost::edge {

namespace {

constexpr std::uint16_t port_count = 5;

// A host with two services of two zones, whose clients send SYNs and copies.
class opening_model {
public:
    opening_model()
        : state_(test_state({{"i-1", "desk", "a"},
                             {"i-2", "desk", "a"},
                             {"i-3", "desk", "b"},
                             {"i-4", "desk", "b"},
                             {"i-5", "archive", "a"},
                             {"i-6", "archive", "b"}},
                            {{443, "desk", "idempotent", 50}})) {
        revision_ = state_.known.revision;
    }

    auto move_route(bool to_archive) -> void {
        ++revision_;
        apply_item(state_.known,
                   routes_item({{443, to_archive ? "archive" : "desk", "idempotent", 50}},
                               static_cast<int>(revision_), revision_),
                   at_);
    }

    auto toggle_drain(unsigned target) -> void {
        auto& entry = state_.known.targets[target % 6].entry;
        const auto is_ready = entry.state == target_state::ready;
        apply_item(state_.known,
                   target_item({entry.name, entry.service, entry.zone, "10.1.64.1:8000",
                                is_ready ? "draining" : "ready"},
                               ++revision_),
                   at_);
    }

    auto toggle_evacuation(const std::string& zone) -> void {
        const auto is_evacuated = state_.known.evacuated_zones.count(zone) != 0;
        apply_item(state_.known, {"op/evacuate/" + zone, "", ++revision_, is_evacuated}, at_);
    }

    // Makes all targets of a service look full, or free.
    auto set_busy(unsigned target, std::uint32_t flows) -> void {
        state_.known.targets[target % 6].load.peer_busy_flows = flows;
    }

    auto send_syn(std::uint16_t port, std::uint32_t copy) -> void {
        auto packet = client_syn(port);
        packet.acknowledgement = copy;
        const auto verdict = handle_packet(state_, packet, current_view, at_);
        if (verdict.action == packet_action::forward) {
            check(verdict.target);
        }
    }

    // Sends what is due after some time.
    auto pass(std::int64_t ms) -> void {
        at_ = at_ + ms;
        for (const auto& retry : collect_syn_retries(state_, at_)) {
            check(retry.target);
        }
        for (const auto& done : collect_waited_syns(state_, at_)) {
            if (action_after_wait(done.reason) == packet_action::forward) {
                check(done.opening.target);
            }
        }
    }

private:
    auto check(target_index index) const -> void {
        const auto& target = state_.known.targets[index].entry;
        RC_ASSERT(target.service == state_.known.routes.begin()->second.entry.backends[0].service);
        RC_ASSERT(target.state == target_state::ready);
        RC_ASSERT(state_.known.evacuated_zones.count(target.zone) == 0U);
    }

    forwarding_state state_;
    std::uint64_t revision_ = 0;
    time_ms at_ = test_start;
};

}  // namespace

class edge_route_in_force_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(edge_route_in_force_test);
    CPPUNIT_TEST(copy_at_its_limit_goes_to_the_new_service);
    CPPUNIT_TEST(copy_at_its_limit_goes_to_no_draining_target);
    CPPUNIT_TEST(copy_at_its_limit_goes_to_the_last_target_in_force);
    CPPUNIT_TEST(likely_copy_opens_no_flow_at_the_former_service);
    CPPUNIT_TEST(copy_of_an_open_flow_opens_none_at_the_former_service);
    CPPUNIT_TEST(waiting_syn_is_not_held_up_by_the_former_service);
    CPPUNIT_TEST(no_history_sends_a_syn_by_an_outdated_route);
    CPPUNIT_TEST_SUITE_END();

    static auto send(forwarding_state& state, std::uint32_t copy) -> packet_verdict {
        auto packet = client_syn(1);
        packet.acknowledgement = copy;
        return handle_packet(state, packet, current_view, test_start + std::int64_t{10} * copy);
    }

    // Returns a host whose SYN of port 1 was left unanswered by all three targets of "desk".
    static auto state_at_the_limit() -> forwarding_state {
        auto state = test_state({{"i-1"}, {"i-2"}, {"i-3"}, {"i-7", "archive"}});
        for (auto copy = 0U; copy < syn_target_limit; ++copy) {
            CPPUNIT_ASSERT(send(state, copy).action == packet_action::forward);
        }
        return state;
    }

    static auto move_to_archive(forwarding_state& state) -> void {
        apply_item(state.known, routes_item({{443, "archive"}}, 2, 20), test_start);
    }

public:
    // review/13: the copy went to a target of the former service, which ran the request.
    auto copy_at_its_limit_goes_to_the_new_service() -> void {
        auto state = state_at_the_limit();
        move_to_archive(state);
        const auto verdict = send(state, 3);
        CPPUNIT_ASSERT(verdict.action == packet_action::forward);
        CPPUNIT_ASSERT_EQUAL(std::string("i-7"), name_of(state, verdict));
        CPPUNIT_ASSERT_EQUAL(0U, load(state, "i-1").pending_syns);
        CPPUNIT_ASSERT_EQUAL(1U, load(state, "i-7").pending_syns);
    }

    auto copy_at_its_limit_goes_to_no_draining_target() -> void {
        auto state = state_at_the_limit();
        for (const auto* id : {"i-1", "i-2", "i-3"}) {
            apply_item(state.known, target_item({id, "desk", "a", "10.1.64.1:8000", "draining"}, 20),
                       test_start);
        }
        CPPUNIT_ASSERT(send(state, 3).action == packet_action::drop);
        apply_item(state.known, target_item({"i-8"}, 21), test_start);
        CPPUNIT_ASSERT_EQUAL(std::string("i-8"), name_of(state, send(state, 4)));
    }

    auto copy_at_its_limit_goes_to_the_last_target_in_force() -> void {
        auto state = state_at_the_limit();
        apply_item(state.known, removal_item("i-1", 20), test_start);
        apply_item(state.known, removal_item("i-3", 21), test_start);
        CPPUNIT_ASSERT_EQUAL(std::string("i-2"), name_of(state, send(state, 3)));
    }

    // This host saw no SYN of the open flow, so a SYN with a similar sequence number may begin another one.
    auto likely_copy_opens_no_flow_at_the_former_service() -> void {
        auto state = test_state({{"i-1"}, {"i-7", "archive"}});
        handle_packet(state, data(1, 1, 0), current_view, test_start);
        CPPUNIT_ASSERT_EQUAL(std::string("i-1"), name_of(state, send(state, 1)));
        move_to_archive(state);
        CPPUNIT_ASSERT_EQUAL(std::string("i-7"), name_of(state, send(state, 2)));
    }

    auto copy_of_an_open_flow_opens_none_at_the_former_service() -> void {
        auto state = test_state({{"i-1"}, {"i-7", "archive"}});
        open_flow(state, 1, test_start);
        move_to_archive(state);
        CPPUNIT_ASSERT(name_of(state, send(state, 1)) != "i-1");
    }

    // The SYN waited behind others for the former service, which stays full.
    auto waiting_syn_is_not_held_up_by_the_former_service() -> void {
        auto state = test_state({{"i-1"}, {"i-7", "archive"}},
                                {{443, "desk", "idempotent", 50}, {8443, "desk", "idempotent", 50}});
        state.known.targets[0].load.peer_busy_flows = 20;
        CPPUNIT_ASSERT(handle_packet(state, client_syn(1, 8443), current_view, test_start).action ==
                       packet_action::hold);
        CPPUNIT_ASSERT(handle_packet(state, client_syn(2), current_view, test_start).action ==
                       packet_action::hold);
        apply_item(state.known,
                   routes_item({{443, "archive", "idempotent", 50}, {8443, "desk", "idempotent", 50}}, 2, 20),
                   test_start);
        const auto done = collect_waited_syns(state, test_start + 10);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, done.size());
        CPPUNIT_ASSERT_EQUAL(std::string("i-7"), state.known.targets[done[0].opening.target].entry.name);
    }

    auto no_history_sends_a_syn_by_an_outdated_route() -> void {
        const auto holds = rc::check([] {
            auto model = opening_model{};
            const auto steps = *rc::gen::container<std::vector<unsigned>>(rc::gen::arbitrary<unsigned>());
            for (const auto step : steps) {
                const auto rest = step / 16;
                switch (step % 16) {
                    case 0:
                        model.move_route(rest % 2 == 0);
                        break;
                    case 1:
                        model.toggle_drain(rest);
                        break;
                    case 2:
                        model.toggle_evacuation(rest % 2 == 0 ? "a" : "b");
                        break;
                    case 3:
                        model.set_busy(rest, rest / 8 % 2 * 20);
                        break;
                    case 4:
                    case 5:
                    case 6:
                        model.pass(rest % 2 == 0 ? 10 : 100);
                        break;
                    default:
                        model.send_syn(static_cast<std::uint16_t>(rest % port_count + 1),
                                       rest / port_count % 3);
                }
            }
        });
        CPPUNIT_ASSERT(holds);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(edge_route_in_force_test);

}  // namespace agatepost::edge
