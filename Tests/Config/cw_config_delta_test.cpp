#include "cw_config_head.h"
#include "cw_config_source.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

namespace {

/// A version of two files. The receiver has the first file and an older text of the second.
struct changed_folder {
    static std::string firm(const std::string& name) {
        return "[[firm]]\nname = \"" + name + "\"\n[[domain]]\nname = \"" + name +
               "-1\"\nfirm = \"" + name + "\"\nregion = \"r\"\n[[service]]\nname = \"" + name +
               "-shop\"\nfirm = \"" + name + "\"\nprefix = \"/" + name + "/\"\n";
    }

    std::vector<cw_config_file> present{{"a.toml", firm("alpha")}, {"b.toml", firm("beta")}};
    std::vector<cw_config_file> held_files{{"a.toml", firm("alpha")}, {"b.toml", firm("older")}};

    std::set<std::string> digests() const {
        std::set<std::string> result;
        for (const auto& file : held_files) {
            result.insert(cw_config_digest(file.text));
        }
        return result;
    }
};

} // namespace

TEST_CASE_FIXTURE(changed_folder, "delta_carries_changed_files_only_and_is_completed") {
    const auto text = cw_make_config_delta(present, 7, digests()).dump();
    CHECK(text.find("alpha") == std::string::npos);
    CHECK(text.find("beta") != std::string::npos);
    const auto loaded = cw_parse_config_delta(text, held_files);
    REQUIRE_MESSAGE(loaded, loaded.error().text());
    CHECK(loaded->config->version == 7);
    REQUIRE(loaded->files.size() == 2);
    CHECK(loaded->files[0].text == present[0].text);
    CHECK(loaded->files[1].text == present[1].text);
}

TEST_CASE_FIXTURE(changed_folder, "delta_without_its_base_is_rejected_in_full") {
    const auto text = cw_make_config_delta(present, 7, digests()).dump();
    const auto loaded = cw_parse_config_delta(text, {});
    REQUIRE_FALSE(loaded);
    CHECK(loaded.error().text().find("a.toml") != std::string::npos);
}

TEST_CASE_FIXTURE(changed_folder, "delta_damaged_in_transit_is_rejected_in_full") {
    auto delta = cw_make_config_delta(present, 7, digests());
    delta["parts"][1][2] = firm("gamma");
    CHECK_FALSE(cw_parse_config_delta(delta.dump(), held_files));
    CHECK_FALSE(cw_parse_config_delta("no JSON", held_files));
    CHECK_FALSE(cw_parse_config_delta("{}", held_files));
}

TEST_CASE_FIXTURE(changed_folder, "bundle_of_an_older_keeper_is_read") {
    const auto loaded = cw_parse_config_delta(cw_make_config_bundle(present, 6).dump(), held_files);
    REQUIRE_MESSAGE(loaded, loaded.error().text());
    CHECK(loaded->config->version == 6);
}
