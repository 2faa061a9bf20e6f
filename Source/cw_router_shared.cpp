#include "cw_router_shared.h"

namespace {

/// Share of the router's request limit up to which requests of each priority are admitted.
double admission_share(cw_priority priority) {
    switch (priority) {
    case cw_priority::batch:
        return 0.6;
    case cw_priority::interactive:
        return 0.85;
    case cw_priority::critical:
        break;
    }
    return 1.0;
}

} // namespace

bool cw_router_shared::is_overloaded_for(cw_priority priority) const {
    return static_cast<double>(open_requests.load(std::memory_order_relaxed)) >
           admission_share(priority) * static_cast<double>(max_requests_);
}
