#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

/// How long an upstream took for the requests that one host saw it answer.
struct cw_speed_sample {
    std::string id;
    std::uint32_t answers = 0;
    /// Sum over the answers, in seconds of work without the wait for a slot.
    double seconds = 0.0;
};

/// Knows which upstreams of a service are faster than others, from what all hosts measured.
///
/// Upstreams of one service differ in speed by factors. One that is slow is full when it has the
/// same load as the others, so its share of keys follows its speed. The load that it answers: a
/// service at two thirds of its capacity, whose slow upstreams alone would be over theirs.
class cw_upstream_speeds {
public:
    void add(const cw_speed_sample& sample);
    /// Forgets upstreams that are not among those given by id.
    template <typename Upstreams>
    void retain(const Upstreams& present) {
        std::erase_if(tallies_, [&](const auto& item) { return !present.contains(item.first); });
    }
    /// Answers a second of work over all upstreams that are known; 0 when none is.
    [[nodiscard]] double mean_speed() const;
    /// Speed of an upstream beside the mean given; 1 while too little is known.
    [[nodiscard]] double relative_speed(const std::string& id, double mean) const;
    /// True when enough is known of the share given of so many upstreams.
    [[nodiscard]] bool has_enough_for(std::size_t upstreams) const;

private:
    struct tally {
        double answers = 0.0;
        double seconds = 0.0;
    };

    [[nodiscard]] static bool has_enough_answers(const tally& measured);

    std::map<std::string, tally> tallies_;
};
