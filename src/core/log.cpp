#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <absl/time/time.h>

#include <algorithm>
#include <boost/log/expressions.hpp>
#include <boost/log/trivial.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <iostream>
#include <limits>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>

#include "core/clock_type.h"
#include "core/log_func.h"
#include "core/log_limit_base.h"

namespace agatepost {

namespace {

using nlohmann::ordered_json;

constexpr log_event_row table[] = {
#define LOG_EVENT(number, name, severity, meaning) {number, #name, log_severity::severity, meaning},
#include "table/log_events.h"
#undef LOG_EVENT
};

// Two events with the same number would have the same enumeration value.
constexpr auto numbers_are_unique() -> bool {
    for (const auto* a = std::begin(table); a != std::end(table); ++a) {
        for (const auto* b = a + 1; b != std::end(table); ++b) {
            if (a->number == b->number) {
                return false;
            }
        }
    }
    return true;
}
static_assert(numbers_are_unique(), "a number appears twice in table/log_events.h");

constexpr std::string_view fixed_fields[] = {"time", "severity", "event", "name", "host", "zone", "left_out"};

// State of the log of this process.
struct log_state {
    std::mutex mutex;
    log_identity identity;
    log_limit limit{log_lines_per_window, log_window_ms};
    log_writer writer;
};

auto state() -> log_state& {
    static log_state instance;
    return instance;
}

auto row_of(std::uint16_t number) -> const log_event_row& {
    return *std::find_if(std::begin(table), std::end(table),
                         [&](const log_event_row& row) { return row.number == number; });
}

auto severity_of(log_severity severity) -> boost::log::trivial::severity_level {
    switch (severity) {
        case log_severity::info:
            return boost::log::trivial::info;
        case log_severity::warning:
            return boost::log::trivial::warning;
        case log_severity::error:
            return boost::log::trivial::error;
    }
    return boost::log::trivial::error;
}

// Events about single flows have the numbers 610 to 619.
auto is_flow_event(log_event event) -> bool {
    constexpr std::uint16_t first = 610;
    constexpr std::uint16_t last = 619;
    const auto number = static_cast<std::uint16_t>(event);
    return number >= first && number <= last;
}

// Returns the number of lines of an event that a window admits. Resets of open flows are never omitted,
// because each one counts as a fault unless its log line gives the reason.
auto lines_per_window(log_event event) -> std::uint32_t {
    if (event == log_event::flow_reset) {
        return std::numeric_limits<std::uint32_t>::max();
    }
    return is_flow_event(event) ? flow_log_lines_per_window : log_lines_per_window;
}

// Lines are rendered before they reach Boost.Log, so its sink writes only the message.
auto ensure_sink() -> void {
    static const auto sink = boost::log::add_console_log(
        std::cerr,
        boost::log::keywords::format = boost::log::expressions::stream << boost::log::expressions::smessage,
        boost::log::keywords::auto_flush = true);
}

auto quoted(const std::string& value) -> std::string {
    return ordered_json(value).dump(-1, ' ', false, ordered_json::error_handler_t::replace);
}

auto write_line(const log_state& shared, const log_event_row& row, const std::vector<log_field>& fields)
    -> void {
    const auto line = render_log_line(shared.identity, row, wall_clock_ms(), fields);
    if (shared.writer) {
        shared.writer(line);
        return;
    }
    ensure_sink();
    BOOST_LOG_STREAM_WITH_PARAMS(::boost::log::trivial::logger::get(),
                                 (::boost::log::keywords::severity = severity_of(row.severity)))
        << line;
}

// Writes the number of omitted lines of each event whose window has ended, or with `all` of every event.
auto write_left_out(log_state& shared, bool all) -> void {
    for (const auto& [number, lines] : shared.limit.collect_left_out(now(), all)) {
        write_line(shared, row_of(number), {{"left_out", std::to_string(lines)}});
    }
}

// Returns the trimmed cells of a Markdown table row.
auto split_table_row(absl::string_view line) -> std::vector<std::string> {
    auto cells = std::vector<std::string>{};
    const std::vector<absl::string_view> parts = absl::StrSplit(line, '|');
    for (auto i = std::size_t{1}; i + 1 < parts.size(); ++i) {
        cells.emplace_back(absl::StripAsciiWhitespace(parts[i]));
    }
    return cells;
}

}  // namespace

auto log_event_rows() -> const std::vector<log_event_row>& {
    static const auto rows = std::vector<log_event_row>(std::begin(table), std::end(table));
    return rows;
}

auto to_text(log_severity severity) -> std::string_view {
    switch (severity) {
        case log_severity::info:
            return "info";
        case log_severity::warning:
            return "warning";
        case log_severity::error:
            return "error";
    }
    return "error";
}

auto log_identity_of(const settings& options) -> log_identity {
    return {options.text("log-format") == "json" ? log_format::json : log_format::text, options.text("name"),
            options.text("zone")};
}

auto configure_log(log_identity identity) -> void {
    auto& shared = state();
    const auto lock = std::lock_guard<std::mutex>(shared.mutex);
    shared.identity = std::move(identity);
}

auto set_log_writer(log_writer writer) -> void {
    auto& shared = state();
    const auto lock = std::lock_guard<std::mutex>(shared.mutex);
    shared.writer = std::move(writer);
}

auto write_log(log_event event, std::initializer_list<log_field> fields) -> void {
    auto& shared = state();
    const auto lock = std::lock_guard<std::mutex>(shared.mutex);
    const auto number = static_cast<std::uint16_t>(event);
    const auto left_out = shared.limit.admit(number, now(), lines_per_window(event));
    if (left_out) {
        auto all = std::vector<log_field>(fields);
        if (*left_out != 0) {
            all.insert(all.begin(), log_field{"left_out", std::to_string(*left_out)});
        }
        write_line(shared, row_of(number), all);
    }
    write_left_out(shared, false);
}

auto flush_log() -> void {
    auto& shared = state();
    const auto lock = std::lock_guard<std::mutex>(shared.mutex);
    write_left_out(shared, true);
}

auto render_log_line(const log_identity& identity, const log_event_row& row, std::int64_t wall_ms,
                     const std::vector<log_field>& fields) -> std::string {
    auto members = std::vector<std::pair<std::string, ordered_json>>{
        {"time", utc_text(wall_ms)}, {"severity", std::string(to_text(row.severity))},
        {"event", row.number},       {"name", std::string(row.name)},
        {"host", identity.host},     {"zone", identity.zone}};
    for (const auto& field : fields) {
        const auto is_fixed =
            field.key != "left_out" &&
            std::find(std::begin(fixed_fields), std::end(fixed_fields), field.key) != std::end(fixed_fields);
        members.emplace_back((is_fixed ? "field_" : "") + std::string(field.key), field.value);
    }
    if (identity.format == log_format::json) {
        auto object = ordered_json::object();
        for (auto& [key, value] : members) {
            object[key] = std::move(value);
        }
        return object.dump(-1, ' ', false, ordered_json::error_handler_t::replace);
    }
    // Time, severity, event and name need no quotes. All other texts are quoted.
    auto line = std::string();
    for (auto i = std::size_t{0}; i < members.size(); ++i) {
        const auto& [key, value] = members[i];
        const auto is_plain = i < 4 && value.is_string();
        line += (i == 0 ? "" : " ") + key + "=" +
                (is_plain            ? value.get<std::string>()
                 : value.is_string() ? quoted(value.get<std::string>())
                                     : value.dump());
    }
    return line;
}

auto utc_text(std::int64_t wall_ms) -> std::string {
    return absl::FormatTime("%Y-%m-%d%ET%H:%M:%E3SZ", absl::FromUnixMillis(wall_ms), absl::UTCTimeZone());
}

auto catalogue_problems(const std::vector<log_event_row>& events, std::string_view markdown)
    -> std::vector<std::string> {
    auto problems = std::vector<std::string>{};
    auto entries = std::map<int, std::vector<std::string>>{};
    for (const auto line : absl::StrSplit(absl::string_view(markdown.data(), markdown.size()), '\n')) {
        auto cells = split_table_row(line);
        auto number = 0;
        if (cells.empty() || !absl::SimpleAtoi(cells[0], &number)) {
            continue;
        }
        if (cells.size() != 5 || cells[4].empty()) {
            problems.push_back(absl::StrCat("event ", number, ": the catalogue does not say what to do"));
        }
        cells.resize(5);
        if (!entries.emplace(number, std::move(cells)).second) {
            problems.push_back(absl::StrCat("event ", number, ": two catalogue entries"));
        }
    }
    auto used = std::set<int>{};
    for (const auto& event : events) {
        if (!used.insert(event.number).second) {
            problems.push_back(absl::StrCat("event ", event.number, ": number used twice"));
        }
        const auto found = entries.find(event.number);
        if (found == entries.end()) {
            problems.push_back(
                absl::StrCat("event ", event.number, " ", std::string(event.name), ": no catalogue entry"));
        } else if (found->second[1] != event.name || found->second[2] != to_text(event.severity) ||
                   found->second[3] != event.meaning) {
            problems.push_back(absl::StrCat("event ", event.number, " ", std::string(event.name),
                                            ": name, severity or meaning differs from the catalogue"));
        }
    }
    for (const auto& [number, cells] : entries) {
        if (used.count(number) == 0) {
            problems.push_back(absl::StrCat("event ", number, ": in the catalogue only"));
        }
    }
    return problems;
}

}  // namespace agatepost
