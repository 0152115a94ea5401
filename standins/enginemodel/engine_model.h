#pragma once

#include "enginemodel/engine_settings.h"
#include "enginemodel/prefix_cache.h"
#include "kernel/types.h"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <unordered_map>
#include <vector>

namespace crocuslane {

struct engine_request {
    /// Assigned by the owner of the engine; unique among the requests in the engine.
    std::uint64_t id = 0;
    version_id version;
    /// 0 is the most urgent.
    std::uint32_t priority = 0;
    std::uint32_t promptTokens = 0;
    /// Length of the complete answer unless maximumTokens cuts it short.
    std::uint32_t answerTokens = 0;
    /// Limit on the length of the complete answer; 0 for no limit.
    std::uint32_t maximumTokens = 0;
    /// Index of the first token to generate; the tokens before it are prefilled like prompt tokens.
    std::uint32_t resumeFrom = 0;
    /// Determines the text of the answer and whether a fault of the version affects the request.
    std::uint64_t contentHash = 0;
    /// Hash of the prompt up to the end of each full block of tokensPerCacheBlock tokens.
    std::vector<std::uint64_t> prefixHashes;
};

enum class submit_result {
    accepted,
    /// The queue is full; the request won't run.
    queue_full,
    /// The version isn't loaded, or is being unloaded.
    version_not_loaded,
};

enum class engine_event_kind {
    tokens,
    finished,
};

struct engine_event {
    steady_time time;
    std::uint64_t request = 0;
    engine_event_kind kind = engine_event_kind::tokens;
    /// For tokens: index of the first token in the complete answer, and the number of tokens.
    std::uint32_t index = 0;
    std::uint32_t count = 0;
    /// For finished, as is usage.
    finish_reason reason = finish_reason::stop;
    token_usage usage;
    /// Whether a fault of the version made the answer wrong.
    bool isWrong = false;
};

struct engine_load_report {
    std::uint32_t slots = 0;
    std::uint32_t slotsUsed = 0;
    std::uint32_t queued = 0;
    std::set<version_id> versions;
    duration age{};
    bool isLeaving = false;
};

/// Counters since the engine was constructed; a restart doesn't reset them.
struct engine_totals {
    std::uint64_t accepted = 0;
    std::uint64_t rejected = 0;
    std::uint64_t finished = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t prefilledTokens = 0;
    std::uint64_t cachedTokens = 0;
    /// Tokens of requests that finished or were cancelled.
    std::uint64_t generatedTokens = 0;
};

/// Simulates one runner without any input or output of its own. Times passed to successive calls must not decrease.
/// Each reported event costs time logarithmic in the number of slots, independent of the number of tokens in it.
class engine_model
{
public:
    engine_model(engine_settings settings, steady_time start);
    ~engine_model();
    engine_model(const engine_model &) = delete;
    engine_model &operator=(const engine_model &) = delete;

    submit_result submit(engine_request request, steady_time now);
    /// Ends a request, for which no further event follows. Returns the number of tokens generated so far, or nothing
    /// for an unknown request.
    std::optional<std::uint32_t> cancel(std::uint64_t request, steady_time now);

    /// Events up to and including @p now in order of time; the reference is valid until the next call of a non-const
    /// function.
    const std::vector<engine_event> &advanceTo(steady_time now);
    /// Time at which to call advanceTo() next, or steady_time::max() when nothing is scheduled. A call at this time may
    /// return no event.
    steady_time nextEventTime() const;

    /// Sets the versions that the runner is to have loaded. Returns false when the order is refused because of an old
    /// fencing number. A version that is no longer wanted accepts no new request and is unloaded when its last request
    /// ends.
    bool order(log_offset fencing, const std::set<version_id> &versions, steady_time now);
    /// With engine_settings::hasExternalLoads, the version that the owner has to load next.
    std::optional<version_id> versionToLoad() const;
    /// Ignored unless @p version is the one being loaded.
    void finishLoad(const version_id &version, steady_time now);

    /// The newest load report that is readable at @p now, after the interval and lag of engine_settings.
    engine_load_report loadReport(steady_time now) const;
    /// The load without lag, for tests and for baselines with complete information.
    engine_load_report currentLoad() const;
    /// Events with sequence number @p from or later that are readable at @p now.
    std::vector<engine_cache_event> cacheEvents(std::uint64_t from, steady_time now) const;
    /// Without lag, for tests, for baselines with complete information and for KV export.
    bool isCached(const version_id &version, std::uint64_t prefixHash) const;
    /// Adds blocks exported by another runner to the prefix cache.
    void importPrefix(const version_id &version, const std::vector<std::uint64_t> &prefixHashes, steady_time now);

    /// All work takes @p factor times as long from @p from until @p until; factors of overlapping periods multiply.
    void addSlowPeriod(steady_time from, steady_time until, double factor);
    void setFault(const version_id &version, const version_fault &fault);
    void setLeaving(bool isLeaving, steady_time now);
    /// Simulates a restart of the process: all requests are lost without an event and the cache is emptied. Loaded
    /// versions stay loaded.
    void restart(steady_time now);

    const engine_totals &totals() const;

private:
    enum class load_phase {
        absent,
        waiting,
        loading,
        loaded,
        unloading,
    };
    struct version_record {
        load_phase phase = load_phase::absent;
        version_speed speed;
        version_fault fault;
        std::uint64_t faultSeed = 0;
        /// Requests of the version that run or are queued.
        std::uint32_t requests = 0;
    };
    struct running_request {
        engine_request request;
        version_record *version = nullptr;
        /// Distinguishes successive requests in one slot; 0 while the slot is free.
        std::uint64_t serial = 0;
        /// Value of m_workDone at which prefill is complete and decoding starts.
        double decodeStart = 0.0;
        double workPerToken = 0.0;
        /// First token that hasn't been reported.
        std::uint32_t nextIndex = 0;
        std::uint32_t endIndex = 0;
        /// End of the range of tokens in the next event.
        std::uint32_t reportUntil = 0;
        std::uint32_t cachedTokens = 0;
        bool isWrong = false;
        bool isPrefilled = false;
    };
    /// Amount of work at which a running request has its next event.
    struct milestone {
        double work = 0.0;
        std::uint64_t serial = 0;
        std::uint32_t slot = 0;

        bool operator>(const milestone &other) const;
    };
    struct slow_period {
        steady_time from;
        steady_time until;
        double factor = 1.0;
    };
    /// The load from a point in time on.
    struct load_sample {
        steady_time time;
        std::uint32_t slotsUsed = 0;
        std::uint32_t queued = 0;
        std::shared_ptr<const std::set<version_id>> versions;
        bool isLeaving = false;
    };
    /// Priority and serial number, so that requests of equal priority start in the order of arrival.
    using queue_key = std::pair<std::uint32_t, std::uint64_t>;

    /// Processes everything that is due at @p now.
    void beginCall(steady_time now);
    void run(steady_time until);
    steady_time nextInternalTime() const;
    void advanceClock(steady_time time);
    void updateRate();
    void reachMilestone(const milestone &reached);
    void scheduleReport(running_request &running, std::uint32_t slot);
    void finish(running_request &running, std::uint32_t slot);
    void freeSlot(running_request &running, std::uint32_t slot);
    void startWaiting();
    void startRequest(engine_request request);
    bool isAffected(const version_record &version, const engine_request &request) const;
    std::uint32_t generatedTokens(const running_request &running) const;
    void releaseVersion(version_record &version);
    void startNextLoad();
    void completeLoad();
    void updateLoadedVersions();
    void recordLoad();

    engine_settings m_settings;
    prefix_cache m_cache;
    std::map<version_id, version_record> m_versions;
    std::set<version_id> m_wantedVersions;
    std::deque<version_id> m_loadQueue;
    std::optional<version_id> m_loadingVersion;
    steady_time m_loadEndTime = steady_time::max();
    log_offset m_highestFencing = 0;

    steady_time m_now;
    /// Work done per running request since the start, in nanoseconds of an engine that runs a single request.
    double m_workDone = 0.0;
    /// Work per nanosecond of time and running request.
    double m_rate = 1.0;
    double m_slowFactor = 1.0;
    std::vector<slow_period> m_slowPeriods;
    steady_time m_nextSlowPeriodChange = steady_time::max();

    std::vector<running_request> m_slots;
    std::vector<std::uint32_t> m_freeSlots;
    std::unordered_map<std::uint64_t, std::uint32_t> m_slotOfRequest;
    std::priority_queue<milestone, std::vector<milestone>, std::greater<>> m_milestones;
    std::uint64_t m_nextSerial = 1;
    std::map<queue_key, engine_request> m_queue;
    std::unordered_map<std::uint64_t, queue_key> m_queueKeys;

    std::vector<engine_event> m_pendingEvents;
    std::vector<engine_event> m_returnedEvents;
    std::deque<load_sample> m_loadHistory;
    std::shared_ptr<const std::set<version_id>> m_loadedVersions;
    bool m_isLeaving = false;
    engine_totals m_totals;
};

} // namespace crocuslane
