#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include "host/admin_auth_func.h"

namespace agatepost {

namespace {

constexpr std::size_t nonce_digits = 32;

// The authenticated text. Its label keeps codes of messages between hosts from being valid here.
auto signed_text(std::string_view method, std::string_view target, const admin_credentials& credentials)
    -> std::string {
    return absl::StrCat("agatepost-admin\n", std::string(method), "\n", std::string(target), "\n",
                        credentials.time, "\n", credentials.nonce);
}

}  // namespace

auto sign_admin_request(const auth_key& key, std::string_view method, std::string_view target,
                        std::int64_t wall_ms, std::string nonce) -> admin_credentials {
    auto credentials = admin_credentials{std::to_string(wall_ms), std::move(nonce), ""};
    const auto text = signed_text(method, target, credentials);
    credentials.mac = to_hex(compute_mac(key, bytes_of(text)));
    return credentials;
}

auto admin_authenticator::check(std::string_view method, std::string_view target,
                                const admin_credentials& credentials, std::int64_t wall_ms)
    -> tl::expected<void, counter> {
    const auto mac = from_hex(credentials.mac);
    const auto text = signed_text(method, target, credentials);
    auto time = std::int64_t{0};
    if (!mac || credentials.nonce.size() != nonce_digits || !absl::SimpleAtoi(credentials.time, &time) ||
        !verify_mac(keys_, bytes_of(text), bytes_of(*mac))) {
        return tl::unexpected<counter>(counter::admin_refused_mac);
    }
    if (time < wall_ms - admin_time_window_ms || time > wall_ms + admin_time_window_ms) {
        return tl::unexpected<counter>(counter::admin_refused_time);
    }
    const auto lock = std::lock_guard<std::mutex>(mutex_);
    seen_.erase(seen_.begin(), seen_.lower_bound({wall_ms - admin_time_window_ms, ""}));
    if (seen_.size() >= admin_nonce_limit || !seen_.emplace(time, credentials.nonce).second) {
        return tl::unexpected<counter>(counter::admin_refused_replay);
    }
    return {};
}

}  // namespace agatepost
