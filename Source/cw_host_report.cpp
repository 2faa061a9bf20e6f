#include "cw_host_report.h"

#include "cw_shared_load_json.h"

#include <nlohmann/json.hpp>

std::string cw_host_report::to_json() const {
    auto count_list = nlohmann::json::array();
    for (const auto& entry : counts) {
        count_list.push_back({entry.key, entry.count});
    }
    auto speed_list = nlohmann::json::array();
    for (const auto& sample : speeds) {
        speed_list.push_back({sample.id, sample.answers, sample.seconds});
    }
    auto leaving_list = nlohmann::json::array();
    for (const auto& notice : leaving) {
        leaving_list.push_back({notice.id, notice.incarnation});
    }
    auto crash_list = nlohmann::json::array();
    for (const auto& crash : crashes) {
        crash_list.push_back({crash.fingerprint, crash.address, crash.answered});
    }
    auto limit_list = nlohmann::json::array();
    for (const auto& report : limits) {
        const auto limit = report.limit ? nlohmann::json(*report.limit) : nlohmann::json(nullptr);
        limit_list.push_back(
            {report.id, report.incarnation, limit, report.age.count(), report.wanted});
    }
    nlohmann::json value{{"service", service},
                         {"host", host},
                         {"incarnation", incarnation},
                         {"domain", host_info.domain},
                         {"address", host_info.address},
                         {"strength", host_info.cpu_capacity},
                         {"store_suspected", host_info.is_store_suspected},
                         {"counts", count_list},
                         {"speeds", speed_list},
                         {"leaving", leaving_list},
                         {"crashes", crash_list},
                         {"limits", limit_list}};
    if (!loads.empty()) {
        value["loads"] = cw_shared_loads_to_json(loads);
    }
    return value.dump();
}

cw_result<cw_host_report> cw_host_report::parse(std::string_view text) {
    cw_host_report report;
    try {
        const auto value = nlohmann::json::parse(text);
        report.service = value.at("service").get<std::string>();
        report.host = value.at("host").get<std::string>();
        report.incarnation = value.at("incarnation").get<std::uint64_t>();
        // Hosts of earlier versions do not send these fields.
        report.host_info.domain = value.value("domain", std::string{});
        report.host_info.address = value.value("address", std::string{});
        report.host_info.cpu_capacity = value.value("strength", 0.0);
        report.host_info.is_store_suspected = value.value("store_suspected", false);
        for (const auto& item : value.at("counts")) {
            report.counts.push_back(
                {item.at(0).get<std::uint32_t>(), item.at(1).get<std::uint32_t>()});
        }
        for (const auto& item : value.value("speeds", nlohmann::json::array())) {
            report.speeds.push_back({item.at(0).get<std::string>(), item.at(1).get<std::uint32_t>(),
                                     item.at(2).get<double>()});
        }
        for (const auto& item : value.value("leaving", nlohmann::json::array())) {
            report.leaving.push_back(
                {report.service, item.at(0).get<std::string>(), item.at(1).get<std::uint64_t>()});
        }
        for (const auto& item : value.value("crashes", nlohmann::json::array())) {
            report.crashes.push_back({item.at(0).get<std::uint64_t>(),
                                      item.at(1).get<std::string>(), item.at(2).get<bool>()});
        }
        for (const auto& item : value.value("limits", nlohmann::json::array())) {
            cw_limit_report limit;
            limit.id = item.at(0).get<std::string>();
            limit.incarnation = item.at(1).get<std::uint64_t>();
            if (!item.at(2).is_null()) {
                limit.limit = item.at(2).get<double>();
            }
            limit.age = std::chrono::milliseconds{item.at(3).get<std::int64_t>()};
            limit.wanted = item.at(4).get<std::uint32_t>();
            report.limits.push_back(std::move(limit));
        }
        report.loads = cw_shared_loads_from_json(value.value("loads", nlohmann::json::array()));
    } catch (const nlohmann::json::exception& failure) {
        return tl::unexpected(cw_error{"parse host report", "", failure.what()});
    }
    return report;
}
