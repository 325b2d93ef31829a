#pragma once

#include <cstddef>

namespace lagoondeck {

/// A limit on the bytes that several connections buffer together.
class ByteBudget
{
public:
    /// The bytes that one connection buffers. They are given back when the lease ends.
    class Lease
    {
    public:
        explicit Lease(ByteBudget &budget) : budget(budget) { }
        Lease(const Lease &) = delete;
        Lease &operator=(const Lease &) = delete;
        ~Lease() { this->release(); }

        /// Counts further bytes. Returns false if the limit is exceeded; the bytes count all the
        /// same.
        bool add(std::size_t bytes) { return this->set(this->held + bytes); }

        /// Counts these bytes in place of the previous ones, like add().
        bool set(std::size_t bytes)
        {
            this->budget.used += bytes;
            this->budget.used -= this->held;
            this->held = bytes;
            return this->budget.excess() == 0;
        }

        /// Does not use the budget if nothing is counted, because a closed connection may outlive
        /// it.
        void release()
        {
            if (this->held > 0) {
                this->set(0);
            }
        }
        std::size_t bytes() const { return this->held; }

    private:
        ByteBudget &budget;
        std::size_t held = 0;
    };

    explicit ByteBudget(std::size_t limit) : limit(limit) { }

    std::size_t usedBytes() const { return this->used; }
    std::size_t limitBytes() const { return this->limit; }
    /// Returns by how many bytes the limit is exceeded.
    std::size_t excess() const { return this->used > this->limit ? this->used - this->limit : 0; }

private:
    std::size_t limit;
    std::size_t used = 0;
};

} // namespace lagoondeck
