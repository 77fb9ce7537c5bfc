// Errors as values: a kind that programs can test, and a message that names the remedy.
#pragma once

#include <string>
#include <tl/expected.hpp>
#include <utility>

namespace agatepost {

// What went wrong, for callers that react to it.
enum class error_kind {
    invalid_setting,     // a flag or environment variable is unknown or out of range
    invalid_document,    // a configuration document is malformed or inconsistent
    invalid_message,     // a frame from a peer or the store does not decode
    not_found,           // the named object does not exist
    conflict,            // another operator changed the object first
    store_unavailable,   // the store cannot be reached or answered with a failure
    outcome_unknown,     // a store call may have taken effect; its answer was lost
    revision_compacted,  // the store no longer has the changes after a revision
    network,             // a socket call failed
    unauthorized,        // the shared key is missing or wrong
    not_ready,           // the host has no configuration yet
};

// One failure. The message says what happened; the remedy says what to do about it.
struct error {
    error_kind kind = error_kind::invalid_message;
    std::string message;
    std::string remedy;

    friend auto operator==(const error& a, const error& b) -> bool {
        return a.kind == b.kind && a.message == b.message && a.remedy == b.remedy;
    }
};

// A value, or the error that prevented it.
template <typename T>
using result = tl::expected<T, error>;

// Builds the failure side of a result.
inline auto make_error(error_kind kind, std::string message, std::string remedy) -> tl::unexpected<error> {
    return tl::unexpected<error>(error{kind, std::move(message), std::move(remedy)});
}

// Renders an error for a person: the message, then the remedy.
inline auto to_text(const error& e) -> std::string {
    return e.message + "; remedy: " + e.remedy;
}

}  // namespace agatepost
