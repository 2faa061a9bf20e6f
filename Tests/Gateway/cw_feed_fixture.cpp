#include "cw_feed_fixture.h"

#include <algorithm>

namespace {

using namespace std::chrono_literals;

constexpr std::uint16_t store_port = 27'980;
constexpr std::uint16_t store_link_port = 27'981;
constexpr std::uint16_t reader_port = 27'982;
constexpr std::uint16_t reader_link_port = 27'983;
/// Time after an outage within which expired entries are written again.
constexpr auto entry_return_time = 2'500ms;
/// Bound of evacuations; without effect while the feeds do not deliver any.
constexpr auto evacuation_bound = 5s;

cw_address address_of(std::uint16_t port) {
    return {boost::asio::ip::address_v4::loopback(), port};
}

std::string text_of(std::uint16_t port) {
    return "127.0.0.1:" + std::to_string(port);
}

} // namespace

cw_feed_fixture::host::host(boost::asio::io_context& context, const std::string& store_address,
                            std::string self)
    : http{context},
      store{http, store_address, [](const cw_error&, std::uint64_t) {}},
      feed{context, options, store, std::move(self),
           [this](const cw_control_event& event) { receive(event); }},
      control{{"host", 1, "127.0.0.1:1"},
              {"z", "127.0.0.1:1", 1.0},
              {},
              entry_return_time,
              1,
              evacuation_bound} {}

void cw_feed_fixture::host::write(const std::vector<cw_upstream_entry>& written) {
    for (const auto& entry : written) {
        entries[entry.id] = entry;
    }
}

bool cw_feed_fixture::host::uses(const std::string& id) const {
    const auto found = view->upstreams->find("gallery");
    return found != view->upstreams->end() &&
           std::any_of(found->second.begin(), found->second.end(),
                       [&](const auto& entry) { return entry.id == id; });
}

void cw_feed_fixture::host::receive(const cw_control_event& event) {
    const auto output = control.decide(event, cw_boot_clock::now());
    if (output.view != nullptr) {
        view = output.view;
        if (const auto list = view->upstreams->find("gallery"); list != view->upstreams->end()) {
            for (const auto& entry : list->second) {
                ever_listed.insert(entry.id);
            }
        }
    }
    if (const auto* config = std::get_if<cw_config_received>(&event)) {
        versions.insert(config->config->version());
    } else if (const auto* listed = std::get_if<cw_upstreams_listed>(&event)) {
        write(listed->entries);
    } else if (const auto* changed = std::get_if<cw_upstreams_changed>(&event)) {
        write(changed->written);
        for (const auto& id : changed->removed) {
            entries.erase(id);
        }
    }
}

cw_feed_fixture::cw_feed_fixture()
    : store{context, address_of(store_port)},
      store_link{context, address_of(store_link_port), address_of(store_port)},
      reader_link{context, address_of(reader_link_port), address_of(reader_port)},
      reader{context, text_of(store_link_port), text_of(reader_link_port)},
      follower{context, text_of(store_link_port), "127.0.0.1:1"},
      reader_server_{context, address_of(reader_port), [this](const cw_http_request& request) {
                         return reader.feed.serve(
                             std::string{request.target().data(), request.target().size()});
                     }} {}

void cw_feed_fixture::start() {
    store.start();
    store_link.start();
    reader_link.start();
    reader_server_.start();
    for (auto* peer : {&reader, &follower}) {
        peer->feed.on_readers({text_of(reader_link_port)});
        peer->feed.start();
    }
    run_for(600ms);
}

void cw_feed_fixture::run_for(std::chrono::milliseconds length) {
    constexpr auto tick_interval = 50ms;
    for (auto left = length; left > 0ms; left -= tick_interval) {
        context.run_for(std::min(left, tick_interval));
        reader.receive(cw_clock_tick{});
        follower.receive(cw_clock_tick{});
    }
}

void cw_feed_fixture::put_config(std::uint64_t version) {
    store.put("config", "main",
              {{"version", version},
               {"clusters", nlohmann::json::array()},
               {"listeners", nlohmann::json::array()}});
}

void cw_feed_fixture::put_upstream(const std::string& id, const std::string& state) {
    store.put("servers", id,
              {{"service", "gallery"},
               {"address", "10.0.0.9:8080"},
               {"zone", "z"},
               {"slots", 3},
               {"state", state},
               {"born", 1}});
}

void cw_feed_fixture::raise_revision(int count) {
    for (int i = 0; i < count; ++i) {
        store.put("other", "thing", {{"number", i}});
    }
}

void cw_feed_fixture::put_evacuation(const std::string& domain) {
    store.put("evacuations", domain, nullptr);
}

void cw_feed_fixture::set_evacuation_bound(std::chrono::milliseconds bound) {
    reader.options.evacuation_bound = bound;
    follower.options.evacuation_bound = bound;
}
