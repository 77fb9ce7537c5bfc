// Every log event: LOG_EVENT(number, name, severity, meaning). Included several times with different
// definitions of LOG_EVENT. Numbers are never reused; docs/log-events.md has an entry for each.
// 100-199 host, 200-299 configuration and store, 300-399 peers, 400-499 flows and targets, 500-599 operators.
LOG_EVENT(100, host_started, info, "the host is ready to forward packets")
LOG_EVENT(101, host_stopping, info, "the host was asked to stop and starts its graceful stop")
LOG_EVENT(102, host_stopped, info, "the host has stopped")
LOG_EVENT(103, host_start_failed, error, "the host could not start")
LOG_EVENT(104, admin_without_key, warning, "no shared key is set; the admin port answers anyone on a loopback address and nobody elsewhere")
LOG_EVENT(105, admin_request_refused, warning, "an admin request without valid authentication was refused")
LOG_EVENT(200, configuration_applied, info, "a newer configuration is in force")
LOG_EVENT(201, configuration_rejected, error, "a configuration document was not applied")
LOG_EVENT(202, configuration_missing, warning, "no configuration from the store or a peer yet; new flows are refused")
LOG_EVENT(400, silent_flow_reset, warning, "a silent flow was reset at both ends; at most one event a second, the counter silent_reset has the total")
LOG_EVENT(401, chooser_started, info, "this host became the chooser of a pool")
LOG_EVENT(402, chooser_handed_over, info, "this host is no longer the chooser of a pool and sent its counts to the next")
