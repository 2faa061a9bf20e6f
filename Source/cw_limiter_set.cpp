#include "cw_limiter_set.h"

cw_concurrency_limiter& cw_limiter_set::limiter(const std::string& address, std::uint32_t slots) {
    auto& entry = limiters_[address];
    if (!entry) {
        entry = std::make_unique<cw_concurrency_limiter>(cw_limiter_options{slots, adaptive_},
                                                         engine_());
    }
    entry->set_max_in_flight(slots);
    return *entry;
}

cw_wait_queue& cw_limiter_set::queue(const std::string& name) {
    auto& entry = queues_[name];
    if (!entry) {
        entry = std::make_unique<cw_wait_queue>(context_);
    }
    return *entry;
}

void cw_limiter_set::close() {
    for (auto& [name, queue] : queues_) {
        queue->close();
    }
}
