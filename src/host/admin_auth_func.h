// Authentication of admin requests: a message authentication code over method, target, time and nonce.
#pragma once

#include <mutex>
#include <set>
#include <string>
#include <string_view>
#include <utility>

#include "core/counter_func.h"
#include "core/message_auth_func.h"

namespace agatepost {

// Header fields that carry the authentication of a request.
constexpr std::string_view admin_time_field = "Agatepost-Time";    // wall clock, milliseconds since 1970
constexpr std::string_view admin_nonce_field = "Agatepost-Nonce";  // 32 random hexadecimal digits
constexpr std::string_view admin_mac_field = "Agatepost-Mac";      // the code, 64 hexadecimal digits

// Requests whose time differs more from this host's clock are refused. The window tolerates clocks that ran
// some days without NTP and is short enough to store all its nonces.
constexpr std::int64_t admin_time_window_ms = 30000;

// Number of nonces stored. Requests beyond it are refused, so that no replay is accepted. Only the nonces of
// requests with a valid code are stored.
constexpr std::size_t admin_nonce_limit = 8192;

// The authentication of one request, as sent in the header.
struct admin_credentials {
    std::string time;
    std::string nonce;
    std::string mac;
};

// Computes the credentials of a request.
auto sign_admin_request(const auth_key& key, std::string_view method, std::string_view target,
                        std::int64_t wall_ms, std::string nonce) -> admin_credentials;

// Checks requests and stores their nonces. Thread-safe.
class admin_authenticator {
public:
    explicit admin_authenticator(const auth_keys& keys) : keys_(keys) {}

    // Returns nothing if the request is authentic, otherwise the counter of the reason.
    auto check(std::string_view method, std::string_view target, const admin_credentials& credentials,
               std::int64_t wall_ms) -> tl::expected<void, counter>;

private:
    auth_keys keys_;
    std::mutex mutex_;
    std::set<std::pair<std::int64_t, std::string>> seen_;  // time and nonce of accepted requests
};

}  // namespace agatepost
