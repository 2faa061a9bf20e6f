#include "cw_router_metrics.h"

#include <sstream>

namespace accumulators = boost::accumulators;

namespace {
constexpr std::array<double, 3> quantiles{0.5, 0.99, 0.999};
constexpr std::array<const char*, 3> outcome_names{"answered", "did_not_run", "unknown"};
} // namespace

cw_router_metrics::cw_router_metrics()
    : latency_accumulator_{accumulators::extended_p_square_probabilities = quantiles} {}

void cw_router_metrics::on_answer(cw_request_outcome outcome,
                                  std::chrono::steady_clock::duration latency) {
    const std::scoped_lock lock{mutex_};
    latency_accumulator_(std::chrono::duration<double>(latency).count());
    ++outcome_counts_.at(static_cast<std::size_t>(outcome));
}

void cw_router_metrics::on_retry() {
    const std::scoped_lock lock{mutex_};
    ++retry_count_;
}

void cw_router_metrics::on_caller_left() {
    const std::scoped_lock lock{mutex_};
    ++abandoned_count_;
}

void cw_router_metrics::count_key(const std::string& service, std::uint64_t first,
                                  std::uint64_t position) {
    const std::scoped_lock lock{mutex_};
    key_counters_[service].add(first, position);
}

std::map<std::string, cw_service_load> cw_router_metrics::take_loads() {
    std::map<std::string, cw_service_load> loads;
    const std::scoped_lock lock{mutex_};
    for (auto& [service, counter] : key_counters_) {
        loads[service] = counter.take();
    }
    return loads;
}

std::string cw_router_metrics::exposition(std::size_t thread) const {
    const std::scoped_lock lock{mutex_};
    std::ostringstream text;
    for (std::size_t i = 0; i < outcome_counts_.size(); ++i) {
        text << "cuminwinch_requests_total{thread=\"" << thread << "\",outcome=\""
             << outcome_names.at(i) << "\"} " << outcome_counts_.at(i) << '\n';
    }
    text << "cuminwinch_abandoned_total{thread=\"" << thread << "\"} " << abandoned_count_ << '\n';
    text << "cuminwinch_retries_total{thread=\"" << thread << "\"} " << retry_count_ << '\n';
    for (std::size_t i = 0; i < quantiles.size(); ++i) {
        text << "cuminwinch_latency_seconds{thread=\"" << thread << "\",quantile=\""
             << quantiles.at(i) << "\"} "
             << accumulators::extended_p_square(
                    latency_accumulator_)[static_cast<std::ptrdiff_t>(i)]
             << '\n';
    }
    text << "cuminwinch_latency_seconds_max{thread=\"" << thread << "\"} "
         << (accumulators::count(latency_accumulator_) == 0
                 ? 0.0
                 : accumulators::max(latency_accumulator_))
         << '\n';
    return text.str();
}
