#pragma once

/// Token bucket that limits retries to a share of the requests, so that retries cannot multiply an
/// overload.
class cw_retry_budget {
public:
    /// Each request adds `tokens_per_request` tokens, up to `max_tokens`; a retry takes one token.
    /// A new budget starts with a tenth of `max_tokens`.
    explicit cw_retry_budget(double tokens_per_request = 0.1, double max_tokens = 20.0)
        : tokens_per_request_{tokens_per_request},
          max_tokens_{max_tokens},
          tokens_{max_tokens / 10.0} {}

    void on_request() {
        tokens_ = tokens_ + tokens_per_request_ < max_tokens_ ? tokens_ + tokens_per_request_
                                                              : max_tokens_;
    }
    [[nodiscard]] bool has_token() const { return tokens_ >= 1.0; }
    /// Takes one token; the caller checks has_token() first.
    void take_token() { tokens_ -= 1.0; }

private:
    double tokens_per_request_;
    double max_tokens_;
    double tokens_;
};
