#pragma once

#include "cw_error.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cxxopts {
class Options;
class ParseResult;
} // namespace cxxopts

/// Settings of one program: flags, and an environment variable for each flag. A flag goes before
/// its variable.
///
/// Every mistake ends in one line that names the setting, its value and what is allowed; all are
/// shown at once. A variable that looks like a setting and is none is named, but ends nothing,
/// since several programs may share an environment.
class cw_settings {
public:
    /// `program` names the binary; `purpose` is the first line of its help.
    cw_settings(std::string program, std::string purpose);
    ~cw_settings();

    /// A text setting. Without a default it must be given.
    void add_text(const std::string& name, const std::string& help,
                  std::optional<std::string> default_value = std::nullopt);
    /// An "IP:port" setting.
    void add_address(const std::string& name, const std::string& help,
                     std::optional<std::string> default_value = std::nullopt);
    /// One or more "IP:port" joined by commas.
    void add_addresses(const std::string& name, const std::string& help);
    /// A whole number within a range.
    void add_number(const std::string& name, const std::string& help, std::int64_t min,
                    std::int64_t max, std::int64_t default_value);
    /// One of several words.
    void add_choice(const std::string& name, const std::string& help,
                    std::vector<std::string> allowed, const std::string& default_value);
    void add_flag(const std::string& name, const std::string& help);
    /// A check over several settings. It returns what is wrong and what is allowed, or nothing.
    void add_rule(std::function<std::optional<std::string>(const cw_settings&)> rule);
    /// Words that follow the flags.
    void add_positionals(const std::string& help);

    /// Reads flags and environment. On a mistake, and after --help, --version and --check, it
    /// prints and returns the exit code with which the program should end.
    [[nodiscard]] std::optional<int> parse(int argc, const char* const* argv);

    [[nodiscard]] const std::string& text(const std::string& name) const;
    [[nodiscard]] std::vector<std::string> addresses(const std::string& name) const;
    [[nodiscard]] std::int64_t number(const std::string& name) const;
    [[nodiscard]] std::chrono::milliseconds milliseconds(const std::string& name) const;
    [[nodiscard]] bool flag(const std::string& name) const;
    [[nodiscard]] const std::vector<std::string>& positionals() const { return positionals_; }

private:
    struct definition;

    void add(const std::string& name, definition added);
    /// Adds the settings to the parser of flags.
    void declare_options(cxxopts::Options& options) const;
    /// Reads all settings; returns every mistake.
    [[nodiscard]] std::vector<cw_error> read_all(int argc, const char* const* argv);
    /// Takes one setting from its flag, its variable or its default.
    [[nodiscard]] cw_result<void> read_value(const definition& setting,
                                             const cxxopts::ParseResult& given);
    /// Variables of the product's form that are no setting of this program.
    [[nodiscard]] std::vector<std::string> unknown_variables() const;
    [[nodiscard]] cw_result<void> check_value(const definition& setting,
                                              const std::string& value) const;

    std::string program_;
    std::string purpose_;
    std::string positionals_help_;
    bool takes_positionals_ = false;
    std::vector<std::unique_ptr<definition>> definitions_;
    std::vector<std::function<std::optional<std::string>(const cw_settings&)>> rules_;
    std::map<std::string, std::string> values_;
    std::vector<std::string> positionals_;
    std::string help_;
};

/// Exit code of every program for a mistake in its settings.
inline constexpr int cw_exit_usage = 2;
