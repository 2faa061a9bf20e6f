#include "cw_config_parser.h"

#include <algorithm>
#include <map>
#include <set>
#include <sstream>
// toml++ returns errors as values instead of throwing, so that the errors of all files are
// collected.
#define TOML_EXCEPTIONS 0
#include <toml++/toml.h>

namespace {

constexpr std::int64_t max_slots = 1'000;
constexpr std::int64_t max_connections = 100'000;
constexpr std::int64_t max_slices_per_upstream = 1'000;
constexpr std::int64_t max_deadline_ms = 3'600'000;
constexpr std::int64_t max_hold_down_ms = 86'400'000;
constexpr std::size_t max_file_bytes = 1'000'000;
constexpr double min_imbalance = 1.01;
constexpr double max_imbalance = 10.0;

struct integer_range {
    std::int64_t min;
    std::int64_t max;
};

/// Reads the typed fields of one TOML table and records an issue for each error.
class field_reader {
public:
    field_reader(const toml::table& table, const std::string& file,
                 std::vector<cw_config_issue>& issues)
        : table_{table},
          file_{file},
          issues_{issues} {}

    std::string text(std::string_view name, bool required = true) {
        return value<std::string>(name, "a string", required).value_or("");
    }

    template <typename T>
    void integer(std::string_view name, integer_range range, T& target) {
        const auto found = value<std::int64_t>(name, "a whole number", false);
        if (!found) {
            return;
        }
        if (*found < range.min || *found > range.max) {
            add(name, "is " + std::to_string(*found) + "; allowed are " +
                          std::to_string(range.min) + " to " + std::to_string(range.max));
            return;
        }
        target = T(*found);
    }

    void number(std::string_view name, double min, double max, double& target) {
        const auto found = value<double>(name, "a number", false);
        if (!found) {
            return;
        }
        if (!(*found >= min && *found <= max)) {
            std::ostringstream message;
            message << "is " << *found << "; allowed are " << min << " to " << max;
            add(name, message.str());
            return;
        }
        target = *found;
    }

    void flag(std::string_view name, bool& target) {
        target = value<bool>(name, "true or false", false).value_or(target);
    }

    template <typename Enum>
    void choice(std::string_view name, const std::map<std::string, Enum>& allowed, Enum& target) {
        const auto found = value<std::string>(name, "a string", false);
        if (!found) {
            return;
        }
        const auto entry = allowed.find(*found);
        if (entry != allowed.end()) {
            target = entry->second;
            return;
        }
        std::string names;
        for (const auto& [allowed_name, unused] : allowed) {
            names += (names.empty() ? "" : ", ") + allowed_name;
        }
        add(name, "is \"" + *found + "\"; allowed are " + names);
    }

    void report_unknown_fields() {
        for (const auto& [key, node] : table_) {
            if (!known_.contains(std::string{key.str()})) {
                issues_.push_back({file_, key.source().begin.line,
                                   "unknown field \"" + std::string{key.str()} +
                                       "\"; known fields: " + known_names()});
            }
        }
    }

    void add(std::string_view name, const std::string& text) {
        const auto* node = table_.get(name);
        const auto line = node != nullptr ? node->source().begin.line : table_.source().begin.line;
        issues_.push_back({file_, line, std::string{name} + " " + text});
    }

private:
    template <typename T>
    std::optional<T> value(std::string_view name, const char* kind, bool required) {
        known_.insert(std::string{name});
        const auto* node = table_.get(name);
        if (node == nullptr) {
            if (required) {
                add(name, "is missing; expected " + std::string{kind});
            }
            return std::nullopt;
        }
        auto found = node->value<T>();
        if (!found) {
            add(name, "has the wrong type; expected " + std::string{kind});
        }
        return found;
    }

    std::string known_names() const {
        std::string names;
        for (const auto& name : known_) {
            names += (names.empty() ? "" : ", ") + name;
        }
        return names;
    }

    const toml::table& table_;
    const std::string& file_;
    std::vector<cw_config_issue>& issues_;
    std::set<std::string> known_;
};

/// Merges all files into one configuration, then checks the rules that span several tables.
class config_builder {
public:
    void add_file(const cw_config_file& file) {
        if (file.text.size() > max_file_bytes) {
            issues.push_back({file.name, 1, "file is larger than 1000000 bytes; split it"});
            return;
        }
        const toml::parse_result parsed = parse_text(file);
        if (!parsed) {
            issues.push_back({file.name, parsed.error().source().begin.line,
                              std::string{parsed.error().description()}});
            return;
        }
        for (const auto& [key, node] : parsed.table()) {
            add_section(file.name, key, node);
        }
    }

    void check_references() {
        for (std::size_t i = 0; i < config.domains.size(); ++i) {
            check_firm(config.domains[i].firm, domain_locations_[i], "domain",
                       config.domains[i].name);
        }
        for (std::size_t i = 0; i < config.services.size(); ++i) {
            check_firm(config.services[i].firm, service_locations_[i], "service",
                       config.services[i].name);
            check_prefix(i);
        }
    }

    cw_config config;
    std::vector<cw_config_issue> issues;

private:
    struct source_location {
        std::string file;
        std::uint32_t line;
    };

    static toml::parse_result parse_text(const cw_config_file& file) {
        return toml::parse(std::string_view{file.text}, std::string_view{file.name});
    }

    void add_section(const std::string& file, const toml::key& key, const toml::node& node) {
        const auto line = key.source().begin.line;
        if (key.str() != "firm" && key.str() != "domain" && key.str() != "service") {
            issues.push_back({file, line,
                              "unknown section \"" + std::string{key.str()} +
                                  "\"; known sections: firm, domain, service"});
            return;
        }
        const auto* items = node.as_array();
        if (items == nullptr) {
            issues.push_back(
                {file, line, "write [[" + std::string{key.str()} + "]], an array of tables"});
            return;
        }
        for (const auto& item : *items) {
            if (const auto* table = item.as_table(); table != nullptr) {
                add_table(file, key.str(), *table);
            }
        }
    }

    void add_table(const std::string& file, std::string_view section, const toml::table& table) {
        field_reader reader{table, file, issues};
        const source_location location{file, table.source().begin.line};
        if (section == "firm") {
            const auto name = reader.text("name");
            check_name("firm", name, location);
            config.firms.push_back(name);
        } else if (section == "domain") {
            cw_domain_config domain;
            domain.name = reader.text("name");
            domain.firm = reader.text("firm");
            domain.region = reader.text("region");
            check_name("domain", domain.name, location);
            config.domains.push_back(domain);
            domain_locations_.push_back(location);
        } else {
            add_service(reader, location);
        }
        reader.report_unknown_fields();
    }

    void add_service(field_reader& reader, const source_location& location) {
        cw_service_config service;
        service.name = reader.text("name");
        service.firm = reader.text("firm");
        service.prefix = reader.text("prefix");
        reader.flag("keyed", service.keyed);
        reader.flag("checks_fences", service.checks_fences);
        reader.choice<cw_partition_policy>(
            "cut_off",
            {{"hold", cw_partition_policy::hold}, {"release", cw_partition_policy::release}},
            service.partition_policy);
        reader.choice<cw_priority>("priority",
                                   {{"critical", cw_priority::critical},
                                    {"interactive", cw_priority::interactive},
                                    {"batch", cw_priority::batch}},
                                   service.priority);
        reader.integer("slots", {1, max_slots}, service.slots);
        reader.integer("connections", {1, max_connections}, service.connections);
        reader.integer("slices_per_upstream", {1, max_slices_per_upstream},
                       service.slices_per_upstream);
        reader.integer("churn_budget", {0, max_slices_per_upstream}, service.churn_budget);
        reader.number("imbalance_bound", min_imbalance, max_imbalance, service.imbalance_bound);
        reader.integer("hold_down_ms", {0, max_hold_down_ms}, service.hold_down);
        reader.integer("default_deadline_ms", {1, max_deadline_ms}, service.default_deadline);
        if (!service.prefix.empty() &&
            (service.prefix.front() != '/' || service.prefix.back() != '/' ||
             service.prefix.size() < 3)) {
            reader.add("prefix", "is \"" + service.prefix + "\"; give \"/NAME/\"");
        }
        check_name("service", service.name, location);
        config.services.push_back(service);
        service_locations_.push_back(location);
    }

    void check_name(const std::string& kind, const std::string& name,
                    const source_location& location) {
        const bool allowed = std::all_of(name.begin(), name.end(), [](char letter) {
            return (letter >= 'a' && letter <= 'z') || (letter >= '0' && letter <= '9') ||
                   letter == '-';
        });
        if (!allowed) {
            issues.push_back({location.file, location.line,
                              kind + " name \"" + name + "\" may contain only a-z, 0-9 and -"});
        }
        if (!name.empty() && !names_.insert(kind + " " + name).second) {
            issues.push_back({location.file, location.line,
                              kind + " \"" + name + "\" is declared twice; names are unique"});
        }
    }

    void check_firm(const std::string& firm, const source_location& location,
                    const std::string& kind, const std::string& name) {
        if (std::find(config.firms.begin(), config.firms.end(), firm) == config.firms.end()) {
            issues.push_back({location.file, location.line,
                              kind + " \"" + name + "\" names the firm \"" + firm +
                                  "\", which no [[firm]] declares"});
        }
    }

    void check_prefix(std::size_t index) {
        const auto& mine = config.services[index];
        for (std::size_t other = 0; other < index; ++other) {
            const auto& theirs = config.services[other];
            if (!mine.prefix.empty() && !theirs.prefix.empty() &&
                (mine.prefix.starts_with(theirs.prefix) ||
                 theirs.prefix.starts_with(mine.prefix))) {
                issues.push_back({service_locations_[index].file, service_locations_[index].line,
                                  "prefix \"" + mine.prefix + "\" overlaps \"" + theirs.prefix +
                                      "\" of service \"" + theirs.name + "\""});
            }
        }
    }

    std::vector<source_location> domain_locations_;
    std::vector<source_location> service_locations_;
    std::set<std::string> names_;
};

} // namespace

tl::expected<cw_config, std::vector<cw_config_issue>>
cw_config_parser::parse(std::span<const cw_config_file> files) {
    config_builder builder;
    for (const auto& file : files) {
        builder.add_file(file);
    }
    builder.check_references();
    if (builder.issues.empty() && builder.config.services.empty()) {
        builder.issues.push_back({"(folder)", 0, "no [[service]] is declared; give at least one"});
    }
    if (!builder.issues.empty()) {
        return tl::unexpected(builder.issues);
    }
    return builder.config;
}
