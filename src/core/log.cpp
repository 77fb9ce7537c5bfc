#include <boost/log/trivial.hpp>
#include <string>

#include "core/log_func.h"

namespace agatepost {

namespace {

// One row of table/log_events.h.
struct log_event_row {
    std::uint16_t number;
    std::string_view name;
    log_severity severity;
};

constexpr log_event_row rows[] = {
#define LOG_EVENT(number, name, severity, meaning) {number, #name, log_severity::severity},
#include "table/log_events.h"
#undef LOG_EVENT
};

auto row_of(log_event event) -> const log_event_row& {
    for (const auto& row : rows) {
        if (row.number == static_cast<std::uint16_t>(event)) {
            return row;
        }
    }
    return rows[0];
}

}  // namespace

auto write_log(log_event event, std::initializer_list<log_field> fields) -> void {
    const auto& row = row_of(event);
    auto line = "event=" + std::to_string(row.number) + " name=" + std::string(row.name);
    for (const auto& field : fields) {
        line += " " + std::string(field.key) + "=\"" + field.value + "\"";
    }
    switch (row.severity) {
        case log_severity::info:
            BOOST_LOG_TRIVIAL(info) << line;
            break;
        case log_severity::warning:
            BOOST_LOG_TRIVIAL(warning) << line;
            break;
        case log_severity::error:
            BOOST_LOG_TRIVIAL(error) << line;
            break;
    }
}

}  // namespace agatepost
