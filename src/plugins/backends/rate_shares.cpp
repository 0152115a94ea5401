#include "plugins/backends/rate_shares.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace crocuslane {

namespace {

constexpr std::chrono::seconds maximumContactAge{5};
// Requests per second to a runner that takes none or nearly none, to learn when its limit ends.
constexpr double lowestRate = 0.1;

std::uint64_t hashOf(const vm_id &vm)
{
    return XXH3_64bits(vm.value().data(), vm.value().size());
}

std::uint64_t rankOf(std::uint64_t vm, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(&vm, sizeof vm, seed);
}

} // namespace

rate_shares::rate_shares(const vm_id &self)
    : m_self(hashOf(self))
{
}

// A VM that has lost contact counts all others as alive: they share the limits without it, and it must not take over
// theirs.
void rate_shares::setMembers(const member_view *members)
{
    m_others.clear();
    if (members == nullptr) {
        return;
    }
    const bool isInContact = members->hasContactWithMajority(maximumContactAge);
    for (const member_info &member : members->members()) {
        const bool isAlive = member.lastContactAge && *member.lastContactAge <= maximumContactAge && !member.isStopping;
        if (!member.isSelf && (isAlive || !isInContact)) {
            m_others.push_back(hashOf(member.id));
        }
    }
    m_isUnknown = m_others.empty() && !isInContact;
}

// Few VMs share a low limit: each may have a request at hand for the same moment, and these requests must not exceed
// the limit together.
rate_shares::share rate_shares::shareOf(runner_key runner, double requestsPerSecond, std::uint64_t turn) const
{
    const double rate = std::max(requestsPerSecond, lowestRate);
    const double vmCount = static_cast<double>(m_others.size()) + 1.0;
    const double sharers = std::min(vmCount, 1.0 + std::floor(rate));
    const std::uint64_t seed = runner + turn;
    const std::uint64_t ownRank = rankOf(m_self, seed);
    const auto before = std::count_if(
        m_others.begin(), m_others.end(), [&](std::uint64_t other) { return rankOf(other, seed) > ownRank; });
    if (m_isUnknown || static_cast<double>(before) >= sharers) {
        return {};
    }
    return {rate / sharers, std::max(1.0, rate / sharers)};
}

} // namespace crocuslane
