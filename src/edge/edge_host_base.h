// A host on the one-way data path: one thread with all sockets, which executes the decisions of forwarding,
// the store follower and the peer group.
#pragma once

#include <functional>

#include "core/error_type.h"
#include "edge/edge_platform_base.h"

namespace agatepost::edge {

// Reads the platform's settings.
using settings_reader = std::function<result<edge_settings>()>;

// Runs a host until SIGTERM or SIGINT and its graceful stop. The settings are read again on SIGHUP.
auto run_edge_host(const platform_plugin& platform, const settings_reader& read_settings) -> result<void>;

}  // namespace agatepost::edge
