#include "weights/weight_standin.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace crocuslane {

using nlohmann::json;

namespace {

constexpr std::string_view weightPrefix = "/weights/";
constexpr std::chrono::milliseconds writeInterval{20};

} // namespace

weight_standin::weight_standin(const clock &clock, const weight_standin_settings &settings)
    : m_clock(clock)
    , m_initialSettings(settings)
    , m_settings(settings)
{
}

void weight_standin::handle(const std::shared_ptr<standin_exchange> &exchange)
{
    const std::string &path = exchange->request().path;
    if (!path.starts_with(weightPrefix) || path.size() == weightPrefix.size()) {
        answerError(*exchange, 404, "not_found", "expected /weights/VERSION");
        return;
    }
    if (m_transfers.size() >= m_settings.maximumTransfers) {
        exchange->setHeader("Retry-After", "1");
        answerError(*exchange, 429, "rate_limited", "the maximum number of transfers is reached");
        return;
    }
    exchange->beginStream("application/octet-stream");
    exchange->onClosed([this, key = exchange.get()] {
        m_transfers.remove_if([key](const transfer &candidate) { return candidate.exchange.get() == key; });
    });
    m_transfers.push_back({exchange, m_settings.versionBytes});
    if (m_nextWriteTime == steady_time::max()) {
        m_nextWriteTime = m_clock.steadyNow() + writeInterval;
    }
}

steady_time weight_standin::nextTime() const
{
    return m_nextWriteTime;
}

void weight_standin::advance(steady_time now)
{
    if (m_transfers.empty()) {
        m_nextWriteTime = steady_time::max();
        return;
    }
    m_nextWriteTime = now + writeInterval;
    const auto budget =
        static_cast<std::uint64_t>(static_cast<double>(m_settings.bytesPerSecond) * toSeconds(writeInterval));
    const std::uint64_t share = std::max<std::uint64_t>(1, budget / m_transfers.size());
    for (auto current = m_transfers.begin(); current != m_transfers.end();) {
        const std::uint64_t bytes = std::min(share, current->remaining);
        current->exchange->write(std::string(bytes, 'w'));
        current->remaining -= bytes;
        if (current->remaining == 0) {
            current->exchange->endStream();
            current = m_transfers.erase(current);
        } else {
            ++current;
        }
    }
}

bool weight_standin::setFault(const std::string &key, const json &value)
{
    if (key == "bytes_per_s") {
        m_settings.bytesPerSecond = value.get<std::uint64_t>();
    } else if (key == "maximum_transfers") {
        m_settings.maximumTransfers = value.get<std::uint32_t>();
    } else {
        return false;
    }
    return true;
}

void weight_standin::clearFaults()
{
    m_settings = m_initialSettings;
}

void weight_standin::describeFaults(json &faults) const
{
    faults["bytes_per_s"] = m_settings.bytesPerSecond;
    faults["maximum_transfers"] = m_settings.maximumTransfers;
    faults["transfers"] = m_transfers.size();
}

} // namespace crocuslane
