#pragma once

#include <cstdint>
#include <map>

/// Requests per second by position on the ring.
using cw_position_rates = std::map<std::uint64_t, double>;

/// Load of one service as its routers saw it.
struct cw_service_load {
    /// Load of each slice, by the slice's first position.
    cw_position_rates slices;
    /// Load of single hot keys, by position. It is part of their slices' load.
    cw_position_rates keys;

    /// Adds the load that other routers saw.
    void add(const cw_service_load& other) {
        for (const auto& [first, rate] : other.slices) {
            slices[first] += rate;
        }
        for (const auto& [position, rate] : other.keys) {
            keys[position] += rate;
        }
    }
    /// Requests per second of the whole service.
    [[nodiscard]] double total() const {
        double sum = 0.0;
        for (const auto& [first, rate] : slices) {
            sum += rate;
        }
        return sum;
    }
    friend bool operator==(const cw_service_load&, const cw_service_load&) = default;
};
