// Compares forwarding through one host with a plain relay.
#pragma once

namespace agatepost::bench {

// Measures packets per second through a host's worker and through a relay that only receives and sends, in
// alternating rounds. Prints both rates, their ratio and its spread. Returns a process exit code.
auto compare_with_relay() -> int;

}  // namespace agatepost::bench
