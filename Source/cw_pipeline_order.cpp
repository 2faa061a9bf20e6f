#include "cw_pipeline_order.h"

#include <algorithm>

bool cw_pipeline_order::may_read_ahead() const {
    return !is_closed_ && !is_held_ && !requests_.empty() && requests_.size() < max_in_progress;
}

bool cw_pipeline_order::may_start(mode next) const {
    if (requests_.empty()) {
        return !is_closed_;
    }
    return next != mode::alone && may_read_ahead();
}

cw_pipeline_order::number cw_pipeline_order::start(mode next) {
    requests_.push_back({++last_, false});
    is_held_ = next != mode::concurrent;
    return last_;
}

void cw_pipeline_order::finish(number finished) {
    const auto found = std::find_if(requests_.begin(), requests_.end(),
                                    [finished](const auto& each) { return each.id == finished; });
    if (found != requests_.end()) {
        found->is_finished = true;
    }
}

std::optional<cw_pipeline_order::number> cw_pipeline_order::next_answer() const {
    if (requests_.empty() || !requests_.front().is_finished) {
        return std::nullopt;
    }
    return requests_.front().id;
}

void cw_pipeline_order::on_answered() {
    requests_.erase(requests_.begin());
    if (requests_.empty()) {
        is_held_ = false;
    }
}
