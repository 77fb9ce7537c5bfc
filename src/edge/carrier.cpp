#include "edge/carrier_func.h"

#include <absl/algorithm/container.h>
#include <xxhash.h>

#include <algorithm>

namespace agatepost::edge {

namespace {

// Calls `use` with each different carrier of a target.
template <typename Use>
auto for_each_carrier(const target_entry& entry, Use&& use) -> void {
    const auto carriers = carriers_of(entry);
    for (auto i = carriers.begin(); i != carriers.end(); ++i) {
        if (*i != 0 && std::find(carriers.begin(), i, *i) == i) {
            use(*i);
        }
    }
}

// Selects the first carrier of a target that no other target shares. Flows that open with it are unambiguous
// on all hosts, whichever of the other targets they know.
auto select_opening_carrier(directory& known, target_index index) -> void {
    auto& record = known.targets[index];
    record.opening_carrier = 0;
    for_each_carrier(record.entry, [&](std::uint32_t carrier) {
        if (record.opening_carrier == 0 && known.shared_carriers.count(carrier) == 0) {
            record.opening_carrier = carrier;
        }
    });
}

auto claim(directory& known, std::uint32_t carrier, target_index index) -> void {
    const auto [holder, is_new] = known.by_carrier.try_emplace(carrier, index);
    if (is_new) {
        return;
    }
    auto& sharers = known.shared_carriers[carrier];
    if (sharers.empty()) {
        sharers.push_back(holder->second);
    }
    sharers.push_back(index);
    for (const auto sharer : sharers) {
        select_opening_carrier(known, sharer);
    }
}

auto release(directory& known, std::uint32_t carrier, target_index index) -> void {
    const auto shared = known.shared_carriers.find(carrier);
    if (shared == known.shared_carriers.end()) {
        known.by_carrier.erase(carrier);
        return;
    }
    auto& sharers = shared->second;
    sharers.erase(std::remove(sharers.begin(), sharers.end(), index), sharers.end());
    known.by_carrier[carrier] = sharers.front();
    if (sharers.size() > 1) {
        return;
    }
    const auto remaining = sharers.front();
    known.shared_carriers.erase(shared);
    select_opening_carrier(known, remaining);
}

}  // namespace

auto carriers_of(const target_entry& entry) -> target_carriers {
    auto carriers = target_carriers{entry.carrier};
    for (auto i = std::size_t{1}; i < carriers.size(); ++i) {
        carriers[i] = XXH32(entry.name.data(), entry.name.size(), static_cast<XXH32_hash_t>(i));
    }
    return carriers;
}

auto claim_carriers(directory& known, target_index index) -> void {
    for_each_carrier(known.targets[index].entry,
                     [&](std::uint32_t carrier) { claim(known, carrier, index); });
    select_opening_carrier(known, index);
}

auto release_carriers(directory& known, target_index index) -> void {
    for_each_carrier(known.targets[index].entry,
                     [&](std::uint32_t carrier) { release(known, carrier, index); });
}

auto find_sharers(const directory& known, std::uint32_t carrier) -> const std::vector<target_index>* {
    const auto found = known.shared_carriers.find(carrier);
    return found == known.shared_carriers.end() ? nullptr : &found->second;
}

auto find_carrier(const directory& known, std::uint32_t carrier) -> std::optional<target_index> {
    const auto found = known.by_carrier.find(carrier);
    const auto is_found = found != known.by_carrier.end() && find_sharers(known, carrier) == nullptr;
    return is_found ? std::optional(found->second) : std::nullopt;
}

auto message_carrier(const target_record& target) -> std::uint32_t {
    return target.opening_carrier != 0 ? target.opening_carrier : target.entry.carrier;
}

}  // namespace agatepost::edge
