#pragma once

#include "cw_async_condition.h"
#include "cw_config_source.h"
#include "cw_http_client.h"
#include "cw_http_server.h"
#include "cw_keeper_control.h"
#include "cw_keeper_event.h"
#include "cw_keeper_options.h"
#include "cw_log.h"
#include "cw_store_client.h"
#include "cw_timeline.h"

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>

class cw_kernel;

/// The keeper's I/O service: executes commands of the control service and sends it events.
class cw_keeper_io {
public:
    cw_keeper_io(boost::asio::io_context& context, cw_kernel& kernel,
                 const cw_keeper_options& options, std::uint64_t incarnation);

    /// Registers the service named "io" and begins to listen, watch and poll.
    void start();
    /// Requests the control service to release all rights; the io_context stops afterwards.
    void begin_stop();

    /// Status for operators as JSON; safe to call from any thread.
    [[nodiscard]] std::string status() const;
    [[nodiscard]] cw_timeline& timeline() { return timeline_; }
    void deliver(cw_keeper_event event);

private:
    void apply(const cw_keeper_output& output);
    void execute(const cw_keeper_command& command);
    void send_peer(const cw_send_peer_command& command);
    boost::asio::awaitable<void> send_grant(cw_lease_grant grant);
    boost::asio::awaitable<void> write(cw_write_command command);
    boost::asio::awaitable<void> read(std::string key);
    boost::asio::awaitable<void> watch(std::string key);
    boost::asio::awaitable<void> watch_config();
    boost::asio::awaitable<bool> load_from_store(cw_config_head head);
    boost::asio::awaitable<void> fetch_config(cw_fetch_config_command command);
    boost::asio::awaitable<void> fetch_table(cw_fetch_table_command command);
    /// Accepts the stored text of a table, keeps it unless a newer one is known, and delivers it.
    void accept_table(const cw_store_value& value, bool from_peer);
    /// Applies a full configuration if it is newer than the present one.
    void accept_config(const cw_loaded_config& loaded);
    boost::asio::awaitable<void> poll_hosts();
    boost::asio::awaitable<void> receive_peers();
    boost::asio::awaitable<cw_http_response> serve(cw_http_request request);
    boost::asio::awaitable<cw_http_response> serve_routes(std::string target);
    [[nodiscard]] cw_http_response serve_config(const cw_http_request& request) const;
    [[nodiscard]] cw_http_response serve_table(std::string_view target) const;
    void deliver_value(const std::string& key, const cw_store_value& value, cw_time_point sent);
    void publish();

    boost::asio::io_context& context_;
    cw_kernel& kernel_;
    cw_keeper_options options_;
    std::uint64_t incarnation_;
    cw_log log_{"keeper"};
    cw_timeline timeline_;
    cw_http_client http_client_;
    cw_http_client grant_client_;
    cw_store_client store_;
    cw_config_source config_source_;
    cw_http_server server_;
    boost::asio::ip::udp::socket peer_socket_;
    /// Notified when newer routes are published.
    cw_async_condition routes_changed_;
    std::map<std::string, std::string> addresses_;
    /// Store keys to watch. watched_keys_ holds those whose watch is running.
    std::set<std::string> wanted_keys_;
    std::set<std::string> watched_keys_;
    std::shared_ptr<const std::string> route_tables_;
    /// The newest stored table of each service, as text with its store version.
    std::map<std::string, cw_store_value> table_texts_;
    std::vector<cw_config_file> config_files_;
    std::uint64_t config_version_ = 0;
    std::string routes_;
    std::uint64_t revision_ = 0;
    std::uint64_t peer_bytes_ = 0;
    mutable std::mutex status_mutex_;
    std::string status_ = "{}";
    bool stopping_ = false;
};
