#include "cw_steward.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

using namespace std::chrono_literals;

namespace {

/// A steward of many upstreams, its store and its answers, played by hand. Upstreams carry out each
/// order; answers to orders wait until the case hands them out.
class busy_steward {
public:
    static constexpr int upstreams = 200;

    busy_steward() {
        std::map<std::string, cw_upstream_entry> entries;
        for (int i = 0; i < upstreams; ++i) {
            cw_upstream_entry entry;
            entry.id = "u" + std::to_string(i);
            entry.service = "s";
            entry.address = "u" + std::to_string(i) + ":1";
            entry.slots = 3;
            entry.incarnation = 1;
            entries.emplace(entry.id, entry);
        }
        steward.on_upstreams(entries, now);
        for (int i = 0; i < 80; ++i) {
            pass(50ms);
            answer_all();
        }
    }

    void pass(std::chrono::milliseconds time) {
        now += time;
        cw_steward::commands out;
        steward.on_tick(now, out);
        carry_out(out);
    }

    void answer_all() {
        while (!waiting.empty()) {
            static_cast<void>(answer_first());
        }
    }

    /// Answers the oldest order; the orders that follow from it.
    std::vector<cw_key_order> answer_first() {
        const auto number = waiting.front().number;
        waiting.erase(waiting.begin());
        cw_steward::commands out;
        steward.on_order_ended({number, cw_order_result::done, "", now}, now, out);
        return carry_out(out);
    }

    cw_boot_time now{1'000s};
    cw_steward steward{"s", {"h", 1, "h:1"}, cw_steward_options{}, 1};
    std::vector<cw_key_order> waiting;

private:
    std::vector<cw_key_order> carry_out(const cw_steward::commands& commands) {
        std::vector<cw_key_order> orders;
        cw_steward::commands more;
        for (const auto& command : commands) {
            if (const auto* order = std::get_if<cw_key_order>(&command)) {
                orders.push_back(*order);
                waiting.push_back(*order);
            } else if (const auto* write = std::get_if<cw_write_table>(&command)) {
                stored_ = *cw_key_table::parse(write->text);
                ++revision_;
                answer_table(true, more);
            } else if (std::holds_alternative<cw_read_table>(command)) {
                answer_table(false, more);
            } else if (std::holds_alternative<cw_write_beat>(command)) {
                steward.on_beat_answer({true, true, ++beats_, 0, now}, now);
            } else if (std::holds_alternative<cw_read_beat>(command)) {
                steward.on_beat_answer({false, true, beats_, 0, now}, now);
            }
        }
        if (!more.empty()) {
            carry_out(more);
        }
        return orders;
    }

    void answer_table(bool was_write, cw_steward::commands& out) {
        cw_table_answer answer;
        answer.result = cw_table_result::done;
        answer.was_write = was_write;
        answer.table = stored_;
        answer.revision = revision_;
        answer.sent = now;
        steward.on_table_answer(answer, now, out);
    }

    std::optional<cw_key_table> stored_;
    std::uint64_t revision_ = 0;
    std::uint64_t beats_ = 0;
};

} // namespace

TEST_CASE_FIXTURE(busy_steward,
                  "renewal_answered_while_all_others_are_due_leaves_them_to_the_tick") {
    REQUIRE(steward.table().ranges.size() >= upstreams);
    while (waiting.empty()) {
        pass(50ms);
    }
    // All but one are answered, and some time later every range is due again.
    while (waiting.size() > 1) {
        static_cast<void>(answer_first());
    }
    now += 300ms;
    const auto upstream = waiting.front().upstream;
    const auto orders = answer_first();
    CHECK(std::all_of(orders.begin(), orders.end(),
                      [&](const auto& order) { return order.upstream == upstream; }));
    pass(10ms);
    CHECK(waiting.size() >= upstreams / 2);
}
