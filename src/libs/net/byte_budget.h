#pragma once

#include <cstddef>
#include <functional>

namespace crocuslane {

/// What bytes are kept for.
enum class byte_use {
    /// A body of a request.
    body,
    /// The head of a request, or a small body.
    head,
    answer,
};

/// Counts the bytes of requests and answers that a process keeps, and bounds them together. Bodies leave a part of the
/// limit free, and heads half of that part: small requests are served while large ones fill the memory, and requests
/// that have run can be answered however many others come.
class byte_budget
{
public:
    /// Releases some bytes to make room for those of a use; false when it has none to release.
    using reclaimer = std::function<bool(byte_use use)>;

    /// @p answerReserve is the part of @p limit that bodies leave free.
    explicit byte_budget(std::size_t limit, std::size_t answerReserve = 0);

    void setReclaimer(reclaimer reclaimer);
    /// Counts @p bytes if they are within the limit, after reclaiming others if need be; false, and counts nothing,
    /// otherwise.
    bool tryTake(std::size_t bytes, byte_use use);
    /// Counts @p bytes also beyond the limit.
    void take(std::size_t bytes);
    void release(std::size_t bytes);
    std::size_t used() const;

private:
    std::size_t limitOf(byte_use use) const;

    std::size_t m_limit;
    std::size_t m_answerReserve;
    reclaimer m_reclaimer;
    std::size_t m_used = 0;
};

} // namespace crocuslane
