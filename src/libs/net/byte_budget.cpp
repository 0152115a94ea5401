#include "net/byte_budget.h"

#include <algorithm>
#include <utility>

namespace crocuslane {

byte_budget::byte_budget(std::size_t limit, std::size_t answerReserve)
    : m_limit(limit)
    , m_answerReserve(std::min(answerReserve, limit))
{
}

void byte_budget::setReclaimer(reclaimer reclaimer)
{
    m_reclaimer = std::move(reclaimer);
}

std::size_t byte_budget::limitOf(byte_use use) const
{
    switch (use) {
    case byte_use::body:
        return m_limit - m_answerReserve;
    case byte_use::head:
        return m_limit - m_answerReserve / 2;
    case byte_use::answer:
        break;
    }
    return m_limit;
}

bool byte_budget::tryTake(std::size_t bytes, byte_use use)
{
    const std::size_t limit = limitOf(use);
    if (bytes > limit) {
        return false;
    }
    while (m_used > limit - bytes) {
        if (!m_reclaimer || !m_reclaimer(use)) {
            return false;
        }
    }
    m_used += bytes;
    return true;
}

void byte_budget::take(std::size_t bytes)
{
    m_used += bytes;
}

void byte_budget::release(std::size_t bytes)
{
    m_used -= std::min(bytes, m_used);
}

std::size_t byte_budget::used() const
{
    return m_used;
}

} // namespace crocuslane
