#include "plugins/backends/zone_evacuations.h"

#include <fmt/format.h>

#include <algorithm>

namespace crocuslane {

namespace {

// After the platform's log was restored from an older copy, operators write the orders that the copy lacks again within
// this time.
constexpr std::chrono::seconds rewriteTime{10};

} // namespace

void zone_evacuations::apply(const zone_evacuations_read &read, steady_time now, action_list &log)
{
    const bool isRestored = read.epoch > m_epoch;
    m_epoch = std::max(m_epoch, read.epoch);
    for (const std::string &zone : read.zones) {
        evacuate(zone, now, log);
    }
    for (auto &[zone, evacuation] : m_evacuated) {
        if (read.zones.contains(zone)) {
            continue;
        }
        if (isRestored) {
            evacuation.keptUntil = now + rewriteTime;
        } else if (!evacuation.keptUntil) {
            evacuation.keptUntil = now;
        }
    }
    expire(now, log);
}

void zone_evacuations::expire(steady_time now, action_list &log)
{
    std::erase_if(m_evacuated, [&](const auto &each) {
        const auto &[zone, evacuation] = each;
        const bool hasEnded = evacuation.keptUntil && *evacuation.keptUntil <= now;
        if (hasEnded) {
            recordReturn(zone, evacuation, now, log);
        }
        return hasEnded;
    });
}

steady_time zone_evacuations::nextExpiry() const
{
    steady_time next = steady_time::max();
    for (const auto &[zone, evacuation] : m_evacuated) {
        next = std::min(next, evacuation.keptUntil.value_or(steady_time::max()));
    }
    return next;
}

void zone_evacuations::evacuate(const std::string &zone, steady_time now, action_list &log)
{
    const auto [found, isNew] = m_evacuated.try_emplace(zone, evacuation{now, std::nullopt});
    found->second.keptUntil.reset();
    if (isNew) {
        m_returned.erase(zone);
        log.push_back(log_decision{"zone_evacuated", {}, {{"zone", zone}, {"epoch", std::to_string(m_epoch)}}});
    }
}

void zone_evacuations::recordReturn(const std::string &zone, const evacuation &ended, steady_time now, action_list &log)
{
    m_returned[zone] = now;
    log.push_back(log_decision{
        "zone_returned", {}, {{"zone", zone}, {"evacuated_s", fmt::format("{:.1f}", toSeconds(now - ended.since))}}});
}

bool zone_evacuations::isEvacuated(const std::string &zone) const
{
    return m_evacuated.contains(zone);
}

std::optional<steady_time> zone_evacuations::evacuatedSince(const std::string &zone) const
{
    const auto found = m_evacuated.find(zone);
    return found == m_evacuated.end() ? std::nullopt : std::optional(found->second.since);
}

std::optional<steady_time> zone_evacuations::returnedAt(const std::string &zone) const
{
    const auto found = m_returned.find(zone);
    return found == m_returned.end() ? std::nullopt : std::optional(found->second);
}

std::string zone_evacuations::names() const
{
    std::string text;
    for (const auto &[zone, evacuation] : m_evacuated) {
        text += (text.empty() ? "" : ",") + zone;
    }
    return text;
}

std::size_t zone_evacuations::size() const
{
    return m_evacuated.size();
}

} // namespace crocuslane
