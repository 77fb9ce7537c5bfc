// Structured log: numbered events with key=value fields, written through Boost.Log.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace agatepost {

// Severities, from routine to needing a person.
enum class log_severity {
    info,     // routine change of state
    warning,  // degraded, repairs itself
    error,    // needs an operator
};

// The events of table/log_events.h; the value is the catalogue number.
enum class log_event : std::uint16_t {
#define LOG_EVENT(number, name, severity, meaning) name = (number),
#include "table/log_events.h"
#undef LOG_EVENT
};

// One key and its value.
struct log_field {
    std::string_view key;
    std::string value;
};

// Writes one event to standard error.
auto write_log(log_event event, std::initializer_list<log_field> fields = {}) -> void;

}  // namespace agatepost
