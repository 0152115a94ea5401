#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>

namespace crocuslane {

/// Named queues, each ordered by position. An item is in at most one queue; the positions in a queue are unique.
template<typename item, typename position>
class queue_set
{
public:
    using queue = std::map<position, item>;

    /// Moves an item that is already queued.
    void insert(const item &added, const std::string &name, position at)
    {
        remove(added);
        m_queues[name].emplace(at, added);
        m_entries.emplace(added, std::pair(name, std::move(at)));
    }

    void remove(const item &removed)
    {
        const auto found = m_entries.find(removed);
        if (found == m_entries.end()) {
            return;
        }
        const auto queue = m_queues.find(found->second.first);
        queue->second.erase(found->second.second);
        if (queue->second.empty()) {
            m_queues.erase(queue);
        }
        m_entries.erase(found);
    }

    bool contains(const item &wanted) const
    {
        return m_entries.contains(wanted);
    }

    std::size_t size() const
    {
        return m_entries.size();
    }

    /// Null for an item that is not queued.
    const position *positionOf(const item &wanted) const
    {
        const auto found = m_entries.find(wanted);
        return found == m_entries.end() ? nullptr : &found->second.second;
    }

    /// The non-empty queues by name.
    const std::map<std::string, queue> &queues() const
    {
        return m_queues;
    }

private:
    std::map<std::string, queue> m_queues;
    std::unordered_map<item, std::pair<std::string, position>> m_entries;
};

} // namespace crocuslane
