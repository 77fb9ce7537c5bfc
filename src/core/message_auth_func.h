// Message authentication codes (MAC) with a shared key, for messages between hosts and for the admin port.
#pragma once

#include <absl/types/span.h>

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>

#include "core/error_type.h"
#include "core/settings_func.h"

namespace agatepost {

// A shared key: 32 random bytes, written as 64 hexadecimal digits.
using auth_key = std::array<std::uint8_t, 32>;

// A message authentication code: HMAC-SHA512-256 (libsodium's crypto_auth).
using message_mac = std::array<std::uint8_t, 32>;
constexpr std::size_t mac_size = std::tuple_size<message_mac>::value;

// The keys that a process accepts. MACs are computed with `current`; `previous` is accepted during a key
// rotation.
struct auth_keys {
    std::optional<auth_key> current;
    std::optional<auth_key> previous;
};

// Bytes to authenticate.
using byte_span = absl::Span<const std::uint8_t>;

// Returns a view of the bytes of a text.
inline auto bytes_of(std::string_view text) -> byte_span {
    return {reinterpret_cast<const std::uint8_t*>(text.data()), text.size()};
}

// Parses 64 hexadecimal digits. The error does not repeat the text, because it may be a mistyped key.
auto parse_auth_key(std::string_view hex) -> result<auth_key>;

// Returns whether messages are authenticated.
inline auto has_key(const auth_keys& keys) -> bool {
    return keys.current.has_value();
}

// Returns the keys of the settings `key` and `key-previous`. An empty setting means no key.
auto auth_keys_of(const settings& options) -> result<auth_keys>;

// Computes the MAC of a message. Each use of a key must begin its messages with a different label, so that a
// MAC of one use is not valid for another.
auto compute_mac(const auth_key& key, byte_span message) -> message_mac;

// Returns whether `mac` is valid for the message under one of the keys; false if no key is set or `mac` has
// the wrong length. Compares in constant time.
auto verify_mac(const auth_keys& keys, byte_span message, byte_span mac) -> bool;

// Returns the unkeyed BLAKE2b digest of a message.
auto compute_digest(byte_span message) -> std::array<std::uint8_t, 32>;

// Convert bytes to lower-case hexadecimal text and back. from_hex returns nothing if the text is not an even
// number of hexadecimal digits.
auto to_hex(byte_span bytes) -> std::string;
auto from_hex(std::string_view hex) -> std::optional<std::string>;

// Returns `size` cryptographically random bytes.
auto random_bytes(std::size_t size) -> std::string;

// Returns `size` random bytes as hexadecimal text.
auto random_hex(std::size_t size) -> std::string;

}  // namespace agatepost
