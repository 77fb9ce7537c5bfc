// Stand-ins for the platform's store, endpoints, routers and clients, on loopback addresses and the real
// clock. One thread and one poll loop. They follow PROTOCOL.md; where it is silent they behave like sound
// programs.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace standin {

using ms = std::int64_t;

inline ms now_ms() {
    using namespace std::chrono;
    static const auto start = steady_clock::now();
    return duration_cast<milliseconds>(steady_clock::now() - start).count();
}

inline ms wall_ms() {
    using namespace std::chrono;
    return duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
}

// The record of a run: what was sent, answered and run, with the milliseconds since its start.
inline FILE*& record_file() {
    static FILE* file = nullptr;
    return file;
}

__attribute__((format(printf, 1, 2))) inline void record(const char* format, ...) {
    char line[1024];
    va_list args;
    va_start(args, format);
    vsnprintf(line, sizeof line, format, args);
    va_end(args);
    fprintf(record_file(), "%8.3f %s\n", static_cast<double>(now_ms()) / 1000.0, line);
    fflush(record_file());
}

// The case cannot run: exit code 2.
[[noreturn]] inline void give_up(const std::string& why);

inline std::string ip_text(std::uint32_t a) {
    char text[32];
    snprintf(text, sizeof text, "%u.%u.%u.%u", a >> 24, (a >> 16) & 255, (a >> 8) & 255, a & 255);
    return text;
}

inline sockaddr_in socket_address(std::uint32_t ip, std::uint16_t port) {
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(port);
    to.sin_addr.s_addr = htonl(ip);
    return to;
}

inline int open_udp(std::uint32_t ip, std::uint16_t port) {
    const int fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const auto at = socket_address(ip, port);
    if (fd < 0 || bind(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0) {
        give_up("cannot bind UDP " + ip_text(ip) + ":" + std::to_string(port));
    }
    return fd;
}

inline int open_listener(std::uint32_t ip, std::uint16_t port) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const auto at = socket_address(ip, port);
    if (fd < 0 || bind(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0 || listen(fd, 64) != 0) {
        give_up("cannot listen on " + ip_text(ip) + ":" + std::to_string(port));
    }
    return fd;
}

// Sockets by descriptor, and functions called in every turn.
class loop {
public:
    void add(int fd, std::function<void()> on_readable) { handlers_[fd] = std::move(on_readable); }
    void remove(int fd) {
        handlers_.erase(fd);
        close(fd);
    }
    void every_turn(std::function<void()> work) { work_.push_back(std::move(work)); }
    void at(ms when, std::function<void()> work) { timers_.emplace(when, std::move(work)); }

    void run_until(ms end) {
        while (now_ms() < end) {
            turn();
        }
    }
    void turn() {
        std::vector<pollfd> fds;
        for (const auto& [fd, handler] : handlers_) {
            fds.push_back({fd, POLLIN, 0});
        }
        poll(fds.data(), fds.size(), 2);
        for (const auto& one : fds) {
            const auto found = handlers_.find(one.fd);
            if (one.revents != 0 && found != handlers_.end()) {
                const auto kept = found->second;
                kept();
            }
        }
        while (!timers_.empty() && timers_.begin()->first <= now_ms()) {
            const auto work = std::move(timers_.begin()->second);
            timers_.erase(timers_.begin());
            work();
        }
        for (const auto& work : work_) {
            work();
        }
    }

private:
    std::map<int, std::function<void()>> handlers_;
    std::vector<std::function<void()>> work_;
    std::multimap<ms, std::function<void()>> timers_;
};

inline std::string base64(const std::string& in) {
    static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < in.size(); i += 3) {
        std::uint32_t bits = 0;
        for (std::size_t j = 0; j < 3; ++j) {
            bits = (bits << 8) | (i + j < in.size() ? static_cast<unsigned char>(in[i + j]) : 0U);
        }
        for (std::size_t j = 0; j < 4; ++j) {
            out += i + j > in.size() ? '=' : digits[(bits >> (18 - 6 * j)) & 63];
        }
    }
    return out;
}

// The platform's store: listings and watches. It loses nothing and answers at once.
class store {
public:
    store(loop& events, std::uint32_t ip, std::uint16_t port)
        : events_(events), listener_(open_listener(ip, port)) {
        events_.add(listener_, [this] { accept_all(); });
        events_.every_turn([this] { on_turn(); });
    }

    std::uint64_t write(const std::string& key, const std::string& value) {
        items_[key] = {key, value, ++revision_, false, wall_ms()};
        history_.push_back(items_[key]);
        return revision_;
    }
    std::uint64_t remove(const std::string& key) {
        if (items_.erase(key) != 0) {
            history_.push_back({key, "", ++revision_, true, 0});
        }
        return revision_;
    }
    bool has(const std::string& key) const { return items_.count(key) != 0; }
    std::string value(const std::string& key) const { return items_.at(key).value; }

    // A watch that has waited this long is cut: its connection is closed without an answer. 0: none is.
    ms cut_watches_after = 0;
    int watches_cut = 0;

private:
    struct item {
        std::string key;
        std::string value;
        std::uint64_t revision;
        bool is_removed;
        ms created;
    };
    struct connection {
        std::string received;
        bool is_watching = false;
        std::uint64_t after = 0;
        ms since = 0;
        ms due = 0;
    };

    void accept_all() {
        for (int fd; (fd = accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0;) {
            connections_[fd] = {};
            events_.add(fd, [this, fd] { on_readable(fd); });
        }
    }
    void drop(int fd) {
        events_.remove(fd);
        connections_.erase(fd);
    }
    void on_readable(int fd) {
        char bytes[4096];
        const auto got = recv(fd, bytes, sizeof bytes, 0);
        if (got <= 0) {
            if (got == 0 || errno != EAGAIN) {
                drop(fd);
            }
            return;
        }
        auto& from = connections_[fd];
        from.received.append(bytes, static_cast<std::size_t>(got));
        for (std::size_t end; (end = from.received.find("\r\n\r\n")) != std::string::npos;) {
            const auto first = from.received.find(' ');
            const auto target =
                from.received.substr(first + 1, from.received.find(' ', first + 1) - first - 1);
            from.received.erase(0, end + 4);
            answer(fd, from, target);
        }
    }
    static std::string parameter(const std::string& target, const std::string& name) {
        for (auto at = target.find_first_of("?&"); at != std::string::npos; at = target.find('&', at + 1)) {
            if (target.compare(at + 1, name.size() + 1, name + "=") == 0) {
                const auto begin = at + name.size() + 2;
                return unescaped(target.substr(begin, target.find('&', begin) - begin));
            }
        }
        return "";
    }
    static std::string unescaped(const std::string& text) {
        std::string out;
        for (std::size_t i = 0; i < text.size(); ++i) {
            if (text[i] == '%' && i + 2 < text.size()) {
                out += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
                i += 2;
            } else {
                out += text[i];
            }
        }
        return out;
    }
    void answer(int fd, connection& from, const std::string& target) {
        if (target.rfind("/-/kv-watch", 0) == 0) {
            from.is_watching = true;
            from.after = std::strtoull(parameter(target, "after").c_str(), nullptr, 10);
            from.since = now_ms();
            from.due = from.since + std::strtoll(parameter(target, "wait-ms").c_str(), nullptr, 10);
            answer_watch(fd, from);
            return;
        }
        if (target.rfind("/-/kv-range", 0) != 0) {
            reply(fd, 404, "{}");
            return;
        }
        const auto prefix = parameter(target, "prefix");
        std::string list;
        for (auto at = items_.upper_bound(parameter(target, "after")); at != items_.end(); ++at) {
            if (at->first.rfind(prefix, 0) == 0) {
                list += (list.empty() ? "" : ",") + text_of(at->second);
            }
        }
        reply(fd, 200,
              "{\"items\":[" + list + "],\"has-more\":false,\"store-revision\":" + std::to_string(revision_) +
                  "}");
    }
    void answer_watch(int fd, connection& from) {
        if (from.after > revision_) {
            from.is_watching = false;
            reply(fd, 410, "{}");
            return;
        }
        std::string list;
        for (const auto& one : history_) {
            if (one.revision > from.after) {
                list += (list.empty() ? "" : ",") + text_of(one);
            }
        }
        if (list.empty() && now_ms() < from.due) {
            return;
        }
        from.is_watching = false;
        reply(fd, 200, "{\"events\":[" + list + "],\"store-revision\":" + std::to_string(revision_) + "}");
    }
    static std::string text_of(const item& one) {
        const auto head = "{\"key\":\"" + one.key + "\",\"revision\":" + std::to_string(one.revision);
        return one.is_removed ? head + ",\"removed\":true}"
                              : head + ",\"value\":\"" + base64(one.value) +
                                    "\",\"created-at\":" + std::to_string(one.created) + ",\"lease\":0}";
    }
    static void reply(int fd, int status, const std::string& body) {
        const auto text = "HTTP/1.1 " + std::to_string(status) + (status == 200 ? " OK" : " Error") +
                          "\r\nContent-Type: application/json\r\nStore-Era: 1\r\nContent-Length: " +
                          std::to_string(body.size()) + "\r\n\r\n" + body;
        static_cast<void>(!send(fd, text.data(), text.size(), MSG_NOSIGNAL));
    }
    void on_turn() {
        std::vector<int> cut;
        for (auto& [fd, one] : connections_) {
            if (one.is_watching) {
                answer_watch(fd, one);
            }
            if (one.is_watching && cut_watches_after != 0 && now_ms() - one.since >= cut_watches_after) {
                cut.push_back(fd);
            }
        }
        for (const int fd : cut) {
            ++watches_cut;
            drop(fd);
        }
    }

    loop& events_;
    int listener_;
    std::map<int, connection> connections_;
    std::map<std::string, item> items_;
    std::deque<item> history_;
    std::uint64_t revision_ = 1;
};

constexpr std::uint8_t flag_syn = 1, flag_ack = 2, flag_fin = 32, flag_rst = 128;
constexpr std::size_t head_bytes = 34;

struct packet {
    std::uint32_t seq = 0, ack = 0, src = 0, dst = 0, sum = 0, echo = 0;
    std::uint16_t sport = 0, dport = 0;
    std::uint8_t flags = 0;
    std::string data;
};

// A keyed sum over all fields except `echo`, `pad` and BOUNCED.
inline std::uint32_t sum_of(const packet& p) {
    std::uint32_t sum = 2166136261U ^ 0x5bd1e995U;
    const auto mix = [&](std::uint32_t v) { sum = (sum ^ v) * 16777619U; };
    for (const auto v : {p.seq, p.ack, p.src, p.dst, std::uint32_t{p.sport}, std::uint32_t{p.dport},
                         std::uint32_t{p.flags}, static_cast<std::uint32_t>(p.data.size())}) {
        mix(v);
    }
    for (const char c : p.data) {
        mix(static_cast<unsigned char>(c));
    }
    return sum | 1U;
}

inline std::string encode(const packet& p, std::uint32_t sum) {
    std::string out(head_bytes, '\0');
    const auto put = [&](std::size_t at, std::uint32_t v, int bytes) {
        for (int i = 0; i < bytes; ++i) {
            out[at + static_cast<std::size_t>(i)] = static_cast<char>(v >> (8 * i));
        }
    };
    put(0, p.seq, 4), put(4, p.ack, 4), put(8, p.src, 4), put(12, p.sport, 2), put(14, p.dst, 4);
    put(18, p.dport, 2), put(20, p.flags, 1), put(24, static_cast<std::uint32_t>(p.data.size()), 2);
    put(26, sum, 4), put(30, p.echo, 4);
    return out + p.data;
}

inline bool decode(const std::string& in, packet& p) {
    const auto get = [&](std::size_t at, int bytes) {
        std::uint32_t v = 0;
        for (int i = 0; i < bytes; ++i) {
            v |= static_cast<std::uint32_t>(static_cast<unsigned char>(in[at + static_cast<std::size_t>(i)]))
                 << (8 * i);
        }
        return v;
    };
    if (in.size() < head_bytes || in.size() != head_bytes + get(24, 2)) {
        return false;
    }
    p.seq = get(0, 4), p.ack = get(4, 4), p.src = get(8, 4), p.dst = get(14, 4);
    p.sport = static_cast<std::uint16_t>(get(12, 2)), p.dport = static_cast<std::uint16_t>(get(18, 2));
    p.flags = static_cast<std::uint8_t>(get(20, 1)), p.sum = get(26, 4), p.echo = get(30, 4);
    p.data = in.substr(head_bytes);
    return true;
}

inline bool receive(int fd, std::string& bytes, std::uint32_t& from) {
    bytes.resize(2048);
    sockaddr_in sender{};
    socklen_t length = sizeof sender;
    const auto got =
        recvfrom(fd, bytes.data(), bytes.size(), 0, reinterpret_cast<sockaddr*>(&sender), &length);
    bytes.resize(got < 0 ? 0 : static_cast<std::size_t>(got));
    from = ntohl(sender.sin_addr.s_addr);
    return got >= 0;
}

inline void send_to(int fd, const std::string& bytes, std::uint32_t ip, std::uint16_t port) {
    const auto to = socket_address(ip, port);
    static_cast<void>(!sendto(fd, bytes.data(), bytes.size(), MSG_DONTWAIT,
                              reinterpret_cast<const sockaddr*>(&to), sizeof to));
}

struct plan;

// A process of the project.
struct host {
    std::string name, zone;
    std::uint32_t ip = 0;
    std::string settings_path, log_path;
    pid_t pid = 0;
    bool is_in_rotation = false;
    int misses = 0;
    int check_fd = -1;
    ms next_check = 0, check_sent = 0;
    ms disturbed = 0;  // last impairment of it
};

// One request of a client, and the flow that carries it.
struct flow {
    std::size_t client = 0;
    std::uint16_t port = 0, service_port = 0;
    std::uint32_t isn = 0, seq = 0, ack = 0, echo = 0;
    bool is_open = false, is_done = false;
    int copies = 0;
    ms started = 0, next_send = 0, pause = 200;
    ms openings[3] = {0, 0, 0};  // when each copy of its opening packet was sent
    std::string request;         // unanswered
    std::uint32_t request_seq = 0;
    ms sent = 0, deadline = 0;
    std::uint32_t endpoint_ip = 0;  // that opened it
    std::function<void(flow&)> on_answer;
};

struct endpoint {
    std::string id, service, zone;
    std::uint64_t tag = 0;
    std::uint32_t ip = 0;
    int fd = -1;
    unsigned slots = 2;
    ms work = 40;
    ms born = 0;
    bool reaches_store = true;
    ms last_report = 0, next_report = 0;
    ms removed_at = -1;  // when the store removed its entry after silence
    bool draining = false;
    struct connection {
        std::uint32_t isn = 0, client_end = 0, sent = 0, client = 0;
        std::uint16_t port = 0;
        std::uint32_t echo = 0;
        bool is_open = false, is_working = false;
        packet last;
        ms resend = 0, pause = 200;
        int resends = 0;
        std::uint32_t service_ip = 0;
        std::uint16_t service_port = 0;
    };
    std::map<std::pair<std::uint32_t, std::uint16_t>, connection> connections;
    std::deque<std::pair<std::pair<std::uint32_t, std::uint16_t>, std::string>> queue;
    unsigned busy = 0;
    int syns = 0;
};

class world {
public:
    world(const std::string& folder, const std::string& binary);
    ~world() { end_all(); }

    host& add_host(const std::string& zone);
    // Without an id, the endpoint gets a random one.
    endpoint& add_endpoint(const std::string& service, const std::string& zone, unsigned slots, ms work,
                           std::string id = "");
    void start(host& one);
    void kill_host(host& one, int signal);
    void write_config(const std::string& routes);
    std::string route(std::uint16_t port, const std::string& kind, const std::string& service, ms timeout,
                      ms latency, int priority);
    std::string entry_of(const endpoint& one) const;
    flow& open_flow(std::size_t client, std::uint16_t service_port, const std::string& request, ms deadline,
                    std::function<void(flow&)> on_answer = {});
    void ask(flow& on, const std::string& request, ms deadline);
    void close_flow(flow& one);
    void add_client(const std::string& zone);
    void end_all();
    bool wait_ready(ms limit);

    loop events;
    std::unique_ptr<store> platform;
    std::deque<host> hosts;
    std::deque<endpoint> endpoints;
    std::mt19937 random{20261207};
    std::map<std::string, std::string> bounds;
    std::string seeds;
    ms heartbeat = 770;
    std::uint32_t service_ip;
    ms long_work = 0;             // of a request that contains "long"; 0: as any other
    std::size_t queue_limit = 0;  // requests that wait at an endpoint before it is full; 0: no limit
    int asked = 0, run = 0, answered = 0, unopened = 0, resets = 0, refused = 0, late = 0;

    std::function<void(endpoint&, const packet&, host*)> on_syn;  // an endpoint gets an opening packet
    std::function<void(flow&)> on_end;                   // a flow ends before its request is answered
    std::function<void(flow&, std::uint32_t)> on_reset;  // a client gets a reset, and from which address
    std::function<void(endpoint&, const flow*, const std::string&)> on_run;  // an endpoint begins to work

    flow* find_flow(std::size_t client, std::uint16_t port) {
        const auto found = flows_.find({client, port});
        return found == flows_.end() || found->second.is_done ? nullptr : &found->second;
    }
    // The flow of a client's address and port.
    const flow* flow_of(std::uint32_t ip, std::uint16_t port) const;
    host* host_at(std::uint32_t ip);
    host* route_of(std::size_t client, std::uint16_t port);
    endpoint* endpoint_at(std::uint32_t ip);
    std::vector<std::string> client_zones;

private:
    bool is_full(const endpoint& one) const;
    void read_client(std::size_t client);
    void read_endpoint(endpoint& one);
    void begin_work(endpoint& one);
    void reply(endpoint& from, endpoint::connection& on, std::uint8_t flags, const std::string& data,
               std::uint32_t seq);
    void send_client(flow& one, std::uint8_t flags, const std::string& data, std::uint32_t seq,
                     std::uint32_t ack);
    void on_turn();
    void check_hosts();

    std::string folder_, binary_;
    std::uint32_t net_ = 0;
    std::uint16_t data_port_ = 0, ready_port_ = 0, control_port_ = 0, inner_port_ = 0, store_port_ = 0,
                  target_port_ = 0;
    std::vector<int> clients_;
    std::vector<std::uint32_t> client_ips_;
    std::map<std::pair<std::size_t, std::uint16_t>, flow> flows_;
    std::uint16_t next_port_ = 20000;
    std::int64_t version_ = 0;
};

inline world*& running_world() {
    static world* one = nullptr;
    return one;
}

inline void give_up(const std::string& why) {
    record("the case cannot run: %s", why.c_str());
    fprintf(stderr, "%s\n", why.c_str());
    if (running_world() != nullptr) {
        running_world()->end_all();
    }
    _exit(2);
}

inline world::world(const std::string& folder, const std::string& binary) : folder_(folder), binary_(binary) {
    running_world() = this;
    // A part of 127.0.0.0/8 and ports that no other program uses.
    std::random_device device;
    net_ = 0x7f000000U | ((10U + device() % 200U) << 16U);
    const auto base = static_cast<std::uint16_t>(20000 + device() % 30000);
    data_port_ = base;
    ready_port_ = static_cast<std::uint16_t>(base + 1);
    control_port_ = static_cast<std::uint16_t>(base + 2);
    store_port_ = static_cast<std::uint16_t>(base + 3);
    target_port_ = static_cast<std::uint16_t>(base + 4);
    inner_port_ = static_cast<std::uint16_t>(base + 10);
    service_ip = net_ | 0x0901U;
    platform = std::make_unique<store>(events, net_ | 0x0801U, store_port_);
    events.every_turn([this] { on_turn(); });
}

inline host& world::add_host(const std::string& zone) {
    auto& one = hosts.emplace_back();
    one.zone = zone;
    one.ip = net_ | 0x0100U | static_cast<std::uint32_t>(hosts.size());
    one.name = "edge-" + zone + "-" + std::to_string(hosts.size());
    one.settings_path = folder_ + "/" + one.name + ".conf";
    one.log_path = folder_ + "/" + one.name + ".log";
    return one;
}

inline void world::start(host& one) {
    std::string text = "node-name=" + one.name +
                       "\nrole=edge\nmachine-class=edge\nserves=edge,control_plane\nip=" + ip_text(one.ip) +
                       "\nzone=" + one.zone + "\nregion=r\n";
    std::set<std::string> zones;
    for (const auto& other : hosts) {
        zones.insert(other.zone);
    }
    for (const auto& zone : zones) {
        text += "zones." + zone + "=r\n";
    }
    const auto at = [&](std::uint16_t port) { return ip_text(one.ip) + ":" + std::to_string(port); };
    text += "bind-addresses.datagram-address=" + at(data_port_) +
            "\nbind-addresses.ready-address=" + at(ready_port_) +
            "\nbind-addresses.control=" + at(control_port_) +
            "\ninternal-port-range=" + std::to_string(inner_port_) + "," + std::to_string(inner_port_ + 15) +
            "\nseeds=";
    int seeds_left = 3;
    for (const auto& other : hosts) {
        if (seeds_left-- > 0) {
            text += (other.ip == hosts.front().ip ? "" : ",") + ip_text(other.ip) + ":" +
                    std::to_string(control_port_);
        }
    }
    text +=
        "\nbootstrap=true\ncounts-as-loss=false\nlimits.cpu-share=0.5\nlimits.cores=1\nlimits.memory-mb=317\n"
        "limits.max-fds=8192\nlimits.link-mbps=200\nlimits.disk-mb=0\ndiscovery=platform\nentry=announce\n"
        "heartbeat-ms=" +
        std::to_string(heartbeat) +
        "\ncontracts=base,drain,config,cost,recover,flows,platform\n"
        "fault-tolerance.machines=2\nfault-tolerance.zones=1\nfault-tolerance.regions=0\n";
    for (const auto& [name, value] : bounds) {
        text += "bounds." + name + "=" + value + "\n";
    }
    text +=
        "hash=steady\nform=echo\nplatform.address=" + ip_text(net_ | 0x0801U) + ":" +
        std::to_string(store_port_) +
        "\nplatform.form=kv\nplatform.writes-per-s=1200\nplatform.reads-per-s=6000\nplatform.history-s=20\n"
        "platform.value-bytes=1048576\nplatform.ttl-min-ms=1000\n";
    FILE* file = fopen(one.settings_path.c_str(), "w");
    if (file == nullptr) {
        give_up("cannot write " + one.settings_path);
    }
    fputs(text.c_str(), file);
    fclose(file);
    const pid_t pid = fork();
    if (pid == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        setenv("AGATEPOST_BOOT", one.settings_path.c_str(), 1);
        const int log = open(one.log_path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
        dup2(log, 1);
        dup2(log, 2);
        execl(binary_.c_str(), binary_.c_str(), "edge", static_cast<char*>(nullptr));
        _exit(127);
    }
    if (pid < 0) {
        give_up("cannot start a process");
    }
    one.pid = pid;
    record("host %s starts, pid %d", one.name.c_str(), static_cast<int>(pid));
}

inline void world::kill_host(host& one, int signal) {
    record("host %s gets signal %d", one.name.c_str(), signal);
    one.disturbed = now_ms();
    kill(one.pid, signal);
    if (signal == SIGKILL) {
        waitpid(one.pid, nullptr, 0);
        one.pid = 0;
    }
}

inline void world::end_all() {
    for (auto& one : hosts) {
        if (one.pid > 0) {
            kill(one.pid, SIGKILL);
            waitpid(one.pid, nullptr, 0);
            one.pid = 0;
        }
    }
}

inline const flow* world::flow_of(std::uint32_t ip, std::uint16_t port) const {
    const auto client = std::find(client_ips_.begin(), client_ips_.end(), ip);
    const auto found = flows_.find({static_cast<std::size_t>(client - client_ips_.begin()), port});
    return found == flows_.end() ? nullptr : &found->second;
}

inline host* world::host_at(std::uint32_t ip) {
    for (auto& one : hosts) {
        if (one.ip == ip) {
            return &one;
        }
    }
    return nullptr;
}

inline endpoint* world::endpoint_at(std::uint32_t ip) {
    for (auto& one : endpoints) {
        if (one.ip == ip) {
            return &one;
        }
    }
    return nullptr;
}

inline endpoint& world::add_endpoint(const std::string& service, const std::string& zone, unsigned slots,
                                     ms work, std::string id) {
    auto& one = endpoints.emplace_back();
    if (id.empty()) {
        char digits[32];
        snprintf(digits, sizeof digits, "i-%02x%08x", static_cast<unsigned>(random() & 255U),
                 static_cast<unsigned>(random() | 1U));
        id = digits;
    }
    one.id = id;
    one.tag = std::strtoull(id.c_str() + 2, nullptr, 16);
    one.service = service;
    one.zone = zone;
    one.slots = slots;
    one.work = work;
    one.born = wall_ms();
    one.ip = net_ | 0x4000U | static_cast<std::uint32_t>(endpoints.size());
    one.fd = open_udp(one.ip, target_port_);
    events.add(one.fd, [this, &one] { read_endpoint(one); });
    one.last_report = now_ms();
    one.next_report = one.last_report + heartbeat;
    platform->write("servers/" + one.id, entry_of(one));
    record("endpoint %s of %s in %s is at %s:%d", one.id.c_str(), service.c_str(), zone.c_str(),
           ip_text(one.ip).c_str(), target_port_);
    return one;
}

inline std::string world::entry_of(const endpoint& one) const {
    return "{\"service\":\"" + one.service + "\",\"address\":\"" + ip_text(one.ip) + ":" +
           std::to_string(target_port_) + "\",\"zone\":\"" + one.zone +
           "\",\"version\":\"v1\",\"slots\":" + std::to_string(one.slots) + ",\"state\":\"" +
           (one.draining ? "draining" : "ready") +
           "\",\"cold-remaining-ms\":0,\"call-seq\":1,\"born\":" + std::to_string(one.born) + "}";
}

inline std::string world::route(std::uint16_t port, const std::string& kind, const std::string& service,
                                ms timeout, ms latency, int priority) {
    return "{\"name\":\"r-" + std::to_string(port) + "\",\"hostname\":\"" + ip_text(service_ip) +
           "\",\"prefix\":\"/" + std::to_string(port) + "/\",\"route-type\":\"" + kind +
           "\",\"timeout-ms\":" + std::to_string(timeout) +
           ",\"target-latency-ms\":" + std::to_string(latency) + ",\"priority\":" + std::to_string(priority) +
           ",\"service\":\"" + service + "\",\"max-attempts\":2}";
}

inline void world::write_config(const std::string& routes) {
    version_ += 3;
    std::set<std::string> names;
    for (const auto& one : endpoints) {
        names.insert(one.service);
    }
    std::string services;
    for (const auto& name : names) {
        services += (services.empty() ? "" : ",") + ("{\"name\":\"" + name) +
                    "\",\"health-check-path\":\"/"
                    "health\",\"max-connections\":2000,\"protocol\":\"h1\",\"tls\":false}";
    }
    platform->write("op/config", "{\"version\":" + std::to_string(version_) + ",\"routes\":[" + routes +
                                     "],\"services\":[" + services +
                                     "],\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":262144,"
                                     "\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}}");
    record("configuration %lld is acknowledged", static_cast<long long>(version_));
}

inline void world::add_client(const std::string& zone) {
    const auto index = clients_.size();
    client_ips_.push_back(net_ | 0x0300U | static_cast<std::uint32_t>(index + 1));
    clients_.push_back(open_udp(client_ips_.back(), data_port_));
    client_zones.push_back(zone);
    events.add(clients_.back(), [this, index] { read_client(index); });
}

// The routers: a hash over the hosts of the client's zone that are in rotation.
inline host* world::route_of(std::size_t client, std::uint16_t port) {
    std::vector<host*> all, in;
    for (auto& one : hosts) {
        if (one.zone == client_zones[client]) {
            all.push_back(&one);
            if (one.is_in_rotation) {
                in.push_back(&one);
            }
        }
    }
    const auto& from = 2 * in.size() < all.size() ? all : in;
    host* best = nullptr;
    std::uint64_t best_score = 0;
    for (auto* one : from) {
        std::uint64_t score = (static_cast<std::uint64_t>(one->ip) << 32U) ^
                              (client_ips_[client] * 2654435761ULL) ^ (port * 40503ULL);
        score = (score ^ (score >> 31U)) * 0xbf58476d1ce4e5b9ULL;
        score = (score ^ (score >> 27U)) * 0x94d049bb133111ebULL;
        score ^= score >> 31U;
        if (best == nullptr || score > best_score) {
            best = one;
            best_score = score;
        }
    }
    return best;
}

inline void world::send_client(flow& one, std::uint8_t flags, const std::string& data, std::uint32_t seq,
                               std::uint32_t ack) {
    packet p;
    p.seq = seq, p.ack = ack, p.src = client_ips_[one.client], p.sport = one.port, p.dst = service_ip;
    p.dport = one.service_port, p.flags = flags, p.data = data,
    p.echo = (flags & flag_syn) != 0 ? 0 : one.echo;
    if (auto* to = route_of(one.client, one.port)) {
        send_to(clients_[one.client], encode(p, sum_of(p)), to->ip, data_port_);
    }
}

inline flow& world::open_flow(std::size_t client, std::uint16_t service_port, const std::string& request,
                              ms deadline, std::function<void(flow&)> on_answer) {
    const auto port = next_port_++;
    if (next_port_ == 60000) {
        next_port_ = 20000;
    }
    auto& one = flows_[{client, port}];
    one = {};
    one.client = client, one.port = port, one.service_port = service_port;
    one.isn = static_cast<std::uint32_t>(random());
    one.seq = one.isn + 1;
    one.started = now_ms();
    one.next_send = one.started + 200;
    one.openings[0] = one.started;
    one.request = request;
    one.deadline = one.started + deadline;
    one.on_answer = std::move(on_answer);
    ++asked;
    send_client(one, flag_syn, "", one.isn, 0);
    return one;
}

// Sends a further request on an open flow.
inline void world::ask(flow& on, const std::string& request, ms deadline) {
    ++asked;
    record("sent '%s', client %zu:%u to port %u", request.c_str(), on.client, on.port, on.service_port);
    on.request = request;
    on.request_seq = on.seq;
    on.seq += static_cast<std::uint32_t>(request.size());
    on.sent = now_ms();
    on.deadline = on.sent + deadline;
    on.pause = 200;
    on.next_send = on.sent + on.pause;
    send_client(on, flag_ack, request, on.request_seq, on.ack);
}

inline void world::close_flow(flow& one) {
    send_client(one, flag_fin | flag_ack, "", one.seq, one.ack);
    one.is_done = true;
}

inline void world::read_client(std::size_t client) {
    std::string bytes;
    std::uint32_t sender = 0;
    while (receive(clients_[client], bytes, sender)) {
        packet p;
        if (!decode(bytes, p)) {
            continue;
        }
        const auto found = flows_.find({client, p.dport});
        if (found == flows_.end() || found->second.is_done || found->second.service_port != p.sport) {
            continue;
        }
        auto& one = found->second;
        if ((p.flags & flag_rst) != 0) {
            const auto distance = static_cast<std::int32_t>(p.seq - one.ack);
            if (one.is_open && (distance > 76800 || distance < -76800)) {
                continue;
            }
            one.is_done = true;
            one.is_open ? ++resets : ++refused;
            if (on_reset) {
                on_reset(one, sender);
            }
            if (on_end) {
                on_end(one);
            }
            continue;
        }
        if (p.sum != sum_of(p)) {
            continue;
        }
        if (p.flags == (flag_syn | flag_ack)) {
            if (one.is_open) {
                if (p.seq + 1 != one.ack) {
                    // A second endpoint answered: its SYN+ACK is answered with a reset to it.
                    const auto kept = one.echo;
                    one.echo = p.echo;
                    send_client(one, flag_rst, "", one.isn + 1, p.seq + 1);
                    one.echo = kept;
                }
                continue;
            }
            if (p.ack != one.isn + 1) {
                continue;
            }
            one.is_open = true;
            one.endpoint_ip = sender;
            one.ack = p.seq + 1;
            one.echo = p.echo;
            send_client(one, flag_ack, "", one.seq, one.ack);
            const auto request = one.request;
            --asked;
            const auto left = one.deadline - now_ms();
            ask(one, request, left);
            continue;
        }
        one.echo = p.echo;
        if (!p.data.empty() && p.seq == one.ack) {
            one.ack += static_cast<std::uint32_t>(p.data.size());
            send_client(one, flag_ack, "", one.seq, one.ack);
            if (!one.request.empty()) {
                ++answered;
                record("answered '%s'", one.request.c_str());
                one.request.clear();
                if (one.on_answer) {
                    one.on_answer(one);
                } else {
                    close_flow(one);
                }
            }
        } else if (!p.data.empty()) {
            send_client(one, flag_ack, "", one.seq, one.ack);
        }
    }
}

inline void world::reply(endpoint& from, endpoint::connection& on, std::uint8_t flags,
                         const std::string& data, std::uint32_t seq) {
    packet p;
    p.seq = seq, p.ack = on.client_end, p.src = on.service_ip, p.sport = on.service_port, p.dst = on.client;
    p.dport = on.port, p.flags = flags, p.data = data, p.echo = on.echo;
    if (!data.empty()) {
        on.last = p;
        on.resend = now_ms() + on.pause;
    }
    send_to(from.fd, encode(p, sum_of(p)), on.client, data_port_);
}

inline void world::begin_work(endpoint& one) {
    while (one.busy < one.slots && !one.queue.empty()) {
        const auto [key, request] = one.queue.front();
        one.queue.pop_front();
        ++one.busy;
        ++run;
        record("run '%s' at %s", request.c_str(), one.id.c_str());
        if (on_run) {
            on_run(one, flow_of(key.first, key.second), request);
        }
        const bool is_long = long_work != 0 && request.find("long") != std::string::npos;
        events.at(now_ms() + (is_long ? long_work : one.work), [this, &one, key = key, request = request] {
            --one.busy;
            const auto found = one.connections.find(key);
            if (found != one.connections.end()) {
                auto& on = found->second;
                on.is_working = false;
                on.pause = 200;
                on.resends = 0;
                const auto answer = "answer to " + request + " by " + one.id;
                reply(one, on, flag_ack, answer, on.isn + 1 + on.sent);
                on.sent += static_cast<std::uint32_t>(answer.size());
            }
            begin_work(one);
        });
    }
}

// Whether its slots and its queue are taken, also by flows that will bring a request.
inline bool world::is_full(const endpoint& one) const {
    const auto opening = std::count_if(one.connections.begin(), one.connections.end(),
                                       [](const auto& entry) { return !entry.second.is_open; });
    return one.busy + one.queue.size() + static_cast<std::size_t>(opening) >= one.slots + queue_limit;
}

inline void world::read_endpoint(endpoint& one) {
    std::string bytes;
    std::uint32_t sender = 0;
    while (receive(one.fd, bytes, sender)) {
        std::uint64_t tag = 0;
        for (std::size_t i = 0; i < 8 && i < bytes.size(); ++i) {
            tag = (tag << 8U) | static_cast<unsigned char>(bytes[i]);
        }
        packet p;
        if (bytes.size() < 8 || (tag != 0 && tag != one.tag) || !decode(bytes.substr(8), p) ||
            p.sum != sum_of(p)) {
            continue;
        }
        const auto key = std::make_pair(p.src, p.sport);
        auto* via = host_at(sender);
        if ((p.flags & flag_syn) != 0) {
            if ((p.flags & flag_ack) != 0) {
                continue;
            }
            // A full endpoint sends nothing.
            const auto is_known = one.connections.find(key) != one.connections.end();
            if (queue_limit != 0 && !is_known && is_full(one)) {
                continue;
            }
            ++one.syns;
            if (on_syn) {
                on_syn(one, p, via);
            }
            auto& on = one.connections[key];
            if (on.client_end != p.seq + 1) {
                on = {};
                on.isn = static_cast<std::uint32_t>(random());
                on.client_end = p.seq + 1;
                on.client = p.src, on.port = p.sport, on.service_ip = p.dst, on.service_port = p.dport;
            }
            on.echo = p.echo;
            reply(one, on, flag_syn | flag_ack, "", on.isn);
            continue;
        }
        const auto found = one.connections.find(key);
        if (found == one.connections.end()) {
            if ((p.flags & flag_rst) == 0) {
                packet r;
                r.seq = p.ack, r.src = p.dst, r.sport = p.dport, r.dst = p.src, r.dport = p.sport,
                r.flags = flag_rst;
                send_to(one.fd, encode(r, sum_of(r)), p.src, data_port_);
            }
            continue;
        }
        auto& on = found->second;
        on.echo = p.echo;
        if ((p.flags & flag_rst) != 0) {
            one.connections.erase(found);
            continue;
        }
        if (!on.is_open) {
            if (p.ack != on.isn + 1) {
                continue;
            }
            on.is_open = true;
        }
        if (on.resend != 0 && p.ack == on.isn + 1 + on.sent) {
            on.resend = 0;
        }
        if (!p.data.empty() && p.seq == on.client_end) {
            on.client_end += static_cast<std::uint32_t>(p.data.size());
            on.is_working = true;
            one.queue.push_back({key, p.data});
            begin_work(one);
        }
        if ((p.flags & flag_fin) != 0) {
            one.connections.erase(found);
        }
    }
}

inline void world::check_hosts() {
    for (auto& one : hosts) {
        if (one.check_fd >= 0) {
            char bytes[512];
            const auto got = recv(one.check_fd, bytes, sizeof bytes - 1, MSG_DONTWAIT);
            const bool is_waiting = got < 0 && (errno == EAGAIN || errno == EINPROGRESS || errno == ENOTCONN);
            if (is_waiting && now_ms() - one.check_sent < 450) {
                continue;
            }
            const bool is_good =
                got > 12 &&
                std::string(bytes, static_cast<std::size_t>(got)).find(" 200 ") != std::string::npos;
            close(one.check_fd);
            one.check_fd = -1;
            one.misses = is_good ? 0 : one.misses + 1;
            const bool was = one.is_in_rotation;
            one.is_in_rotation = is_good || (was && one.misses < 2);
            if (was != one.is_in_rotation) {
                record("host %s is %s the rotation", one.name.c_str(), was ? "out of" : "in");
            }
        }
        if (now_ms() >= one.next_check) {
            one.next_check = now_ms() + 500;
            one.check_sent = now_ms();
            const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
            const auto to = socket_address(one.ip, ready_port_);
            // A connection on the loopback interface is accepted or refused at once.
            if (connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof to) == 0) {
                const std::string text = "GET /-/readiness HTTP/1.1\r\nHost: x\r\n\r\n";
                static_cast<void>(!send(fd, text.data(), text.size(), MSG_NOSIGNAL));
            }
            one.check_fd = fd;
        }
    }
}

inline void world::on_turn() {
    check_hosts();
    const auto at = now_ms();
    for (auto& one : endpoints) {
        if (at >= one.next_report) {
            one.next_report += heartbeat;
            if (one.reaches_store) {
                one.last_report = at;
                // The entry changes when more than call-seq changes, or it is missing or another writer's.
                const auto key = "servers/" + one.id;
                if (!platform->has(key) || platform->value(key) != entry_of(one)) {
                    platform->write(key, entry_of(one));
                    one.removed_at = -1;
                    record("endpoint %s writes its entry", one.id.c_str());
                }
            }
        }
        if (one.removed_at < 0 && at - one.last_report >= 3 * heartbeat &&
            platform->has("servers/" + one.id)) {
            platform->remove("servers/" + one.id);
            one.removed_at = at;
            record("the store removes the entry of %s after three status report intervals of silence",
                   one.id.c_str());
        }
        for (auto& [key, on] : one.connections) {
            if (on.resend != 0 && at >= on.resend && on.resends < 8) {
                ++on.resends;
                on.pause = std::min<ms>(1600, on.pause * 2);
                on.resend = at + on.pause;
                send_to(one.fd, encode(on.last, sum_of(on.last)), on.client, data_port_);
            }
        }
    }
    for (auto i = flows_.begin(); i != flows_.end();) {
        auto& one = i->second;
        if (!one.is_done && !one.request.empty() && at >= one.deadline) {
            ++late;
            one.is_done = true;
            if (on_end) {
                on_end(one);
            }
        }
        if (!one.is_done && !one.is_open) {
            if (at - one.started >= 1400) {
                ++unopened;
                one.is_done = true;
                if (on_end) {
                    on_end(one);
                }
            } else if (at >= one.next_send && one.copies < 2) {
                ++one.copies;
                one.openings[one.copies] = at;
                one.next_send = one.started + 600;
                send_client(one, flag_syn, "", one.isn, static_cast<std::uint32_t>(one.copies));
            }
        } else if (!one.is_done && !one.request.empty() && at >= one.next_send) {
            one.pause = std::min<ms>(1600, one.pause * 2);
            one.next_send = at + one.pause;
            send_client(one, flag_ack, one.request, one.request_seq, one.ack);
        }
        i = one.is_done ? flows_.erase(i) : std::next(i);
    }
}

inline bool world::wait_ready(ms limit) {
    const auto end = now_ms() + limit;
    while (now_ms() < end) {
        events.turn();
        if (std::all_of(hosts.begin(), hosts.end(), [](const host& one) { return one.is_in_rotation; })) {
            return true;
        }
    }
    return false;
}

}  // namespace standin
