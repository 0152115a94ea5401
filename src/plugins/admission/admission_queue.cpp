#include "plugins/admission/admission_queue.h"

#include <algorithm>
#include <cmath>

namespace crocuslane {

namespace {

// Share of the starts that each lower priority gets while a more urgent one waits as well.
constexpr double guaranteedShare = 0.05;
// A burst of some seconds changes the learned weights little.
constexpr std::chrono::minutes usualRateTimeConstant{5};
// Bounds of a weight relative to the mean: an organisation without a history gets starts, and one that was seen alone
// does not displace the others.
constexpr double lowestWeight = 0.25;
constexpr double highestWeight = 8.0;

} // namespace

void admission_queue::push(const waiting_request &waiting)
{
    remove(waiting.request);
    priority_queue &priority = m_priorities[waiting.priority];
    organisation_queue &queue = priority.organisations[waiting.organisation];
    if (queue.requests.empty()) {
        queue.virtualStart = priority.order.virtualStart(waiting.organisation);
    }
    const position at{waiting.latestUsefulStart, ++m_lastSequence};
    queue.requests.emplace(at, waiting.request);
    ++priority.size;
    m_locations.emplace(waiting.request, location{waiting.priority, waiting.organisation, at});
}

void admission_queue::remove(const request_id &request)
{
    const auto found = m_locations.find(request);
    if (found == m_locations.end()) {
        return;
    }
    priority_queue &priority = m_priorities.at(found->second.priority);
    const auto queue = priority.organisations.find(found->second.organisation);
    queue->second.requests.erase(found->second.at);
    if (queue->second.requests.empty()) {
        priority.organisations.erase(queue);
    }
    if (--priority.size == 0) {
        priority.credit = 0.0;
    }
    m_locations.erase(found);
}

bool admission_queue::contains(const request_id &request) const
{
    return m_locations.contains(request);
}

std::size_t admission_queue::size() const
{
    return m_locations.size();
}

std::size_t admission_queue::countUpTo(unsigned priority) const
{
    std::size_t count = 0;
    for (const auto &[each, queue] : m_priorities) {
        count += each <= priority ? queue.size : 0;
    }
    return count;
}

std::size_t admission_queue::count(unsigned priority) const
{
    const auto found = m_priorities.find(priority);
    return found == m_priorities.end() ? 0 : found->second.size;
}

std::size_t admission_queue::countBefore(const organisation_id &organisation, unsigned priority) const
{
    const auto found = m_priorities.find(priority);
    std::size_t count = priority == 0 ? 0 : countUpTo(priority - 1);
    if (found == m_priorities.end()) {
        return count;
    }
    const auto own = found->second.organisations.find(organisation);
    const bool waits = own != found->second.organisations.end();
    const std::size_t ownCount = waits ? own->second.requests.size() : 0;
    const double firstStart = waits ? own->second.virtualStart : found->second.order.virtualStart(organisation);
    const double start = firstStart + static_cast<double>(ownCount) / weightOf(organisation);
    count += ownCount;
    for (const auto &[other, queue] : found->second.organisations) {
        if (other != organisation && queue.virtualStart <= start) {
            const double earlier = std::floor((start - queue.virtualStart) * weightOf(other)) + 1.0;
            count += std::min(queue.requests.size(), static_cast<std::size_t>(earlier));
        }
    }
    return count;
}

std::optional<request_id> admission_queue::first(const priority_queue &queue, steady_time now)
{
    const auto chosen = std::min_element(
        queue.organisations.begin(), queue.organisations.end(), [](const auto &left, const auto &right) {
            return left.second.virtualStart < right.second.virtualStart;
        });
    if (chosen == queue.organisations.end()) {
        return std::nullopt;
    }
    const auto &requests = chosen->second.requests;
    const auto useful = requests.lower_bound({now, 0});
    return useful == requests.end() ? requests.begin()->second : useful->second;
}

std::optional<request_id> admission_queue::next(steady_time now) const
{
    for (const auto &[priority, queue] : m_priorities) {
        if (queue.size > 0 && queue.credit >= 1.0) {
            return first(queue, now);
        }
    }
    return nextMostUrgent(now);
}

std::optional<request_id> admission_queue::nextMostUrgent(steady_time now) const
{
    for (const auto &[priority, queue] : m_priorities) {
        if (queue.size > 0) {
            return first(queue, now);
        }
    }
    return std::nullopt;
}

void admission_queue::noteStart(const organisation_id &organisation, unsigned priority, steady_time now)
{
    // While requests wait, the order itself decides who starts: learning from it would let an organisation that takes
    // the capacity left over raise its weight.
    if (m_locations.empty()) {
        updateWeight(organisation, now);
    }
    priority_queue &started = m_priorities[priority];
    const double start = started.order.arrive(organisation, 1.0, weightOf(organisation));
    started.order.leave(start);
    const auto queue = started.organisations.find(organisation);
    if (queue != started.organisations.end()) {
        queue->second.virtualStart = started.order.virtualStart(organisation);
    }
    started.credit = std::max(started.credit - 1.0, 0.0);
    for (auto &[each, lower] : m_priorities) {
        if (each > priority && lower.size > 0) {
            lower.credit = std::min(lower.credit + guaranteedShare, 1.0 + guaranteedShare);
        }
    }
}

void admission_queue::updateWeight(const organisation_id &organisation, steady_time now)
{
    usual_rate &usual =
        m_usualRates.try_emplace(organisation, usual_rate{arrival_rate(usualRateTimeConstant)}).first->second;
    if (!m_allStarts) {
        m_allStarts.emplace(usualRateTimeConstant);
    }
    usual.starts.count(now);
    m_allStarts->count(now);
    const double mean = m_allStarts->perSecond(now) / static_cast<double>(m_usualRates.size());
    usual.weight = std::clamp(usual.starts.perSecond(now) / mean, lowestWeight, highestWeight);
}

double admission_queue::weightOf(const organisation_id &organisation) const
{
    const auto found = m_usualRates.find(organisation);
    return found == m_usualRates.end() ? 1.0 : found->second.weight;
}

} // namespace crocuslane
