#include <algorithm>
#include <chrono>
#include <random>

#include "core/log_func.h"
#include "flow/hash_func.h"
#include "peer/peer_node_base.h"

namespace agatepost {

namespace {

constexpr int receive_timeout_ms = 100;
constexpr auto timer_interval = std::chrono::milliseconds(25);
constexpr std::string_view user_message = "msg";  // datagrams of other modules; others belong to membership

constexpr std::size_t logged_names = 16;  // all names of a large zone take many kilobytes

auto first_names(const host_view& view) -> std::string {
    auto names = std::string();
    for (auto i = std::size_t{0}; i < std::min(logged_names, view.hosts.size()); ++i) {
        names += (i == 0 ? "" : ",") + view.hosts[i].name;
    }
    return names;
}

// Returns the admin address that peers can use: nothing if the system assigns the port or the address is a
// wildcard.
auto advertised_admin_address(const endpoint& admin) -> std::optional<endpoint> {
    const auto& bytes = admin.address.bytes;
    const auto is_wildcard = std::all_of(bytes.begin(), bytes.end(), [](auto byte) { return byte == 0; });
    return admin.port == 0 || is_wildcard ? std::nullopt : std::optional<endpoint>(admin);
}

}  // namespace

auto read_peer_node_options(const settings& options) -> result<peer_node_options> {
    auto node = peer_node_options{};
    const auto keys = auth_keys_of(options);
    if (!keys) {
        return tl::unexpected<error>(keys.error());
    }
    node.keys = *keys;
    auto& self = node.member.self;
    self.name = options.text("name");
    self.zone = options.text("zone");
    self.data = options.address("data-address");
    self.peer = options.address("peer-address");
    self.admin = advertised_admin_address(options.address("admin-address"));
    self.name_hash = stable_hash(self.name);
    self.incarnation = static_cast<std::uint64_t>(wall_clock_ms());
    for (const auto& text : options.list("peers")) {
        const auto seed = parse_endpoint(text);
        if (!seed) {
            return make_error(error_kind::invalid_setting, "--peers: " + seed.error().message,
                              seed.error().remedy);
        }
        node.member.seeds.push_back(*seed);
    }
    node.member.random_seed = std::random_device{}();
    return node;
}

auto peer_node::open(peer_node_options options, published<host_view>& view)
    -> result<std::unique_ptr<peer_node>> {
    auto socket = open_udp_socket(options.member.self.peer, false);
    if (!socket) {
        return tl::unexpected<error>(socket.error());
    }
    return std::unique_ptr<peer_node>(new peer_node(std::move(options), std::move(*socket), view));
}

peer_node::peer_node(peer_node_options options, file_descriptor socket, published<host_view>& view)
    : options_(std::move(options)),
      view_(view),
      socket_(std::move(socket), options_.member.self.peer, options_.keys, options_.is_blocked),
      members_(options_.member, view,
               [this](const endpoint& to, const nlohmann::json& message) { socket_.send(to, message); }),
      links_(peer_link_options{options_.member.self, options_.keys,
                               [this](const std::string& sender, const std::string& type,
                                      const nlohmann::json& body) { dispatch(sender, type, body); },
                               [this](const std::string& name) {
                                   for (const auto& callback : on_open_) {
                                       callback(name);
                                   }
                               },
                               options_.is_blocked}) {
    channel_.subscribe = [this](std::string_view type, peer_handler handler) {
        handlers_[std::string(type)].push_back(std::move(handler));
    };
    channel_.send = [this](const host_record& to, std::string_view type, const nlohmann::json& body) {
        socket_.send(to.peer, {{"t", std::string(user_message)},
                               {"n", options_.member.self.name},
                               {"y", std::string(type)},
                               {"b", body}});
    };
    channel_.send_reliable = [this](const host_record& to, std::string_view type,
                                    const nlohmann::json& body) {
        if (to.name == options_.member.self.name) {
            dispatch(to.name, std::string(type), body);
            return;
        }
        links_.send(to, type, body);
    };
}

peer_node::~peer_node() {
    stop();
}

auto peer_node::start() -> result<void> {
    if (!has_key(options_.keys)) {
        write_log(log_event::messages_unauthenticated,
                  {{"remedy", "set AGATEPOST_KEY to the same 64 hexadecimal digits on all hosts"}});
    }
    auto listening = links_.start();
    if (!listening) {
        return listening;
    }
    receiver_ = std::thread([this] { run_receiver(); });
    timer_ = std::thread([this] { run_timer(); });
    return {};
}

auto peer_node::stop() -> void {
    is_done_ = true;
    if (receiver_.joinable()) {
        receiver_.join();
    }
    if (timer_.joinable()) {
        timer_.join();
    }
    links_.stop();
}

auto peer_node::run_receiver() -> void {
    while (!is_done_) {
        const auto received = socket_.receive(receive_timeout_ms);
        if (!received) {
            continue;
        }
        try {
            if (received->message.at("t") == user_message) {
                receive_message(received->message);
            } else {
                members_.on_message(received->from, received->message);
            }
        } catch (const nlohmann::json::exception&) {
            count(counter::drop_peer_message);
        }
    }
}

auto peer_node::run_timer() -> void {
    auto logged = std::uint64_t{0};
    while (!is_done_) {
        members_.run_due(now());
        const auto view = view_.load();
        if (view->version != logged) {
            logged = view->version;
            write_log(log_event::view_changed, {{"version", std::to_string(view->version)},
                                                {"total", std::to_string(view->hosts.size())},
                                                {"hosts", first_names(*view)}});
        }
        std::this_thread::sleep_for(timer_interval);
    }
}

auto peer_node::receive_message(const nlohmann::json& message) -> void {
    dispatch(message.at("n").get<std::string>(), message.at("y").get<std::string>(), message.at("b"));
}

auto peer_node::dispatch(const std::string& sender, const std::string& type, const nlohmann::json& body)
    -> void {
    const auto found = handlers_.find(type);
    if (found == handlers_.end()) {
        count(counter::drop_peer_message);
        return;
    }
    for (const auto& handler : found->second) {
        handler(sender, body);
    }
}

}  // namespace agatepost
