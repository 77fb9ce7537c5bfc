// Tests the explanation of a failed flow from the log lines of several hosts, and that a log pipe without a
// reader does not block a host.

#include <absl/strings/match.h>
#include <cppunit/extensions/HelperMacros.h>
#include <fcntl.h>
#include <unistd.h>

#include <sstream>

#include "core/log_batch_base.h"
#include "core/log_func.h"
#include "edge/explain_log_func.h"

namespace agatepost::edge {

namespace {

auto line(const std::string& second, const std::string& host, const std::string& event,
          const std::string& fields) -> std::string {
    return R"({"time":"2026-01-08T21:51:)" + second + R"(Z","host":")" + host + R"(","name":")" + event +
           "\"" + (fields.empty() ? "" : "," + fields) + "}\n";
}

auto explain(const std::string& log) -> flow_explanation {
    auto in = std::istringstream(log);
    return explain_flow(read_log_lines(in), "100.64.0.7:1051-198.18.0.1:443");
}

const auto id = std::string(R"("flow":"100.64.0.7:1051-198.18.0.1:443")");

auto assert_cause(const flow_explanation& explained, const std::string& part) -> void {
    CPPUNIT_ASSERT_MESSAGE(explained.cause, explained.cause.find(part) != std::string::npos);
}

}  // namespace

class edge_explain_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(edge_explain_test);
    CPPUNIT_TEST(refusal_under_load_is_found);
    CPPUNIT_TEST(loss_with_a_target_is_found);
    CPPUNIT_TEST(loss_with_a_host_is_found);
    CPPUNIT_TEST(old_view_of_a_draining_target_is_found);
    CPPUNIT_TEST(old_configuration_is_found);
    CPPUNIT_TEST(flow_without_lines_is_reported);
    CPPUNIT_TEST(lines_of_others_are_left_out);
    CPPUNIT_TEST(unreadable_lines_are_skipped);
    CPPUNIT_TEST(resets_of_open_flows_are_always_logged);
    CPPUNIT_TEST(full_pipe_drops_lines_and_counts_them);
    CPPUNIT_TEST_SUITE_END();

public:
    auto refusal_under_load_is_found() -> void {
        assert_cause(
            explain(line("01.000", "h1", "flow_refused", id + R"(,"reason":"no_target","version":"3")")),
            "no target of the service takes flows");
        assert_cause(
            explain(line("01.000", "h1", "flow_refused", id + R"(,"reason":"overloaded","version":"3")")),
            "would have answered in time");
    }

    auto loss_with_a_target_is_found() -> void {
        const auto explained = explain(line("05.000", "h2", "target_gone", R"("target":"servers/i-1")") +
                                       line("01.000", "h1", "flow_opened", id + R"(,"target":"i-1")"));
        assert_cause(explained, "lost with its target i-1");
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, explained.lines.size());
        CPPUNIT_ASSERT_EQUAL(std::string("flow_opened"), explained.lines[0].event);
    }

    auto loss_with_a_host_is_found() -> void {
        assert_cause(
            explain(line("01.000", "h1", "flow_opened", id + R"(,"target":"i-1")") +
                    line("02.000", "h2", "edge_started", "") + line("03.000", "h1", "edge_started", "")),
            "its host h1 ended and started again at 2026-01-08T21:51:03.000Z");
    }

    auto old_view_of_a_draining_target_is_found() -> void {
        assert_cause(
            explain(line("01.000", "h2", "target_updated", R"("target":"servers/i-1","state":"draining")") +
                    line("04.500", "h1", "flow_opened", id + R"(,"target":"i-1","view_age_ms":"3400")")),
            "h2 knew to be leaving since 2026-01-08T21:51:01.000Z: the view of h1 was 3400 ms old");
    }

    auto old_configuration_is_found() -> void {
        assert_cause(
            explain(line("01.000", "h1", "flow_refused", id + R"(,"reason":"unknown_route","version":"4")")),
            "no route for this address (version 4");
    }

    auto flow_without_lines_is_reported() -> void {
        assert_cause(explain(line("01.000", "h1", "edge_started", "")),
                     "no host wrote a line about this flow");
    }

    auto lines_of_others_are_left_out() -> void {
        const auto explained =
            explain(line("01.000", "h1", "flow_opened", id + R"(,"target":"i-1")") +
                    line("02.000", "h1", "flow_opened", R"("flow":"other","target":"i-1")") +
                    line("03.000", "h2", "target_gone", R"("target":"servers/i-2")") +
                    line("04.000", "h2", "store_lost", ""));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, explained.lines.size());
    }

    auto unreadable_lines_are_skipped() -> void {
        assert_cause(explain("noise\n{\"time\":\n  -9.94 h1 " +
                             line("01.000", "h1", "flow_refused", id + R"(,"reason":"target_dead")")),
                     "the target died");
    }

    // Each reset of an open flow needs its log line for the explanation.
    auto resets_of_open_flows_are_always_logged() -> void {
        auto lines = 0;
        set_log_writer(
            [&](const std::string& text) { lines += absl::StrContains(text, "flow_reset") ? 1 : 0; });
        constexpr auto resets = static_cast<int>(3 * flow_log_lines_per_window);
        for (auto i = 0; i < resets; ++i) {
            write_log(log_event::flow_reset, {{"flow", std::to_string(i)}});
        }
        set_log_writer({});
        CPPUNIT_ASSERT_EQUAL(resets, lines);
    }

    // Standard output is a pipe without a reader.
    auto full_pipe_drops_lines_and_counts_them() -> void {
        int ends[2] = {-1, -1};
        CPPUNIT_ASSERT_EQUAL(0, pipe2(ends, O_CLOEXEC));
        auto log = log_batch(ends[1]);
        const auto text = std::string(1000, 'x');
        for (auto i = 0; i < 1000; ++i) {
            log.append(text);
            log.flush();
        }
        const auto dropped = log.collect_dropped_count();
        // 64 KiB are in the pipe and log_batch_bytes in memory; all other lines are dropped.
        CPPUNIT_ASSERT(dropped > 600 && dropped < 740);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, log.collect_dropped_count());
        close(ends[0]);
        close(ends[1]);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(edge_explain_test);

}  // namespace agatepost::edge
