// Tests of errors for invalid settings, log lines, the event catalogue, metrics and history.

#include <cppunit/extensions/HelperMacros.h>

#include <cstdlib>
#include <fstream>
#include <set>
#include <sstream>
#include <thread>

#include "core/counter_func.h"
#include "core/histogram_func.h"
#include "core/history_func.h"
#include "core/log_func.h"
#include "core/log_limit_base.h"
#include "core/metrics_func.h"
#include "core/settings_func.h"
#include "core/text_func.h"

namespace agatepost {

namespace {

// Sets an environment variable and unsets it at the end of the scope.
struct scoped_variable {
    scoped_variable(const char* given, const std::string& value) : name(given) {
        setenv(name, value.c_str(), 1);
    }
    scoped_variable(const scoped_variable&) = delete;
    auto operator=(const scoped_variable&) -> scoped_variable& = delete;
    ~scoped_variable() { unsetenv(name); }
    const char* name;
};

// Returns the text of the only problem of these arguments.
auto problem_of(const std::vector<std::string>& arguments) -> std::string {
    const auto problems = argument_problems(arguments);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, problems.size());
    return to_text(problems.front());
}

auto assert_has(const std::string& text, const std::string& part) -> void {
    CPPUNIT_ASSERT_MESSAGE("'" + part + "' is not in: " + text, text.find(part) != std::string::npos);
}

auto catalogue_page() -> std::string {
    auto file = std::ifstream("docs/log-events.md");
    auto text = std::stringstream{};
    text << file.rdbuf();
    return text.str();
}

class core_settings_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(core_settings_test);
    CPPUNIT_TEST(error_describes_invalid_value_of_each_type);
    CPPUNIT_TEST(secrets_are_not_printed_or_taken_from_flags);
    CPPUNIT_TEST(all_problems_are_reported_at_once);
    CPPUNIT_TEST(flag_overrides_environment);
    CPPUNIT_TEST(setting_names_are_unique);
    CPPUNIT_TEST(edit_distance_counts_each_change);
    CPPUNIT_TEST_SUITE_END();

public:
    auto error_describes_invalid_value_of_each_type() -> void {
        assert_has(problem_of({"--workers=65"}),
                   "'65', from the flag --workers, not a number from 1 to 64 threads");
        assert_has(problem_of({"--workers=two"}),
                   "set --workers or AGATEPOST_WORKERS to a number from 1 to 64");
        assert_has(problem_of({"--data-address=127.0.0.1"}), "not an address and port such as");
        assert_has(problem_of({"--peers=127.0.0.1:1,x"}), "not a comma-separated list of addresses");
        assert_has(problem_of({"--name=a b"}), "not 1 to 64 letters");
        assert_has(problem_of({"--log-format=jsn"}), "not one of: json, text; did you mean 'json'?");
        assert_has(problem_of({"--placement=carred"}), "did you mean 'carried'?");
        assert_has(problem_of({"--wokers=2"}), "'--wokers' is not a flag; did you mean '--workers'?");
        assert_has(problem_of({"stray"}), "'stray' is not a flag");
        assert_has(problem_of({"--workers"}), "missing an argument");
        const auto wrong = scoped_variable("AGATEPOST_VNI", "-1");
        assert_has(problem_of({}), "'-1', from the environment variable AGATEPOST_VNI, not a number from 0");
    }

    auto secrets_are_not_printed_or_taken_from_flags() -> void {
        assert_has(problem_of({"--key=" + std::string(64, 'a')}), "not accepted on the command line");
        // A mistyped flag or variable may also hold a secret.
        for (const auto& text : {problem_of({"--key=topsecret"}), problem_of({"--kye=topsecret"})}) {
            CPPUNIT_ASSERT(text.find("topsecret") == std::string::npos);
        }
        {
            const auto key = scoped_variable("AGATEPOST_KEY", "topsecret");
            const auto text = problem_of({});
            assert_has(text, "AGATEPOST_KEY, not 64 hexadecimal digits");
            CPPUNIT_ASSERT(text.find("topsecret") == std::string::npos);
        }
        const auto unknown = scoped_variable("AGATEPOST_KYE", "topsecret");
        const auto text = problem_of({});
        assert_has(text, "AGATEPOST_KYE is not a setting; did you mean 'AGATEPOST_KEY'?");
        CPPUNIT_ASSERT(text.find("topsecret") == std::string::npos);
    }

    auto all_problems_are_reported_at_once() -> void {
        const auto previous = scoped_variable("AGATEPOST_KEY_PREVIOUS", std::string(64, 'b'));
        const auto read = read_settings({"--workers=0", "--vni=x", "--stre=file"});
        CPPUNIT_ASSERT(!read.has_value());
        for (const auto* part : {"4 things are wrong", "'workers'", "'vni'", "'--stre'", "'key-previous'"}) {
            assert_has(read.error().message, part);
        }
    }

    auto flag_overrides_environment() -> void {
        const auto variable = scoped_variable("AGATEPOST_WORKERS", "3");
        CPPUNIT_ASSERT_EQUAL(std::int64_t{3}, read_settings({})->number("workers"));
        CPPUNIT_ASSERT_EQUAL(std::int64_t{2}, read_settings({"--workers", "2"})->number("workers"));
    }

    // Git merges the tables by union, which can keep two versions of a row.
    auto setting_names_are_unique() -> void {
        auto names = std::set<std::string_view>{};
        for (const auto& row : setting_rows()) {
            CPPUNIT_ASSERT_MESSAGE(std::string(row.name), names.insert(row.name).second);
        }
    }

    auto edit_distance_counts_each_change() -> void {
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, edit_distance("kitten", "sitting"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, edit_distance("", "zone"));
        CPPUNIT_ASSERT(!nearest_text("unrelated", {"zone", "vni"}).has_value());
    }
};

class core_log_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(core_log_test);
    CPPUNIT_TEST(field_values_are_escaped);
    CPPUNIT_TEST(repeated_events_are_limited_and_counted);
    CPPUNIT_TEST(catalogue_is_complete);
    CPPUNIT_TEST(catalogue_check_finds_each_fault);
    CPPUNIT_TEST_SUITE_END();

public:
    auto field_values_are_escaped() -> void {
        const auto row = log_event_row{100, "host_started", log_severity::info, ""};
        const auto fields = std::vector<log_field>{{"error", "a\"b\\\n\x1b event=1 \xff"}, {"host", "other"}};
        const auto text = render_log_line({log_format::text, "h 1", "z"}, row, 0, fields);
        CPPUNIT_ASSERT_EQUAL(
            std::string("time=1970-01-01T00:00:00.000Z severity=info event=100 name=host_started "
                        "host=\"h 1\" zone=\"z\" error=\"a\\\"b\\\\\\n\\u001b event=1 \xef\xbf\xbd\" "
                        "field_host=\"other\""),
            text);
        const auto json = render_log_line({log_format::json, "h 1", "z"}, row, 0, fields);
        CPPUNIT_ASSERT(json.find('\n') == std::string::npos);
        assert_has(json, "\"host\":\"h 1\"");
        assert_has(json, "\"field_host\":\"other\"");
    }

    auto repeated_events_are_limited_and_counted() -> void {
        auto limit = log_limit(2, 1000);
        CPPUNIT_ASSERT(limit.admit(200, {0}) == 0U);
        CPPUNIT_ASSERT(limit.admit(200, {1}) == 0U);
        CPPUNIT_ASSERT(!limit.admit(200, {2}));
        CPPUNIT_ASSERT(!limit.admit(200, {999}));
        CPPUNIT_ASSERT(limit.admit(201, {999}) == 0U);
        CPPUNIT_ASSERT(limit.collect_left_out({999}, false).empty());
        CPPUNIT_ASSERT(limit.admit(200, {1000}) == 2U);
        CPPUNIT_ASSERT(limit.admit(200, {1001}) == 0U);
        CPPUNIT_ASSERT(!limit.admit(200, {1002}));
        const auto left_out = limit.collect_left_out({2000}, false);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, left_out.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, left_out.front().second);
    }

    auto catalogue_is_complete() -> void {
        const auto problems = catalogue_problems(log_event_rows(), catalogue_page());
        CPPUNIT_ASSERT_MESSAGE(join_list(problems), problems.empty());
    }

    auto catalogue_check_finds_each_fault() -> void {
        const auto page = catalogue_page();
        const auto at = page.find("| 102 |");
        CPPUNIT_ASSERT(at != std::string::npos);
        const auto length = page.find('\n', at) + 1 - at;
        const auto entry = page.substr(at, length);
        const auto without = page.substr(0, at) + page.substr(at + length);
        const auto first_of = [](const std::vector<log_event_row>& rows, const std::string& text) {
            const auto problems = catalogue_problems(rows, text);
            return problems.empty() ? std::string("none") : problems.front();
        };
        assert_has(first_of(log_event_rows(), without), "event 102 host_stopped: no catalogue entry");
        assert_has(first_of(log_event_rows(), page + entry), "event 102: two catalogue entries");
        assert_has(first_of(log_event_rows(), without + "| 102 | host_stopped | info | x | y |\n"),
                   "differs");
        assert_has(first_of(log_event_rows(), page + "| 999 | x | info | x | y |\n"),
                   "in the catalogue only");
        auto twice = log_event_rows();
        twice.push_back(twice.front());
        assert_has(first_of(twice, page), "number used twice");
    }
};

class core_metrics_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(core_metrics_test);
    CPPUNIT_TEST(parallel_observations_are_all_counted);
    CPPUNIT_TEST(service_counters_are_bounded_and_rendered);
    CPPUNIT_TEST(history_is_bounded_and_in_order);
    CPPUNIT_TEST_SUITE_END();

public:
    auto parallel_observations_are_all_counted() -> void {
        const auto before = histogram_content(histogram_id::batch_size_packets);
        auto threads = std::vector<std::thread>{};
        for (auto i = 0; i < 8; ++i) {
            threads.emplace_back([] {
                for (auto value = 0; value < 1000; ++value) {
                    observe(histogram_id::batch_size_packets, value % 4);
                }
            });
        }
        for (auto& thread : threads) {
            thread.join();
        }
        const auto after = histogram_content(histogram_id::batch_size_packets);
        CPPUNIT_ASSERT_EQUAL(before.total + 8000, after.total);
        CPPUNIT_ASSERT_EQUAL(before.sum + 8000 * 6 / 4, after.sum);
        // Bounds are inclusive: 0 and 1 are in the bucket up to 1, 2 in the bucket up to 2, 3 in the bucket
        // up to 4.
        CPPUNIT_ASSERT_EQUAL(before.counts[0] + 4000, after.counts[0]);
        CPPUNIT_ASSERT_EQUAL(before.counts[1] + 2000, after.counts[1]);
        CPPUNIT_ASSERT_EQUAL(before.counts[2] + 2000, after.counts[2]);
    }

    auto service_counters_are_bounded_and_rendered() -> void {
        const auto before = counter_value(counter::refuse_no_target);
        count(counter::refuse_no_target, "say \"hi\"", 3);
        for (auto i = 0; i < 1500; ++i) {
            count(counter::refuse_no_target, "service-" + std::to_string(i));
        }
        CPPUNIT_ASSERT_EQUAL(before + 1503, counter_value(counter::refuse_no_target));
        CPPUNIT_ASSERT(counted_services().size() <= service_counter_limit);
        CPPUNIT_ASSERT(counter_value(counter::refuse_no_target, other_services) >=
                       1501 - (service_counter_limit - 1));
        const auto text = render_metrics();
        assert_has(text, "agatepost_service_refuse_no_target_total{service=\"say \\\"hi\\\"\"} 3\n");
        assert_has(text, "agatepost_batch_size_packets_bucket{le=\"+Inf\"} ");
    }

    auto history_is_bounded_and_in_order() -> void {
        record_history(history_kind::membership, {{"event", "joined"}});
        auto threads = std::vector<std::thread>{};
        for (auto i = 0; i < 4; ++i) {
            threads.emplace_back([] {
                for (auto n = 0; n < 1000; ++n) {
                    record_history(history_kind::refusal, {{"n", std::to_string(n)}});
                }
            });
        }
        for (auto& thread : threads) {
            thread.join();
        }
        const auto refusals = recent_history(history_kind::refusal);
        CPPUNIT_ASSERT(!refusals.empty() && refusals.size() <= history_capacity);
        for (auto i = std::size_t{1}; i < refusals.size(); ++i) {
            CPPUNIT_ASSERT(refusals[i - 1].sequence < refusals[i].sequence);
        }
        // A burst of refusals displaces no entries of another kind.
        CPPUNIT_ASSERT(!recent_history(history_kind::membership).empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(core_settings_test);
CPPUNIT_TEST_SUITE_REGISTRATION(core_log_test);
CPPUNIT_TEST_SUITE_REGISTRATION(core_metrics_test);

}  // namespace

}  // namespace agatepost
