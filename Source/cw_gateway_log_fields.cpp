#include "cw_gateway_log_fields.h"

#include "cw_gateway_exchange.h"

#include <chrono>
#include <string>

std::vector<cw_log_field> cw_gateway_log_fields(const cw_gateway_exchange& exchange,
                                                cw_attempt_result result) {
    const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(
                             std::chrono::steady_clock::now() - exchange.started)
                             .count();
    std::vector<cw_log_field> list{
        {"id", exchange.metadata.attempt_id},
        {"route", exchange.route == nullptr ? "" : exchange.route->name},
        {"config", std::to_string(exchange.config == nullptr ? 0 : exchange.config->version())},
        {"upstream", exchange.upstream.id},
        {"sent", std::to_string(exchange.send_count)},
        {"ms", std::to_string(elapsed)}};
    if (exchange.metadata.key) {
        list.emplace_back("key", std::to_string(*exchange.metadata.key));
        list.emplace_back("fence", std::to_string(exchange.fence));
    }
    if (exchange.beside != 0) {
        list.emplace_back("beside", std::to_string(exchange.beside));
    }
    if (result == cw_attempt_result::answered) {
        list.emplace_back("status", std::to_string(exchange.answer.result_int()));
    } else {
        list.emplace_back("reason", exchange.reason);
    }
    return list;
}
