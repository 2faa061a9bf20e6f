#include "cw_feed_log.h"

#include "cw_upstream_delta.h"

namespace {

std::string text_of(std::chrono::milliseconds time) {
    return std::to_string(time.count());
}

} // namespace

void cw_feed_log::config_received(std::uint64_t version, std::uint64_t before,
                                  const std::string& source, const char* form,
                                  milliseconds call_time, milliseconds lag,
                                  milliseconds thread_wait) {
    log_.info("A newer configuration has been received.",
              {{"version", std::to_string(version)},
               {"before", std::to_string(before)},
               {"source", source},
               {"form", form},
               {"call_ms", text_of(call_time)},
               {"lag_ms", text_of(lag)},
               {"thread_wait_ms", text_of(thread_wait)}});
}

void cw_feed_log::departures_received(const cw_upstream_delta& delta, const std::string& source,
                                      milliseconds lag) {
    std::size_t count = delta.removed.size();
    std::string first = count == 0 ? "" : delta.removed.front();
    for (const auto& entry : delta.written) {
        if (entry.leaving) {
            first = count == 0 ? entry.id : first;
            ++count;
        }
    }
    if (count != 0) {
        log_.info("Upstreams are leaving or gone.",
                  {{"count", std::to_string(count)},
                   {"first", first},
                   {"source", source},
                   {"revision", std::to_string(delta.position.revision)},
                   {"lag_ms", text_of(lag)}});
    }
}

void cw_feed_log::lagging_copy_read(const char* subject, const std::string& source,
                                    milliseconds lag, const std::string& error) {
    log_.info(
        "The store has been read since the source is late.",
        {{"subject", subject}, {"source", source}, {"lag_ms", text_of(lag)}, {"error", error}});
}

void cw_feed_log::source_changed(const std::string& source, const std::string& before,
                                 const cw_store_position& position, milliseconds lag) {
    log_.info("The source of upstream entries has changed.",
              {{"source", source},
               {"before", before},
               {"era", std::to_string(position.era)},
               {"revision", std::to_string(position.revision)},
               {"lag_ms", text_of(lag)}});
}
