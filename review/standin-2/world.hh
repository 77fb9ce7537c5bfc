// The world of a script: hosts, routers, clients, endpoints and the operator, and the log of requests.
#pragma once

#include "lab.hh"

namespace lab {

// A request of a client, on a flow of its own.
struct request {
    int id = 0;
    std::uint16_t port = 0, service_port = 0;
    std::string host;       // that the router gave the SYN to
    std::int64_t sent = 0;  // first SYN
    std::int64_t next = 0;  // next copy or retransmission
    std::int64_t pause = 200;
    int copies = 0;
    std::uint32_t seq = 0, ack = 0, echo = 0;
    bool is_open = false;
    bool is_done = false;
    bool is_long = false;    // the flow stays open after an answer
    bool is_waiting = true;  // for an answer
    std::int64_t asked = 0;  // when the request in progress was first sent
    std::string endpoint;    // that answered last
    std::string outcome;
};

// A request that an endpoint has run.
struct run_entry {
    int request = 0;
    std::string endpoint;
    std::int64_t opened_at = 0;  // when the opening packet reached the endpoint
};

class world {
public:
    // `net`: second number of all addresses. `folder`: for settings and logs.
    world(int net, const std::string& folder, record& log)
        : prefix_("127." + std::to_string(net) + "."),
          folder_(folder),
          log_(log),
          platform_(ip("0.200"), 9000),
          router_(open_socket(SOCK_DGRAM, ip("0.250"), 0, false)),
          client_(open_socket(SOCK_DGRAM, ip("3.1"), data_port, false)) {}

    std::list<host> hosts;
    std::list<endpoint> endpoints;
    std::map<std::string, std::unique_ptr<tcp_proxy>> store_paths;  // by host
    std::vector<std::unique_ptr<tcp_proxy>> other_proxies;
    std::map<int, request> requests;
    std::vector<run_entry> runs;
    std::vector<std::string> violations;  // found on the way
    std::uint16_t service_port = 443;
    int work_ms = 20;

    auto ip(const std::string& rest) const -> std::string { return prefix_ + rest; }
    auto platform() -> store& { return platform_; }
    auto log() -> record& { return log_; }

    auto add_host(const std::string& name, const std::string& rest, const std::string& zone,
                  const std::string& zones, const std::string& seeds) -> host& {
        hosts.push_back(
            {name, ip(rest), zone, folder_ + "/" + name + ".conf", folder_ + "/" + name + ".log"});
        auto& h = hosts.back();
        const auto path_ip = ip("2." + rest.substr(2));
        store_paths[name] = std::make_unique<tcp_proxy>(path_ip, 9000, ip("0.200"), 9000);
        auto* file = std::fopen(h.settings.c_str(), "w");
        if (file == nullptr) {
            cannot_run("settings of " + name);
        }
        std::fprintf(
            file,
            "node-name=%s\nrole=edge\nmachine-class=edge\nserves=edge,control_plane\nip=%s\nzone=%s\n"
            "region=r\n%sbind-addresses.datagram-address=%s:%d\nbind-addresses.ready-address=%s:%d\n"
            "bind-addresses.control=%s:8166\ninternal-port-range=7720,7735\nseeds=%s\n"
            "bootstrap=true\ncounts-as-loss=false\nheartbeat-ms=770\nbounds.contact-ms=4000\n"
            "bounds.drain-ms=3000\nbounds.config-ms=3000\nbounds.grace-s=6\nbounds.max-flow-s=60\n"
            "hash=steady\nform=echo\nplatform.address=%s:9000\nplatform.form=kv\n",
            name.c_str(), h.ip.c_str(), zone.c_str(), zones.c_str(), h.ip.c_str(), data_port, h.ip.c_str(),
            ready_port, h.ip.c_str(), seeds.c_str(), path_ip.c_str());
        std::fclose(file);
        return h;
    }

    auto add_endpoint(const std::string& service, const std::string& zone) -> endpoint& {
        const auto number = ++last_endpoint_;
        auto e = endpoint{};
        char id[32];
        std::snprintf(id, sizeof id, "i-%010llx",
                      0x9e16b78000ULL + static_cast<unsigned long long>(number) * 7919);
        e.id = id;
        e.tag = std::strtoull(id + 2, nullptr, 16);
        e.service = service;
        e.zone = zone;
        e.ip = ip("4." + std::to_string(number));
        e.fd = open_socket(SOCK_DGRAM, e.ip, 8000, false);
        endpoints.push_back(e);
        register_endpoint(endpoints.back());
        return endpoints.back();
    }
    auto register_endpoint(endpoint& e) -> void {
        platform_.put(e.key(), e.entry());
        log_.line("store ack " + e.id + (e.is_draining ? " draining" : " ready"));
    }
    auto drain(endpoint& e) -> void {
        e.is_draining = true;
        e.drained_at = now_ms();
        register_endpoint(e);
    }
    // The endpoint has left: its entry is removed and its socket closed.
    auto leave(endpoint& e) -> void {
        e.is_gone = true;
        close(e.fd);
        platform_.remove(e.key());
        log_.line("endpoint " + e.id + " has left");
    }

    auto write_configuration(const std::string& routes) -> void {
        version_ += 2;
        platform_.put("op/config", "{\"version\":" + std::to_string(version_) + ",\"routes\":[" + routes +
                                       "],\"services\":[{\"name\":\"core\",\"health-check-path\":\"/health\","
                                       "\"max-connections\":2000}],\"limits\":{\"idle-timeout-ms\":15000}}");
        log_.line("store ack configuration version " + std::to_string(version_));
    }
    static auto route(const std::string& name, const std::string& address, int port,
                      const std::string& service, const std::string& kind, int timeout_ms) -> std::string {
        return "{\"name\":\"" + name + "\",\"hostname\":\"" + address + "\",\"prefix\":\"/" +
               std::to_string(port) + "/\",\"service\":\"" + service + "\",\"route-type\":\"" + kind +
               "\",\"timeout-ms\":" + std::to_string(timeout_ms) +
               ",\"target-latency-ms\":300,\"priority\":1,\"max-attempts\":1}";
    }

    // Sends one request on a new flow, through the host that the routers select by the flow.
    auto send_request(bool is_long = false) -> void {
        auto r = request{};
        r.is_long = is_long;
        r.id = ++last_request_;
        r.port = next_port_ = static_cast<std::uint16_t>(next_port_ >= 60000 ? 1024 : next_port_ + 1);
        r.service_port = service_port;
        r.seq = static_cast<std::uint32_t>(r.id) * 2654435761U;
        r.sent = now_ms();
        const auto* h = select(r.port);
        if (h == nullptr) {
            return;
        }
        r.host = h->name;
        log_.line("request " + std::to_string(r.id) + " SYN to " + r.host);
        auto& kept = requests[r.id] = r;
        send_syn(kept);
    }

    // Sends a further request on an open flow; it keeps the number of the flow's first request.
    auto ask_again(request& r) -> void {
        r.is_waiting = true;
        r.asked = now_ms();
        const auto* h = to_host(from_client(r, ack_flag, request_text(r)), r.port);
        r.next = r.asked + (r.pause = 200);
        log_.line("request " + std::to_string(r.id) + " asks again through " +
                  (h == nullptr ? "-" : h->name));
    }

    // Runs everything until `until`, with requests every `every_ms` (0: none).
    auto run_until(std::int64_t until, int every_ms) -> void {
        auto next_request = now_ms();
        while (now_ms() < until) {
            for (; every_ms != 0 && now_ms() >= next_request; next_request += every_ms) {
                send_request();
            }
            step();
        }
    }

    auto are_all_ready() const -> bool {
        for (const auto& h : hosts) {
            if (h.pid != 0 && !h.is_ready) {
                return false;
            }
        }
        return true;
    }

    // Ends the processes that were started.
    auto stop_all() -> void {
        for (auto& h : hosts) {
            if (h.pid != 0) {
                kill(h.pid, SIGCONT);
                kill(h.pid, SIGKILL);
                waitpid(h.pid, nullptr, 0);
                h.pid = 0;
            }
        }
    }

    std::set<std::string> may_end;  // hosts that were told to end

private:
    auto select(std::uint16_t port) const -> const host* {
        const host* best = nullptr;
        auto best_weight = std::uint64_t{0};
        for (const auto& h : hosts) {
            auto w = (static_cast<std::uint64_t>(number_of(h.ip)) << 20U) ^ (port * 0x9e3779b97f4a7c15ULL);
            w = (w ^ (w >> 30U)) * 0xbf58476d1ce4e5b9ULL;
            w ^= w >> 27U;
            if (h.is_ready && h.pid != 0 && (best == nullptr || w > best_weight)) {
                best = &h;
                best_weight = w;
            }
        }
        return best;
    }
    auto to_host(const packet& p, std::uint16_t port) -> const host* {
        const auto* h = select(port);
        if (h != nullptr) {
            const auto bytes = encode(p);
            const auto a = make_address(h->ip, data_port);
            sendto(router_, bytes.data(), bytes.size(), 0, reinterpret_cast<const sockaddr*>(&a), sizeof a);
        }
        return h;
    }
    auto from_client(const request& r, std::uint8_t flags, const std::string& data) const -> packet {
        return {r.seq,  r.ack, number_of(ip("3.1")), number_of(ip("9.1")), r.port, r.service_port, flags,
                r.echo, data};
    }
    auto send_syn(request& r) -> void {
        auto p = from_client(r, syn, "");
        p.ack = static_cast<std::uint32_t>(r.copies);
        p.echo = 0;
        to_host(p, r.port);
        r.next = r.sent + (r.copies == 0 ? 200 : r.copies == 1 ? 600 : 1400);
    }
    auto request_text(const request& r) const -> std::string {
        return "GET / HTTP/1.1\r\nAttempt-Id: " + std::to_string(r.id) + "\r\n\r\n";
    }
    auto end(request& r, const std::string& outcome) -> void {
        r.is_done = true;
        r.outcome = outcome;
        log_.line("request " + std::to_string(r.id) + " ended: " + outcome);
    }
    auto update_requests() -> void {
        const auto at = now_ms();
        for (auto& [id, r] : requests) {
            if (r.is_done || !r.is_waiting || at < r.next) {
                continue;
            }
            if (!r.is_open) {
                if (r.copies == 2) {
                    end(r, "no SYN+ACK");
                    continue;
                }
                ++r.copies;
                send_syn(r);
                continue;
            }
            if (at - std::max(r.sent, r.asked) > 5000) {
                end(r, "no answer");
                continue;
            }
            to_host(from_client(r, ack_flag, request_text(r)), r.port);
            r.next = at + (r.pause = std::min<std::int64_t>(1600, r.pause * 2));
        }
    }
    auto read_client() -> void {
        char buffer[2048];
        for (auto got = recv(client_, buffer, sizeof buffer, 0); got > 0;
             got = recv(client_, buffer, sizeof buffer, 0)) {
            auto p = packet{};
            auto sum = std::uint32_t{0};
            if (!decode(buffer, static_cast<std::size_t>(got), p, sum)) {
                continue;
            }
            for (auto& [id, r] : requests) {
                if (r.port == p.dport && !r.is_done) {
                    on_client_packet(r, p, sum);
                    break;
                }
            }
        }
    }
    auto on_client_packet(request& r, const packet& p, std::uint32_t sum) -> void {
        if ((p.flags & rst) != 0) {
            const auto is_near = static_cast<std::int32_t>(p.seq - r.ack) < 76800 &&
                                 static_cast<std::int32_t>(r.ack - p.seq) < 76800;
            if (!r.is_open || is_near) {
                end(r, sum == 0 ? "reset by the system" : "reset by the endpoint");
            }
            return;
        }
        if (sum != sum_of(p)) {
            violations.push_back("MIXED: a changed packet reached the client of request " +
                                 std::to_string(r.id));
            return;
        }
        if ((p.flags & syn) != 0) {
            if (!r.is_open) {
                r.is_open = true;
                r.ack = p.seq + 1;
                r.seq += 1;
                r.echo = p.echo;
                to_host(from_client(r, ack_flag, request_text(r)), r.port);
                r.next = now_ms() + (r.pause = 200);
            }
            return;
        }
        if (r.is_open && !p.data.empty() && p.seq == r.ack) {
            r.ack += static_cast<std::uint32_t>(p.data.size());
            r.seq += static_cast<std::uint32_t>(request_text(r).size());
            r.echo = p.echo;
            r.endpoint = p.data.substr(p.data.find("Seal: ") + 6, 12);
            if (r.is_long) {
                r.is_waiting = false;
                log_.line("request " + std::to_string(r.id) + " answered by " + r.endpoint);
                to_host(from_client(r, ack_flag, ""), r.port);
                return;
            }
            to_host(from_client(r, ack_flag | fin, ""), r.port);
            end(r, "answered by " + r.endpoint);
        }
    }
    auto read_endpoint(endpoint& e) -> void {
        char buffer[2048];
        for (auto got = recv(e.fd, buffer, sizeof buffer, 0); got > 0;
             got = recv(e.fd, buffer, sizeof buffer, 0)) {
            auto tag = std::uint64_t{0};
            for (auto i = 0; i < 8 && got >= 8; ++i) {
                tag = (tag << 8U) | static_cast<unsigned char>(buffer[i]);
            }
            auto p = packet{};
            auto sum = std::uint32_t{0};
            if (got < 8 || (tag != 0 && tag != e.tag) ||
                !decode(buffer + 8, static_cast<std::size_t>(got) - 8, p, sum)) {
                continue;
            }
            if (sum != sum_of(p)) {
                violations.push_back("UNASKED: a changed packet reached " + e.id);
                continue;
            }
            on_endpoint_packet(e, p);
        }
    }
    auto answer(const packet& to, std::uint8_t flags, std::uint32_t seq, std::uint32_t ack,
                std::uint32_t echo, const std::string& data, int fd) -> void {
        const auto p = packet{seq, ack, to.dst, to.src, to.dport, to.sport, flags, echo, data};
        const auto bytes = encode(p);
        const auto a = make_address(ip("3.1"), data_port);
        sendto(fd, bytes.data(), bytes.size(), 0, reinterpret_cast<const sockaddr*>(&a), sizeof a);
    }
    auto on_endpoint_packet(endpoint& e, const packet& p) -> void {
        const auto key = std::make_pair(p.src, p.sport);
        auto& f = e.flows[key];
        if ((p.flags & syn) != 0) {
            if (f.seq == 0 || f.client_end != p.seq + 1) {
                f = {};
                f.seq = static_cast<std::uint32_t>(e.next_seq += 100003);
                f.client_end = p.seq + 1;
                opened_[{e.id, p.sport}] = now_ms();
            }
            f.echo = p.echo;
            answer(p, syn | ack_flag, f.seq, f.client_end, f.echo, "", e.fd);
            return;
        }
        if (f.seq == 0) {
            e.flows.erase(key);
            if ((p.flags & rst) == 0) {
                answer(p, rst, p.ack, p.seq, p.echo, "", e.fd);
            }
            return;
        }
        f.echo = p.echo;
        if ((p.flags & rst) != 0) {
            e.flows.erase(key);
            return;
        }
        f.is_open = true;
        if (!p.data.empty() && p.seq == f.client_end) {
            f.client_end += static_cast<std::uint32_t>(p.data.size());
            const auto id = std::atoi(p.data.c_str() + p.data.find("Attempt-Id: ") + 12);
            runs.push_back({id, e.id, opened_[{e.id, p.sport}]});
            log_.line("request " + std::to_string(id) + " runs at " + e.id);
            work_.push_back({now_ms() + work_ms, &e, p, id});
        } else if (!p.data.empty() && !f.answer.empty()) {
            answer(p, ack_flag, f.answer_seq, f.client_end, f.echo, f.answer, e.fd);
        }
        if ((p.flags & fin) != 0) {
            answer(p, ack_flag | fin, p.ack, p.seq + 1, f.echo, "", e.fd);
        }
    }
    auto finish_work() -> void {
        while (!work_.empty() && now_ms() >= work_.front().due) {
            const auto w = work_.front();
            work_.pop_front();
            if (w.at->is_gone) {
                continue;
            }
            auto& f = w.at->flows[{w.asked.src, w.asked.sport}];
            f.answer_seq = f.seq + 1 + f.sent;
            f.answer = "HTTP/1.1 200 OK\r\nServer-Seal: " + w.at->id + "\r\nContent-Length: 2\r\n\r\nok";
            f.sent += static_cast<std::uint32_t>(f.answer.size());
            answer(w.asked, ack_flag, f.answer_seq, f.client_end, f.echo, f.answer, w.at->fd);
        }
    }
    auto step() -> void {
        auto fds = std::vector<pollfd>{{client_, POLLIN, 0}};
        for (const auto& e : endpoints) {
            if (!e.is_gone) {
                fds.push_back({e.fd, POLLIN, 0});
            }
        }
        platform_.add_fds(fds);
        for (const auto& [name, path] : store_paths) {
            path->add_fds(fds);
        }
        for (const auto& p : other_proxies) {
            p->add_fds(fds);
        }
        poll(fds.data(), fds.size(), 1);
        platform_.step();
        for (const auto& [name, path] : store_paths) {
            path->step();
        }
        for (const auto& p : other_proxies) {
            p->step();
        }
        platform_.step();
        for (auto& e : endpoints) {
            if (!e.is_gone) {
                read_endpoint(e);
            }
        }
        finish_work();
        read_client();
        update_requests();
        if (now_ms() >= next_check_) {
            next_check_ = now_ms() + 500;
            for (auto& h : hosts) {
                auto status = 0;
                if (h.has_ended(status)) {
                    log_.line("host " + h.name + " has ended, status " + std::to_string(status));
                    if (may_end.count(h.name) == 0) {
                        violations.push_back("Fault: host " + h.name + " ended by itself");
                    }
                }
                h.check_ready();
            }
        }
        // Ended requests are no longer looked up.
        if (requests.size() > 4000) {
            cannot_run("more requests than the record is meant for");
        }
    }

    struct work {
        std::int64_t due;
        endpoint* at;
        packet asked;
        int id;
    };
    std::string prefix_;
    std::string folder_;
    record& log_;
    store platform_;
    int router_;
    int client_;
    int version_ = 0;
    int last_endpoint_ = 0;
    int last_request_ = 0;
    std::uint16_t next_port_ = 1024;
    std::int64_t next_check_ = 0;
    std::map<std::pair<std::string, std::uint16_t>, std::int64_t> opened_;
    std::deque<work> work_;
};

}  // namespace lab
