/// Measures how costs grow with size, as input of docs/CAPACITY.md. Prints one CSV row per metric
/// and size.

#include "cw_config_head.h"
#include "cw_config_parser.h"
#include "cw_config_source.h"
#include "cw_keeper_core.h"
#include "cw_key_hash.h"
#include "cw_lease_codec.h"
#include "cw_lease_holder.h"
#include "cw_peer_codec.h"
#include "cw_planner.h"
#include "cw_slice_table.h"

#include <array>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <malloc.h>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace {

using namespace std::chrono_literals;

constexpr int repetitions = 5;

void print_row(const char* slope, std::size_t size, const char* unit, double value) {
    std::printf("%s,%zu,%s,%.4g\n", slope, size, unit, value);
}

double cpu_seconds() {
    timespec time{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

double heap_bytes() {
    return static_cast<double>(mallinfo2().uordblks);
}

/// Minimum CPU time of several runs of the work, in seconds.
template <typename Work>
double min_cpu_seconds(const Work& work) {
    double min_seconds = 1e9;
    for (int i = 0; i < repetitions; ++i) {
        const auto start = cpu_seconds();
        work();
        min_seconds = std::min(min_seconds, cpu_seconds() - start);
    }
    return min_seconds;
}

std::vector<cw_upstream_location> make_locations(std::size_t count) {
    std::vector<cw_upstream_location> locations;
    for (std::size_t i = 0; i < count; ++i) {
        locations.push_back({"gallery-" + std::to_string(i), "hakata", "10.0.0.1:8000"});
    }
    return locations;
}

cw_slice_table make_table(std::size_t slices) {
    constexpr std::size_t per_upstream = 8;
    return cw_slice_table::initial("gallery",
                                   make_locations(std::max<std::size_t>(slices / per_upstream, 1)),
                                   std::min(slices, per_upstream));
}

void measure_tables() {
    for (const std::size_t slices : {80U, 800U, 8'000U, 80'000U}) {
        const auto before = heap_bytes();
        const auto table = make_table(slices);
        print_row("table-memory", slices, "bytes", heap_bytes() - before);
        const auto text = table.to_json();
        print_row("table-stored", slices, "bytes", static_cast<double>(text.size()));
        print_row("table-parse", slices, "us",
                  1e6 * min_cpu_seconds([&] { (void)cw_slice_table::parse(text); }));
        constexpr int lookups = 200'000;
        std::uint64_t found = 0;
        const auto seconds = min_cpu_seconds([&] {
            for (int i = 0; i < lookups; ++i) {
                found += table.slice_of(cw_key_hash(std::to_string(i))).generation;
            }
        });
        print_row("table-lookup", slices, "ns", 1e9 * seconds / lookups + (found == 0 ? 1 : 0));
        const std::vector<cw_slice_move> moves{{table.slices().front().first,
                                                table.slices().front().last,
                                                table.slices().front().owner,
                                                {"gallery-1", "hakata", "10.0.0.1:8000"}}};
        print_row("table-change", slices, "us",
                  1e6 * min_cpu_seconds([&] { (void)table.with_moves(moves, 2).to_json(); }));
    }
}

std::shared_ptr<const cw_config> make_config(std::size_t services) {
    auto config = std::make_shared<cw_config>();
    config->version = 1;
    config->firms = {"firm"};
    config->domains = {{"hakata", "firm", "kyushu"}};
    for (std::size_t i = 0; i < services; ++i) {
        cw_service_config service;
        service.name = i == 0 ? "gallery" : "service-" + std::to_string(i);
        service.firm = "firm";
        service.prefix = "/" + service.name + "/";
        config->services.push_back(service);
    }
    return config;
}

/// Simulates in virtual time one keeper that renews the leases of all upstreams of its domain.
/// Upstreams and store answer without delay.
class keeper_simulation {
public:
    explicit keeper_simulation(std::size_t upstreams) {
        std::vector<cw_host> hosts{{"k0", cw_host_kind::entry, "hakata", "", "10.0.0.2:1", false}};
        for (const auto& location : make_locations(upstreams)) {
            hosts.push_back({location.id, cw_host_kind::upstream, "hakata", "gallery",
                             location.address, false});
            holders_.emplace(location.id, cw_lease_holder{1, true});
        }
        handle(cw_config_event{make_config(1)});
        handle(cw_hosts_event{hosts});
        run(2s);
    }

    void run(std::chrono::milliseconds duration) {
        for (const auto end = now_ + duration; now_ < end; now_ += 10ms) {
            handle(cw_tick_event{});
        }
    }

    std::size_t grants = 0;
    std::size_t grant_bytes = 0;

private:
    void handle(const cw_keeper_event& event) {
        for (const auto& command : core_.decide(event, now_)) {
            if (const auto* grant = std::get_if<cw_send_grant_command>(&command)) {
                answer_grant(grant->grant);
            } else if (const auto* write = std::get_if<cw_write_command>(&command)) {
                store_[write->key] = {store_[write->key].first + 1, write->value};
                handle(cw_write_event{write->key, write->writer, cw_write_outcome::done});
                deliver_stored_value(write->key);
            } else if (const auto* read = std::get_if<cw_read_command>(&command)) {
                deliver_stored_value(read->key);
            }
        }
    }

    void answer_grant(const cw_lease_grant& grant) {
        ++grants;
        const cw_upstream_time time{
            std::chrono::duration_cast<std::chrono::microseconds>(now_.time_since_epoch())};
        const auto reply = holders_.at(grant.upstream).on_grant(grant, time);
        grant_bytes += cw_encode_grant(grant).size() + cw_encode_reply(reply).size();
        handle(reply);
    }

    void deliver_stored_value(const std::string& key) {
        const auto& [version, value] = store_[key];
        if (key.starts_with("ring/")) {
            cw_ring ring;
            ring.domain = "hakata";
            handle(cw_ring_event{version == 0 ? ring : *cw_ring::parse(value), version, now_});
        } else if (version != 0) {
            handle(cw_table_event{*cw_slice_table::parse(value), version});
        }
    }

    cw_time_point now_{1h};
    cw_keeper_core core_{{"k0", 1}, "hakata", {}};
    std::map<std::string, cw_lease_holder> holders_;
    std::map<std::string, std::pair<std::uint64_t, std::string>> store_;
};

void measure_renewals() {
    for (const std::size_t upstreams : {2U, 8U, 32U, 128U}) {
        const auto before = heap_bytes();
        keeper_simulation keeper{upstreams};
        print_row("keeper-memory", upstreams, "bytes", heap_bytes() - before);
        const auto grants = keeper.grants;
        const auto bytes = keeper.grant_bytes;
        const auto start = cpu_seconds();
        keeper.run(20s);
        print_row("keeper-cpu", upstreams, "us-per-s", 1e6 * (cpu_seconds() - start) / 20.0);
        print_row("renewals", upstreams, "per-s",
                  static_cast<double>(keeper.grants - grants) / 20.0);
        print_row("renewal-bodies", upstreams, "bytes-per-s",
                  static_cast<double>(keeper.grant_bytes - bytes) / 20.0);
    }
}

void measure_messages() {
    const cw_ring_member self{"entry-hakata-1", 1'796'345'075'587'542};
    const auto size = [&](const cw_peer_body& body) {
        return static_cast<double>(cw_encode_peer_message({self, body}).size());
    };
    print_row("ask", 1, "bytes", size(cw_promise_request_message{1'000'000, "hakata", 120, 4'800}));
    print_row("promise", 1, "bytes", size(cw_promise_message{1'000'000}));
    print_row("hold", 1, "bytes",
              size(cw_hold_message{1'000'000, "gallery-hakata-1", "gallery", 1'200}));
    print_row("offer", 1, "bytes", size(cw_offer_message{11'000}));
    for (const std::size_t slices : {40U, 80U, 160U, 320U}) {
        // Twelve hot keys, the maximum of a report, and 12.5 requests per second for each slice,
        // which is 50 units of 0.25.
        cw_load_message load{"gallery", 1'200, std::vector<std::uint32_t>(slices, 50), {}, {}};
        for (std::uint64_t key = 1; key <= 12; ++key) {
            load.keys[~std::uint64_t{0} / key] = 12.5;
        }
        print_row("load-report", slices, "bytes", size(load));
        const auto data = cw_encode_peer_message({self, load});
        print_row("load-report-cpu", slices, "us",
                  1e6 * min_cpu_seconds([&] { (void)cw_decode_peer_message(data); }));
    }
}

void measure_config() {
    for (const std::size_t services : {6U, 24U, 96U, 384U}) {
        std::vector<cw_config_file> files;
        std::size_t bytes = 0;
        for (std::size_t i = 0; i < services / 6; ++i) {
            const auto firm = "firm" + std::to_string(i);
            std::string text = "[[firm]]\nname = \"" + firm + "\"\n";
            for (std::size_t k = 0; k < 6; ++k) {
                const auto name = firm + "-service" + std::to_string(k);
                text += "[[service]]\nname = \"" + name + "\"\nfirm = \"" + firm +
                        "\"\nprefix = \"/" + name +
                        "/\"\ncut_off = \"release\"\nslots = 3\nconnections = 120\n";
            }
            bytes += text.size();
            files.push_back({firm + ".toml", text});
        }
        print_row("config-bytes", services, "bytes", static_cast<double>(bytes));
        // One firm's file has changed; the digests of the others are sent in both directions.
        std::set<std::string> known_digests;
        std::size_t request_bytes = 0;
        for (std::size_t i = 1; i < files.size(); ++i) {
            request_bytes += known_digests.insert(cw_config_digest(files[i].text)).first->size();
        }
        print_row("config-delta", services, "bytes",
                  static_cast<double>(request_bytes +
                                      cw_make_config_delta(files, 7, known_digests).dump().size()));
        print_row("config-parse", services, "us",
                  1e6 * min_cpu_seconds([&] { (void)cw_config_parser::parse(files); }));
    }
}

void measure_plans() {
    for (const std::size_t slices : {80U, 800U, 8'000U, 40'000U}) {
        const auto table = make_table(slices);
        cw_service_load load;
        for (const auto& slice : table.slices()) {
            load.slices[slice.first] =
                static_cast<double>(cw_key_hash(std::to_string(slice.first)) % 100);
        }
        const auto locations = make_locations(slices / 8);
        print_row("plan", slices, "us",
                  1e6 * min_cpu_seconds([&] {
                      (void)cw_planner::balance(table, load, locations, {1.15, 4});
                  }));
    }
}

} // namespace

int main() {
    std::puts("slope,size,unit,value");
    measure_messages();
    measure_tables();
    measure_renewals();
    measure_config();
    measure_plans();
}
