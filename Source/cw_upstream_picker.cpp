#include "cw_upstream_picker.h"

#include "cw_upstream_meter.h"

#include <algorithm>
#include <cmath>

namespace {
/// An upstream that has just started takes about so many times as long.
constexpr double cold_factor = 2.0;
/// How much sooner an upstream of another failure domain must answer to be preferred.
constexpr double far_factor = 1.15;
/// Ratio to the best within which upstreams count as equally good.
constexpr double equal_factor = 1.1;

struct choice {
    const cw_upstream_entry* upstream;
    double seconds;
};
/// Leaves only those of the own failure domain that will be done in good time, if there are any.
void prefer_near(std::vector<choice>& choices, const cw_pick_wish& wish) {
    const double enough = std::chrono::duration<double>(wish.good_enough).count();
    const auto is_good = [&](const choice& item) {
        return item.upstream->domain == wish.domain && item.seconds <= enough;
    };
    if (std::any_of(choices.begin(), choices.end(), is_good)) {
        std::erase_if(choices, [&](const choice& item) { return !is_good(item); });
    }
}

} // namespace

const cw_upstream_entry*
cw_pick_upstream(const std::vector<cw_upstream_entry>& upstreams, const cw_pick_wish& wish,
                 const std::function<const cw_upstream_meter&(const cw_upstream_entry&)>& meter_of,
                 cw_boot_time now) {
    std::vector<choice> choices;
    std::vector<choice> avoided;
    for (const auto& upstream : upstreams) {
        const bool tried =
            wish.tried != nullptr &&
            std::find(wish.tried->begin(), wish.tried->end(), upstream.id) != wish.tried->end();
        if (tried) {
            continue;
        }
        const auto& meter = meter_of(upstream);
        if (now < meter.paused_until()) {
            continue;
        }
        double seconds =
            std::chrono::duration<double>(meter.expected_time(upstream.slots, now)).count();
        seconds *= now < upstream.warm_at ? cold_factor : 1.0;
        seconds *= upstream.domain == wish.domain ? 1.0 : far_factor;
        (meter.is_avoided(now) ? avoided : choices).push_back({&upstream, seconds});
    }
    auto& from = choices.empty() ? avoided : choices;
    if (from.empty()) {
        return nullptr;
    }
    prefer_near(from, wish);
    const auto best =
        std::min_element(from.begin(), from.end(), [](const auto& left, const auto& right) {
            return left.seconds < right.seconds;
        })->seconds;
    std::erase_if(from, [best](const auto& item) { return item.seconds > best * equal_factor; });
    return from[wish.draw % from.size()].upstream;
}
