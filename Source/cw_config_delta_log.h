#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <nlohmann/json.hpp>
#include <string>

/// The latest changes of the configuration, each as the delta from the version before, so that a
/// host that knows one of these versions need not receive the whole configuration.
class cw_config_delta_log {
public:
    /// Most bytes of all deltas together.
    static constexpr std::size_t max_bytes = std::size_t{128} * 1024;

    /// Records the change from the version `from` to the later version `to`. A change whose delta
    /// is too large, or that does not follow the last one, clears the log.
    void add(std::uint64_t from, std::uint64_t to, const nlohmann::json& delta);
    void clear();
    /// The deltas that lead from a version to the latest one, in order, as an array; null if the
    /// log does not go back to that version or has nothing after it.
    [[nodiscard]] nlohmann::json since(std::uint64_t version) const;

private:
    struct change {
        std::uint64_t from;
        std::uint64_t to;
        nlohmann::json delta;
        std::size_t bytes;
    };
    std::deque<change> changes_;
    std::size_t bytes_ = 0;
};
