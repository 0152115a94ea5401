#include "plugins/rollouts/rollout.h"

#include <algorithm>

namespace crocuslane {

namespace {

// Parts of the time that the order leaves. Sessions move at the cutover, which is after half of it.
constexpr double cutoverPart = 0.55;
constexpr double latestCompletionPart = 0.9;
// Part of the exposure limit that the canary uses; the rest covers the time from the cutover to a roll-back.
constexpr double canaryPartOfShare = 0.4;
constexpr double canaryPartOfAllowance = 0.4;
// Every VM in touch with the platform has read the cutover by then.
constexpr std::chrono::milliseconds shortestCutover{2000};
constexpr std::uint64_t phaseDelayMilliseconds = 400;
constexpr std::chrono::milliseconds retryDelay{250};

} // namespace

rollout::rollout(rollout_order order, const rollout_settings &settings, random_source &random, steady_time now)
    : m_order(std::move(order))
    , m_settings(settings)
    , m_random(random)
    , m_seenAt(now)
    , m_notBefore(now)
    , m_phaseDelay(std::chrono::milliseconds(random.below(phaseDelayMilliseconds)))
{
}

const rollout_order &rollout::order() const
{
    return m_order;
}

rollout_phase rollout::phase() const
{
    return m_phase;
}

bool rollout::isFinal() const
{
    return m_phase == rollout_phase::completed || m_phase == rollout_phase::rolled_back;
}

void rollout::applyRecord(rollout_phase phase, steady_time now)
{
    m_isRecorded = true;
    if (isFinal() || phase == rollout_phase::canary) {
        return;
    }
    if (phase == rollout_phase::cutover && m_phase == rollout_phase::canary) {
        m_cutoverAt = now;
    }
    m_phase = phase;
}

bool rollout::mayExpose(std::size_t vms) const
{
    const double share = canaryPartOfShare * m_settings.exposureShare * static_cast<double>(m_requests);
    const double allowance =
        canaryPartOfAllowance * m_settings.exposureAllowance / static_cast<double>(std::max<std::size_t>(vms, 1));
    return static_cast<double>(m_exposed) + 1.0 <= share + allowance;
}

version_rule rollout::choose(const std::string &session, std::size_t vms, steady_time now)
{
    ++m_requests;
    if (m_phase != rollout_phase::canary || m_isBad) {
        return rule();
    }
    // A session that ran on the old version may not move in the first half, and one that moved may not move back;
    // sessions stay on the old version until the cutover.
    const bool isCandidate = session.empty() && mayExpose(vms);
    if (!isCandidate || now < m_seenAt) {
        return rule();
    }
    ++m_exposed;
    return {version_rule::mode::only, m_order.target};
}

version_rule rollout::rule() const
{
    if (m_isBad && m_phase != rollout_phase::completed) {
        return {version_rule::mode::except, m_order.target};
    }
    switch (m_phase) {
    case rollout_phase::cutover:
    case rollout_phase::completed:
        return {version_rule::mode::only, m_order.target};
    case rollout_phase::canary:
    case rollout_phase::rolled_back:
        break;
    }
    return {version_rule::mode::except, m_order.target};
}

void rollout::observe(const version_observation &observation)
{
    if (isFinal()) {
        return;
    }
    m_evidence.add(observation, observation.version == m_order.target);
    m_isBad = m_isBad || m_evidence.isBad();
}

std::optional<rollout_phase> rollout::wanted(steady_time now, bool isOldVersionIdle) const
{
    if (isFinal() || now < m_notBefore) {
        return std::nullopt;
    }
    if (m_isBad) {
        return rollout_phase::rolled_back;
    }
    if (m_phase == rollout_phase::canary) {
        if (now >= m_seenAt + fromSeconds(cutoverPart * toSeconds(m_order.limit)) + m_phaseDelay) {
            return rollout_phase::cutover;
        }
        if (!m_isRecorded && now >= m_seenAt + m_phaseDelay) {
            return rollout_phase::canary;
        }
        return std::nullopt;
    }
    const bool isDrained = isOldVersionIdle && now >= m_cutoverAt + shortestCutover + m_phaseDelay;
    const steady_time latest = m_seenAt + fromSeconds(latestCompletionPart * toSeconds(m_order.limit));
    if (isDrained || now >= std::max<steady_time>(latest, m_cutoverAt + shortestCutover) + m_phaseDelay) {
        return rollout_phase::completed;
    }
    return std::nullopt;
}

steady_time rollout::nextChange() const
{
    if (isFinal()) {
        return steady_time::max();
    }
    return m_notBefore;
}

void rollout::postpone(steady_time now)
{
    m_notBefore = now + retryDelay + std::chrono::milliseconds(m_random.below(phaseDelayMilliseconds));
}

} // namespace crocuslane
