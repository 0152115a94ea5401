#pragma once

#include "http/standin.h"

#include <deque>
#include <memory>
#include <string>

namespace crocuslane {

/// Stand-in for the VM list: `GET /vms` returns the list as it was before the lag, `POST /vms` replaces it, and
/// `POST /vms/state` and `POST /vms/remove` change one entry.
class vm_list_standin : public standin
{
public:
    /// @p entries is a JSON array. Throws std::invalid_argument when an entry has no id, role or address.
    vm_list_standin(const clock &clock, duration lag, const nlohmann::json &entries);
    ~vm_list_standin() override;

    void handle(const std::shared_ptr<standin_exchange> &exchange) override;
    bool setFault(const std::string &key, const nlohmann::json &value) override;
    void clearFaults() override;
    void describeFaults(nlohmann::json &faults) const override;

private:
    /// The list from a point in time on.
    struct list_snapshot;

    void handleChange(standin_exchange &exchange);
    void setEntries(const nlohmann::json &entries);
    /// The list as visible to readers after the lag; removes older snapshots.
    const list_snapshot &readableSnapshot();

    const clock &m_clock;
    duration m_initialLag;
    duration m_lag;
    bool m_isFrozen = false;
    std::deque<list_snapshot> m_history;
};

} // namespace crocuslane
