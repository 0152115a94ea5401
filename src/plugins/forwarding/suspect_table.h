#pragma once

#include "base/clock.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <unordered_map>
#include <vector>

namespace crocuslane {

/// Counts the runners that ended under each suspect, a prompt part or a request, and isolates a suspect under which too
/// many ended without a sound answer. All tables are bounded.
class suspect_table
{
public:
    using suspect_id = std::uint64_t;

    /// Numbers of lost runners and of requests that lost them.
    struct thresholds {
        /// Known to have ended, under a suspect that was not answered lately.
        unsigned runners = 0;
        /// The same, where it is not known of any.
        unsigned unconfirmedRunners = 0;
        unsigned requests = 0;
        /// Known to have ended, under a suspect that was answered lately.
        unsigned runnersOfSound = 0;
        unsigned requestsOfSound = 0;
        /// Before it is suspected.
        unsigned suspectedRunners = 0;
        /// An isolation ends when no request with the suspect came for this time.
        duration isolationLifetime{};
        std::size_t isolated = 0;
        /// A suspect is isolated only when it has lost more runners, or more requests, than each other one that lost
        /// one of the same runners. For suspects of which a request has only one.
        bool needsLead = false;
    };

    /// An attempt that lost its runner before the answer was under way.
    struct loss {
        std::uint64_t runner = 0;
        std::uint32_t request = 0;
        steady_time at;
    };
    struct isolation {
        steady_time since;
        /// When a request with the part was last refused at any VM, as far as known.
        steady_time lastRefusal;
        unsigned probes = 0;
    };
    struct suspect {
        /// Position in the prompts, counted from 0; 0 is the part that most requests share.
        unsigned position = 0;
        /// One per runner, since the last sound answer.
        std::vector<loss> losses;
        std::optional<isolation> isolated;
        /// Since when the losses are enough to isolate the part.
        std::optional<steady_time> eligibleSince;
    };
    struct counts {
        /// Runners of which it is known that they ended.
        unsigned runners = 0;
        /// Runners that lost the request and may have ended.
        unsigned unconfirmedRunners = 0;
        unsigned requests = 0;
    };
    enum class sound_effect {
        none,
        losses_cleared,
        isolation_ended,
    };
    /// Whether the runner of a loss ended at that time.
    using crash_check = std::function<bool(const loss &loss)>;

    explicit suspect_table(const thresholds &thresholds);

    /// False when the loss is known, is older than a sound answer, or is explained by an isolated part.
    bool addLoss(suspect_id id, unsigned position, const loss &loss, steady_time now);
    sound_effect addSound(suspect_id id, steady_time at, steady_time now);
    std::optional<steady_time> lastSound(suspect_id id) const;
    /// Isolates a suspect on the evidence of another VM. False when it is isolated already, was answered since, or the
    /// table of isolated parts is full.
    bool isolate(suspect_id id, unsigned position, const isolation &isolation);
    /// Isolates the suspect under which most runners ended, if there are enough. Returns its id.
    std::optional<suspect_id> isolateMostSuspect(const crash_check &isCrash, steady_time now);
    counts count(const suspect &suspect, const crash_check &isCrash) const;
    /// Whether enough runners were lost under it to suspect it, and none answered lately.
    bool isSuspect(suspect_id id, const crash_check &isCrash, steady_time now) const;
    void eraseLosses(std::uint64_t runner);
    /// Removes old entries; returns the parts whose isolation ended because no more requests with them came.
    std::vector<suspect_id> expire(steady_time now);

    isolation *findIsolation(suspect_id id);
    const isolation *findIsolation(suspect_id id) const;
    const suspect *find(suspect_id id) const;
    const std::unordered_map<suspect_id, suspect> &suspects() const;
    std::size_t isolatedCount() const;

private:
    bool isExplained(std::uint64_t runner, suspect_id part) const;
    /// Runner losses that an isolated part explains don't count against other parts.
    void explainLosses(suspect_id isolated);
    /// Of parts that are not isolated.
    void eraseLossesIf(const std::function<bool(const loss &)> &condition);
    bool wasRecentlySound(suspect_id id, steady_time now) const;
    bool isEnough(suspect_id id, const counts &counts, steady_time now) const;
    bool hasLead(suspect_id candidate, const counts &counts, const crash_check &isCrash) const;

    thresholds m_thresholds;
    std::unordered_map<suspect_id, suspect> m_suspects;
    std::unordered_map<suspect_id, steady_time> m_lastSound;
    steady_time m_nextSoundSweep;
};

/// For parts of prompts. Where each runner has few requests, only its entry in the list shows seconds later that it
/// ended, so that losses count that may be single answers. More are needed for a part that was answered: sound requests
/// that wait at a runner when it ends lose it as well, and a part that many of them share is lost at several in a row.
constexpr suspect_table::thresholds partThresholds{4, 6, 2, 6, 3, 3, std::chrono::minutes(10), 32, false};
/// For requests that come again. One request is enough: it may be the only one that crashes runners.
constexpr suspect_table::thresholds requestThresholds{3, 4, 1, 3, 1, 3, std::chrono::hours(1), 256, true};

} // namespace crocuslane
