#include "cw_config.h"

#include <algorithm>

namespace {

template <typename Items>
auto find_named(const Items& items, std::string_view name) -> decltype(items.data()) {
    const auto found = std::find_if(items.begin(), items.end(),
                                    [&](const auto& item) { return item.name == name; });
    return found == items.end() ? nullptr : &*found;
}

} // namespace

const cw_service_config* cw_config::service(std::string_view name) const {
    return find_named(services, name);
}

const cw_domain_config* cw_config::domain(std::string_view name) const {
    return find_named(domains, name);
}

const cw_service_config* cw_config::service_for_path(std::string_view path) const {
    const auto found = std::find_if(services.begin(), services.end(), [&](const auto& service) {
        return path.starts_with(service.prefix);
    });
    return found == services.end() ? nullptr : &*found;
}

const cw_domain_config* cw_config::deputy_of(std::string_view name) const {
    const auto* self = domain(name);
    if (self == nullptr) {
        return nullptr;
    }
    const cw_domain_config* next = nullptr;
    const cw_domain_config* lowest = nullptr;
    for (const auto& other : domains) {
        if (other.firm != self->firm || other.name == self->name) {
            continue;
        }
        if (lowest == nullptr || other.name < lowest->name) {
            lowest = &other;
        }
        if (other.name > self->name && (next == nullptr || other.name < next->name)) {
            next = &other;
        }
    }
    return next != nullptr ? next : lowest;
}
