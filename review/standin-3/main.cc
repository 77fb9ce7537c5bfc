// Plays one case of the review: standin-3 CASE FOLDER. Exit code 1 if the rule was broken, 0 if it held, 2 if
// the case could not run. With TROUBLE=0 in the environment there is no disruption.
#include "standin.hh"

using namespace standin;

namespace {

constexpr ms calm_before = 6000;  // longer than contact-ms

// TROUBLE=0 leaves the disruption out. A part of it can be played alone by its name, as a control.
bool has_trouble(const std::string& part = "") {
    const char* text = getenv("TROUBLE");
    const std::string wanted = text == nullptr ? "" : text;
    return wanted != "0" && (part.empty() || wanted.empty() || wanted == "1" || wanted == part);
}

// The bounds of the site rfn-plazas-grown, as its sheet gives them.
void set_bounds(world& w) {
    w.bounds = {{"seed-lag-s", "3"},     {"reuse-after-s", "2"},   {"contact-ms", "5000"},
                {"ack-ms", "8000"},      {"catch-up-s", "6"},      {"drain-ms", "5000"},
                {"grace-s", "6"},        {"loss-slack-ms", "200"}, {"config-ms", "5000"},
                {"downgrade-ms", "250"}, {"outer-ms", "15000"},    {"recovery-s", "15"},
                {"flow-ms", "2000"},     {"max-flow-s", "60"},     {"evacuation-ms", "5000"}};
}
constexpr ms contact_ms = 5000;
constexpr ms drain_ms = 5000;

// Two zones, each with five endpoints, three clients and some hosts.
void build(world& w, int hosts_per_zone = 2, unsigned slots = 2, ms work = 40) {
    w.write_config("");
    for (const char* zone : {"norte-bilbao", "norte-oviedo"}) {
        for (int i = 0; i < hosts_per_zone; ++i) {
            w.add_host(zone);
        }
        for (int i = 0; i < 5; ++i) {
            w.add_endpoint("plazas", zone, slots, work);
        }
        for (int i = 0; i < 3; ++i) {
            w.add_client(zone);
        }
    }
    w.write_config(w.route(443, "idempotent", "plazas", 2000, 300, 2) + "," +
                   w.route(8080, "non_idempotent", "plazas", 2000, 400, 1));
    for (auto& one : w.hosts) {
        w.start(one);
    }
    if (!w.wait_ready(10000)) {
        give_up("the hosts do not become ready");
    }
}

// Each client opens a flow for a request every `interval` milliseconds.
void start_traffic(world& w, ms interval) {
    auto count = std::make_shared<int>(0);
    auto next = std::make_shared<ms>(now_ms());
    w.events.every_turn([&w, interval, count, next] {
        while (now_ms() >= *next) {
            *next += interval;
            for (std::size_t client = 0; client < w.client_zones.size(); ++client) {
                w.open_flow(client, 443, "attempt-" + std::to_string(++*count), 2000);
            }
        }
    });
}

void summary(world& w) {
    record(
        "requests sent %d, run %d, answered %d, refused by reset before they opened %d, never opened %d, "
        "reset while "
        "open %d, late %d",
        w.asked, w.run, w.answered, w.refused, w.unopened, w.resets, w.late);
}

// Counts openings at endpoints whose entry the store had removed more than drain-ms before, sent on by hosts
// in touch.
void check_drain(world& w, int& broken) {
    w.on_syn = [&w, &broken](endpoint& one, const packet& p, host* via) {
        if (one.removed_at < 0 || via == nullptr) {
            return;
        }
        const auto since = now_ms() - one.removed_at;
        const bool is_in_touch = via->disturbed == 0 || now_ms() - via->disturbed > contact_ms;
        if (since > drain_ms && is_in_touch && p.ack == 0) {
            if (++broken <= 20) {
                record("DRAIN: %s gets an opening from %s:%u through %s, %lld ms after its entry was removed",
                       one.id.c_str(), ip_text(p.src).c_str(), p.sport, via->name.c_str(),
                       static_cast<long long>(since));
            }
        }
    };
}

// Two endpoints lose the path to the store, one in each zone, and go on serving. Returns when their entries
// will be removed.
ms cut_endpoints(world& w) {
    ms expires = 0;
    for (const std::size_t index : {std::size_t{0}, std::size_t{5}}) {
        auto& one = w.endpoints[index];
        one.reaches_store = false;
        record("endpoint %s is cut off from the store; hosts and clients still reach it", one.id.c_str());
        expires = std::max(expires, one.last_report + 3 * w.heartbeat);
    }
    return expires;
}

// A host that has just read a listing tells others the changes since their position without the removals.
int stale_removal(world& w) {
    int broken = 0;
    set_bounds(w);
    check_drain(w, broken);
    build(w, 4);
    start_traffic(w, 60);
    w.events.run_until(now_ms() + calm_before);
    ms expires = now_ms() + 3 * w.heartbeat;
    if (has_trouble("cut")) {
        expires = cut_endpoints(w);
    }
    w.events.run_until(expires - 200);
    if (has_trouble("kill")) {
        // Many processes are killed at the same moment: two of four in each zone. They start again one after
        // the other.
        for (const std::size_t index : {0U, 3U, 4U, 7U}) {
            w.kill_host(w.hosts[index], SIGKILL);
        }
        w.events.run_until(now_ms() + 300);
        w.start(w.hosts[3]);
        w.start(w.hosts[7]);
        w.events.run_until(now_ms() + 500);
        w.start(w.hosts[0]);
        w.start(w.hosts[4]);
    }
    w.events.run_until(now_ms() + 14000);
    summary(w);
    record("openings later than drain-ms: %d", broken);
    return broken != 0 ? 1 : 0;
}

// Watches that wait are cut now and then, and each time a host takes the removals of 2.5 s for lapses.
int cut_watches(world& w) {
    int broken = 0;
    set_bounds(w);
    check_drain(w, broken);
    build(w);
    start_traffic(w, 60);
    w.events.run_until(now_ms() + calm_before);
    if (has_trouble("watches")) {
        w.platform->cut_watches_after = 1500;
        record("the store cuts watches that have waited for 1,500 ms");
    }
    w.events.run_until(now_ms() + calm_before);
    if (has_trouble("cut")) {
        cut_endpoints(w);
    }
    w.events.run_until(now_ms() + 16000);
    summary(w);
    record("watches cut: %d", w.platform->watches_cut);
    record("openings later than drain-ms: %d", broken);
    return broken != 0 ? 1 : 0;
}

// Long flows of an idempotent route, on which a request follows 300 ms after each answer. One in five takes
// the longest time of the sheet.
void start_feeds(world& w, int flows_per_client) {
    auto count = std::make_shared<int>(0);
    const auto text = [count] {
        const int n = ++*count;
        return "attempt-" + std::to_string(n) + (n % 5 == 0 ? " long" : "");
    };
    for (std::size_t client = 0; client < w.client_zones.size(); ++client) {
        for (int i = 0; i < flows_per_client; ++i) {
            auto again = std::make_shared<std::function<void(flow&)>>();
            *again = [&w, text, again](flow& one) {
                const auto client = one.client;
                const auto port = one.port;
                w.events.at(now_ms() + 300, [&w, client, port, text, again] {
                    if (auto* open = w.find_flow(client, port)) {
                        w.ask(*open, text(), 2000);
                    } else {
                        w.open_flow(client, 443, text(), 2000, *again);
                    }
                });
            };
            w.open_flow(client, 443, text(), 2000, *again);
        }
    }
    w.on_end = [&w, text](flow& one) {
        if (!one.on_answer) {
            return;
        }
        const auto client = one.client;
        const auto again = one.on_answer;
        w.events.at(now_ms() + 100,
                    [&w, client, again, text] { w.open_flow(client, 443, text(), 2000, again); });
    };
}

// A request that must run once at most, on a flow of its own, from each client every `interval` milliseconds.
void start_holds(world& w, ms interval) {
    auto count = std::make_shared<int>(0);
    auto next = std::make_shared<ms>(now_ms());
    w.events.every_turn([&w, interval, count, next] {
        while (now_ms() >= *next) {
            *next += interval;
            for (std::size_t client = 0; client < w.client_zones.size(); ++client) {
                w.open_flow(client, 8080, "hold-" + std::to_string(++*count) + " long", 2000);
            }
        }
    });
}

// Counts resets of open flows that the flow's endpoint did not send. All endpoints live and are unimpaired.
void check_resets(world& w, int& broken) {
    w.on_reset = [&w, &broken](flow& one, std::uint32_t sender) {
        if (!one.is_open || sender == one.endpoint_ip) {
            return;
        }
        ++broken;
        const auto* by_host = w.host_at(sender);
        const auto* by_endpoint = w.endpoint_at(sender);
        const auto* own = w.endpoint_at(one.endpoint_ip);
        record(
            "FLOW: %s client %zu:%u gets a reset from %s on its open flow at %s; '%s' was sent %lld ms ago",
            one.service_port == 8080 ? "non-idempotent," : "idempotent,", one.client, one.port,
            by_host != nullptr       ? by_host->name.c_str()
            : by_endpoint != nullptr ? by_endpoint->id.c_str()
                                     : "nobody",
            own != nullptr ? own->id.c_str() : "nobody", one.request.c_str(),
            static_cast<long long>(now_ms() - one.sent));
    };
}

// Copies of opening packets go to the service that a route had before.
int late_copies(world& w) {
    int broken = 0;
    // The bounds and the endpoints are those of the sheet of mjsz-tracker.
    set_bounds(w);
    for (const auto& [name, value] : std::map<std::string, std::string>{{"contact-ms", "4000"},
                                                                        {"ack-ms", "5000"},
                                                                        {"catch-up-s", "4"},
                                                                        {"drain-ms", "3000"},
                                                                        {"config-ms", "3000"},
                                                                        {"outer-ms", "12000"},
                                                                        {"recovery-s", "12"}}) {
        w.bounds[name] = value;
    }
    constexpr ms downgrade_ms = 250;
    constexpr unsigned slots = 3;
    constexpr ms work = 55;
    w.queue_limit = 12;
    // The usual load is 0.58 of what the endpoints can do. In a burst, the 1.7 times the traffic of 3 s come
    // as the usual traffic and the rest within 600 ms.
    constexpr double usual_pause = 19;  // between openings of a client
    constexpr ms burst_ms = 600;
    constexpr double burst_pause = usual_pause / (1 + 0.7 * 3000 / burst_ms);
    build(w, 2, slots, work);
    for (const char* zone : {"norte-bilbao", "norte-oviedo"}) {
        for (int i = 0; i < 5; ++i) {
            w.add_endpoint("tickets", zone, slots, work);
        }
    }
    std::string service = "plazas";
    std::map<const host*, ms> effect;  // when an endpoint of the service took an opening through this host
    std::map<std::pair<std::uint32_t, std::uint16_t>, std::string> late;
    const auto change = [&] {
        service = service == "plazas" ? "tickets" : "plazas";
        effect.clear();
        late.clear();
        w.write_config(w.route(443, "idempotent", service, 2000, 300, 2) + "," +
                       w.route(8080, "non_idempotent", service, 2000, 400, 1));
        record("both routes lead to %s", service.c_str());
    };
    w.on_syn = [&](endpoint& one, const packet& p, host* via) {
        const auto* on = w.flow_of(p.src, p.sport);
        if (via == nullptr || on == nullptr) {
            return;
        }
        if (one.service == service) {
            effect.emplace(via, now_ms());
            return;
        }
        const auto seen = effect.find(via);
        const auto sent = on->openings[std::min<std::uint32_t>(p.ack, 2)];
        if (seen != effect.end() && sent - seen->second > downgrade_ms) {
            late[{p.src, p.sport}] = "copy " + std::to_string(p.ack) + " of its opening, sent " +
                                     std::to_string(sent - seen->second) + " ms after an endpoint of " +
                                     service + " took an opening through " + via->name;
        }
    };
    w.on_run = [&](endpoint& one, const flow* on, const std::string& request) {
        if (on == nullptr || one.service == service) {
            return;
        }
        for (const auto& [key, text] : late) {
            if (w.flow_of(key.first, key.second) == on) {
                ++broken;
                record("CONFIG: '%s' runs at %s of %s: %s", request.c_str(), one.id.c_str(),
                       one.service.c_str(), text.c_str());
            }
        }
    };
    auto next = static_cast<double>(now_ms());
    auto count = 0;
    ms burst_end = 0;
    w.events.every_turn([&] {
        while (static_cast<double>(now_ms()) >= next) {
            next += now_ms() < burst_end ? burst_pause : usual_pause;
            for (std::size_t client = 0; client < w.client_zones.size(); ++client) {
                ++count;
                w.open_flow(client, 443, "attempt-" + std::to_string(count), 2000);
            }
        }
    });
    w.events.run_until(now_ms() + calm_before);
    for (int round = 0; round < 16; ++round) {
        if (has_trouble("burst")) {
            record("a burst begins");
            burst_end = now_ms() + burst_ms;
        }
        w.events.run_until(now_ms() + burst_ms);
        if (has_trouble("change")) {
            change();
        }
        w.events.run_until(now_ms() + 5000 - burst_ms);
    }
    summary(w);
    record("requests run by the former service although sent later than downgrade-ms: %d", broken);
    return broken != 0 ? 1 : 0;
}

// An endpoint is added whose id ends in the same eight hexadecimal digits as that of a working one.
int shared_digits(world& w) {
    int broken = 0;
    set_bounds(w);
    check_resets(w, broken);
    w.long_work = 240;
    build(w);
    w.add_endpoint("plazas", "norte-bilbao", 2, 40, "i-b418bf175a");
    w.events.run_until(now_ms() + 1000);
    start_feeds(w, 6);
    start_holds(w, 200);
    w.events.run_until(now_ms() + calm_before);
    if (has_trouble()) {
        w.add_endpoint("plazas", "norte-bilbao", 2, 40, "i-0018bf175a");
    }
    w.events.run_until(now_ms() + 10000);
    summary(w);
    record("resets of open flows that their endpoints did not send: %d", broken);
    return broken != 0 ? 1 : 0;
}

}  // namespace

int main(int argc, char** argv) {
    if (argc != 3) {
        fprintf(stderr, "usage: standin-3 CASE FOLDER\n");
        return 2;
    }
    const std::string name = argv[1];
    const std::string folder = argv[2];
    record_file() = fopen((folder + "/record.txt").c_str(), "w");
    if (record_file() == nullptr) {
        return 2;
    }
    const std::map<std::string, int (*)(world&)> cases = {{"stale-removal", stale_removal},
                                                          {"cut-watches", cut_watches},
                                                          {"late-copies", late_copies},
                                                          {"shared-digits", shared_digits}};
    if (cases.count(name) == 0) {
        fprintf(stderr, "unknown case %s\n", name.c_str());
        return 2;
    }
    char scratch[] = "/tmp/standin-3-XXXXXX";
    if (mkdtemp(scratch) == nullptr) {
        return 2;
    }
    const char* binary = getenv("AGATEPOST");
    int code = 2;
    {
        world w(scratch, binary == nullptr ? "target/agatepost" : binary);
        record("case %s, %s", name.c_str(), has_trouble() ? "with the disruption" : "without the disruption");
        code = cases.at(name)(w);
    }
    record("exit code %d", code);
    if (getenv("KEEP") == nullptr) {
        static_cast<void>(!system((std::string("rm -rf ") + scratch).c_str()));
    } else {
        printf("%s\n", scratch);
    }
    return code;
}
