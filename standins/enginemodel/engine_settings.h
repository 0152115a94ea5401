#pragma once

#include "base/clock.h"
#include "base/text_id.h"

#include <cstdint>
#include <limits>
#include <map>
#include <set>

namespace crocuslane {

/// Value of engine_settings::tokensPerEvent for two events of tokens per answer: the first token, and all others at the
/// end of the answer.
inline constexpr std::uint32_t wholeAnswer = std::numeric_limits<std::uint32_t>::max();

/// Prompt tokens per block of the prefix cache.
inline constexpr std::uint32_t tokensPerCacheBlock = 64;

/// Factors of the engine's times per token for one version.
struct version_speed {
    double tokenTimeFactor = 1.0;
    double prefillTimeFactor = 1.0;
};

struct engine_settings {
    /// Maximum number of requests that run at the same time.
    std::uint32_t slots = 16;
    /// Maximum number of queued requests; further ones are rejected.
    std::uint32_t maximumQueue = 1000;
    /// Time per generated token while one request runs.
    duration tokenTime = std::chrono::milliseconds(20);
    /// Each running request beyond the first lengthens the time per token of all requests by this share.
    double slowdownPerRequest = 0.03;
    /// Time per prompt token that isn't cached. Prefill shares the engine with decoding, so slowdownPerRequest applies
    /// to it too.
    duration prefillTime = std::chrono::microseconds(200);
    /// Capacity of the prefix cache in blocks; the least recently used block is evicted first.
    std::uint32_t cacheBlocks = 4096;
    /// Tokens per event after the first token, which has an event of its own; see wholeAnswer.
    std::uint32_t tokensPerEvent = 1;

    /// Versions that are loaded at the start.
    std::set<version_id> versions;
    /// Versions whose speed differs from the default.
    std::map<version_id, version_speed> speeds;
    /// Time to load a version; versions are loaded one at a time.
    duration loadTime = std::chrono::seconds(2);
    /// When true, the owner completes each load by engine_model::finishLoad() and loadTime is ignored.
    bool hasExternalLoads = false;
    /// Whether to refuse orders with a fencing number below the highest received.
    bool checksFencing = true;

    /// Load reports are taken at multiples of the interval and become readable after the lag.
    duration loadReportInterval = std::chrono::milliseconds(500);
    duration loadReportLag = std::chrono::milliseconds(200);
    /// Time from a change of the cache until its event is readable.
    duration cacheEventDelay = std::chrono::milliseconds(500);
    /// Share of cache events that are lost: they never become readable and their sequence numbers are skipped.
    double cacheEventLoss = 0.0;
    /// Maximum number of cache events stored for reading.
    std::uint32_t cacheEventHistory = 10000;
    /// Seed that determines which cache events are lost.
    std::uint64_t seed = 1;
};

enum class version_fault_kind {
    none,
    wrong,
    slow,
    empty,
};

/// Fault of a version that still answers its requests.
struct version_fault {
    version_fault_kind kind = version_fault_kind::none;
    /// Share of the requests that are affected, selected by a hash of their content.
    double share = 1.0;
    /// For slow: factor of the times per token, in prefill and decoding.
    double slowFactor = 5.0;
};

} // namespace crocuslane
