#pragma once

#include "cw_async.h"
#include "cw_async_condition.h"
#include "cw_control_event.h"
#include "cw_feed_answer.h"
#include "cw_gateway_options.h"
#include "cw_gateway_port.h"
#include "cw_http_client.h"
#include "cw_log.h"
#include "cw_query.h"
#include "cw_reader_selector.h"
#include "cw_spawn.h"
#include "cw_upstream_replica.h"

#include <functional>
#include <random>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

/// Learns of upstreams' entries and configurations, from the store or from the reader of the
/// failure domain, and tells them to hosts that follow this one. Used on the I/O thread.
///
/// Revisions of the store order everything: what is older than what is known is ignored, so a
/// reader that was frozen takes nothing back, and a host that turns from one source to another goes
/// on from the revision that it knows.
template <cw_gateway_port Port>
class cw_gateway_feed {
public:
    using deliver_function = std::function<void(cw_control_event)>;

    cw_gateway_feed(boost::asio::io_context& context, const cw_gateway_options& options,
                    typename Port::store& store, std::string self, deliver_function deliver)
        : context_{context},
          options_{options},
          store_{store},
          deliver_{std::move(deliver)},
          http_{context},
          changed_{context},
          selector_{std::move(self), {}, engine_()} {}

    void start() {
        spawn(follow_config());
        spawn(follow_upstreams());
        spawn(check_suspected_readers());
    }

    /// Takes the readers of the own failure domain in their order.
    void on_readers(const std::vector<std::string>& ranking) { selector_.on_readers(ranking); }

    /// Answers a host that follows this one when there is news, or after a while.
    boost::asio::awaitable<cw_http_response> serve(std::string target) {
        const auto known = cw_query_number(target, "revision", 0);
        const auto config = cw_query_number(target, "config", 0);
        const auto part = cw_feed_part_from_name(cw_query_value(target, "part"));
        const auto until =
            deadline_in(part == cw_feed_part::entries ? long_poll_wait : milliseconds{0});
        const auto has_changes = [&] {
            return !reads_store_ || is_store_unreachable_ || upstreams_.has_changes_since(known) ||
                   config_version_ > config;
        };
        while (!has_changes() && std::chrono::steady_clock::now() < until) {
            co_await changed_.wait(until);
        }
        const auto now = cw_boot_clock::now();
        auto answer = make_answer(now);
        if (part == cw_feed_part::entries && upstreams_.has_changes_since(known)) {
            answer.delta = upstreams_.delta_since(known);
        }
        if (part == cw_feed_part::config && config_version_ > config) {
            answer.config = config_json_;
        }
        co_return cw_make_response(boost::beast::http::status::ok, answer.to_text(now));
    }

private:
    using milliseconds = std::chrono::milliseconds;
    using void_task = boost::asio::awaitable<void>;

    static constexpr milliseconds store_timeout{1'200};
    static constexpr milliseconds store_retry_interval{250};
    /// The same for a host that is no reader, so that a store that is down is not asked by all.
    static constexpr milliseconds non_reader_retry_interval{1'000};
    /// A watch that waits while the store falls silent is never answered, also when the store is
    /// back, and until its deadline nothing is heard of upstreams that leave. Followers go by the
    /// age of the last answer, so one without news must not take long.
    static constexpr milliseconds upstream_watch_wait{400};
    static constexpr milliseconds watch_grace{1'500};
    /// A cut watch looks like one without news, so none waits longer than this.
    static constexpr milliseconds config_watch_wait{1'000};
    /// Longest time between two answers of a reader.
    static constexpr milliseconds long_poll_wait{250};
    /// Time beyond it that an answer may take on its way.
    static constexpr milliseconds response_grace{350};
    /// Time for the first answer of the store to a host that turns to it; an open connection may
    /// have gone silent meanwhile.
    static constexpr milliseconds first_watch_grace{700};
    /// Interval at which a host without a source looks for one.
    static constexpr milliseconds source_poll_interval{20};
    /// Longest time that a whole configuration may take from a reader. On a link of 10 Mbit/s,
    /// which requests share, one of 1,500 routes takes about a second.
    static constexpr milliseconds config_transfer_timeout{2'000};
    /// Interval at which it is looked whether a reader that is passed over should be asked.
    static constexpr milliseconds check_poll_interval{50};

    static cw_time_point deadline_in(milliseconds time) {
        return std::chrono::steady_clock::now() + time;
    }

    [[nodiscard]] cw_feed_answer make_answer(cw_boot_time now) const {
        cw_feed_answer answer;
        answer.status = {reads_store_,
                         std::chrono::duration_cast<milliseconds>(now - last_store_response_),
                         is_store_unreachable_};
        answer.delta.revision = upstreams_.revision();
        answer.config_version = config_version_;
        return answer;
    }

    void spawn(void_task work) { cw_spawn(context_, std::move(work), log_); }

    /// A pause of about the given length, so that hosts do not call in step.
    void_task jittered_pause(milliseconds length) {
        const auto spread = static_cast<std::uint64_t>(length.count() / 4 + 1);
        const auto extra = static_cast<std::int64_t>(engine_() % spread);
        co_await cw_pause(context_, length * 7 / 8 + milliseconds{extra});
    }

    void_task pause_after_failure() {
        co_await jittered_pause(selector_.is_reader() ? store_retry_interval
                                                      : non_reader_retry_interval);
    }

    // -- the source

    cw_feed_source select_source() {
        const auto now = cw_boot_clock::now();
        auto source = selector_.source(now);
        const bool switches_to_store = source.type == cw_feed_source::kind::store && !reads_store_;
        reads_store_ = source.type == cw_feed_source::kind::store;
        if (switches_to_store) {
            upstream_watch_wait_ = milliseconds{0};
        }
        if (source != source_) {
            log_.info("Entries come from another source.",
                      {{"source", reads_store_ ? "store" : source.reader},
                       {"before", source_.reader},
                       {"revision", std::to_string(upstreams_.revision())},
                       {"age_ms", std::to_string(store_age_ms(now))}});
            source_ = source;
            changed_.notify_all();
        }
        return source;
    }

    [[nodiscard]] std::int64_t store_age_ms(cw_boot_time now) const {
        return last_store_response_ == cw_boot_time{}
                   ? -1
                   : std::chrono::duration_cast<milliseconds>(now - last_store_response_).count();
    }

    void_task follow_upstreams() {
        while (true) {
            const auto source = select_source();
            if (source.type == cw_feed_source::kind::store) {
                co_await read_upstreams();
            } else if (source.type == cw_feed_source::kind::reader) {
                co_await follow_reader(source.reader);
            } else {
                co_await cw_pause(context_, source_poll_interval);
            }
        }
    }

    // -- the store as the source

    void_task follow_config() {
        bool is_unreachable = false;
        while (true) {
            // The first configuration comes from the store itself, whoever is the reader.
            if (config_revision_ != 0 && !reads_store_) {
                co_await cw_pause(context_, check_poll_interval);
                continue;
            }
            cw_result<cw_config_change> seen;
            if (config_revision_ == 0) {
                seen = co_await store_.read_config(deadline_in(store_timeout));
            } else {
                seen = co_await store_.watch_config(config_revision_, config_watch_wait,
                                                    deadline_in(config_watch_wait + watch_grace));
            }
            if (is_unreachable != !seen) {
                is_unreachable = !seen;
                log_.info(is_unreachable ? "The configuration is out of reach."
                                         : "The configuration is in reach again.",
                          {{"error", seen ? "" : seen.error().text()}});
            }
            if (!seen) {
                co_await pause_after_failure();
                continue;
            }
            config_revision_ = seen->is_history_gone ? 0 : seen->revision;
            apply_config(*seen);
        }
    }

    void apply_config(const cw_config_change& change) {
        if (change.config == nullptr || change.config->version() <= config_version_) {
            return;
        }
        config_version_ = change.config->version();
        config_json_ = change.source;
        deliver_(cw_config_seen{change.config});
        changed_.notify_all();
    }

    void_task read_upstreams() {
        const bool is_listing = watch_revision_ == 0 || upstreams_.revision() == 0;
        cw_result<cw_upstream_change> seen;
        if (is_listing) {
            seen = co_await store_.list_upstreams(store_timeout);
        } else {
            const auto grace = upstream_watch_wait_.count() == 0 ? first_watch_grace : watch_grace;
            seen = co_await store_.watch_upstreams(watch_revision_, upstream_watch_wait_,
                                                   deadline_in(upstream_watch_wait_ + grace));
        }
        // The first watch after a failure does not wait, so that its silence shows soon.
        upstream_watch_wait_ = seen ? upstream_watch_wait : milliseconds{0};
        if (!seen) {
            on_store_failure(seen.error().text());
            co_await pause_after_failure();
            co_return;
        }
        last_store_response_ = cw_boot_clock::now();
        watch_revision_ = seen->is_history_gone ? 0 : seen->revision;
        if (seen->is_history_gone) {
            co_return;
        }
        is_store_unreachable_ = false;
        apply_entries(
            {seen->revision, is_listing, std::move(seen->written), std::move(seen->removed)});
        co_await jittered_pause(options_.upstream_poll_interval);
    }

    void on_store_failure(const std::string& reason) {
        is_store_unreachable_ = true;
        must_report_recovery_ = true;
        deliver_(cw_store_disturbed{reason});
        changed_.notify_all();
    }

    void apply_entries(cw_upstream_delta seen) {
        const bool is_first = upstreams_.revision() == 0;
        auto delta = upstreams_.apply(std::move(seen));
        if (is_first) {
            deliver_(cw_upstreams_listed{std::move(delta.written)});
        } else if (!delta.is_empty() || must_report_recovery_) {
            deliver_(cw_upstreams_changed{std::move(delta.written), std::move(delta.removed)});
        }
        must_report_recovery_ = false;
        changed_.notify_all();
    }

    // -- a reader as the source

    boost::asio::awaitable<cw_result<cw_feed_answer>>
    request_feed(std::string reader, cw_feed_part part, milliseconds timeout) {
        // A configuration that is on its way is no news.
        const auto config =
            part == cw_feed_part::config ? config_version_ : expected_config_version();
        const auto target =
            std::string{cw_feed_path} + "?revision=" + std::to_string(upstreams_.revision()) +
            "&config=" + std::to_string(config) + "&part=" + std::string{cw_feed_part_name(part)};
        cw_http_request message{boost::beast::http::verb::get, target, 11};
        message.set(boost::beast::http::field::host, reader);
        const auto response =
            co_await http_.request(reader, std::move(message), deadline_in(timeout));
        co_return response ? cw_feed_answer::parse(response->body(), cw_boot_clock::now())
                           : cw_result<cw_feed_answer>{tl::unexpected(response.error())};
    }

    /// Asks a reader and tells the choice what came of it.
    boost::asio::awaitable<cw_result<cw_feed_answer>> poll_reader(std::string reader,
                                                                  cw_feed_part part) {
        auto answer = co_await request_feed(reader, part, long_poll_wait + response_grace);
        const auto now = cw_boot_clock::now();
        if (answer) {
            selector_.on_status(reader, answer->status, now);
        } else {
            selector_.on_failure(reader, now);
        }
        co_return answer;
    }

    void_task follow_reader(std::string reader) {
        auto answer = co_await poll_reader(reader, cw_feed_part::entries);
        if (!answer) {
            log_.info("A reader does not answer.",
                      {{"reader", reader}, {"error", answer.error().text()}});
        } else if (answer->status.reads_store) {
            const auto version = answer->config_version;
            apply_answer(std::move(*answer), cw_boot_clock::now());
            if (version > expected_config_version()) {
                pending_config_version_ = version;
                spawn(fetch_config(reader, version));
            }
        }
    }

    [[nodiscard]] std::uint64_t expected_config_version() const {
        return std::max(config_version_, pending_config_version_);
    }

    /// Takes a whole configuration from a reader, beside the entries; from the store when the
    /// reader does not give it in time.
    void_task fetch_config(std::string reader, std::uint64_t version) {
        auto answer = co_await request_feed(reader, cw_feed_part::config, config_transfer_timeout);
        if (answer && !answer->config.is_null()) {
            apply_config(store_.decode_config(answer->config));
        } else {
            log_.info("A reader does not give its configuration.",
                      {{"reader", reader},
                       {"version", std::to_string(version)},
                       {"error", answer ? "" : answer.error().text()}});
            const auto seen = co_await store_.read_config(deadline_in(store_timeout));
            if (seen) {
                apply_config(*seen);
            } else {
                log_.info("Nor does the store.", {{"error", seen.error().text()}});
            }
        }
        // When both have failed, the next answer with the version begins anew, unless a later one
        // is on its way by now.
        if (pending_config_version_ == version) {
            pending_config_version_ = 0;
        }
    }

    void_task check_reader(std::string reader) {
        // Only whether it can be followed counts.
        static_cast<void>(co_await poll_reader(reader, cw_feed_part::status));
    }

    /// Asks readers that are passed over, beside the present source.
    void_task check_suspected_readers() {
        while (true) {
            for (const auto& reader : selector_.take_due_checks(cw_boot_clock::now())) {
                spawn(check_reader(reader));
            }
            co_await cw_pause(context_, check_poll_interval);
        }
    }

    void apply_answer(cw_feed_answer answer, cw_boot_time now) {
        last_store_response_ = now - answer.status.store_age;
        // From here a host goes on by itself when it loses its readers.
        watch_revision_ = std::max(watch_revision_, answer.delta.revision);
        // That the store does not answer the reader says nothing of the store, which another source
        // may reach.
        const bool is_unreachable = answer.status.is_store_unreachable;
        const bool can_apply = upstreams_.revision() != 0 || answer.delta.is_full;
        if (can_apply && !(is_unreachable && answer.delta.is_empty())) {
            apply_entries(std::move(answer.delta));
        }
        is_store_unreachable_ = is_store_unreachable_ && is_unreachable;
    }

    boost::asio::io_context& context_;
    const cw_gateway_options& options_;
    typename Port::store& store_;
    deliver_function deliver_;
    cw_log log_{"feed"};
    cw_http_client http_;
    /// Told when followers have something to hear.
    cw_async_condition changed_;
    std::minstd_rand engine_{std::random_device{}()};
    cw_reader_selector selector_;
    cw_feed_source source_;
    bool reads_store_ = false;

    cw_upstream_replica upstreams_;
    std::uint64_t watch_revision_ = 0;
    milliseconds upstream_watch_wait_{upstream_watch_wait};
    /// When the store last answered, here or the reader.
    cw_boot_time last_store_response_{};
    bool is_store_unreachable_ = false;
    /// True until the control state has been told that the store answers again.
    bool must_report_recovery_ = false;

    std::uint64_t config_revision_ = 0;
    std::uint64_t config_version_ = 0;
    /// Version of the configuration that is on its way from a reader; 0 when none is.
    std::uint64_t pending_config_version_ = 0;
    nlohmann::json config_json_;
};
