#include "edge/reach_func.h"

namespace agatepost::edge {

auto note_answer(reach_state& reach) -> void {
    reach.silent_openings = 0;
    reach.cut_since = {};
}

auto note_silence(reach_state& reach, time_ms at) -> bool {
    if (reach.silent_openings++ == 0) {
        reach.first_silent = at;
    }
    return reach.cut_since == time_ms{} && reach.silent_openings >= cut_off_openings &&
           at - reach.first_silent >= cut_off_ms;
}

auto note_cut_off(reach_state& reach, time_ms at) -> void {
    reach.cut_since = at;
    reach.last_probe = at;
}

auto is_cut_off(reach_state& reach, time_ms at) -> bool {
    if (reach.cut_since == time_ms{}) {
        return false;
    }
    const auto pause_ms = at - reach.last_peer < heard_lately_ms ? cut_pause_ms : cut_pause_limit_ms;
    if (at - reach.cut_since >= pause_ms) {
        note_answer(reach);
        return false;
    }
    return true;
}

auto takes_probe(reach_state& reach, time_ms at) -> bool {
    if (at - reach.last_probe < cut_probe_ms) {
        return false;
    }
    reach.last_probe = at;
    return true;
}

}  // namespace agatepost::edge
