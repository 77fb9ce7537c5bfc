// Keeps the host's configuration up to date from the store.
#pragma once

#include <thread>

#include "host/host_base.h"
#include "store/store_base.h"

namespace agatepost {

// Parses what the store holds under config_prefix. Objects that do not parse are logged and left out.
auto configuration_of(const store_listing& listing) -> configuration;

// Starts the thread that reads the store, publishes snapshots and follows changes. It ends when host.is_done
// is set.
auto start_config_feed(host_state& host, store_client store) -> std::thread;

}  // namespace agatepost
