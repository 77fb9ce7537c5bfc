// Every log event: LOG_EVENT(number, name, severity, meaning). Included several times with different
// definitions of LOG_EVENT. Numbers are never reused; docs/log-events.md has an entry for each.
// 100-199 host, 200-299 configuration and store, 300-399 peers, 400-499 flows and targets, 500-599 operators.
LOG_EVENT(100, host_started, info, "the host is ready to forward packets")
LOG_EVENT(101, host_stopping, info, "the host was asked to stop and starts its graceful stop")
LOG_EVENT(102, host_stopped, info, "the host has stopped")
LOG_EVENT(103, host_start_failed, error, "the host could not start")
LOG_EVENT(200, configuration_applied, info, "a newer configuration is in force")
LOG_EVENT(201, configuration_rejected, error, "a configuration document was not applied")
LOG_EVENT(202, configuration_missing, warning, "no configuration from the store or a peer yet; new flows are refused")
LOG_EVENT(203, watch_started, info, "this host holds the store's watch for its zone")
LOG_EVENT(204, watch_ended, info, "this host no longer holds the store's watch")
LOG_EVENT(205, watch_failed, warning, "the store could not be read or watched; it is tried again")
LOG_EVENT(300, host_resumed, warning, "the process was paused; it announces itself anew")
LOG_EVENT(301, host_died, warning, "another host of the zone was declared dead")
LOG_EVENT(302, view_changed, info, "the zone's list of live hosts changed")
LOG_EVENT(303, messages_unauthenticated, warning, "no key is set: messages between hosts are not authenticated")
LOG_EVENT(304, control_traffic, info, "bytes exchanged with other hosts since the host started")
