#include "cw_crash_news.h"

#include <doctest/doctest.h>

namespace {

/// A steward with the marks of a day on which many upstreams crashed.
struct full_change_log {
    cw_crash_news news;
    cw_crash_marks marks;

    full_change_log() {
        for (std::uint64_t fingerprint = 1; fingerprint <= 600; ++fingerprint) {
            marks[fingerprint] = 1;
        }
        publish();
    }

    void publish() { news.on_marks(std::make_shared<const cw_crash_marks>(marks)); }
};

} // namespace

TEST_CASE_FIXTURE(full_change_log, "host_that_knows_all_crash_marks_is_told_nothing") {
    const auto update = news.since(cw_crash_news::digest_of(marks));
    CHECK_FALSE(update.is_whole);
    CHECK(update.marks.empty());
}

TEST_CASE_FIXTURE(full_change_log, "host_that_knows_earlier_crash_marks_is_told_what_changed") {
    const auto known = marks;
    for (std::uint64_t i = 0; i < 20; ++i) {
        marks[1'000 + i] = 1;
        marks.erase(1 + i);
        marks[100] = static_cast<std::uint32_t>(2 + i);
        publish();
    }
    const auto update = news.since(cw_crash_news::digest_of(known));
    CHECK_FALSE(update.is_whole);
    CHECK(update.marks.size() == 41);
    CHECK(cw_crash_news::with_changes(known, update.marks) == marks);
}

TEST_CASE_FIXTURE(full_change_log, "host_that_knows_other_crash_marks_is_told_all") {
    const auto update = news.since(cw_crash_news::digest_of({{7, 7}}));
    CHECK(update.is_whole);
    CHECK(update.marks == marks);
}

TEST_CASE_FIXTURE(full_change_log, "crash_marks_that_come_back_are_told_from_the_later_time") {
    const auto all = marks;
    marks.erase(5);
    publish();
    marks[5] = 1;
    publish();
    marks[6] = 2;
    publish();
    const auto update = news.since(cw_crash_news::digest_of(all));
    CHECK(update.marks.size() == 1);
    CHECK(cw_crash_news::with_changes(all, update.marks) == marks);
}
