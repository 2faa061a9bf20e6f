/// cuminwinch-load: open-loop load generator that checks the outcomes against the upstreams'
/// journals.

#include "cw_load_report.h"
#include "cw_load_run.h"
#include "cw_settings.h"

#include <cstdlib>
#include <exception>
#include <iostream>
#include <nlohmann/json.hpp>

namespace {

void declare_settings(cw_settings& settings) {
    settings.add_addresses("targets", "IP:PORT,... of routers");
    settings.add_text("prefix", "Path prefix of the service", "/gallery/");
    settings.add_number("rate", "Requests per second", 1, 100'000, 100);
    settings.add_number("seconds", "Duration of the run", 1, 3'600, 5);
    settings.add_number("keys", "Number of keys", 1, 10'000'000, 1'000);
    settings.add_number("zipf-percent", "Zipf exponent of the key popularity, in hundredths", 0,
                        300, 100);
    settings.add_number("hottest-key", "Number of the most popular key", 0, 10'000'000, 0);
    settings.add_number("post-percent", "Share of POST requests", 0, 100, 20);
    settings.add_number("deadline-ms", "Deadline of each request", 1, 600'000, 2'000);
    settings.add_number("answer-bytes", "Bytes of each answer; 0 for the default size", 0,
                        50'000'000, 0);
    settings.add_number("seed", "Seed of the random generator for keys and methods", 0,
                        1'000'000'000, 1);
    settings.add_address("platform", "IP:PORT of the platform, to audit journals; empty for none",
                         "");
}

cw_load_options options_from(const cw_settings& settings) {
    constexpr double hundred = 100.0;
    cw_load_options options;
    options.targets = settings.addresses("targets");
    options.prefix = settings.text("prefix");
    options.rate = static_cast<std::uint32_t>(settings.number("rate"));
    options.duration = std::chrono::seconds{settings.number("seconds")};
    options.key_count = static_cast<std::uint32_t>(settings.number("keys"));
    options.zipf_exponent = static_cast<double>(settings.number("zipf-percent")) / hundred;
    options.hottest_key = static_cast<std::uint32_t>(settings.number("hottest-key"));
    options.post_share = static_cast<double>(settings.number("post-percent")) / hundred;
    options.deadline = settings.milliseconds("deadline-ms");
    options.answer_bytes = static_cast<std::uint32_t>(settings.number("answer-bytes"));
    options.seed = static_cast<std::uint64_t>(settings.number("seed"));
    options.platform = settings.text("platform");
    return options;
}

int run_load(const cw_load_options& options) {
    cw_load_run load{options};
    load.run();
    auto report = cw_load_report::from_records(load.records(), options.duration);
    bool is_clean = report.outcomes[static_cast<std::size_t>(cw_load_outcome::wrong_answer)] == 0;
    if (!options.platform.empty()) {
        const auto journal = cw_read_journals(options.platform, report.unread_journals);
        if (!journal) {
            std::cerr << "cuminwinch-load: " << journal.error().text() << '\n';
            return EXIT_FAILURE;
        }
        report.audit = cw_load_audit::compare(load.records(), *journal);
        is_clean = is_clean && report.audit->is_clean(report.unread_journals == 0);
    }
    std::cout << report.to_json().dump(2) << '\n';
    return is_clean ? EXIT_SUCCESS : EXIT_FAILURE;
}

} // namespace

int main(int argc, char** argv) {
    cw_settings settings{"cuminwinch-load", "Sends open-loop load and audits the outcomes."};
    declare_settings(settings);
    if (const auto code = settings.parse(argc, argv)) {
        return *code;
    }
    try {
        return run_load(options_from(settings));
    } catch (const std::exception& failure) {
        std::cerr << "cuminwinch-load: " << failure.what() << '\n';
        return EXIT_FAILURE;
    }
}
