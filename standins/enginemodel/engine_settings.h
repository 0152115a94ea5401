#pragma once

#include "base/clock.h"
#include "base/text_id.h"

#include <cstdint>
#include <limits>
#include <map>
#include <set>

namespace crocuslane {

/// Value of engine_settings::tokensPerEvent that reports the first token, and all others with the completion.
inline constexpr std::uint32_t wholeAnswer = std::numeric_limits<std::uint32_t>::max();

/// Tokens of prompt per cache block.
inline constexpr std::uint32_t tokensPerCacheBlock = 64;

/// Speed of one version, as factors of the engine's times.
struct version_speed {
    double tokenTimeFactor = 1.0;
    double prefillTimeFactor = 1.0;
};

struct engine_settings {
    /// Requests that run at the same time.
    std::uint32_t slots = 16;
    /// Requests that may wait; further ones are rejected.
    std::uint32_t maximumQueue = 1000;
    /// Time per generated token while one request runs.
    duration tokenTime = std::chrono::milliseconds(20);
    /// Each further running request adds this share to the time per token of all.
    double slowdownPerRequest = 0.03;
    /// Time per prompt token that isn't cached. Prefill shares the engine with decoding, so it slows down in the same
    /// way.
    duration prefillTime = std::chrono::microseconds(200);
    /// Blocks of prefix cache, least recently used evicted first.
    std::uint32_t cacheBlocks = 4096;
    /// Tokens per reported event after the first token; wholeAnswer for first token and completion only.
    std::uint32_t tokensPerEvent = 1;

    /// Versions in memory at the start.
    std::set<version_id> versions;
    /// Speeds that differ from the default.
    std::map<version_id, version_speed> speeds;
    /// Time to load a version; one is loaded at a time.
    duration loadTime = std::chrono::seconds(2);
    /// The owner completes loads by finishLoad() and loadTime is ignored.
    bool hasExternalLoads = false;
    /// Whether orders with an older fencing number than the highest seen are refused.
    bool checksFencing = true;

    /// Load reports are taken at multiples of the interval and become readable after the lag.
    duration loadReportInterval = std::chrono::milliseconds(500);
    duration loadReportLag = std::chrono::milliseconds(200);
    /// Delay until a cache event is readable.
    duration cacheEventDelay = std::chrono::milliseconds(500);
    /// Share of cache events that never become readable; their sequence numbers are missing.
    double cacheEventLoss = 0.0;
    /// Cache events kept for reading.
    std::uint32_t cacheEventHistory = 10000;
    /// Selects the lost cache events.
    std::uint64_t seed = 1;
};

enum class version_fault_kind {
    none,
    wrong,
    slow,
    empty,
};

/// A version that turned bad while it keeps answering.
struct version_fault {
    version_fault_kind kind = version_fault_kind::none;
    /// Share of the requests affected, selected by their content.
    double share = 1.0;
    /// Factor of the time per token, for slow.
    double slowFactor = 5.0;
};

} // namespace crocuslane
