#pragma once

/// Limits retries to a share of the requests, so that they cannot multiply an overload.
class cw_retry_budget {
public:
    /// Each request adds `share` of a token; a retry takes one. `most` tokens are kept, of which a
    /// new budget has a tenth.
    explicit cw_retry_budget(double share = 0.1, double most = 20.0)
        : share_{share},
          most_{most},
          tokens_{most / 10.0} {}

    void on_request() { tokens_ = tokens_ + share_ < most_ ? tokens_ + share_ : most_; }
    [[nodiscard]] bool has_token() const { return tokens_ >= 1.0; }
    void take() { tokens_ -= 1.0; }

private:
    double share_;
    double most_;
    double tokens_;
};
