#include "cw_report_interval.h"

#include <doctest/doctest.h>

using namespace std::chrono_literals;

namespace {
/// Answers that a host gets in one second if the table changes every 20 ms.
auto answers_in_a_second(double cpu_capacity) {
    return 1s / cw_report_interval(cpu_capacity);
}
} // namespace

TEST_CASE("host_with_much_cpu_capacity_and_changing_keys_gets_each_change") {
    CHECK(answers_in_a_second(0.5) == 50);
    CHECK(answers_in_a_second(0.2) == 50);
}

TEST_CASE("host_with_little_cpu_capacity_and_changing_keys_gets_several_changes_at_once") {
    CHECK(answers_in_a_second(0.05) <= 13);
    CHECK(answers_in_a_second(0.025) <= 9);
}

TEST_CASE("host_of_unknown_cpu_capacity_reports_at_the_longest_interval") {
    CHECK(cw_report_interval(0.0) == 120ms);
    CHECK(cw_report_interval(0.001) == 120ms);
}
