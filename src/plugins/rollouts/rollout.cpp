#include "plugins/rollouts/rollout.h"

#include <xxhash.h>

#include <algorithm>
#include <tuple>

namespace crocuslane {

namespace {

// Fractions of the order's time limit. Sessions may not change their version in the first half of the time.
constexpr double cutoverFraction = 0.55;
constexpr double latestCompletionFraction = 0.9;
constexpr double sessionCanaryFraction = 0.505;
constexpr double lateCanaryFraction = 0.65;
constexpr double lateCutoverFraction = 0.7;
constexpr double latestCutoverFraction = 0.8;
constexpr double canarySessionShare = 0.12;
constexpr double lateCanarySessionShare = 0.25;
// A version that turns bad under load shows it at this share of the requests before all of them depend on it.
constexpr double partialCutoverShare = 0.25;
constexpr std::chrono::milliseconds partialCutover{1500};
// Fractions of the exposure limit that the canary phase uses; the rest covers the time from the cutover to a rollback.
constexpr double canaryFractionOfShare = 0.4;
constexpr double canaryFractionOfAllowance = 0.4;
// Answers of the new version without which there is no cutover, and as many again before the completion.
constexpr std::uint64_t minimumAnswers = 12;
constexpr std::uint64_t minimumAnswersWhenLate = 5;
// By this time after the cutover, every VM with a connection to the platform has read its record.
constexpr std::chrono::milliseconds minimumCutover{2000};
constexpr std::uint64_t jitterMilliseconds = 400;
constexpr std::chrono::milliseconds retryDelay{250};

bool isFinalPhase(rollout_phase phase)
{
    return phase == rollout_phase::completed || phase == rollout_phase::rolled_back;
}

} // namespace

rollout::rollout(rollout_order order, const rollout_settings &settings, random_source &random, steady_time now)
    : m_order(std::move(order))
    , m_settings(settings)
    , m_random(random)
    , m_orderReadAt(now)
    , m_nextRecordAt(now)
    , m_phaseJitter(std::chrono::milliseconds(random.below(jitterMilliseconds)))
    , m_unrecordedSince(now)
{
}

const rollout_order &rollout::order() const
{
    return m_order;
}

bool rollout::isSameOrder(const rollout_order &left, const rollout_order &right)
{
    return std::tie(left.service, left.target, left.limit) == std::tie(right.service, right.target, right.limit);
}

void rollout::continueAt(const rollout_order &order, steady_time now)
{
    m_order = order;
    m_recorded.reset();
    m_unrecordedSince = now;
}

rollout_phase rollout::phase() const
{
    return m_phase;
}

bool rollout::isFinal() const
{
    return isFinalPhase(m_phase);
}

bool rollout::isRecorded() const
{
    return m_recorded && (*m_recorded >= m_phase || isFinalPhase(*m_recorded));
}

void rollout::applyRecord(rollout_phase phase, steady_time now)
{
    m_recorded = phase;
    if (isFinal() || phase == rollout_phase::canary) {
        return;
    }
    if (phase == rollout_phase::cutover && m_phase == rollout_phase::canary) {
        // A VM that has just started reads a record that is older than its own view of the order.
        const bool isEarlier = now < timeAt(sessionCanaryFraction);
        m_cutoverAt = isEarlier ? now - partialCutover : now;
        m_cutoverReadAt = now;
        m_answersBeforeCutover = m_comparison.newAnswers();
        m_comparison.beginCutover();
    }
    m_phase = phase;
}

bool rollout::mayUseCanary(std::size_t vmCount) const
{
    const double share = canaryFractionOfShare * m_settings.exposureShare * static_cast<double>(m_requests);
    const double allowance = canaryFractionOfAllowance * m_settings.exposureAllowance
        / static_cast<double>(std::max<std::size_t>(vmCount, 1));
    return static_cast<double>(m_canaryRequests) + 1.0 <= share + allowance;
}

version_rule rollout::onlyNew() const
{
    return {version_rule::mode::only, m_order.target, m_phase != rollout_phase::completed};
}

version_rule rollout::onlyOld() const
{
    return {version_rule::mode::except, m_order.target, false};
}

version_rule rollout::choose(const std::string &session, std::size_t vmCount, steady_time now)
{
    const bool isCanary = m_phase == rollout_phase::canary && !m_hasRegressed;
    if (isCanary && session.empty()) {
        return mayUseCanary(vmCount) ? onlyNew() : onlyOld();
    }
    return rule(session, now);
}

version_rule rollout::rule(const std::string &session, steady_time now) const
{
    if (m_phase == rollout_phase::completed) {
        return onlyNew();
    }
    if (m_phase == rollout_phase::rolled_back || m_hasRegressed) {
        return onlyOld();
    }
    return usesNewVersion(session, now) ? onlyNew() : onlyOld();
}

double rollout::sessionShare(steady_time now) const
{
    if (m_phase == rollout_phase::cutover) {
        return now < m_cutoverAt + partialCutover ? partialCutoverShare : 1.0;
    }
    // A session may not change from the old version to the new one in the first half of the time.
    if (now < timeAt(sessionCanaryFraction)) {
        return 0.0;
    }
    return now < timeAt(lateCanaryFraction) ? canarySessionShare : lateCanarySessionShare;
}

// All VMs have to send a session to the same version, without communication. The position of the order is no seed:
// after a restore of the log it differs between the VMs.
bool rollout::usesNewVersion(const std::string &session, steady_time now) const
{
    const double share = sessionShare(now);
    if (session.empty()) {
        return m_phase == rollout_phase::cutover && m_random.unit() < share;
    }
    constexpr double hashRange = 18446744073709551616.0;
    const std::uint64_t seed = XXH3_64bits(m_order.target.data(), m_order.target.size());
    const std::uint64_t hash = XXH3_64bits_withSeed(session.data(), session.size(), seed);
    return static_cast<double>(hash) / hashRange < share;
}

void rollout::attemptStarted(const std::string &version, bool isFirst)
{
    m_requests += isFirst ? 1 : 0;
    m_canaryRequests += version == m_order.target ? 1 : 0;
}

void rollout::observe(const version_observation &observation)
{
    if (isFinal()) {
        return;
    }
    const bool isNew = observation.version == m_order.target;
    m_comparison.add(observation, isNew);
    m_newObservations += isNew ? 1 : 0;
    m_hasRegressed = m_hasRegressed || m_comparison.hasRegressed();
}

void rollout::addEvidence(const version_evidence &evidence)
{
    if (isFinal()) {
        return;
    }
    m_comparison.setEvidence(evidence);
    m_hasRegressed = m_hasRegressed || m_comparison.hasRegressed();
}

std::vector<version_evidence::route_counts> rollout::ownCounts() const
{
    return m_comparison.ownCounts();
}

std::uint64_t rollout::newObservations() const
{
    return m_newObservations;
}

std::optional<rollout_phase> rollout::phaseToRecord(steady_time now, bool isOldVersionIdle) const
{
    if (now < m_nextRecordAt) {
        return std::nullopt;
    }
    if (const auto next = nextPhase(now, isOldVersionIdle)) {
        return next;
    }
    const bool isDue = now >= m_unrecordedSince + m_phaseJitter;
    return isDue && !isRecorded() ? std::optional(m_phase) : std::nullopt;
}

std::optional<rollout_phase> rollout::nextPhase(steady_time now, bool isOldVersionIdle) const
{
    if (isFinal()) {
        return std::nullopt;
    }
    if (m_hasRegressed) {
        return rollout_phase::rolled_back;
    }
    return m_phase == rollout_phase::canary ? phaseAfterCanary(now) : phaseAfterCutover(now, isOldVersionIdle);
}

std::optional<rollout_phase> rollout::phaseAfterCanary(steady_time now) const
{
    const std::uint64_t needed = now >= timeAt(lateCutoverFraction) ? minimumAnswersWhenLate : minimumAnswers;
    if (now >= timeAt(cutoverFraction) + m_phaseJitter && m_comparison.newAnswers() >= needed) {
        return rollout_phase::cutover;
    }
    // A version of which nothing is known is not better than a bad one.
    if (now >= timeAt(latestCutoverFraction) + m_phaseJitter) {
        return rollout_phase::rolled_back;
    }
    return std::nullopt;
}

std::optional<rollout_phase> rollout::phaseAfterCutover(steady_time now, bool isOldVersionIdle) const
{
    const std::uint64_t answers = m_comparison.newAnswers();
    const std::uint64_t added = answers - std::min(answers, m_answersBeforeCutover);
    const steady_time earliest = m_cutoverReadAt + minimumCutover;
    if (isOldVersionIdle && added >= minimumAnswers && now >= earliest + m_phaseJitter) {
        return rollout_phase::completed;
    }
    if (now < std::max<steady_time>(timeAt(latestCompletionFraction), earliest) + m_phaseJitter) {
        return std::nullopt;
    }
    return added >= minimumAnswersWhenLate ? rollout_phase::completed : rollout_phase::rolled_back;
}

std::string rollout::describeEvidence() const
{
    return m_comparison.describe();
}

steady_time rollout::timeAt(double fraction) const
{
    return m_orderReadAt + fromSeconds(fraction * toSeconds(m_order.limit));
}

steady_time rollout::nextRecordTime() const
{
    return isFinal() && isRecorded() ? steady_time::max() : m_nextRecordAt;
}

void rollout::postpone(steady_time now)
{
    m_nextRecordAt = now + retryDelay + std::chrono::milliseconds(m_random.below(jitterMilliseconds));
}

} // namespace crocuslane
