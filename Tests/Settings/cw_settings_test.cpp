#include "cw_settings.h"

#include <cstdlib>
#include <doctest/doctest.h>
#include <iostream>
#include <sstream>
#include <string>

namespace {

/// A program with settings of several types.
struct declared_settings {
    declared_settings() {
        settings.add_text("host", "A host");
        settings.add_address("listen", "An address", "127.0.0.1:80");
        settings.add_number("threads", "A number", 1, 8, 2);
        settings.add_choice("level", "A word", {"low", "high"}, "low");
        settings.add_flag("json", "A flag");
        settings.add_text("comment", "Another text", "");
    }
    ~declared_settings() {
        unsetenv("CUMINWINCH_HOST");
        unsetenv("CUMINWINCH_THREADS");
    }

    std::optional<int> parse(std::vector<const char*> arguments) {
        arguments.insert(arguments.begin(), "program");
        return settings.parse(static_cast<int>(arguments.size()), arguments.data());
    }

    cw_settings settings{"program", "A program"};
};

/// Captures what is written to the standard error stream during its lifetime.
class captured_errors {
public:
    captured_errors()
        : former_{std::cerr.rdbuf(stream_.rdbuf())} {}
    ~captured_errors() { std::cerr.rdbuf(former_); }
    captured_errors(const captured_errors&) = delete;
    captured_errors& operator=(const captured_errors&) = delete;

    std::string text() const { return stream_.str(); }

private:
    std::ostringstream stream_;
    std::streambuf* former_;
};

} // namespace

TEST_CASE_FIXTURE(declared_settings, "flag_overrides_variable") {
    setenv("CUMINWINCH_HOST", "from-variable", 1);
    setenv("CUMINWINCH_THREADS", "4", 1);
    CHECK_FALSE(parse({"--host", "from-flag"}));
    CHECK(settings.text("host") == "from-flag");
    CHECK(settings.number("threads") == 4);
    CHECK(settings.text("listen") == "127.0.0.1:80");
}

TEST_CASE_FIXTURE(declared_settings, "setting_missing_ends_with_usage_code") {
    CHECK(parse({}) == cw_exit_usage);
}

TEST_CASE_FIXTURE(declared_settings, "setting_malformed_ends_with_usage_code") {
    CHECK(parse({"--host", "h", "--listen", "nowhere"}) == cw_exit_usage);
    CHECK(parse({"--host", "h", "--threads", "9"}) == cw_exit_usage);
    CHECK(parse({"--host", "h", "--threads", "2x"}) == cw_exit_usage);
    CHECK(parse({"--host", "h", "--level", "middle"}) == cw_exit_usage);
    CHECK(parse({"--host", "h", "--unknown", "1"}) == cw_exit_usage);
    CHECK(parse({"--host", "h", "--host", "i"}) == cw_exit_usage);
    CHECK(parse({"--host", "h", "word"}) == cw_exit_usage);
}

TEST_CASE_FIXTURE(declared_settings, "address_list_is_read_or_refused_as_a_whole") {
    settings.add_addresses("targets", "Several addresses");
    CHECK_FALSE(parse({"--host", "h", "--targets", "127.0.0.1:1,127.0.0.2:2"}));
    CHECK(settings.addresses("targets") == std::vector<std::string>{"127.0.0.1:1", "127.0.0.2:2"});
    CHECK(parse({"--host", "h", "--targets", "127.0.0.1:1,nowhere"}) == cw_exit_usage);
    CHECK(parse({"--host", "h", "--targets", ","}) == cw_exit_usage);
}

TEST_CASE_FIXTURE(declared_settings, "errors_are_all_shown_at_once") {
    const captured_errors errors;
    CHECK(parse({"--threads", "9", "--level", "middle", "--listen", "nowhere"}) == cw_exit_usage);
    for (const char* name : {"--host", "--threads", "--level", "--listen"}) {
        CHECK_MESSAGE(errors.text().find(name) != std::string::npos, name);
    }
}

TEST_CASE_FIXTURE(declared_settings, "variable_unknown_only_causes_a_warning") {
    const captured_errors errors;
    setenv("CUMINWINCH_THREDS", "4", 1);
    CHECK_FALSE(parse({"--host", "h"}));
    unsetenv("CUMINWINCH_THREDS");
    CHECK(errors.text().find("CUMINWINCH_THREDS") != std::string::npos);
}

TEST_CASE_FIXTURE(declared_settings, "variable_malformed_ends_with_usage_code") {
    setenv("CUMINWINCH_THREADS", "many", 1);
    CHECK(parse({"--host", "h"}) == cw_exit_usage);
}

TEST_CASE_FIXTURE(declared_settings, "rule_broken_ends_with_usage_code") {
    settings.add_rule([](const cw_settings& given) -> std::optional<std::string> {
        return given.number("threads") == 3 ? std::optional<std::string>{"three is too many"}
                                            : std::nullopt;
    });
    CHECK(parse({"--host", "h", "--threads", "3"}) == cw_exit_usage);
    CHECK_FALSE(parse({"--host", "h", "--threads", "4"}));
}

TEST_CASE_FIXTURE(declared_settings, "check_requested_ends_with_success") {
    CHECK(parse({"--host", "h", "--check"}) == EXIT_SUCCESS);
    CHECK(parse({"--check"}) == cw_exit_usage);
}
