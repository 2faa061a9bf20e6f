#pragma once

#include <cstdint>
#include <map>

/// Requests per second by position on the hash ring.
using cw_position_rates = std::map<std::uint64_t, double>;

/// Request rates of one service as measured by its routers.
struct cw_service_load {
    /// Rate of each slice, by the slice's first position.
    cw_position_rates slices;
    /// Rates of single hot keys, by position. They are included in the rates of the keys' slices.
    cw_position_rates keys;

    /// Adds the rates that other routers measured.
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
