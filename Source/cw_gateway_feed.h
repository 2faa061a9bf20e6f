#pragma once

#include "cw_async.h"
#include "cw_async_condition.h"
#include "cw_config_catch_up.h"
#include "cw_config_copy.h"
#include "cw_control_event.h"
#include "cw_evacuation_replica.h"
#include "cw_feed_answer.h"
#include "cw_feed_call.h"
#include "cw_feed_client.h"
#include "cw_feed_log.h"
#include "cw_feed_state.h"
#include "cw_feed_times.h"
#include "cw_gateway_options.h"
#include "cw_gateway_port.h"
#include "cw_known_config.h"
#include "cw_lag_guard.h"
#include "cw_log.h"
#include "cw_query.h"
#include "cw_reader_selector.h"
#include "cw_replication_lag.h"
#include "cw_spawn.h"
#include "cw_upstream_replica.h"

#include <algorithm>
#include <functional>
#include <limits>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

/// Receives upstream entries and configurations, either from the store or from a reader of the
/// failure domain, and serves them to the hosts that follow this one. Used on the I/O thread.
///
/// All data carries the store's position, and data older than the known position is ignored. So a
/// reader that was suspended cannot undo later changes, and a host that changes its source
/// continues from the position that it knows. When the store comes back from an older copy of
/// itself, nothing continues: configuration and entries are read in full.
template <cw_gateway_port Port>
class cw_gateway_feed {
public:
    /// Passes an event to the control state.
    using deliver_function = std::function<void(cw_control_event)>;
    /// Receives what this host knows of later configurations.
    using known_config_function = std::function<void(const cw_known_config&)>;

    /// `self` is this host's "IP:port" for other hosts, as rankings of readers list it.
    cw_gateway_feed(boost::asio::io_context& context, const cw_gateway_options& options,
                    typename Port::store& store, std::string self, deliver_function deliver)
        : context_{context},
          options_{options},
          store_{store},
          deliver_{std::move(deliver)},
          client_{context},
          changed_{context},
          selector_{std::move(self), {}, engine_()},
          entries_guard_{{}, engine_()},
          config_guard_{{}, engine_()},
          evacuations_{options.entry_return_time} {}

    /// Starts the loops that receive configurations and entries and check suspected readers.
    void start() {
        spawn(follow_config());
        spawn(follow_upstreams());
        if (knows_evacuations()) {
            spawn(follow_evacuations());
        }
        spawn(check_suspected_readers());
        spawn(limit_lags());
    }

    /// Sets the function that is told of each version that is received or heard of, at once, and
    /// several times a second how current the latest one is.
    void set_known_config_reporter(known_config_function report) {
        report_known_config_ = std::move(report);
    }

    /// True while calls of this host to the store fail.
    [[nodiscard]] bool is_store_suspected() const { return selector_.is_store_suspected(); }

    /// Sets the readers of the own failure domain, best first.
    void on_readers(const std::vector<std::string>& ranking) { selector_.on_readers(ranking); }

    /// What this host knows now.
    [[nodiscard]] cw_feed_state state() const {
        return {config_.version(),    config_received_at_, upstreams_.position(),
                last_store_response_, reads_store_,        client_.unanswered()};
    }

    /// What this host knows of later configurations. Its sources answer if its copy of the entries
    /// is current.
    [[nodiscard]] cw_known_config known_config() const {
        return {catch_up_.latest_known(config_.version()), config_lag_.current_as_of(),
                entries_lag_.at(cw_boot_clock::now()) <= options_.config_bound, config_.version()};
    }

    /// Highest lag of the upstream entries since the last call.
    [[nodiscard]] std::chrono::milliseconds take_peak_entries_lag() {
        return entries_lag_.take_peak(cw_boot_clock::now());
    }

    /// Highest lag of the configuration since the last call.
    [[nodiscard]] std::chrono::milliseconds take_peak_config_lag() {
        return config_lag_.take_peak(cw_boot_clock::now());
    }

    /// Highest lag of the evacuated domains since the last call.
    [[nodiscard]] std::chrono::milliseconds take_peak_evacuations_lag() {
        return evacuations_lag_.take_peak(cw_boot_clock::now());
    }

    /// Longest time since the last call by which the thread ran work of this feed later than due.
    [[nodiscard]] std::chrono::milliseconds take_peak_thread_wait() {
        return std::exchange(peak_thread_wait_, std::chrono::milliseconds{0});
    }

    /// Answers a long poll of a follower. A request for entries is held for up to `long_poll_wait`
    /// until there are changes or a newer configuration, and is not held while this host does not
    /// read the store or cannot reach it. Other requests are answered at once.
    boost::asio::awaitable<cw_http_response> serve(std::string target) {
        const auto received_at = cw_boot_clock::now();
        // Hosts that run an earlier release do not name the era.
        const cw_store_position known{cw_query_number(target, "era", upstreams_.position().era),
                                      cw_query_number(target, "revision", 0)};
        const auto config = cw_query_number(target, "config", 0);
        // A host that does not name its evacuations must not be answered for their sake.
        const cw_store_position evacuations{
            cw_query_number(target, "evacuations_era", evacuations_.position().era),
            cw_query_number(target, "evacuations", max_revision)};
        const auto part = cw_feed_part_from_name(cw_query_value(target, "part"));
        const auto until =
            deadline_in(part == cw_feed_part::entries ? times::long_poll_wait : milliseconds{0});
        const auto has_changes = [&] {
            return !reads_store_ || is_store_unreachable_ || upstreams_.has_changes_since(known) ||
                   config_.version() > config || evacuations_.has_changes_since(evacuations);
        };
        while (!has_changes() && std::chrono::steady_clock::now() < until) {
            co_await changed_.wait(until);
        }
        const auto now = cw_boot_clock::now();
        auto answer = make_answer(now);
        answer.held = std::chrono::duration_cast<milliseconds>(now - received_at);
        if (part == cw_feed_part::entries && upstreams_.has_changes_since(known)) {
            answer.delta = upstreams_.delta_since(known);
        }
        if (part == cw_feed_part::config && config_.version() > config) {
            if (cw_query_number(target, "deltas", 0) != 0 &&
                known.era == upstreams_.position().era) {
                answer.config_deltas = config_.deltas_since(config);
            }
            if (answer.config_deltas.is_null()) {
                answer.config_text = config_.text();
            }
        }
        co_return cw_make_response(boost::beast::http::status::ok, answer.to_json(now));
    }

private:
    using milliseconds = std::chrono::milliseconds;
    using void_task = boost::asio::awaitable<void>;

    using times = cw_feed_times;

    /// Versions of the configuration that a watch may bring at once.
    static constexpr std::uint64_t max_watched_versions = 2;
    /// Bytes of a version besides its text, and by which it may grow.
    static constexpr std::uint64_t config_version_overhead = 32'768;

    static constexpr std::uint64_t max_revision = std::numeric_limits<std::uint64_t>::max();

    static cw_time_point deadline_in(milliseconds time) {
        return std::chrono::steady_clock::now() + time;
    }

    [[nodiscard]] cw_feed_answer make_answer(cw_boot_time now) const {
        cw_feed_answer answer;
        answer.status = {reads_store_,
                         std::chrono::duration_cast<milliseconds>(now - last_store_response_),
                         is_store_unreachable_ || selector_.is_store_suspected(),
                         entries_lag_.at(now), config_lag_.at(now)};
        answer.delta.position = upstreams_.position();
        answer.config_version = config_.version();
        answer.config_position = config_position_;
        if (evacuations_.is_known()) {
            answer.evacuations = evacuations_.set();
            answer.evacuations_lag = evacuations_lag_.at(now);
        }
        return answer;
    }

    void report_known_config() const { report_known_config_(known_config()); }

    void spawn(void_task work) { cw_spawn(context_, std::move(work), log_); }

    /// Waits for 7/8 to 9/8 of the given length, at random, so that hosts do not call at the same
    /// moments.
    void_task jittered_pause(milliseconds length) {
        const auto spread = static_cast<std::uint64_t>(length.count() / 4 + 1);
        const auto extra = static_cast<std::int64_t>(engine_() % spread);
        co_await cw_pause(context_, length * 7 / 8 + milliseconds{extra});
    }

    void_task pause_after_failure() {
        co_await jittered_pause(selector_.is_reader() ? times::store_retry_interval
                                                      : times::non_reader_retry_interval);
    }

    // -- selection of the source

    /// Selects the source and logs a change of it.
    cw_feed_source select_source() {
        const auto now = cw_boot_clock::now();
        auto source = selector_.source(now);
        const bool switches_to_store = source.type == cw_feed_source::kind::store && !reads_store_;
        reads_store_ = source.type == cw_feed_source::kind::store;
        if (switches_to_store) {
            upstream_watch_wait_ = milliseconds{0};
            config_watch_wait_ = milliseconds{0};
            evacuation_watch_wait_ = milliseconds{0};
            // A host that loses its readers continues from the set that they have sent.
            evacuation_watch_position_ =
                std::max(evacuation_watch_position_, evacuations_.position());
        }
        if (source != source_) {
            const auto before = std::exchange(source_, source);
            feed_log_.source_changed(source_name(), before.reader, upstreams_.position(),
                                     entries_lag_.at(now));
            changed_.notify_all();
        }
        return source;
    }

    /// "store", or the address of the reader.
    [[nodiscard]] std::string source_name() const {
        return reads_store_ ? "store" : source_.reader;
    }

    void_task follow_upstreams() {
        while (true) {
            const auto source = select_source();
            if (source.type == cw_feed_source::kind::store) {
                co_await read_upstreams();
            } else if (source.type == cw_feed_source::kind::reader) {
                co_await follow_reader(source.reader);
            } else {
                co_await cw_pause(context_, times::source_poll_interval);
            }
        }
    }

    // -- the store as the source

    void_task follow_config() {
        while (true) {
            // The first configuration is always read from the store, also by a host that follows a
            // reader.
            if (config_position_.is_known() && !reads_store_) {
                co_await cw_pause(context_, times::check_poll_interval);
                continue;
            }
            cw_result<cw_config_change> change;
            const auto from = config_position_;
            const bool reads_whole = !from.is_known() || catch_up_.reads_whole();
            const cw_feed_call call{
                reads_whole ? milliseconds{0}
                            : std::exchange(config_watch_wait_, times::config_watch_wait)};
            if (reads_whole) {
                is_reading_config_ = true;
                config_transfer_started_at_ = call.sent_at();
                change = co_await store_.read_config(whole_config_deadlines());
                is_reading_config_ = false;
            } else {
                change = co_await store_.watch_config(from, call.wait(),
                                                      call.deadlines(times::watch_grace),
                                                      max_config_watch_bytes());
            }
            if (is_config_unreachable_ != !change) {
                is_config_unreachable_ = !change;
                log_.info(is_config_unreachable_
                              ? "The configuration cannot be read from the store."
                              : "The configuration can be read from the store again.",
                          {{"error", change ? "" : change.error().text()}});
            }
            note_config_call(change, reads_whole);
            is_config_refused_ = call.result(change) == cw_lag_read_result::refused;
            if (!change) {
                config_watch_wait_ = milliseconds{0};
                co_await pause_after_failure();
                is_config_refused_ = false;
                continue;
            }
            // A read of the store's new era may have set another position meanwhile.
            if (from == config_position_) {
                config_position_ = change->is_history_gone ? cw_store_position{} : change->position;
            }
            const bool has_config = change->config != nullptr;
            const bool is_history_gone = change->is_history_gone;
            apply_config(std::move(*change), call.sent_at(), reads_whole ? "whole" : "watch");
            if (has_config) {
                // The answer shows only that the copy was current when the watch began.
                config_watch_wait_ = milliseconds{0};
            }
            if (!is_history_gone) {
                on_config_current_as_of(call.current_as_of(has_config));
            }
        }
    }

    /// Deadlines of a call that brings the latest version of the configuration only.
    [[nodiscard]] cw_call_deadlines whole_config_deadlines() const {
        return cw_feed_call{}.deadlines(catch_up_.transfer_time());
    }

    /// Limit of the answer to a watch, which brings each version since its position whole. What is
    /// larger than a few versions takes longer than the latest version alone.
    [[nodiscard]] std::uint64_t max_config_watch_bytes() const {
        return max_watched_versions * (config_.text().size() + config_version_overhead);
    }

    template <typename Answer>
    static cw_config_call_result config_call_result(const cw_result<Answer>& answer) {
        if (answer) {
            return cw_config_call_result::received;
        }
        return cw_was_response_cut(answer.error()) ? cw_config_call_result::cut
                                                   : cw_config_call_result::failed;
    }

    /// Records the end of a call to the store for the configuration.
    void note_config_call(const cw_result<cw_config_change>& change, bool was_whole) {
        const auto result = config_call_result(change);
        if (was_whole) {
            catch_up_.on_transfer_ended(result);
        } else {
            catch_up_.on_watch_ended(result, config_.version());
        }
        if (change && change->is_too_long) {
            catch_up_.on_heard(config_.version() + 1);
        }
    }

    /// Reads the configuration of a new era of the store, without waiting for the end of a watch
    /// that may be pending since before.
    void_task read_config_of_new_era() {
        const auto sent_at = cw_boot_clock::now();
        auto change = co_await store_.read_config(whole_config_deadlines());
        note_config_call(change, true);
        if (change && change->position > config_position_) {
            config_position_ = change->position;
            config_.forget_changes();
            apply_config(std::move(*change), sent_at, "new era");
            on_config_current_as_of(sent_at);
        }
    }

    /// Publishes a configuration if it is newer than the known one. The call that brought it, in
    /// the given form, was sent at `sent_at`.
    void apply_config(cw_config_change change, cw_boot_time sent_at, const char* form) {
        if (change.config == nullptr || change.config->version() <= config_.version()) {
            return;
        }
        const auto now = cw_boot_clock::now();
        feed_log_.config_received(change.config->version(), config_.version(), source_name(), form,
                                  std::chrono::duration_cast<milliseconds>(now - sent_at),
                                  config_lag_.at(now), thread_wait_);
        config_received_at_ = now;
        config_.replace(change.config->version(), std::move(change.source), reads_store_);
        report_known_config();
        deliver_(cw_config_received{change.config});
        changed_.notify_all();
    }

    /// Lists or watches the upstream entries in the store once, and applies the result.
    void_task read_upstreams() {
        const bool is_listing = !watch_position_.is_known() || !upstreams_.position().is_known();
        cw_result<cw_upstream_change> change;
        const cw_feed_call call{is_listing ? milliseconds{0} : upstream_watch_wait_};
        if (is_listing) {
            change = co_await store_.list_upstreams(times::store_timeout);
        } else {
            const auto grace =
                call.wait().count() == 0 ? times::first_watch_grace : times::watch_grace;
            change = co_await store_.watch_upstreams(watch_position_, call.wait(),
                                                     call.deadlines(grace));
        }
        // The first watch after a failure does not wait, so that a store that is still down is
        // detected soon.
        upstream_watch_wait_ = change ? times::upstream_watch_wait : milliseconds{0};
        are_entries_refused_ = call.result(change) == cw_lag_read_result::refused;
        if (!change) {
            on_store_failure(change.error().text());
            co_await pause_after_failure();
            are_entries_refused_ = false;
            co_return;
        }
        selector_.on_store_answer();
        last_store_response_ = cw_boot_clock::now();
        watch_position_ = change->is_history_gone ? cw_store_position{} : change->position;
        if (change->is_history_gone) {
            co_return;
        }
        is_store_unreachable_ = false;
        if (config_position_.is_known() && change->position.era > config_position_.era) {
            spawn(read_config_of_new_era());
        }
        if (evacuations_.is_known() && change->position.era > evacuations_.position().era &&
            !is_listing_evacuations_) {
            spawn(read_evacuations_of_new_era());
        }
        if (!upstreams_.position().is_known()) {
            co_await wait_for_evacuations();
        }
        const bool has_change = !change->written.empty() || !change->removed.empty();
        apply_entries(
            {change->position, is_listing, std::move(change->written), std::move(change->removed)});
        entries_lag_.on_current_as_of(call.current_as_of(has_change), cw_boot_clock::now());
        co_await jittered_pause(options_.upstream_poll_interval);
    }

    void on_store_failure(const std::string& reason) {
        selector_.on_store_failure(cw_boot_clock::now());
        is_store_unreachable_ = true;
        must_report_recovery_ = true;
        deliver_(cw_store_failed{reason, can_entries_have_expired()});
        changed_.notify_all();
    }

    /// True if the store may have been away for so long, as far as this host knows, that entries
    /// have expired whose upstreams live.
    [[nodiscard]] bool can_entries_have_expired() const {
        const auto lag = entries_lag_.at(cw_boot_clock::now());
        return lag >= times::shortest_entry_expiry && lag != cw_replication_lag::unknown;
    }

    void apply_entries(cw_upstream_delta received_delta) {
        const bool is_first = !upstreams_.position().is_known();
        if (!received_delta.is_empty() && can_entries_have_expired()) {
            must_report_recovery_ = true;
            deliver_(cw_store_failed{"no source was current", true});
        }
        const auto era = upstreams_.position().era;
        auto delta = upstreams_.apply(std::move(received_delta));
        if (!is_first && delta.position.era != era) {
            log_.warning("The store has come back from an older copy.",
                         {{"era", std::to_string(delta.position.era)},
                          {"before", std::to_string(era)},
                          {"revision", std::to_string(delta.position.revision)},
                          {"entries_written", std::to_string(delta.written.size())},
                          {"entries_removed", std::to_string(delta.removed.size())}});
            catch_up_.on_store_restored();
            deliver_(cw_store_restored{delta.position.era});
        }
        feed_log_.departures_received(delta, source_name(), entries_lag_.at(cw_boot_clock::now()));
        if (is_first) {
            deliver_(cw_upstreams_listed{std::move(delta.written)});
        } else if (!delta.is_empty() || must_report_recovery_) {
            deliver_(cw_upstreams_changed{std::move(delta.written), std::move(delta.removed)});
        }
        must_report_recovery_ = false;
        changed_.notify_all();
    }

    // -- evacuated failure domains

    [[nodiscard]] bool knows_evacuations() const { return options_.evacuation_bound.count() > 0; }

    /// Follows the evacuations in the store while the store is this host's source.
    void_task follow_evacuations() {
        while (true) {
            if (!reads_store_) {
                co_await cw_pause(context_, times::check_poll_interval);
                continue;
            }
            bool is_answered = false;
            if (evacuations_.is_known() && evacuation_watch_position_.is_known()) {
                is_answered = co_await watch_evacuations();
            } else {
                is_answered = co_await list_evacuations();
                // Limits the calls to a store that never has the history which a watch needs.
                co_await jittered_pause(times::store_retry_interval);
            }
            if (!is_answered) {
                evacuation_watch_wait_ = milliseconds{0};
                co_await pause_after_failure();
            }
        }
    }

    /// Reads all evacuations from the store; false if that fails.
    boost::asio::awaitable<bool> list_evacuations() {
        is_listing_evacuations_ = true;
        const cw_feed_call call{};
        const auto change = co_await store_.list_evacuations(times::store_timeout);
        is_listing_evacuations_ = false;
        log_evacuations_call(change);
        if (!change) {
            co_return false;
        }
        evacuation_watch_position_ = std::max(evacuation_watch_position_, change->position);
        apply_evacuations({{change->written.begin(), change->written.end()}, {}, change->position},
                          call.sent_at());
        co_return true;
    }

    /// Reads the evacuations of a new era of the store, without waiting for the end of a watch that
    /// may be pending since before. If that fails, the next read of entries starts it again.
    void_task read_evacuations_of_new_era() { static_cast<void>(co_await list_evacuations()); }

    /// Waits for a change of the evacuations in the store; false if that fails.
    boost::asio::awaitable<bool> watch_evacuations() {
        const auto from = evacuation_watch_position_;
        const cw_feed_call call{
            std::exchange(evacuation_watch_wait_, times::evacuation_watch_wait)};
        const auto change = co_await store_.watch_evacuations(from, call.wait(),
                                                              call.deadlines(times::watch_grace));
        log_evacuations_call(change);
        if (!change) {
            co_return false;
        }
        // A list of a new era may have set another position meanwhile.
        if (from == evacuation_watch_position_) {
            evacuation_watch_position_ =
                change->is_history_gone ? cw_store_position{} : change->position;
        }
        if (!change->is_history_gone) {
            const bool has_change = !change->written.empty() || !change->removed.empty();
            on_evacuations_applied(evacuations_.apply(*change), call.current_as_of(has_change));
        }
        co_return true;
    }

    /// Logs what is remarkable about a call to the store for evacuations.
    void log_evacuations_call(const cw_result<cw_evacuation_change>& change) {
        if (are_evacuations_unreachable_ != !change) {
            are_evacuations_unreachable_ = !change;
            log_.info(are_evacuations_unreachable_
                          ? "The evacuations cannot be read from the store; the known ones apply."
                          : "The evacuations can be read from the store again.",
                      {{"error", change ? "" : change.error().text()}});
        }
        if (change) {
            for (const auto& name : change->odd) {
                log_.warning(
                    "An evacuation object has an unknown body. Only its name counts.",
                    {{"name", name}, {"revision", std::to_string(change->position.revision)}});
            }
        }
    }

    /// Applies a complete set that is current as of the moment.
    void apply_evacuations(const cw_evacuation_set& received, cw_boot_time current_as_of) {
        const auto known = evacuations_.position();
        const bool changed = evacuations_.apply(received, cw_boot_clock::now());
        if (received.position >= known) {
            on_evacuations_applied(changed, current_as_of);
        }
    }

    void on_evacuations_applied(bool changed, cw_boot_time current_as_of) {
        const auto now = cw_boot_clock::now();
        const auto lag = evacuations_lag_.at(now);
        evacuations_lag_.on_current_as_of(current_as_of, now);
        if (changed) {
            deliver_(cw_evacuations_received{evacuations_.names_in_effect(),
                                             evacuations_.position(), lag});
        }
        changed_.notify_all();
    }

    /// A host that starts must not send to an evacuated domain before it knows of the evacuation.
    void_task wait_for_evacuations() {
        const auto until = deadline_in(times::evacuation_start_wait);
        while (knows_evacuations() && !evacuations_.is_known() && reads_store_ &&
               std::chrono::steady_clock::now() < until) {
            co_await changed_.wait(until);
        }
        if (knows_evacuations() && !evacuations_.is_known()) {
            log_.warning("Upstreams are used although no evacuations are known.", {});
        }
    }

    // -- reads that bound the lags

    /// Reads what lags too far from the store, whatever the other loops wait for, unless a loop has
    /// just been refused by the store and pauses.
    void_task limit_lags() {
        while (true) {
            report_known_config();
            const auto now = cw_boot_clock::now();
            if (evacuations_.on_tick(now)) {
                on_evacuations_applied(true, evacuations_lag_.current_as_of());
            }
            const auto entries_lag = entries_lag_.at(now);
            const auto config_lag = config_lag_.at(now);
            if (entries_lag != cw_replication_lag::unknown &&
                !(reads_store_ && are_entries_refused_) &&
                entries_guard_.take_due_read(entries_lag, now)) {
                spawn(read_lagging_entries(entries_lag));
            }
            if (config_lag != cw_replication_lag::unknown &&
                !(reads_store_ && is_config_refused_) && !is_config_on_its_way(now) &&
                config_guard_.take_due_read(config_lag, now)) {
                spawn(read_lagging_config(config_lag));
            }
            const auto due_at = deadline_in(times::check_poll_interval);
            co_await cw_pause(context_, times::check_poll_interval);
            thread_wait_ =
                std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - due_at);
            peak_thread_wait_ = std::max(peak_thread_wait_, thread_wait_);
        }
    }

    /// True while a transfer of the configuration can be expected to end before another one would,
    /// which would have to share the link with it.
    [[nodiscard]] bool is_config_on_its_way(cw_boot_time now) const {
        return (is_transferring_config_ || is_reading_config_) &&
               now - config_transfer_started_at_ < catch_up_.patience();
    }

    void_task read_lagging_entries(milliseconds lag) {
        const cw_feed_call call{};
        cw_result<cw_upstream_change> change;
        const auto from = watch_position_;
        if (from.is_known()) {
            change = co_await store_.watch_upstreams(from, milliseconds{0},
                                                     cw_feed_call::lagging_read_deadlines());
        }
        const bool is_listing = !from.is_known() || (change && change->is_history_gone);
        if (is_listing) {
            change = co_await store_.list_upstreams(times::store_timeout);
        }
        entries_guard_.on_read_ended(call.result(change), cw_boot_clock::now());
        feed_log_.lagging_copy_read("upstreams", source_name(), lag,
                                    change ? "" : change.error().text());
        if (!change) {
            co_return;
        }
        watch_position_ = std::max(watch_position_, change->position);
        apply_entries(
            {change->position, is_listing, std::move(change->written), std::move(change->removed)});
        entries_lag_.on_current_as_of(call.sent_at(), cw_boot_clock::now());
    }

    void_task read_lagging_config(milliseconds lag) {
        const cw_feed_call call{};
        const auto from = config_position_;
        cw_result<cw_config_change> change;
        bool reads_whole = !from.is_known() || catch_up_.reads_whole();
        if (!reads_whole) {
            change = co_await store_.watch_config(from, milliseconds{0},
                                                  cw_feed_call::lagging_read_deadlines(),
                                                  max_config_watch_bytes());
            note_config_call(change, false);
            reads_whole = change && change->is_history_gone;
        }
        if (reads_whole) {
            change = co_await store_.read_config(
                cw_feed_call::lagging_read_deadlines(catch_up_.transfer_time()));
            note_config_call(change, true);
        }
        config_guard_.on_read_ended(call.result(change), cw_boot_clock::now());
        feed_log_.lagging_copy_read("configuration", source_name(), lag,
                                    change ? "" : change.error().text());
        if (change) {
            config_position_ = std::max(config_position_, change->position);
            apply_config(std::move(*change), call.sent_at(), reads_whole ? "whole" : "watch");
            on_config_current_as_of(call.sent_at());
        }
    }

    // -- a reader as the source

    /// Requests a part from a reader. A configuration that is being transferred already must not
    /// end the reader's wait.
    boost::asio::awaitable<cw_result<cw_feed_answer>>
    request_feed(const std::string& reader, cw_feed_part part, milliseconds timeout) {
        const auto config_version = std::max(config_.version(), named_config_version_);
        return client_.request(
            reader, part,
            {upstreams_.position(), config_version, false,
             knows_evacuations() ? std::optional{evacuations_.position()} : std::nullopt},
            timeout);
    }

    /// Sends a request to a reader and passes the outcome to the reader selection.
    boost::asio::awaitable<cw_result<cw_feed_answer>> poll_reader(std::string reader,
                                                                  cw_feed_part part) {
        auto answer =
            co_await request_feed(reader, part, times::long_poll_wait + times::response_grace);
        const auto now = cw_boot_clock::now();
        if (answer) {
            selector_.on_status(reader, answer->status, now);
        } else {
            selector_.on_failure(reader, now);
        }
        co_return answer;
    }

    /// Requests the changes from a reader once, and applies the answer.
    void_task follow_reader(std::string reader) {
        auto answer = co_await poll_reader(reader, cw_feed_part::entries);
        if (!answer) {
            log_.info("A request to a reader failed.",
                      {{"reader", reader}, {"error", answer.error().text()}});
        } else if (answer->status.reads_store) {
            const auto version = answer->config_version;
            apply_answer(std::move(*answer), cw_boot_clock::now());
            named_config_version_ = std::max(named_config_version_, version);
            catch_up_.on_heard(version);
            report_known_config();
            if (named_config_version_ > config_.version() && !is_transferring_config_) {
                is_transferring_config_ = true;
                spawn(fetch_config(reader));
            }
        }
    }

    /// Receives the configuration from a reader while entries continue to be received, until it is
    /// the latest that a reader has named. Reads it from the store if the reader does not send it
    /// in time. One transfer runs at a time: several would share the host's link.
    void_task fetch_config(std::string reader) {
        bool is_received = true;
        while (is_received && named_config_version_ > config_.version()) {
            config_transfer_started_at_ = cw_boot_clock::now();
            is_received = co_await transfer_config(reader);
            if (!is_received) {
                is_received = co_await transfer_config_from_store();
            }
        }
        is_transferring_config_ = false;
        if (!is_received) {
            // The next answer that names a later version starts a new transfer.
            named_config_version_ = 0;
        }
    }

    /// Receives a newer configuration from a reader; false if that fails.
    boost::asio::awaitable<bool> transfer_config(std::string reader) {
        const auto before = config_.version();
        auto answer = co_await client_.request(
            reader, cw_feed_part::config, {upstreams_.position(), before, takes_config_deltas_},
            catch_up_.transfer_time());
        catch_up_.on_transfer_ended(config_call_result(answer));
        takes_config_deltas_ = true;
        if (answer && answer->has_config() && before == config_.version()) {
            apply_transferred_config(*answer);
        }
        if (answer) {
            note_config_lag(*answer);
        }
        const bool is_received = config_.version() > before;
        if (!is_received) {
            log_.info("The configuration could not be fetched from the reader.",
                      {{"reader", reader},
                       {"version", std::to_string(named_config_version_)},
                       {"before", std::to_string(before)},
                       {"error", answer ? "" : answer.error().text()}});
        }
        co_return is_received;
    }

    /// Applies the configuration in a reader's answer. Deltas that do not fit are not asked for
    /// again, so that the next transfer brings the whole.
    void apply_transferred_config(cw_feed_answer& answer) {
        if (answer.config_deltas.is_null()) {
            apply_config(store_.decode_config(std::move(answer.config)), answer.sent_at, "whole");
            return;
        }
        auto source = config_.with_deltas(answer.config_deltas);
        takes_config_deltas_ = false;
        if (!source) {
            log_.warning(
                "The deltas of a configuration do not fit.",
                {{"version", std::to_string(config_.version())}, {"error", source.error().text()}});
            return;
        }
        auto change = store_.decode_config(std::move(*source));
        if (change.config != nullptr && change.config->version() == answer.config_version) {
            takes_config_deltas_ = true;
            apply_config(std::move(change), answer.sent_at, "deltas");
        }
    }

    /// Receives a newer configuration from the store; false if that fails.
    boost::asio::awaitable<bool> transfer_config_from_store() {
        const auto before = config_.version();
        const auto sent_at = cw_boot_clock::now();
        auto change = co_await store_.read_config(whole_config_deadlines());
        note_config_call(change, true);
        if (change) {
            apply_config(std::move(*change), sent_at, "whole");
            on_config_current_as_of(sent_at);
        } else {
            log_.info("The configuration could not be read from the store either.",
                      {{"error", change.error().text()}});
        }
        co_return config_.version() > before;
    }

    /// Records that this host's configuration is the latest as of the moment.
    void on_config_current_as_of(cw_boot_time moment) {
        config_lag_.on_current_as_of(moment, cw_boot_clock::now());
        report_known_config();
    }

    /// Updates the configuration's lag and position from the answer of a reader, unless the reader
    /// has a later version than this host.
    void note_config_lag(const cw_feed_answer& answer) {
        if (answer.config_version <= config_.version()) {
            on_config_current_as_of(answer.made_at() - answer.status.config_lag);
        }
        if (answer.config_version == config_.version()) {
            config_position_ = std::max(config_position_, answer.config_position);
        }
    }

    /// Health check of a suspected reader.
    void_task check_reader(std::string reader) {
        // The answer's content is not needed: poll_reader() has updated the reader selection.
        static_cast<void>(co_await poll_reader(reader, cw_feed_part::status));
    }

    /// Checks whether the store answers this host again, which follows a reader meanwhile.
    void_task check_store() {
        const auto change = co_await store_.watch_upstreams(watch_position_, milliseconds{0},
                                                            cw_feed_call::lagging_read_deadlines());
        if (change) {
            selector_.on_store_answer();
        }
    }

    /// Starts health checks of suspected readers in the background, and of the store if it does not
    /// answer this host.
    void_task check_suspected_readers() {
        while (true) {
            for (const auto& reader : selector_.take_due_checks(cw_boot_clock::now())) {
                if (!selector_.is_self(reader)) {
                    spawn(check_reader(reader));
                } else if (!reads_store_) {
                    spawn(check_store());
                }
            }
            co_await cw_pause(context_, times::check_poll_interval);
        }
    }

    void apply_answer(cw_feed_answer answer, cw_boot_time now) {
        last_store_response_ = now - answer.status.store_age;
        const auto entries_current_as_of = answer.made_at() - answer.status.entries_lag;
        note_config_lag(answer);
        // Before the entries: a host that starts may use these as soon as it knows them.
        if (answer.evacuations && knows_evacuations()) {
            apply_evacuations(*answer.evacuations, answer.made_at() - answer.evacuations_lag);
        }
        if (answer.delta.position.era == 0) {
            // The reader runs an earlier release, which does not send the era.
            answer.delta.position.era = upstreams_.position().era;
        }
        // A host that loses its readers continues from here with a watch of its own.
        watch_position_ = std::max(watch_position_, answer.delta.position);
        // A reader that cannot reach the store does not show that the store is down: another source
        // may still reach it.
        const bool is_unreachable = answer.status.is_store_unreachable;
        const bool can_apply = upstreams_.position().is_known() || answer.delta.is_full;
        if (can_apply && !(is_unreachable && answer.delta.is_empty())) {
            apply_entries(std::move(answer.delta));
            entries_lag_.on_current_as_of(entries_current_as_of, now);
        }
        is_store_unreachable_ = is_store_unreachable_ && is_unreachable;
    }

    boost::asio::io_context& context_;
    const cw_gateway_options& options_;
    typename Port::store& store_;
    deliver_function deliver_;
    known_config_function report_known_config_ = [](const cw_known_config&) {};
    cw_log log_{"feed"};
    cw_feed_log feed_log_;
    cw_feed_client client_;
    /// Notified when there may be something new for followers.
    cw_async_condition changed_;
    std::minstd_rand engine_{std::random_device{}()};
    cw_reader_selector selector_;
    cw_feed_source source_;
    /// True while the store is this host's source.
    bool reads_store_ = false;

    cw_upstream_replica upstreams_;
    /// Position from which the next watch on upstreams starts; none lists them instead.
    cw_store_position watch_position_;
    /// Wait of the next watch on the configuration. The first after a failure or a change of the
    /// source does not wait: a change may have been missed.
    milliseconds config_watch_wait_{times::config_watch_wait};
    /// Wait of the next watch on upstreams.
    milliseconds upstream_watch_wait_{times::upstream_watch_wait};
    /// When the store last responded to this host or to its reader.
    cw_boot_time last_store_response_{};
    cw_replication_lag entries_lag_;
    cw_replication_lag config_lag_;
    cw_lag_guard entries_guard_;
    cw_lag_guard config_guard_;
    /// Time by which the thread was last late with work of this feed, and the longest of late.
    milliseconds thread_wait_{0};
    milliseconds peak_thread_wait_{0};
    bool is_store_unreachable_ = false;
    /// True while calls for the configuration fail.
    bool is_config_unreachable_ = false;
    /// True while a loop that reads the store pauses after a call that the store has refused.
    bool are_entries_refused_ = false;
    bool is_config_refused_ = false;
    /// True after a failure until the control state has been notified that the store responds
    /// again.
    bool must_report_recovery_ = false;

    /// Position from which the next watch on the configuration starts; none reads it instead.
    cw_store_position config_position_;
    cw_config_copy config_;
    cw_config_catch_up catch_up_;
    cw_boot_time config_received_at_{};
    /// Latest version of the configuration that a transfer from a reader is to bring; 0 for none.
    std::uint64_t named_config_version_ = 0;
    /// True while fetch_config() runs, and while follow_config() reads the latest version.
    bool is_transferring_config_ = false;
    bool is_reading_config_ = false;
    cw_boot_time config_transfer_started_at_{};
    /// False if the next transfer from a reader has to bring the whole configuration.
    bool takes_config_deltas_ = true;

    cw_evacuation_replica evacuations_;
    cw_replication_lag evacuations_lag_;
    /// Position from which the next watch on evacuations starts; none lists them instead.
    cw_store_position evacuation_watch_position_;
    /// Wait of the next watch on evacuations.
    milliseconds evacuation_watch_wait_{times::evacuation_watch_wait};
    bool is_listing_evacuations_ = false;
    /// True while calls for the evacuations fail.
    bool are_evacuations_unreachable_ = false;
};
