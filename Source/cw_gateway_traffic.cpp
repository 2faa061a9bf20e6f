#include "cw_gateway_traffic.h"

#include "cw_call_watch.h"
#include "cw_gateway_options.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <set>
#include <utility>

namespace net = boost::asio;

namespace {
/// Part of the fleet's retry budget that is used: hosts do not know each other's number exactly.
constexpr double used_budget = 0.75;

std::string meter_name(const cw_upstream_entry& upstream) {
    return upstream.id + "#" + std::to_string(upstream.incarnation);
}

/// Takes all that was noted, by service.
template <typename Key, typename Note>
std::map<std::string, std::vector<Note>>
take_notes(std::map<std::string, std::unordered_map<Key, Note>>& noted) {
    std::map<std::string, std::vector<Note>> taken;
    for (auto& [service, notes] : noted) {
        auto& list = taken[service];
        list.reserve(notes.size());
        for (auto& [key, note] : notes) {
            list.push_back(std::move(note));
        }
        notes.clear();
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
      pool_{context_},
      view_{std::make_shared<const cw_gateway_view>()},
      engine_{std::random_device{}()} {}

void cw_gateway_traffic::publish(std::shared_ptr<const cw_gateway_view> view) {
    net::post(context_, [this, view = std::move(view)]() mutable {
        adapt_to(*view);
        view_ = std::move(view);
        for (auto* watch : waiting_) {
            watch->wake();
        }
    });
}

void cw_gateway_traffic::set_retry_bounds(double share, double slack) {
    net::post(context_, [this, share, slack] {
        retry_share_ = share;
        retry_slack_ = slack;
        budgets_.clear();
    });
}

void cw_gateway_traffic::adapt_to(const cw_gateway_view& view) {
    crashes_.set_shared(*view.crashes, std::chrono::steady_clock::now());
    if (view.hosts != budget_hosts_) {
        budget_hosts_ = view.hosts;
        budgets_.clear();
    }
    if (view.upstreams == view_->upstreams) {
        return;
    }
    std::set<std::string> present;
    for (const auto& [service, upstreams] : *view.upstreams) {
        for (const auto& upstream : upstreams) {
            present.insert(meter_name(upstream));
        }
    }
    // A meter of an upstream that is not listed says nothing any more, whatever it asked for.
    // A meter with requests in flight is still referred to by name.
    std::erase_if(meters_, [&](const auto& item) {
        return item.second.in_flight() == 0 && !present.contains(item.first);
    });
}

net::awaitable<void> cw_gateway_traffic::wait_for_view(cw_call_watch& watch, cw_time_point until) {
    const auto place = waiting_.insert(waiting_.end(), &watch);
    co_await watch.pause_until(until);
    waiting_.erase(place);
}

cw_upstream_meter& cw_gateway_traffic::meter(const cw_upstream_entry& upstream) {
    return meters_[meter_name(upstream)];
}

cw_retry_budget& cw_gateway_traffic::budget(const std::string& service) {
    const auto hosts = std::max(1U, budget_hosts_);
    return budgets_
        .try_emplace(service, retry_share_ * used_budget,
                     std::max(1.0, retry_slack_ * used_budget / hosts))
        .first->second;
}

const std::string& cw_gateway_traffic::draw_part(const cw_site_route& route) {
    if (route.parts.size() == 1) {
        return route.parts.front().service;
    }
    // Smooth weighted round robin: each part gains its share, the richest is chosen and pays.
    auto& balances = balances_[route.name];
    double total = 0.0;
    const cw_site_part* chosen = nullptr;
    for (const auto& part : route.parts) {
        const auto known = balances.find(part.service);
        if (known == balances.end()) {
            // Hosts begin at different points of the round.
            const double share = static_cast<double>(engine_() % 1'000) / 1'000.0;
            balances[part.service] = part.weight * share;
        }
        auto& balance = balances[part.service];
        balance += part.weight;
        total += part.weight;
        if (part.weight > 0 && (chosen == nullptr || balance > balances[chosen->service])) {
            chosen = &part;
        }
    }
    if (chosen == nullptr) {
        return route.parts.front().service;
    }
    balances[chosen->service] -= total;
    return chosen->service;
}

void cw_gateway_traffic::count_key(const std::string& service, std::uint32_t key) {
    const std::scoped_lock lock{counts_mutex_};
    auto& noted = counts_[service][key];
    noted.key = key;
    ++noted.count;
}

std::map<std::string, std::vector<cw_key_count>> cw_gateway_traffic::take_counts() {
    const std::scoped_lock lock{counts_mutex_};
    return take_notes(counts_);
}

void cw_gateway_traffic::note_speed(const std::string& service, const std::string& upstream,
                                    double seconds) {
    const std::scoped_lock lock{counts_mutex_};
    auto& noted = speeds_[service][upstream];
    noted.id = upstream;
    ++noted.answers;
    noted.seconds += seconds;
}

std::map<std::string, std::vector<cw_speed_note>> cw_gateway_traffic::take_speeds() {
    const std::scoped_lock lock{counts_mutex_};
    return take_notes(speeds_);
}

void cw_gateway_traffic::note_leaving(const cw_leaving_notice& note) {
    const auto pool = view_->upstreams->find(note.service);
    const bool is_listed =
        pool != view_->upstreams->end() &&
        std::any_of(pool->second.begin(), pool->second.end(), [&](const auto& entry) {
            return entry.id == note.id && entry.incarnation == note.incarnation;
        });
    if (is_listed && report_leaving_) {
        report_leaving_(note);
    }
}
