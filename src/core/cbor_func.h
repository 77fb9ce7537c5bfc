// Reads CBOR that comes from outside.
#pragma once

#include <nlohmann/json.hpp>
#include <string_view>

namespace agatepost {

// Arrays and maps within each other in a message between hosts; the deepest of ours has five.
constexpr std::size_t deepest_cbor = 16;

// Returns the document, or a discarded value for bytes that are none, that nest deeper than `deepest_cbor`,
// or that name more items than bytes follow. The library reads nested items by recursion and throws for
// lengths beyond memory, so that either would end the process.
auto read_cbor(std::string_view bytes) -> nlohmann::json;

}  // namespace agatepost
