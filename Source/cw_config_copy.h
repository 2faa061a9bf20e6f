#pragma once

#include "cw_config_delta_log.h"
#include "cw_error.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

/// A host's copy of the configuration as the store holds it, and what it sends of it to hosts that
/// follow.
class cw_config_copy {
public:
    /// Version of the configuration; 0 for none.
    [[nodiscard]] std::uint64_t version() const { return version_; }
    /// Replaces the copy by a later version. Records how it has changed if followers may ask for
    /// it.
    void replace(std::uint64_t version, nlohmann::json source, bool has_followers);
    /// Forgets how the copy has changed, so that followers receive it whole.
    void forget_changes() { changes_.clear(); }
    /// The deltas that lead from a version to this one, as an array; null if these are not known.
    [[nodiscard]] nlohmann::json deltas_since(std::uint64_t version) const {
        return changes_.since(version);
    }
    /// The configuration that these deltas make from this one. Fails if they do not fit.
    [[nodiscard]] cw_result<nlohmann::json> with_deltas(const nlohmann::json& deltas) const;
    /// The whole configuration as JSON text.
    [[nodiscard]] const std::string& text() const;

private:
    std::uint64_t version_ = 0;
    nlohmann::json source_;
    /// Text of `source_`, made when it is first asked for; empty until then.
    mutable std::string text_;
    cw_config_delta_log changes_;
};
