#pragma once

#include "logstream/stream_reader.h"

#include <map>

namespace crocuslane {

enum class claim_state {
    /// Granted; no outcome is known.
    open,
    ran,
    not_run,
};

/// The first valid claim of a key.
struct known_claim {
    claimant by;
    std::string bodyHash;
    system_time keyTime;
    claim_state state = claim_state::open;
    std::uint32_t status = 0;
    std::string body;
};

/// Why a claim record grants nothing.
enum class claim_invalidity {
    /// The key has no time, or a time too far ahead.
    bad_key,
    /// The key is too old, or claims before this one may have been removed from the log.
    expired,
};

/// Claims and outcomes as decided by log order alone.
class claim_ledger
{
public:
    explicit claim_ledger(duration window);

    /// Notes missing records. Call it for each batch before its entries.
    void noteBatch(const read_batch &batch);
    /// Takes a claim at its place in the log. Nothing when it is the first or a later claim of a known key, see find().
    std::optional<claim_invalidity> add(const claim_entry &claim, system_time appendTime);
    void add(const outcome_entry &outcome);
    const known_claim *find(const claim_key &key) const;
    std::size_t size() const;

    /// Time in an idempotency key "SECONDS-TEXT".
    static std::optional<system_time> keyTime(const std::string &key);

private:
    void forgetExpired(system_time logTime);

    duration m_window;
    std::map<claim_key, known_claim> m_claims;
    /// Keys in the order in which they expire.
    std::multimap<system_time, claim_key> m_expiry;
    /// Records that were appended before this time may be missing.
    std::optional<system_time> m_readableSince;
    bool m_isReadableSinceUnknown = false;
};

} // namespace crocuslane
