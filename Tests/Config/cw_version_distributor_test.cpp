#include "cw_version_distributor.h"

#include <deque>
#include <doctest/doctest.h>
#include <map>
#include <memory>
#include <set>

using namespace std::chrono_literals;

namespace {

/// A domain of hosts whose distributors communicate over an in-memory network without loss; hosts
/// in `failed_hosts` receive and send nothing.
struct distributor_domain {
    explicit distributor_domain(std::size_t count = 40) {
        for (std::size_t i = 0; i < count; ++i) {
            names.push_back("h" + std::to_string(100 + i));
        }
        for (const auto& name : names) {
            distributors.emplace(name,
                                 cw_version_distributor{name, {}, std::hash<std::string>{}(name)});
            distributors.at(name).set_hosts(names, {});
        }
    }

    void flush(const std::string& name) {
        for (const auto& command : distributors.at(name).take_commands()) {
            ++messages;
            if (!failed_hosts.contains(command.host)) {
                queue.push_back({name, command});
            }
        }
    }

    void run(std::chrono::milliseconds length) {
        for (const auto end = now + length; now < end; now += 10ms) {
            for (const auto& name : names) {
                if (!failed_hosts.contains(name)) {
                    distributors.at(name).on_tick(now);
                    flush(name);
                }
            }
            while (!queue.empty()) {
                const auto [from, command] = queue.front();
                queue.pop_front();
                deliver(from, command);
            }
        }
    }

    void deliver(const std::string& from, const cw_version_distributor_command& command) {
        auto& target = distributors.at(command.host);
        switch (command.action) {
        case cw_version_distributor_command::kind::offer:
            target.on_offer(from, command.version, now);
            break;
        case cw_version_distributor_command::kind::acknowledge:
            target.on_acknowledgement(from, command.version);
            break;
        case cw_version_distributor_command::kind::fetch:
            distributors.at(from).on_version(target.version(), now);
            flush(from);
            return;
        }
        flush(command.host);
    }

    std::size_t behind(std::uint64_t version) const {
        std::size_t count = 0;
        for (const auto& name : names) {
            count +=
                !failed_hosts.contains(name) && distributors.at(name).version() < version ? 1 : 0;
        }
        return count;
    }

    void learn(const std::string& name, std::uint64_t version) {
        distributors.at(name).on_version(version, now);
        flush(name);
    }

    std::vector<std::string> names;
    std::map<std::string, cw_version_distributor> distributors;
    std::set<std::string> failed_hosts;
    std::deque<std::pair<std::string, cw_version_distributor_command>> queue;
    std::size_t messages = 0;
    cw_time_point now{1h};
};

} // namespace

TEST_CASE_FIXTURE(distributor_domain, "version_learned_by_watcher_reaches_all_at_once") {
    learn("h100", 7);
    run(20ms);
    CHECK(behind(7) == 0);
    CHECK(messages <= 4 * names.size());
}

TEST_CASE_FIXTURE(distributor_domain, "version_learned_by_second_watcher_alone_reaches_all") {
    failed_hosts.insert("h100");
    learn("h101", 7);
    run(500ms);
    CHECK(behind(7) == 0);
}

TEST_CASE_FIXTURE(distributor_domain, "version_passes_dead_inner_hosts") {
    failed_hosts = {"h102", "h103", "h108"};
    learn("h100", 7);
    run(1s);
    CHECK(behind(7) == 0);
}

TEST_CASE_FIXTURE(distributor_domain, "host_that_was_down_catches_up_by_repair") {
    failed_hosts.insert("h120");
    learn("h100", 7);
    run(100ms);
    failed_hosts.clear();
    run(20s);
    CHECK(behind(7) == 0);
}

TEST_CASE_FIXTURE(distributor_domain, "version_older_is_never_accepted") {
    learn("h100", 7);
    run(100ms);
    learn("h105", 6);
    run(3s);
    CHECK(behind(7) == 0);
}

TEST_CASE_FIXTURE(distributor_domain, "watchers_are_the_first_two_by_name") {
    std::size_t watchers = 0;
    for (const auto& [name, distributor] : distributors) {
        watchers += distributor.watches_store() ? 1 : 0;
    }
    CHECK(watchers == 2);
}
