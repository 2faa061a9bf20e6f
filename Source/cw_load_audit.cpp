#include "cw_load_audit.h"

#include "cw_blocking_http.h"
#include "cw_host_list.h"

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>
#include <unordered_map>

namespace {

using namespace std::chrono_literals;
constexpr auto call_timeout = 5s;

cw_result<std::string> fetch_page(boost::asio::io_context& context, const std::string& address,
                                  const std::string& target) {
    return cw_http_get(context, address, target, std::chrono::steady_clock::now() + call_timeout);
}

std::string text_of(const cw_journal_entry& entry) {
    return entry.upstream + " from " + std::to_string(entry.start.count()) + " to " +
           std::to_string(entry.end.count()) + " us";
}

/// Adds the pairs of overlapping executions of one key on two upstreams to the audit.
void add_overlaps(std::vector<const cw_journal_entry*>& executions, cw_load_audit& audit) {
    std::sort(executions.begin(), executions.end(),
              [](const auto* left, const auto* right) { return left->start < right->start; });
    for (std::size_t i = 0; i < executions.size(); ++i) {
        for (std::size_t j = i + 1;
             j < executions.size() && executions[j]->start < executions[i]->end; ++j) {
            if (executions[i]->upstream == executions[j]->upstream) {
                continue;
            }
            ++audit.two_owner_moments;
            if (audit.first_two_owner_moment.empty()) {
                audit.first_two_owner_moment = executions[i]->key + ": " + text_of(*executions[i]) +
                                               ", " + text_of(*executions[j]);
            }
        }
    }
}

} // namespace

cw_load_audit cw_load_audit::compare(const std::vector<cw_load_record>& records,
                                     const std::vector<cw_journal_entry>& journal) {
    cw_load_audit result;
    std::unordered_map<std::string, std::size_t> commits;
    std::map<std::string, std::vector<const cw_journal_entry*>> by_key;
    for (const auto& entry : journal) {
        if (entry.committed) {
            ++commits[entry.request_id];
            if (entry.is_keyed) {
                by_key[entry.key].push_back(&entry);
            }
        }
    }
    result.journal_entries = journal.size();
    for (const auto& record : records) {
        const auto found = commits.find(record.request_id);
        const auto count = found == commits.end() ? 0 : found->second;
        result.answered_without_run +=
            record.outcome == cw_load_outcome::answered && count == 0 ? 1 : 0;
        result.false_did_not_run +=
            record.outcome == cw_load_outcome::did_not_run && count > 0 ? 1 : 0;
        result.doubled += record.is_post && count > 1 ? 1 : 0;
    }
    for (auto& [key, executions] : by_key) {
        add_overlaps(executions, result);
    }
    return result;
}

cw_result<std::vector<cw_journal_entry>> cw_read_journals(const std::string& platform,
                                                          std::size_t& unread_journals) {
    boost::asio::io_context context;
    const auto list = fetch_page(context, platform, "/hosts");
    if (!list) {
        return tl::unexpected(list.error());
    }
    const auto hosts = cw_parse_host_list(*list);
    if (!hosts) {
        return tl::unexpected(hosts.error());
    }
    std::vector<cw_journal_entry> journal;
    unread_journals = 0;
    for (const auto& host : *hosts) {
        if (host.kind != cw_host_kind::upstream) {
            continue;
        }
        const auto text = fetch_page(context, host.address, "/journal");
        const auto items = text ? nlohmann::json::parse(*text, nullptr, false) : nlohmann::json{};
        if (!items.is_array()) {
            ++unread_journals;
            continue;
        }
        for (const auto& item : items) {
            journal.push_back({item.at(0).get<std::string>(), item.at(1).get<std::string>(),
                               host.id, std::chrono::microseconds{item.at(2).get<std::int64_t>()},
                               std::chrono::microseconds{item.at(3).get<std::int64_t>()},
                               item.at(4).get<bool>(), item.at(6).get<bool>()});
        }
    }
    return journal;
}
