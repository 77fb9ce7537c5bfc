// Errors as values: a kind for callers to test, and a message and a remedy for people.
#pragma once

#include <string>
#include <tl/expected.hpp>
#include <utility>

namespace agatepost {

// Kind of a failure, for callers that react to it.
enum class error_kind {
    invalid_setting,     // a flag or environment variable is unknown or out of range
    invalid_document,    // a configuration document is malformed or inconsistent
    invalid_message,     // a message from a peer or the store cannot be decoded
    message_too_large,   // a message from a peer or the store is larger than its reader allows
    not_found,           // the named object does not exist
    conflict,            // another operator changed the object first
    store_unavailable,   // the store cannot be reached or answered with a failure
    outcome_unknown,     // a store call may have taken effect; its answer was lost
    revision_compacted,  // the store no longer has the changes after a revision
    network,             // a socket call failed
    unauthorized,        // the shared key is missing or wrong
    not_ready,           // the host has no configuration yet
};

// A failure. The message says what happened, the remedy what to do about it.
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

// Builds a result that holds an error.
inline auto make_error(error_kind kind, std::string message, std::string remedy) -> tl::unexpected<error> {
    return tl::unexpected<error>(error{kind, std::move(message), std::move(remedy)});
}

// Renders an error as text: the message, then the remedy.
inline auto to_text(const error& e) -> std::string {
    return e.message + "; remedy: " + e.remedy;
}

}  // namespace agatepost
