// Forwarding through one host compared with a bare relay.
#pragma once

namespace agatepost::bench {

// Measures packets a second through a host's worker and through a relay that only receives and sends, in
// alternating rounds, and prints both with the ratio and its spread. Returns a process exit code.
auto compare_with_relay() -> int;

}  // namespace agatepost::bench
