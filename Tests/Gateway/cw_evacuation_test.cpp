#include "cw_evacuation_replica.h"
#include "cw_evacuations.h"
#include "cw_feed_answer.h"
#include "cw_gateway_control.h"
#include "cw_gateway_fixture.h"
#include "cw_raw_caller.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <map>
#include <set>
#include <string>
#include <thread>
#include <vector>

using namespace std::chrono_literals;

namespace {

using names = std::set<std::string>;

const cw_boot_time start{1'000s};
constexpr auto recovery_time = 2'500ms;
/// Time after which nothing may be sent to an evacuated domain, and the third of it for which
/// owners of keys get requests.
constexpr auto bound = 5s;
constexpr auto keyed_time = 1'666ms;

/// A replica that knows the evacuation of "east" at revision 10 of the first era.
struct known_evacuation {
    cw_evacuation_replica replica{recovery_time};

    known_evacuation() { replica.apply({{"east"}, {}, {1, 10}}, start); }

    bool change(const std::vector<std::string>& written, const std::vector<std::string>& removed,
                cw_store_position position) {
        return replica.apply(cw_evacuation_change{written, removed, {}, position, false});
    }
};

cw_upstream_entry entry(const std::string& id, const std::string& service,
                        const std::string& domain) {
    cw_upstream_entry made;
    made.id = id;
    made.service = service;
    made.address = id + ":1";
    made.domain = domain;
    made.slots = 3;
    made.incarnation = 1;
    return made;
}

/// The control state of a host in "west" that is the steward of the service "key", with a store and
/// upstreams that answer at once. Each service has upstreams in both domains.
struct steward_host {
    cw_boot_time now = start;
    cw_gateway_control control{
        {"host", 1, "h:1"}, {"west", "h:1", 1.0}, {}, recovery_time, 1, bound};
    std::shared_ptr<const cw_gateway_view> view;
    std::vector<cw_ownership_command> commands;
    std::vector<cw_timeline_event> events;

    steward_host() {
        auto config = cw_site_config::make(1, {}, {}, {{.name = "key", .keyed = true}, {"any"}});
        REQUIRE(config);
        receive(cw_config_received{std::make_shared<const cw_site_config>(std::move(*config))});
        receive(cw_upstreams_listed{{entry("e1", "key", "east"), entry("e2", "key", "east"),
                                     entry("w1", "key", "west"), entry("w2", "key", "west"),
                                     entry("e3", "any", "east"), entry("w3", "any", "west"),
                                     entry("e4", "east-only", "east")}});
        run(4s);
        REQUIRE(keys_of("e1") + keys_of("e2") > 0);
    }

    void receive(const cw_control_event& event) {
        const auto output = control.decide(event, now);
        view = output.view == nullptr ? view : output.view;
        events.insert(events.end(), output.events.begin(), output.events.end());
        for (const auto& command : output.commands) {
            std::visit([this](const auto& typed) { execute(typed); }, command);
        }
    }

    void run(std::chrono::milliseconds length) {
        constexpr auto tick_interval = 50ms;
        for (const auto until = now + length; now < until; now += tick_interval) {
            receive(cw_clock_tick{});
        }
    }

    void set_evacuated(const names& evacuated, std::uint64_t revision) {
        receive(cw_evacuations_received{evacuated, {1, revision}, 40ms});
    }

    /// Keys that the upstream owns, whether they are settled or moving.
    std::size_t keys_of(const std::string& id) const {
        std::size_t count = 0;
        for (const auto& range : view->tables.at("key")->ranges) {
            count += range.owner.id == id ? range.size() : 0;
        }
        return count;
    }

    bool is_settled() const {
        const auto& ranges = view->tables.at("key")->ranges;
        return std::none_of(ranges.begin(), ranges.end(),
                            [](const auto& range) { return range.is_moving(); });
    }

    names listed(const std::string& service) const {
        names ids;
        if (const auto found = view->upstreams->find(service); found != view->upstreams->end()) {
            for (const auto& upstream : found->second) {
                ids.insert(upstream.id);
            }
        }
        return ids;
    }

    std::vector<std::string> subjects_of(const std::string& type) const {
        std::vector<std::string> subjects;
        for (const auto& event : events) {
            if (event.type == type) {
                subjects.push_back(event.subject);
            }
        }
        return subjects;
    }

private:
    void answer(const cw_table_answer& table) { receive(cw_ownership_event{"key", table}); }
    void execute(const cw_read_table& /*command*/) {
        answer({cw_table_result::done, false, table_, revision_, 1, now});
    }
    void execute(const cw_write_table& command) {
        table_ = *cw_key_table::parse(command.text);
        answer({cw_table_result::done, true, table_, ++revision_, 1, now});
    }
    void execute(const cw_write_heartbeat& command) {
        receive(cw_ownership_event{
            "key", cw_heartbeat_answer{true, true, command.count, 1, command.term, now}});
    }
    void execute(const cw_read_heartbeat& /*command*/) {}
    void execute(const cw_notify_predecessor& /*command*/) {}
    void execute(const cw_ownership_command& command) {
        commands.push_back(command);
        const bool is_release = command.type == cw_ownership_command::kind::release;
        receive(cw_ownership_event{
            "key", cw_ownership_command_ended{command.number, cw_ownership_command_result::done,
                                              is_release ? "from " + command.upstream.id : "", now,
                                              "", false}});
    }

    std::optional<cw_key_table> table_;
    std::uint64_t revision_ = 0;
};

cw_raw_upstream::script respond_ok() {
    return [](const std::string& request) {
        return cw_raw_upstream::reply{cw_upstream_answer(
            request, "200 OK", "X-Cuminwinch-Response-Signature: s\r\n", "fine")};
    };
}

} // namespace

// -- the copy of the names

// Guards against requests to an evacuated domain while operators write again what a restored store
// has lost.
TEST_CASE_FIXTURE(known_evacuation,
                  "evacuation_that_a_restored_store_has_lost_applies_for_a_time") {
    CHECK_FALSE(replica.apply({{}, {}, {2, 5}}, start + 1s));
    CHECK(replica.names_in_effect() == names{"east"});
    CHECK_FALSE(replica.on_tick(start + 1s + recovery_time - 1ms));
    CHECK(replica.on_tick(start + 1s + recovery_time));
    CHECK(replica.names_in_effect().empty());
}

TEST_CASE_FIXTURE(known_evacuation,
                  "evacuation_written_again_after_a_restore_stays_until_removed") {
    replica.apply({{}, {}, {2, 5}}, start);
    CHECK_FALSE(change({"east"}, {}, {2, 6}));
    CHECK_FALSE(replica.on_tick(start + 1min));
    CHECK(replica.names_in_effect() == names{"east"});
    CHECK(change({}, {"east"}, {2, 7}));
    CHECK(replica.names_in_effect().empty());
}

// Guards against the same at a follower, which gets complete sets only.
TEST_CASE_FIXTURE(known_evacuation, "evacuation_written_again_after_a_restore_ends_at_a_follower") {
    replica.apply({{}, {}, {2, 5}}, start);
    CHECK_FALSE(replica.apply({{"east"}, {}, {2, 6}}, start));
    CHECK(replica.apply({{}, {}, {2, 7}}, start));
    CHECK(replica.names_in_effect().empty());
}

TEST_CASE_FIXTURE(known_evacuation, "evacuation_of_a_new_era_applies_beside_a_lost_one_at_once") {
    CHECK(replica.apply({{"north"}, {}, {2, 5}}, start));
    CHECK(replica.names_in_effect() == names{"east", "north"});
}

// Guards against a domain that stays evacuated because its removal was in the lost history.
TEST_CASE_FIXTURE(known_evacuation, "evacuation_missing_after_the_history_was_lost_has_ended") {
    CHECK(replica.apply({{}, {}, {1, 80}}, start));
    CHECK(replica.names_in_effect().empty());
}

// Guards against a reader that was suspended and sends again what was removed meanwhile.
TEST_CASE_FIXTURE(known_evacuation, "set_older_than_the_known_one_is_ignored") {
    change({"north"}, {"east"}, {1, 20});
    CHECK_FALSE(replica.apply({{"east"}, {}, {1, 10}}, start));
    CHECK_FALSE(change({"east"}, {"north"}, {1, 15}));
    CHECK_FALSE(replica.apply({{"east"}, {}, {0, 90}}, start));
    CHECK(replica.names_in_effect() == names{"north"});
}

// Guards against followers that are woken by each heartbeat of an upstream.
TEST_CASE_FIXTURE(known_evacuation, "changes_of_other_objects_are_no_change_for_followers") {
    CHECK_FALSE(change({}, {}, {1, 500}));
    CHECK_FALSE(change({"east"}, {}, {1, 501}));
    CHECK_FALSE(replica.has_changes_since({1, 10}));
    change({"north"}, {}, {1, 502});
    CHECK(replica.has_changes_since({1, 10}));
    // A follower that has received the set is up to date, although its names were the same.
    cw_evacuation_replica follower{recovery_time};
    follower.apply({{"east", "north"}, {}, {1, 400}}, start);
    follower.apply(replica.set(), start);
    CHECK_FALSE(replica.has_changes_since(follower.position()));
}

// Guards against a host that starts after the restore and has never seen the lost evacuation.
TEST_CASE_FIXTURE(known_evacuation, "host_that_starts_after_a_restore_learns_of_lost_evacuations") {
    replica.apply({{}, {}, {2, 5}}, start);
    cw_evacuation_replica started{recovery_time};
    CHECK(started.apply(replica.set(), start + 1s));
    CHECK(started.names_in_effect() == names{"east"});
    CHECK(started.on_tick(start + 1s + recovery_time));
    // A reader whose time has not passed yet does not evacuate the domain once more.
    CHECK_FALSE(started.apply(replica.set(), start + 4s));
    CHECK(started.names_in_effect().empty());
}

TEST_CASE_FIXTURE(known_evacuation, "feed_answer_with_evacuations_is_read_as_written") {
    replica.apply({{"north"}, {}, {2, 5}}, start);
    cw_feed_answer answer;
    const auto parsed_without = cw_feed_answer::parse(answer.to_json(start), start);
    REQUIRE(parsed_without);
    CHECK_FALSE(parsed_without->evacuations);
    CHECK(answer.to_json(start).find("evacuated") == std::string::npos);
    answer.evacuations = replica.set();
    answer.evacuations_lag = 320ms;
    const auto parsed = cw_feed_answer::parse(answer.to_json(start), start);
    REQUIRE(parsed);
    CHECK(parsed->evacuations == replica.set());
    CHECK(parsed->evacuations->retained == names{"east"});
    CHECK(parsed->evacuations_lag == 320ms);
}

// -- domains

// Guards against requests to owners whose keys cannot be moved in time.
TEST_CASE("owner_in_an_evacuated_domain_gets_requests_for_a_third_of_the_bound") {
    cw_evacuations evacuations{bound};
    evacuations.on_domains({"east", "west"});
    CHECK(evacuations.on_names({"east"}, {1, 10}, 40ms, start));
    const auto view = evacuations.view();
    CHECK(view.is_evacuated("east"));
    CHECK_FALSE(view.is_evacuated("west"));
    CHECK(view.allows_keyed("east", start + keyed_time - 1ms));
    CHECK_FALSE(view.allows_keyed("east", start + keyed_time));
    CHECK(view.allows_keyed("west", start + 1h));
    // The same set again does not prolong it.
    CHECK_FALSE(evacuations.on_names({"east"}, {1, 10}, 40ms, start + 1s));
    CHECK_FALSE(evacuations.view().allows_keyed("east", start + keyed_time));
}

// Guards against many requests to upstreams that have just started and whose entries do not say so
// yet.
TEST_CASE("domain_that_returned_to_service_is_reported_as_such_for_a_moment") {
    cw_evacuations evacuations{bound};
    evacuations.on_domains({"east", "west"});
    evacuations.on_names({"east"}, {1, 10}, 40ms, start);
    CHECK_FALSE(evacuations.view().has_just_returned("east", start));
    const auto returned_at = start + 1min;
    CHECK(evacuations.on_names({}, {1, 90}, 40ms, returned_at));
    const auto view = evacuations.view();
    CHECK_FALSE(view.is_evacuated("east"));
    CHECK(view.allows_keyed("east", returned_at));
    CHECK(view.has_just_returned("east", returned_at + 1'499ms));
    CHECK_FALSE(view.has_just_returned("east", returned_at + 1'500ms));
    CHECK_FALSE(view.has_just_returned("west", returned_at));
    evacuations.on_tick(returned_at + 1'500ms);
    CHECK(evacuations.view().returned.empty());
    const auto events = evacuations.take_events();
    REQUIRE(events.size() == 2);
    CHECK(events[0].detail == "revision 10 of era 1, at most 40 ms old");
    CHECK(events[1].type == "failure domain returned to service");
    CHECK(events[1].detail == "revision 90 of era 1, evacuated for 60000 ms");
}

TEST_CASE("name_of_no_known_domain_has_no_effect_and_is_reported_once") {
    cw_evacuations evacuations{bound};
    evacuations.on_domains({"west"});
    CHECK_FALSE(evacuations.on_names({"Ost"}, {1, 10}, 40ms, start));
    CHECK_FALSE(evacuations.view().is_evacuated("Ost"));
    CHECK(evacuations.has_unknown_name());
    evacuations.on_tick(start + 1'900ms);
    CHECK(evacuations.take_events().empty());
    evacuations.on_tick(start + 2s);
    evacuations.on_tick(start + 3s);
    const auto events = evacuations.take_events();
    REQUIRE(events.size() == 1);
    CHECK(events.front().type == "evacuation of an unknown failure domain ignored");
    // Its removal is no return to service.
    CHECK_FALSE(evacuations.on_names({}, {1, 11}, 40ms, start + 4s));
    CHECK(evacuations.take_events().empty());
    CHECK(evacuations.view().returned.empty());
}

// Guards against a domain whose upstreams are listed later than its evacuation, as at the start of
// a host, and against one that is no longer evacuated as soon as its last entry goes.
TEST_CASE("evacuation_applies_from_the_first_entry_of_its_domain_until_it_is_removed") {
    cw_evacuations evacuations{bound};
    evacuations.on_names({"east"}, {1, 10}, 40ms, start);
    CHECK(evacuations.on_domains({"east"}));
    CHECK(evacuations.view().is_evacuated("east"));
    CHECK_FALSE(evacuations.on_domains({}));
    CHECK(evacuations.view().is_evacuated("east"));
}

// -- the control state

TEST_CASE_FIXTURE(steward_host, "upstreams_without_keys_in_an_evacuated_domain_are_not_listed") {
    CHECK(listed("any") == names{"e3", "w3"});
    set_evacuated({"east"}, 10);
    CHECK(listed("any") == names{"w3"});
    CHECK(listed("key") == names{"e1", "e2", "w1", "w2"});
    CHECK(view->evacuations.has_no_upstream_left("east-only"));
    CHECK_FALSE(view->evacuations.has_no_upstream_left("any"));
    // An upstream that starts in the domain is not listed either.
    receive(cw_upstreams_changed{{entry("e5", "any", "east")}, {}});
    CHECK(listed("any") == names{"w3"});
    set_evacuated({}, 11);
    CHECK(listed("any") == names{"e3", "e5", "w3"});
    CHECK_FALSE(view->evacuations.has_no_upstream_left("east-only"));
    CHECK(view->evacuations.has_just_returned("east", now));
    CHECK(subjects_of("failure domain evacuated") == std::vector<std::string>{"east"});
    CHECK(subjects_of("failure domain returned to service") == std::vector<std::string>{"east"});
}

// Guards against keys that stay where they are until nothing is sent to their owners any more.
TEST_CASE_FIXTURE(steward_host, "keys_leave_an_evacuated_domain_with_a_handover_in_time") {
    commands.clear();
    set_evacuated({"east"}, 10);
    run(keyed_time);
    CHECK(keys_of("e1") + keys_of("e2") == 0);
    CHECK(is_settled());
    CHECK(view->tables.at("key")->ranges.size() >= 2);
    std::size_t releases = 0;
    std::size_t handovers = 0;
    for (const auto& command : commands) {
        const bool is_evacuated = command.upstream.id.starts_with("e");
        releases += command.type == cw_ownership_command::kind::release && is_evacuated ? 1 : 0;
        handovers += command.type == cw_ownership_command::kind::grant && !is_evacuated &&
                             command.handover.starts_with("from e")
                         ? 1
                         : 0;
    }
    CHECK(releases > 0);
    CHECK(handovers > 0);
    // Keys come back to the domain after its return.
    set_evacuated({}, 11);
    run(10s);
    CHECK(keys_of("e1") + keys_of("e2") > 0);
}

TEST_CASE_FIXTURE(steward_host, "keys_stay_when_all_upstreams_of_their_service_are_evacuated") {
    set_evacuated({"east", "west"}, 10);
    CHECK(view->evacuations.has_no_upstream_left("key"));
    CHECK(view->evacuations.has_no_upstream_left("any"));
    const auto before = keys_of("e1") + keys_of("e2");
    run(2s);
    CHECK(keys_of("e1") + keys_of("e2") == before);
    set_evacuated({}, 11);
    CHECK_FALSE(view->evacuations.has_no_upstream_left("key"));
    run(1s);
    CHECK(is_settled());
}

TEST_CASE_FIXTURE(steward_host, "evacuation_of_an_unknown_domain_changes_nothing_but_the_log") {
    set_evacuated({"Ost"}, 10);
    run(3s);
    CHECK(listed("any") == names{"e3", "w3"});
    CHECK(view->evacuations.evacuated.empty());
    CHECK(subjects_of("evacuation of an unknown failure domain ignored") ==
          std::vector<std::string>{"Ost"});
    receive(cw_upstreams_changed{{entry("o1", "any", "Ost")}, {}});
    CHECK(view->evacuations.is_evacuated("Ost"));
    CHECK(listed("any") == names{"e3", "w3"});
}

// -- requests

// Guards against requests to an owner whose keys have not moved in time, and to a domain in which
// all upstreams of a service are, and against requests that are refused after the return.
TEST_CASE("requests_to_an_evacuated_domain_stop_and_go_on_after_its_return") {
    const std::string fields =
        "X-Cuminwinch-Attempt-Id: r1\r\nX-Cuminwinch-Request-Timeout-Ms: 900\r\n";
    const auto keyed_fields = fields + "X-Cuminwinch-Shard-Key: 7\r\n";
    cw_gateway_fixture gateway{{respond_ok()}};
    const auto keyed = [&] { return gateway.send("GET", "/key/a", keyed_fields); };
    gateway.set_domain(0, "east");
    CHECK(cw_status_of(keyed()) == 200);

    cw_evacuation_view evacuations;
    evacuations.evacuated = {{"east", cw_boot_clock::now() + 400ms}};
    gateway.set_evacuations(evacuations);
    CHECK(cw_status_of(keyed()) == 200);
    std::this_thread::sleep_for(450ms);
    auto requests = gateway.upstream(0).requests();
    const auto refused = keyed();
    CHECK(cw_status_of(refused) == 503);
    CHECK(refused.find("evacuated failure domain") != std::string::npos);
    CHECK(std::stod(cw_header_value(refused, "Retry-After")) > 0.0);

    evacuations.services_without_upstreams = {"safe", "key"};
    gateway.set_evacuations(evacuations);
    for (const auto* path : {"/safe/a", "/key/a"}) {
        const auto sent_at = std::chrono::steady_clock::now();
        CHECK(cw_status_of(gateway.send("GET", path, keyed_fields)) == 503);
        CHECK(std::chrono::steady_clock::now() - sent_at < 200ms);
    }
    CHECK(gateway.upstream(0).requests() == requests);
    CHECK(gateway.metrics().exposition().find("evacuation_refused_requests_total 3") !=
          std::string::npos);

    gateway.set_evacuations({});
    CHECK(cw_status_of(keyed()) == 200);
    CHECK(cw_status_of(gateway.send("GET", "/safe/a", fields)) == 200);
}
