#include <sodium.h>

#include <algorithm>
#include <cstdlib>

#include "core/message_auth_func.h"

namespace agatepost {

namespace {

static_assert(std::tuple_size<auth_key>::value == crypto_auth_KEYBYTES, "key size of crypto_auth");
static_assert(std::tuple_size<message_mac>::value == crypto_auth_BYTES, "code size of crypto_auth");

// libsodium must be initialized before its first use. sodium_init is thread-safe.
auto ensure_sodium() -> void {
    static const auto status = sodium_init();
    if (status < 0) {
        std::abort();
    }
}

auto read_key(const settings& options, std::string_view name) -> result<std::optional<auth_key>> {
    const auto& text = options.text(name);
    if (text.empty()) {
        return std::optional<auth_key>();
    }
    const auto key = parse_auth_key(text);
    if (!key) {
        return make_error(error_kind::invalid_setting, environment_name(name) + ": " + key.error().message,
                          key.error().remedy);
    }
    return std::optional<auth_key>(*key);
}

}  // namespace

auto parse_auth_key(std::string_view hex) -> result<auth_key> {
    const auto bytes = from_hex(hex);
    auto key = auth_key{};
    if (!bytes || bytes->size() != key.size()) {
        return make_error(error_kind::invalid_setting, "the key is not 64 hexadecimal digits",
                          "create a key with 'openssl rand -hex 32' and set it in the environment");
    }
    std::copy(bytes->begin(), bytes->end(), key.begin());
    return key;
}

auto auth_keys_of(const settings& options) -> result<auth_keys> {
    const auto current = read_key(options, "key");
    if (!current) {
        return tl::unexpected<error>(current.error());
    }
    const auto previous = read_key(options, "key-previous");
    if (!previous) {
        return tl::unexpected<error>(previous.error());
    }
    return auth_keys{*current, *previous};
}

auto compute_mac(const auth_key& key, byte_span message) -> message_mac {
    ensure_sodium();
    auto mac = message_mac{};
    crypto_auth(mac.data(), message.data(), message.size(), key.data());
    return mac;
}

auto verify_mac(const auth_keys& keys, byte_span message, byte_span mac) -> bool {
    ensure_sodium();
    if (mac.size() != crypto_auth_BYTES) {
        return false;
    }
    const auto matches = [&](const std::optional<auth_key>& key) {
        return key && crypto_auth_verify(mac.data(), message.data(), message.size(), key->data()) == 0;
    };
    return matches(keys.current) || matches(keys.previous);
}

auto to_hex(byte_span bytes) -> std::string {
    auto text = std::string(bytes.size() * 2 + 1, '\0');
    sodium_bin2hex(text.data(), text.size(), bytes.data(), bytes.size());
    text.pop_back();
    return text;
}

auto from_hex(std::string_view hex) -> std::optional<std::string> {
    auto bytes = std::string(hex.size() / 2, '\0');
    auto size = std::size_t{0};
    const auto status = sodium_hex2bin(reinterpret_cast<unsigned char*>(bytes.data()), bytes.size(),
                                       hex.data(), hex.size(), nullptr, &size, nullptr);
    return status == 0 && size * 2 == hex.size() ? std::optional<std::string>(bytes) : std::nullopt;
}

auto compute_digest(byte_span message) -> std::array<std::uint8_t, 32> {
    ensure_sodium();
    auto digest = std::array<std::uint8_t, 32>{};
    crypto_generichash(digest.data(), digest.size(), message.data(), message.size(), nullptr, 0);
    return digest;
}

auto random_bytes(std::size_t size) -> std::string {
    ensure_sodium();
    auto bytes = std::string(size, '\0');
    randombytes_buf(bytes.data(), size);
    return bytes;
}

auto random_hex(std::size_t size) -> std::string {
    return to_hex(bytes_of(random_bytes(size)));
}

}  // namespace agatepost
