#pragma once

#include "http/standin.h"

#include <deque>
#include <memory>
#include <string>

namespace crocuslane {

/// VM list: `GET /vms` gives the list as it was a lag ago; `POST /vms` sets it, `POST /vms/state` and `POST
/// /vms/remove` change one entry.
class vm_list_standin : public standin
{
public:
    /// @p entries is a JSON list; throws std::invalid_argument when an entry has no id.
    vm_list_standin(const clock &clock, duration lag, const nlohmann::json &entries);
    ~vm_list_standin() override;

    void handle(const std::shared_ptr<standin_exchange> &exchange) override;
    bool setFault(const std::string &key, const nlohmann::json &value) override;
    void clearFaults() override;
    void describeFaults(nlohmann::json &faults) const override;

private:
    struct list_state;

    void change(standin_exchange &exchange);
    void set(const nlohmann::json &entries);
    const list_state &readable();

    const clock &m_clock;
    duration m_usualLag;
    duration m_lag;
    bool m_isFrozen = false;
    std::deque<list_state> m_history;
};

} // namespace crocuslane
