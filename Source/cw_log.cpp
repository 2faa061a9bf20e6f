#include "cw_log.h"

#include <atomic>
#include <cstdint>
#include <easylogging++.h>
#include <poll.h>
#include <unistd.h>

INITIALIZE_EASYLOGGINGPP

namespace {

std::atomic<std::uint64_t> dropped{0};

/// True when standard output accepts data without blocking.
bool can_write() {
    pollfd output{STDOUT_FILENO, POLLOUT, 0};
    return ::poll(&output, 1, 0) == 1 && (output.revents & POLLOUT) != 0;
}

/// Writes a line, after a warning about lines dropped before; drops it when writing would block.
template <typename Write>
void write_if_possible(Write write) {
    if (!can_write()) {
        ++dropped;
        return;
    }
    if (const auto dropped_count = dropped.exchange(0); dropped_count != 0) {
        LOG(WARNING) << "[log] Lines were dropped. count=" << dropped_count;
    }
    write();
}

bool needs_quotes(const std::string& value) {
    return value.empty() || value.find_first_of(" \"=\n") != std::string::npos;
}

void append_value(std::string& text, const std::string& value) {
    if (!needs_quotes(value)) {
        text += value;
        return;
    }
    text += '"';
    for (const char letter : value) {
        if (letter == '\n') {
            text += "\\n";
            continue;
        }
        if (letter == '"' || letter == '\\') {
            text += '\\';
        }
        text += letter;
    }
    text += '"';
}

} // namespace

void cw_log::configure(cw_log_level min_level) {
    el::Configurations settings;
    settings.setToDefault();
    settings.setGlobally(el::ConfigurationType::ToFile, "false");
    settings.setGlobally(el::ConfigurationType::Filename, "/dev/null");
    settings.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
    settings.setGlobally(el::ConfigurationType::Format,
                         "%datetime{%Y-%M-%dT%H:%m:%s.%g} %level %msg");
    const auto show = [&](el::Level level, bool shown) {
        settings.set(level, el::ConfigurationType::Enabled, shown ? "true" : "false");
    };
    show(el::Level::Debug, min_level <= cw_log_level::debug);
    show(el::Level::Info, min_level <= cw_log_level::info);
    show(el::Level::Warning, min_level <= cw_log_level::warning);
    el::Loggers::reconfigureLogger("default", settings);
}

cw_log_level cw_log::parse_level(std::string_view name) {
    if (name == "debug") {
        return cw_log_level::debug;
    }
    if (name == "warning") {
        return cw_log_level::warning;
    }
    return name == "error" ? cw_log_level::error : cw_log_level::info;
}

std::string cw_log::line(std::string_view sentence, const std::vector<cw_log_field>& fields) const {
    std::string text = "[" + component_ + "] " + std::string{sentence};
    for (const auto& [name, value] : fields) {
        text += ' ';
        text += name;
        text += '=';
        append_value(text, value);
    }
    return text;
}

void cw_log::debug(std::string_view sentence, const std::vector<cw_log_field>& fields) const {
    write_if_possible([&] { LOG(DEBUG) << line(sentence, fields); });
}

void cw_log::info(std::string_view sentence, const std::vector<cw_log_field>& fields) const {
    write_if_possible([&] { LOG(INFO) << line(sentence, fields); });
}

void cw_log::warning(std::string_view sentence, const std::vector<cw_log_field>& fields) const {
    write_if_possible([&] { LOG(WARNING) << line(sentence, fields); });
}

void cw_log::error(std::string_view sentence, const std::vector<cw_log_field>& fields) const {
    write_if_possible([&] { LOG(ERROR) << line(sentence, fields); });
}
