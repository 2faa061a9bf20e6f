#include "cw_gateway_traffic.h"

#include "cw_call_watch.h"
#include "cw_gateway_options.h"
#include "cw_load_collector.h"
#include "cw_select_upstream.h"
#include "cw_usual_service_time.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <set>
#include <string_view>
#include <utility>

namespace net = boost::asio;

namespace {
/// Share of the retry budget of all hosts that is used. The rest is a margin, since each host knows
/// the number of hosts only approximately.
constexpr double used_budget_share = 0.75;

/// Shortest time in which a deployment requires a change of the configuration to be in force.
constexpr std::chrono::seconds shortest_config_bound{2};

/// Largest number of requests that is passed on as the load of an upstream.
constexpr std::uint64_t max_shared_requests = 1'000'000;

/// Key of an upstream's incarnation: "id#incarnation".
std::string incarnation_name(const cw_upstream_entry& upstream) {
    return upstream.id + "#" + std::to_string(upstream.incarnation);
}

/// Moves all records out, by service.
template <typename Key, typename Record>
std::map<std::string, std::vector<Record>>
take_records(std::map<std::string, std::unordered_map<Key, Record>>& records) {
    std::map<std::string, std::vector<Record>> taken;
    for (auto& [service, service_records] : records) {
        auto& list = taken[service];
        list.reserve(service_records.size());
        for (auto& [key, record] : service_records) {
            list.push_back(std::move(record));
        }
        service_records.clear();
    }
    return taken;
}
} // namespace

cw_gateway_traffic::cw_gateway_traffic(const cw_gateway_options& options,
                                       cw_gateway_metrics& metrics)
    : domain_{options.domain},
      retry_share_{options.retry_share},
      retry_slack_{options.retry_slack},
      metrics_{metrics},
      answer_budget_{options.answer_buffer_limit()},
      request_budget_{options.request_buffer_limit()},
      pool_{context_},
      cold_limits_{options.cold_overage, options.cold_slack},
      config_bound_{options.config_bound},
      view_{std::make_shared<const cw_gateway_view>()},
      engine_{std::random_device{}()} {}

void cw_gateway_traffic::publish(std::shared_ptr<const cw_gateway_view> view) {
    const auto published_at = std::chrono::steady_clock::now();
    net::post(context_, [this, published_at, view = std::move(view)]() mutable {
        record_view_wait(*view, published_at);
        apply_view(*view);
        view_ = std::move(view);
        for (auto* watch : view_waiters_) {
            watch->wake();
        }
    });
}

void cw_gateway_traffic::set_known_config(const cw_known_config& known) {
    const std::scoped_lock lock{config_mutex_};
    config_in_force_.on_known(known, cw_boot_clock::now());
}

bool cw_gateway_traffic::is_config_outdated(cw_boot_time now) const {
    const std::scoped_lock lock{config_mutex_};
    return view_->config == nullptr || config_in_force_.is_outdated(shortest_config_bound, now);
}

bool cw_gateway_traffic::is_config_overdue(cw_boot_time now) const {
    const std::scoped_lock lock{config_mutex_};
    return view_->config != nullptr && config_in_force_.is_overdue(config_bound_, now);
}

std::uint64_t cw_gateway_traffic::config_in_force_version() const {
    const std::scoped_lock lock{config_mutex_};
    return config_in_force_.version();
}

std::chrono::milliseconds cw_gateway_traffic::take_peak_config_in_force_lag() {
    const std::scoped_lock lock{config_mutex_};
    return config_in_force_.take_peak_lag(cw_boot_clock::now());
}

std::optional<std::chrono::milliseconds>
cw_gateway_traffic::record_config_in_force(const cw_gateway_view& view) {
    const auto now = cw_boot_clock::now();
    const std::scoped_lock lock{config_mutex_};
    config_in_force_.on_in_force(view.config == nullptr ? 0 : view.config->version(), now);
    return config_in_force_.time_since_received(now);
}

void cw_gateway_traffic::record_view_wait(const cw_gateway_view& view, cw_time_point published_at) {
    const std::chrono::nanoseconds wait = std::chrono::steady_clock::now() - published_at;
    if (wait > peak_view_wait_.load()) {
        peak_view_wait_ = wait;
    }
    const auto since_received = record_config_in_force(view);
    if (view.config != nullptr && view.config != view_->config) {
        log_.info(
            "A configuration is in force for requests.",
            {{"version", std::to_string(view.config->version())},
             {"wait_ms",
              std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(wait).count())},
             {"received_ms", since_received ? std::to_string(since_received->count()) : ""}});
    }
}

void cw_gateway_traffic::set_retry_budget(double share, double slack) {
    net::post(context_, [this, share, slack] {
        retry_share_ = share;
        retry_slack_ = slack;
        retry_budgets_.clear();
    });
}

void cw_gateway_traffic::apply_view(const cw_gateway_view& view) {
    crashes_.set_shared_counts(*view.crashes, std::chrono::steady_clock::now());
    if (view.hosts != host_count_) {
        host_count_ = view.hosts;
        retry_budgets_.clear();
    }
    if (view.upstreams != view_->upstreams || view.config != view_->config) {
        cold_limits_.on_view(
            view, [this] { return random_share(); }, cw_boot_clock::now());
        report_cold_upstreams();
    }
    if (view.config != view_->config) {
        ramps_.set_config(view.config.get());
    }
    if (view.upstreams != view_->upstreams) {
        ramps_.apply(*view_->upstreams, *view.upstreams, cw_boot_clock::now());
    }
    record_ramp_changes();
    if (view.upstreams == view_->upstreams) {
        return;
    }
    std::set<std::string> present;
    for (const auto& [service, upstreams] : *view.upstreams) {
        for (const auto& upstream : upstreams) {
            present.insert(incarnation_name(upstream));
        }
    }
    // Statistics of an upstream that is no longer listed are out of date, including its retry-after
    // time. They are kept while requests are in flight, since these look them up when they end.
    std::erase_if(stats_, [&](const auto& item) {
        return item.second.in_flight() == 0 && !present.contains(item.first);
    });
}

net::awaitable<void> cw_gateway_traffic::wait_for_view(cw_call_watch& watch, cw_time_point until) {
    const auto position = view_waiters_.insert(view_waiters_.end(), &watch);
    co_await watch.sleep_until(until);
    view_waiters_.erase(position);
}

cw_upstream_stats& cw_gateway_traffic::stats(const cw_upstream_entry& upstream) {
    return stats_[incarnation_name(upstream)];
}

void cw_gateway_traffic::record_limit(const cw_upstream_entry& upstream,
                                      std::optional<double> limit) {
    const auto change = limits_.on_answer(upstream, limit, random_share(), cw_boot_clock::now());
    if (change == cw_limit_table::change::none) {
        return;
    }
    const bool is_named = change == cw_limit_table::change::named;
    metrics_.increment(is_named ? "limits_named" : "limits_lifted");
    log_.info(is_named ? "An upstream limits its request rate."
                       : "An upstream no longer limits its request rate.",
              {{"upstream", upstream.id},
               {"service", upstream.service},
               {"limit", limit ? std::to_string(*limit) : ""}});
}

bool cw_gateway_traffic::admits_if_cold(const cw_upstream_entry& upstream) {
    return cold_limits_.is_empty() ||
           cold_limits_.admits(upstream, limits_.hosts(), cw_boot_clock::now());
}

void cw_gateway_traffic::on_sent_if_cold(const cw_upstream_entry& upstream) {
    if (cold_limits_.on_sent(upstream, cw_boot_clock::now())) {
        metrics_.increment("cold_admitted_requests");
    }
}

std::chrono::milliseconds
cw_gateway_traffic::cold_admission_delay(const cw_upstream_entry& upstream) {
    return cold_limits_.is_empty()
               ? std::chrono::milliseconds{0}
               : cold_limits_.admission_delay(upstream, limits_.hosts(), cw_boot_clock::now());
}

void cw_gateway_traffic::on_connect_refused(const cw_upstream_entry& upstream) {
    cold_limits_.on_connect_refused(upstream, random_share(), cw_boot_clock::now());
    report_cold_upstreams();
}

void cw_gateway_traffic::report_cold_upstreams() {
    for (const auto& change : cold_limits_.take_changes()) {
        log_.info(change.is_cold ? "An upstream is treated as cold."
                                 : "An upstream is no longer treated as cold.",
                  {{"upstream", change.id},
                   {"service", change.service},
                   {"rate", std::to_string(change.rate)},
                   {"hosts", std::to_string(limits_.hosts())}});
    }
    metrics_.set_gauge("cold_upstreams", static_cast<double>(cold_limits_.size()));
    if (cold_limits_.is_empty()) {
        cold_timer_.cancel();
        return;
    }
    cold_timer_.expires_after(
        std::max(std::chrono::nanoseconds{0}, cold_limits_.next_end() - cw_boot_clock::now()));
    cold_timer_.async_wait([this](const boost::system::error_code& failure) {
        if (!failure) {
            cold_limits_.drop_warm(cw_boot_clock::now());
            report_cold_upstreams();
        }
    });
}

void cw_gateway_traffic::apply_ramps(const std::string& service, cw_selection_criteria& criteria) {
    if (ramps_.covers(service)) {
        if (!ramps_.is_empty()) {
            ramps_.drop_ended(cw_boot_clock::now());
            record_ramp_changes();
        }
        criteria.ramps = &ramps_;
        criteria.draw = [this] { return random_share(); };
    }
}

void cw_gateway_traffic::record_ramp_response(const cw_upstream_entry& upstream,
                                              cw_ramp_response response, bool is_recovery) {
    if (!ramps_.covers(upstream.service)) {
        return;
    }
    const auto now = cw_boot_clock::now();
    if (is_recovery) {
        ramps_.on_recovery(upstream, now);
    } else if (ramps_.find(upstream, now) != nullptr) {
        if (const auto service = view_->upstreams->find(upstream.service);
            service != view_->upstreams->end()) {
            response.usual_time = cw_usual_service_time(
                service->second,
                upstream, [this](const auto& entry) -> const auto& { return stats(entry); });
        }
        ramps_.on_response(upstream, response, now);
    }
    record_ramp_changes();
}

void cw_gateway_traffic::update_ramps() {
    net::post(context_, [this] {
        ramps_.drop_ended(cw_boot_clock::now());
        record_ramp_changes();
    });
}

void cw_gateway_traffic::record_ramp_changes() {
    ramping_upstreams_ = ramps_.size();
    if (const auto skipped = ramps_.take_skipped(); skipped > 0) {
        metrics_.increment("ramp_skipped", skipped);
    }
    for (const auto& change : ramps_.take_changes()) {
        const bool has_started = change.why == cw_upstream_ramp::reason::started;
        const auto duration =
            std::chrono::duration_cast<std::chrono::milliseconds>(change.duration);
        log_.info(change.is_end ? "The slow start of an upstream has ended."
                                : "The slow start of an upstream has begun.",
                  {{"upstream", change.id},
                   {"service", change.service},
                   {"reason", has_started ? "started" : "recovered"},
                   {"share", std::to_string(change.share)},
                   {"good", std::to_string(change.good_responses)},
                   {"bad", std::to_string(change.bad_responses)},
                   {"ms", std::to_string(duration.count())}});
    }
}

cw_retry_budget& cw_gateway_traffic::retry_budget(const std::string& service) {
    const double reserve = host_count_ == 0 ? 0.0 : retry_slack_ * used_budget_share / host_count_;
    return retry_budgets_
        .try_emplace(service, retry_share_ * used_budget_share, std::max(1.0, reserve))
        .first->second;
}

const std::string& cw_gateway_traffic::choose_service(const cw_site_route& route) {
    if (route.parts.size() == 1) {
        return route.parts.front().service;
    }
    // Smooth weighted round robin: the current weight of each part rises by its configured weight;
    // the part with the highest current weight is chosen, and the sum of the configured weights is
    // subtracted from it.
    auto& current_weights = current_weights_[route.name];
    double total = 0.0;
    const cw_site_part* chosen = nullptr;
    for (const auto& part : route.parts) {
        const auto found = current_weights.find(part.service);
        if (found == current_weights.end()) {
            // Random start, so that hosts are at different points of the rotation.
            const double share = static_cast<double>(engine_() % 1'000) / 1'000.0;
            current_weights[part.service] = part.weight * share;
        }
        auto& current_weight = current_weights[part.service];
        current_weight += part.weight;
        total += part.weight;
        if (part.weight > 0 &&
            (chosen == nullptr || current_weight > current_weights[chosen->service])) {
            chosen = &part;
        }
    }
    if (chosen == nullptr) {
        return route.parts.front().service;
    }
    current_weights[chosen->service] -= total;
    return chosen->service;
}

void cw_gateway_traffic::count_key(const std::string& service, std::uint32_t key) {
    const std::scoped_lock lock{measurements_mutex_};
    auto& key_count = key_counts_[service][key];
    key_count.key = key;
    ++key_count.count;
}

std::map<std::string, std::vector<cw_key_count>> cw_gateway_traffic::take_counts() {
    const std::scoped_lock lock{measurements_mutex_};
    return take_records(key_counts_);
}

void cw_gateway_traffic::record_speed(const std::string& service, const std::string& upstream,
                                      double seconds) {
    const std::scoped_lock lock{measurements_mutex_};
    auto& sample = speed_samples_[service][upstream];
    sample.id = upstream;
    ++sample.answers;
    sample.seconds += seconds;
}

std::map<std::string, std::vector<cw_speed_sample>> cw_gateway_traffic::take_speeds() {
    const std::scoped_lock lock{measurements_mutex_};
    return take_records(speed_samples_);
}

void cw_gateway_traffic::record_load(const cw_upstream_entry& upstream, bool is_keyed,
                                     const cw_reported_load& load) {
    if (!load.states_slowdown) {
        return;
    }
    const auto now = cw_boot_clock::now();
    // An upstream may state any number.
    const auto requests =
        std::min<std::uint64_t>(std::uint64_t{load.running} + load.waiting, max_shared_requests);
    const cw_shared_load shared{upstream.id, static_cast<std::uint32_t>(requests), load.slots,
                                std::chrono::milliseconds{0}};
    // A free slot is of interest only where other hosts take the upstream to be full.
    if (!shared.is_full() && !stats(upstream).is_known_to_be_full(upstream.slots, now)) {
        return;
    }
    const std::scoped_lock lock{measurements_mutex_};
    loads_[is_keyed ? upstream.service : std::string{}].insert_or_assign(
        upstream.id, recorded_load{shared, now});
}

std::vector<cw_shared_load> cw_gateway_traffic::take_loads(const std::string& service) {
    std::unordered_map<std::string, recorded_load> records;
    {
        const std::scoped_lock lock{measurements_mutex_};
        records = std::exchange(loads_[service], {});
    }
    const auto now = cw_boot_clock::now();
    std::vector<cw_shared_load> taken;
    for (auto& [id, record] : records) {
        record.load.age =
            std::chrono::duration_cast<std::chrono::milliseconds>(now - record.stated_at);
        if (record.load.age <= cw_load_collector::max_age) {
            taken.push_back(std::move(record.load));
        }
    }
    return taken;
}

void cw_gateway_traffic::apply_loads(std::vector<cw_shared_load> loads) {
    if (loads.empty()) {
        return;
    }
    const auto received_at = cw_boot_clock::now();
    net::post(context_, [this, received_at, loads = std::move(loads)] {
        std::unordered_map<std::string_view, const cw_shared_load*> by_id;
        for (const auto& load : loads) {
            by_id.emplace(load.id, &load);
        }
        for (const auto& [service, upstreams] : *view_->upstreams) {
            for (const auto& upstream : upstreams) {
                const auto found = by_id.find(upstream.id);
                if (found != by_id.end()) {
                    stats(upstream).on_shared_load(found->second->requests,
                                                   received_at - found->second->age);
                }
            }
        }
        metrics_.increment("shared_loads", loads.size());
    });
}

void cw_gateway_traffic::report_leaving(const cw_leaving_notice& notice) {
    const auto pool = view_->upstreams->find(notice.service);
    const bool is_listed =
        pool != view_->upstreams->end() &&
        std::any_of(pool->second.begin(), pool->second.end(), [&](const auto& entry) {
            return entry.id == notice.id && entry.incarnation == notice.incarnation;
        });
    if (is_listed && leaving_reporter_) {
        leaving_reporter_(notice);
    }
}
