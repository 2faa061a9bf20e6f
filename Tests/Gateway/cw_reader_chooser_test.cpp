#include "cw_reader_chooser.h"

#include <doctest/doctest.h>
#include <string>

using namespace std::chrono_literals;

namespace {

constexpr auto tick = 50ms;
constexpr auto selection_delay = cw_reader_chooser_options{}.selection_delay;
constexpr auto change_interval = cw_reader_chooser_options{}.change_interval;

/// A host that collects the reports of two failure domains with four hosts each.
struct collecting_host {
    cw_reader_chooser chooser;
    cw_hosts_by_name hosts;
    cw_boot_time now{1'000s};
    int changes = 0;

    collecting_host() {
        for (const std::string domain : {"hakata", "tenjin"}) {
            for (int index = 0; index < 4; ++index) {
                add(domain, index, index < 2 ? 0.5 : 0.1);
            }
        }
    }

    static std::string name_of(const std::string& domain, int index) {
        return domain + std::to_string(index);
    }

    void add(const std::string& domain, int index, double capacity) {
        const auto name = name_of(domain, index);
        hosts[name] = {domain, name, capacity, false};
        chooser.on_hosts_changed();
    }

    void remove(const std::string& name) {
        hosts.erase(name);
        chooser.on_hosts_changed();
    }

    void run_for(std::chrono::milliseconds length) {
        for (const auto until = now + length; now < until; now += tick) {
            changes += chooser.is_due(now) && chooser.choose(hosts, now) ? 1 : 0;
        }
    }

    [[nodiscard]] std::string first_reader(const std::string& domain) const {
        const auto found = chooser.readers().find(domain);
        return found == chooser.readers().end() ? "" : found->second.front();
    }
};

} // namespace

TEST_CASE_FIXTURE(collecting_host, "collecting_host_chooses_readers_when_all_hosts_have_reported") {
    run_for(selection_delay);
    CHECK(chooser.readers().empty());
    run_for(tick);
    CHECK(chooser.readers().size() == 2);
    CHECK(changes == 1);
}

// Guards against rankings that follow each host that drops out and comes back.
TEST_CASE_FIXTURE(collecting_host, "hosts_whose_reports_come_and_go_change_the_readers_seldom") {
    run_for(selection_delay + tick);
    for (int round = 0; round < 60; ++round) {
        if (round % 2 == 0) {
            remove("hakata0");
            remove("tenjin1");
        } else {
            add("hakata", 0, 0.5);
            add("tenjin", 1, 0.5);
        }
        run_for(tick);
    }
    constexpr int seconds = 3;
    CHECK(changes <= 1 + seconds);
}

TEST_CASE_FIXTURE(collecting_host, "reader_that_is_gone_is_replaced_at_the_next_choice") {
    run_for(selection_delay + tick);
    const auto lost = first_reader("hakata");
    run_for(change_interval);
    remove(lost);
    run_for(tick);
    CHECK(changes == 2);
    CHECK(first_reader("hakata") != lost);
    const auto second = first_reader("hakata");
    remove(second);
    run_for(change_interval + tick);
    CHECK(first_reader("hakata") != second);
}

TEST_CASE_FIXTURE(collecting_host, "host_that_no_longer_collects_names_no_readers") {
    run_for(selection_delay + tick);
    CHECK(chooser.stop());
    CHECK(chooser.readers().empty());
    CHECK_FALSE(chooser.stop());
    run_for(selection_delay + tick);
    CHECK(changes == 2);
}
