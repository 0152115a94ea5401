#pragma once

#include "logstream/stream_reader.h"

#include <map>

namespace crocuslane {

enum class claim_state {
    /// The call may have been sent; no outcome was recorded.
    open,
    ran,
    not_run,
};

/// The first valid claim of a key, with the outcome of its call.
struct granted_claim {
    claimant by;
    std::string bodyHash;
    system_time keyTime;
    claim_state state = claim_state::open;
    /// Response of the call, if it ran.
    std::uint32_t status = 0;
    std::string body;
};

/// Why a claim record is not valid.
enum class claim_rejection {
    /// The key contains no time, or a time too far in the future.
    bad_key,
    /// The key is too old, or earlier claims of it may have been removed from the log.
    expired,
};

/// Determines the granted claim of each key, and its outcome, from the order of the log records alone.
class claim_ledger
{
public:
    /// @p window: how long after the time in its key a claim is valid.
    explicit claim_ledger(duration window);

    /// Notes missing records. Call it for each batch before its entries.
    void detectGap(const read_batch &batch);
    /// Applies a claim record, in log order. Returns nothing if the claim is granted or its key was granted before;
    /// find() then returns the granted claim.
    std::optional<claim_rejection> add(const claim_entry &claim, system_time appendTime);
    void add(const outcome_entry &outcome);
    const granted_claim *find(const claim_key &key) const;
    std::size_t size() const;

    /// Time in an idempotency key of the form "SECONDS-TEXT"; nothing when the key is malformed.
    static std::optional<system_time> keyTime(const std::string &key);

private:
    void removeExpired(system_time logTime);

    duration m_window;
    std::map<claim_key, granted_claim> m_claims;
    /// Keys by expiry time.
    std::multimap<system_time, claim_key> m_expiry;
    /// Records that were appended before this time may be missing; nothing while there was no gap.
    std::optional<system_time> m_readableSince;
    /// There was a gap, and no record after it has been read yet.
    bool m_isReadableSinceUnknown = false;
};

} // namespace crocuslane
