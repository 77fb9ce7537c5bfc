// Script of case 7: another writer keeps a copy of a registration under a key of its own, with a service that
// no configuration names, and removes it after a second.
//
// Arguments: FOLDER (for settings and logs), RECORD, and TROUBLE (0 or 1).
#include "world.hh"

using namespace lab;

auto main(int argc, char** argv) -> int {
    if (argc != 4) {
        cannot_run("usage: foreign_entry FOLDER RECORD TROUBLE");
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
    w.write_configuration(world::route("feed", w.ip("9.1"), 443, "core", "idempotent", 3000));
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
    // All hosts are in touch contact-ms (4 s) after their start.
    w.run_until(now_ms() + 6000, 0);
    for (auto i = 0; i < 80; ++i) {
        w.send_request(true);
        w.run_until(now_ms() + 20, 0);
    }
    w.run_until(now_ms() + 1000, 0);
    auto flows = std::map<std::string, int>{};
    for (const auto& [id, r] : w.requests) {
        flows[r.endpoint] += r.is_open && !r.is_waiting ? 1 : 0;
    }
    const endpoint* most = nullptr;
    for (const auto& e : w.endpoints) {
        most = most == nullptr || flows[e.id] > flows[most->id] ? &e : most;
    }
    if (flows[most->id] == 0) {
        std::fprintf(stderr, "cannot run: no flow is open\n");
        return finish(2);
    }
    log.line(most->id + " has " + std::to_string(flows[most->id]) + " open flows");
    const auto foreign_key = "servers/copy-of-" + most->id;
    if (has_trouble) {
        auto copy = *most;
        copy.service = "retired";
        w.platform().put(foreign_key, copy.entry());
        log.line("another writer writes " + foreign_key + ": " + copy.entry());
    }
    w.run_until(now_ms() + 200, 0);
    for (auto& [id, r] : w.requests) {
        if (r.is_open && !r.is_done && !r.is_waiting) {
            w.ask_again(r);
        }
    }
    w.run_until(now_ms() + 1000, 0);
    if (has_trouble) {
        w.platform().remove(foreign_key);
        log.line("the other writer removes " + foreign_key);
    }
    w.run_until(now_ms() + 5000, 0);

    // FLOW (a): a reset that the flow's endpoint did not send, while that endpoint lives. All hosts are in
    // touch and nothing is impaired, so no excuse applies.
    auto resets = 0;
    auto unanswered = 0;
    for (const auto& [id, r] : w.requests) {
        if (r.outcome == "reset by the system") {
            ++resets;
            log.line("FLOW broken: request " + std::to_string(id) + " on an open flow at " + r.endpoint +
                     " was reset by the system");
        } else if (r.is_waiting) {
            ++unanswered;
            log.line("request " + std::to_string(id) + " on an open flow at " + r.endpoint +
                     " was never answered");
        }
    }
    for (const auto& what : w.violations) {
        log.line(what);
    }
    std::printf("%zu flows, %d open ones reset by the system, %d without an answer\n", w.requests.size(),
                resets, unanswered);
    return finish(resets != 0 || !w.violations.empty() ? 1 : 0);
}
