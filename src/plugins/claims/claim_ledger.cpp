#include "plugins/claims/claim_ledger.h"

#include <charconv>

namespace crocuslane {

namespace {

using namespace std::chrono_literals;

// Maximum time by which a caller's clock may be ahead of the log's clock.
constexpr std::chrono::seconds maximumClockLead{60};
// Maximum number of digits of the time in seconds. Prevents an overflow in the conversion to clock ticks.
constexpr std::size_t maximumTimeDigits = 10;

} // namespace

claim_ledger::claim_ledger(duration window)
    : m_window(window)
{
}

std::optional<system_time> claim_ledger::keyTime(const std::string &key)
{
    const std::size_t digits = key.find('-');
    if (digits == std::string::npos || digits == 0 || digits > maximumTimeDigits || digits + 1 == key.size()) {
        return std::nullopt;
    }
    std::int64_t seconds = 0;
    const auto [end, error] = std::from_chars(key.data(), key.data() + digits, seconds);
    if (error != std::errc() || end != key.data() + digits || seconds < 0) {
        return std::nullopt;
    }
    return system_time(std::chrono::seconds(seconds));
}

void claim_ledger::detectGap(const read_batch &batch)
{
    if (batch.hasGap) {
        m_isReadableSinceUnknown = true;
    }
    if (!m_isReadableSinceUnknown) {
        return;
    }
    if (batch.appendTimeAfterGap) {
        m_readableSince = batch.appendTimeAfterGap;
        m_isReadableSinceUnknown = false;
    } else if (!batch.entries.empty()) {
        m_readableSince = batch.entries.front().appendTime;
        m_isReadableSinceUnknown = false;
    }
}

std::optional<claim_rejection> claim_ledger::add(const claim_entry &claim, system_time appendTime)
{
    removeExpired(appendTime);
    if (m_claims.contains(claim.key)) {
        return std::nullopt;
    }
    const auto time = keyTime(claim.key.idempotencyKey);
    if (!time || appendTime < *time - maximumClockLead) {
        return claim_rejection::bad_key;
    }
    // A valid claim of the key is never older than this. If records since then are missing, one of them may be such a
    // claim.
    const system_time earliest = *time - maximumClockLead;
    if (appendTime > *time + m_window || m_isReadableSinceUnknown
        || (m_readableSince && *m_readableSince >= earliest)) {
        return claim_rejection::expired;
    }
    m_claims[claim.key] = {claim.by, claim.bodyHash, *time, claim_state::open, 0, {}};
    m_expiry.emplace(*time + m_window, claim.key);
    return std::nullopt;
}

void claim_ledger::add(const outcome_entry &outcome)
{
    const auto found = m_claims.find(outcome.key);
    // Only the claimant knows the outcome, and it records it once.
    if (found == m_claims.end() || found->second.by != outcome.by || found->second.state != claim_state::open) {
        return;
    }
    granted_claim &claim = found->second;
    if (outcome.execution == execution_state::ran) {
        claim.state = claim_state::ran;
        claim.status = outcome.status;
        claim.body = outcome.body;
    } else if (outcome.execution == execution_state::not_run) {
        claim.state = claim_state::not_run;
    }
}

const granted_claim *claim_ledger::find(const claim_key &key) const
{
    const auto found = m_claims.find(key);
    return found == m_claims.end() ? nullptr : &found->second;
}

std::size_t claim_ledger::size() const
{
    return m_claims.size();
}

void claim_ledger::removeExpired(system_time logTime)
{
    // A later claim of a removed key is appended even later and is therefore rejected as expired.
    while (!m_expiry.empty() && m_expiry.begin()->first < logTime) {
        m_claims.erase(m_expiry.begin()->second);
        m_expiry.erase(m_expiry.begin());
    }
}

} // namespace crocuslane
