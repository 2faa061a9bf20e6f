#pragma once

#include "cw_crash_filter.h"
#include "cw_route_view.h"
#include "cw_timeline.h"

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>

/// State shared by the router's control service and its traffic threads. Safe to call from any
/// thread.
class cw_router_shared {
public:
    cw_router_shared(std::string host, std::string domain, std::uint32_t max_requests)
        : domain_{std::move(domain)},
          max_requests_{max_requests},
          timeline_{std::move(host), domain_, "router"} {}

    /// Failure domain of this host.
    [[nodiscard]] const std::string& domain() const { return domain_; }
    /// The latest view; null until routes have been received.
    [[nodiscard]] std::shared_ptr<const cw_route_view> view() const {
        return std::atomic_load_explicit(&view_, std::memory_order_acquire);
    }
    void set_view(std::shared_ptr<const cw_route_view> view) {
        std::atomic_store_explicit(&view_, std::move(view), std::memory_order_release);
    }
    /// True when requests of this priority are refused because there are too many open requests.
    [[nodiscard]] bool is_overloaded_for(cw_priority priority) const;
    [[nodiscard]] cw_crash_filter& crash_filter() { return crash_filter_; }
    [[nodiscard]] cw_timeline& timeline() { return timeline_; }

    [[nodiscard]] bool is_stopping() const { return stopping_.load(std::memory_order_relaxed); }
    void set_stopping() { stopping_.store(true, std::memory_order_relaxed); }
    /// Number of callers' requests whose header has been read and that are not yet answered.
    std::atomic<std::int64_t> open_requests{0};

private:
    std::string domain_;
    std::shared_ptr<const cw_route_view> view_;
    std::uint32_t max_requests_;
    cw_crash_filter crash_filter_{cw_crash_options{}};
    std::atomic<bool> stopping_{false};
    cw_timeline timeline_;
};
