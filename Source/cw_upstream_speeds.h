#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

/// Service time of an upstream, summed over the answers that one host received.
struct cw_speed_sample {
    /// Id of the upstream.
    std::string id;
    std::uint32_t answers = 0;
    /// Sum of the service times in seconds, without the wait for a slot.
    double seconds = 0.0;
};

/// Relative speeds of the upstreams of one service, from the samples of all hosts. Speed is the
/// number of answers per second of service time.
///
/// The upstreams of one service may differ in speed several times over. With equal load the slow
/// ones are saturated first: at two thirds of the service's capacity they alone would exceed
/// theirs. So each upstream's share of the keys follows its speed.
class cw_upstream_speeds {
public:
    /// Adds a sample; ignores one without answers or without time.
    void add(const cw_speed_sample& sample);
    /// Removes upstreams whose ids are not in `present`.
    template <typename Upstreams>
    void retain(const Upstreams& present) {
        std::erase_if(tallies_, [&](const auto& item) { return !present.contains(item.first); });
    }
    /// Mean speed, in answers per second, of the upstreams with enough samples; 0 when there is
    /// none.
    [[nodiscard]] double mean_speed() const;
    /// Speed of an upstream relative to `mean`, within fixed bounds; 1 without enough samples.
    [[nodiscard]] double relative_speed(const std::string& id, double mean) const;
    /// True when enough samples are known for most of so many upstreams.
    [[nodiscard]] bool has_enough_for(std::size_t upstreams) const;

private:
    struct tally {
        double answers = 0.0;
        double seconds = 0.0;
    };

    [[nodiscard]] static bool has_enough_answers(const tally& measured);

    std::map<std::string, tally> tallies_;
};
