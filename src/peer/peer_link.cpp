#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <deque>
#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

#include "core/cbor_func.h"
#include "core/clock_type.h"
#include "core/counter_func.h"
#include "core/log_func.h"
#include "peer/peer_link_base.h"

namespace agatepost {

namespace {

constexpr std::size_t frame_limit = 4U << 20U;
constexpr std::size_t queue_limit = 8U << 20U;  // two frames of the largest size
constexpr std::size_t hello_limit = 1024;
constexpr std::size_t nonce_size = 16;
constexpr std::size_t header_bytes = 58;  // IPv4, TCP with timestamps, websocket header
constexpr std::size_t incoming_limit = 256;
constexpr std::int64_t handshake_timeout_ms = 2000;
constexpr std::int64_t keepalive_interval_ms = 4500;  // longer than the interval of the mesh's announcements
constexpr std::int64_t silence_limit_ms = 9500;       // twice keepalive_interval_ms and a margin
constexpr std::int64_t idle_limit_ms = 30000;
// The accepting side stops using an idle link this long before the opening side closes it, so that no frame
// arrives after closing has begun. Longer than silence_limit_ms, after which a delayed link counts as broken.
constexpr std::int64_t idle_margin_ms = 10000;
constexpr std::int64_t reconnect_interval_ms = 500;
constexpr long timer_interval_ms = 500;
constexpr auto maintenance_interval = std::chrono::milliseconds(50);
constexpr int accept_poll_ms = 100;

namespace asio = websocketpp::lib::asio;
using client_endpoint = websocketpp::client<websocketpp::config::asio_client>;
using server_endpoint = websocketpp::server<websocketpp::config::asio>;

// Sent over a link on which nothing else was sent for a while; not passed on to handlers.
constexpr std::string_view keepalive_message = "alive";

auto encode(const nlohmann::json& document) -> std::string {
    const auto bytes = nlohmann::json::to_cbor(document);
    return {bytes.begin(), bytes.end()};
}

}  // namespace

// One link. Its thread runs its own event loop. Only that thread accesses the members, but for the atomic
// ones and those guarded by `mutex_`.
class peer_link : public std::enable_shared_from_this<peer_link> {
public:
    peer_link(peer_links& owner, bool is_outgoing) : owner_(owner), is_outgoing_(is_outgoing) {}

    // Starts the thread that connects to a host.
    auto start_outgoing(const host_record& to) -> void {
        name_ = to.name;
        peer_ = to.peer;
        thread_ = std::thread([self = shared_from_this()] { self->run_outgoing(); });
    }

    // Starts the thread that serves an accepted connection.
    auto start_incoming(file_descriptor accepted, bool is_v6) -> void {
        thread_ = std::thread([self = shared_from_this(), fd = std::move(accepted), is_v6]() mutable {
            self->run_incoming(std::move(fd), is_v6);
        });
    }

    // Queues a message. Messages queued before the handshake is done are sent after it.
    auto send(std::string payload) -> void {
        {
            const auto lock = std::lock_guard(mutex_);
            queued_bytes_ += payload.size();
            if (queued_bytes_ > queue_limit) {
                count(counter::peer_link_slow);
                request_close();
                return;
            }
            queue_.push_back(std::move(payload));
        }
        last_use_ms_ = now().value;
        post(&peer_link::flush);
    }

    auto request_close() -> void {
        is_closing_ = true;
        post(&peer_link::close);
    }

    // Removes and returns the messages that were not sent yet.
    auto extract_queue() -> std::deque<std::string> {
        const auto lock = std::lock_guard(mutex_);
        queued_bytes_ = 0;
        return std::exchange(queue_, {});
    }

    auto join() -> void {
        if (thread_.joinable()) {
            thread_.join();
        }
    }

    auto name() const -> std::string {
        const auto lock = std::lock_guard(mutex_);
        return name_;
    }
    auto is_ready() const -> bool { return is_ready_ && !is_closing_ && !is_ended_; }
    auto is_usable() const -> bool { return !is_closing_ && !is_ended_; }
    auto is_ended() const -> bool { return is_ended_; }
    auto is_outgoing() const -> bool { return is_outgoing_; }
    // Returns whether new messages may be queued. The name of an incoming link is not authenticated before it
    // is ready.
    auto accepts_messages() const -> bool {
        return is_outgoing_ ? is_usable() : is_ready() && idle_ms() <= idle_limit_ms - idle_margin_ms;
    }
    auto idle_ms() const -> std::int64_t { return now().value - last_use_ms_; }

private:
    // Runs a step on the link's thread. The loop is a member, so it must not own the link.
    auto post(void (peer_link::*step)()) -> void {
        loop_.post([weak = weak_from_this(), step] {
            if (const auto self = weak.lock()) {
                ((*self).*step)();
            }
        });
    }

    auto run_outgoing() -> void {
        auto client = client_endpoint();
        try {
            prepare(client);
            auto failure = websocketpp::lib::error_code();
            auto connection = client.get_connection("ws://" + to_text(peer_) + "/peer", failure);
            if (!failure && !is_blocked()) {
                bind(connection);
                client.connect(connection);
                start_timer();
                loop_.run();
            }
        } catch (const std::exception&) {
            count(counter::peer_link_rejected);
        }
        finish();
    }

    auto run_incoming(file_descriptor accepted, bool is_v6) -> void {
        auto server = server_endpoint();
        try {
            prepare(server);
            auto connection = server.get_connection();
            bind(connection);
            connection->get_raw_socket().assign(is_v6 ? asio::ip::tcp::v6() : asio::ip::tcp::v4(),
                                                accepted.value());
            (void)accepted.release();
            connection->start();
            start_timer();
            loop_.run();
        } catch (const std::exception&) {
            count(counter::peer_link_rejected);
        }
        finish();
    }

    template <typename Endpoint>
    auto prepare(Endpoint& side) -> void {
        side.clear_access_channels(websocketpp::log::alevel::all);
        side.clear_error_channels(websocketpp::log::elevel::all);
        side.init_asio(&loop_);
        side.set_max_message_size(frame_limit + mac_size);
        side.set_open_handshake_timeout(handshake_timeout_ms);
        side.set_close_handshake_timeout(timer_interval_ms);
    }

    // Binds the handlers of a connection. The functions that use the connection are stored without its type,
    // because the two directions have different types.
    template <typename Connection>
    auto bind(const Connection& connection) -> void {
        connection->set_open_handler([this](const websocketpp::connection_hdl&) { send_hello(); });
        connection->set_fail_handler([this](const websocketpp::connection_hdl&) { end_loop(); });
        connection->set_close_handler([this, raw = connection.get()](const websocketpp::connection_hdl&) {
            if (raw->get_local_close_code() == websocketpp::close::status::message_too_big) {
                count(counter::peer_link_rejected);
            }
            end_loop();
        });
        connection->set_message_handler([this](const websocketpp::connection_hdl&, const auto& message) {
            receive(message->get_payload());
        });
        write_ = [raw = connection.get()](const std::string& frame) {
            return !raw->send(frame.data(), frame.size(), websocketpp::frame::opcode::binary);
        };
        unsent_bytes_ = [raw = connection.get()] { return raw->get_buffered_amount(); };
        terminate_ = [raw = connection.get()] {
            auto failure = websocketpp::lib::error_code();
            raw->close(websocketpp::close::status::going_away, "", failure);
        };
        connection_ = connection;
    }

    auto is_blocked() const -> bool {
        return owner_.options_.is_blocked && owner_.options_.is_blocked(peer_);
    }

    // The first message of each side, without a code: name, address and a nonce. Both hellos are part of the
    // session that later codes cover, so a recorded session cannot be replayed.
    auto send_hello() -> void {
        own_hello_ = encode({{"n", owner_.options_.self.name},
                             {"p", to_text(owner_.options_.self.peer)},
                             {"c", random_bytes_text()}});
        write(own_hello_);
    }

    static auto random_bytes_text() -> nlohmann::json {
        const auto bytes = random_bytes(nonce_size);
        return nlohmann::json::binary({bytes.begin(), bytes.end()});
    }

    auto receive(const std::string& frame) -> void {
        count(counter::control_bytes_received, frame.size() + header_bytes);
        last_receive_ms_ = now().value;
        if (is_blocked()) {
            return;
        }
        try {
            if (peer_hello_.empty()) {
                receive_hello(frame);
            } else {
                receive_sealed(frame);
            }
        } catch (const nlohmann::json::exception&) {
            reject(counter::peer_link_rejected);
        }
    }

    auto receive_hello(const std::string& frame) -> void {
        const auto hello = read_cbor(frame);
        const auto name = hello.at("n").get<std::string>();
        const auto peer = parse_endpoint(hello.at("p").get<std::string>());
        const auto is_expected = !is_outgoing_ || name == this->name();
        if (frame.size() > hello_limit || !peer || hello.at("c").get_binary().size() != nonce_size ||
            !is_expected) {
            reject(counter::peer_link_rejected);
            return;
        }
        {
            const auto lock = std::lock_guard(mutex_);
            name_ = name;
        }
        peer_ = *peer;
        peer_hello_ = frame;
        const auto& first = is_outgoing_ ? own_hello_ : peer_hello_;
        const auto& second = is_outgoing_ ? peer_hello_ : own_hello_;
        // CBOR documents are self-delimiting, so their concatenation identifies one pair of hellos.
        session_ = to_hex(compute_digest(bytes_of(first + second)));
        write_sealed(encode({{"y", "proof"}}));
    }

    auto receive_sealed(const std::string& frame) -> void {
        const auto& keys = owner_.options_.keys;
        auto payload = std::string_view(frame);
        if (has_key(keys)) {
            if (payload.size() < mac_size) {
                reject(counter::peer_link_rejected);
                return;
            }
            const auto mac = payload.substr(payload.size() - mac_size);
            payload.remove_suffix(mac_size);
            const auto text = signed_text(!is_outgoing_, received_, payload);
            if (!verify_mac(keys, bytes_of(text), bytes_of(mac))) {
                reject(counter::peer_link_rejected);
                return;
            }
        }
        ++received_;
        const auto message = read_cbor(payload);
        const auto type = message.at("y").get<std::string>();
        if (!is_authenticated_) {
            if (type != "proof") {
                reject(counter::peer_link_rejected);
                return;
            }
            is_authenticated_ = true;
            is_ready_ = true;
            owner_.replace_older(*this);
            flush();
            if (owner_.options_.on_open && is_ready()) {
                owner_.options_.on_open(name());
            }
            return;
        }
        if (type == keepalive_message) {
            return;
        }
        last_use_ms_ = now().value;
        owner_.options_.on_message(name(), type, message.at("b"));
    }

    // The authenticated text of a frame: session, direction, number and payload. Its label keeps codes of
    // datagrams and of the admin port from being valid here.
    auto signed_text(bool is_from_client, std::uint64_t number, std::string_view payload) const
        -> std::string {
        auto text =
            "agatepost-link\n" + session_ + (is_from_client ? "\nc" : "\ns") + std::to_string(number) + "\n";
        text.append(payload);
        return text;
    }

    auto write_sealed(std::string payload) -> void {
        const auto& keys = owner_.options_.keys;
        if (has_key(keys)) {
            const auto text = signed_text(is_outgoing_, sent_, payload);
            const auto mac = compute_mac(*keys.current, bytes_of(text));
            payload.append(mac.begin(), mac.end());
        }
        ++sent_;
        write(payload);
    }

    auto write(const std::string& frame) -> void {
        last_write_ms_ = now().value;
        count(counter::control_bytes_sent, frame.size() + header_bytes);
        if (!write_(frame)) {
            close();
        }
    }

    auto flush() -> void {
        while (is_authenticated_ && !is_closing_) {
            auto payload = std::string();
            {
                const auto lock = std::lock_guard(mutex_);
                if (queue_.empty()) {
                    break;
                }
                payload = std::move(queue_.front());
                queue_.pop_front();
                queued_bytes_ -= payload.size();
            }
            if (is_blocked()) {
                continue;
            }
            if (unsent_bytes_() + payload.size() > queue_limit) {
                reject(counter::peer_link_slow);
                return;
            }
            write_sealed(std::move(payload));
        }
    }

    auto reject(counter reason) -> void {
        count(reason);
        close();
    }

    auto close() -> void {
        is_closing_ = true;
        if (terminate_) {
            terminate_();
        }
        // A peer that does not receive the closing frame must not block this thread.
        end_timer_ = std::make_unique<asio::steady_timer>(loop_, std::chrono::milliseconds(100));
        end_timer_->async_wait([this](const auto&) { end_loop(); });
    }

    auto end_loop() -> void {
        is_closing_ = true;
        loop_.stop();
    }

    // Keeps an idle direction alive: each side may send over a different link, so a link in use can be silent
    // in one direction.
    auto send_keepalive(std::int64_t at) -> void {
        if (is_authenticated_ && at - last_write_ms_ >= keepalive_interval_ms && !is_blocked()) {
            write_sealed(encode({{"y", std::string(keepalive_message)}, {"b", nullptr}}));
        }
    }

    auto start_timer() -> void {
        timer_ = std::make_unique<asio::steady_timer>(loop_, std::chrono::milliseconds(timer_interval_ms));
        timer_->async_wait([this](const auto& failure) {
            if (failure || is_closing_) {
                return;
            }
            const auto at = now().value;
            if (!is_authenticated_ && at - start_ms_ > handshake_timeout_ms) {
                reject(counter::peer_link_rejected);
            } else if (at - last_receive_ms_ > silence_limit_ms) {
                reject(counter::peer_link_silent);
            } else {
                send_keepalive(at);
                start_timer();
            }
        });
    }

    auto finish() -> void {
        is_closing_ = true;
        is_ended_ = true;
        write_ = nullptr;
        unsent_bytes_ = nullptr;
        terminate_ = nullptr;
        timer_.reset();
        end_timer_.reset();
        connection_.reset();
    }

    peer_links& owner_;
    bool is_outgoing_;
    asio::io_service loop_;
    std::thread thread_;
    std::unique_ptr<asio::steady_timer> timer_;
    std::unique_ptr<asio::steady_timer> end_timer_;
    std::shared_ptr<void> connection_;  // the connection
    std::function<bool(const std::string&)> write_;
    std::function<std::size_t()> unsent_bytes_;
    std::function<void()> terminate_;
    endpoint peer_;
    std::string own_hello_;
    std::string peer_hello_;
    std::string session_;
    std::uint64_t sent_ = 0;
    std::uint64_t received_ = 0;
    bool is_authenticated_ = false;
    std::int64_t start_ms_ = now().value;
    std::int64_t last_receive_ms_ = now().value;
    std::int64_t last_write_ms_ = now().value;
    std::atomic<std::int64_t> last_use_ms_{now().value};
    std::atomic<bool> is_ready_{false};
    std::atomic<bool> is_closing_{false};
    std::atomic<bool> is_ended_{false};
    mutable std::mutex mutex_;
    std::string name_;
    std::deque<std::string> queue_;
    std::size_t queued_bytes_ = 0;
};

peer_links::peer_links(peer_link_options options) : options_(std::move(options)) {}

peer_links::~peer_links() {
    stop();
}

auto peer_links::start() -> result<void> {
    const auto& local = options_.self.peer;
    const auto failed = [&](const char* step) {
        return make_error(error_kind::network,
                          std::string(step) + " " + to_text(local) + ": " + std::strerror(errno),
                          "check that --peer-address is this machine's and that the port is free");
    };
    listener_ = file_descriptor(
        ::socket(local.address.is_v6 ? AF_INET6 : AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
    const auto on = 1;
    ::setsockopt(listener_.value(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    auto address = sockaddr_storage{};
    const auto length = to_socket_address(local, address);
    if (::bind(listener_.value(), reinterpret_cast<sockaddr*>(&address), length) != 0 ||
        ::listen(listener_.value(), SOMAXCONN) != 0) {
        return failed("cannot listen on TCP address");
    }
    acceptor_ = std::thread([this] { run_acceptor(); });
    maintainer_ = std::thread([this] { run_maintenance(); });
    return {};
}

auto peer_links::stop() -> void {
    is_done_ = true;
    if (acceptor_.joinable()) {
        acceptor_.join();
    }
    if (maintainer_.joinable()) {
        maintainer_.join();
    }
    auto links = std::vector<std::shared_ptr<peer_link>>{};
    {
        const auto lock = std::lock_guard(mutex_);
        links.swap(links_);
        sending_links_.clear();
    }
    for (const auto& link : links) {
        link->request_close();
    }
    for (const auto& link : links) {
        link->join();
    }
}

auto peer_links::run_acceptor() -> void {
    while (!is_done_) {
        auto waiting = pollfd{listener_.value(), POLLIN, 0};
        if (::poll(&waiting, 1, accept_poll_ms) <= 0) {
            continue;
        }
        auto accepted = file_descriptor(::accept4(listener_.value(), nullptr, nullptr, SOCK_CLOEXEC));
        if (accepted.value() < 0) {
            continue;
        }
        const auto lock = std::lock_guard(mutex_);
        if (links_.size() >= incoming_limit) {
            count(counter::peer_link_rejected);
            continue;
        }
        links_.push_back(std::make_shared<peer_link>(*this, false));
        links_.back()->start_incoming(std::move(accepted), options_.self.peer.address.is_v6);
    }
}

auto peer_links::run_maintenance() -> void {
    while (!is_done_) {
        remove_ended_links();
        connect_wanted();
        std::this_thread::sleep_for(maintenance_interval);
    }
}

auto peer_links::remove_ended_links() -> void {
    auto ended = std::vector<std::shared_ptr<peer_link>>{};
    {
        const auto lock = std::lock_guard(mutex_);
        for (auto i = links_.begin(); i != links_.end();) {
            const auto& link = *i;
            if (link->is_ended()) {
                const auto used = sending_links_.find(link->name());
                if (used != sending_links_.end() && (used->second == nullptr || used->second == link)) {
                    sending_links_.erase(used);
                }
                ended.push_back(link);
                i = links_.erase(i);
                continue;
            }
            const auto is_idle = link->is_outgoing() && link->idle_ms() > idle_limit_ms;
            if (is_idle && link->is_usable() && wanted_.count(link->name()) == 0) {
                link->request_close();
            }
            ++i;
        }
    }
    for (const auto& link : ended) {
        link->join();
    }
}

auto peer_links::connect_wanted() -> void {
    const auto lock = std::lock_guard(mutex_);
    const auto at = now().value;
    for (const auto& [name, host] : wanted_) {
        if (find_link(name) != nullptr || at - last_attempt_ms_[name] < reconnect_interval_ms) {
            continue;
        }
        last_attempt_ms_[name] = at;
        (void)link_to(host);
    }
}

auto peer_links::find_link(const std::string& name) -> std::shared_ptr<peer_link> {
    auto& used = sending_links_[name];
    if (used != nullptr && used->accepts_messages()) {
        return used;
    }
    used = nullptr;
    for (const auto& link : links_) {
        if (link->accepts_messages() && link->name() == name && (used == nullptr || link->is_ready())) {
            used = link;
        }
    }
    return used;
}

auto peer_links::link_to(const host_record& host) -> std::shared_ptr<peer_link> {
    auto link = find_link(host.name);
    if (link == nullptr) {
        link = std::make_shared<peer_link>(*this, true);
        links_.push_back(link);
        sending_links_[host.name] = link;
        link->start_outgoing(host);
    }
    return link;
}

// Closes older links that the same side opened, and moves their unsent messages to the new one. A host opens
// a second link only after its first one failed, which the peer may not have detected yet. Links opened by
// different sides are both kept: closing one would lose the frames in transit on it.
auto peer_links::replace_older(peer_link& ready) -> void {
    const auto lock = std::lock_guard(mutex_);
    const auto name = ready.name();
    for (const auto& link : links_) {
        const auto is_older = link.get() != &ready && link->is_ready() && link->name() == name &&
                              link->is_outgoing() == ready.is_outgoing();
        if (!is_older) {
            continue;
        }
        link->request_close();
        for (auto& payload : link->extract_queue()) {
            ready.send(std::move(payload));
        }
    }
}

auto peer_links::set_wanted(const std::vector<host_record>& hosts) -> void {
    const auto lock = std::lock_guard(mutex_);
    wanted_.clear();
    for (const auto& host : hosts) {
        wanted_.emplace(host.name, host);
    }
}

auto peer_links::send(const host_record& to, std::string_view type, const nlohmann::json& body) -> void {
    auto payload = encode({{"y", std::string(type)}, {"b", body}});
    if (payload.size() > frame_limit) {
        count(counter::drop_peer_message);
        return;
    }
    // Queued under the lock, so that replace_older does not take the link's queue in between.
    const auto lock = std::lock_guard(mutex_);
    link_to(to)->send(std::move(payload));
}

auto peer_links::send_if_open(const std::string& name, std::string_view type, const nlohmann::json& body)
    -> bool {
    auto payload = encode({{"y", std::string(type)}, {"b", body}});
    if (payload.size() > frame_limit) {
        count(counter::drop_peer_message);
        return false;
    }
    const auto lock = std::lock_guard(mutex_);
    const auto is_open = std::any_of(links_.begin(), links_.end(), [&](const auto& link) {
        return link->is_ready() && link->name() == name;
    });
    const auto link = is_open ? find_link(name) : nullptr;
    if (link == nullptr) {
        return false;
    }
    link->send(std::move(payload));
    return true;
}

auto peer_links::open_names() const -> std::vector<std::string> {
    const auto lock = std::lock_guard(mutex_);
    auto names = std::vector<std::string>{};
    for (const auto& link : links_) {
        if (link->is_ready()) {
            names.push_back(link->name());
        }
    }
    std::sort(names.begin(), names.end());
    names.erase(std::unique(names.begin(), names.end()), names.end());
    return names;
}

}  // namespace agatepost
