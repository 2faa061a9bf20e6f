#include "cw_load_source.h"

#include <algorithm>
#include <cmath>
#include <numeric>

cw_load_source::cw_load_source(std::size_t keys, double exponent, std::uint64_t seed)
    : engine_{seed} {
    for (std::size_t rank = 1; rank <= keys; ++rank) {
        positions_.push_back(engine_());
        shares_.push_back(std::pow(static_cast<double>(rank), -exponent));
    }
    const auto sum = std::accumulate(shares_.begin(), shares_.end(), 0.0);
    for (auto& share : shares_) {
        share /= sum;
    }
    popularity_ = {shares_.begin(), shares_.end()};
}

cw_service_load cw_load_source::sample(const cw_slice_table& table, std::size_t requests) {
    cw_key_counter counter;
    for (std::size_t i = 0; i < requests; ++i) {
        const auto position = positions_[popularity_(engine_)];
        counter.add(table.slice_of(position).first, position);
    }
    return counter.take();
}

void cw_load_source::shuffle() {
    std::shuffle(positions_.begin(), positions_.end(), engine_);
}

double cw_load_source::imbalance(const cw_slice_table& table,
                                 const std::vector<std::string>& upstreams) const {
    std::map<std::string, double> loads;
    for (const auto& upstream : upstreams) {
        loads[upstream] = 0.0;
    }
    for (std::size_t i = 0; i < positions_.size(); ++i) {
        loads[table.slice_of(positions_[i]).owner] += shares_[i];
    }
    double max_load = 0.0;
    for (const auto& [upstream, load] : loads) {
        max_load = std::max(max_load, load);
    }
    return max_load * static_cast<double>(loads.size());
}
