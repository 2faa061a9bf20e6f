#include "cw_ownership_bench.h"

void cw_ownership_bench::kill(const std::string& node) {
    if (const auto keeper = keepers_.find(node); keeper != keepers_.end()) {
        keeper->second.alive = false;
        return;
    }
    upstreams_.at(node).alive = false;
}

void cw_ownership_bench::freeze(const std::string& node, std::chrono::milliseconds duration) {
    if (const auto keeper = keepers_.find(node); keeper != keepers_.end()) {
        keeper->second.frozen_until = now_ + duration;
        return;
    }
    upstreams_.at(node).frozen_until = now_ + duration;
}

void cw_ownership_bench::restart(const std::string& node) {
    if (keepers_.contains(node)) {
        start_keeper(node);
        return;
    }
    auto& upstream = upstreams_.at(node);
    upstream.alive = true;
    upstream.frozen_until = {};
    upstream.run = ++last_sequence_;
    // The monotonic clock of a restarted host is unrelated to the one before the restart.
    upstream.clock = random_clock();
    upstream.holder = std::make_unique<cw_lease_holder>(++last_sequence_, options_.checks_fences);
}

void cw_ownership_bench::stop_keeper(const std::string& keeper) {
    deliver(keeper, keepers_.at(keeper).run, cw_stop_event{});
}

void cw_ownership_bench::drain(const std::string& upstream) {
    upstreams_.at(upstream).host.leaving = true;
}

void cw_ownership_bench::undrain(const std::string& upstream) {
    upstreams_.at(upstream).host.leaving = false;
}
