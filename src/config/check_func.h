// Checks a configuration document and reports the line of each fault.
#pragma once

#include <string>
#include <vector>

#include "config/config_type.h"

namespace agatepost {

// How a fault is treated.
enum class fault_severity {
    error,    // the document is not accepted
    warning,  // the document is accepted, but probably not as intended
};

// One fault of a document. The first line is 1.
struct config_fault {
    int line = 1;
    fault_severity severity = fault_severity::error;
    std::string message;
    std::string remedy;

    friend auto operator==(const config_fault& a, const config_fault& b) -> bool {
        return a.line == b.line && a.severity == b.severity && a.message == b.message && a.remedy == b.remedy;
    }
};

// Returns all faults of a document, ordered by line.
auto check_document(const std::string& text) -> std::vector<config_fault>;

}  // namespace agatepost
