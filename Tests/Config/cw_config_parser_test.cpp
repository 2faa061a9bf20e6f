#include "cw_config_head.h"
#include "cw_config_parser.h"

#include <algorithm>
#include <doctest/doctest.h>

namespace {

/// A valid configuration of one file, which the tests modify.
struct valid_folder {
    std::string text = "[[firm]]\n"
                       "name = \"studio\"\n"
                       "[[domain]]\n"
                       "name = \"east\"\n"
                       "firm = \"studio\"\n"
                       "region = \"coast\"\n"
                       "[[domain]]\n"
                       "name = \"west\"\n"
                       "firm = \"studio\"\n"
                       "region = \"coast\"\n"
                       "[[service]]\n"
                       "name = \"gallery\"\n"
                       "firm = \"studio\"\n"
                       "prefix = \"/gallery/\"\n"
                       "cut_off = \"release\"\n"
                       "slots = 3\n";

    auto parse() const {
        const std::vector<cw_config_file> files{{"studio.toml", text}};
        return cw_config_parser::parse(files);
    }

    bool reports(std::uint32_t line, const std::string& part) const {
        const auto parsed = parse();
        return !parsed &&
               std::any_of(parsed.error().begin(), parsed.error().end(), [&](const auto& issue) {
                   return issue.line == line && issue.text.find(part) != std::string::npos;
               });
    }
};

} // namespace

TEST_CASE_FIXTURE(valid_folder, "folder_valid_is_read_in_full") {
    const auto parsed = parse();
    REQUIRE(parsed);
    CHECK(parsed->services.front().slots == 3);
    CHECK(parsed->services.front().partition_policy == cw_partition_policy::release);
    CHECK(parsed->service_for_path("/gallery/spring/1") == &parsed->services.front());
    CHECK(parsed->service_for_path("/galleryx/spring") == nullptr);
    CHECK(parsed->deputy_of("west")->name == "east");
}

TEST_CASE_FIXTURE(valid_folder, "field_unknown_is_reported_with_its_line") {
    text += "slotz = 4\n";
    CHECK(reports(17, "unknown field \"slotz\""));
}

TEST_CASE_FIXTURE(valid_folder, "number_out_of_range_is_reported_with_what_is_allowed") {
    text += "connections = 0\n";
    CHECK(reports(17, "is 0; allowed are 1 to 100000"));
}

TEST_CASE_FIXTURE(valid_folder, "number_given_as_text_is_reported_as_wrong_type") {
    text += "connections = \"many\"\n";
    CHECK(reports(17, "wrong type"));
}

TEST_CASE_FIXTURE(valid_folder, "value_not_among_choices_is_reported_with_them") {
    text += "priority = \"urgent\"\n";
    CHECK(reports(17, "allowed are batch, critical, interactive"));
}

TEST_CASE_FIXTURE(valid_folder, "firm_not_declared_is_reported") {
    text += "[[domain]]\nname = \"north\"\nfirm = \"other\"\nregion = \"coast\"\n";
    CHECK(reports(17, "names the firm \"other\""));
}

TEST_CASE_FIXTURE(valid_folder, "prefix_overlapping_another_is_reported") {
    text += "[[service]]\nname = \"album\"\nfirm = \"studio\"\nprefix = \"/gallery/album/\"\n";
    CHECK(reports(17, "overlaps \"/gallery/\" of service \"gallery\""));
}

TEST_CASE_FIXTURE(valid_folder, "name_given_twice_is_reported") {
    text += "[[service]]\nname = \"gallery\"\nfirm = \"studio\"\nprefix = \"/other/\"\n";
    CHECK(reports(17, "declared twice"));
}

TEST_CASE_FIXTURE(valid_folder, "syntax_broken_is_reported_with_its_line") {
    text += "slots = = 3\n";
    CHECK(reports(17, ""));
}

TEST_CASE_FIXTURE(valid_folder, "errors_several_are_all_reported_at_once") {
    text += "slotz = 4\nconnections = 0\npriority = \"urgent\"\n";
    const auto parsed = parse();
    REQUIRE_FALSE(parsed);
    CHECK(parsed.error().size() == 3);
}

TEST_CASE("head_written_is_read_back_the_same") {
    cw_config_head head;
    head.version = 7;
    head.parts = {{"a.toml", cw_config_digest("text")}};
    head.writer = "client.1";
    head.history = {{7, std::chrono::system_clock::time_point{std::chrono::seconds{100}}, "ana"}};
    const auto read = cw_config_head::parse(head.to_json());
    REQUIRE(read);
    CHECK(read->version == 7);
    CHECK(read->parts == head.parts);
    CHECK(read->history.front().author == "ana");
}

TEST_CASE("head_malformed_is_an_error") {
    CHECK_FALSE(cw_config_head::parse("{\"version\": 1}"));
    CHECK_FALSE(cw_config_head::parse("not json"));
}
