#include "cw_config_copy.h"

#include "cw_json_delta.h"

#include <utility>

void cw_config_copy::replace(std::uint64_t version, nlohmann::json source, bool has_followers) {
    if (!has_followers) {
        changes_.clear();
    } else if (version_ != 0) {
        changes_.add(version_, version, cw_make_json_delta(source_, source));
    }
    version_ = version;
    source_ = std::move(source);
    text_.clear();
}

cw_result<nlohmann::json> cw_config_copy::with_deltas(const nlohmann::json& deltas) const {
    cw_result<nlohmann::json> result = source_;
    if (!deltas.is_array()) {
        return tl::unexpected(cw_error{"apply the deltas of a configuration", "", "no array"});
    }
    for (const auto& delta : deltas) {
        result = cw_apply_json_delta(std::move(*result), delta);
        if (!result) {
            return result;
        }
    }
    return result;
}

const std::string& cw_config_copy::text() const {
    if (text_.empty() && version_ != 0) {
        text_ = source_.dump();
    }
    return text_;
}
