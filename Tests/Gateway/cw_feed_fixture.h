#pragma once

#include "cw_gateway_control.h"
#include "cw_gateway_feed.h"
#include "cw_link_standin.h"
#include "cw_platform.h"
#include "cw_platform_standin.h"

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>

/// A reader that reads the simulated store over a link, and a host that follows it over another.
struct cw_feed_fixture {
    /// One host's feed, with what it passed to the control state.
    struct host {
        host(boost::asio::io_context& context, const std::string& store_address, std::string self);

        cw_gateway_options options;
        cw_http_client http;
        cw_platform_store store;
        std::set<std::uint64_t> versions;
        /// The latest entry of each upstream.
        std::map<std::string, cw_upstream_entry> entries;
        cw_gateway_feed<cw_platform> feed;
        cw_gateway_control control;
        std::shared_ptr<const cw_gateway_view> view;
        /// Upstreams of the service "gallery" that any view has listed.
        std::set<std::string> ever_listed;

        void receive(const cw_control_event& event);
        /// True if requests may be sent to the upstream.
        [[nodiscard]] bool uses(const std::string& id) const;
        [[nodiscard]] bool is_evacuated(const std::string& domain) const {
            return view != nullptr && view->evacuations.is_evacuated(domain);
        }

    private:
        void write(const std::vector<cw_upstream_entry>& written);
    };

    cw_feed_fixture();

    /// Starts both feeds and waits until both know the configuration and the upstreams.
    void start();
    /// Runs both feeds, and ticks of both control states.
    void run_for(std::chrono::milliseconds length);
    void put_config(std::uint64_t version);
    void put_upstream(const std::string& id, const std::string& state);
    void put_evacuation(const std::string& domain);
    /// Sets the bound of evacuations at both hosts; 0 as in a deployment that has none.
    void set_evacuation_bound(std::chrono::milliseconds bound);
    /// Raises the store's revision by writes that concern no gateway.
    void raise_revision(int count);

    boost::asio::io_context context{1};
    cw_platform_standin store;
    cw_link_standin store_link;
    cw_link_standin reader_link;
    host reader;
    host follower;

private:
    cw_http_server reader_server_;
};
