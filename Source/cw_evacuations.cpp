#include "cw_evacuations.h"

#include "cw_replication_lag.h"

#include <utility>

namespace {

using namespace std::chrono_literals;

/// Part of the bound for which owners get requests until their keys have moved; the rest is for
/// the way of the evacuation from the store to the host.
constexpr int keyed_time_divisor = 3;
/// Time after the return for which upstreams count as just started. Their entries may arrive later
/// than the removal of the evacuation, by at most the lag of a host's copy (1.4 s).
constexpr auto just_returned_time = 1'500ms;
/// Time after which a name that is no known failure domain is reported. A host that starts learns
/// the names before the upstreams' entries.
constexpr auto unknown_report_delay = 2s;

std::string text_of(cw_store_position position) {
    return "revision " + std::to_string(position.revision) + " of era " +
           std::to_string(position.era);
}

std::string text_of(std::chrono::nanoseconds time) {
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(time).count()) +
           " ms";
}

} // namespace

bool cw_evacuations::on_names(const std::set<std::string>& names, cw_store_position position,
                              milliseconds lag, cw_boot_time now) {
    bool changed = false;
    for (auto known = names_.begin(); known != names_.end();) {
        if (names.contains(known->first)) {
            ++known;
            continue;
        }
        if (evacuated_.erase(known->first) != 0) {
            end(known->first, known->second, position, now);
            changed = true;
        }
        known = names_.erase(known);
    }
    for (const auto& name : names) {
        const auto [known, is_new] = names_.try_emplace(name, evacuation{now, position, lag});
        if (is_new && domains_.contains(name)) {
            start(name, known->second);
            changed = true;
        }
    }
    return changed;
}

bool cw_evacuations::on_domains(const std::set<std::string>& domains) {
    domains_ = domains;
    bool changed = false;
    // A domain stays evacuated when its last entry goes.
    for (const auto& [name, known] : names_) {
        if (domains_.contains(name) && !evacuated_.contains(name)) {
            start(name, known);
            changed = true;
        }
    }
    return changed;
}

void cw_evacuations::on_tick(cw_boot_time now) {
    std::erase_if(returned_, [now](const auto& item) { return now >= item.second; });
    for (auto& [name, known] : names_) {
        if (!known.is_unknown_reported && !evacuated_.contains(name) &&
            now >= known.learned_at + unknown_report_delay) {
            known.is_unknown_reported = true;
            events_.push_back(
                {"evacuation of an unknown failure domain ignored", name, text_of(known.position)});
        }
    }
}

bool cw_evacuations::has_unknown_name() const {
    return names_.size() != evacuated_.size();
}

void cw_evacuations::start(const std::string& domain, const evacuation& known) {
    evacuated_.emplace(domain, known.learned_at + bound_ / keyed_time_divisor);
    returned_.erase(domain);
    // A host that has just started has no earlier copy.
    const auto age = known.lag == cw_replication_lag::unknown
                         ? std::string{"of unknown age"}
                         : "at most " + text_of(known.lag) + " old";
    events_.push_back({"failure domain evacuated", domain, text_of(known.position) + ", " + age});
}

void cw_evacuations::end(const std::string& domain, const evacuation& known,
                         cw_store_position position, cw_boot_time now) {
    returned_[domain] = now + just_returned_time;
    events_.push_back({"failure domain returned to service", domain,
                       text_of(position) + ", evacuated for " + text_of(now - known.learned_at)});
}

std::vector<cw_timeline_event> cw_evacuations::take_events() {
    return std::exchange(events_, {});
}
