#include <sodium.h>

#include <atomic>
#include <cstdlib>
#include <cstring>

#include "net/byte_order_func.h"
#include "peer/peer_mac_func.h"

namespace agatepost {

namespace {

// First byte of a datagram: format version and whether a code follows the payload.
constexpr char authenticated = 1;
constexpr char unauthenticated = 2;
constexpr std::size_t header_size = 1 + 8 + 8;  // version, wall clock, sequence

auto ensure_sodium() -> void {
    if (sodium_init() < 0) {
        std::abort();
    }
}

auto append_u64(std::string& out, std::uint64_t value) -> void {
    for (auto shift = 56; shift >= 0; shift -= 8) {
        out.push_back(static_cast<char>((value >> static_cast<unsigned>(shift)) & 0xffU));
    }
}

auto read_u64(std::string_view text) -> std::uint64_t {
    auto value = std::uint64_t{0};
    for (auto i = std::size_t{0}; i < 8; ++i) {
        value = (value << 8U) | static_cast<unsigned char>(text[i]);
    }
    return value;
}

auto as_bytes(std::string_view text) -> const unsigned char* {
    return reinterpret_cast<const unsigned char*>(text.data());
}

auto hash_parts(const unsigned char* key, std::size_t key_size, std::size_t output_size,
                std::initializer_list<std::string_view> parts) -> std::string {
    ensure_sodium();
    auto state = crypto_generichash_state{};
    crypto_generichash_init(&state, key, key_size, output_size);
    for (const auto part : parts) {
        auto length = std::string();
        append_u64(length, part.size());
        crypto_generichash_update(&state, as_bytes(length), length.size());
        crypto_generichash_update(&state, as_bytes(part), part.size());
    }
    auto output = std::string(output_size, '\0');
    crypto_generichash_final(&state, reinterpret_cast<unsigned char*>(output.data()), output_size);
    return output;
}

}  // namespace

auto parse_peer_key(std::string_view text) -> result<peer_key> {
    ensure_sodium();
    auto key = peer_key{};
    auto size = std::size_t{0};
    if (text.size() != 2 * key.size() ||
        sodium_hex2bin(key.data(), key.size(), text.data(), text.size(), nullptr, &size, nullptr) != 0 ||
        size != key.size()) {
        return make_error(error_kind::invalid_setting, "a shared key is not 64 hexadecimal digits",
                          "set AGATEPOST_KEY and AGATEPOST_KEY_PREVIOUS to 64 hexadecimal digits, or leave "
                          "them empty");
    }
    return key;
}

auto read_peer_keys(const settings& options) -> result<peer_keys> {
    auto keys = peer_keys{};
    for (const auto* name : {"key", "key-previous"}) {
        const auto& text = options.text(name);
        if (text.empty()) {
            continue;
        }
        const auto key = parse_peer_key(text);
        if (!key) {
            return tl::unexpected<error>(key.error());
        }
        keys.accepted.push_back(*key);
    }
    if (options.text("key").empty() && !keys.accepted.empty()) {
        return make_error(error_kind::invalid_setting, "--key-previous is set without --key",
                          "set AGATEPOST_KEY, the key used for sending");
    }
    return keys;
}

auto compute_mac(const peer_key& key, std::initializer_list<std::string_view> parts) -> std::string {
    return hash_parts(key.data(), key.size(), mac_size, parts);
}

auto is_valid_mac(const peer_keys& keys, std::initializer_list<std::string_view> parts, std::string_view mac)
    -> bool {
    if (mac.size() != mac_size) {
        return false;
    }
    for (const auto& key : keys.accepted) {
        const auto expected = compute_mac(key, parts);
        if (sodium_memcmp(expected.data(), mac.data(), mac_size) == 0) {
            return true;
        }
    }
    return false;
}

auto compute_digest(std::initializer_list<std::string_view> parts) -> std::string {
    return hash_parts(nullptr, 0, 32, parts);
}

auto random_bytes(std::size_t size) -> std::string {
    ensure_sodium();
    auto bytes = std::string(size, '\0');
    randombytes_buf(bytes.data(), size);
    return bytes;
}

auto seal_datagram(const peer_keys& keys, std::string_view receiver, std::int64_t wall_ms,
                   std::string_view payload) -> std::string {
    // Makes datagrams of equal content distinct, within this process and between processes.
    static std::atomic<std::uint64_t> sequence{read_u64(random_bytes(8))};
    auto datagram = std::string(1, keys.accepted.empty() ? unauthenticated : authenticated);
    append_u64(datagram, static_cast<std::uint64_t>(wall_ms));
    append_u64(datagram, sequence.fetch_add(1));
    datagram += payload;
    if (!keys.accepted.empty()) {
        datagram += compute_mac(keys.accepted.front(), {receiver, datagram});
    }
    return datagram;
}

auto datagram_checker::is_replay(std::string_view mac, std::int64_t wall_ms) -> bool {
    if (wall_ms - generation_start_ms_ > 2 * datagram_window_ms) {
        seen_before_ = std::move(seen_);
        seen_.clear();
        generation_start_ms_ = wall_ms;
    }
    const auto id = read_u64(mac);
    return seen_before_.count(id) != 0 || !seen_.insert(id).second;
}

auto datagram_checker::open(std::string_view datagram, std::int64_t wall_ms)
    -> tl::expected<std::string_view, counter> {
    if (datagram.size() < header_size) {
        return tl::unexpected<counter>(counter::drop_peer_message);
    }
    auto payload = datagram.substr(header_size);
    auto mac = std::string_view();
    if (keys_.accepted.empty()) {
        if (datagram.front() != unauthenticated) {
            return tl::unexpected<counter>(counter::drop_peer_mac);
        }
    } else {
        if (datagram.front() != authenticated || payload.size() < mac_size) {
            return tl::unexpected<counter>(counter::drop_peer_mac);
        }
        mac = datagram.substr(datagram.size() - mac_size);
        payload.remove_suffix(mac_size);
        if (!is_valid_mac(keys_, {receiver_, datagram.substr(0, datagram.size() - mac_size)}, mac)) {
            return tl::unexpected<counter>(counter::drop_peer_mac);
        }
    }
    const auto age = wall_ms - static_cast<std::int64_t>(read_u64(datagram.substr(1)));
    if (age > datagram_window_ms || age < -datagram_window_ms) {
        return tl::unexpected<counter>(counter::drop_peer_stale);
    }
    if (!mac.empty() && is_replay(mac, wall_ms)) {
        return tl::unexpected<counter>(counter::drop_peer_replay);
    }
    return payload;
}

}  // namespace agatepost
