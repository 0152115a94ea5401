#pragma once

#include <cstddef>

namespace crocuslane {

/// Counts the bytes of bodies that a process keeps, and bounds them together.
class byte_budget
{
public:
    explicit byte_budget(std::size_t limit);

    /// Counts @p bytes if they are within the limit; false, and counts nothing, otherwise.
    bool tryTake(std::size_t bytes);
    /// Counts @p bytes also beyond the limit.
    void take(std::size_t bytes);
    void release(std::size_t bytes);
    std::size_t used() const;

private:
    std::size_t m_limit;
    std::size_t m_used = 0;
};

} // namespace crocuslane
