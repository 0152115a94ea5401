#include "vms/vm_list_standin.h"

#include <nlohmann/json.hpp>

#include <stdexcept>

namespace crocuslane {

using nlohmann::json;

struct vm_list_standin::list_snapshot {
    steady_time since;
    json entries;
};

vm_list_standin::vm_list_standin(const clock &clock, duration lag, const json &entries)
    : m_clock(clock)
    , m_initialLag(lag)
    , m_lag(lag)
{
    setEntries(entries);
    // The initial list is readable at once.
    m_history.back().since = steady_time{};
}

vm_list_standin::~vm_list_standin() = default;

void vm_list_standin::handle(const std::shared_ptr<standin_exchange> &exchange)
{
    const standin_request &request = exchange->request();
    if (!request.path.starts_with("/vms")) {
        answerError(*exchange, 404, "not_found", "expected /vms, /vms/state or /vms/remove");
        return;
    }
    if (request.method == "POST") {
        handleChange(*exchange);
        return;
    }
    exchange->answer(200, json{{"vms", readableSnapshot().entries}}.dump() + "\n");
}

void vm_list_standin::handleChange(standin_exchange &exchange)
{
    const std::string &path = exchange.request().path;
    try {
        const json body = json::parse(exchange.request().body);
        json entries = m_history.back().entries;
        if (path == "/vms") {
            entries = body.at("vms");
        } else {
            const auto found = std::find_if(entries.begin(), entries.end(), [&](const json &candidate) {
                return candidate.at("id") == body.at("id");
            });
            if (found == entries.end()) {
                answerError(exchange, 404, "not_found", "no VM has this id");
                return;
            }
            if (path == "/vms/remove") {
                entries.erase(found);
            } else {
                (*found)["state"] = body.at("state").get<std::string>();
            }
        }
        setEntries(entries);
    } catch (const std::exception &error) {
        answerError(exchange, 400, "bad_request", error.what());
        return;
    }
    exchange.answer(200, json{{"vms", m_history.back().entries.size()}}.dump() + "\n");
}

void vm_list_standin::setEntries(const json &entries)
{
    if (!entries.is_array()) {
        throw std::invalid_argument("expected a list of VMs");
    }
    for (const json &entry : entries) {
        if (!entry.is_object() || !entry.contains("id") || !entry.contains("role") || !entry.contains("address")) {
            throw std::invalid_argument("a VM needs at least id, role and address: " + entry.dump());
        }
    }
    m_history.push_back({m_clock.steadyNow(), entries});
}

const vm_list_standin::list_snapshot &vm_list_standin::readableSnapshot()
{
    if (!m_isFrozen) {
        const steady_time readableTime = m_clock.steadyNow() - m_lag;
        while (m_history.size() > 1 && m_history[1].since <= readableTime) {
            m_history.pop_front();
        }
    }
    return m_history.front();
}

bool vm_list_standin::setFault(const std::string &key, const json &value)
{
    if (key == "lag_ms") {
        readableSnapshot();
        m_lag = std::chrono::milliseconds(value.get<std::uint32_t>());
    } else if (key == "frozen") {
        readableSnapshot();
        m_isFrozen = value.get<bool>();
    } else {
        return false;
    }
    return true;
}

void vm_list_standin::clearFaults()
{
    m_lag = m_initialLag;
    m_isFrozen = false;
}

void vm_list_standin::describeFaults(json &faults) const
{
    faults["lag_ms"] = std::chrono::duration_cast<std::chrono::milliseconds>(m_lag).count();
    faults["frozen"] = m_isFrozen;
}

} // namespace crocuslane
