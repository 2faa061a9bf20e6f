#pragma once

#include "cw_route_view.h"
#include "cw_timeline.h"

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>

/// Requests of this router that one upstream has in hand.
struct cw_in_flight {
    std::atomic<std::uint32_t> count{0};
};

/// State that the router's control service and its traffic threads share.
class cw_router_shared {
public:
    cw_router_shared(std::string host, std::string domain)
        : domain_{std::move(domain)},
          timeline_{std::move(host), domain_, "router"} {}

    [[nodiscard]] const std::string& domain() const { return domain_; }
    [[nodiscard]] std::shared_ptr<const cw_route_view> view() const {
        return std::atomic_load_explicit(&view_, std::memory_order_acquire);
    }
    void set_view(std::shared_ptr<const cw_route_view> view) {
        std::atomic_store_explicit(&view_, std::move(view), std::memory_order_release);
    }
    /// The counter of an upstream; it lives as long as this object.
    [[nodiscard]] cw_in_flight& in_flight(const std::string& address);
    [[nodiscard]] cw_timeline& timeline() { return timeline_; }

    [[nodiscard]] bool is_stopping() const { return stopping_.load(std::memory_order_relaxed); }
    void set_stopping() { stopping_.store(true, std::memory_order_relaxed); }
    /// Callers' requests that have been read and not yet answered.
    std::atomic<std::int64_t> open_requests{0};

private:
    std::string domain_;
    std::shared_ptr<const cw_route_view> view_;
    std::mutex mutex_;
    std::unordered_map<std::string, std::unique_ptr<cw_in_flight>> in_flight_;
    std::atomic<bool> stopping_{false};
    cw_timeline timeline_;
};
