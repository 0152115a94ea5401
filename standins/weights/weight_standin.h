#pragma once

#include "http/standin.h"

#include <list>
#include <memory>

namespace crocuslane {

struct weight_standin_settings {
    /// Size of each version.
    std::uint64_t versionBytes = 64U << 20U;
    /// Rate of all transfers together.
    std::uint64_t bytesPerSecond = 64U << 20U;
    /// Maximum number of concurrent transfers.
    std::uint32_t maximumTransfers = 4;
};

/// Stand-in for the weight store: `GET /weights/VERSION` at a limited rate. Above the maximum number of transfers,
/// requests are answered with status 429.
class weight_standin : public standin, public timed_source
{
public:
    weight_standin(const clock &clock, const weight_standin_settings &settings);

    void handle(const std::shared_ptr<standin_exchange> &exchange) override;
    bool setFault(const std::string &key, const nlohmann::json &value) override;
    void clearFaults() override;
    void describeFaults(nlohmann::json &faults) const override;

    steady_time nextTime() const override;
    void advance(steady_time now) override;

private:
    struct transfer {
        std::shared_ptr<standin_exchange> exchange;
        std::uint64_t remaining = 0;
    };

    const clock &m_clock;
    weight_standin_settings m_initialSettings;
    weight_standin_settings m_settings;
    std::list<transfer> m_transfers;
    steady_time m_nextWriteTime = steady_time::max();
};

} // namespace crocuslane
