// Help for people who mistype: edit distance between words.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace agatepost {

// Returns the number of inserted, removed and replaced characters between two texts (Levenshtein distance).
auto edit_distance(std::string_view a, std::string_view b) -> std::size_t;

// Returns the candidate nearest to a word, if it is near enough to be what was meant: at most a third of the
// word's characters differ, and at least one may.
auto nearest_text(std::string_view word, const std::vector<std::string>& candidates)
    -> std::optional<std::string>;

// Returns "; did you mean 'X'?" for the nearest candidate, or an empty text.
auto suggestion(std::string_view word, const std::vector<std::string>& candidates) -> std::string;

// Joins texts with ", ".
auto join_list(const std::vector<std::string>& texts) -> std::string;

}  // namespace agatepost
