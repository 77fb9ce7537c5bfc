// Packet worker threads.
#pragma once

#include <memory>
#include <thread>
#include <vector>

#include "host/host_base.h"

namespace agatepost {

// Opens the link once for each worker and starts the threads. They end when host.is_done is set.
auto start_workers(host_state& host) -> result<std::vector<std::thread>>;

}  // namespace agatepost
