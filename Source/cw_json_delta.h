#pragma once

#include "cw_error.h"

#include <nlohmann/json_fwd.hpp>

/// The difference of two JSON values: what is needed to make `after` from `before`. Members of
/// objects are compared by name. Elements of arrays that are kept in their order are named by their
/// index, whatever stands between them, so that one element more or less costs one element.
[[nodiscard]] nlohmann::json cw_make_json_delta(const nlohmann::json& before,
                                                const nlohmann::json& after);

/// The value `after` from which the delta was made. Fails if the delta cannot have been made from
/// `before`, or is malformed in any way.
[[nodiscard]] cw_result<nlohmann::json> cw_apply_json_delta(nlohmann::json before,
                                                            const nlohmann::json& delta);
