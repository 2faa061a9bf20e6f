#pragma once

/// Limits retries to a share of the requests, so that they cannot multiply an overload.
class cw_retry_budget {
public:
    /// Each request adds `share` of a token; a retry takes one. `most` tokens are kept, of which a
    /// new budget has a tenth.
    explicit cw_retry_budget(double tokens_per_request = 0.1, double max_tokens = 20.0)
        : tokens_per_request_{tokens_per_request},
          max_tokens_{max_tokens},
          tokens_{max_tokens / 10.0} {}

    void on_request() {
        tokens_ = tokens_ + tokens_per_request_ < max_tokens_ ? tokens_ + tokens_per_request_
                                                              : max_tokens_;
    }
    [[nodiscard]] bool has_token() const { return tokens_ >= 1.0; }
    void take_token() { tokens_ -= 1.0; }

private:
    double tokens_per_request_;
    double max_tokens_;
    double tokens_;
};
