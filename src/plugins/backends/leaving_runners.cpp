#include "plugins/backends/leaving_runners.h"

#include <algorithm>
#include <utility>

namespace crocuslane {

namespace {

// A process that leaves has ended by then, and a restored log no longer lists it.
constexpr std::chrono::seconds statementLifetime{60};

} // namespace

// A statement is never taken back: an answer without one may have been made before it.
leaving_runners::change leaving_runners::note(runner_key process, const stated_leaving &stated, steady_time now)
{
    if (!stated.isLeaving && stated.unreadable.empty()) {
        return change::none;
    }
    const bool isFirst = !m_statements.contains(process);
    statement &known = m_statements[process];
    known.neededAt = now;
    if (stated.isLeaving) {
        return std::exchange(known.isLeaving, true) ? change::none : change::leaves;
    }
    return isFirst ? change::unreadable : change::none;
}

bool leaving_runners::contains(runner_key process) const
{
    const auto found = m_statements.find(process);
    return found != m_statements.end() && found->second.isLeaving;
}

void leaving_runners::keep(runner_key process, steady_time now)
{
    const auto found = m_statements.find(process);
    if (found != m_statements.end()) {
        found->second.neededAt = now;
    }
}

void leaving_runners::expire(steady_time now)
{
    std::erase_if(m_statements, [now](const auto &each) { return now - each.second.neededAt >= statementLifetime; });
}

std::size_t leaving_runners::size() const
{
    return static_cast<std::size_t>(std::count_if(
        m_statements.begin(), m_statements.end(), [](const auto &each) { return each.second.isLeaving; }));
}

} // namespace crocuslane
