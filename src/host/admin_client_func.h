// Client of the admin port of a host.
#pragma once

#include <string>

#include "core/message_auth_func.h"
#include "net/address_type.h"

namespace agatepost {

// Time limit of one request, from connecting to the end of the answer.
constexpr std::int64_t admin_request_timeout_ms = 3000;

// Sends a GET request with the current key, if there is one, and returns the body of the answer. Fails with
// error_kind::network if the host cannot be reached in time, error_kind::unauthorized if it refuses the key,
// and error_kind::not_found for other answers.
auto fetch_admin_page(const endpoint& host, const std::string& target, const auth_keys& keys)
    -> result<std::string>;

}  // namespace agatepost
