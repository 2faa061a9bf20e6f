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

/// Settings of one program, read from command-line flags and from one environment variable for each
/// flag: CUMINWINCH_ and the flag's name in upper case. A flag overrides its variable.
///
/// Each invalid setting is reported in one line that names the setting, its value and the allowed
/// values; all of them are reported at once. A variable with the prefix that matches no setting
/// only causes a warning, since several programs may share an environment.
class cw_settings {
public:
    /// `program` names the binary; `purpose` is the first line of its help.
    cw_settings(std::string program, std::string purpose);
    ~cw_settings();

    /// A text setting; it is required when it has no default.
    void add_text(const std::string& name, const std::string& help,
                  std::optional<std::string> default_value = std::nullopt);
    /// An "IP:port" setting.
    void add_address(const std::string& name, const std::string& help,
                     std::optional<std::string> default_value = std::nullopt);
    /// One or more "IP:port" separated by commas; required.
    void add_addresses(const std::string& name, const std::string& help);
    /// An integer from `min` to `max`, both inclusive.
    void add_number(const std::string& name, const std::string& help, std::int64_t min,
                    std::int64_t max, std::int64_t default_value);
    /// A setting that takes one of the allowed values.
    void add_choice(const std::string& name, const std::string& help,
                    std::vector<std::string> allowed, const std::string& default_value);
    /// A boolean setting, false by default. The flag takes no value; the variable is "true" or
    /// "false".
    void add_flag(const std::string& name, const std::string& help);
    /// Adds a check over several settings, which runs only when each setting is valid by itself. It
    /// returns the error message, or nullopt.
    void add_rule(std::function<std::optional<std::string>(const cw_settings&)> rule);
    /// Accepts positional arguments; `help` describes them in the usage line.
    void add_positionals(const std::string& help);

    /// Reads flags and environment. After an error, and for --help, --version and --check, it
    /// prints a message and returns the code with which the program should exit; otherwise nullopt.
    [[nodiscard]] std::optional<int> parse(int argc, const char* const* argv);

    /// Values by setting name. They throw std::out_of_range for a name that has no value.
    [[nodiscard]] const std::string& text(const std::string& name) const;
    [[nodiscard]] std::vector<std::string> addresses(const std::string& name) const;
    [[nodiscard]] std::int64_t number(const std::string& name) const;
    [[nodiscard]] std::chrono::milliseconds milliseconds(const std::string& name) const;
    [[nodiscard]] bool flag(const std::string& name) const;
    [[nodiscard]] const std::vector<std::string>& positionals() const { return positionals_; }

private:
    struct definition;

    void add(const std::string& name, definition added);
    /// Declares the settings to the flag parser.
    void declare_options(cxxopts::Options& options) const;
    /// Reads all settings; returns all errors.
    [[nodiscard]] std::vector<cw_error> read_all(int argc, const char* const* argv);
    /// Sets one value from its flag, its variable or its default, in this order, and checks it.
    [[nodiscard]] cw_result<void> read_value(const definition& setting,
                                             const cxxopts::ParseResult& given);
    /// Environment variables with the product's prefix that match no setting of this program.
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

/// Exit code of every program when its settings are invalid.
inline constexpr int cw_exit_usage = 2;
