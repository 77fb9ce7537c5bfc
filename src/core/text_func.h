// Suggestions for mistyped words, and joining of texts.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace agatepost {

// Returns the number of inserted, removed and replaced characters between two texts (Levenshtein distance).
auto edit_distance(std::string_view a, std::string_view b) -> std::size_t;

// Returns the candidate with the smallest edit distance to a word, or nothing if the distance exceeds a third
// of the word's length (at least one edit is always allowed).
auto nearest_text(std::string_view word, const std::vector<std::string>& candidates)
    -> std::optional<std::string>;

// Returns "; did you mean 'X'?" for the candidate of nearest_text, or an empty text.
auto suggestion(std::string_view word, const std::vector<std::string>& candidates) -> std::string;

// Joins texts with ", ".
auto join_list(const std::vector<std::string>& texts) -> std::string;

}  // namespace agatepost
