#pragma once

#include "kernel/forward_types.h"
#include "kernel/runner_key.h"

#include <cstddef>
#include <unordered_map>

namespace crocuslane {

/// Processes of runners that have stated in an answer that they leave.
class leaving_runners
{
public:
    enum class change {
        none,
        leaves,
        /// The first statement of the process that can't be read.
        unreadable,
    };

    change note(runner_key process, const stated_leaving &stated, steady_time now);
    bool contains(runner_key process) const;
    /// The process is listed at @p now, so that its statement is still needed.
    void keep(runner_key process, steady_time now);
    /// Forgets processes that have neither made a statement nor been listed for a time.
    void expire(steady_time now);
    /// Number of leaving processes that are known.
    std::size_t size() const;

private:
    struct statement {
        bool isLeaving = false;
        steady_time neededAt;
    };

    std::unordered_map<runner_key, statement> m_statements;
};

} // namespace crocuslane
