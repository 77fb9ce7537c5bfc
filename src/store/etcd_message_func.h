// Messages of the published etcd v3 JSON gateway, shared by the store plug-in and its stand-in.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

namespace agatepost {

// Encodes a key or value as base64.
auto to_base64(const std::string& text) -> std::string;

// Decodes base64. Returns an empty text if it is invalid.
auto from_base64(const std::string& text) -> std::string;

// Reads a 64-bit number, which the gateway writes as text and omits if it is 0.
auto number_field(const nlohmann::json& document, const char* field) -> std::int64_t;

// Reads a base64 field; empty if it is omitted.
auto bytes_field(const nlohmann::json& document, const char* field) -> std::string;

// Returns the end of the range of all keys that begin with a prefix: the prefix with its last byte
// incremented.
auto range_end_of(std::string prefix) -> std::string;

}  // namespace agatepost
