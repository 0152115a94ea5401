#include "log/log_store.h"

#include <openssl/evp.h>

#include <algorithm>

namespace crocuslane {

namespace {

constexpr double burstSeconds = 0.1;

} // namespace

log_offset log_stream::append(std::string id, std::string payload, system_time now)
{
    log_record record;
    record.offset = m_end++;
    record.id = std::move(id);
    record.appendTime = m_records.empty() ? now : std::max(now, m_records.back().appendTime);
    record.payload = std::move(payload);
    m_records.push_back(std::move(record));
    return m_records.back().offset;
}

std::vector<log_record> log_stream::read(log_offset from, std::size_t maximum) const
{
    const log_offset start = std::clamp(from, firstOffset(), m_end);
    const std::size_t skipped = start - firstOffset();
    const std::size_t count = std::min(maximum, m_records.size() - skipped);
    const auto first = m_records.begin() + static_cast<std::ptrdiff_t>(skipped);
    return {first, first + static_cast<std::ptrdiff_t>(count)};
}

void log_stream::removeOlderThan(system_time time)
{
    while (!m_records.empty() && m_records.front().appendTime < time) {
        m_records.pop_front();
    }
}

log_offset log_stream::firstOffset() const
{
    return m_end - m_records.size();
}

log_offset log_stream::endOffset() const
{
    return m_end;
}

log_stream &log_store::stream(const std::string &name)
{
    return m_streams[name];
}

void log_store::removeOlderThan(system_time time)
{
    for (auto &[name, stream] : m_streams) {
        stream.removeOlderThan(time);
    }
}

rate_limiter::rate_limiter(double perSecond)
    : m_perSecond(perSecond)
    , m_available(0.0)
{
    setRate(perSecond);
}

void rate_limiter::setRate(double perSecond)
{
    m_perSecond = perSecond;
    m_available = std::max(1.0, perSecond * burstSeconds);
}

double rate_limiter::rate() const
{
    return m_perSecond;
}

bool rate_limiter::tryAcquire(steady_time now, double amount)
{
    const double burst = std::max(amount, m_perSecond * burstSeconds);
    if (m_lastRefill != steady_time{}) {
        m_available = std::min(burst, m_available + toSeconds(now - m_lastRefill) * m_perSecond);
    }
    m_lastRefill = now;
    if (m_available < amount) {
        return false;
    }
    m_available -= amount;
    return true;
}

std::string encodeBase64(std::string_view data)
{
    // EVP_EncodeBlock writes four characters per three bytes and a terminating zero.
    std::string text(4 * ((data.size() + 2) / 3) + 1, '\0');
    const int written = EVP_EncodeBlock(reinterpret_cast<unsigned char *>(text.data()),
                                        reinterpret_cast<const unsigned char *>(data.data()),
                                        static_cast<int>(data.size()));
    text.resize(static_cast<std::size_t>(written));
    return text;
}

} // namespace crocuslane
