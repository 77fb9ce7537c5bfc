// Recent decisions of this process, kept in memory for operators.
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

// What a decision was about. Each kind has its own ring buffer, so that a burst of one kind displaces no
// entries of another.
enum class history_kind : std::uint8_t {
    host,           // start, stop and roles of this host
    membership,     // hosts that joined, left or died
    configuration,  // revisions applied or rejected
    health,         // changes of the health of targets
    refusal,        // work that was refused
    end,            // number of kinds
};

// Number of entries kept for each kind.
constexpr std::size_t history_capacity = 256;

// Maximum number of decisions of one kind recorded in one second. Further ones are only counted, so that the
// lock does not slow down the data path under overload.
constexpr std::uint32_t history_rate_limit = 50;

// One recorded decision.
struct history_entry {
    std::uint64_t sequence = 0;  // increases by one with each entry of the process
    std::int64_t time_ms = 0;    // wall clock
    history_kind kind = history_kind::host;
    std::vector<std::pair<std::string, std::string>> fields;
    std::uint64_t left_out = 0;  // decisions of this kind omitted by the rate limit since the previous entry
};

// Records a decision; it replaces the oldest of its kind when the ring is full. Thread-safe.
auto record_history(history_kind kind, std::initializer_list<log_field> fields) -> void;

// Keys and values of the fields of a decision.
using history_fields = std::vector<std::pair<std::string, std::string>>;

// Overload for the data path: calls `fields` only if the rate limit admits the decision. Thread-safe.
auto record_history(history_kind kind, absl::FunctionRef<history_fields()> fields) -> void;

// Returns the kept entries of one kind, or of all kinds, in the order of recording. Thread-safe.
auto recent_history(std::optional<history_kind> kind = std::nullopt) -> std::vector<history_entry>;

auto to_text(history_kind kind) -> std::string_view;

// Returns the kind with this name, or nothing if there is none.
auto parse_history_kind(std::string_view name) -> std::optional<history_kind>;

}  // namespace agatepost
