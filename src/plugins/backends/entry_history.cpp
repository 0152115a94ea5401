#include "plugins/backends/entry_history.h"

#include <algorithm>
#include <tuple>

namespace crocuslane {

namespace {

bool isSameProcess(const backend_entry &left, const backend_entry &right)
{
    return left.startedUnixMilliseconds == right.startedUnixMilliseconds;
}

// The sequence grows with each report and says nothing by itself.
auto contentOf(const backend_entry &entry)
{
    return std::tie(entry.service,
                    entry.address,
                    entry.availabilityZone,
                    entry.version,
                    entry.slots,
                    entry.condition,
                    entry.startedUnixMilliseconds);
}

// A start time of 0 is not known.
bool isEarlierProcess(const backend_entry &known, const backend_entry &listed)
{
    return listed.startedUnixMilliseconds > 0 && listed.startedUnixMilliseconds < known.startedUnixMilliseconds;
}

// A process that leaves does not become ready again: the entry was written before it reported that.
bool isFromBeforeLeaving(const backend_entry &known, const backend_entry &listed)
{
    return isSameProcess(known, listed) && known.condition == backend_condition::leaving
        && listed.condition == backend_condition::ready && listed.sequence <= known.sequence;
}

} // namespace

entry_history::entry_history(log_epoch epoch)
    : m_epoch(epoch)
{
}

entry_history::age entry_history::compare(const backend_entry &known, const backend_entry &listed, log_epoch epoch)
{
    const bool isOlder = isEarlierProcess(known, listed) || isFromBeforeLeaving(known, listed);
    return ageOf(isOlder, known, listed, epoch);
}

entry_history::age entry_history::compareWithGone(const backend_entry &known,
                                                  const backend_entry &listed,
                                                  log_epoch epoch,
                                                  bool isFirstOfEpoch)
{
    const bool isUnchanged = isSameProcess(known, listed) && listed.condition == backend_condition::ready
        && (isFirstOfEpoch || hasStaleCopy(epoch) || listed.sequence <= known.sequence);
    return ageOf(isEarlierProcess(known, listed) || isUnchanged, known, listed, epoch);
}

entry_history::age
entry_history::ageOf(bool isOlder, const backend_entry &known, const backend_entry &listed, log_epoch epoch)
{
    if (epoch == m_epoch || !isOlder || hasReportedSince(known, listed, epoch)) {
        return age::newer;
    }
    if (hasStaleCopy(epoch)) {
        return age::stale;
    }
    m_staleCopy = {listed, epoch};
    return age::first_stale;
}

bool entry_history::hasStaleCopy(log_epoch epoch) const
{
    return m_staleCopy && m_staleCopy->epoch == epoch;
}

bool entry_history::hasReportedSince(const backend_entry &known, const backend_entry &listed, log_epoch epoch) const
{
    if (!hasStaleCopy(epoch)) {
        return false;
    }
    const backend_entry &copy = m_staleCopy->entry;
    const std::uint64_t newest = isSameProcess(known, copy) ? std::max(known.sequence, copy.sequence) : copy.sequence;
    return listed.sequence > newest || contentOf(listed) != contentOf(copy);
}

void entry_history::replaced(log_epoch epoch)
{
    m_epoch = epoch;
    m_staleCopy.reset();
}

} // namespace crocuslane
