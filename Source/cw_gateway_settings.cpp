#include "cw_gateway_settings.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <optional>

namespace {

using nlohmann::json;

/// Reads the members of a JSON object and collects the errors. A member in error yields a default.
class settings_reader {
public:
    explicit settings_reader(const json& object)
        : object_{object} {}

    std::string text(const char* name) {
        const auto* found = find(name);
        if (found == nullptr || !found->is_string() || found->get<std::string>().empty()) {
            return add_error(name, "must be a non-empty string"), std::string{};
        }
        return found->get<std::string>();
    }

    cw_address address(const char* name) {
        const auto* found = find(name);
        const auto parsed = found != nullptr && found->is_string()
                                ? cw_address::parse(found->get<std::string>())
                                : std::nullopt;
        if (!parsed) {
            add_error(name, "must be IP:PORT");
        }
        return parsed.value_or(cw_address{});
    }

    std::uint16_t port(const char* name) {
        return static_cast<std::uint16_t>(read_integer(name, 1, 65'535));
    }

    /// An optional port; 0 when the setting is absent.
    std::uint16_t optional_port(const char* name) {
        return find(name) == nullptr ? std::uint16_t{0} : port(name);
    }

    /// A time in seconds, which may have a fraction; `fallback` when the setting is absent or null.
    std::chrono::milliseconds seconds(const char* name, std::chrono::milliseconds fallback) {
        const auto* found = find(name);
        if (found == nullptr || found->is_null()) {
            return fallback;
        }
        if (!found->is_number() || found->get<double>() < 0.0 || found->get<double>() > 86'400.0) {
            add_error(name, "must be seconds from 0 to 86400");
            return fallback;
        }
        return std::chrono::milliseconds{std::llround(found->get<double>() * 1'000.0)};
    }

    double number(const char* name, double min_value, double max_value, double fallback) {
        const auto* found = find(name);
        if (found == nullptr || found->is_null()) {
            return fallback;
        }
        if (!found->is_number() || found->get<double>() < min_value ||
            found->get<double>() > max_value) {
            add_error(name, "must be a number from " + std::to_string(min_value) + " to " +
                                std::to_string(max_value));
            return fallback;
        }
        return found->get<double>();
    }

    /// A size in MiB as bytes; `fallback` when the setting is absent or null.
    std::uint64_t mebibytes(const char* name, std::uint64_t fallback) {
        constexpr double min_size = 32.0;
        constexpr double max_size = 1e6;
        const auto bytes_in = static_cast<double>(1ULL << 20U);
        return static_cast<std::uint64_t>(
            number(name, min_size, max_size, static_cast<double>(fallback) / bytes_in) * bytes_in);
    }

    [[nodiscard]] const std::vector<std::string>& errors() const { return errors_; }

private:
    const json* find(const char* name) const {
        const auto found = object_.find(name);
        return found == object_.end() ? nullptr : &*found;
    }

    std::int64_t read_integer(const char* name, std::int64_t min_value, std::int64_t max_value) {
        const auto* found = find(name);
        if (found == nullptr || !found->is_number_integer() ||
            found->get<std::int64_t>() < min_value || found->get<std::int64_t>() > max_value) {
            add_error(name, "must be an integer from " + std::to_string(min_value) + " to " +
                                std::to_string(max_value));
            return min_value;
        }
        return found->get<std::int64_t>();
    }

    void add_error(const std::string& name, const std::string& reason) {
        errors_.push_back(name);
        errors_.back().append(": ").append(reason);
    }

    const json& object_;
    std::vector<std::string> errors_;
};

/// CPU capacity in cores at which a host can run as steward without falling behind.
constexpr double steward_cpu_capacity = 0.15;
/// Maximum delay in milliseconds before a host claims to be steward. It applies to a host with next
/// to no CPU capacity, so that hosts with more claim first.
constexpr double max_claim_delay_ms = 300.0;

std::chrono::milliseconds claim_delay_for(double cpu_capacity) {
    const auto shortfall = std::clamp(1.0 - cpu_capacity / steward_cpu_capacity, 0.0, 1.0);
    return std::chrono::milliseconds{std::llround(max_claim_delay_ms * shortfall)};
}

} // namespace

tl::expected<cw_gateway_options, std::vector<std::string>>
cw_read_gateway_settings(std::string_view text) {
    const auto object = json::parse(text, nullptr, false);
    if (!object.is_object()) {
        return tl::unexpected(std::vector<std::string>{"the file must be one JSON object"});
    }
    settings_reader settings{object};
    cw_gateway_options options;
    options.host = settings.text("host");
    options.domain = settings.text("domain");
    options.listen_address = settings.address("listen");
    options.admin_address = settings.address("admin");
    options.store_address = settings.text("store");
    options.peer_address = {options.listen_address.ip, settings.port("peer_port")};
    options.metrics_port = settings.optional_port("metrics_port");
    options.stop_grace = settings.seconds("stop_grace_s", options.stop_grace);
    options.config_bound = settings.seconds("config_bound_s", options.config_bound);
    options.evacuation_bound = settings.seconds("evacuation_bound_s", options.evacuation_bound);
    options.cold_overage = settings.number("cold_overage", 0.0, 1e3, options.cold_overage);
    options.cold_slack = settings.number("cold_slack", 0.0, 1e6, options.cold_slack);
    options.retry_share = settings.number("retry_share", 0.0, 1.0, options.retry_share);
    options.retry_slack = settings.number("retry_slack", 0.0, 1e6, options.retry_slack);
    options.processor_share = settings.number("processor_share", 0.0, 1e4, options.processor_share);
    options.link_rate = settings.number("link_mbps", 0.0, 1e6, options.link_rate);
    options.memory_limit = settings.mebibytes("memory_mb", options.memory_limit);
    auto& ownership = options.ownership;
    ownership.tenure = settings.seconds("longest_lease_s", ownership.tenure);
    ownership.lease = std::min(ownership.lease, ownership.tenure);
    ownership.claim_delay = claim_delay_for(options.cpu_capacity());
    if (!settings.errors().empty()) {
        return tl::unexpected(settings.errors());
    }
    return options;
}
