#include "cw_router_shared.h"

cw_in_flight& cw_router_shared::in_flight(const std::string& address) {
    const std::scoped_lock lock{mutex_};
    auto& counter = in_flight_[address];
    if (!counter) {
        counter = std::make_unique<cw_in_flight>();
    }
    return *counter;
}
