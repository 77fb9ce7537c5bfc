// The newest decisions of this process, kept in memory for operators.
#pragma once

#include <absl/functional/function_ref.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "core/log_func.h"

namespace agatepost {

// What a decision was about. Each kind has a ring of its own, so that a burst of one displaces no other.
enum class history_kind : std::uint8_t {
    host,           // start, stop and roles of this host
    membership,     // hosts that joined, left or died
    configuration,  // revisions applied or rejected
    health,         // verdicts about targets
    refusal,        // work that was refused
    end,            // number of kinds
};

// Entries kept for each kind.
constexpr std::size_t history_capacity = 256;

// Decisions of one kind recorded in one second; more are counted as left out, so that a caller on the data
// path cannot be slowed by the lock under overload.
constexpr std::uint32_t history_rate_limit = 50;

// One recorded decision.
struct history_entry {
    std::uint64_t sequence = 0;  // rises by one with each entry of the process
    std::int64_t time_ms = 0;    // wall clock
    history_kind kind = history_kind::host;
    std::vector<std::pair<std::string, std::string>> fields;
    std::uint64_t left_out = 0;  // decisions of this kind that the rate limit left out just before this one
};

// Records a decision, displacing the oldest of its kind when its ring is full. Thread-safe.
auto record_history(history_kind kind, std::initializer_list<log_field> fields) -> void;

// Fields of a decision with their values.
using history_fields = std::vector<std::pair<std::string, std::string>>;

// As above for the data path: `fields` is called only if the rate limit admits the decision. Thread-safe.
auto record_history(history_kind kind, absl::FunctionRef<history_fields()> fields) -> void;

// Returns the kept entries in the order of recording, of one kind or all. Thread-safe.
auto recent_history(std::optional<history_kind> kind = std::nullopt) -> std::vector<history_entry>;

auto to_text(history_kind kind) -> std::string_view;

// Returns the kind of a name, or nothing.
auto parse_history_kind(std::string_view name) -> std::optional<history_kind>;

}  // namespace agatepost
