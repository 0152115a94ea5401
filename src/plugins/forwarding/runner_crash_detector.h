#pragma once

#include "base/clock.h"
#include "kernel/runner_key.h"
#include "kernel/types.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace crocuslane {

/// Tells runners that ended from runners that lost single answers. Here, a runner is a process.
class runner_crash_detector
{
public:
    enum class evidence {
        /// All attempts of this VM at the runner were lost at the same time, and there were several.
        all_attempts_lost,
        /// No connection could be established afterwards.
        not_reachable,
        /// The runner is no longer listed.
        not_listed,
    };
    struct detected_crash {
        runner_key runner = 0;
        evidence reason = evidence::all_attempts_lost;
    };

    void attemptStarted(attempt_number attempt, runner_key runner, steady_time now);
    void attemptEnded(attempt_number attempt, runner_key runner);
    /// The connection of an attempt of this VM was lost.
    void attemptLost(runner_key runner, steady_time now);
    void attemptLostElsewhere(runner_key runner, steady_time at);
    void connectionRefused(runner_key runner, steady_time now);
    /// The runner sent something. Returns true when this shows that its earlier losses were single answers.
    bool noteSignOfLife(runner_key runner, steady_time now);
    /// @p listed are all runners that the platform lists.
    void setListed(const std::set<runner_key> &listed, steady_time now);
    /// A crash that another VM has detected. False when it is known.
    bool addCrash(runner_key runner, steady_time at);
    /// Crashes detected since the last call.
    std::vector<detected_crash> detect(steady_time now);
    bool hasCrashed(runner_key runner, steady_time lossAt) const;
    std::optional<steady_time> crashTime(runner_key runner) const;
    void expire(steady_time now);
    bool isEmpty() const;

private:
    struct record {
        /// Attempts of this VM in progress, with the times at which they started.
        std::map<attempt_number, steady_time> inProgress;
        unsigned ownLosses = 0;
        steady_time lastOwnLoss;
        std::optional<steady_time> lastLossElsewhere;
        std::optional<steady_time> goneAt;
        std::optional<steady_time> refusedAt;
        std::optional<steady_time> crashedAt;
        std::optional<steady_time> lastLoss;
    };

    record *findOrAdd(runner_key runner);
    static std::optional<evidence> evidenceOf(const record &record, steady_time now);

    std::unordered_map<runner_key, record> m_records;
    std::set<runner_key> m_listed;
};

std::string_view toName(runner_crash_detector::evidence evidence);

} // namespace crocuslane
