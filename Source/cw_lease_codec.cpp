#include "cw_lease_codec.h"

#include <array>
#include <nlohmann/json.hpp>

namespace {

using nlohmann::json;

constexpr std::array<const char*, 4> outcome_names{"accepted", "stale_fence", "need_slices",
                                                   "wrong_incarnation"};

cw_result<json> parse_object(std::string_view text, const char* step) {
    auto parsed = json::parse(text, nullptr, false);
    if (!parsed.is_object()) {
        return tl::unexpected(cw_error{step, "", "the body is not a JSON object"});
    }
    return parsed;
}

cw_lease_outcome outcome_of(const std::string& name) {
    for (std::size_t i = 0; i < outcome_names.size(); ++i) {
        if (name == outcome_names.at(i)) {
            return static_cast<cw_lease_outcome>(i);
        }
    }
    return cw_lease_outcome::failed;
}

} // namespace

std::string cw_encode_grant(const cw_lease_grant& grant) {
    json body{{"run", grant.incarnation}};
    if (grant.deadline) {
        body["fence"] = grant.fence;
        body["until"] = grant.deadline->time_since_epoch().count();
    }
    if (grant.slices) {
        auto list = json::array();
        for (const auto& slice : *grant.slices) {
            list.push_back({slice.first, slice.last, slice.generation});
        }
        body["slices"] = std::move(list);
    }
    return body.dump();
}

cw_result<cw_lease_grant> cw_decode_grant(std::string_view text) {
    const auto body = parse_object(text, "decode grant");
    if (!body) {
        return tl::unexpected(body.error());
    }
    try {
        cw_lease_grant grant;
        grant.incarnation = body->at("run").get<std::uint64_t>();
        if (body->contains("until")) {
            grant.fence = body->at("fence").get<std::uint64_t>();
            grant.deadline =
                cw_upstream_time{std::chrono::microseconds{body->at("until").get<std::int64_t>()}};
        }
        if (body->contains("slices")) {
            grant.slices.emplace();
            for (const auto& item : body->at("slices")) {
                grant.slices->push_back({item.at(0).get<std::uint64_t>(),
                                         item.at(1).get<std::uint64_t>(), "",
                                         item.at(2).get<std::uint64_t>()});
            }
        }
        return grant;
    } catch (const json::exception& failure) {
        return tl::unexpected(cw_error{"decode grant", "", failure.what()});
    }
}

std::string cw_encode_reply(const cw_lease_reply& reply) {
    json body{{"run", reply.incarnation},
              {"clock", reply.clock.time_since_epoch().count()},
              {"fence", reply.held_fence}};
    if (reply.outcome != cw_lease_outcome::accepted) {
        body["outcome"] = outcome_names.at(static_cast<std::size_t>(reply.outcome));
    }
    if (reply.draining) {
        body["draining"] = true;
    }
    return body.dump();
}

cw_result<cw_lease_reply> cw_decode_reply(std::string_view text) {
    const auto body = parse_object(text, "decode lease reply");
    if (!body) {
        return tl::unexpected(body.error());
    }
    try {
        cw_lease_reply reply;
        reply.outcome = outcome_of(body->value("outcome", outcome_names.front()));
        reply.incarnation = body->at("run").get<std::uint64_t>();
        reply.clock =
            cw_upstream_time{std::chrono::microseconds{body->at("clock").get<std::int64_t>()}};
        reply.held_fence = body->at("fence").get<std::uint64_t>();
        reply.draining = body->value("draining", false);
        return reply;
    } catch (const json::exception& failure) {
        return tl::unexpected(cw_error{"decode lease reply", "", failure.what()});
    }
}
