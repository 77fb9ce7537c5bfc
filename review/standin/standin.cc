// Stand-ins for the review's scripts: the platform's store, its routers, endpoints and clients, and the check
// of one rule. Starts the hosts as separate processes. One thread; all sockets are on loopback addresses.
//
// Usage: standin CASE BINARY FOLDER TROUBLE
// Exit codes: 1 the rule was broken, 0 it held, 2 the case could not run.

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cmath>
#include <cstdarg>
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
#include <thread>
#include <tuple>
#include <vector>

namespace {

using std::string;
using std::vector;

// Figures of a small deployment, as in the settings example of the pages.
constexpr int data_port = 8172;
constexpr int ready_port = 8167;
constexpr int control_port = 8166;
constexpr int first_internal_port = 7720;
constexpr int last_internal_port = 7735;
constexpr int store_port = 8169;
constexpr int endpoint_port = 8080;
constexpr int64_t heartbeat_ms = 770;
constexpr int64_t drain_ms = 3000;
constexpr int64_t config_ms = 3000;
constexpr int64_t contact_ms = 4000;
constexpr int64_t flow_ms = 2000;
constexpr int64_t history_ms = 20000;
constexpr int64_t idle_timeout_ms = 15000;
constexpr int64_t recovery_ms = 12000;
constexpr uint32_t reset_window = 76800;

// Allowance of the checks for the delay of this process's own clock and sockets.
constexpr int64_t allowance_ms = 300;

constexpr uint8_t f_syn = 1;
constexpr uint8_t f_ack = 2;
constexpr uint8_t f_fin = 32;
constexpr uint8_t f_rst = 128;
constexpr size_t head_bytes = 34;

int64_t started_at = 0;
FILE* record_file = nullptr;
std::mt19937_64 rng{20261205};

auto steady_ms() -> int64_t {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

// Milliseconds since the start of the case.
auto now_ms() -> int64_t {
    return steady_ms() - started_at;
}

__attribute__((format(printf, 1, 2))) auto note(const char* format, ...) -> void {
    va_list args;
    va_start(args, format);
    fprintf(record_file, "%8.3f ", static_cast<double>(now_ms()) / 1000);
    vfprintf(record_file, format, args);
    fputc('\n', record_file);
    va_end(args);
}

[[noreturn]] auto cannot_run(const string& why) -> void {
    fprintf(stderr, "cannot run: %s\n", why.c_str());
    if (record_file != nullptr) {
        note("cannot run: %s", why.c_str());
        fflush(record_file);
    }
    throw 2;
}

// The second octet of all addresses of this run.
int net = 0;

auto ip_of(int c, int d) -> uint32_t {
    return (127U << 24U) | (static_cast<uint32_t>(net) << 16U) | (static_cast<uint32_t>(c) << 8U) |
           static_cast<uint32_t>(d);
}

auto ip_text(uint32_t ip) -> string {
    char text[32];
    snprintf(text, sizeof text, "%u.%u.%u.%u", ip >> 24U, (ip >> 16U) & 255U, (ip >> 8U) & 255U, ip & 255U);
    return text;
}

auto socket_address(uint32_t ip, int port) -> sockaddr_in {
    auto address = sockaddr_in{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<uint16_t>(port));
    address.sin_addr.s_addr = htonl(ip);
    return address;
}

auto bound_socket(int type, uint32_t ip, int port) -> int {
    const auto fd = socket(AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const auto address = socket_address(ip, port);
    if (fd < 0 || bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
        cannot_run("bind " + ip_text(ip) + ":" + std::to_string(port) + ": " + strerror(errno));
    }
    return fd;
}

// Returns a second octet whose addresses no other process uses.
auto find_net() -> int {
    for (auto tries = 0; tries < 50; ++tries) {
        net = 20 + static_cast<int>((static_cast<unsigned>(getpid()) + tries * 37U) % 200U);
        auto is_free = true;
        for (const auto& [ip, port] :
             {std::make_pair(ip_of(200, 1), store_port), {ip_of(1, 10), ready_port}}) {
            const auto fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
            const auto address = socket_address(ip, port);
            is_free = is_free && bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
            close(fd);
        }
        if (is_free) {
            return net;
        }
    }
    cannot_run("no free addresses");
}

// Sockets with their handlers.
std::map<int, std::pair<short, std::function<void(short)>>> watched;
std::multimap<int64_t, std::function<void()>> timers;

auto after(int64_t delay, std::function<void()> action) -> void {
    timers.emplace(now_ms() + delay, std::move(action));
}

auto run_until(int64_t end) -> void {
    while (now_ms() < end) {
        while (!timers.empty() && timers.begin()->first <= now_ms()) {
            const auto action = std::move(timers.begin()->second);
            timers.erase(timers.begin());
            action();
        }
        auto polled = vector<pollfd>{};
        for (const auto& [fd, entry] : watched) {
            polled.push_back({fd, entry.first, 0});
        }
        auto wait = end - now_ms();
        if (!timers.empty()) {
            wait = std::min(wait, timers.begin()->first - now_ms());
        }
        poll(polled.data(), polled.size(), static_cast<int>(std::clamp<int64_t>(wait, 0, 50)));
        for (const auto& one : polled) {
            const auto found = watched.find(one.fd);
            if (one.revents != 0 && found != watched.end()) {
                const auto handler = found->second.second;
                handler(one.revents);
            }
        }
    }
}

// ----------------------------------------------------------------------------------------------------
// packets

struct flow_key {
    uint32_t client = 0;
    uint16_t client_port = 0;
    uint32_t service = 0;
    uint16_t service_port = 0;
    auto operator<(const flow_key& b) const -> bool {
        return std::tie(client, client_port, service, service_port) <
               std::tie(b.client, b.client_port, b.service, b.service_port);
    }
};

auto text_of(const flow_key& key) -> string {
    return ip_text(key.client) + ":" + std::to_string(key.client_port) + "-" + ip_text(key.service) + ":" +
           std::to_string(key.service_port);
}

struct packet {
    uint32_t seq = 0;
    uint32_t ack = 0;
    uint32_t src = 0;
    uint16_t sport = 0;
    uint32_t dst = 0;
    uint16_t dport = 0;
    uint8_t flags = 0;
    uint32_t sum = 0;
    uint32_t echo = 0;
    string data;
};

auto put16(string& out, uint16_t v) -> void {
    out.push_back(static_cast<char>(v));
    out.push_back(static_cast<char>(v >> 8U));
}

auto put32(string& out, uint32_t v) -> void {
    put16(out, static_cast<uint16_t>(v));
    put16(out, static_cast<uint16_t>(v >> 16U));
}

auto get16(const char* p) -> uint16_t {
    return static_cast<uint16_t>(static_cast<uint8_t>(p[0]) | static_cast<uint8_t>(p[1]) << 8U);
}

auto get32(const char* p) -> uint32_t {
    return get16(p) | static_cast<uint32_t>(get16(p + 2)) << 16U;
}

// Keyed sum over all fields but echo and pad.
auto sum_of(const packet& p) -> uint32_t {
    auto covered = string("key of this run");
    put32(covered, p.seq);
    put32(covered, p.ack);
    put32(covered, p.src);
    put16(covered, p.sport);
    put32(covered, p.dst);
    put16(covered, p.dport);
    covered.push_back(static_cast<char>(p.flags));
    covered += p.data;
    auto hash = uint64_t{1469598103934665603U};
    for (const auto c : covered) {
        hash = (hash ^ static_cast<uint8_t>(c)) * 1099511628211U;
    }
    return static_cast<uint32_t>(hash ^ (hash >> 32U)) | 1U;
}

auto encode(packet p) -> string {
    p.sum = sum_of(p);
    auto out = string();
    put32(out, p.seq);
    put32(out, p.ack);
    put32(out, p.src);
    put16(out, p.sport);
    put32(out, p.dst);
    put16(out, p.dport);
    out.push_back(static_cast<char>(p.flags));
    out.append(3, '\0');
    put16(out, static_cast<uint16_t>(p.data.size()));
    put32(out, p.sum);
    put32(out, p.echo);
    return out + p.data;
}

auto decode(const char* bytes, size_t size, packet& p) -> bool {
    if (size < head_bytes || get16(bytes + 24) != size - head_bytes) {
        return false;
    }
    p.seq = get32(bytes);
    p.ack = get32(bytes + 4);
    p.src = get32(bytes + 8);
    p.sport = get16(bytes + 12);
    p.dst = get32(bytes + 14);
    p.dport = get16(bytes + 18);
    p.flags = static_cast<uint8_t>(bytes[20]);
    p.sum = get32(bytes + 26);
    p.echo = get32(bytes + 30);
    p.data.assign(bytes + head_bytes, size - head_bytes);
    return true;
}

// ------------------------------------------------------------------------------------------------------
// store

auto base64(const string& in) -> string {
    static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    auto out = string();
    out.reserve((in.size() + 2) / 3 * 4);
    for (size_t i = 0; i < in.size(); i += 3) {
        auto word = uint32_t{0};
        for (size_t k = 0; k < 3; ++k) {
            word = word << 8U | (i + k < in.size() ? static_cast<uint8_t>(in[i + k]) : 0U);
        }
        for (size_t k = 0; k < 4; ++k) {
            out.push_back(i + k > in.size() ? '=' : digits[word >> (18 - 6 * k) & 63U]);
        }
    }
    return out;
}

// The platform's key-value store: listing and watch, with a bounded history.
class store {
public:
    struct event {
        uint64_t revision;
        string key;
        string json;
        int64_t at;
    };

    auto open() -> void {
        listener_ = bound_socket(SOCK_STREAM, ip_of(200, 1), store_port);
        listen(listener_, 128);
        watched[listener_] = {POLLIN, [this](short) { accept_all(); }};
        after(100, [this] { tick(); });
    }

    // Writes several keys in one transaction; an empty value removes the key. Returns the time of the ack.
    auto write(const vector<std::pair<string, string>>& writes) -> int64_t {
        ++revision_;
        for (const auto& [key, value] : writes) {
            const auto head = "{\"key\":\"" + key + "\",";
            const auto number = std::to_string(revision_);
            if (value.empty()) {
                items_.erase(key);
                history_.push_back(
                    {revision_, key, head + "\"revision\":" + number + ",\"removed\":true}", now_ms()});
                note("store %s removed, revision %s", key.c_str(), number.c_str());
            } else {
                const auto json = head + "\"value\":\"" + base64(value) + "\",\"revision\":" + number +
                                  ",\"created-at\":" + number + ",\"lease\":0}";
                items_[key] = json;
                history_.push_back({revision_, key, json, now_ms()});
                note("store %s written, revision %s: %s", key.c_str(), number.c_str(),
                     value.size() > 400 ? (std::to_string(value.size()) + " bytes").c_str() : value.c_str());
            }
        }
        answer_watches();
        return now_ms();
    }

private:
    struct connection {
        string in;
        string out;
        bool waits = false;
        uint64_t after = 0;
        string prefix;
        int64_t until = 0;
    };

    auto accept_all() -> void {
        while (true) {
            const auto fd = accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
            if (fd < 0) {
                return;
            }
            const int on = 1;
            setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            connections_[fd] = {};
            watched[fd] = {POLLIN, [this, fd](short events) { on_ready(fd, events); }};
        }
    }

    auto close_connection(int fd) -> void {
        close(fd);
        watched.erase(fd);
        connections_.erase(fd);
    }

    auto on_ready(int fd, short events) -> void {
        auto& peer = connections_[fd];
        if ((events & POLLOUT) != 0) {
            flush(fd);
            return;
        }
        char buffer[8192];
        const auto got = recv(fd, buffer, sizeof buffer, 0);
        if (got <= 0) {
            if (got == 0 || errno != EAGAIN) {
                close_connection(fd);
            }
            return;
        }
        peer.in.append(buffer, static_cast<size_t>(got));
        const auto end = peer.in.find("\r\n\r\n");
        if (end == string::npos) {
            return;
        }
        const auto line = peer.in.substr(0, peer.in.find("\r\n"));
        peer.in.erase(0, end + 4);
        handle(fd, line);
    }

    static auto query(const string& line, const string& name) -> string {
        const auto mark = line.find(name + "=");
        if (mark == string::npos) {
            return {};
        }
        const auto from = mark + name.size() + 1;
        const auto raw = line.substr(from, line.find_first_of("& ", from) - from);
        auto out = string();
        for (size_t i = 0; i < raw.size(); ++i) {
            if (raw[i] == '%' && i + 2 < raw.size()) {
                out.push_back(static_cast<char>(strtol(raw.substr(i + 1, 2).c_str(), nullptr, 16)));
                i += 2;
            } else {
                out.push_back(raw[i]);
            }
        }
        return out;
    }

    auto handle(int fd, const string& line) -> void {
        auto& peer = connections_[fd];
        if (line.find("GET /-/kv-range?") == 0) {
            const auto prefix = query(line, "prefix");
            const auto from = query(line, "after");
            auto list = string();
            auto count = 0;
            auto more = false;
            for (const auto& [key, json] : items_) {
                if (key.compare(0, prefix.size(), prefix) != 0 || (!from.empty() && key <= from)) {
                    continue;
                }
                if (count == 500 || (count != 0 && list.size() + json.size() > 1000000)) {
                    more = true;
                    break;
                }
                list += (count++ == 0 ? "" : ",") + json;
            }
            answer(fd, 200,
                   "{\"items\":[" + list + "],\"has-more\":" + (more ? "true" : "false") +
                       ",\"store-revision\":" + std::to_string(revision_) + "}");
        } else if (line.find("GET /-/kv-watch?") == 0) {
            peer.waits = true;
            peer.prefix = query(line, "prefix");
            peer.after = strtoull(query(line, "after").c_str(), nullptr, 10);
            peer.until = now_ms() + strtoll(query(line, "wait-ms").c_str(), nullptr, 10);
            answer_watches();
        } else {
            answer(fd, 404, "{}");
        }
    }

    auto answer_watches() -> void {
        auto ready = vector<int>{};
        for (const auto& [fd, peer] : connections_) {
            if (peer.waits) {
                ready.push_back(fd);
            }
        }
        for (const auto fd : ready) {
            auto& peer = connections_[fd];
            if (peer.after < dropped_up_to_) {
                peer.waits = false;
                answer(fd, 410, "{}");
                continue;
            }
            auto list = string();
            for (const auto& one : history_) {
                if (one.revision > peer.after && one.key.compare(0, peer.prefix.size(), peer.prefix) == 0) {
                    list += (list.empty() ? "" : ",") + one.json;
                }
            }
            if (!list.empty() || now_ms() >= peer.until) {
                peer.waits = false;
                answer(fd, 200,
                       "{\"events\":[" + list + "],\"store-revision\":" + std::to_string(revision_) + "}");
            }
        }
    }

    auto tick() -> void {
        while (!history_.empty() && now_ms() - history_.front().at > history_ms) {
            dropped_up_to_ = history_.front().revision;
            history_.pop_front();
        }
        answer_watches();
        after(20, [this] { tick(); });
    }

    auto answer(int fd, int status, const string& body) -> void {
        if (body.size() > 1000000 || status == 410) {
            note("store answers %d with %zu bytes", status, body.size());
        }
        connections_[fd].out +=
            "HTTP/1.1 " + std::to_string(status) +
            " X\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) +
            "\r\n\r\n" + body;
        flush(fd);
    }

    auto flush(int fd) -> void {
        auto& peer = connections_[fd];
        while (!peer.out.empty()) {
            const auto sent = send(fd, peer.out.data(), peer.out.size(), MSG_NOSIGNAL);
            if (sent <= 0) {
                if (errno == EAGAIN) {
                    break;
                }
                close_connection(fd);
                return;
            }
            peer.out.erase(0, static_cast<size_t>(sent));
        }
        watched[fd].first = peer.out.empty() ? POLLIN : POLLOUT;
    }

    int listener_ = -1;
    uint64_t revision_ = 100;
    uint64_t dropped_up_to_ = 0;
    std::map<string, string> items_;
    std::deque<event> history_;
    std::map<int, connection> connections_;
};

store the_store;

// ------------------------------------------------------------------------------------------------------
// hosts

struct host {
    string name;
    string zone;
    uint32_t ip = 0;
    pid_t pid = 0;
    bool in_rotation = false;
    int misses = 0;
    int probe = -1;
};

vector<std::unique_ptr<host>> hosts;
string seeds;
vector<string> zone_names = {"hu-central-a", "hu-central-b", "hu-central-c"};
string region = "hu-central";
string folder;
string binary;

auto start_host(host& one) -> void {
    const auto path = folder + "/" + one.name + ".conf";
    auto* file = fopen(path.c_str(), "w");
    if (file == nullptr) {
        cannot_run("cannot write " + path);
    }
    const auto ip = ip_text(one.ip);
    auto zones = string();
    for (const auto& zone : zone_names) {
        zones += "zones." + zone + "=" + region + "\n";
    }
    fprintf(
        file,
        "node-name=%s\nrole=edge\nmachine-class=edge\nserves=edge,control_plane\nip=%s\nzone=%s\n"
        "region=%s\n%sbind-addresses.datagram-address=%s:%d\n"
        "bind-addresses.ready-address=%s:%d\nbind-addresses.control=%s:%d\ninternal-port-range=%d,%d\n"
        "seeds=%s\nbootstrap=true\ncounts-as-loss=true\nlimits.cpu-share=0.38\nlimits.cores=1\n"
        "limits.memory-mb=390\nlimits.max-fds=6150\nlimits.link-mbps=1500.0\nlimits.disk-mb=0\n"
        "discovery=platform\nentry=announce\nheartbeat-ms=%d\n"
        "contracts=base,drain,config,cost,recover,flows,platform\nfault-tolerance.machines=2\n"
        "fault-tolerance.zones=1\nfault-tolerance.regions=0\nbounds.seed-lag-s=3\nbounds.reuse-after-s=2\n"
        "bounds.contact-ms=%d\nbounds.ack-ms=5000\nbounds.catch-up-s=4\nbounds.drain-ms=%d\n"
        "bounds.grace-s=6\nbounds.loss-slack-ms=200\nbounds.config-ms=%d\nbounds.downgrade-ms=250\n"
        "bounds.outer-ms=12000\nbounds.recovery-s=12\nbounds.flow-ms=%d\nbounds.max-flow-s=60\n"
        "hash=steady\nform=echo\nplatform.address=%s:%d\nplatform.form=kv\nplatform.writes-per-s=400\n"
        "platform.reads-per-s=2000\nplatform.history-s=%d\nplatform.value-bytes=1048576\n"
        "platform.ttl-min-ms=1000\n",
        one.name.c_str(), ip.c_str(), one.zone.c_str(), region.c_str(), zones.c_str(), ip.c_str(), data_port,
        ip.c_str(), ready_port, ip.c_str(), control_port, first_internal_port, last_internal_port,
        seeds.c_str(), static_cast<int>(heartbeat_ms), static_cast<int>(contact_ms),
        static_cast<int>(drain_ms), static_cast<int>(config_ms), static_cast<int>(flow_ms),
        ip_text(ip_of(200, 1)).c_str(), store_port, static_cast<int>(history_ms / 1000));
    fclose(file);
    const auto log = folder + "/" + one.name + ".log";
    one.pid = fork();
    if (one.pid == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);  // ends with this process
        const auto out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(out, 1);
        dup2(out, 2);
        setenv("AGATEPOST_BOOT", path.c_str(), 1);
        execl(binary.c_str(), binary.c_str(), "edge", static_cast<char*>(nullptr));
        _exit(127);
    }
    note("host %s started at %s", one.name.c_str(), ip.c_str());
}

auto finish_probe(host& one, bool ready) -> void {
    if (one.probe >= 0) {
        watched.erase(one.probe);
        close(one.probe);
        one.probe = -1;
    }
    one.misses = ready ? 0 : one.misses + 1;
    const auto was = one.in_rotation;
    one.in_rotation = ready || (was && one.misses < 2);
    if (was != one.in_rotation) {
        note("host %s %s the rotation", one.name.c_str(), one.in_rotation ? "joins" : "leaves");
    }
}

// The readiness check of the routers, twice a second.
auto probe_hosts() -> void {
    for (auto& each : hosts) {
        auto& one = *each;
        if (one.probe >= 0) {
            finish_probe(one, false);
        }
        const auto fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        const auto address = socket_address(one.ip, ready_port);
        if (connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 &&
            errno != EINPROGRESS) {
            close(fd);
            finish_probe(one, false);
            continue;
        }
        one.probe = fd;
        watched[fd] = {POLLOUT, [&one, fd](short events) {
                           if ((events & POLLOUT) != 0 && watched[fd].first == POLLOUT) {
                               const auto text = string("GET /-/readiness HTTP/1.1\r\nHost: h\r\n\r\n");
                               if (send(fd, text.data(), text.size(), MSG_NOSIGNAL) < 0) {
                                   finish_probe(one, false);
                                   return;
                               }
                               watched[fd].first = POLLIN;
                               return;
                           }
                           char buffer[512] = {};
                           const auto got = recv(fd, buffer, sizeof buffer - 1, 0);
                           finish_probe(one, got > 0 && strncmp(buffer, "HTTP/1.1 200", 12) == 0);
                       }};
    }
    after(500, [] { probe_hosts(); });
}

auto mix(uint64_t v) -> uint64_t {
    v = (v ^ (v >> 30U)) * 0xbf58476d1ce4e5b9U;
    v = (v ^ (v >> 27U)) * 0x94d049bb133111ebU;
    return v ^ (v >> 31U);
}

// Selects the host for a packet by a steady hash over the hosts of the zone that are in rotation.
auto route_packet(const flow_key& key, const string& zone) -> host* {
    host* best = nullptr;
    auto best_weight = uint64_t{0};
    for (const auto pass : {0, 1}) {
        for (auto& each : hosts) {
            if (!each->in_rotation || (pass == 0 && each->zone != zone)) {
                continue;
            }
            const auto weight =
                mix((static_cast<uint64_t>(key.client) << 32U | key.service) ^
                    (static_cast<uint64_t>(key.client_port) << 16U | key.service_port) ^ mix(each->ip));
            if (best == nullptr || weight > best_weight) {
                best = each.get();
                best_weight = weight;
            }
        }
        if (best != nullptr) {
            break;
        }
    }
    return best;
}

// --------------------------------------------------------------------------------------------------
// endpoints

struct endpoint;
struct client_flow;

// What the checks know of each flow.
struct flow_fact {
    endpoint* owner = nullptr;  // where it is open
    int64_t opened_at = 0;
    int64_t last_own = 0;  // last packet at its endpoint
    int elsewhere = 0;     // packets at other endpoints since then
    int64_t first_elsewhere = 0;
    bool is_reported = false;
};

std::map<flow_key, flow_fact> facts;
int breaks = 0;

auto report_break(const string& what) -> void {
    ++breaks;
    note("BROKEN: %s", what.c_str());
    if (breaks <= 5) {
        printf("broken: %s\n", what.c_str());
    }
}

struct endpoint_flow {
    uint32_t own_seq = 0;     // next byte to send
    uint32_t client_seq = 0;  // next byte expected
    uint32_t echo = 0;
    bool is_open = false;
    bool has_ended = false;
    bool is_working = false;
    int64_t syn_at = 0;
    string last_answer;
    uint32_t last_answer_seq = 0;
    uint8_t last_answer_flags = 0;
};

struct endpoint {
    string id;
    string service;
    string zone;
    uint32_t ip = 0;
    uint64_t tag = 0;
    int fd = -1;
    bool is_draining = false;
    bool is_alive = true;
    int64_t drain_ack_at = -1;
    int64_t born = 0;
    int call_seq = 1;
    size_t slots = 3;   // requests that it processes at a time
    size_t queue = 12;  // requests that wait for a slot
    size_t running = 0;
    std::deque<std::pair<flow_key, string>> waiting;
    std::map<flow_key, endpoint_flow> flows;
    std::function<int64_t()> work_ms = [] { return 50; };

    auto is_full() const -> bool { return running + waiting.size() >= slots + queue; }

    auto key() const -> string { return "servers/" + id; }
    auto entry() const -> string {
        return "{\"service\":\"" + service + "\",\"address\":\"" + ip_text(ip) + ":" +
               std::to_string(endpoint_port) + "\",\"zone\":\"" + zone +
               "\",\"version\":\"v1\",\"slots\":" + std::to_string(slots) + ",\"state\":\"" +
               (is_draining ? "draining" : "ready") +
               "\",\"cold-remaining-ms\":0,\"call-seq\":" + std::to_string(call_seq) +
               ",\"born\":" + std::to_string(born) + "}";
    }
};

vector<std::unique_ptr<endpoint>> endpoints;

auto tag_of(const string& id) -> uint64_t {
    auto tag = uint64_t{0};
    for (const auto c : id) {
        if (isxdigit(static_cast<unsigned char>(c)) != 0) {
            tag = tag << 4U | strtoul(string(1, c).c_str(), nullptr, 16);
        }
    }
    return tag;
}

auto send_to_client(endpoint& from, const flow_key& key, packet p) -> void {
    p.src = key.service;
    p.sport = key.service_port;
    p.dst = key.client;
    p.dport = key.client_port;
    const auto bytes = encode(p);
    const auto address = socket_address(key.client, data_port);
    sendto(from.fd, bytes.data(), bytes.size(), 0, reinterpret_cast<const sockaddr*>(&address),
           sizeof address);
}

std::function<void(endpoint&, const flow_key&, const string&, int64_t)> on_run;

auto field(const string& request, const string& name) -> string {
    const auto mark = request.find(name + ": ");
    if (mark == string::npos) {
        return {};
    }
    const auto from = mark + name.size() + 2;
    return request.substr(from, request.find("\r\n", from) - from);
}

auto start_request(endpoint& at, const flow_key& key, const string& request) -> void;

auto answer_request(endpoint& at, const flow_key& key, const string& request) -> void {
    --at.running;
    if (!at.waiting.empty()) {
        const auto next = at.waiting.front();
        at.waiting.pop_front();
        start_request(at, next.first, next.second);
    }
    const auto found = at.flows.find(key);
    if (found == at.flows.end() || !at.is_alive) {
        return;
    }
    auto& flow = found->second;
    flow.is_working = false;
    const auto body = "done " + field(request, "Attempt-Id");
    flow.last_answer = "HTTP/1.1 200 OK\r\nServer-Seal: " + at.id +
                       "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    flow.last_answer_seq = flow.own_seq;
    // A draining endpoint closes each flow after its next response.
    flow.last_answer_flags = static_cast<uint8_t>(f_ack | (at.is_draining ? f_fin : 0));
    auto p = packet{};
    p.seq = flow.own_seq;
    p.ack = flow.client_seq;
    p.flags = flow.last_answer_flags;
    p.echo = flow.echo;
    p.data = flow.last_answer;
    flow.own_seq += static_cast<uint32_t>(flow.last_answer.size()) + (at.is_draining ? 1 : 0);
    flow.has_ended = flow.has_ended || at.is_draining;
    send_to_client(at, key, p);
}

auto start_request(endpoint& at, const flow_key& key, const string& request) -> void {
    ++at.running;
    note("endpoint %s runs %s of %s", at.id.c_str(), field(request, "Attempt-Id").c_str(),
         text_of(key).c_str());
    if (on_run) {
        const auto flow = at.flows.find(key);
        on_run(at, key, request, flow == at.flows.end() ? 0 : flow->second.syn_at);
    }
    after(at.work_ms(), [&at, key, request] { answer_request(at, key, request); });
}

// A packet of an open flow arrived at `at`: counts for rule FLOW, part (b).
auto record_arrival(endpoint& at, const flow_key& key) -> void {
    const auto found = facts.find(key);
    if (found == facts.end() || found->second.owner == nullptr) {
        return;
    }
    auto& fact = found->second;
    if (fact.owner == &at) {
        fact.last_own = now_ms();
        fact.elsewhere = 0;
        return;
    }
    if (fact.elsewhere++ == 0) {
        fact.first_elsewhere = now_ms();
    }
    note("packet of flow %s, open at %s, arrived at %s", text_of(key).c_str(), fact.owner->id.c_str(),
         at.id.c_str());
}

auto handle_at_endpoint(endpoint& at, const packet& p, uint64_t tag) -> void {
    const auto key = flow_key{p.src, p.sport, p.dst, p.dport};
    if (p.sum != sum_of(p)) {
        report_break("UNASKED: " + at.id + " got a packet that its sender did not write so");
        return;
    }
    if ((p.flags & f_syn) == 0) {
        record_arrival(at, key);
    }
    if (tag != 0 && tag != at.tag) {
        return;  // not the intended endpoint
    }
    auto found = at.flows.find(key);
    if ((p.flags & f_syn) != 0) {
        if (found == at.flows.end() && at.is_full()) {
            return;  // a full endpoint sends nothing
        }
        if (found == at.flows.end() || found->second.client_seq != p.seq + 1) {
            auto flow = endpoint_flow{};
            flow.own_seq = static_cast<uint32_t>(rng()) + 1;
            flow.client_seq = p.seq + 1;
            flow.syn_at = now_ms();
            found = at.flows.insert_or_assign(key, flow).first;
            note("endpoint %s%s takes SYN of %s", at.id.c_str(), at.is_draining ? " (draining)" : "",
                 text_of(key).c_str());
        }
        auto& flow = found->second;
        flow.echo = p.echo;
        if (flow.is_open) {
            return;
        }
        auto reply = packet{};
        reply.seq = flow.own_seq - 1;
        reply.ack = flow.client_seq;
        reply.flags = f_syn | f_ack;
        reply.echo = flow.echo;
        send_to_client(at, key, reply);
        return;
    }
    if (found == at.flows.end()) {
        if ((p.flags & f_rst) == 0) {
            auto reset = packet{};
            reset.seq = p.ack;
            reset.ack = p.seq;
            reset.flags = f_rst;
            send_to_client(at, key, reset);
            note("endpoint %s resets %s: it does not hold the flow", at.id.c_str(), text_of(key).c_str());
        }
        return;
    }
    auto& flow = found->second;
    if ((p.flags & f_rst) != 0) {
        at.flows.erase(found);
        return;
    }
    if (!flow.is_open) {
        if (p.ack != flow.own_seq) {
            return;
        }
        flow.is_open = true;
        auto& fact = facts[key];
        fact = {};
        fact.owner = &at;
        fact.opened_at = now_ms();
        fact.last_own = now_ms();
        note("flow %s opens at %s", text_of(key).c_str(), at.id.c_str());
    }
    flow.echo = p.echo;
    if (!p.data.empty() && p.seq == flow.client_seq && !flow.has_ended && !flow.is_working) {
        if (at.is_full()) {
            return;
        }
        flow.client_seq += static_cast<uint32_t>(p.data.size());
        flow.is_working = true;
        if (at.running < at.slots) {
            start_request(at, key, p.data);
        } else {
            at.waiting.emplace_back(key, p.data);
        }
    } else if (!p.data.empty() && !flow.is_working && flow.last_answer_seq != 0 &&
               static_cast<int32_t>(flow.client_seq - p.seq) > 0) {
        // The answer was lost: sends it again.
        auto again = packet{};
        again.seq = flow.last_answer_seq;
        again.ack = flow.client_seq;
        again.flags = flow.last_answer_flags;
        again.echo = flow.echo;
        again.data = flow.last_answer;
        send_to_client(at, key, again);
    }
    if ((p.flags & f_fin) != 0) {
        auto reply = packet{};
        reply.seq = flow.own_seq;
        reply.ack = p.seq + static_cast<uint32_t>(p.data.size()) + 1;
        reply.flags = static_cast<uint8_t>(f_ack | (flow.has_ended ? 0 : f_fin));
        reply.echo = flow.echo;
        send_to_client(at, key, reply);
        facts.erase(key);
        at.flows.erase(key);
    }
}

auto add_endpoint(const string& id, const string& service, const string& zone, int c, int d) -> endpoint& {
    auto one = std::make_unique<endpoint>();
    one->id = id;
    one->service = service;
    one->zone = zone;
    one->ip = ip_of(c, d);
    one->tag = tag_of(id);
    one->born = std::chrono::duration_cast<std::chrono::milliseconds>(
                    std::chrono::system_clock::now().time_since_epoch())
                    .count();
    one->fd = bound_socket(SOCK_DGRAM, one->ip, endpoint_port);
    auto* raw = one.get();
    watched[one->fd] = {
        POLLIN, [raw](short) {
            char buffer[2048];
            while (true) {
                const auto got = recv(raw->fd, buffer, sizeof buffer, 0);
                if (got < 0) {
                    return;
                }
                auto p = packet{};
                if (!raw->is_alive || got < 8 || !decode(buffer + 8, static_cast<size_t>(got) - 8, p)) {
                    continue;
                }
                auto tag = uint64_t{0};
                for (auto i = 0; i < 8; ++i) {
                    tag = tag << 8U | static_cast<uint8_t>(buffer[i]);
                }
                handle_at_endpoint(*raw, p, tag);
            }
        }};
    endpoints.push_back(std::move(one));
    the_store.write({{raw->key(), raw->entry()}});
    return *raw;
}

auto start_drain(endpoint& one) -> void {
    one.is_draining = true;
    ++one.call_seq;
    one.drain_ack_at = the_store.write({{one.key(), one.entry()}});
    note("endpoint %s drains", one.id.c_str());
}

auto end_endpoint(endpoint& one) -> void {
    one.is_alive = false;
    note("endpoint %s exits", one.id.c_str());
    for (const auto& [key, flow] : one.flows) {
        facts.erase(key);
    }
    one.flows.clear();
    the_store.write({{one.key(), ""}});
}

// ----------------------------------------------------------------------------------------------------
// clients

enum class flow_state { opening, open, closed };

struct client;

struct client_flow {
    client* owner = nullptr;
    flow_key key;
    flow_state state = flow_state::opening;
    uint32_t seq = 0;       // next byte to send
    uint32_t received = 0;  // next byte expected
    uint32_t echo = 0;
    string request;  // in progress
    uint32_t request_seq = 0;
    string attempt;
    int64_t sent_at = 0;
    int64_t interval_ms = 200;
    int64_t pause_ms = 0;  // between requests; 0: one request
    int64_t last_used = 0;
    bool is_idempotent = true;
};

struct client {
    uint32_t ip = 0;
    string zone;
    int fd = -1;
    uint16_t next_port = 1025;
    std::map<flow_key, std::shared_ptr<client_flow>> flows;
};

struct totals {
    int attempts = 0;  // flows that clients began
    int sent = 0;
    int served = 0;
    int reset = 0;
    int unanswered = 0;
} all;

vector<std::unique_ptr<client>> clients;
int next_attempt = 1;
bool is_traffic_on = true;

auto send_from(client_flow& flow, packet p) -> void {
    p.src = flow.key.client;
    p.sport = flow.key.client_port;
    p.dst = flow.key.service;
    p.dport = flow.key.service_port;
    auto* to = route_packet(flow.key, flow.owner->zone);
    if (to == nullptr) {
        return;
    }
    const auto bytes = encode(p);
    const auto address = socket_address(to->ip, data_port);
    sendto(flow.owner->fd, bytes.data(), bytes.size(), 0, reinterpret_cast<const sockaddr*>(&address),
           sizeof address);
}

auto close_flow(const std::shared_ptr<client_flow>& flow) -> void {
    flow->state = flow_state::closed;
    flow->owner->flows.erase(flow->key);
}

auto send_syn(const std::shared_ptr<client_flow>& flow, uint32_t copy) -> void {
    if (flow->state != flow_state::opening) {
        return;
    }
    constexpr int64_t delays[] = {200, 400, 800};
    if (copy == 3) {
        note("client: %s found no answer to its SYN", text_of(flow->key).c_str());
        ++all.unanswered;
        close_flow(flow);
        return;
    }
    auto p = packet{};
    p.seq = flow->seq - 1;
    p.ack = copy;
    p.flags = f_syn;
    send_from(*flow, p);
    after(delays[copy], [flow, copy] { send_syn(flow, copy + 1); });
}

auto send_request(const std::shared_ptr<client_flow>& flow, bool is_first) -> void {
    if (flow->state != flow_state::open || flow->request.empty()) {
        return;
    }
    auto p = packet{};
    p.seq = flow->request_seq;
    p.ack = flow->received;
    p.flags = f_ack;
    p.echo = flow->echo;
    p.data = flow->request;
    send_from(*flow, p);
    if (is_first) {
        flow->sent_at = now_ms();
        flow->interval_ms = 200;
    }
    const auto attempt = flow->attempt;
    after(flow->interval_ms, [flow, attempt] {
        if (flow->attempt != attempt || flow->request.empty() || flow->state != flow_state::open) {
            return;
        }
        if (now_ms() - flow->sent_at > 6000) {
            note("client: %s has no answer to %s", text_of(flow->key).c_str(), attempt.c_str());
            ++all.unanswered;
            close_flow(flow);
            return;
        }
        send_request(flow, false);
    });
    flow->interval_ms = std::min<int64_t>(1600, flow->interval_ms * 2);
}

auto begin_request(const std::shared_ptr<client_flow>& flow) -> void {
    flow->attempt = "a" + std::to_string(next_attempt++);
    flow->request = string(flow->is_idempotent ? "GET" : "POST") +
                    " /x HTTP/1.1\r\nHost: h\r\nAttempt-Id: " + flow->attempt +
                    "\r\nContent-Length: 0\r\n\r\n";
    flow->request_seq = flow->seq;
    flow->seq += static_cast<uint32_t>(flow->request.size());
    ++all.sent;
    note("client: %s sends %s", text_of(flow->key).c_str(), flow->attempt.c_str());
    send_request(flow, true);
}

auto open_flow(client& from, uint32_t service, uint16_t port, int64_t pause_ms, bool is_idempotent)
    -> std::shared_ptr<client_flow> {
    auto flow = std::make_shared<client_flow>();
    flow->owner = &from;
    flow->key = {from.ip, from.next_port++, service, port};
    flow->seq = static_cast<uint32_t>(rng());
    flow->pause_ms = pause_ms;
    flow->is_idempotent = is_idempotent;
    flow->last_used = now_ms();
    from.flows[flow->key] = flow;
    ++all.attempts;
    note("client: %s begins", text_of(flow->key).c_str());
    send_syn(flow, 0);
    return flow;
}

auto send_fin(const std::shared_ptr<client_flow>& flow) -> void {
    auto p = packet{};
    p.seq = flow->seq;
    p.ack = flow->received;
    p.flags = f_ack | f_fin;
    p.echo = flow->echo;
    send_from(*flow, p);
    facts.erase(flow->key);
    close_flow(flow);
}

auto handle_reset(const std::shared_ptr<client_flow>& flow, const packet& p) -> void {
    const auto is_systems = p.sum == 0;
    if (flow->state == flow_state::opening) {
        note("client: %s is refused", text_of(flow->key).c_str());
        ++all.reset;
        close_flow(flow);
        return;
    }
    if (is_systems && p.seq - flow->received + reset_window > 2 * reset_window) {
        return;  // not near the last acknowledgement
    }
    const auto fact = facts.find(flow->key);
    note("client: %s is reset by %s, %s", text_of(flow->key).c_str(),
         is_systems ? "the system" : "its endpoint",
         flow->request.empty() ? "idle" : ("waiting for " + flow->attempt).c_str());
    ++all.reset;
    if (is_systems && fact != facts.end() && fact->second.owner->is_alive) {
        report_break("FLOW (a): " + text_of(flow->key) + ", open at " + fact->second.owner->id +
                     (fact->second.owner->is_draining ? " (draining, alive)" : " (alive)") + " for " +
                     std::to_string(now_ms() - fact->second.opened_at) + " ms, was reset by the system; " +
                     (flow->is_idempotent ? "idempotent" : "non-idempotent") + " request " + flow->attempt);
    }
    facts.erase(flow->key);
    close_flow(flow);
}

auto handle_at_client(client& at, const packet& p) -> void {
    const auto found = at.flows.find({p.dst, p.dport, p.src, p.sport});
    if (found == at.flows.end()) {
        return;
    }
    const auto flow = found->second;
    if (p.sum != sum_of(p) && !(p.sum == 0 && p.flags == f_rst && p.data.empty())) {
        report_break("MIXED: a client got a packet that its sender did not write so");
        return;
    }
    if ((p.flags & f_rst) != 0) {
        handle_reset(flow, p);
        return;
    }
    if ((p.flags & f_syn) != 0) {
        if (flow->state == flow_state::opening && p.ack == flow->seq) {
            flow->state = flow_state::open;
            flow->received = p.seq + 1;
            flow->echo = p.echo;
            begin_request(flow);
        }
        return;
    }
    if (flow->state != flow_state::open || p.seq != flow->received) {
        return;
    }
    flow->echo = p.echo;
    flow->last_used = now_ms();
    flow->received += static_cast<uint32_t>(p.data.size()) + ((p.flags & f_fin) != 0 ? 1U : 0U);
    if (!p.data.empty()) {
        note("client: %s gets the answer to %s, sealed by %s", text_of(flow->key).c_str(),
             flow->attempt.c_str(), field(p.data, "Server-Seal").c_str());
        if (p.data.find("done " + flow->attempt) == string::npos) {
            report_break("MIXED: " + flow->attempt + " got another answer");
        }
        flow->request.clear();
        ++all.served;
    }
    if ((p.flags & f_fin) != 0 || (!p.data.empty() && flow->pause_ms == 0)) {
        send_fin(flow);
        return;
    }
    auto reply = packet{};
    reply.seq = flow->seq;
    reply.ack = flow->received;
    reply.flags = f_ack;
    reply.echo = flow->echo;
    send_from(*flow, reply);
    if (flow->pause_ms != 0) {
        after(static_cast<int64_t>(static_cast<double>(flow->pause_ms) *
                                   (0.5 + static_cast<double>(rng() % 1000) / 1000)),
              [flow] {
                  if (flow->state == flow_state::open && flow->request.empty()) {
                      begin_request(flow);
                  }
              });
    }
}

auto add_client(const string& zone, int c, int d) -> client& {
    auto one = std::make_unique<client>();
    one->ip = ip_of(c, d);
    one->zone = zone;
    one->fd = bound_socket(SOCK_DGRAM, one->ip, data_port);
    auto* raw = one.get();
    watched[one->fd] = {POLLIN, [raw](short) {
                            char buffer[2048];
                            while (true) {
                                const auto got = recv(raw->fd, buffer, sizeof buffer, 0);
                                if (got < 0) {
                                    return;
                                }
                                auto p = packet{};
                                if (decode(buffer, static_cast<size_t>(got), p)) {
                                    handle_at_client(*raw, p);
                                }
                            }
                        }};
    clients.push_back(std::move(one));
    return *raw;
}

// Checks rule FLOW, part (b), for all open flows.
auto check_flows() -> void {
    for (auto& [key, fact] : facts) {
        const auto since = fact.elsewhere == 0 ? 0 : now_ms() - fact.first_elsewhere;
        if (fact.owner != nullptr && fact.owner->is_alive && !fact.is_reported && fact.elsewhere >= 3 &&
            since >= flow_ms) {
            fact.is_reported = true;
            report_break("FLOW (b): " + std::to_string(fact.elsewhere) + " packets of " + text_of(key) +
                         ", open at " + fact.owner->id + " (alive), reached other endpoints within " +
                         std::to_string(since) + " ms and none its own");
        }
    }
    after(50, [] { check_flows(); });
}

// ------------------------------------------------------------------------------------------------- the cases

constexpr uint16_t main_port = 443;
constexpr uint16_t second_port = 8443;

auto service_address() -> uint32_t {
    return ip_of(250, 1);
}

int64_t timeout_ms = 2000;
int64_t target_latency_ms = 300;

auto route_json(const string& name, uint16_t port, const string& kind, const string& service) -> string {
    return "{\"name\":\"" + name + "\",\"hostname\":\"" + ip_text(service_address()) + "\",\"prefix\":\"/" +
           std::to_string(port) + "/\",\"route-type\":\"" + kind +
           "\",\"timeout-ms\":" + std::to_string(timeout_ms) +
           ",\"target-latency-ms\":" + std::to_string(target_latency_ms) + ",\"priority\":1,\"service\":\"" +
           service + "\",\"max-attempts\":2}";
}

auto config_json(int version, const string& main_service, const string& second_service) -> string {
    return "{\"version\":" + std::to_string(version) + ",\"routes\":[" +
           route_json("r-1", main_port, "idempotent", main_service) + "," +
           route_json("r-2", second_port, "non_idempotent", second_service) +
           "],\"services\":[{\"name\":\"tracker\",\"health-check-path\":\"/health\",\"max-connections\":2000,"
           "\"protocol\":\"h1\",\"tls\":false},{\"name\":\"attach\",\"health-check-path\":\"/health\","
           "\"max-connections\":2000,\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"max-header-bytes\":"
           "16384,"
           "\"max-body-bytes\":262144,\"header-timeout-ms\":3000,\"idle-timeout-ms\":" +
           std::to_string(idle_timeout_ms) + "}}";
}

// Opens a flow for one request each `interval_ms`, from each client in turn.
auto keep_sending(int64_t interval_ms, uint16_t port, bool is_idempotent) -> void {
    static auto turn = size_t{0};
    if (!is_traffic_on) {
        return;
    }
    open_flow(*clients[turn++ % clients.size()], service_address(), port, 0, is_idempotent);
    after(interval_ms, [=] { keep_sending(interval_ms, port, is_idempotent); });
}

// Keeps `count` long flows open over all clients, each with a pause between requests. Opens one each 50 ms.
auto keep_long_flows(size_t count, int64_t pause_ms, uint16_t port, bool is_idempotent) -> void {
    if (!is_traffic_on) {
        return;
    }
    auto open = size_t{0};
    auto* least = clients.front().get();
    auto least_open = count;
    for (auto& one : clients) {
        auto of_client = size_t{0};
        for (const auto& [key, flow] : one->flows) {
            of_client += flow->key.service_port == port && flow->pause_ms != 0 ? 1 : 0;
        }
        open += of_client;
        if (of_client < least_open) {
            least_open = of_client;
            least = one.get();
        }
    }
    if (open < count) {
        open_flow(*least, service_address(), port, pause_ms, is_idempotent);
    }
    after(50, [=] { keep_long_flows(count, pause_ms, port, is_idempotent); });
}

// Starts four hosts in three zones, and waits until all are in rotation.
auto start_fleet() -> void {
    the_store.open();
    the_store.write({{"op/config", config_json(3, "tracker", "tracker")}});
    const vector<std::tuple<string, int, int>> places = {
        {zone_names[0], 1, 10}, {zone_names[0], 1, 11}, {zone_names[1], 2, 10}, {zone_names[2], 3, 10}};
    for (const auto& [zone, c, d] : places) {
        auto one = std::make_unique<host>();
        one->zone = zone;
        one->name = "edge-" + zone + "-" + std::to_string(d - 9);
        one->ip = ip_of(c, d);
        if (hosts.size() != 1) {
            seeds += (seeds.empty() ? "" : ",") + ip_text(one->ip) + ":" + std::to_string(control_port);
        }
        hosts.push_back(std::move(one));
    }
    for (auto& one : hosts) {
        start_host(*one);
    }
    probe_hosts();
    check_flows();
}

auto wait_for_hosts() -> void {
    run_until(now_ms() + 4000);
    for (auto& one : hosts) {
        if (!one->in_rotation) {
            cannot_run("host " + one->name + " is not ready");
        }
    }
    // All hosts are in touch before the case begins.
    run_until(now_ms() + contact_ms + 1000);
}

auto stop_hosts() -> void {
    for (auto& one : hosts) {
        if (one->pid > 0) {
            kill(one->pid, SIGKILL);
        }
    }
    for (auto& one : hosts) {
        if (one->pid > 0) {
            waitpid(one->pid, nullptr, 0);
        }
    }
}

// Kills all hosts at once, and starts them again.
auto kill_all_hosts(int64_t down_ms) -> void {
    stop_hosts();
    note("all hosts killed");
    run_until(now_ms() + down_ms);
    for (auto& one : hosts) {
        start_host(*one);
    }
}

// Whether a host has ended by itself.
auto check_hosts_alive() -> void {
    for (auto& one : hosts) {
        if (one->pid > 0 && waitpid(one->pid, nullptr, WNOHANG) == one->pid) {
            one->pid = 0;
            report_break("host " + one->name + " ended by itself");
        }
    }
}

#include "cases.inc"

}  // namespace

auto main(int argc, char** argv) -> int {
    if (argc != 5) {
        fprintf(stderr, "usage: standin CASE BINARY FOLDER TROUBLE\n");
        return 2;
    }
    binary = argv[2];
    const auto record = string(argv[3]) + "/record.txt";
    record_file = fopen(record.c_str(), "w");
    if (record_file == nullptr) {
        fprintf(stderr, "cannot write %s\n", record.c_str());
        return 2;
    }
    started_at = steady_ms();
    net = find_net();
    signal(SIGPIPE, SIG_IGN);
    char pattern[] = "/tmp/agatepost-review-XXXXXX";
    if (mkdtemp(pattern) == nullptr) {
        fprintf(stderr, "cannot make a temporary folder\n");
        return 2;
    }
    folder = pattern;
    auto code = 0;
    try {
        const auto found = cases().find(argv[1]);
        if (found == cases().end()) {
            cannot_run(string("no case ") + argv[1]);
        }
        note("case %s, trouble %s", argv[1], argv[4]);
        found->second(string(argv[4]) != "0");
        check_hosts_alive();
        code = breaks != 0 ? 1 : 0;
    } catch (int failed) {
        code = failed;
    }
    stop_hosts();
    note(
        "flows begun %d, requests sent %d, served %d, flows reset or refused %d, without an answer %d; rule "
        "broken %d times",
        all.attempts, all.sent, all.served, all.reset, all.unanswered, breaks);
    printf(
        "flows begun %d, requests sent %d, served %d, flows reset or refused %d, without an answer %d; rule "
        "broken %d times\n",
        all.attempts, all.sent, all.served, all.reset, all.unanswered, breaks);
    fclose(record_file);
    if (getenv("KEEP_LOGS") != nullptr) {
        printf("logs: %s\n", folder.c_str());
    } else {
        for (const auto& one : hosts) {
            unlink((folder + "/" + one->name + ".conf").c_str());
            unlink((folder + "/" + one->name + ".log").c_str());
        }
        rmdir(folder.c_str());
    }
    return code;
}
