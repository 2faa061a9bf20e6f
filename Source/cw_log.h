#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

/// How much is logged.
enum class cw_log_level { debug, info, warning, error };

/// One named value of a log line.
using cw_log_field = std::pair<std::string_view, std::string>;

/// The log of one part of a program. Lines go to standard output: hosts have no disk.
///
/// A line that standard output cannot take at once is dropped and counted, so that a reader that
/// stands still holds up nothing; the next line that gets through tells how many were lost.
/// A line reads `TIME LEVEL [part] Short sentence. name=value name=value`.
class cw_log {
public:
    explicit cw_log(std::string component)
        : component_{std::move(component)} {}

    /// Sets up the logging library for the whole process: no file, one format, the least level
    /// shown.
    static void configure(cw_log_level min_level);
    [[nodiscard]] static cw_log_level parse_level(std::string_view word);

    void debug(std::string_view sentence, const std::vector<cw_log_field>& fields = {}) const;
    void info(std::string_view sentence, const std::vector<cw_log_field>& fields = {}) const;
    void warning(std::string_view sentence, const std::vector<cw_log_field>& fields = {}) const;
    void error(std::string_view sentence, const std::vector<cw_log_field>& fields = {}) const;

private:
    [[nodiscard]] std::string line(std::string_view sentence,
                                   const std::vector<cw_log_field>& fields) const;

    std::string component_;
};
