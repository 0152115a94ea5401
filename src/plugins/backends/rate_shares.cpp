#include "plugins/backends/rate_shares.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace crocuslane {

namespace {

constexpr std::chrono::seconds maximumContactAge{5};
// Requests per second to a runner that takes none or nearly none, to learn when its limit ends.
constexpr double lowestRate = 0.1;
// Requests that may exceed 1.5 times the limit of a cold runner in one second.
constexpr double burstAllowance = 5.0;

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
    m_allOthers.clear();
    if (members == nullptr) {
        return;
    }
    const bool isInContact = members->hasContactWithMajority(maximumContactAge);
    for (const member_info &member : members->members()) {
        const bool isAlive = member.lastContactAge && *member.lastContactAge <= maximumContactAge && !member.isStopping;
        if (!member.isSelf) {
            m_allOthers.push_back(hashOf(member.id));
        }
        if (!member.isSelf && (isAlive || !isInContact)) {
            m_others.push_back(hashOf(member.id));
        }
    }
    m_isUnknown = m_others.empty() && !isInContact;
}

// Few VMs share a low limit: each may have a request at hand for the same moment, and these requests must not exceed
// the limit together.
//
// Where all listed VMs share a limit, VMs in contact and VMs without contact compute the same shares: if those in
// contact divided it among themselves, the parts of the others would come on top. Each of these sharers has one request
// in its bucket, and there are so few that in any second all send no more than 1.5 times the limit and 5.
rate_shares::share rate_shares::shareOf(runner_key runner, const runner_limit &limit) const
{
    const bool isForAll = limit.sharedBy == runner_limit::sharing::listed_vms;
    const std::vector<std::uint64_t> &others = isForAll ? m_allOthers : m_others;
    const double rate = std::max(limit.requestsPerSecond, lowestRate);
    const double vmCount = static_cast<double>(others.size()) + 1.0;
    double sharers = std::min(vmCount, 1.0 + std::floor(rate));
    if (isForAll) {
        sharers = std::min(sharers, burstAllowance + std::floor(rate / 2.0));
    }
    const std::uint64_t seed = runner + limit.turn;
    const std::uint64_t ownRank = rankOf(m_self, seed);
    const auto before =
        std::count_if(others.begin(), others.end(), [&](std::uint64_t other) { return rankOf(other, seed) > ownRank; });
    if (m_isUnknown || static_cast<double>(before) >= sharers) {
        return {};
    }
    return {rate / sharers, isForAll ? 1.0 : std::max(1.0, rate / sharers)};
}

} // namespace crocuslane
