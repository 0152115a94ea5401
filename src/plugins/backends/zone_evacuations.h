#pragma once

#include "kernel/action.h"
#include "kernel/event.h"

#include <map>
#include <optional>
#include <string>

namespace crocuslane {

/// The availability zones to which operators have ordered that no request be sent, and the zones whose order was
/// withdrawn.
class zone_evacuations
{
public:
    /// Applies the complete set of orders and adds to @p log an entry for each zone that was evacuated or returned. An
    /// order that is missing from the first read of a newer epoch of the platform's log stays in force for 10 s, unless
    /// it is read and withdrawn in that epoch before.
    void apply(const zone_evacuations_read &read, steady_time now, action_list &log);
    /// Ends the orders that were kept after the log was restored and that nobody has written again.
    void expire(steady_time now, action_list &log);
    steady_time nextExpiry() const;

    bool isEvacuated(const std::string &zone) const;
    /// Empty when the zone is not evacuated.
    std::optional<steady_time> evacuatedSince(const std::string &zone) const;
    /// When the zone's last evacuation ended; empty when the zone is evacuated or never was.
    std::optional<steady_time> returnedAt(const std::string &zone) const;
    /// The evacuated zones, separated by commas.
    std::string names() const;
    /// Number of evacuated zones.
    std::size_t size() const;

private:
    struct evacuation {
        steady_time since;
        /// Set when the order is missing from a log that was restored from a copy.
        std::optional<steady_time> keptUntil;
    };
    void evacuate(const std::string &zone, steady_time now, action_list &log);
    void recordReturn(const std::string &zone, const evacuation &ended, steady_time now, action_list &log);

    std::map<std::string, evacuation> m_evacuated;
    std::map<std::string, steady_time> m_returned;
    /// Of the newest read.
    log_epoch m_epoch = 0;
};

} // namespace crocuslane
