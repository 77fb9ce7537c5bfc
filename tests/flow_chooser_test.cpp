// Tests of the chooser against: counts that differ from the open flows, placement on a target that is not the
// least loaded, retries beyond the budget, connections split over two targets.

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <set>

#include "flow_test_func.h"

namespace agatepost {

namespace {

// Reference model: a list of open flows that each query counts.
struct reference_chooser {
    struct flow {
        std::uint8_t target = 0;
        std::string profile_name;
        bool client_fin = false;
        bool target_fin = false;
        std::uint32_t sequence = 0;
    };
    std::map<int, flow> open;
    std::map<int, flow> closed;

    auto used(std::uint8_t target, const std::string& profile_name) const -> std::uint32_t {
        return static_cast<std::uint32_t>(std::count_if(open.begin(), open.end(), [&](const auto& f) {
            return f.second.target == target && f.second.profile_name == profile_name;
        }));
    }
    auto close(int id, flow_end end, bool is_reset) -> void {
        const auto found = open.find(id);
        if (found == open.end()) {
            return;
        }
        (end == flow_end::client ? found->second.client_fin : found->second.target_fin) = true;
        if (is_reset || (found->second.client_fin && found->second.target_fin)) {
            closed[id] = found->second;
            open.erase(found);
        }
    }
};

const auto syn = std::vector<std::uint8_t>(60);

auto compare_counts(const pool_chooser& chooser, const reference_chooser& reference, int targets) -> void {
    const auto counts = chooser.own_counts();
    for (auto i = 1; i <= targets; ++i) {
        const auto index = static_cast<std::uint8_t>(i);
        RC_ASSERT(counts[index].slots_busy == reference.used(index, "r"));
        RC_ASSERT(counts[index].connections == reference.used(index, "f"));
    }
}

// Opens a flow in both models and checks that the target is one of the least loaded below its limit.
auto check_open(pool_chooser& chooser, reference_chooser& reference, int targets, int n,
                const std::string& profile_name, std::uint32_t sequence, time_ms when) -> void {
    const auto result = chooser.open(id_of_number(n), profile_name, sequence, syn.data(), syn.size(), when);
    const auto known = reference.open.find(n);
    if (known != reference.open.end() && known->second.sequence == sequence) {
        RC_ASSERT(result.target == known->second.target);
        return;
    }
    reference.open.erase(n);
    reference.closed.erase(n);
    auto least = UINT32_MAX;
    for (auto i = 1; i <= targets; ++i) {
        least = std::min(least, reference.used(static_cast<std::uint8_t>(i), profile_name));
    }
    const auto limit = profile_name == "r" ? 3U : 2000U;
    if (least >= limit) {
        RC_ASSERT(result.target == 0);
        RC_ASSERT(result.reason == counter::refuse_no_capacity);
        return;
    }
    RC_ASSERT(result.target != 0);
    RC_ASSERT(reference.used(result.target, profile_name) == least);
    reference.open[n] = {result.target, profile_name, false, false, sequence};
}

class flow_chooser_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(flow_chooser_test);
    CPPUNIT_TEST(random_operations_match_a_reference_chooser);
    CPPUNIT_TEST(unanswered_syn_goes_to_another_target_within_the_budget);
    CPPUNIT_TEST(refused_syn_goes_to_another_target);
    CPPUNIT_TEST(changed_health_is_recorded);
    CPPUNIT_TEST(only_the_first_answering_target_is_connected);
    CPPUNIT_TEST(ejections_are_ignored_when_most_targets_are_unhealthy);
    CPPUNIT_TEST(reserve_is_closed_to_lower_priorities);
    CPPUNIT_TEST(reserve_holds_against_waiting_and_only_within_its_kind);
    CPPUNIT_TEST(full_target_takes_as_many_waiting_flows_as_the_profile_says);
    CPPUNIT_TEST(inherited_counts_fall_once_for_each_close);
    CPPUNIT_TEST(half_closed_flow_of_the_previous_chooser_expires_soon);
    CPPUNIT_TEST(inherited_slots_whose_closes_were_lost_are_free_within_two_seconds);
    CPPUNIT_TEST(half_closed_and_idle_flows_expire);
    CPPUNIT_TEST(false_reports_neither_empty_nor_flood_a_target);
    CPPUNIT_TEST(new_target_starts_slowly);
    CPPUNIT_TEST(draining_target_gets_no_new_flow);
    CPPUNIT_TEST_SUITE_END();

    time_ms start_{1000000};

    static auto open(pool_chooser& chooser, int n, time_ms when, const char* profile_name = "r")
        -> std::uint8_t {
        return chooser.open(id_of_number(n), profile_name, 1, syn.data(), syn.size(), when).target;
    }

public:
    auto random_operations_match_a_reference_chooser() -> void {
        const auto has_passed = rc::check("random history", [&] {
            constexpr auto targets = 4;
            auto pool = test_pool(targets);
            pool.request.slow_start_ms = 0;
            auto chooser = pool_chooser("p", "z", *rc::gen::inRange(1, 1000000));
            chooser.configure(*pool.build(), 0, start_);
            auto reference = reference_chooser{};
            const auto steps = *rc::gen::inRange(1, 300);
            for (auto i = 0; i < steps; ++i) {
                const auto n = *rc::gen::inRange(0, 30);
                const auto id = id_of_number(n);
                const auto found = reference.open.find(n);
                switch (*rc::gen::inRange(0, 6)) {
                    case 0:
                    case 1: {
                        const auto name = n % 3 == 0 ? std::string("f") : std::string("r");
                        const auto sequence = static_cast<std::uint32_t>(*rc::gen::inRange(1, 3));
                        check_open(chooser, reference, targets, n, name, sequence, start_);
                        break;
                    }
                    case 2: {
                        if (found == reference.open.end() && reference.closed.count(n) == 0) {
                            break;  // adoption has its own tests
                        }
                        const auto from = static_cast<std::uint8_t>(*rc::gen::inRange(1, targets + 1));
                        const auto expected = found != reference.open.end() && found->second.target == from
                                                  ? answer_action::to_client
                                                  : answer_action::reset_target;
                        RC_ASSERT(chooser.answer(id, from, "r", start_) == expected);
                        break;
                    }
                    case 3:
                    case 4: {
                        const auto end = *rc::gen::element(flow_end::client, flow_end::target);
                        const auto index =
                            found == reference.open.end() ? std::uint8_t{1} : found->second.target;
                        const auto is_wrong = *rc::gen::inRange(0, 4) == 0;
                        const auto sent = is_wrong ? static_cast<std::uint8_t>(index % targets + 1) : index;
                        const auto is_reset = *rc::gen::inRange(0, 4) == 0;
                        chooser.close(id, end, is_reset, sent, true, "r", start_);
                        if (!is_wrong) {
                            reference.close(n, end, is_reset);
                        }
                        break;
                    }
                    default:
                        chooser.expire(start_);  // nothing is due yet
                        break;
                }
                compare_counts(chooser, reference, targets);
            }
        });
        CPPUNIT_ASSERT(has_passed);
    }

    auto unanswered_syn_goes_to_another_target_within_the_budget() -> void {
        auto chooser = pool_chooser("p", "z", 7);
        chooser.configure(*test_pool(10, 1000).build(), 0, start_);
        const auto first = open(chooser, 0, start_);
        CPPUNIT_ASSERT(chooser.expire(start_ + 799).empty());
        const auto retries = chooser.expire(start_ + 800);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, retries.size());
        CPPUNIT_ASSERT(retries[0].target != first);
        CPPUNIT_ASSERT(retries[0].packet == syn);
        // 1000 further SYNs, none answered: at most 10% of the new flows and the refilled floor are retried.
        for (auto n = 1; n <= 1000; ++n) {
            open(chooser, n, start_ + 900);
        }
        auto total = std::size_t{1};
        for (auto ms = 1000; ms < 6000; ms += 10) {
            total += chooser.expire(start_ + ms).size();
        }
        CPPUNIT_ASSERT(total > 20);
        CPPUNIT_ASSERT(total <= 100 + 3 + 3);  // budget, initial floor, floor refilled over 5 s
    }

    auto refused_syn_goes_to_another_target() -> void {
        auto chooser = pool_chooser("p", "z", 7);
        chooser.configure(*test_pool(3).build(), 0, start_);
        const auto first = open(chooser, 0, start_);
        const auto refused = chooser.refused(id_of_number(0), first, start_);
        CPPUNIT_ASSERT(refused.action == answer_action::retry);
        CPPUNIT_ASSERT(refused.retry.target != first);
        CPPUNIT_ASSERT_EQUAL(0U, chooser.own_counts()[first].slots_busy);
        // The refusing target is ejected for a while, although it has the fewest flows.
        for (auto n = 1; n <= 4; ++n) {
            CPPUNIT_ASSERT(open(chooser, n, start_ + 10) != first);
        }
        CPPUNIT_ASSERT_EQUAL(int{first}, int{open(chooser, 9, start_ + 1100)});
    }

    auto changed_health_is_recorded() -> void {
        CPPUNIT_ASSERT(is_recorded(history_kind::health, "p-verdict", [&] {
            auto chooser = pool_chooser("p-verdict", "z", 7);
            chooser.configure(*test_pool(3).build(), 0, start_);
            chooser.apply_report(1, 0, 0, true, start_);
            chooser.apply_report(1, 0, 0, false, start_);
        }));
        for (const auto& entry : recent_history(history_kind::health)) {
            const auto is_own = entry.fields.at(0).second == "p-verdict";
            CPPUNIT_ASSERT(!is_own || entry.fields.at(2).second == "unreachable");
        }
    }

    auto only_the_first_answering_target_is_connected() -> void {
        auto chooser = pool_chooser("p", "z", 7);
        chooser.configure(*test_pool(3).build(), 0, start_);
        const auto id = id_of_number(0);
        const auto first = open(chooser, 0, start_);
        const auto second = chooser.expire(start_ + 800).at(0).target;
        CPPUNIT_ASSERT(chooser.answer(id, first, "r", start_ + 900) == answer_action::to_client);
        CPPUNIT_ASSERT(chooser.answer(id, second, "r", start_ + 901) == answer_action::reset_target);
        CPPUNIT_ASSERT_EQUAL(int{first}, int{chooser.target_of(id)});
        CPPUNIT_ASSERT_EQUAL(1U, chooser.own_counts()[first].slots_busy);
        CPPUNIT_ASSERT_EQUAL(0U, chooser.own_counts()[second].slots_busy);
        // A late refusal of the other target must not end the flow.
        CPPUNIT_ASSERT(chooser.refused(id, second, start_ + 902).action == answer_action::drop);
        CPPUNIT_ASSERT_EQUAL(int{first}, int{chooser.target_of(id)});
    }

    auto ejections_are_ignored_when_most_targets_are_unhealthy() -> void {
        auto chooser = pool_chooser("p", "z", 7);
        chooser.configure(*test_pool(4).build(), 0, start_);
        for (const auto index : {1, 2}) {
            chooser.apply_report(static_cast<std::uint8_t>(index), 0, 0, false, start_);
        }
        for (auto n = 0; n < 4; ++n) {
            CPPUNIT_ASSERT(open(chooser, n, start_) > 2);
        }
        chooser.apply_report(3, 0, 0, false, start_);
        CPPUNIT_ASSERT(chooser.status(start_).are_marks_ignored);
        CPPUNIT_ASSERT(open(chooser, 5, start_) <= 2);
    }

    auto reserve_is_closed_to_lower_priorities() -> void {
        auto pool = test_pool(2, 3);
        pool.request.priority = 5;
        pool.feed.kind = flow_kind::request;
        pool.feed.priority = 0;
        pool.feed.reserve_percent = 30;
        pool.feed.queue_percent = 0;
        auto chooser = pool_chooser("p", "z", 7);
        chooser.configure(*pool.build(), 0, start_);
        for (auto n = 0; n < 4; ++n) {
            CPPUNIT_ASSERT(open(chooser, n, start_, "r") != 0);
        }
        const auto refused = chooser.open(id_of_number(4), "r", 1, syn.data(), syn.size(), start_);
        CPPUNIT_ASSERT_EQUAL(0, int{refused.target});
        CPPUNIT_ASSERT(refused.reason == counter::refuse_no_capacity);
        CPPUNIT_ASSERT(open(chooser, 5, start_, "f") != 0);
        CPPUNIT_ASSERT(open(chooser, 6, start_, "f") != 0);
        CPPUNIT_ASSERT_EQUAL(0, int{open(chooser, 7, start_, "f")});
    }

    // Low priorities must not use a reserve, neither directly nor by queueing. A reserve of feeds must not
    // refuse requests: feeds use connections, requests use slots.
    auto reserve_holds_against_waiting_and_only_within_its_kind() -> void {
        auto pool = test_pool(1);
        pool.request.priority = 0;
        pool.request.reserve_percent = 30;
        pool.feed.priority = 0;
        pool.feed.reserve_percent = 90;
        auto chooser = pool_chooser("p", "z", 7);
        chooser.configure(*pool.build(), 0, start_);
        CPPUNIT_ASSERT(open(chooser, 0, start_, "l") != 0);
        CPPUNIT_ASSERT(open(chooser, 1, start_, "l") != 0);
        const auto refused = chooser.open(id_of_number(2), "l", 2, syn.data(), syn.size(), start_);
        CPPUNIT_ASSERT_EQUAL(0, int{refused.target});
        CPPUNIT_ASSERT(refused.reason == counter::refuse_no_capacity);
        CPPUNIT_ASSERT(open(chooser, 3, start_) != 0);
        CPPUNIT_ASSERT_EQUAL(0, int{open(chooser, 4, start_)});
        CPPUNIT_ASSERT(open(chooser, 5, start_, "f") != 0);
    }

    // A burst that fills all slots is queued at the targets up to the limit instead of being refused.
    auto full_target_takes_as_many_waiting_flows_as_the_profile_says() -> void {
        auto pool = test_pool(1);
        pool.request.queue_percent = 100;
        auto chooser = pool_chooser("p", "z", 7);
        chooser.configure(*pool.build(), 0, start_);
        for (auto n = 0; n < 6; ++n) {
            CPPUNIT_ASSERT(open(chooser, n, start_) != 0);
        }
        CPPUNIT_ASSERT_EQUAL(0, int{open(chooser, 6, start_)});
    }

    auto inherited_counts_fall_once_for_each_close() -> void {
        auto chooser = pool_chooser("p", "z", 7);
        auto previous = pool_counts{};
        previous[1].slots_busy = 2;
        chooser.inherit(previous, 0, previous.size());
        chooser.configure(*test_pool(2).build(), 0, start_);
        CPPUNIT_ASSERT_EQUAL(2, int{open(chooser, 0, start_)});
        // A flow held by an owner was not counted here, so its close must not be counted.
        chooser.close(id_of_number(2), flow_end::target, true, 1, false, "r", start_);
        CPPUNIT_ASSERT_EQUAL(2U, chooser.counts()[1].slots_busy);
        const auto id = id_of_number(1);
        for (auto i = 0; i < 3; ++i) {  // retransmitted FINs
            chooser.close(id, flow_end::client, false, 1, true, "r", start_);
            CPPUNIT_ASSERT_EQUAL(2U, chooser.counts()[1].slots_busy);
        }
        for (auto i = 0; i < 3; ++i) {
            chooser.close(id, flow_end::target, false, 1, true, "r", start_);
            CPPUNIT_ASSERT_EQUAL(1U, chooser.counts()[1].slots_busy);
        }
    }

    // A flow whose other FIN went through the previous chooser must not occupy a slot for two minutes.
    auto half_closed_flow_of_the_previous_chooser_expires_soon() -> void {
        auto chooser = pool_chooser("p", "z", 7);
        auto previous = pool_counts{};
        previous[1].slots_busy = 1;
        chooser.inherit(previous, 0, previous.size());
        chooser.configure(*test_pool(1).build(), 0, start_);
        chooser.close(id_of_number(1), flow_end::client, false, 1, true, "r", start_);
        CPPUNIT_ASSERT_EQUAL(1U, chooser.counts()[1].slots_busy);
        for (auto elapsed = std::int64_t{0}; elapsed <= 4000; elapsed += 100) {
            (void)chooser.expire(start_ + elapsed);
        }
        CPPUNIT_ASSERT_EQUAL(0U, chooser.counts()[1].slots_busy);
    }

    // Closes that reach the previous chooser during a handover are lost to the next one, which must not
    // refuse new flows for lack of capacity.
    auto inherited_slots_whose_closes_were_lost_are_free_within_two_seconds() -> void {
        constexpr std::int64_t recovery_limit_ms = 2000;
        auto chooser = pool_chooser("p", "z", 7);
        auto previous = pool_counts{};
        previous[1] = {3, 1000};
        chooser.inherit(previous, 0, previous.size());
        chooser.configure(*test_pool(1).build(), 0, start_);
        for (auto elapsed = std::int64_t{0}; elapsed <= recovery_limit_ms; elapsed += 100) {
            (void)chooser.expire(start_ + elapsed);
        }
        CPPUNIT_ASSERT_EQUAL(0U, chooser.counts()[1].slots_busy);
        CPPUNIT_ASSERT_EQUAL(1000U, chooser.counts()[1].connections);
    }

    auto half_closed_and_idle_flows_expire() -> void {
        auto pool = test_pool(2);
        pool.request.idle_timeout_ms = 300000;
        auto chooser = pool_chooser("p", "z", 7);
        chooser.configure(*pool.build(), 0, start_);
        for (auto n = 0; n < 3; ++n) {
            chooser.answer(id_of_number(n), open(chooser, n, start_), "r", start_);
        }
        chooser.close(id_of_number(0), flow_end::client, false, 0, true, "r", start_);
        const auto open_after = [&](std::int64_t ms) {
            for (auto i = std::int64_t{0}; i < 16; ++i) {
                chooser.expire(start_ + ms + i * 100);
            }
            return chooser.status(start_).open_flows;
        };
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, open_after(110000));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, open_after(120000));
        chooser.touch(id_of_number(1), 1, "r", start_ + 200000);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, open_after(300000));
    }

    auto false_reports_neither_empty_nor_flood_a_target() -> void {
        auto chooser = pool_chooser("p", "z", 7);
        chooser.configure(*test_pool(2, 3).build(), 0, start_);
        CPPUNIT_ASSERT(open(chooser, 0, start_) != open(chooser, 1, start_));
        chooser.apply_report(1, 0, 0, true, start_);  // reports no load
        chooser.apply_report(2, 3, 0, true, start_);  // reports full load
        CPPUNIT_ASSERT_EQUAL(1, int{open(chooser, 2, start_)});
        CPPUNIT_ASSERT_EQUAL(2, int{open(chooser, 3, start_)});
        CPPUNIT_ASSERT_EQUAL(2U, chooser.counts()[1].slots_busy);
        CPPUNIT_ASSERT_EQUAL(2U, chooser.counts()[2].slots_busy);
    }

    auto new_target_starts_slowly() -> void {
        auto pool = test_pool(2, 100);
        auto chooser = pool_chooser("p", "z", 7);
        chooser.configure(*pool.build(), 0, start_);
        pool.targets.push_back(test_pool(3, 100).targets[2]);
        chooser.configure(*pool.build(), 0, start_);
        for (auto n = 0; n < 60; ++n) {
            open(chooser, n, start_ + 1000);
        }
        CPPUNIT_ASSERT(chooser.counts()[3].slots_busy >= 1);
        CPPUNIT_ASSERT(chooser.counts()[3].slots_busy <= 6);
        for (auto n = 60; n < 120; ++n) {
            open(chooser, n, start_ + 10000);
        }
        CPPUNIT_ASSERT(chooser.counts()[3].slots_busy >= 35);
    }

    auto draining_target_gets_no_new_flow() -> void {
        auto pool = test_pool(2);
        auto chooser = pool_chooser("p", "z", 7);
        chooser.configure(*pool.build(), 0, start_);
        open(chooser, 0, start_);
        const auto before = open(chooser, 1, start_);
        pool.targets[before - 1U].state = target_state::draining;
        chooser.configure(*pool.build(), 0, start_);
        CPPUNIT_ASSERT_EQUAL(int{before}, int{open(chooser, 1, start_)});  // the retransmitted SYN
        CPPUNIT_ASSERT(open(chooser, 2, start_) != before);
        const auto explained = chooser.explain("r", start_).targets.at(before - 1U);
        CPPUNIT_ASSERT(explained.fault == candidate_fault::not_ready);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(flow_chooser_test);

}  // namespace

}  // namespace agatepost
