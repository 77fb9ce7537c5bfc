#include <absl/strings/str_join.h>

#include <algorithm>
#include <numeric>

#include "core/text_func.h"

namespace agatepost {

auto edit_distance(std::string_view a, std::string_view b) -> std::size_t {
    // row[j] is the distance between the processed prefix of `a` and the first j characters of `b`.
    auto row = std::vector<std::size_t>(b.size() + 1);
    std::iota(row.begin(), row.end(), std::size_t{0});
    for (auto i = std::size_t{1}; i <= a.size(); ++i) {
        auto diagonal = row[0];
        row[0] = i;
        for (auto j = std::size_t{1}; j <= b.size(); ++j) {
            const auto replaced = diagonal + (a[i - 1] == b[j - 1] ? 0 : 1);
            diagonal = row[j];
            row[j] = std::min({replaced, row[j] + 1, row[j - 1] + 1});
        }
    }
    return row[b.size()];
}

auto nearest_text(std::string_view word, const std::vector<std::string>& candidates)
    -> std::optional<std::string> {
    auto best = std::optional<std::string>();
    auto best_distance = std::max<std::size_t>(1, word.size() / 3) + 1;
    for (const auto& candidate : candidates) {
        const auto distance = edit_distance(word, candidate);
        if (distance < best_distance) {
            best = candidate;
            best_distance = distance;
        }
    }
    return best;
}

auto suggestion(std::string_view word, const std::vector<std::string>& candidates) -> std::string {
    const auto nearest = nearest_text(word, candidates);
    return nearest ? "; did you mean '" + *nearest + "'?" : "";
}

auto join_list(const std::vector<std::string>& texts) -> std::string {
    return absl::StrJoin(texts, ", ");
}

}  // namespace agatepost
