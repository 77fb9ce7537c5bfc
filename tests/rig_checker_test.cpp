// Checks that the rig's checker finds each kind of fault in a history and accepts a fault-free history.

#include <cppunit/extensions/HelperMacros.h>

#include "checker_func.h"

namespace agatepost::rig {

namespace {

constexpr std::uint64_t flow = 1;
constexpr std::uint64_t request = 10;
constexpr std::uint16_t service = 2;
constexpr std::uint16_t target_number = 3;
constexpr std::uint32_t answer_size = 100;

auto event(event_kind kind, std::uint64_t of_request = 0, std::uint32_t bytes = 0) -> history_event {
    auto made = history_event{};
    made.kind = kind;
    made.service = service;
    made.target = target_number;
    made.flow = kind == event_kind::request_run ? 0 : flow;
    made.request = of_request;
    made.bytes = bytes;
    return made;
}

// A flow whose request is run once and answered completely.
auto clean_history() -> history {
    return {event(event_kind::flow_established),
            event(event_kind::request_sent, request, answer_size),
            event(event_kind::request_run, request),
            event(event_kind::answer_bytes, request, 60),
            event(event_kind::answer_bytes, request, 40),
            event(event_kind::answer_complete, request),
            event(event_kind::flow_closed)};
}

class rig_checker_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(rig_checker_test);
    CPPUNIT_TEST(clean_history_passes);
    CPPUNIT_TEST(finds_each_fault);
    CPPUNIT_TEST(excused_flow_is_not_broken);
    CPPUNIT_TEST(finds_false_refusals);
    CPPUNIT_TEST(datagram_without_answer_is_no_fault);
    CPPUNIT_TEST_SUITE_END();

public:
    auto clean_history_passes() -> void {
        const auto found = check(clean_history());
        CPPUNIT_ASSERT(!found.has_faults());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, found.flows);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, found.requests);
    }

    auto finds_each_fault() -> void {
        auto events = clean_history();
        events.push_back(event(event_kind::request_run, request));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, check(events).doubled);

        events = clean_history();
        events[2].service = service + 1;
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, check(events).misdelivered);

        events = clean_history();
        events.push_back(event(event_kind::answer_foreign, request + 1));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, check(events).misdelivered);

        events = clean_history();
        events[3].is_correct = false;
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, check(events).cut);

        events = clean_history();
        events.erase(events.begin() + 4);  // complete, but 40 bytes are missing
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, check(events).cut);

        events = clean_history();
        events.erase(events.begin() + 4, events.begin() + 6);  // closed in the middle of the answer
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, check(events).cut);

        events = clean_history();
        events.erase(events.begin() + 3, events.begin() + 6);  // closed without an answer
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, check(events).lost);

        for (const auto kind : {event_kind::flow_reset, event_kind::flow_timed_out}) {
            events = clean_history();
            events.back() = event(kind);
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, check(events).broken);
        }

        events = clean_history();
        events.push_back(event(event_kind::request_sent, request + 1, 0));
        events.push_back(event(event_kind::request_run, request + 1));
        events.back().target = target_number + 1;  // the flow moved to another target
        events.push_back(event(event_kind::answer_complete, request + 1));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, check(events).broken);
    }

    auto excused_flow_is_not_broken() -> void {
        auto events = clean_history();
        events.resize(3);
        events.push_back(event(event_kind::flow_reset));
        events.push_back(event(event_kind::flow_excused));
        CPPUNIT_ASSERT(!check(events).has_faults());
    }

    auto finds_false_refusals() -> void {
        const auto truthful = history{event(event_kind::flow_refused)};
        CPPUNIT_ASSERT(!check(truthful).has_faults());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, check(truthful).refused);

        auto events = clean_history();
        events.resize(3);
        events.push_back(event(event_kind::flow_refused));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, check(events).false_refusals);

        // The refusal of a datagram names its request; the flow's other requests may be run.
        events = clean_history();
        events.push_back(event(event_kind::request_sent, request + 1, 0));
        events.push_back(event(event_kind::flow_refused, request + 1));
        CPPUNIT_ASSERT(!check(events).has_faults());
        events.push_back(event(event_kind::request_run, request + 1));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, check(events).false_refusals);
    }

    auto datagram_without_answer_is_no_fault() -> void {
        auto events = clean_history();
        events.resize(3);
        events[1].is_datagram = true;
        CPPUNIT_ASSERT(!check(events).has_faults());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, check(events).udp_unanswered);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(rig_checker_test);

}  // namespace

}  // namespace agatepost::rig
