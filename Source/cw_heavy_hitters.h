#pragma once

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

/// One frequent item of a stream.
struct cw_heavy_hitter {
    std::uint64_t item = 0;
    /// Lower bound of its occurrences; the true number may be higher.
    std::uint32_t count = 0;
};

/// Finds the most frequent items of a stream in bounded memory (the Space-Saving algorithm).
///
/// Every item with more than `total / capacity` occurrences has a counter. A counter overestimates
/// by at most the count that it had when it was reassigned to its current item.
class cw_heavy_hitters {
public:
    /// Pre: capacity is positive.
    explicit cw_heavy_hitters(std::size_t capacity);

    void add(std::uint64_t item);
    /// Occurrences of all items since the last call of take().
    [[nodiscard]] std::uint64_t total() const { return total_; }
    /// Returns the items that occurred at least `min_count` times for certain, the most frequent
    /// first, and resets the counters.
    [[nodiscard]] std::vector<cw_heavy_hitter> take(std::uint32_t min_count);

private:
    std::size_t capacity_;
    std::uint64_t total_ = 0;
    std::unordered_map<std::uint64_t, std::size_t> indices_;
    // The counts have an array of their own, so that the search for the smallest one is a short
    // linear scan.
    std::vector<std::uint32_t> counts_;
    std::vector<std::uint32_t> errors_;
    std::vector<std::uint64_t> items_;
};
