// State that the threads of a running host share.
#pragma once

#include <atomic>
#include <functional>

#include "config/config_keeper_base.h"
#include "config/snapshot_type.h"
#include "core/published_base.h"
#include "core/settings_func.h"
#include "flow/flow_state_base.h"
#include "flow/placement_base.h"
#include "health/probe_base.h"
#include "net/link_base.h"
#include "peer/host_view_type.h"
#include "peer/peer_channel_base.h"

namespace agatepost {

// Shared state of a host. Modules read the published values; each has one writer, named in its comment.
struct host_state {
    explicit host_state(settings values) : options(std::move(values)), flows(options.text("zone")) {}

    const settings options;
    const link_plugin* link = nullptr;
    const placement_plugin* placement = nullptr;
    config_keeper keeper;                         // newest configuration, with what changed
    published<snapshot> config;                   // written by the configuration feed
    published<host_view> view;                    // written by membership
    flow_state flows;                             // thread-safe; written by workers, timers and messages
    std::atomic<bool> is_stopping{false};         // a graceful stop was requested
    std::atomic<bool> is_done{false};             // all threads must end
    std::atomic<std::int64_t> last_packet_ms{0};  // when a packet was last received

    // Messages to and from other hosts. Handlers are subscribed before the host starts.
    const peer_channel* channel = nullptr;
    // Set by the flow module before the host starts; empty functions are not called.
    load_report_handler
        apply_load_report;  // applies a health report about a target of a pool of this chooser
    std::function<void()>
        hand_over;  // sends counts and exceptions to other hosts, after leaving was announced
};

}  // namespace agatepost
