#include "cw_timeline.h"

#include "cw_log.h"

#include <nlohmann/json.hpp>

namespace {
/// Events kept per process. The operators' client collects events long before they are discarded.
constexpr std::size_t max_events = 4'000;
} // namespace

cw_timeline::cw_timeline(std::string host, std::string domain, std::string component)
    : host_{std::move(host)},
      domain_{std::move(domain)},
      component_{std::move(component)} {}

void cw_timeline::append(std::string json) {
    const std::scoped_lock lock{mutex_};
    entries_.push_back({next_sequence_++, std::move(json)});
    if (entries_.size() > max_events) {
        entries_.pop_front();
    }
}

void cw_timeline::add(const cw_timeline_event& event, std::chrono::system_clock::time_point at) {
    const auto micros =
        std::chrono::duration_cast<std::chrono::microseconds>(at.time_since_epoch()).count();
    const cw_log log{component_};
    log.info(event.type + ".",
             {{"host", host_}, {"subject", event.subject}, {"detail", event.detail}});
    append(nlohmann::json{{"time_us", micros},
                          {"host", host_},
                          {"domain", domain_},
                          {"part", component_},
                          {"what", event.type},
                          {"subject", event.subject},
                          {"detail", event.detail}}
               .dump());
}

void cw_timeline::add_external(const nlohmann::json& event) {
    append(event.dump());
}

nlohmann::json cw_timeline::events_after(std::uint64_t sequence) const {
    const std::scoped_lock lock{mutex_};
    auto list = nlohmann::json::array();
    for (const auto& item : entries_) {
        if (item.sequence > sequence) {
            auto event = nlohmann::json::parse(item.json);
            event["sequence"] = item.sequence;
            list.push_back(std::move(event));
        }
    }
    return list;
}
