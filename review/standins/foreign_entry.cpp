/// Stand-ins for the case of an entry with bytes that cannot be read: the platform's store,
/// instances, the readiness questions and clients.
///
///     foreign_entry RECORD STORE-PORT FRONT-PORT READY-PORT [FRONT-PORT READY-PORT ...]
///
/// Reads commands from standard input, a line each: `entry FORM` writes the other writer's entry
/// (bytes, surrogate or number), `killed` and `back` say what was done to the gateways, `end`
/// judges. Prints `traffic` when all gateways serve. Exits with 1 if the rule RECOVER was broken, 0
/// if it held, 2 if it cannot tell.

#include "clients.h"
#include "instance.h"
#include "store.h"

#include <iostream>

namespace {

using namespace std::chrono_literals;

constexpr int instance_count = 8;
constexpr int client_count = 24;
constexpr auto recovery_time_ms = 15'000;

const std::string config = R"({"version":1,
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":1048576,"headerTimeoutS":10,"idleTimeoutS":20},
 "listeners":[{"host":"orders.example","rules":[{"name":"order","match":{"pathPrefix":"/order/"},
   "kind":"non_idempotent","priority":1,"targetLatencyS":0.5,
   "action":{"service":"orders","timeoutS":1.2,"maxAttempts":2}}]}],
 "clusters":[{"name":"orders","healthPath":"/healthz","maxConnections":130}]})";

/// An entry of another writer that cannot be read: its zone is a string with bytes that are no
/// text, or with a lone surrogate, or its slots are a number beyond all types.
std::string foreign_entry(const std::string& form) {
    const std::string zone = form == "surrogate" ? "\\ud800"
                             : form == "number"  ? "z1"
                                                 : "\xff\xfe\x80";
    return R"({"service":"orders","address":"","zone":")" + zone + R"(","state":"ready","slots":)" +
           (form == "number" ? "1e999" : "6") + "}";
}

struct share {
    int asked = 0;
    int served = 0;
    void add(const attempt& item) {
        ++asked;
        served += item.served ? 1 : 0;
    }
};

std::ostream& operator<<(std::ostream& out, const share& value) {
    return out << value.served << " of " << value.asked << " served";
}

} // namespace

int main(int argc, char** argv) {
    if (argc < 5) {
        return 2;
    }
    std::ofstream record{argv[1]};
    store platform{static_cast<std::uint16_t>(std::atoi(argv[2]))};
    platform.put("config", "main", config);
    run_record runs;
    std::vector<std::unique_ptr<instance>> instances;
    for (int i = 0; i < instance_count; ++i) {
        instances.push_back(
            std::make_unique<instance>("i-" + std::to_string(i), 6, 24, 160ms, runs));
        platform.put("servers", instances.back()->id(), instances.back()->entry("orders", "ready"));
    }
    std::vector<std::pair<std::uint16_t, std::uint16_t>> ports;
    for (int i = 3; i + 1 < argc; i += 2) {
        ports.emplace_back(std::atoi(argv[i]), std::atoi(argv[i + 1]));
    }
    client_group clients{ports};
    for (int i = 0; i < 200 && !clients.all_ready(); ++i) {
        std::this_thread::sleep_for(100ms);
    }
    if (!clients.all_ready()) {
        std::cout << "not ready" << std::endl;
        return 2;
    }
    for (int i = 0; i < client_count; ++i) {
        clients.start_client(i, {"POST", "orders.example", "/order/", 1'200ms, 100ms});
    }
    std::cout << "traffic" << std::endl;
    std::int64_t entry_ms = -1;
    std::int64_t killed_ms = -1;
    std::int64_t back_ms = -1;
    for (std::string line; std::getline(std::cin, line) && line != "end";) {
        record << clients.now_ms() << " ms " << line << '\n';
        if (line.starts_with("entry ")) {
            entry_ms = clients.now_ms();
            platform.put("servers", "i-of-another", foreign_entry(line.substr(6)));
        } else if (line == "killed") {
            killed_ms = clients.now_ms();
        } else if (line == "back") {
            back_ms = clients.now_ms();
        }
    }
    clients.stop();
    std::this_thread::sleep_for(2s);
    share before;
    share with_entry;
    share after;
    const auto attempts = clients.attempts();
    for (const auto& item : attempts) {
        if (item.ended_ms < killed_ms) {
            before.add(item);
            if (entry_ms >= 0 && item.sent_ms > entry_ms) {
                with_entry.add(item);
            }
        } else if (item.sent_ms > back_ms + recovery_time_ms) {
            after.add(item);
        }
    }
    write_attempts(record, attempts);
    {
        const std::scoped_lock lock{runs.mutex};
        for (const auto& [id, count] : runs.runs) {
            record << "run " << id << " " << count << '\n';
        }
    }
    const bool was_served = before.asked > 0 && before.served * 4 >= before.asked;
    const bool is_served = after.asked > 0 && after.served * 4 >= after.asked;
    for (auto* out : {static_cast<std::ostream*>(&record), &std::cout}) {
        *out << "before the processes were killed: " << before << '\n'
             << "  of these after the other writer's entry: " << with_entry << '\n'
             << "later than 15 s after they were back: " << after << std::endl;
    }
    record.flush();
    // Threads of the stand-ins still run, so the process ends without destroying what they use.
    std::_Exit(!was_served || after.asked == 0 ? 2 : is_served ? 0 : 1);
}
