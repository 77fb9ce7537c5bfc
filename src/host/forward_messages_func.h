// Flow messages between hosts, and the timers of flows.
#pragma once

#include <thread>

#include "host/host_base.h"
#include "peer/peer_channel_base.h"

namespace agatepost {

// Registers the handlers of all flow messages. Call once, after the channel exists and before it starts;
// `host` must outlive the channel. Message types: flow-counts, flow-owner-counts, flow-activity,
// flow-exceptions, silent-query, silent-answer.
auto register_flow_messages(host_state& host, const peer_channel& channel) -> void;

// Starts the thread that expires entries, retries SYNs, sends the periodic flow messages and hands choosers
// over when the view changes. It ends when host.is_done is set. `host` and `channel` must outlive it. It may
// be started before or after the workers.
auto start_flow_timers(host_state& host, const peer_channel& channel) -> std::thread;

// Sends the counts of all choosers to the next choosers and all exceptions to the next owners, without a rate
// limit. Call on a graceful stop, after the host has announced that it is leaving and before it waits for
// traffic to stop. Returns when all messages are queued in the channel.
auto hand_over_flows(host_state& host, const peer_channel& channel) -> void;

}  // namespace agatepost
