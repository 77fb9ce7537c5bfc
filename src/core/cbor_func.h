// Parser of untrusted CBOR.
#pragma once

#include <nlohmann/json.hpp>
#include <string_view>

namespace agatepost {

// Maximum nesting of arrays and maps in a message between hosts. The deepest message that hosts write has 5
// levels.
constexpr std::size_t max_cbor_depth = 16;

// Returns the document, or a discarded value for bytes that are not CBOR, nest deeper than `max_cbor_depth`,
// or announce more items than bytes follow. The library parses nested items by recursion and throws for
// lengths beyond memory; either would end the process.
auto read_cbor(std::string_view bytes) -> nlohmann::json;

}  // namespace agatepost
