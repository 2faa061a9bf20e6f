/// A day with a drill of the store: an instance is cut off from the machines, its keys move to
/// others, and the store comes back from a copy of before that while all processes of the system
/// are killed. Usage: drill_day STORE-PORT FIRST-INSTANCE-PORT TROUBLE RECORD KILL-FILE
/// FRONT-PORT...
///
/// Writes to KILL-FILE when the processes are to be killed. Exits with 1 if an instance takes a key
/// with a fence that is not above all with which other instances had it; with 2 if the day could
/// not be played.

#include "keyed_instance.h"

#include <fstream>
#include <iomanip>
#include <iostream>

using namespace review;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t instances = 6;
constexpr std::size_t clients = 12;
constexpr const char* service_name = "gallery";
constexpr auto cut_length = 5'000ms;
/// From the beginning of the cut to the beginning of the drill, and the time that the store is
/// away.
constexpr auto drill_delay = 3'000ms;
constexpr auto store_absence = 500ms;
constexpr auto copy_lead = 200ms;
constexpr auto watch_length = 25s;
constexpr auto time_limit_of_clients = 1'200ms;

json configuration() {
    return {
        {"version", 7},
        {"limits",
         {{"maxHeaderBytes", 16'384},
          {"maxBodyBytes", 65'536},
          {"headerTimeoutS", 3},
          {"idleTimeoutS", 15}}},
        {"listeners",
         {{{"host", "shop.example"},
           {"rules",
            {{{"name", "view"},
              {"kind", "safe"},
              {"targetLatencyS", 0.5},
              {"priority", 2},
              {"match", {{"pathPrefix", "/view/"}}},
              {"action", {{"service", service_name}, {"timeoutS", 1.2}, {"maxAttempts", 2}}}}}}}}},
        {"clusters",
         {{{"name", service_name}, {"maxConnections", 120}, {"sharded", true}, {"warmupS", 5}}}}};
}

class day {
public:
    day(std::uint16_t store_port, std::uint16_t first_port, bool has_trouble, const char* record,
        const char* kill_file, std::vector<std::uint16_t> fronts)
        : objects_{context_, store_port},
          has_trouble_{has_trouble},
          record_{record},
          kill_file_{kill_file},
          fronts_{std::move(fronts)},
          judge_{[this](const auto& text) { note(text); }} {
        objects_.put("config", "main", configuration());
        for (std::size_t i = 0; i < instances; ++i) {
            auto each = std::make_shared<keyed_instance>(
                context_, objects_, judge_, service_name, "i-" + std::to_string(i + 1), "z1",
                static_cast<std::uint16_t>(first_port + i));
            each->on_run = [this, id = each->id()](const auto&, auto, auto) { ++runs_[id]; };
            each->start();
            instances_.push_back(std::move(each));
        }
    }

    int run() {
        net::co_spawn(context_, play(), [this](const std::exception_ptr& failure) {
            if (failure) {
                std::rethrow_exception(failure);
            }
            context_.stop();
        });
        std::cout << "store is up" << std::endl;
        context_.run();
        return result_;
    }

private:
    void note(const std::string& text) {
        record_ << std::fixed << std::setprecision(2)
                << std::chrono::duration<double>(steady::now() - started_).count() << " s: " << text
                << '\n';
        record_.flush();
    }

    void note_holders() {
        std::string text = "keys held:";
        for (const auto& each : instances_) {
            text += " " + each->id() + " " + std::to_string(each->held());
        }
        const auto table = objects_.spec("keytables", service_name);
        note(text + "; steward by the store's table: " + steward());
    }

    /// The host whose process last wrote the table under a condition.
    std::string steward() const {
        const auto table = objects_.spec("keytables", service_name);
        return table.is_object() && table.contains("steward")
                   ? table["steward"].value("host", std::string{})
                   : std::string{};
    }

    task<void> beat() {
        while (true) {
            for (auto& each : instances_) {
                each->beat();
            }
            co_await pause(context_, 870ms);
        }
    }

    task<void> report() {
        while (true) {
            co_await pause(context_, 1'000ms);
            note_holders();
        }
    }

    task<void> client(std::size_t number) {
        connection kept{context_};
        std::uint64_t sent = 0;
        while (true) {
            request message{http::verb::get, "/view/" + std::to_string(number), 11};
            message.set(http::field::host, "shop.example");
            message.set("X-Cuminwinch-Attempt-Id",
                        "c" + std::to_string(number) + "-" + std::to_string(++sent));
            message.set("X-Cuminwinch-Request-Timeout-Ms",
                        std::to_string(time_limit_of_clients.count()));
            message.set("X-Cuminwinch-Shard-Key",
                        std::to_string((sent * 7'919 + number * 5'501) % owner_judge::keys));
            const auto answer = co_await kept.call(loopback(fronts_[number % fronts_.size()]),
                                                   std::move(message), time_limit_of_clients);
            ++answers_[answer ? answer->result_int() : 0];
            co_await pause(context_, 100ms);
        }
    }

    bool are_all_held() const {
        std::uint64_t sum = 0;
        for (const auto& each : instances_) {
            sum += each->held();
        }
        return sum == owner_judge::keys;
    }

    task<void> make_trouble() {
        objects_.take_copy();
        note("the store's copy is made");
        co_await pause(context_, copy_lead);
        auto& cut = *instances_[2];
        cut.cut();
        note(cut.id() + " is cut off from all machines, not from the store");
        co_await pause(context_, drill_delay);
        note_holders();
        objects_.go_away();
        kill_file_ << "all" << std::endl;
        note("the store is away, and all processes of the system are killed");
        co_await pause(context_, store_absence);
        objects_.come_back_from_copy();
        for (auto& each : instances_) {
            each->beat();
        }
        note("the store is back from its copy");
        co_await pause(context_, cut_length - drill_delay - store_absence);
        cut.heal();
        note(cut.id() + " is reached again");
    }

    task<void> play() {
        net::co_spawn(context_, beat(), net::detached);
        for (std::size_t i = 0; i < clients; ++i) {
            net::co_spawn(context_, client(i), net::detached);
        }
        net::co_spawn(context_, report(), net::detached);
        for (int i = 0; i < 200 && !are_all_held(); ++i) {
            co_await pause(context_, 50ms);
        }
        co_await pause(context_, 3'000ms);
        if (!are_all_held()) {
            note("the keys were not granted");
            co_return;
        }
        if (has_trouble_) {
            co_await make_trouble();
        } else {
            co_await pause(context_, copy_lead + cut_length);
        }
        co_await pause(context_, watch_length);
        note_holders();
        std::string text = "answers by status (0: none):";
        for (const auto& [status, count] : answers_) {
            text += " " + std::to_string(status) + ": " + std::to_string(count);
        }
        note(text);
        result_ = judge_.broken() != 0 ? 1 : 0;
        note(result_ == 1 ? "OWNER is broken for " + std::to_string(judge_.broken()) + " keys"
                          : "OWNER holds");
    }

    net::io_context context_{1};
    store objects_;
    bool has_trouble_;
    std::ofstream record_;
    std::ofstream kill_file_;
    std::vector<std::uint16_t> fronts_;
    owner_judge judge_;
    std::vector<std::shared_ptr<keyed_instance>> instances_;
    steady::time_point started_ = steady::now();
    std::map<std::string, std::uint64_t> runs_;
    std::map<unsigned, std::uint64_t> answers_;
    int result_ = 2;
};

} // namespace

int main(int argc, char** argv) {
    constexpr int fixed_arguments = 6;
    if (argc <= fixed_arguments) {
        return 2;
    }
    std::vector<std::uint16_t> fronts;
    for (int i = fixed_arguments; i < argc; ++i) {
        fronts.push_back(static_cast<std::uint16_t>(std::atoi(argv[i])));
    }
    day played{static_cast<std::uint16_t>(std::atoi(argv[1])),
               static_cast<std::uint16_t>(std::atoi(argv[2])),
               argv[3][0] != '0',
               argv[4],
               argv[5],
               std::move(fronts)};
    return played.run();
}
