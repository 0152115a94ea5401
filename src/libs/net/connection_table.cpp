#include "net/connection_table.h"

namespace crocuslane {

namespace {

// A client that sends single bytes would otherwise keep its connection for any time.
constexpr std::size_t progressBytes = 1024;

bool waitsForClient(connection_phase phase)
{
    return phase != connection_phase::processing && phase != connection_phase::closing;
}

duration timeoutOf(connection_phase phase, const connection_timeouts &timeouts)
{
    switch (phase) {
    case connection_phase::idle:
        return timeouts.idle;
    case connection_phase::reading_head:
        return timeouts.head;
    case connection_phase::reading_body:
    case connection_phase::sending:
        return timeouts.transfer;
    case connection_phase::processing:
    case connection_phase::closing:
        break;
    }
    return duration::zero();
}

} // namespace

void connection_table::open(int socket, steady_time now)
{
    close(socket);
    m_entries[socket] = {connection_phase::idle, now, 0};
}

void connection_table::close(int socket)
{
    const auto found = m_entries.find(socket);
    if (found == m_entries.end()) {
        return;
    }
    m_closingCount -= found->second.phase == connection_phase::closing ? 1 : 0;
    m_entries.erase(found);
}

void connection_table::setPhase(int socket, connection_phase phase, steady_time now)
{
    const auto found = m_entries.find(socket);
    if (found == m_entries.end() || found->second.phase == connection_phase::closing) {
        return;
    }
    m_closingCount += phase == connection_phase::closing ? 1 : 0;
    found->second = {phase, now, 0};
}

void connection_table::addBytes(int socket, std::size_t bytes, steady_time now)
{
    const auto found = m_entries.find(socket);
    if (found == m_entries.end()) {
        return;
    }
    entry &current = found->second;
    current.uncountedBytes += bytes;
    if (current.uncountedBytes >= progressBytes) {
        current.uncountedBytes = 0;
        current.lastProgress = now;
    }
}

std::size_t connection_table::openCount() const
{
    return m_entries.size() - m_closingCount;
}

std::optional<int> connection_table::longestWithoutProgress() const
{
    std::optional<int> longest;
    steady_time earliest = steady_time::max();
    for (const auto &[socket, entry] : m_entries) {
        if (waitsForClient(entry.phase) && entry.lastProgress < earliest) {
            earliest = entry.lastProgress;
            longest = socket;
        }
    }
    return longest;
}

std::optional<int> connection_table::stalledBody(steady_time before) const
{
    std::optional<int> longest;
    steady_time earliest = before;
    for (const auto &[socket, entry] : m_entries) {
        if (entry.phase == connection_phase::reading_body && entry.lastProgress < earliest) {
            earliest = entry.lastProgress;
            longest = socket;
        }
    }
    return longest;
}

std::vector<int> connection_table::expired(const connection_timeouts &timeouts, steady_time now) const
{
    std::vector<int> sockets;
    for (const auto &[socket, entry] : m_entries) {
        const duration timeout = timeoutOf(entry.phase, timeouts);
        if (timeout > duration::zero() && now - entry.lastProgress >= timeout) {
            sockets.push_back(socket);
        }
    }
    return sockets;
}

} // namespace crocuslane
