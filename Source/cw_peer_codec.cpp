#include "cw_peer_codec.h"

#include <nlohmann/json.hpp>

namespace {

using nlohmann::json;

template <typename Variant, typename T, std::size_t I = 0>
constexpr std::size_t index_of() {
    if constexpr (std::is_same_v<std::variant_alternative_t<I, Variant>, T>) {
        return I;
    } else {
        return index_of<Variant, T, I + 1>();
    }
}

template <typename T>
constexpr auto kind_of = index_of<cw_peer_body, T>();

/// Writes alternating positions and rates; single precision is sufficient for rates.
json write_rates(const cw_position_rates& rates) {
    auto list = json::array();
    for (const auto& [position, rate] : rates) {
        list.push_back(position);
        list.push_back(static_cast<float>(rate));
    }
    return list;
}

cw_position_rates read_rates(const json& list) {
    cw_position_rates rates;
    for (std::size_t i = 0; i + 1 < list.size(); i += 2) {
        rates[list.at(i).get<std::uint64_t>()] = list.at(i + 1).get<double>();
    }
    return rates;
}

struct body_writer {
    json operator()(const cw_promise_request_message& body) const {
        return {body.sequence, body.domain, body.ring_epoch, body.table_epochs};
    }
    json operator()(const cw_promise_message& body) const { return json::array({body.sequence}); }
    json operator()(const cw_hold_message& body) const {
        return {body.nonce, body.upstream, body.service, body.base_epoch};
    }
    json operator()(const cw_hold_ack_message& body) const {
        return {body.nonce, body.remaining.count()};
    }
    json operator()(const cw_hold_cancel_message& body) const {
        return {body.nonce, body.upstream};
    }
    json operator()(const cw_reachable_message& body) const { return json::array({body.upstream}); }
    json operator()(const cw_leave_message& /*body*/) const { return json::array(); }
    json operator()(const cw_offer_message& body) const { return json::array({body.version}); }
    json operator()(const cw_offer_ack_message& body) const { return json::array({body.version}); }
    json operator()(const cw_crash_message& body) const {
        return {body.reporter, body.number, body.fingerprint, body.address, body.answered};
    }
    json operator()(const cw_table_offer_message& body) const {
        return {body.service, body.store_version};
    }
    json operator()(const cw_load_message& body) const {
        return {body.service, body.table_epoch, body.slice_quarters, write_rates(body.keys),
                body.unreachable};
    }
};

cw_load_message read_load(const json& body) {
    cw_load_message load;
    load.service = body.at(0).get<std::string>();
    load.table_epoch = body.at(1).get<std::uint64_t>();
    load.slice_quarters = body.at(2).get<std::vector<std::uint32_t>>();
    load.keys = read_rates(body.at(3));
    load.unreachable = body.at(4).get<std::vector<std::string>>();
    return load;
}

cw_peer_body read_body(std::size_t kind, const json& body) {
    switch (kind) {
    case kind_of<cw_promise_request_message>:
        return cw_promise_request_message{
            body.at(0).get<std::uint64_t>(), body.at(1).get<std::string>(),
            body.at(2).get<std::uint64_t>(), body.at(3).get<std::uint64_t>()};
    case kind_of<cw_promise_message>:
        return cw_promise_message{body.at(0).get<std::uint64_t>()};
    case kind_of<cw_hold_message>:
        return cw_hold_message{body.at(0).get<std::uint64_t>(), body.at(1).get<std::string>(),
                               body.at(2).get<std::string>(), body.at(3).get<std::uint64_t>()};
    case kind_of<cw_hold_ack_message>:
        return cw_hold_ack_message{body.at(0).get<std::uint64_t>(),
                                   std::chrono::milliseconds{body.at(1).get<std::int64_t>()}};
    case kind_of<cw_hold_cancel_message>:
        return cw_hold_cancel_message{body.at(0).get<std::uint64_t>(),
                                      body.at(1).get<std::string>()};
    case kind_of<cw_reachable_message>:
        return cw_reachable_message{body.at(0).get<std::string>()};
    case kind_of<cw_leave_message>:
        return cw_leave_message{};
    case kind_of<cw_offer_message>:
        return cw_offer_message{body.at(0).get<std::uint64_t>()};
    case kind_of<cw_offer_ack_message>:
        return cw_offer_ack_message{body.at(0).get<std::uint64_t>()};
    case kind_of<cw_crash_message>:
        return cw_crash_message{body.at(0).get<std::string>(), body.at(1).get<std::uint64_t>(),
                                body.at(2).get<std::uint64_t>(), body.at(3).get<std::string>(),
                                body.at(4).get<bool>()};
    case kind_of<cw_table_offer_message>:
        return cw_table_offer_message{body.at(0).get<std::string>(),
                                      body.at(1).get<std::uint64_t>()};
    default:
        return read_load(body);
    }
}

} // namespace

std::vector<std::uint8_t> cw_encode_peer_message(const cw_peer_message& message) {
    return json::to_msgpack({message.from.host, message.from.incarnation, message.body.index(),
                             std::visit(body_writer{}, message.body)});
}

cw_result<cw_peer_message> cw_decode_peer_message(std::span<const std::uint8_t> data) {
    const auto parsed = json::from_msgpack(data, true, false);
    try {
        const auto kind = parsed.at(2).get<std::size_t>();
        if (kind >= std::variant_size_v<cw_peer_body>) {
            return tl::unexpected(cw_error{"decode message", "", "unknown message type"});
        }
        return cw_peer_message{{parsed.at(0).get<std::string>(), parsed.at(1).get<std::uint64_t>()},
                               read_body(kind, parsed.at(3))};
    } catch (const json::exception& failure) {
        return tl::unexpected(cw_error{"decode message", "", failure.what()});
    }
}
