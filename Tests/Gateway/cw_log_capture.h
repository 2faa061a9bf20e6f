#pragma once

#include <string>

/// Collects what this process writes to standard output, where the log goes, until text() is
/// called. A failed check is written there as well, so nothing is checked before that.
class cw_log_capture {
public:
    cw_log_capture();
    cw_log_capture(const cw_log_capture&) = delete;
    cw_log_capture& operator=(const cw_log_capture&) = delete;
    ~cw_log_capture();

    /// Ends the collection and returns all lines.
    [[nodiscard]] std::string text();

private:
    void restore();

    int file_;
    int output_;
};

/// Number of times that a part occurs in a text.
[[nodiscard]] std::size_t cw_count_of(const std::string& text, const std::string& part);
