#include "peer/datagram_auth_base.h"

#include <atomic>

#include "net/byte_order_func.h"

namespace agatepost {

namespace {

// First byte of a datagram: format version and whether a code follows the payload.
constexpr char authenticated = 1;
constexpr char unauthenticated = 2;
constexpr std::size_t header_size = 1 + 8 + 8;  // version, wall clock, sequence

// Wall clock or sequence number in a header.
auto append_u64(std::string& out, std::uint64_t value) -> void {
    std::uint8_t bytes[8];
    store_u64(bytes, value);
    out.append(reinterpret_cast<const char*>(bytes), sizeof(bytes));
}

auto read_u64(std::string_view text) -> std::uint64_t {
    return load_u64(bytes_of(text).data());
}

// The authenticated text. Its label keeps codes of links and of the admin port from being valid here.
auto signed_text(std::string_view receiver, std::string_view datagram) -> std::string {
    auto text = std::string("agatepost-datagram\n");
    text.append(receiver).append("\n").append(datagram);
    return text;
}

}  // namespace

auto seal_datagram(const auth_keys& keys, std::string_view receiver, std::int64_t wall_ms,
                   std::string_view payload) -> std::string {
    // Makes datagrams of equal content distinct, within this process and between processes.
    static std::atomic<std::uint64_t> sequence{read_u64(random_bytes(8))};
    auto datagram = std::string(1, has_key(keys) ? authenticated : unauthenticated);
    append_u64(datagram, static_cast<std::uint64_t>(wall_ms));
    append_u64(datagram, sequence.fetch_add(1));
    datagram += payload;
    if (has_key(keys)) {
        const auto mac = compute_mac(*keys.current, bytes_of(signed_text(receiver, datagram)));
        datagram.append(mac.begin(), mac.end());
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
    if (!has_key(keys_)) {
        if (datagram.front() != unauthenticated) {
            return tl::unexpected<counter>(counter::drop_peer_mac);
        }
    } else {
        if (datagram.front() != authenticated || payload.size() < mac_size) {
            return tl::unexpected<counter>(counter::drop_peer_mac);
        }
        mac = datagram.substr(datagram.size() - mac_size);
        payload.remove_suffix(mac_size);
        const auto text = signed_text(receiver_, datagram.substr(0, datagram.size() - mac_size));
        if (!verify_mac(keys_, bytes_of(text), bytes_of(mac))) {
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
