#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

/// Severity of a log line, lowest first.
enum class cw_log_level { debug, info, warning, error };

/// A field of a log line, as name and value.
using cw_log_field = std::pair<std::string_view, std::string>;

/// The log of one component of a program. Lines go to standard output, since hosts have no disk.
///
/// A line is dropped and counted when writing it would block, so that a stalled reader of standard
/// output does not block the program. A warning before the next line that is written gives the
/// number of dropped lines. Format: `TIME LEVEL [component] Short sentence. name=value name=value`.
class cw_log {
public:
    explicit cw_log(std::string component)
        : component_{std::move(component)} {}

    /// Configures the logging library for the whole process: no file, one format, and no lines
    /// below `min_level`.
    static void configure(cw_log_level min_level);
    /// The level with this name; `info` when the name is unknown.
    [[nodiscard]] static cw_log_level parse_level(std::string_view name);

    void debug(std::string_view sentence, const std::vector<cw_log_field>& fields = {}) const;
    void info(std::string_view sentence, const std::vector<cw_log_field>& fields = {}) const;
    void warning(std::string_view sentence, const std::vector<cw_log_field>& fields = {}) const;
    void error(std::string_view sentence, const std::vector<cw_log_field>& fields = {}) const;

private:
    [[nodiscard]] std::string line(std::string_view sentence,
                                   const std::vector<cw_log_field>& fields) const;

    std::string component_;
};
