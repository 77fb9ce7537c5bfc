// Stand-ins for the store, the routers, clients and endpoints, and the processes under test, for the
// scripts of review 2. One thread; poll() every millisecond. All addresses are loopback addresses.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace lab {

inline auto now_ms() -> std::int64_t {
    auto t = timespec{};
    clock_gettime(CLOCK_MONOTONIC, &t);
    return static_cast<std::int64_t>(t.tv_sec) * 1000 + t.tv_nsec / 1000000;
}

[[noreturn]] inline auto cannot_run(const std::string& why) -> void {
    std::fprintf(stderr, "cannot run: %s\n", why.c_str());
    std::exit(2);
}

inline auto make_address(const std::string& ip, int port) -> sockaddr_in {
    auto a = sockaddr_in{};
    a.sin_family = AF_INET;
    a.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &a.sin_addr);
    return a;
}

inline auto number_of(const std::string& ip) -> std::uint32_t {
    return ntohl(make_address(ip, 0).sin_addr.s_addr);
}

inline auto open_socket(int type, const std::string& ip, int port, bool listens) -> int {
    const auto fd = socket(AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const auto on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const auto a = make_address(ip, port);
    if (bind(fd, reinterpret_cast<const sockaddr*>(&a), sizeof a) != 0 || (listens && listen(fd, 64) != 0)) {
        cannot_run("bind " + ip + ":" + std::to_string(port) + ": " + std::strerror(errno));
    }
    return fd;
}

// The record of the run, with the time since its start.
class record {
public:
    explicit record(const std::string& path) : file_(std::fopen(path.c_str(), "w")) {
        if (file_ == nullptr) {
            cannot_run("record " + path);
        }
    }
    auto line(const std::string& text) -> void {
        std::fprintf(file_, "%8.3f %s\n", static_cast<double>(now_ms() - start_) / 1000, text.c_str());
    }
    auto close() -> void { std::fclose(file_); }
    auto since_start() const -> std::int64_t { return now_ms() - start_; }

private:
    std::FILE* file_;
    std::int64_t start_ = now_ms();
};

inline auto base64(const std::string& in) -> std::string {
    static const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    auto out = std::string();
    for (auto i = std::size_t{0}; i < in.size(); i += 3) {
        auto v = std::uint32_t{0};
        for (auto j = std::size_t{0}; j < 3; ++j) {
            v = (v << 8U) | (i + j < in.size() ? static_cast<unsigned char>(in[i + j]) : 0U);
        }
        for (auto j = 0U; j < 4; ++j) {
            out += i + j > in.size() ? '=' : digits[(v >> (18 - 6 * j)) & 63U];
        }
    }
    return out;
}

// The platform's store: kv-range and kv-watch over HTTP/1.1. The scripts write to it directly.
class store {
public:
    store(const std::string& ip, int port) : listener_(open_socket(SOCK_STREAM, ip, port, true)) {}

    // Returns the revision, which is the acknowledgement.
    auto put(const std::string& key, const std::string& value) -> std::uint64_t {
        items_[key] = {value, ++revision_};
        history_.push_back({key, value, revision_, false});
        return revision_;
    }
    auto remove(const std::string& key) -> void {
        if (items_.erase(key) != 0) {
            history_.push_back({key, {}, ++revision_, true});
        }
    }
    auto add_fds(std::vector<pollfd>& fds) const -> void {
        fds.push_back({listener_, POLLIN, 0});
        for (const auto& c : connections_) {
            fds.push_back({c.fd, POLLIN, 0});
        }
    }
    auto step() -> void {
        for (auto fd = accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC); fd >= 0;
             fd = accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC)) {
            connections_.push_back({fd, {}, false, 0, 0});
        }
        for (auto c = connections_.begin(); c != connections_.end();) {
            c = serve(*c) ? std::next(c) : (close(c->fd), connections_.erase(c));
        }
    }

private:
    struct change {
        std::string key, value;
        std::uint64_t revision;
        bool is_removed;
    };
    struct connection {
        int fd;
        std::string received;
        bool is_watching;
        std::uint64_t after;
        std::int64_t due;
    };
    static auto item(const std::string& key, const std::string& value, std::uint64_t revision)
        -> std::string {
        return "{\"key\":\"" + key + "\",\"value\":\"" + base64(value) +
               "\",\"revision\":" + std::to_string(revision) + ",\"created-at\":" + std::to_string(revision) +
               ",\"lease\":0}";
    }
    static auto parameter(const std::string& target, const std::string& name) -> std::string {
        const auto at = target.find(name + "=");
        return at == std::string::npos
                   ? ""
                   : target.substr(at + name.size() + 1, target.find('&', at) - at - name.size() - 1);
    }
    auto reply(connection& to, const std::string& body) -> void {
        const auto text = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " +
                          std::to_string(body.size()) + "\r\n\r\n" + body;
        if (send(to.fd, text.data(), text.size(), MSG_NOSIGNAL) != static_cast<ssize_t>(text.size())) {
            shutdown(to.fd, SHUT_RDWR);
        }
    }
    auto serve(connection& c) -> bool {
        char buffer[4096];
        const auto got = recv(c.fd, buffer, sizeof buffer, 0);
        if (got == 0 || (got < 0 && errno != EAGAIN)) {
            return false;
        }
        if (got > 0) {
            c.received.append(buffer, static_cast<std::size_t>(got));
        }
        const auto end = c.received.find("\r\n\r\n");
        if (end != std::string::npos) {
            const auto target = c.received.substr(4, c.received.find(' ', 4) - 4);
            c.received.erase(0, end + 4);
            if (target.rfind("/-/kv-watch", 0) == 0) {
                c.is_watching = true;
                c.after = std::strtoull(parameter(target, "after").c_str(), nullptr, 10);
                c.due = now_ms() + std::atoi(parameter(target, "wait-ms").c_str());
            } else {
                auto list = std::string();
                for (const auto& [key, value] : items_) {
                    list += (list.empty() ? "" : ",") + item(key, value.first, value.second);
                }
                reply(c, "{\"items\":[" + list +
                             "],\"has-more\":false,\"store-revision\":" + std::to_string(revision_) + "}");
            }
        }
        if (c.is_watching && (revision_ > c.after || now_ms() >= c.due)) {
            c.is_watching = false;
            auto list = std::string();
            for (const auto& one : history_) {
                if (one.revision > c.after) {
                    list += list.empty() ? "" : ",";
                    list += one.is_removed
                                ? "{\"key\":\"" + one.key +
                                      "\",\"revision\":" + std::to_string(one.revision) + ",\"removed\":true}"
                                : item(one.key, one.value, one.revision);
                }
            }
            reply(c, "{\"events\":[" + list + "],\"store-revision\":" + std::to_string(revision_) + "}");
        }
        return true;
    }

    int listener_;
    std::uint64_t revision_ = 10;
    std::map<std::string, std::pair<std::string, std::uint64_t>> items_;
    std::vector<change> history_;
    std::list<connection> connections_;
};

// A TCP proxy. While it is cut, nothing passes in either direction and no connection is closed; bytes on the
// way arrive after the cut. `silence` does the same for good to the connections that are open now.
class tcp_proxy {
public:
    tcp_proxy(const std::string& ip, int port, const std::string& to_ip, int to_port)
        : listener_(open_socket(SOCK_STREAM, ip, port, true)), to_(make_address(to_ip, to_port)) {}

    bool is_cut = false;

    auto silence() -> std::size_t {
        for (auto& l : links_) {
            l.is_silent = true;
        }
        return links_.size();
    }
    auto add_fds(std::vector<pollfd>& fds) const -> void {
        if (is_cut) {
            return;
        }
        fds.push_back({listener_, POLLIN, 0});
        for (const auto& l : links_) {
            if (!l.is_silent) {
                fds.push_back({l.a, POLLIN, 0});
                fds.push_back({l.b, POLLIN, 0});
            }
        }
    }
    auto step() -> void {
        if (is_cut) {
            return;
        }
        for (auto fd = accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC); fd >= 0;
             fd = accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC)) {
            const auto out = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
            if (connect(out, reinterpret_cast<const sockaddr*>(&to_), sizeof to_) != 0) {
                close(out);
                close(fd);
                continue;
            }
            fcntl(out, F_SETFL, O_NONBLOCK);
            const auto on = 1;
            setsockopt(out, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            links_.push_back({fd, out, false});
        }
        for (auto l = links_.begin(); l != links_.end();) {
            const auto stays = l->is_silent || (pass(l->a, l->b) && pass(l->b, l->a));
            l = stays ? std::next(l) : (close(l->a), close(l->b), links_.erase(l));
        }
    }

private:
    struct link {
        int a, b;
        bool is_silent;
    };
    static auto pass(int from, int to) -> bool {
        char buffer[65536];
        const auto got = recv(from, buffer, sizeof buffer, 0);
        if (got <= 0) {
            return got < 0 && errno == EAGAIN;
        }
        return send(to, buffer, static_cast<std::size_t>(got), MSG_NOSIGNAL) == got;
    }
    int listener_;
    sockaddr_in to_;
    std::list<link> links_;
};

constexpr int data_port = 8172;
constexpr int ready_port = 8167;

// Packets as PROTOCOL.md describes them. The sum is one of these stand-ins' own.
struct packet {
    std::uint32_t seq = 0, ack = 0, src = 0, dst = 0;
    std::uint16_t sport = 0, dport = 0;
    std::uint8_t flags = 0;
    std::uint32_t echo = 0;
    std::string data;
};
constexpr std::uint8_t syn = 1, ack_flag = 2, fin = 32, rst = 128;

inline auto sum_of(const packet& p) -> std::uint32_t {
    auto h = std::uint32_t{2166136261U};
    const auto add = [&](std::uint32_t v) { h = (h ^ v) * 16777619U; };
    for (const auto v : {p.seq, p.ack, p.src, p.dst, std::uint32_t{p.sport}, std::uint32_t{p.dport},
                         std::uint32_t{p.flags}, static_cast<std::uint32_t>(p.data.size())}) {
        add(v);
    }
    for (const auto c : p.data) {
        add(static_cast<unsigned char>(c));
    }
    return h == 0 ? 1 : h;
}

inline auto encode(const packet& p) -> std::string {
    auto out = std::string();
    const auto put = [&](std::uint32_t v, int bytes) {
        for (auto i = 0; i < bytes; ++i) {
            out += static_cast<char>(v >> (8 * i));
        }
    };
    put(p.seq, 4), put(p.ack, 4), put(p.src, 4), put(p.sport, 2), put(p.dst, 4), put(p.dport, 2);
    put(p.flags, 1), put(0, 3), put(static_cast<std::uint32_t>(p.data.size()), 2);
    put(sum_of(p), 4), put(p.echo, 4);
    return out + p.data;
}

// Returns whether the bytes are a packet; `sum` gets the sum that it carries.
inline auto decode(const char* bytes, std::size_t size, packet& p, std::uint32_t& sum) -> bool {
    if (size < 34) {
        return false;
    }
    const auto get = [&](std::size_t at, int n) {
        auto v = std::uint32_t{0};
        for (auto i = 0; i < n; ++i) {
            v |= static_cast<std::uint32_t>(
                     static_cast<unsigned char>(bytes[at + static_cast<std::size_t>(i)]))
                 << (8 * i);
        }
        return v;
    };
    p.seq = get(0, 4), p.ack = get(4, 4), p.src = get(8, 4), p.dst = get(14, 4);
    p.sport = static_cast<std::uint16_t>(get(12, 2)), p.dport = static_cast<std::uint16_t>(get(18, 2));
    p.flags = static_cast<std::uint8_t>(get(20, 1)), sum = get(26, 4), p.echo = get(30, 4);
    p.data.assign(bytes + 34, size - 34);
    return p.data.size() == get(24, 2);
}

// A process of the system, started with the command of the deploy file.
struct host {
    std::string name, ip, zone, settings, log;
    pid_t pid = 0;
    bool is_ready = false;  // in the routers' rotation
    int misses = 0;

    auto start() -> void {
        pid = fork();
        if (pid == 0) {
            const auto out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            dup2(out, 1);
            dup2(out, 2);
            const auto variable = "AGATEPOST_BOOT=" + settings;
            const char* arguments[] = {"target/agatepost", "edge", nullptr};
            const char* variables[] = {variable.c_str(), "PATH=/usr/bin:/bin", "HOME=/tmp", nullptr};
            execve(arguments[0], const_cast<char**>(arguments), const_cast<char**>(variables));
            _exit(127);
        }
    }
    // Returns whether the process has ended; `status` is its wait status.
    auto has_ended(int& status) -> bool {
        if (pid != 0 && waitpid(pid, &status, WNOHANG) == pid) {
            pid = 0;
            return true;
        }
        return false;
    }
    // One readiness check of a router, as PROTOCOL.md says: out of rotation after two misses.
    auto check_ready() -> void {
        auto ok = false;
        const auto fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const auto limit = timeval{0, 200000};
        setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
        const auto a = make_address(ip, ready_port);
        if (pid != 0 && connect(fd, reinterpret_cast<const sockaddr*>(&a), sizeof a) == 0) {
            const auto text = std::string("GET /-/readiness HTTP/1.1\r\nHost: x\r\n\r\n");
            char answer[64] = {};
            ok = send(fd, text.data(), text.size(), MSG_NOSIGNAL) > 0 && recv(fd, answer, 63, 0) > 0 &&
                 std::strncmp(answer, "HTTP/1.1 200", 12) == 0;
        }
        close(fd);
        misses = ok ? 0 : misses + 1;
        is_ready = ok || (is_ready && misses < 2);
    }
};

// An endpoint. Runs a request for `work_ms`, then answers and closes the flow.
struct endpoint {
    std::string id, service, ip, zone;
    std::uint64_t tag = 0;
    int fd = -1;
    bool is_draining = false;
    bool is_gone = false;
    std::int64_t drained_at = 0;  // when the store acknowledged that it is draining
    std::int64_t next_seq = 1000;
    struct flow {
        std::uint32_t seq = 0, client_end = 0, echo = 0;
        std::uint32_t sent = 0, answer_seq = 0;
        std::string answer;
        bool is_open = false;
        bool has_ended = false;
    };
    std::map<std::pair<std::uint32_t, std::uint16_t>, flow> flows;

    auto entry() const -> std::string {
        return "{\"service\":\"" + service + "\",\"address\":\"" + ip + ":8000\",\"zone\":\"" + zone +
               "\",\"version\":\"v1\",\"slots\":3,\"state\":\"" + (is_draining ? "draining" : "ready") +
               "\",\"cold-remaining-ms\":0,\"call-seq\":1,\"born\":1790000000000}";
    }
    auto key() const -> std::string { return "servers/" + id; }
};

}  // namespace lab
