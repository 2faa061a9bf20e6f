#pragma once

#include "cw_async.h"
#include "cw_async_condition.h"
#include "cw_control_event.h"
#include "cw_entry_feed.h"
#include "cw_feed_answer.h"
#include "cw_gateway_options.h"
#include "cw_gateway_port.h"
#include "cw_http_client.h"
#include "cw_log.h"
#include "cw_query.h"
#include "cw_reader_choice.h"
#include "cw_spawn.h"

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
          told_{context},
          choice_{std::move(self), {}, engine_()} {}

    void start() {
        spawn(follow_config());
        spawn(follow_upstreams());
        spawn(question_readers());
    }

    /// Takes the readers of the own failure domain in their order.
    void on_readers(const std::vector<std::string>& order) { choice_.on_readers(order); }

    /// Answers a host that follows this one when there is news, or after a while.
    boost::asio::awaitable<cw_http_response> serve(std::string target) {
        const auto known = cw_query_number(target, "revision", 0);
        const auto config = cw_query_number(target, "config", 0);
        const auto part = cw_feed_part_of(cw_query_value(target, "part"));
        const auto until = after(part == cw_feed_part::entries ? heartbeat : milliseconds{0});
        const auto has_news = [&] {
            return !reads_store_ || is_store_lost_ || entries_.has_news_since(known) ||
                   config_version_ > config;
        };
        while (!has_news() && std::chrono::steady_clock::now() < until) {
            co_await told_.wait(until);
        }
        const auto now = cw_boot_clock::now();
        auto answer = make_answer(now);
        if (part == cw_feed_part::entries && entries_.has_news_since(known)) {
            answer.news = entries_.since(known);
        }
        if (part == cw_feed_part::config && config_version_ > config) {
            answer.config = config_source_;
        }
        co_return cw_make_response(boost::beast::http::status::ok, answer.to_text(now));
    }

private:
    using milliseconds = std::chrono::milliseconds;
    using nothing = boost::asio::awaitable<void>;

    static constexpr milliseconds store_timeout{1'200};
    static constexpr milliseconds store_retry{250};
    /// The same for a host that is no reader, so that a store that is down is not asked by all.
    static constexpr milliseconds lone_store_retry{1'000};
    /// A watch that waits while the store falls silent is never answered, also when the store is
    /// back, and until its deadline nothing is heard of upstreams that leave. Followers go by the
    /// age of the last answer, so one without news must not take long.
    static constexpr milliseconds watch_wait{400};
    static constexpr milliseconds watch_grace{1'500};
    /// A cut watch looks like one without news, so none waits longer than this.
    static constexpr milliseconds config_wait{1'000};
    /// Longest time between two answers of a reader.
    static constexpr milliseconds heartbeat{250};
    /// Time beyond it that an answer may take on its way.
    static constexpr milliseconds heartbeat_grace{350};
    /// Time for the first answer of the store to a host that turns to it; an open connection may
    /// have gone silent meanwhile.
    static constexpr milliseconds first_watch_grace{700};
    /// Interval at which a host without a source looks for one.
    static constexpr milliseconds source_poll{20};
    /// Longest time that a whole configuration may take from a reader. On a link of 10 Mbit/s,
    /// which requests share, one of 1,500 routes takes about a second.
    static constexpr milliseconds config_transfer{2'000};
    /// Interval at which it is looked whether a reader that is passed over should be asked.
    static constexpr milliseconds question_poll{50};

    static cw_time_point after(milliseconds time) {
        return std::chrono::steady_clock::now() + time;
    }

    [[nodiscard]] cw_feed_answer make_answer(cw_boot_time now) const {
        cw_feed_answer answer;
        answer.word = {reads_store_, std::chrono::duration_cast<milliseconds>(now - heard_),
                       is_store_lost_};
        answer.news.revision = entries_.revision();
        answer.config_version = config_version_;
        return answer;
    }

    void spawn(nothing work) { cw_spawn(context_, std::move(work), log_); }

    /// A pause of about the given length, so that hosts do not call in step.
    nothing pause_about(milliseconds length) {
        const auto spread = static_cast<std::uint64_t>(length.count() / 4 + 1);
        const auto extra = static_cast<std::int64_t>(engine_() % spread);
        co_await cw_pause(context_, length * 7 / 8 + milliseconds{extra});
    }

    nothing pause_after_failure() {
        co_await pause_about(choice_.is_named() ? store_retry : lone_store_retry);
    }

    // -- the source

    cw_feed_source next_source() {
        const auto now = cw_boot_clock::now();
        auto source = choice_.source(now);
        const bool turns_to_store = source.what == cw_feed_source::kind::store && !reads_store_;
        reads_store_ = source.what == cw_feed_source::kind::store;
        if (turns_to_store) {
            watch_wait_ = milliseconds{0};
        }
        if (source != source_) {
            log_.info("Entries come from another source.",
                      {{"source", reads_store_ ? "store" : source.reader},
                       {"before", source_.reader},
                       {"revision", std::to_string(entries_.revision())},
                       {"age_ms", std::to_string(age_ms(now))}});
            source_ = source;
            told_.notify_all();
        }
        return source;
    }

    [[nodiscard]] std::int64_t age_ms(cw_boot_time now) const {
        return heard_ == cw_boot_time{}
                   ? -1
                   : std::chrono::duration_cast<milliseconds>(now - heard_).count();
    }

    nothing follow_upstreams() {
        while (true) {
            const auto source = next_source();
            if (source.what == cw_feed_source::kind::store) {
                co_await read_upstreams();
            } else if (source.what == cw_feed_source::kind::reader) {
                co_await follow_reader(source.reader);
            } else {
                co_await cw_pause(context_, source_poll);
            }
        }
    }

    // -- the store as the source

    nothing follow_config() {
        bool is_lost = false;
        while (true) {
            // The first configuration comes from the store itself, whoever is the reader.
            if (config_revision_ != 0 && !reads_store_) {
                co_await cw_pause(context_, question_poll);
                continue;
            }
            cw_result<cw_config_change> seen;
            if (config_revision_ == 0) {
                seen = co_await store_.read_config(after(store_timeout));
            } else {
                seen = co_await store_.watch_config(config_revision_, config_wait,
                                                    after(config_wait + watch_grace));
            }
            if (is_lost != !seen) {
                is_lost = !seen;
                log_.info(is_lost ? "The configuration is out of reach."
                                  : "The configuration is in reach again.",
                          {{"error", seen ? "" : seen.error().text()}});
            }
            if (!seen) {
                co_await pause_after_failure();
                continue;
            }
            config_revision_ = seen->is_history_gone ? 0 : seen->revision;
            take_config(*seen);
        }
    }

    void take_config(const cw_config_change& change) {
        if (change.config == nullptr || change.config->version() <= config_version_) {
            return;
        }
        config_version_ = change.config->version();
        config_source_ = change.source;
        deliver_(cw_config_received{change.config});
        told_.notify_all();
    }

    nothing read_upstreams() {
        const bool lists = watch_revision_ == 0 || entries_.revision() == 0;
        cw_result<cw_upstream_change> seen;
        if (lists) {
            seen = co_await store_.list_upstreams(store_timeout);
        } else {
            const auto grace = watch_wait_.count() == 0 ? first_watch_grace : watch_grace;
            seen = co_await store_.watch_upstreams(watch_revision_, watch_wait_,
                                                   after(watch_wait_ + grace));
        }
        // The first watch after a failure does not wait, so that its silence shows soon.
        watch_wait_ = seen ? watch_wait : milliseconds{0};
        if (!seen) {
            note_loss(seen.error().text());
            co_await pause_after_failure();
            co_return;
        }
        heard_ = cw_boot_clock::now();
        watch_revision_ = seen->is_history_gone ? 0 : seen->revision;
        if (seen->is_history_gone) {
            co_return;
        }
        is_store_lost_ = false;
        take_entries({seen->revision, lists, std::move(seen->written), std::move(seen->removed)});
        co_await pause_about(options_.upstream_poll);
    }

    void note_loss(const std::string& reason) {
        is_store_lost_ = true;
        was_lost_ = true;
        deliver_(cw_store_failed{reason});
        told_.notify_all();
    }

    void take_entries(cw_upstream_news seen) {
        const bool is_first = entries_.revision() == 0;
        auto news = entries_.take(std::move(seen));
        if (is_first) {
            deliver_(cw_upstreams_listed{std::move(news.written)});
        } else if (!news.is_empty() || was_lost_) {
            deliver_(cw_upstreams_changed{std::move(news.written), std::move(news.removed)});
        }
        was_lost_ = false;
        told_.notify_all();
    }

    // -- a reader as the source

    boost::asio::awaitable<cw_result<cw_feed_answer>> request(std::string reader, cw_feed_part part,
                                                              milliseconds limit) {
        // A configuration that is on its way is no news.
        const auto config = part == cw_feed_part::config ? config_version_ : awaited_config();
        const auto target =
            std::string{cw_feed_path} + "?revision=" + std::to_string(entries_.revision()) +
            "&config=" + std::to_string(config) + "&part=" + std::string{cw_feed_part_name(part)};
        cw_http_request message{boost::beast::http::verb::get, target, 11};
        message.set(boost::beast::http::field::host, reader);
        const auto response = co_await http_.request(reader, std::move(message), after(limit));
        co_return response ? cw_feed_answer::parse(response->body(), cw_boot_clock::now())
                           : cw_result<cw_feed_answer>{tl::unexpected(response.error())};
    }

    /// Asks a reader and tells the choice what came of it.
    boost::asio::awaitable<cw_result<cw_feed_answer>> ask(std::string reader, cw_feed_part part) {
        auto answer = co_await request(reader, part, heartbeat + heartbeat_grace);
        const auto now = cw_boot_clock::now();
        if (answer) {
            choice_.on_word(reader, answer->word, now);
        } else {
            choice_.on_failure(reader, now);
        }
        co_return answer;
    }

    nothing follow_reader(std::string reader) {
        auto answer = co_await ask(reader, cw_feed_part::entries);
        if (!answer) {
            log_.info("A reader does not answer.",
                      {{"reader", reader}, {"error", answer.error().text()}});
        } else if (answer->word.reads_store) {
            const auto version = answer->config_version;
            take_answer(std::move(*answer), cw_boot_clock::now());
            if (version > awaited_config()) {
                fetched_config_ = version;
                spawn(fetch_config(reader, version));
            }
        }
    }

    [[nodiscard]] std::uint64_t awaited_config() const {
        return std::max(config_version_, fetched_config_);
    }

    /// Takes a whole configuration from a reader, beside the entries; from the store when the
    /// reader does not give it in time.
    nothing fetch_config(std::string reader, std::uint64_t version) {
        auto answer = co_await request(reader, cw_feed_part::config, config_transfer);
        if (answer && !answer->config.is_null()) {
            take_config(store_.decode_config(answer->config));
        } else {
            log_.info("A reader does not give its configuration.",
                      {{"reader", reader},
                       {"version", std::to_string(version)},
                       {"error", answer ? "" : answer.error().text()}});
            const auto seen = co_await store_.read_config(after(store_timeout));
            if (seen) {
                take_config(*seen);
            } else {
                log_.info("Nor does the store.", {{"error", seen.error().text()}});
            }
        }
        // When both have failed, the next answer with the version begins anew, unless a later one
        // is on its way by now.
        if (fetched_config_ == version) {
            fetched_config_ = 0;
        }
    }

    nothing question(std::string reader) {
        // Only whether it can be followed counts.
        static_cast<void>(co_await ask(reader, cw_feed_part::word));
    }

    /// Asks readers that are passed over, beside the present source.
    nothing question_readers() {
        while (true) {
            for (const auto& reader : choice_.take_questions(cw_boot_clock::now())) {
                spawn(question(reader));
            }
            co_await cw_pause(context_, question_poll);
        }
    }

    void take_answer(cw_feed_answer answer, cw_boot_time now) {
        heard_ = now - answer.word.store_age;
        // From here a host goes on by itself when it loses its readers.
        watch_revision_ = std::max(watch_revision_, answer.news.revision);
        // That the store does not answer the reader says nothing of the store, which another source
        // may reach.
        const bool is_lost = answer.word.is_store_lost;
        const bool can_take = entries_.revision() != 0 || answer.news.is_whole;
        if (can_take && !(is_lost && answer.news.is_empty())) {
            take_entries(std::move(answer.news));
        }
        is_store_lost_ = is_store_lost_ && is_lost;
    }

    boost::asio::io_context& context_;
    const cw_gateway_options& options_;
    typename Port::store& store_;
    deliver_function deliver_;
    cw_log log_{"feed"};
    cw_http_client http_;
    /// Told when followers have something to hear.
    cw_async_condition told_;
    std::minstd_rand engine_{std::random_device{}()};
    cw_reader_choice choice_;
    cw_feed_source source_;
    bool reads_store_ = false;

    cw_entry_feed entries_;
    std::uint64_t watch_revision_ = 0;
    milliseconds watch_wait_{watch_wait};
    /// When the store last answered, here or the reader.
    cw_boot_time heard_{};
    bool is_store_lost_ = false;
    /// True until the control state has been told that the store answers again.
    bool was_lost_ = false;

    std::uint64_t config_revision_ = 0;
    std::uint64_t config_version_ = 0;
    /// Version of the configuration that is on its way from a reader; 0 when none is.
    std::uint64_t fetched_config_ = 0;
    nlohmann::json config_source_;
};
