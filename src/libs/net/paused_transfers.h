#pragma once

#include "net/event_loop.h"
#include "net/http_client.h"

#include <deque>
#include <functional>
#include <optional>

namespace crocuslane {

/// Transfers that wait because they have used their share of the event loop. They go on one at a time, each followed by
/// as much time for the rest of the loop.
class paused_transfers
{
public:
    /// Time from @p now until a transfer may use the loop again; nothing when it has ended.
    using wait_query = std::function<std::optional<duration>(transfer_number transfer, steady_time now)>;
    using resume_callback = std::function<void(transfer_number transfer)>;

    paused_transfers(event_loop &loop, wait_query waitTime, resume_callback resume);
    ~paused_transfers();
    paused_transfers(const paused_transfers &) = delete;
    paused_transfers &operator=(const paused_transfers &) = delete;

    void add(transfer_number transfer, duration waitTime);

private:
    void schedule(duration waitTime);
    void resumeNext();

    event_loop &m_loop;
    wait_query m_waitTime;
    resume_callback m_resume;
    /// In the order in which they go on.
    std::deque<transfer_number> m_transfers;
    std::optional<timer_number> m_timer;
};

} // namespace crocuslane
