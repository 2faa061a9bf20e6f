#include "cw_feed_client.h"

#include <algorithm>
#include <utility>

namespace {

/// Time within which a reader sends the first byte of its answer, which may have to be made first.
constexpr std::chrono::milliseconds first_byte_grace{1'000};

std::string evacuations_query(const cw_feed_known& known) {
    if (!known.evacuations_position) {
        return {};
    }
    return "&evacuations_era=" + std::to_string(known.evacuations_position->era) +
           "&evacuations=" + std::to_string(known.evacuations_position->revision);
}

std::string target_of(cw_feed_part part, const cw_feed_known& known) {
    return std::string{cw_feed_path} + "?era=" + std::to_string(known.entries_position.era) +
           "&revision=" + std::to_string(known.entries_position.revision) +
           "&config=" + std::to_string(known.config_version) +
           "&part=" + std::string{cw_feed_part_name(part)} +
           (known.takes_deltas ? "&deltas=1" : "") + evacuations_query(known);
}

} // namespace

boost::asio::awaitable<cw_result<cw_feed_answer>>
cw_feed_client::request(std::string reader, cw_feed_part part, cw_feed_known known,
                        std::chrono::milliseconds timeout) {
    const auto sent_at = cw_boot_clock::now();
    const auto started_at = std::chrono::steady_clock::now();
    const cw_call_deadlines deadlines{started_at + std::min(timeout, first_byte_grace),
                                      started_at + timeout};
    cw_http_request message{boost::beast::http::verb::get, target_of(part, known), 11};
    message.set(boost::beast::http::field::host, reader);
    const auto response = co_await http_.request(reader, std::move(message), deadlines);
    if (!response) {
        ++unanswered_;
        co_return tl::unexpected(response.error());
    }
    auto answer = cw_feed_answer::parse(response->body(), cw_boot_clock::now());
    if (answer) {
        answer->sent_at = sent_at;
    }
    co_return answer;
}
