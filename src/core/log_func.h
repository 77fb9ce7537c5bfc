// Structured log: numbered events with key=value fields, written through Boost.Log.
#pragma once

#include <cstdint>
#include <functional>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "core/settings_func.h"

namespace agatepost {

// Severities in ascending order.
enum class log_severity {
    info,     // routine change of state
    warning,  // degraded; recovers without an operator
    error,    // needs an operator
};

// The events of table/log_events.h; the value is the catalogue number.
enum class log_event : std::uint16_t {
#define LOG_EVENT(number, name, severity, meaning) name = (number),
#include "table/log_events.h"
#undef LOG_EVENT
};

// One row of table/log_events.h.
struct log_event_row {
    std::uint16_t number;
    std::string_view name;
    log_severity severity;
    std::string_view meaning;
};

// One key and its value.
struct log_field {
    std::string_view key;
    std::string value;
};

// How lines are written.
enum class log_format {
    text,  // key=value, values in JSON quotes
    json,  // one JSON object a line
};

// Format of the lines, and the host and zone that they name.
struct log_identity {
    log_format format = log_format::text;
    std::string host = "-";
    std::string zone = "-";
};

// Maximum number of lines of one event in each window of the rate limit. Further lines are omitted and
// counted; the field `left_out` of the event's next line, or of a separate line after the window, has their
// number.
constexpr std::uint32_t log_lines_per_window = 20;
// Events about single flows explain failed requests, so their limit is higher: 100 lines a second for each
// event.
constexpr std::uint32_t flow_log_lines_per_window = 1000;
constexpr std::int64_t log_window_ms = 10000;

// Returns all events in table order.
auto log_event_rows() -> const std::vector<log_event_row>&;

auto to_text(log_severity severity) -> std::string_view;

// Returns the identity given by the settings log-format, name and zone.
auto log_identity_of(const settings& options) -> log_identity;

// Sets format, host name and zone of all later lines. Thread-safe.
auto configure_log(log_identity identity) -> void;

// Receives complete lines without their line end.
using log_writer = std::function<void(std::string line)>;

// Sends all later lines to a writer instead of standard error. An empty one restores standard error. The
// writer is called under the log's lock.
auto set_log_writer(log_writer writer) -> void;

// Writes one event to standard error, unless the rate limit omits it. Thread-safe.
auto write_log(log_event event, std::initializer_list<log_field> fields = {}) -> void;

// Writes the numbers of omitted lines that were not reported yet. Called before the process exits.
auto flush_log() -> void;

// Renders one line without its line end. Keys that equal a fixed field's key get the prefix `field_`.
auto render_log_line(const log_identity& identity, const log_event_row& row, std::int64_t wall_ms,
                     const std::vector<log_field>& fields) -> std::string;

// Renders wall-clock milliseconds as UTC, such as 2026-03-01T12:00:00.250Z.
auto utc_text(std::int64_t wall_ms) -> std::string;

// Compares the event catalogue of the documentation (a Markdown table with number, name, severity, meaning
// and action) with the events. Returns a text for each difference, duplicate number and missing action.
auto catalogue_problems(const std::vector<log_event_row>& events, std::string_view markdown)
    -> std::vector<std::string>;

}  // namespace agatepost
