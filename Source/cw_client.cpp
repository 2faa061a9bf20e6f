#include "cw_client.h"

#include "cw_blocking_http.h"
#include "cw_config_folder.h"
#include "cw_config_parser.h"
#include "cw_http_client.h"
#include "cw_key_hash.h"
#include "cw_store_client.h"
#include "cw_store_key.h"

#include <algorithm>
#include <iomanip>
#include <iostream>
#include <random>
#include <sstream>
#include <thread>

namespace {

using namespace std::chrono_literals;
constexpr auto call_timeout = 3s;
constexpr auto poll_interval = 100ms;
constexpr int max_write_attempts = 5;
constexpr std::size_t max_history = 50;
constexpr std::size_t max_part_bytes = 1'000'000;

auto deadline() {
    return std::chrono::steady_clock::now() + call_timeout;
}

std::string time_text(std::chrono::system_clock::time_point at) {
    const auto seconds = std::chrono::system_clock::to_time_t(at);
    const auto micros =
        std::chrono::duration_cast<std::chrono::microseconds>(at.time_since_epoch() % 1s).count();
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::ostringstream text;
    text << std::put_time(&parts, "%Y-%m-%dT%H:%M:%S") << '.' << std::setw(6) << std::setfill('0')
         << micros << 'Z';
    return text.str();
}

std::string new_writer_id() {
    std::random_device device;
    return "client." + std::to_string(device()) + "." + std::to_string(device());
}

} // namespace

void cw_client::print(const nlohmann::json& value, const std::string& text) const {
    if (options_.json) {
        std::cout << value.dump(2) << '\n';
    } else {
        std::cout << text;
    }
}

cw_client_exit cw_client::report_error(const cw_error& error) const {
    std::cerr << "cuminwinch: " << error.text() << '\n';
    return cw_client_exit::failed;
}

bool cw_client::is_valid(const std::vector<cw_config_file>& files) {
    const auto parsed = cw_config_parser::parse(files);
    if (parsed) {
        return true;
    }
    auto list = nlohmann::json::array();
    std::string text;
    for (const auto& issue : parsed.error()) {
        list.push_back({{"file", issue.file}, {"line", issue.line}, {"text", issue.text}});
        text += issue.line_text() + "\n";
    }
    print({{"valid", false}, {"issues", list}}, text);
    return false;
}

cw_client_exit cw_client::validate(const std::string& folder) {
    const auto files = cw_read_config_folder(folder);
    if (!files) {
        return report_error(files.error());
    }
    if (!is_valid(*files)) {
        return cw_client_exit::invalid;
    }
    print({{"valid", true}}, "the configuration is valid\n");
    return cw_client_exit::done;
}

cw_client_exit cw_client::plan(const std::string& folder) {
    const auto files = cw_read_config_folder(folder);
    if (!files) {
        return report_error(files.error());
    }
    if (!is_valid(*files)) {
        return cw_client_exit::invalid;
    }
    const auto current = platform_.read_head();
    if (!current) {
        return report_error(current.error());
    }
    auto changes = nlohmann::json::array();
    std::string text;
    auto removed = current->head.parts;
    for (const auto& file : *files) {
        const auto known = removed.find(file.name);
        const char* change = known == removed.end()                         ? "add"
                             : known->second != cw_config_digest(file.text) ? "change"
                                                                            : nullptr;
        removed.erase(file.name);
        if (change != nullptr) {
            changes.push_back({{"file", file.name}, {"change", change}});
            text += std::string{change} + " " + file.name + "\n";
        }
    }
    for (const auto& [name, digest] : removed) {
        changes.push_back({{"file", name}, {"change", "remove"}});
        text += "remove " + name + "\n";
    }
    // A configuration does not assign owners, so a new version alone moves no keys; new services
    // start without keys.
    text += changes.empty() ? "nothing changes\n" : "keys moved: 0\n";
    print({{"base", current->head.version}, {"changes", changes}, {"keys_moved", 0}}, text);
    return cw_client_exit::done;
}

cw_result<void> cw_client::write_parts(const std::vector<cw_config_file>& files) {
    cw_http_client client{context_};
    cw_store_client store{client, options_.platform};
    for (const auto& file : files) {
        const auto key = cw_config_part_key(cw_config_digest(file.text));
        for (int attempt = 0;; ++attempt) {
            const auto outcome =
                cw_run_until_complete(context_, store.write(key, file.text, 0, deadline()));
            // A part is stored under its digest, so one that already exists has the same content.
            if (outcome != cw_write_outcome::unknown) {
                break;
            }
            if (attempt + 1 == max_write_attempts) {
                return tl::unexpected(
                    cw_error{"write part " + file.name, options_.platform,
                             "no reply; the configuration is unchanged, try again"});
            }
        }
    }
    return {};
}

cw_client_exit cw_client::apply(const std::string& folder) {
    const auto files = cw_read_config_folder(folder);
    if (!files) {
        return report_error(files.error());
    }
    if (!is_valid(*files)) {
        return cw_client_exit::invalid;
    }
    for (const auto& file : *files) {
        if (file.text.size() > max_part_bytes) {
            return report_error({"apply", file.name, "larger than 1000000 bytes; split it"});
        }
    }
    const auto current = platform_.read_head();
    if (!current) {
        return report_error(current.error());
    }
    if (options_.expected_version && *options_.expected_version != current->head.version) {
        std::cerr << "cuminwinch: apply: version " << current->head.version << " is in force, not "
                  << *options_.expected_version << "; inspect it with `show` and try again\n";
        return cw_client_exit::conflict;
    }
    cw_config_head next = current->head;
    next.parts.clear();
    for (const auto& file : *files) {
        next.parts[file.name] = cw_config_digest(file.text);
    }
    if (next.parts == current->head.parts) {
        print({{"version", current->head.version}, {"changed", false}},
              "version " + std::to_string(current->head.version) + " already has this content\n");
        return options_.wait ? wait_until_in_force(current->head.version) : cw_client_exit::done;
    }
    if (const auto written = write_parts(*files); !written) {
        return report_error(written.error());
    }
    ++next.version;
    next.writer = new_writer_id();
    next.history.push_back({next.version, std::chrono::system_clock::now(), options_.author});
    if (next.history.size() > max_history) {
        next.history.erase(next.history.begin());
    }
    return publish_head(*current, std::move(next));
}

cw_client_exit cw_client::publish_head(const cw_stored_head& base, cw_config_head next) {
    cw_http_client client{context_};
    cw_store_client store{client, options_.platform};
    bool accepted = false;
    for (int attempt = 0; attempt < max_write_attempts && !accepted; ++attempt) {
        const auto outcome = cw_run_until_complete(
            context_, store.write(std::string{cw_config_head_key}, next.to_json(),
                                  base.store_version, deadline()));
        accepted = outcome == cw_write_outcome::done;
        if (outcome != cw_write_outcome::conflict) {
            continue;
        }
        // The reply to an earlier try may have been lost; the record then has this writer's id.
        const auto current = platform_.read_head();
        if (!current) {
            return report_error(current.error());
        }
        accepted = current->head.writer == next.writer;
        if (!accepted) {
            std::cerr << "cuminwinch: apply: version " << current->head.version
                      << " was accepted meanwhile, by "
                      << (current->head.history.empty() ? "someone"
                                                        : current->head.history.back().author)
                      << "; your version was not accepted\n";
            return cw_client_exit::conflict;
        }
    }
    if (!accepted) {
        return report_error({"apply", options_.platform,
                             "no reply; check with `history` whether your version " +
                                 std::to_string(next.version) + " was accepted"});
    }
    print({{"version", next.version}, {"changed", true}},
          "version " + std::to_string(next.version) + " is accepted\n");
    return options_.wait ? wait_until_in_force(next.version) : cw_client_exit::done;
}

cw_client_exit cw_client::wait_until_in_force(std::uint64_t version) {
    const auto started = std::chrono::steady_clock::now();
    const auto until = started + options_.max_wait;
    std::size_t in_force = 0;
    std::size_t reachable = 0;
    std::string progress;
    while (std::chrono::steady_clock::now() < until) {
        const auto statuses = platform_.host_statuses();
        if (!statuses) {
            return report_error(statuses.error());
        }
        in_force = 0;
        reachable = 0;
        for (const auto& entry : *statuses) {
            reachable += entry.status.is_object() ? 1 : 0;
            const bool is_in_force =
                entry.status.is_object() &&
                entry.status.value("config_version", std::uint64_t{0}) >= version;
            in_force += is_in_force ? 1 : 0;
        }
        if (reachable > 0 && in_force == reachable) {
            const auto took = std::chrono::duration_cast<std::chrono::milliseconds>(
                std::chrono::steady_clock::now() - started);
            print({{"version", version}, {"hosts", in_force}, {"wait_ms", took.count()}},
                  "in force on all " + std::to_string(in_force) + " reachable hosts after " +
                      std::to_string(took.count()) + " ms\n");
            return cw_client_exit::done;
        }
        const auto line = "waiting: in force on " + std::to_string(in_force) + " of " +
                          std::to_string(reachable) + " hosts\n";
        if (line != progress) {
            progress = line;
            std::cerr << line;
        }
        std::this_thread::sleep_for(poll_interval);
    }
    std::cerr << "cuminwinch: apply: version " << version << " is in force on " << in_force
              << " of " << reachable << " reachable hosts; see `status`\n";
    return cw_client_exit::not_everywhere;
}

cw_client_exit cw_client::status() {
    const auto statuses = platform_.host_statuses();
    if (!statuses) {
        return report_error(statuses.error());
    }
    auto list = nlohmann::json::array();
    std::ostringstream text;
    text << "host                 domain     config  member  may-grant  alive\n";
    for (const auto& [host, status] : *statuses) {
        if (!status.is_object()) {
            list.push_back({{"host", host}, {"reachable", false}});
            text << std::left << std::setw(20) << host << " does not answer\n";
            continue;
        }
        list.push_back(status);
        text << std::left << std::setw(20) << host << ' ' << std::setw(10)
             << status.value("domain", "") << ' ' << std::setw(7)
             << status.value("config_version", 0) << ' ' << std::setw(7)
             << (status.value("member", false) ? "yes" : "no") << ' ' << std::setw(10)
             << (status.value("may_grant", false) ? "yes" : "no") << ' '
             << status.value("alive_members", nlohmann::json::array()).size() << '\n';
    }
    print(list, text.str());
    return cw_client_exit::done;
}

cw_client_exit cw_client::history() {
    const auto head = platform_.read_head();
    if (!head) {
        return report_error(head.error());
    }
    auto list = nlohmann::json::array();
    std::string text;
    for (const auto& entry : head->head.history) {
        const auto at = time_text(entry.accepted);
        list.push_back({{"version", entry.version}, {"time", at}, {"author", entry.author}});
        text += std::to_string(entry.version) + "  " + at + "  " + entry.author + "\n";
    }
    print(list, text.empty() ? "no configuration has been accepted\n" : text);
    return cw_client_exit::done;
}

cw_client_exit cw_client::show() {
    const auto head = platform_.read_head();
    if (!head) {
        return report_error(head.error());
    }
    const auto files = platform_.read_parts(head->head);
    if (!files) {
        return report_error(files.error());
    }
    auto list = nlohmann::json::object();
    std::string text = "# version " + std::to_string(head->head.version) + "\n";
    for (const auto& file : *files) {
        list[file.name] = file.text;
        text += "# file " + file.name + "\n" + file.text;
    }
    print({{"version", head->head.version}, {"files", list}}, text);
    return cw_client_exit::done;
}

cw_client_exit cw_client::owners(const std::string& service) {
    const auto found = platform_.table(service);
    if (!found) {
        return report_error(found.error());
    }
    auto list = nlohmann::json::array();
    std::ostringstream text;
    text << "epoch " << found->epoch() << "\n";
    for (const auto& [id, owner] : found->owners()) {
        const auto slices = found->owned_by(id).size();
        list.push_back({{"upstream", id},
                        {"domain", owner.domain},
                        {"address", owner.address},
                        {"fence", owner.fence},
                        {"slices", slices}});
        text << std::left << std::setw(20) << id << ' ' << std::setw(10) << owner.domain << ' '
             << std::setw(18) << owner.address << " slices " << std::setw(4) << slices << " fence "
             << owner.fence << '\n';
    }
    print({{"epoch", found->epoch()}, {"owners", list}}, text.str());
    return cw_client_exit::done;
}

cw_client_exit cw_client::explain(const std::string& service, const std::string& key) {
    const auto found = platform_.table(service);
    if (!found) {
        return report_error(found.error());
    }
    const auto hash = cw_key_hash(key);
    const auto& slice = found->slice_of(hash);
    const auto* owner = found->owner(slice.owner);
    std::ostringstream text;
    text << "key " << key << " has the hash " << hash << "\n"
         << "slice " << slice.first << " to " << slice.last << " of " << service << "\n"
         << "owner " << slice.owner << " at " << owner->address << " in " << owner->domain << "\n"
         << "generation " << slice.generation << ", fence " << owner->fence << ", table epoch "
         << found->epoch() << " written by " << found->writer() << "\n";
    print({{"service", service},
           {"key", key},
           {"hash", hash},
           {"first", slice.first},
           {"last", slice.last},
           {"owner", slice.owner},
           {"address", owner->address},
           {"domain", owner->domain},
           {"generation", slice.generation},
           {"fence", owner->fence},
           {"epoch", found->epoch()},
           {"writer", found->writer()}},
          text.str());
    return cw_client_exit::done;
}

cw_client_exit cw_client::timeline() {
    const auto list = platform_.hosts();
    if (!list) {
        return report_error(list.error());
    }
    std::vector<nlohmann::json> events;
    for (const auto& host : *list) {
        if (host.kind != cw_host_kind::entry) {
            continue;
        }
        const auto text = platform_.get(host.address, "/v1/timeline");
        if (!text) {
            std::cerr << "cuminwinch: " << text.error().text() << '\n';
            continue;
        }
        for (const auto& event : nlohmann::json::parse(*text, nullptr, false)) {
            events.push_back(event);
        }
    }
    std::stable_sort(events.begin(), events.end(), [](const auto& left, const auto& right) {
        return left.at("time_us") < right.at("time_us");
    });
    std::ostringstream text;
    for (const auto& event : events) {
        const std::chrono::microseconds micros{event.at("time_us").get<std::int64_t>()};
        text << time_text(std::chrono::system_clock::time_point{micros}) << ' ' << std::left
             << std::setw(12) << event.value("host", "") << ' ' << std::setw(8)
             << event.value("domain", "") << ' ' << std::setw(7) << event.value("part", "") << ' '
             << event.value("what", "") << ' ' << event.value("subject", "") << ' '
             << event.value("detail", "") << '\n';
    }
    print(events, text.str());
    return cw_client_exit::done;
}
