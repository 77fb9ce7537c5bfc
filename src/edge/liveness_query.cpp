#include <absl/algorithm/container.h>

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>

#include "core/cbor_func.h"
#include "edge/carrier_func.h"
#include "edge/liveness_query_func.h"
#include "edge/suspicion_func.h"

namespace agatepost::edge {

namespace {

using nlohmann::json;

// First elements of the messages. A heartbeat begins with a text.
constexpr unsigned question_code = 1;
constexpr unsigned answer_code = 2;

constexpr std::uint32_t never_answered = std::numeric_limits<std::uint32_t>::max();

auto malformed() -> tl::unexpected<error> {
    return make_error(error_kind::invalid_message, "malformed liveness message from another host",
                      "check that all hosts run compatible versions");
}

auto is_u32(const json& value) -> bool {
    return value.is_number_unsigned() &&
           value.get<std::uint64_t>() <= std::numeric_limits<std::uint32_t>::max();
}

// Returns the time since this host saw an answer of the target.
auto silence_ms(const target_load& load, time_ms at) -> std::uint32_t {
    if (load.last_answer == time_ms{}) {
        return never_answered;
    }
    const auto passed = std::max<std::int64_t>(0, at - load.last_answer);
    return static_cast<std::uint32_t>(std::min<std::int64_t>(passed, never_answered));
}

// Returns whether the query still concerns a target that fails its liveness check here.
auto is_open(const liveness_query& query, const directory& known, time_ms at) -> bool {
    const auto& target = known.targets[query.target];
    return target.is_in_use && target.entry.name == query.name &&
           at - query.began < liveness_query_limit_ms && is_unresponsive(known, query.target, at);
}

}  // namespace

auto encode_liveness_message(const liveness_message& message) -> std::string {
    auto values = json::array();
    for (const auto carrier : message.asked) {
        values.push_back(carrier);
    }
    for (const auto& silence : message.silences) {
        values.push_back(silence.carrier);
        values.push_back(silence.silent_ms);
    }
    const auto code = message.asked.empty() ? answer_code : question_code;
    auto bytes = std::string();
    json::to_cbor(json::array({code, std::move(values)}), bytes);
    return bytes;
}

auto decode_liveness_message(std::string_view bytes) -> result<liveness_message> {
    const auto message = read_cbor(bytes);
    if (!message.is_array() || message.size() != 2 || !is_u32(message[0]) || !message[1].is_array() ||
        message[1].size() > 2 * max_queried_targets ||
        !std::all_of(message[1].begin(), message[1].end(), is_u32)) {
        return malformed();
    }
    const auto code = message[0].get<std::uint32_t>();
    const auto& values = message[1];
    auto read = liveness_message{};
    if (code == question_code && values.size() <= max_queried_targets) {
        for (const auto& carrier : values) {
            read.asked.push_back(carrier.get<std::uint32_t>());
        }
        return read;
    }
    if (code != answer_code || values.size() % 2 != 0) {
        return malformed();
    }
    for (auto i = std::size_t{0}; i < values.size(); i += 2) {
        read.silences.push_back({values[i].get<std::uint32_t>(), values[i + 1].get<std::uint32_t>()});
    }
    return read;
}

auto begin_liveness_query(std::vector<liveness_query>& queries, const directory& known, target_index target,
                          time_ms at) -> void {
    const auto is_asked =
        absl::c_any_of(queries, [&](const liveness_query& query) { return query.target == target; });
    if (!is_asked && queries.size() < max_queried_targets) {
        queries.push_back({target, known.targets[target].entry.name, at, false, {}});
    }
}

auto unsent_question(std::vector<liveness_query>& queries, const directory& known) -> liveness_message {
    auto question = liveness_message{};
    for (auto& query : queries) {
        if (!query.is_sent) {
            query.is_sent = true;
            question.asked.push_back(message_carrier(known.targets[query.target]));
        }
    }
    return question;
}

auto answer_question(const directory& known, const liveness_message& question, time_ms at)
    -> liveness_message {
    auto answer = liveness_message{};
    if (at < known.startup_grace_until) {
        return answer;
    }
    for (const auto carrier : question.asked) {
        if (const auto found = find_carrier(known, carrier)) {
            answer.silences.push_back({carrier, silence_ms(known.targets[*found].load, at)});
        }
    }
    return answer;
}

auto record_liveness_answer(std::vector<liveness_query>& queries, directory& known, std::uint32_t host,
                            const liveness_message& answer, time_ms at) -> std::size_t {
    auto alive = std::size_t{0};
    for (const auto& silence : answer.silences) {
        const auto found = find_carrier(known, silence.carrier);
        if (!found) {
            continue;
        }
        const auto index = *found;
        const auto query =
            absl::c_find_if(queries, [&](const liveness_query& one) { return one.target == index; });
        if (query == queries.end()) {
            continue;
        }
        if (silence.silent_ms < conclusive_silence_ms(known, index)) {
            clear_stalls(known.targets[index].load);
            known.targets[index].load.waiting_since = at;
            queries.erase(query);
            ++alive;
        } else if (!absl::c_linear_search(query->silent_hosts, host)) {
            query->silent_hosts.push_back(host);
        }
    }
    return alive;
}

auto collect_dead_targets(std::vector<liveness_query>& queries, directory& known, const peer_group& group,
                          time_ms at) -> std::vector<target_index> {
    queries.erase(std::remove_if(queries.begin(), queries.end(),
                                 [&](const liveness_query& query) { return !is_open(query, known, at); }),
                  queries.end());
    auto dead = std::vector<target_index>{};
    if (is_large_fleet(group)) {
        return dead;
    }
    const auto is_complete = [&](const liveness_query& query) {
        return absl::c_all_of(group.peers, [&](const auto& entry) {
            return !is_alive(entry.second, at) || absl::c_linear_search(query.silent_hosts, entry.first);
        });
    };
    for (const auto& query : queries) {
        if (query.is_sent && is_complete(query) && mark_presumed_dead(known, query.target, at)) {
            dead.push_back(query.target);
        }
    }
    queries.erase(std::remove_if(
                      queries.begin(), queries.end(),
                      [&](const liveness_query& query) { return absl::c_linear_search(dead, query.target); }),
                  queries.end());
    return dead;
}

}  // namespace agatepost::edge
