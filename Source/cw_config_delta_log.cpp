#include "cw_config_delta_log.h"

#include <algorithm>

void cw_config_delta_log::add(std::uint64_t from, std::uint64_t to, const nlohmann::json& delta) {
    const auto bytes = delta.dump().size();
    if (bytes > max_bytes || (!changes_.empty() && changes_.back().to != from)) {
        clear();
    }
    if (bytes > max_bytes) {
        return;
    }
    changes_.push_back({from, to, delta, bytes});
    bytes_ += bytes;
    while (bytes_ > max_bytes) {
        bytes_ -= changes_.front().bytes;
        changes_.pop_front();
    }
}

void cw_config_delta_log::clear() {
    changes_.clear();
    bytes_ = 0;
}

nlohmann::json cw_config_delta_log::since(std::uint64_t version) const {
    const auto first = std::find_if(changes_.begin(), changes_.end(),
                                    [version](const auto& item) { return item.from == version; });
    if (first == changes_.end()) {
        return nullptr;
    }
    auto deltas = nlohmann::json::array();
    for (auto item = first; item != changes_.end(); ++item) {
        deltas.push_back(item->delta);
    }
    return deltas;
}
