#include <xxhash.h>

#include <cmath>
#include <cstring>

#include "flow/hash_func.h"
#include "net/byte_order_func.h"

namespace agatepost {

auto id_of(const flow_key& key) -> flow_id {
    std::uint8_t bytes[37] = {};
    std::memcpy(bytes, key.client.address.bytes.data(), 16);
    std::memcpy(bytes + 16, key.service.address.bytes.data(), 16);
    store_u16(bytes + 32, key.client.port);
    store_u16(bytes + 34, key.service.port);
    bytes[36] = static_cast<std::uint8_t>(key.protocol);
    const auto hash = XXH3_128bits(bytes, sizeof(bytes));
    return {hash.high64, hash.low64};
}

auto stable_hash(std::string_view text) -> std::uint64_t {
    return XXH3_64bits(text.data(), text.size());
}

auto mix(std::uint64_t a, std::uint64_t b) -> std::uint64_t {
    // Finalizer of splitmix64 over a combination of both values.
    auto x = a ^ (b * 0x9e3779b97f4a7c15U);
    x = (x ^ (x >> 30U)) * 0xbf58476d1ce4e5b9U;
    x = (x ^ (x >> 27U)) * 0x94d049bb133111ebU;
    return x ^ (x >> 31U);
}

auto rendezvous_score(std::uint64_t key_hash, std::uint64_t candidate_hash, double weight) -> double {
    constexpr auto fraction = 1.0 / 9007199254740992.0;  // 2^-53
    const auto unit = (static_cast<double>(mix(key_hash, candidate_hash) >> 11U) + 0.5) * fraction;
    return -weight / std::log(unit);
}

}  // namespace agatepost
