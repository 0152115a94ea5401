#pragma once

#include "kernel/kernel.h"
#include "support/fake_log.h"

#include <optional>

namespace crocuslane {

class ignoring_timeline : public timeline_recorder
{
public:
    void record(timeline_kind /*kind*/, const request_id & /*request*/, std::string /*detail*/) override
    {
    }
};

/// Runs one kernel on a fake log, in steps of a millisecond of a manual clock. Actions for the log are carried out, all
/// others are collected.
class log_harness
{
public:
    log_harness(manual_clock &clock, fake_log &log, const std::string &id, const std::string &zone = "a")
        : m_clock(clock)
        , m_log(log)
        , m_random(7)
        , m_kernel({clock, m_random, {vm_id(id), 1, zone, "region", {}, {}}, {}, m_timeline})
    {
    }

    crocuslane::kernel &kernel()
    {
        return m_kernel;
    }

    void start()
    {
        carryOut(m_kernel.start());
        run(std::chrono::milliseconds(1));
    }

    void handle(event event)
    {
        carryOut(m_kernel.handle(std::move(event)));
    }

    void run(duration length)
    {
        const steady_time end = m_clock.steadyNow() + length;
        while (m_clock.steadyNow() < end) {
            m_clock.advance(std::chrono::milliseconds(1));
            step();
        }
    }

    /// Delivers the reads and timers that are due, without advancing the clock.
    void step()
    {
        for (auto &[stream, position] : m_positions) {
            const log_records_read read = m_log.read(stream, position);
            const bool isUnread = position < read.endOffset || m_clock.steadyNow() >= m_nextIdleRead;
            if (isLogUp && isUnread) {
                position = read.endOffset;
                handle(read);
            } else if (!isLogUp && isUnread) {
                handle(log_unreachable{stream});
            }
        }
        if (m_clock.steadyNow() >= m_nextIdleRead) {
            m_nextIdleRead = m_clock.steadyNow() + std::chrono::milliseconds(200);
        }
        if (m_clock.steadyNow() >= m_kernel.nextDeadline()) {
            handle(timer_expired{});
        }
    }

    /// Removes the collected actions of one type and returns them.
    template<typename type>
    std::vector<type> takeActions()
    {
        std::vector<type> found;
        for (const action &candidate : actions) {
            if (const auto *match = std::get_if<type>(&candidate)) {
                found.push_back(*match);
            }
        }
        std::erase_if(actions, [](const action &candidate) { return std::holds_alternative<type>(candidate); });
        return found;
    }

    /// While false, reads and appends fail.
    bool isLogUp = true;
    /// While true, appends take effect but are reported as failed.
    bool losesAnswers = false;
    /// Number of append actions, including failed ones.
    std::size_t appends = 0;
    action_list actions;

private:
    void carryOut(const action_list &list)
    {
        for (const action &action : list) {
            if (const auto *follow = std::get_if<follow_stream>(&action)) {
                m_positions[follow->stream] = follow->from;
            } else if (const auto *append = std::get_if<append_record>(&action)) {
                ++appends;
                answer(*append);
            } else {
                actions.push_back(action);
            }
        }
    }

    void answer(const append_record &append)
    {
        if (!isLogUp) {
            handle(append_failed{append.recordId, true});
            return;
        }
        const log_offset offset = m_log.append(append);
        if (losesAnswers) {
            handle(append_failed{append.recordId, false});
        } else {
            handle(record_appended{append.recordId, offset});
        }
    }

    manual_clock &m_clock;
    fake_log &m_log;
    seeded_random m_random;
    ignoring_timeline m_timeline;
    crocuslane::kernel m_kernel;
    std::map<std::string, log_offset> m_positions;
    steady_time m_nextIdleRead;
};

} // namespace crocuslane
