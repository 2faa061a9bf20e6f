#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <list>
#include <string>

/// Bounds the memory of all buffers together that others fill, such as answers of upstreams.
///
/// When the bound is exceeded, the source whose buffers hold the most loses its largest buffer,
/// until the bound is kept. So a faulty source pays, and not the one whose byte happens to be the
/// last.
/// Buffers that are in use and cannot be given back are pinned: they count, and are never evicted.
///
/// Used on one thread, except for the functions that are marked as safe to call from any thread.
class cw_buffer_budget {
public:
    /// One buffer. Evicted buffers count as empty.
    class buffer {
    public:
        /// A buffer that `source` fills.
        buffer(cw_buffer_budget& budget, std::string source);
        ~buffer();
        buffer(const buffer&) = delete;
        buffer& operator=(const buffer&) = delete;

        /// Sets the memory that the buffer takes, in bytes. May evict buffers, this one too.
        void resize(std::uint64_t bytes);
        /// Sets the function that is called once when the buffer is evicted. It has to end what
        /// fills or keeps the buffer, and must not destroy the buffer.
        void on_eviction(std::function<void()> evict) { evict_ = std::move(evict); }
        /// Keeps the buffer from being evicted from now on.
        void pin() { is_pinned_ = true; }
        /// True if the buffer's memory has to be given back.
        [[nodiscard]] bool is_evicted() const { return is_evicted_; }

    private:
        friend class cw_buffer_budget;

        cw_buffer_budget& budget_;
        std::string source_;
        std::uint64_t bytes_ = 0;
        bool is_evicted_ = false;
        bool is_pinned_ = false;
        std::function<void()> evict_;
        std::list<buffer*>::iterator position_;
    };

    /// `limit` is the bound in bytes.
    explicit cw_buffer_budget(std::uint64_t limit)
        : limit_{limit} {}

    [[nodiscard]] std::uint64_t limit() const { return limit_; }
    /// Memory of all buffers that are not evicted, in bytes. Safe to call from any thread.
    [[nodiscard]] std::uint64_t bytes() const { return bytes_; }
    /// Highest value of bytes() after evictions since the last call. Safe to call from any thread.
    [[nodiscard]] std::uint64_t take_peak() { return peak_.exchange(bytes_); }

private:
    void set_bytes(buffer& changed, std::uint64_t bytes);
    void evict_until_within_limit();
    /// The largest buffer of the source whose buffers hold the most; null if all are pinned.
    [[nodiscard]] buffer* next_to_evict() const;

    std::uint64_t limit_;
    std::atomic<std::uint64_t> bytes_{0};
    std::atomic<std::uint64_t> peak_{0};
    std::list<buffer*> buffers_;
};
