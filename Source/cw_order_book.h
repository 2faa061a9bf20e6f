#pragma once

#include "cw_boot_clock.h"
#include "cw_key_range.h"
#include "cw_steward_command.h"
#include "cw_steward_event.h"
#include "cw_steward_options.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

/// A steward's orders under way, and what their results say about the upstreams.
class cw_order_book {
public:
    explicit cw_order_book(const cw_steward_options& options)
        : silence_{options.silence},
          second_chance_{options.second_chance} {}

    /// Notes an order that is about to be sent and numbers it.
    void add(cw_key_order& order);
    /// Takes an order that has ended; nothing when it is not known.
    [[nodiscard]] std::optional<cw_key_order> end(const cw_order_ended& event, cw_boot_time now);
    /// Forgets what is known of upstreams, but not the orders.
    void forget_upstreams() { upstreams_.clear(); }

    /// True while a grant of some of the range's keys is under way to the owner.
    [[nodiscard]] bool is_granting(const cw_key_range& range, const cw_key_owner& owner) const;
    /// True when as many orders are under way to the upstream as may be.
    [[nodiscard]] bool is_busy(const cw_key_owner& upstream) const;
    /// True when orders to the upstream have failed for some time and none has been answered since.
    [[nodiscard]] bool is_silent(const std::string& id, cw_boot_time now) const;
    /// True when a silent upstream should be probed now. The caller sends a probe if so.
    [[nodiscard]] bool take_probe(const cw_key_owner& upstream, cw_boot_time now);
    /// True when another upstream has answered at the address of this life.
    [[nodiscard]] bool is_replaced(const cw_key_owner& upstream) const;

private:
    struct upstream_state {
        cw_boot_time last_answer{};
        cw_boot_time next_probe{};
        /// The newest life that was tried.
        std::uint64_t tried_life = 0;
        std::uint32_t failures = 0;
    };

    std::chrono::milliseconds silence_;
    std::chrono::milliseconds second_chance_;
    std::map<std::uint64_t, cw_key_order> orders_;
    std::uint64_t next_number_ = 1;
    std::map<std::string, upstream_state> upstreams_;
    /// Lives that are proved to have ended, by id.
    std::map<std::string, std::uint64_t> ended_lives_;
};

/// True when the order is about some of the range's keys.
[[nodiscard]] inline bool cw_overlap(const cw_key_range& range, const cw_key_order& order) {
    return order.first <= range.last && range.first <= order.last;
}
