#pragma once

#include "base/clock.h"

#include <array>
#include <map>
#include <string>

namespace crocuslane {

/// Remembers how long the latest answered requests of each route took.
class route_durations
{
public:
    void record(const std::string &route, duration time);
    /// Longest of the remembered times; zero when there is none.
    duration longest(const std::string &route) const;

private:
    static constexpr std::size_t rememberedRequests = 64;

    struct latest_times {
        std::array<duration, rememberedRequests> times{};
        std::size_t next = 0;
    };

    std::map<std::string, latest_times> m_routes;
};

} // namespace crocuslane
