/// cuminwinch: the operators' command-line client.

#include "cw_client.h"
#include "cw_settings.h"

#include <cstdlib>
#include <exception>
#include <functional>
#include <iostream>
#include <map>

namespace {

struct command {
    std::vector<std::string> arguments;
    std::function<cw_client_exit(cw_client&, const std::vector<std::string>&)> run;
};

const std::map<std::string, command>& commands() {
    static const std::map<std::string, command> table{
        {"validate",
         {{"FOLDER"},
          [](auto& client, const auto& positionals) { return client.validate(positionals[1]); }}},
        {"plan",
         {{"FOLDER"},
          [](auto& client, const auto& positionals) { return client.plan(positionals[1]); }}},
        {"apply",
         {{"FOLDER"},
          [](auto& client, const auto& positionals) { return client.apply(positionals[1]); }}},
        {"status", {{}, [](auto& client, const auto&) { return client.status(); }}},
        {"history", {{}, [](auto& client, const auto&) { return client.history(); }}},
        {"show", {{}, [](auto& client, const auto&) { return client.show(); }}},
        {"owners",
         {{"SERVICE"},
          [](auto& client, const auto& positionals) { return client.owners(positionals[1]); }}},
        {"explain",
         {{"SERVICE", "KEY"},
          [](auto& client, const auto& positionals) {
              return client.explain(positionals[1], positionals[2]);
          }}},
        {"timeline", {{}, [](auto& client, const auto&) { return client.timeline(); }}}};
    return table;
}

std::string command_names() {
    std::string names;
    for (const auto& [name, unused] : commands()) {
        names += (names.empty() ? "" : ", ") + name;
    }
    return names;
}

std::optional<std::string> check_command_line(const cw_settings& settings) {
    const auto& positionals = settings.positionals();
    if (positionals.empty()) {
        return "no command is given; known commands: " + command_names();
    }
    const auto found = commands().find(positionals.front());
    if (found == commands().end()) {
        return "unknown command \"" + positionals.front() +
               "\"; known commands: " + command_names();
    }
    if (positionals.size() != found->second.arguments.size() + 1) {
        std::string usage = positionals.front();
        for (const auto& argument : found->second.arguments) {
            usage += " " + argument;
        }
        return "wrong number of arguments for " + positionals.front() + "; usage: cuminwinch " +
               usage;
    }
    return std::nullopt;
}

cw_client_options options_from(const cw_settings& settings) {
    cw_client_options options;
    options.platform = settings.text("platform");
    options.json = settings.flag("json");
    options.wait = settings.flag("wait");
    options.max_wait = settings.milliseconds("wait-ms");
    options.author = settings.text("author");
    if (settings.number("base") >= 0) {
        options.expected_version = static_cast<std::uint64_t>(settings.number("base"));
    }
    return options;
}

} // namespace

int main(int argc, char** argv) {
    cw_settings settings{"cuminwinch", "Applies configurations and shows the state of the system.\n"
                                       "Commands: " +
                                           command_names()};
    const char* user = std::getenv("USER");
    settings.add_address("platform", "IP:PORT of the platform's store and host list",
                         "127.0.0.1:7000");
    settings.add_flag("json", "Print JSON");
    settings.add_flag("wait", "apply: wait until the version is in force on all reachable hosts");
    settings.add_number("wait-ms", "apply: maximum wait", 1, 3'600'000, 30'000);
    settings.add_number("base", "apply: version that must be in force; -1 for any", -1,
                        1'000'000'000'000, -1);
    settings.add_text("author", "apply: name recorded in the history",
                      user == nullptr ? "operator" : user);
    settings.add_positionals("COMMAND [ARGUMENTS]");
    settings.add_rule(check_command_line);
    if (const auto code = settings.parse(argc, argv)) {
        return *code;
    }
    try {
        cw_client client{options_from(settings)};
        const auto& positionals = settings.positionals();
        return static_cast<int>(commands().at(positionals.front()).run(client, positionals));
    } catch (const std::exception& failure) {
        std::cerr << "cuminwinch: " << failure.what() << '\n';
        return EXIT_FAILURE;
    }
}
