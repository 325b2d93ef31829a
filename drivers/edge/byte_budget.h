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

        /// Returns false if the limit is exceeded; the bytes count all the same.
        bool add(std::size_t bytes)
        {
            this->held += bytes;
            this->budget.used += bytes;
            return this->budget.used <= this->budget.limit;
        }

        void release()
        {
            this->budget.used -= this->held;
            this->held = 0;
        }

    private:
        ByteBudget &budget;
        std::size_t held = 0;
    };

    explicit ByteBudget(std::size_t limit) : limit(limit) { }

private:
    std::size_t limit;
    std::size_t used = 0;
};

} // namespace lagoondeck
