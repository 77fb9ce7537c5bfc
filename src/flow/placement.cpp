#include "flow/hash_func.h"
#include "flow/placement_base.h"

namespace agatepost {

auto pure_pick(const snapshot_pool& pool, std::string_view zone, const flow_id& id) -> const target* {
    const target* best = nullptr;
    auto best_score = 0.0;
    for (const auto& candidate : pool.targets) {
        if (candidate.state != target_state::ready || candidate.zone != zone) {
            continue;
        }
        const auto score = rendezvous_score(id.high, mix(candidate.index, 0), candidate.slots);
        if (best == nullptr || score > best_score) {
            best = &candidate;
            best_score = score;
        }
    }
    return best;
}

namespace {

constexpr placement_plugin carried = {"carried", true, pure_pick};
const plugin_registration<placement_plugin> carried_registration(carried);

// Places every packet by the hash of its flow. Reference for differential tests and baseline of measurements.
constexpr placement_plugin hash = {"hash", false, pure_pick};
const plugin_registration<placement_plugin> hash_registration(hash);

}  // namespace

}  // namespace agatepost
