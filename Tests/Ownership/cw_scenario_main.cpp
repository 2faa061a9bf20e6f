/// Runs one scenario script on the ownership simulation and prints its output: cw_scenario FILE.
///
/// A scenario is a Lua script. The operations of the simulation are global functions; `show` prints
/// the events that the keepers recorded since the last call, and `expect` ends the run with an
/// error if its condition is false.

#include "cw_ownership_bench.h"

#include <cstdio>
#include <cstdlib>
#include <lua.hpp>
#include <memory>
#include <string>

namespace {

/// The simulation of the running script and the number of its events that were printed.
struct scenario {
    std::unique_ptr<cw_ownership_bench> bench;
    std::size_t shown = 0;
};

scenario& current() {
    static scenario instance;
    return instance;
}

cw_ownership_bench& bench(lua_State* lua) {
    if (!current().bench) {
        luaL_error(lua, "no cluster is set up; call estate{} first");
    }
    return *current().bench;
}

std::string string_argument(lua_State* lua, int index) {
    return luaL_checkstring(lua, index);
}

std::chrono::milliseconds duration_argument(lua_State* lua, int index) {
    return std::chrono::milliseconds{luaL_checkinteger(lua, index)};
}

lua_Integer option(lua_State* lua, const char* name, lua_Integer fallback) {
    lua_getfield(lua, 1, name);
    const auto value = lua_isnil(lua, -1) ? fallback : luaL_checkinteger(lua, -1);
    lua_pop(lua, 1);
    return value;
}

std::string text_option(lua_State* lua, const char* name, const char* fallback) {
    lua_getfield(lua, 1, name);
    const std::string value = lua_isnil(lua, -1) ? fallback : luaL_checkstring(lua, -1);
    lua_pop(lua, 1);
    return value;
}

int make_cluster(lua_State* lua) {
    luaL_checktype(lua, 1, LUA_TTABLE);
    cw_ownership_bench::options chosen;
    chosen.seed = static_cast<std::uint64_t>(option(lua, "seed", 1));
    chosen.domains = static_cast<std::size_t>(option(lua, "domains", 2));
    chosen.keepers = static_cast<std::size_t>(option(lua, "keepers", 3));
    chosen.upstreams = static_cast<std::size_t>(option(lua, "upstreams", 3));
    chosen.checks_fences = text_option(lua, "fences", "checked") == "checked";
    chosen.cut_off = text_option(lua, "cut_off", "hold") == "release" ? cw_partition_policy::release
                                                                      : cw_partition_policy::hold;
    current().bench = std::make_unique<cw_ownership_bench>(chosen);
    current().shown = 0;
    return 0;
}

int run_for(lua_State* lua) {
    bench(lua).run(duration_argument(lua, 1));
    return 0;
}

int kill_node(lua_State* lua) {
    bench(lua).kill(string_argument(lua, 1));
    return 0;
}

int freeze_node(lua_State* lua) {
    bench(lua).freeze(string_argument(lua, 1), duration_argument(lua, 2));
    return 0;
}

int restart_node(lua_State* lua) {
    bench(lua).restart(string_argument(lua, 1));
    return 0;
}

int stop_keeper(lua_State* lua) {
    bench(lua).stop_keeper(string_argument(lua, 1));
    return 0;
}

int drain_upstream(lua_State* lua) {
    bench(lua).drain(string_argument(lua, 1));
    return 0;
}

int add_upstream(lua_State* lua) {
    bench(lua).add_upstream(string_argument(lua, 1), string_argument(lua, 2));
    return 0;
}

int cut_link(lua_State* lua) {
    bench(lua).cut(string_argument(lua, 1), string_argument(lua, 2));
    return 0;
}

int cut_both(lua_State* lua) {
    bench(lua).cut_both(string_argument(lua, 1), string_argument(lua, 2));
    return 0;
}

int heal_links(lua_State* lua) {
    bench(lua).heal();
    return 0;
}

int set_store(lua_State* lua) {
    bench(lua).set_store_up(string_argument(lua, 1) == "up");
    return 0;
}

int set_store_delay(lua_State* lua) {
    bench(lua).set_lag(duration_argument(lua, 1));
    return 0;
}

int freeze_hosts(lua_State* lua) {
    bench(lua).set_hosts_frozen(string_argument(lua, 1) == "frozen");
    return 0;
}

int longest_gap(lua_State* lua) {
    lua_pushinteger(lua, bench(lua).longest_gap().count());
    return 1;
}

int reset_gaps(lua_State* lua) {
    bench(lua).reset_gaps();
    return 0;
}

int unowned(lua_State* lua) {
    lua_pushinteger(lua, static_cast<lua_Integer>(bench(lua).unowned()));
    return 1;
}

int two_owners(lua_State* lua) {
    lua_pushinteger(lua, static_cast<lua_Integer>(bench(lua).two_owner_moments()));
    return 1;
}

int store_writes(lua_State* lua) {
    lua_pushinteger(lua, static_cast<lua_Integer>(bench(lua).store_writes()));
    return 1;
}

int store_reads(lua_State* lua) {
    lua_pushinteger(lua, static_cast<lua_Integer>(bench(lua).store_reads()));
    return 1;
}

int bytes_sent(lua_State* lua) {
    lua_pushinteger(lua, static_cast<lua_Integer>(bench(lua).bytes_sent(string_argument(lua, 1))));
    return 1;
}

int slices_of(lua_State* lua) {
    const auto* table = bench(lua).stored_table();
    const auto count = table == nullptr ? 0 : table->owned_by(string_argument(lua, 1)).size();
    lua_pushinteger(lua, static_cast<lua_Integer>(count));
    return 1;
}

int show(lua_State* lua) {
    const auto& lines = bench(lua).timeline();
    for (; current().shown < lines.size(); ++current().shown) {
        std::printf("  %s\n", lines[current().shown].c_str());
    }
    return 0;
}

int say(lua_State* lua) {
    std::printf("%s\n", luaL_checkstring(lua, 1));
    return 0;
}

int expect(lua_State* lua) {
    if (lua_toboolean(lua, 1) == 0) {
        return luaL_error(lua, "expected: %s", luaL_checkstring(lua, 2));
    }
    std::printf("holds: %s\n", luaL_checkstring(lua, 2));
    return 0;
}

const luaL_Reg script_functions[] = {{"estate", make_cluster},
                                     {"run", run_for},
                                     {"kill", kill_node},
                                     {"freeze", freeze_node},
                                     {"restart", restart_node},
                                     {"stop", stop_keeper},
                                     {"drain", drain_upstream},
                                     {"add_upstream", add_upstream},
                                     {"cut", cut_link},
                                     {"cut_both", cut_both},
                                     {"heal", heal_links},
                                     {"store", set_store},
                                     {"slow_store", set_store_delay},
                                     {"host_list", freeze_hosts},
                                     {"longest_gap", longest_gap},
                                     {"reset_gaps", reset_gaps},
                                     {"unowned", unowned},
                                     {"two_owners", two_owners},
                                     {"store_writes", store_writes},
                                     {"store_reads", store_reads},
                                     {"bytes_sent", bytes_sent},
                                     {"slices_of", slices_of},
                                     {"show", show},
                                     {"say", say},
                                     {"expect", expect}};

} // namespace

int main(int argc, char** argv) {
    if (argc != 2) {
        std::fprintf(stderr, "usage: cw_scenario FILE\n");
        return EXIT_FAILURE;
    }
    lua_State* lua = luaL_newstate();
    luaL_openlibs(lua);
    for (const auto& function : script_functions) {
        lua_register(lua, function.name, function.func);
    }
    const bool failed = luaL_dofile(lua, argv[1]) != LUA_OK;
    if (failed) {
        std::printf("%s\n", lua_tostring(lua, -1));
    }
    lua_close(lua);
    current().bench.reset();
    return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
