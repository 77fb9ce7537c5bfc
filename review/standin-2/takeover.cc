// Script of case 6: the host that watches the store is cut off from it just after it had an answer.
//
// Arguments: FOLDER (for settings and logs), RECORD, and TROUBLE (0 or 1).
#include "world.hh"

using namespace lab;

auto main(int argc, char** argv) -> int {
    if (argc != 4) {
        cannot_run("usage: takeover FOLDER RECORD TROUBLE");
    }
    const auto has_trouble = std::string(argv[3]) != "0";
    auto log = record(argv[2]);
    auto w = world(40 + getpid() % 150, argv[1], log);
    const auto zones = std::string("zones.za=r\nzones.zb=r\nzones.zc=r\n");
    const auto seeds = w.ip("1.11") + ":8166," + w.ip("1.12") + ":8166," + w.ip("1.13") + ":8166";
    w.add_host("a1", "1.11", "za", zones, seeds);
    w.add_host("a2", "1.12", "za", zones, seeds);
    w.add_host("b1", "1.13", "zb", zones, seeds);
    w.add_host("c1", "1.14", "zc", zones, seeds);
    const auto routes = [&w](int timeout_ms) {
        return world::route("feed", w.ip("9.1"), 443, "core", "idempotent", timeout_ms);
    };
    w.write_configuration(routes(3000));
    for (const auto* zone : {"za", "za", "za", "za", "zb", "zb", "zc", "zc"}) {
        w.add_endpoint("core", zone);
    }
    for (auto& h : w.hosts) {
        h.start();
    }
    const auto finish = [&](int code) {
        w.stop_all();
        log.close();
        return code;
    };
    for (auto i = 0; i < 20 && !w.are_all_ready(); ++i) {
        w.run_until(now_ms() + 500, 0);
    }
    if (!w.are_all_ready()) {
        std::fprintf(stderr, "cannot run: the hosts are not ready\n");
        return finish(2);
    }
    // Planned: the machines of two zones are taken away.
    for (auto& h : w.hosts) {
        if (h.zone != "za") {
            w.may_end.insert(h.name);
            kill(h.pid, SIGTERM);
            log.line("SIGTERM to " + h.name);
        }
    }
    w.run_until(now_ms() + 9000, 0);
    // Changes in quick succession, so that the watching host has an answer just before the cut.
    const auto cut_at = now_ms() + 1000;
    for (auto i = 0; now_ms() < cut_at; ++i) {
        w.write_configuration(routes(3000 + i));
        w.run_until(now_ms() + 80, 20);
    }
    // Of the hosts of the zone, the one with the lowest address watches the store.
    if (has_trouble) {
        w.store_paths["a1"]->is_cut = true;
        log.line("core_cut of a1 begins");
    }
    const auto healed_at = now_ms() + 5500;
    w.run_until(now_ms() + 50, 20);
    auto drained = std::vector<endpoint*>{};
    for (auto& e : w.endpoints) {
        if (drained.size() < 3) {
            w.drain(e);
            drained.push_back(&e);
        }
    }
    w.run_until(healed_at, 10);
    w.store_paths["a1"]->is_cut = false;
    log.line("core_cut ends");
    // "a little longer (at times many seconds)" than drain-ms after the store has accepted the report
    for (auto* e : drained) {
        w.leave(*e);
    }
    w.run_until(now_ms() + 2000, 20);

    // DRAIN, judged by the opening packet: sent by the client later than drain-ms after the ack, through the
    // host that was not cut off.
    constexpr std::int64_t drain_ms = 3000;
    auto late = 0;
    for (const auto& one : w.runs) {
        const auto& r = w.requests.at(one.request);
        for (const auto* e : drained) {
            const auto after = r.sent - e->drained_at;
            if (e->id == one.endpoint && r.host == "a2" && after > drain_ms) {
                ++late;
                log.line("DRAIN broken: request " + std::to_string(r.id) + " sent " + std::to_string(after) +
                         " ms after the ack that " + e->id + " is draining, through a2");
            }
        }
    }
    for (const auto& what : w.violations) {
        log.line(what);
    }
    std::printf(
        "%zu requests run, %d of them after drain-ms at a draining endpoint through a host in touch\n",
        w.runs.size(), late);
    return finish(late != 0 || !w.violations.empty() ? 1 : 0);
}
