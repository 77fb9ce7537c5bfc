#include "edge/reach_func.h"

namespace agatepost::edge {

auto record_answer(reach_state& reach) -> void {
    reach.timed_out_syns = 0;
    reach.cut_off_since = {};
}

auto count_syn_timeout(reach_state& reach, time_ms at) -> bool {
    if (reach.timed_out_syns++ == 0) {
        reach.first_timed_out = at;
    }
    return reach.cut_off_since == time_ms{} && reach.timed_out_syns >= cut_off_after_syns &&
           at - reach.first_timed_out >= cut_off_after_ms;
}

auto mark_cut_off(reach_state& reach, time_ms at) -> void {
    reach.cut_off_since = at;
    reach.last_probe = at;
}

auto is_cut_off(reach_state& reach, time_ms at) -> bool {
    if (reach.cut_off_since == time_ms{}) {
        return false;
    }
    const auto pause_ms =
        at - reach.last_peer_heard < peer_heard_max_age_ms ? cut_off_pause_ms : max_cut_off_pause_ms;
    if (at - reach.cut_off_since >= pause_ms) {
        record_answer(reach);
        return false;
    }
    return true;
}

auto start_probe_if_due(reach_state& reach, time_ms at) -> bool {
    if (at - reach.last_probe < cut_off_probe_interval_ms) {
        return false;
    }
    reach.last_probe = at;
    return true;
}

}  // namespace agatepost::edge
