// Finds the cause of a failed flow in the collected log lines of several hosts.
#pragma once

#include <cstdint>
#include <istream>
#include <map>
#include <string>
#include <vector>

namespace agatepost::edge {

// One parsed log line.
struct explained_line {
    std::string time;  // UTC, sorts as text
    std::string host;
    std::string event;  // its name
    std::map<std::string, std::string> fields;

    friend auto operator==(const explained_line& a, const explained_line& b) -> bool {
        return a.time == b.time && a.host == b.host && a.event == b.event && a.fields == b.fields;
    }
};

// Explanation of one flow.
struct flow_explanation {
    std::vector<explained_line> lines;  // of the flow, its targets and its hosts, by time
    std::string cause;                  // readable text
};

// Reads JSON lines, sorted by time. Skips text before the first brace of a line, and lines without a JSON
// object.
auto read_log_lines(std::istream& in) -> std::vector<explained_line>;

// Explains a flow, named CLIENT:PORT-SERVICE:PORT as in the field `flow`.
auto explain_flow(const std::vector<explained_line>& lines, const std::string& flow) -> flow_explanation;

}  // namespace agatepost::edge
