#include "plugins/routing/token_bucket.h"

#include <algorithm>

namespace crocuslane {

token_bucket::token_bucket(double capacity, double initialLevel)
    : m_capacity(capacity)
    , m_level(initialLevel)
{
}

void token_bucket::fill(double amount)
{
    m_level = std::min(m_capacity, m_level + amount);
}

bool token_bucket::take(double amount)
{
    if (m_level < amount) {
        return false;
    }
    m_level -= amount;
    return true;
}

double token_bucket::level() const
{
    return m_level;
}

} // namespace crocuslane
