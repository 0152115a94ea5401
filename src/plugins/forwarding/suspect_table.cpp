#include "plugins/forwarding/suspect_table.h"

#include <algorithm>
#include <set>

namespace crocuslane {

namespace {

constexpr std::chrono::seconds soundMemory{30};
constexpr std::chrono::seconds soundSweepInterval{5};
// Other VMs that know of a sound answer have this time to say so.
constexpr std::chrono::milliseconds objectionTime{600};
constexpr std::chrono::seconds lossLifetime{60};
constexpr std::chrono::milliseconds reportInaccuracy{1000};
constexpr std::size_t maximumSuspects = 2048;
constexpr std::size_t maximumSoundParts = 32768;
constexpr std::size_t maximumLossesPerPart = 16;

bool sharesRunner(const std::vector<suspect_table::loss> &left, const std::vector<suspect_table::loss> &right)
{
    return std::any_of(left.begin(), left.end(), [&right](const suspect_table::loss &each) {
        return std::any_of(right.begin(), right.end(), [&each](const suspect_table::loss &other) {
            return other.runner == each.runner;
        });
    });
}

} // namespace

suspect_table::suspect_table(const thresholds &thresholds)
    : m_thresholds(thresholds)
{
}

bool suspect_table::addLoss(suspect_id id, unsigned position, const loss &loss, steady_time now)
{
    const std::optional<steady_time> sound = lastSound(id);
    if ((sound && *sound >= loss.at) || now - loss.at > lossLifetime || isExplained(loss.runner, id)) {
        return false;
    }
    if (m_suspects.size() >= maximumSuspects && !m_suspects.contains(id)) {
        return false;
    }
    suspect &found = m_suspects[id];
    found.position = std::max(found.position, position);
    const bool isKnown = std::any_of(found.losses.begin(),
                                     found.losses.end(),
                                     [&loss](const suspect_table::loss &each) { return each.runner == loss.runner; });
    if (isKnown) {
        return false;
    }
    if (found.losses.size() >= maximumLossesPerPart) {
        found.losses.erase(found.losses.begin());
    }
    found.losses.push_back(loss);
    if (found.isolated) {
        explainLosses(id);
    }
    return true;
}

suspect_table::sound_effect suspect_table::addSound(suspect_id id, steady_time at, steady_time now)
{
    if (now >= m_nextSoundSweep) {
        m_nextSoundSweep = now + soundSweepInterval;
        std::erase_if(m_lastSound, [now](const auto &each) { return now - each.second > soundMemory; });
    }
    const auto known = m_lastSound.find(id);
    if (known != m_lastSound.end()) {
        known->second = std::max(known->second, at);
    } else if (m_lastSound.size() < maximumSoundParts && now - at <= soundMemory) {
        m_lastSound.emplace(id, at);
    }
    const auto found = m_suspects.find(id);
    if (found == m_suspects.end()) {
        return sound_effect::none;
    }
    suspect &suspect = found->second;
    const bool endsIsolation = suspect.isolated && suspect.isolated->since <= at;
    if (suspect.isolated && !endsIsolation) {
        return sound_effect::none;
    }
    const bool hasCleared = std::erase_if(suspect.losses, [at](const loss &each) { return each.at <= at; }) > 0;
    if (hasCleared) {
        suspect.eligibleSince.reset();
    }
    if (suspect.losses.empty() || endsIsolation) {
        m_suspects.erase(found);
    }
    if (endsIsolation) {
        return sound_effect::isolation_ended;
    }
    return hasCleared ? sound_effect::losses_cleared : sound_effect::none;
}

std::optional<steady_time> suspect_table::lastSound(suspect_id id) const
{
    const auto found = m_lastSound.find(id);
    return found == m_lastSound.end() ? std::nullopt : std::optional(found->second);
}

bool suspect_table::wasRecentlySound(suspect_id id, steady_time now) const
{
    const std::optional<steady_time> sound = lastSound(id);
    return sound && now - *sound <= soundMemory;
}

bool suspect_table::isExplained(std::uint64_t runner, suspect_id candidate) const
{
    return !m_thresholds.needsLead
        && std::any_of(m_suspects.begin(), m_suspects.end(), [runner, candidate](const auto &each) {
               const auto &[id, suspect] = each;
               return suspect.isolated && id != candidate
                   && std::any_of(suspect.losses.begin(), suspect.losses.end(), [runner](const loss &loss) {
                          return loss.runner == runner;
                      });
           });
}

void suspect_table::explainLosses(suspect_id isolated)
{
    if (m_thresholds.needsLead) {
        return;
    }
    const std::vector<loss> &explained = m_suspects[isolated].losses;
    eraseLossesIf([&explained](const loss &loss) {
        return std::any_of(explained.begin(), explained.end(), [&loss](const suspect_table::loss &other) {
            return other.runner == loss.runner;
        });
    });
}

void suspect_table::eraseLossesIf(const std::function<bool(const loss &)> &condition)
{
    for (auto &[id, suspect] : m_suspects) {
        if (!suspect.isolated) {
            std::erase_if(suspect.losses, condition);
        }
    }
    std::erase_if(m_suspects, [](const auto &each) { return each.second.losses.empty() && !each.second.isolated; });
}

bool suspect_table::isolate(suspect_id id, unsigned position, const isolation &isolation)
{
    const std::optional<steady_time> sound = lastSound(id);
    // Both times may come from other VMs, late by the time in transit.
    const bool wasAnswered = sound && *sound + reportInaccuracy >= isolation.since;
    if (findIsolation(id) != nullptr || wasAnswered || isolatedCount() >= m_thresholds.isolated) {
        return false;
    }
    suspect &added = m_suspects[id];
    added.position = std::max(added.position, position);
    added.isolated = isolation;
    explainLosses(id);
    return true;
}

suspect_table::counts suspect_table::count(const suspect &suspect, const crash_check &isCrash) const
{
    counts result;
    std::set<std::uint32_t> requests;
    for (const loss &loss : suspect.losses) {
        ++(isCrash(loss) ? result.runners : result.unconfirmedRunners);
        requests.insert(loss.request);
    }
    result.requests = static_cast<unsigned>(requests.size());
    return result;
}

bool suspect_table::isEnough(suspect_id id, const counts &counts, steady_time now) const
{
    if (wasRecentlySound(id, now)) {
        return counts.runners >= m_thresholds.runnersOfSound && counts.requests >= m_thresholds.requestsOfSound;
    }
    // Each runner counts with its share of the number that is enough.
    const unsigned sum =
        counts.runners * m_thresholds.unconfirmedRunners + counts.unconfirmedRunners * m_thresholds.runners;
    return sum >= m_thresholds.runners * m_thresholds.unconfirmedRunners && counts.requests >= m_thresholds.requests;
}

// Until then, requests that were beside the one that crashed their runners can't be told from it. They are answered
// when they come again, and it loses one more runner.
bool suspect_table::hasLead(suspect_id candidate, const counts &counts, const crash_check &isCrash) const
{
    const std::vector<loss> &losses = m_suspects.at(candidate).losses;
    const auto isAhead = [&](const suspect &other) {
        const suspect_table::counts otherCounts = count(other, isCrash);
        return std::pair(otherCounts.runners, otherCounts.requests) >= std::pair(counts.runners, counts.requests);
    };
    return std::none_of(m_suspects.begin(), m_suspects.end(), [&](const auto &each) {
        const suspect &other = each.second;
        return each.first != candidate && other.losses.size() >= losses.size() && sharesRunner(losses, other.losses)
            && isAhead(other);
    });
}

std::optional<suspect_table::suspect_id> suspect_table::isolateMostSuspect(const crash_check &isCrash, steady_time now)
{
    std::optional<suspect_id> best;
    counts bestCounts;
    bool isDue = false;
    for (auto &[id, suspect] : m_suspects) {
        if (suspect.isolated) {
            continue;
        }
        const counts counted = count(suspect, isCrash);
        if (!isEnough(id, counted, now) || (m_thresholds.needsLead && !hasLead(id, counted, isCrash))) {
            suspect.eligibleSince.reset();
            continue;
        }
        if (!suspect.eligibleSince) {
            suspect.eligibleSince = now;
        }
        isDue = isDue || now - *suspect.eligibleSince >= objectionTime;
        // Of parts with as many lost runners, the one that fewer requests share is isolated.
        const unsigned bestPosition = best ? m_suspects[*best].position : 0;
        if (!best || counted.runners > bestCounts.runners
            || (counted.runners == bestCounts.runners
                && std::pair(suspect.position, id) > std::pair(bestPosition, *best))) {
            best = id;
            bestCounts = counted;
        }
    }
    if (!best || !isDue || now - *m_suspects[*best].eligibleSince < objectionTime
        || !isolate(*best, 0, {now, now, 0})) {
        return std::nullopt;
    }
    return best;
}

bool suspect_table::isSuspect(suspect_id id, const crash_check &isCrash, steady_time now) const
{
    const auto found = m_suspects.find(id);
    if (found == m_suspects.end() || wasRecentlySound(id, now)) {
        return false;
    }
    const counts counted = count(found->second, isCrash);
    return counted.runners >= m_thresholds.suspectedRunners && counted.requests >= m_thresholds.requests;
}

void suspect_table::eraseLosses(std::uint64_t runner)
{
    eraseLossesIf([runner](const loss &loss) { return loss.runner == runner; });
}

std::vector<suspect_table::suspect_id> suspect_table::expire(steady_time now)
{
    std::vector<suspect_id> ended;
    for (auto &[id, suspect] : m_suspects) {
        if (suspect.isolated && now - suspect.isolated->lastRefusal > m_thresholds.isolationLifetime) {
            suspect.isolated.reset();
            ended.push_back(id);
        }
    }
    eraseLossesIf([now](const loss &loss) { return now - loss.at > lossLifetime; });
    return ended;
}

suspect_table::isolation *suspect_table::findIsolation(suspect_id id)
{
    const auto found = m_suspects.find(id);
    return found == m_suspects.end() || !found->second.isolated ? nullptr : &*found->second.isolated;
}

const suspect_table::isolation *suspect_table::findIsolation(suspect_id id) const
{
    const suspect *found = find(id);
    return found == nullptr || !found->isolated ? nullptr : &*found->isolated;
}

const suspect_table::suspect *suspect_table::find(suspect_id id) const
{
    const auto found = m_suspects.find(id);
    return found == m_suspects.end() ? nullptr : &found->second;
}

const std::unordered_map<suspect_table::suspect_id, suspect_table::suspect> &suspect_table::suspects() const
{
    return m_suspects;
}

std::size_t suspect_table::isolatedCount() const
{
    return static_cast<std::size_t>(
        std::count_if(m_suspects.begin(), m_suspects.end(), [](const auto &each) { return each.second.isolated; }));
}

} // namespace crocuslane
