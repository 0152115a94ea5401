#pragma once

#include "base/clock.h"
#include "base/text_id.h"
#include "plugins/admission/arrival_rate.h"
#include "plugins/admission/fair_order.h"

#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>

namespace crocuslane {

/// A request that waits for capacity of its service.
struct waiting_request {
    request_id request;
    /// Empty for a request without an organisation.
    organisation_id organisation;
    /// 0 is the most urgent.
    unsigned priority = 0;
    /// Latest start with which the answer still meets the latency objective.
    steady_time latestUsefulStart;
};

/// Order in which the requests that wait for one service start.
///
/// The most urgent priority goes first, but each lower one gets a small share of the starts. Within a priority,
/// organisations share the starts by weights: the usual rate of starts of each, learned over minutes in which no
/// request waits. Within an organisation, requests that can still meet their latency objective go before those that
/// can't.
class admission_queue
{
public:
    void push(const waiting_request &waiting);
    void remove(const request_id &request);
    bool contains(const request_id &request) const;
    std::size_t size() const;
    /// Number of waiting requests of @p priority or more urgent.
    std::size_t countUpTo(unsigned priority) const;
    /// Number of waiting requests of @p priority.
    std::size_t count(unsigned priority) const;
    /// Number of waiting requests that would start before a new one of @p organisation.
    std::size_t countBefore(const organisation_id &organisation, unsigned priority) const;
    /// The request that starts next; empty when none waits.
    std::optional<request_id> next(steady_time now) const;
    /// Like next(), but of the most urgent priority that waits.
    std::optional<request_id> nextMostUrgent(steady_time now) const;
    /// Counts the start of a request, whether or not it has waited.
    void noteStart(const organisation_id &organisation, unsigned priority, steady_time now);

private:
    /// Ordered by latest useful start, then by arrival.
    using position = std::pair<steady_time, std::uint64_t>;

    struct organisation_queue {
        double virtualStart = 0.0;
        std::map<position, request_id> requests;
    };

    struct priority_queue {
        basic_fair_order<organisation_id> order;
        std::map<organisation_id, organisation_queue> organisations;
        std::size_t size = 0;
        /// Part of a start that the guaranteed share has added up to.
        double credit = 0.0;
    };

    struct location {
        unsigned priority = 0;
        organisation_id organisation;
        position at;
    };

    struct usual_rate {
        arrival_rate starts;
        double weight = 1.0;
    };

    static std::optional<request_id> first(const priority_queue &queue, steady_time now);
    void updateWeight(const organisation_id &organisation, steady_time now);
    double weightOf(const organisation_id &organisation) const;

    std::uint64_t m_lastSequence = 0;
    std::map<unsigned, priority_queue> m_priorities;
    std::unordered_map<request_id, location> m_locations;
    std::unordered_map<organisation_id, usual_rate> m_usualRates;
    std::optional<arrival_rate> m_allStarts;
};

} // namespace crocuslane
