#include "cw_ownership_bench.h"

#include "cw_slice_weigher.h"

#include <utility>

namespace {
using namespace std::chrono_literals;
constexpr auto report_interval = 1s;
const std::string service_name = "gallery";
} // namespace

void cw_ownership_bench::set_load(std::shared_ptr<cw_load_source> source, std::size_t rate) {
    const bool started = load_ != nullptr;
    load_ = std::move(source);
    load_rate_ = rate;
    if (!started) {
        draw_load();
    }
}

void cw_ownership_bench::draw_load() {
    schedule(report_interval, [this] { draw_load(); });
    for (const auto& [name, node] : keepers_) {
        const auto* stored = node.core->context().table(service_name);
        if (node.alive && stored != nullptr) {
            deliver(name, node.run,
                    cw_router_load_event{
                        service_name, load_->sample(stored->table, load_rate_ / keepers_.size())});
        }
    }
}

double cw_ownership_bench::imbalance() const {
    std::vector<std::string> alive;
    for (const auto& [name, node] : upstreams_) {
        if (node.alive) {
            alive.push_back(name);
        }
    }
    return load_->imbalance(*stored_table(), alive);
}

void cw_ownership_bench::count_churn(const cw_slice_table& before, const cw_slice_table& after) {
    for (const auto& slice : after.slices()) {
        for (auto first = slice.first;;) {
            const auto& old = before.slice_of(first);
            const auto last = std::min(old.last, slice.last);
            churn_ += old.owner == slice.owner ? 0.0 : cw_slice_weigher::width_share(first, last);
            if (last == slice.last) {
                break;
            }
            first = last + 1;
        }
    }
}

double cw_ownership_bench::load_seen(const std::string& keeper) const {
    return keepers_.at(keeper).core->balancer().load(service_name).total();
}

double cw_ownership_bench::take_churn() {
    return std::exchange(churn_, 0.0);
}
