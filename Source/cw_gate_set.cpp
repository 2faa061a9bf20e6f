#include "cw_gate_set.h"

cw_upstream_gate& cw_gate_set::gate(const std::string& address, std::uint32_t slots) {
    auto& known = gates_[address];
    if (!known) {
        known = std::make_unique<cw_upstream_gate>(cw_gate_options{slots, adaptive_}, engine_());
    }
    known->set_most(slots);
    return *known;
}

cw_wait_queue& cw_gate_set::queue(const std::string& name) {
    auto& known = queues_[name];
    if (!known) {
        known = std::make_unique<cw_wait_queue>(context_);
    }
    return *known;
}

void cw_gate_set::close() {
    for (auto& [name, queue] : queues_) {
        queue->close();
    }
}
