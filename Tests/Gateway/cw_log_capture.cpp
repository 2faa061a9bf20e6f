#include "cw_log_capture.h"

#include <array>
#include <cstdio>
#include <iostream>
#include <stdexcept>
#include <sys/mman.h>
#include <unistd.h>

cw_log_capture::cw_log_capture()
    : file_{::memfd_create("log", 0)},
      output_{::dup(STDOUT_FILENO)} {
    std::cout.flush();
    if (file_ < 0 || output_ < 0 || ::dup2(file_, STDOUT_FILENO) < 0) {
        throw std::runtime_error("standard output cannot be redirected");
    }
}

cw_log_capture::~cw_log_capture() {
    restore();
    ::close(file_);
}

void cw_log_capture::restore() {
    if (output_ >= 0) {
        std::cout.flush();
        ::dup2(output_, STDOUT_FILENO);
        ::close(output_);
        output_ = -1;
    }
}

std::string cw_log_capture::text() {
    restore();
    std::string text;
    std::array<char, 4'096> block{};
    ::lseek(file_, 0, SEEK_SET);
    for (auto size = ::read(file_, block.data(), block.size()); size > 0;
         size = ::read(file_, block.data(), block.size())) {
        text.append(block.data(), static_cast<std::size_t>(size));
    }
    return text;
}

std::size_t cw_count_of(const std::string& text, const std::string& part) {
    std::size_t count = 0;
    for (auto at = text.find(part); at != std::string::npos; at = text.find(part, at + 1)) {
        ++count;
    }
    return count;
}
