#include "cw_settings.h"

#include "cw_address.h"
#include "cw_version.h"

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <cxxopts.hpp>
#include <iostream>
#include <sstream>
#include <string_view>
#include <unistd.h>

namespace {

constexpr std::string_view variable_prefix = "CUMINWINCH_";

std::string variable_name(const std::string& setting) {
    std::string name = std::string{variable_prefix} + setting;
    std::transform(name.begin(), name.end(), name.begin(), [](char letter) {
        return letter == '-' ? '_'
                             : static_cast<char>(std::toupper(static_cast<unsigned char>(letter)));
    });
    return name;
}

std::string joined(const std::vector<std::string>& items) {
    std::string text;
    for (const auto& item : items) {
        text += (text.empty() ? "" : ", ") + item;
    }
    return text;
}

std::vector<std::string> split(const std::string& text) {
    std::vector<std::string> parts;
    std::istringstream stream{text};
    for (std::string part; std::getline(stream, part, ',');) {
        parts.push_back(part);
    }
    return parts;
}

std::optional<std::int64_t> parse_number(const std::string& text) {
    std::int64_t value = 0;
    const auto* end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, value);
    if (result.ec != std::errc{} || result.ptr != end) {
        return std::nullopt;
    }
    return value;
}

tl::unexpected<cw_error> setting_error(const std::string& name, const std::string& reason) {
    return tl::unexpected(
        cw_error{"settings", "", "--" + name + " (" + variable_name(name) + ") " + reason});
}

} // namespace

struct cw_settings::definition {
    enum class kind { text, address, addresses, number, choice, flag };

    std::string name;
    kind type = kind::text;
    std::string help;
    std::optional<std::string> default_value;
    std::int64_t min = 0;
    std::int64_t max = 0;
    std::vector<std::string> allowed;
};

cw_settings::cw_settings(std::string program, std::string purpose)
    : program_{std::move(program)},
      purpose_{std::move(purpose)} {}

cw_settings::~cw_settings() = default;

void cw_settings::add(const std::string& name, definition added) {
    added.name = name;
    definitions_.push_back(std::make_unique<definition>(std::move(added)));
}

void cw_settings::add_text(const std::string& name, const std::string& help,
                           std::optional<std::string> default_value) {
    add(name,
        {.name = name, .help = help, .default_value = std::move(default_value), .allowed = {}});
}

void cw_settings::add_address(const std::string& name, const std::string& help,
                              std::optional<std::string> default_value) {
    add(name, {.name = name,
               .type = definition::kind::address,
               .help = help,
               .default_value = std::move(default_value),
               .allowed = {}});
}

void cw_settings::add_addresses(const std::string& name, const std::string& help) {
    add(name, {.name = name,
               .type = definition::kind::addresses,
               .help = help,
               .default_value = std::nullopt,
               .allowed = {}});
}

void cw_settings::add_number(const std::string& name, const std::string& help, std::int64_t min,
                             std::int64_t max, std::int64_t default_value) {
    add(name, {.name = name,
               .type = definition::kind::number,
               .help = help,
               .default_value = std::to_string(default_value),
               .min = min,
               .max = max,
               .allowed = {}});
}

void cw_settings::add_choice(const std::string& name, const std::string& help,
                             std::vector<std::string> allowed, const std::string& default_value) {
    add(name, {.name = name,
               .type = definition::kind::choice,
               .help = help,
               .default_value = default_value,
               .allowed = std::move(allowed)});
}

void cw_settings::add_flag(const std::string& name, const std::string& help) {
    add(name, {.name = name,
               .type = definition::kind::flag,
               .help = help,
               .default_value = "false",
               .allowed = {"true", "false"}});
}

void cw_settings::add_rule(std::function<std::optional<std::string>(const cw_settings&)> rule) {
    rules_.push_back(std::move(rule));
}

void cw_settings::add_positionals(const std::string& help) {
    takes_positionals_ = true;
    positionals_help_ = help;
}

cw_result<void> cw_settings::check_value(const definition& setting,
                                         const std::string& value) const {
    switch (setting.type) {
    case definition::kind::text:
        if (value.empty() && setting.default_value != "") {
            return setting_error(setting.name, "is empty; a value is required");
        }
        break;
    case definition::kind::address:
        if (!cw_address::parse(value) && !(value.empty() && setting.default_value == "")) {
            return setting_error(setting.name,
                                 "is \"" + value + "\"; give IP:PORT, such as 127.0.0.1:8080");
        }
        break;
    case definition::kind::addresses: {
        const auto parts = split(value);
        const bool readable = std::all_of(parts.begin(), parts.end(), [](const auto& part) {
            return cw_address::parse(part).has_value();
        });
        if (parts.empty() || !readable) {
            return setting_error(setting.name, "is \"" + value + "\"; give IP:PORT,IP:PORT,...");
        }
        break;
    }
    case definition::kind::number: {
        const auto number = parse_number(value);
        if (!number || *number < setting.min || *number > setting.max) {
            return setting_error(setting.name, "is \"" + value + "\"; allowed are " +
                                                   std::to_string(setting.min) + " to " +
                                                   std::to_string(setting.max));
        }
        break;
    }
    case definition::kind::choice:
    case definition::kind::flag:
        if (std::find(setting.allowed.begin(), setting.allowed.end(), value) ==
            setting.allowed.end()) {
            return setting_error(setting.name,
                                 "is \"" + value + "\"; allowed are " + joined(setting.allowed));
        }
        break;
    }
    return {};
}

void cw_settings::declare_options(cxxopts::Options& options) const {
    auto adder = options.add_options();
    for (const auto& setting : definitions_) {
        const auto text =
            setting->help + " [" + variable_name(setting->name) + "]" +
            (setting->default_value ? " (default: " + *setting->default_value + ")" : "");
        if (setting->type == definition::kind::flag) {
            adder(setting->name, text);
        } else {
            adder(setting->name, text, cxxopts::value<std::string>());
        }
    }
    adder("h,help", "Show this help and exit");
    adder("version", "Show the version and exit");
    adder("check", "Check the settings and exit");
    if (takes_positionals_) {
        adder("words", "", cxxopts::value<std::vector<std::string>>());
        options.parse_positional({"words"});
        options.positional_help(positionals_help_);
    }
}

cw_result<void> cw_settings::read_value(const definition& setting,
                                        const cxxopts::ParseResult& given) {
    const auto& name = setting.name;
    const char* variable = std::getenv(variable_name(name).c_str());
    if (given.count(name) > 1) {
        return setting_error(name, "is given more than once; give it once");
    }
    if (given.count(name) == 1) {
        values_[name] =
            setting.type == definition::kind::flag ? "true" : given[name].as<std::string>();
    } else if (variable != nullptr) {
        values_[name] = variable;
    } else if (setting.default_value) {
        values_[name] = *setting.default_value;
    } else {
        return setting_error(name, "is missing; it has no default");
    }
    return check_value(setting, values_[name]);
}

std::vector<std::string> cw_settings::unknown_variables() const {
    std::vector<std::string> names;
    for (char** entry = environ; *entry != nullptr; ++entry) {
        const std::string_view text{*entry};
        const auto name = text.substr(0, text.find('='));
        const bool is_known =
            std::any_of(definitions_.begin(), definitions_.end(),
                        [&](const auto& setting) { return variable_name(setting->name) == name; });
        if (name.starts_with(variable_prefix) && !is_known) {
            names.emplace_back(name);
        }
    }
    return names;
}

std::vector<cw_error> cw_settings::read_all(int argc, const char* const* argv) {
    cxxopts::Options options{program_, purpose_};
    declare_options(options);
    help_ = options.help();
    std::vector<cw_error> errors;
    try {
        const auto parsed = options.parse(argc, argv);
        for (const auto* name : {"help", "version", "check"}) {
            if (parsed.count(name) != 0) {
                values_[name] = "true";
            }
        }
        if (values_.contains("help") || values_.contains("version")) {
            return {};
        }
        if (takes_positionals_ && parsed.count("words") != 0) {
            positionals_ = parsed["words"].as<std::vector<std::string>>();
        }
        for (const auto& argument :
             takes_positionals_ ? std::vector<std::string>{} : parsed.unmatched()) {
            errors.push_back(
                {"settings", "", "unexpected argument \"" + argument + "\"; see --help"});
        }
        for (const auto& setting : definitions_) {
            if (auto read_result = read_value(*setting, parsed); !read_result) {
                errors.push_back(std::move(read_result.error()));
            }
        }
    } catch (const cxxopts::exceptions::exception& failure) {
        errors.push_back({"settings", "", std::string{failure.what()} + "; see --help"});
    }
    // Rules read the values of settings, so they run only when all values are valid.
    for (const auto& rule : errors.empty() ? rules_ : decltype(rules_){}) {
        if (const auto reason = rule(*this)) {
            errors.push_back({"settings", "", *reason});
        }
    }
    return errors;
}

std::optional<int> cw_settings::parse(int argc, const char* const* argv) {
    for (const auto& name : unknown_variables()) {
        std::cerr << program_ << ": settings: unknown environment variable " << name
                  << "; see --help\n";
    }
    const auto errors = read_all(argc, argv);
    for (const auto& error : errors) {
        std::cerr << program_ << ": " << error.text() << '\n';
    }
    if (!errors.empty()) {
        return cw_exit_usage;
    }
    if (values_.contains("help")) {
        std::cout << help_;
        return EXIT_SUCCESS;
    }
    if (values_.contains("version")) {
        std::cout << program_ << ' ' << cw_version << '\n';
        return EXIT_SUCCESS;
    }
    if (values_.contains("check")) {
        std::cout << "settings are valid\n";
        return EXIT_SUCCESS;
    }
    return std::nullopt;
}

const std::string& cw_settings::text(const std::string& name) const {
    return values_.at(name);
}

std::vector<std::string> cw_settings::addresses(const std::string& name) const {
    return split(values_.at(name));
}

std::int64_t cw_settings::number(const std::string& name) const {
    return parse_number(values_.at(name)).value_or(0);
}

std::chrono::milliseconds cw_settings::milliseconds(const std::string& name) const {
    return std::chrono::milliseconds{number(name)};
}

bool cw_settings::flag(const std::string& name) const {
    return values_.at(name) == "true";
}
