#include "cw_keeper_io.h"

#include "cw_async.h"
#include "cw_caf_messages.h"
#include "cw_host_list.h"
#include "cw_kernel.h"
#include "cw_lease_codec.h"
#include "cw_peer_codec.h"
#include "cw_query.h"
#include "cw_store_key.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/http/field.hpp>
#include <caf/event_based_actor.hpp>
#include <caf/send.hpp>
#include <nlohmann/json.hpp>

namespace net = boost::asio;
namespace http = boost::beast::http;

namespace {

using namespace std::chrono_literals;

constexpr auto grant_timeout = 300ms;
constexpr auto store_timeout = 1s;
constexpr auto config_timeout = 5s;
constexpr auto watch_timeout = 10s;
/// Short, since hand-overs resume as soon as the store responds to one keeper, and routers that
/// receive the resulting tables later than that refuse requests.
constexpr auto retry_delay = 100ms;
constexpr auto host_poll_interval = 500ms;
constexpr auto max_wait = 20s;
constexpr std::size_t max_datagram_size = 65'000;

auto now() {
    return std::chrono::steady_clock::now();
}

} // namespace

cw_keeper_io::cw_keeper_io(net::io_context& context, cw_kernel& kernel,
                           const cw_keeper_options& options, std::uint64_t incarnation)
    : context_{context},
      kernel_{kernel},
      options_{options},
      incarnation_{incarnation},
      timeline_{options.host, options.domain, "keeper"},
      http_client_{context},
      grant_client_{context},
      store_{http_client_, options.platform},
      config_source_{store_},
      server_{context, options.listen,
              [this](cw_http_request request) { return serve(std::move(request)); }},
      peer_socket_{context, options.listen.udp()},
      routes_changed_{context} {}

void cw_keeper_io::start() {
    const auto io = kernel_.system().spawn([this](caf::event_based_actor*) -> caf::behavior {
        return {[this](const cw_keeper_output_ptr& output) {
            net::post(context_, [this, output] { apply(*output); });
        }};
    });
    kernel_.add("io", io);
    kernel_.add("control", cw_start_keeper_control(kernel_, options_, incarnation_));
    server_.start();
    net::co_spawn(context_, receive_peers(), net::detached);
    net::co_spawn(context_, poll_hosts(), net::detached);
    watched_keys_.insert(std::string{cw_config_head_key});
    wanted_keys_ = watched_keys_;
    net::co_spawn(context_, watch_config(), net::detached);
    timeline_.add({"started", options_.host, "incarnation " + std::to_string(incarnation_)},
                  std::chrono::system_clock::now());
}

void cw_keeper_io::begin_stop() {
    stopping_ = true;
    deliver(cw_stop_event{});
}

std::string cw_keeper_io::status() const {
    const std::scoped_lock lock{status_mutex_};
    return status_;
}

void cw_keeper_io::deliver(cw_keeper_event event) {
    caf::anon_send(kernel_.find("control"),
                   cw_keeper_event_ptr{std::make_shared<const cw_keeper_event>(std::move(event))});
}

void cw_keeper_io::apply(const cw_keeper_output& output) {
    for (const auto& command : output.commands) {
        execute(command);
    }
    if (output.watched) {
        wanted_keys_ = {output.watched->begin(), output.watched->end()};
        for (const auto& key : wanted_keys_) {
            if (watched_keys_.insert(key).second) {
                net::co_spawn(context_, key == cw_config_head_key ? watch_config() : watch(key),
                              net::detached);
            }
        }
    }
    if (output.routes) {
        route_tables_ = output.routes;
        publish();
    }
    if (output.status) {
        auto status = nlohmann::json::parse(*output.status);
        status["control_bytes"] = peer_bytes_ + grant_client_.bytes();
        status["store_bytes"] = http_client_.bytes();
        const std::scoped_lock lock{status_mutex_};
        status_ = status.dump();
    }
}

void cw_keeper_io::publish() {
    if (!route_tables_) {
        return;
    }
    auto state = nlohmann::json::parse(*route_tables_);
    state.update(cw_make_config_bundle(config_files_, config_version_));
    state["run"] = incarnation_;
    state["revision"] = ++revision_;
    routes_ = state.dump();
    routes_changed_.notify_all();
}

void cw_keeper_io::execute(const cw_keeper_command& command) {
    if (const auto* peer = std::get_if<cw_send_peer_command>(&command)) {
        send_peer(*peer);
    } else if (const auto* grant = std::get_if<cw_send_grant_command>(&command)) {
        net::co_spawn(context_, send_grant(grant->grant), net::detached);
    } else if (const auto* change = std::get_if<cw_write_command>(&command)) {
        net::co_spawn(context_, write(*change), net::detached);
    } else if (const auto* query = std::get_if<cw_read_command>(&command)) {
        net::co_spawn(context_, read(query->key), net::detached);
    } else if (const auto* event = std::get_if<cw_timeline_event>(&command)) {
        timeline_.add(*event, std::chrono::system_clock::now());
    } else if (const auto* fetch = std::get_if<cw_fetch_config_command>(&command)) {
        net::co_spawn(context_, fetch_config(*fetch), net::detached);
    } else if (const auto* table_fetch = std::get_if<cw_fetch_table_command>(&command)) {
        net::co_spawn(context_, fetch_table(*table_fetch), net::detached);
    } else if (std::holds_alternative<cw_stopped_command>(command)) {
        log_.info("All rights are released; the process stops.");
        context_.stop();
    }
}

void cw_keeper_io::send_peer(const cw_send_peer_command& command) {
    const auto known = addresses_.find(command.to);
    const auto address =
        known == addresses_.end() ? std::nullopt : cw_address::parse(known->second);
    if (!address) {
        return;
    }
    const auto datagram = cw_encode_peer_message({{options_.host, incarnation_}, command.body});
    boost::system::error_code ignored;
    peer_socket_.send_to(net::buffer(datagram), address->udp(), 0, ignored);
    peer_bytes_ += datagram.size();
}

net::awaitable<void> cw_keeper_io::send_grant(cw_lease_grant grant) {
    cw_http_request request{http::verb::post, "/lease", 11};
    request.set(http::field::host, grant.address);
    request.body() = cw_encode_grant(grant);
    const auto response =
        co_await grant_client_.request(grant.address, std::move(request), now() + grant_timeout);
    cw_lease_reply reply;
    if (response && response->result() == http::status::ok) {
        reply = cw_decode_reply(response->body()).value_or(reply);
    }
    reply.upstream = grant.upstream;
    reply.exchange = grant.exchange;
    deliver(reply);
}

net::awaitable<void> cw_keeper_io::write(cw_write_command command) {
    const auto outcome = co_await store_.write(command.key, command.value, command.expected_version,
                                               now() + store_timeout);
    deliver(cw_write_event{command.key, command.writer, outcome});
}

net::awaitable<void> cw_keeper_io::read(std::string key) {
    const auto sent = now();
    const auto value = co_await store_.read(key, sent + store_timeout);
    if (value) {
        deliver_value(key, *value, sent);
    }
}

void cw_keeper_io::deliver_value(const std::string& key, const cw_store_value& value,
                                 cw_time_point sent) {
    if (key.starts_with("ring/")) {
        cw_ring empty;
        empty.domain = key.substr(std::string_view{"ring/"}.size());
        const auto ring =
            value.version == 0 ? cw_result<cw_ring>{empty} : cw_ring::parse(value.value);
        if (ring) {
            deliver(cw_ring_event{*ring, value.version, sent});
        } else {
            log_.error("Ring record cannot be parsed.", {{"error", ring.error().text()}});
        }
    } else if (value.version != 0) {
        accept_table(value, false);
    }
}

void cw_keeper_io::accept_table(const cw_store_value& value, bool from_peer) {
    const auto table = cw_slice_table::parse(value.value);
    if (!table) {
        log_.error("Slice table cannot be parsed.", {{"error", table.error().text()}});
        return;
    }
    auto& known = table_texts_[table->service()];
    if (value.version > known.version) {
        known = value;
    }
    deliver(cw_table_event{*table, value.version, from_peer});
}

net::awaitable<void> cw_keeper_io::fetch_table(cw_fetch_table_command command) {
    const auto known = addresses_.find(command.from);
    if (known == addresses_.end()) {
        log_.warning("A table cannot be fetched.",
                     {{"peer", command.from}, {"reason", "its address is not known"}});
        co_return;
    }
    cw_http_request request{http::verb::get, "/v1/table?service=" + command.service, 11};
    request.set(http::field::host, known->second);
    const auto response =
        co_await http_client_.request(known->second, std::move(request), now() + store_timeout);
    const auto body = response ? nlohmann::json::parse(response->body(), nullptr, false)
                               : nlohmann::json(nullptr);
    const bool readable = body.is_object() && body.contains("version") &&
                          body["version"].is_number_unsigned() && body.contains("table") &&
                          body["table"].is_string();
    if (!readable) {
        log_.warning(
            "A table cannot be fetched.",
            {{"peer", command.from},
             {"reason", response ? "the response cannot be parsed" : response.error().text()}});
        co_return;
    }
    accept_table({body["version"].get<std::uint64_t>(), body["table"].get<std::string>()}, true);
}

net::awaitable<void> cw_keeper_io::watch(std::string key) {
    std::uint64_t known = 0;
    while (!stopping_ && wanted_keys_.contains(key)) {
        const auto value = co_await store_.watch(key, known, watch_timeout);
        if (!value) {
            co_await cw_pause(context_, retry_delay);
            continue;
        }
        if (value->version > known) {
            known = value->version;
            deliver_value(key, *value, cw_time_point::min());
        }
    }
    watched_keys_.erase(key);
}

net::awaitable<void> cw_keeper_io::watch_config() {
    const std::string key{cw_config_head_key};
    std::uint64_t known = 0;
    while (!stopping_ && wanted_keys_.contains(key)) {
        const auto value = co_await store_.watch(key, known, watch_timeout);
        if (!value) {
            co_await cw_pause(context_, retry_delay);
            continue;
        }
        if (value->version <= known) {
            continue;
        }
        const auto head = cw_config_head::parse(value->value);
        if (!head || head->version <= config_version_) {
            known = value->version;
            continue;
        }
        const bool loaded = co_await load_from_store(*head);
        if (loaded) {
            known = value->version;
        } else {
            co_await cw_pause(context_, retry_delay);
        }
    }
    watched_keys_.erase(key);
}

net::awaitable<bool> cw_keeper_io::load_from_store(cw_config_head head) {
    const auto loaded = co_await config_source_.load(std::move(head), now() + config_timeout);
    if (!loaded) {
        log_.warning("Configuration cannot be loaded.", {{"error", loaded.error().text()}});
        co_return false;
    }
    accept_config(*loaded);
    co_return true;
}

void cw_keeper_io::accept_config(const cw_loaded_config& loaded) {
    if (loaded.config->version <= config_version_) {
        return;
    }
    config_version_ = loaded.config->version;
    config_files_ = loaded.files;
    deliver(cw_config_event{loaded.config});
    publish();
}

net::awaitable<void> cw_keeper_io::fetch_config(cw_fetch_config_command command) {
    const auto found = addresses_.find(command.from);
    if (found == addresses_.end()) {
        co_return;
    }
    // Only files that this host lacks are transferred. The copy of the files is needed because
    // another version may be applied meanwhile.
    const auto known_files = config_files_;
    auto known_digests = nlohmann::json::array();
    for (const auto& file : known_files) {
        known_digests.push_back(cw_config_digest(file.text));
    }
    cw_http_request request{http::verb::post, "/v1/config", 11};
    request.set(http::field::host, found->second);
    request.body() = known_digests.dump();
    const auto response =
        co_await http_client_.request(found->second, std::move(request), now() + config_timeout);
    if (!response || response->result() != http::status::ok) {
        co_return;
    }
    const auto loaded = cw_parse_config_delta(response->body(), known_files);
    if (loaded) {
        accept_config(*loaded);
    } else {
        log_.warning("Configuration from a peer is rejected.",
                     {{"peer", command.from}, {"error", loaded.error().text()}});
    }
}

net::awaitable<void> cw_keeper_io::poll_hosts() {
    while (!stopping_) {
        const auto text = co_await store_.hosts(now() + store_timeout);
        if (text && !text->empty()) {
            const auto hosts = cw_parse_host_list(*text);
            if (hosts) {
                for (const auto& host : *hosts) {
                    if (host.kind == cw_host_kind::entry) {
                        addresses_[host.id] = host.address;
                    }
                }
                deliver(cw_hosts_event{*hosts});
            } else {
                log_.error("Host list cannot be parsed.", {{"error", hosts.error().text()}});
            }
        }
        co_await cw_pause(context_, host_poll_interval);
    }
}

net::awaitable<void> cw_keeper_io::receive_peers() {
    std::vector<std::uint8_t> buffer(max_datagram_size);
    net::ip::udp::endpoint sender;
    while (!stopping_) {
        boost::system::error_code failure;
        const auto size = co_await peer_socket_.async_receive_from(net::buffer(buffer), sender,
                                                                   cw_redirect_error(failure));
        if (failure) {
            continue;
        }
        auto message = cw_decode_peer_message({buffer.data(), size});
        if (message) {
            deliver(std::move(*message));
        } else {
            log_.warning("Peer message is malformed.", {{"error", message.error().text()}});
        }
    }
}

net::awaitable<cw_http_response> cw_keeper_io::serve_routes(std::string target) {
    const auto run = cw_query_number(target, "run", 0);
    const auto known = cw_query_number(target, "revision", 0);
    const std::chrono::milliseconds wait{cw_query_number(target, "wait_ms", 0)};
    const auto until = now() + std::min<std::chrono::milliseconds>(wait, max_wait);
    while ((routes_.empty() || (run == incarnation_ && known == revision_)) && now() < until) {
        co_await routes_changed_.wait(until);
    }
    if (routes_.empty()) {
        co_return cw_make_response(http::status::service_unavailable, "{}");
    }
    if (run == incarnation_ && known == revision_) {
        co_return cw_make_response(http::status::no_content, "");
    }
    co_return cw_make_response(http::status::ok, routes_);
}

cw_http_response cw_keeper_io::serve_config(const cw_http_request& request) const {
    if (request.method() != http::verb::post) {
        return cw_make_response(http::status::ok,
                                cw_make_config_bundle(config_files_, config_version_).dump());
    }
    const auto known_digests = nlohmann::json::parse(request.body(), nullptr, false);
    std::set<std::string> digests;
    for (const auto& digest : known_digests.is_array() ? known_digests : nlohmann::json::array()) {
        if (digest.is_string()) {
            digests.insert(digest.get<std::string>());
        }
    }
    return cw_make_response(http::status::ok,
                            cw_make_config_delta(config_files_, config_version_, digests).dump());
}

cw_http_response cw_keeper_io::serve_table(std::string_view target) const {
    const auto found = table_texts_.find(std::string{cw_query_value(target, "service")});
    if (found == table_texts_.end()) {
        return cw_make_response(http::status::not_found, "{}");
    }
    return cw_make_response(
        http::status::ok,
        nlohmann::json{{"version", found->second.version}, {"table", found->second.value}}.dump());
}

net::awaitable<cw_http_response> cw_keeper_io::serve(cw_http_request request) {
    const std::string target{request.target()};
    const auto path = cw_target_path(target);
    if (path == "/v1/routes") {
        co_return co_await serve_routes(target);
    }
    if (path == "/v1/config") {
        co_return serve_config(request);
    }
    if (path == "/v1/table") {
        co_return serve_table(target);
    }
    if (path == "/v1/status") {
        co_return cw_make_response(http::status::ok, status());
    }
    if (path == "/v1/timeline") {
        co_return cw_make_response(
            http::status::ok, timeline_.events_after(cw_query_number(target, "after", 0)).dump());
    }
    if (path == "/healthz") {
        co_return cw_make_response(http::status::ok, "ok\n", "text/plain");
    }
    if (path == "/readyz") {
        const bool ready = !stopping_ && config_version_ != 0;
        co_return cw_make_response(ready ? http::status::ok : http::status::service_unavailable,
                                   ready ? "ready\n" : "not ready\n", "text/plain");
    }
    co_return cw_make_response(http::status::not_found, "no such page\n", "text/plain");
}
