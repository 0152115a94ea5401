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
    /// Chosen by the caller; unique among the requests in the engine.
    std::uint64_t id = 0;
    version_id version;
    /// 0 is the most urgent.
    std::uint32_t priority = 0;
    std::uint32_t promptTokens = 0;
    /// Tokens of the whole answer when nothing cuts it.
    std::uint32_t answerTokens = 0;
    /// Bound on the whole answer; 0 for none.
    std::uint32_t maximumTokens = 0;
    /// Index of the first token to generate; the tokens before it are processed as prompt.
    std::uint32_t resumeFrom = 0;
    /// Determines the text of the answer and the faults that the request is affected by.
    std::uint64_t contentHash = 0;
    /// Hashes of the growing prefixes of the prompt, one per block of tokensPerCacheBlock.
    std::vector<std::uint64_t> prefixHashes;
};

enum class submit_result {
    accepted,
    /// The queue is full; the request won't run.
    queue_full,
    version_not_held,
};

enum class engine_event_kind {
    tokens,
    finished,
};

struct engine_event {
    steady_time time;
    std::uint64_t request = 0;
    engine_event_kind kind = engine_event_kind::tokens;
    /// For tokens: index of the first one in the whole answer, and their number.
    std::uint32_t index = 0;
    std::uint32_t count = 0;
    /// For finished.
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

/// Totals since the start.
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

/// One model runner without input and output. All times passed in must not decrease. Cost: a logarithm of the slots per
/// reported event, independent of the number of tokens in it.
class engine_model
{
public:
    engine_model(engine_settings settings, steady_time start);
    ~engine_model();
    engine_model(const engine_model &) = delete;
    engine_model &operator=(const engine_model &) = delete;

    submit_result submit(engine_request request, steady_time now);
    /// Ends a request; no event of it follows. Gives the tokens it had generated, or nothing for an unknown request.
    std::optional<std::uint32_t> cancel(std::uint64_t request, steady_time now);

    /// Events up to and including @p now in time order; valid until the next call of a non-const function.
    const std::vector<engine_event> &advanceTo(steady_time now);
    /// When to call advanceTo() next, steady_time::max() for never. A call at this time may return no event.
    steady_time nextEventTime() const;

    /// The runner shall hold exactly these versions. False when refused for an old fencing number. A version that is
    /// no longer wanted takes no new request and stays until its last one ends.
    bool order(log_offset fencing, const std::set<version_id> &versions, steady_time now);
    /// Version that the owner has to load, with engine_settings::hasExternalLoads.
    std::optional<version_id> wantedLoad() const;
    void finishLoad(const version_id &version, steady_time now);

    engine_load_report loadReport(steady_time now) const;
    /// Without lag, for tests and for baselines that know everything.
    engine_load_report currentLoad() const;
    std::vector<engine_cache_event> cacheEvents(std::uint64_t from, steady_time now) const;
    /// Without lag, for tests, for baselines that know everything, and for KV export.
    bool isCached(const version_id &version, std::uint64_t prefixHash) const;
    /// Takes over blocks that another runner exported.
    void importPrefix(const version_id &version, const std::vector<std::uint64_t> &prefixHashes, steady_time now);

    /// All work takes @p factor times as long from @p from until @p until; periods that overlap multiply.
    void addSlowPeriod(steady_time from, steady_time until, double factor);
    void setFault(const version_id &version, const version_fault &fault);
    void setLeaving(bool isLeaving, steady_time now);
    /// The process restarts: all requests are lost without an event, the cache is empty. Held versions stay.
    void restart(steady_time now);

    const engine_totals &totals() const;

private:
    enum class residence {
        absent,
        waiting,
        loading,
        held,
        unloading,
    };
    struct version_record {
        residence state = residence::absent;
        version_speed speed;
        version_fault fault;
        std::uint64_t faultSeed = 0;
        std::uint32_t requests = 0;
    };
    struct running_request {
        engine_request request;
        version_record *version = nullptr;
        /// Distinguishes the users of a slot in turn; 0 while it is free.
        std::uint64_t serial = 0;
        /// Work position at which the token with index resumeFrom would be complete after zero decoding.
        double decodeStart = 0.0;
        double workPerToken = 0.0;
        std::uint32_t nextIndex = 0;
        std::uint32_t endIndex = 0;
        std::uint32_t reportUntil = 0;
        std::uint32_t cachedTokens = 0;
        bool isWrong = false;
        bool isPrefilled = false;
    };
    struct milestone {
        double position = 0.0;
        std::uint64_t serial = 0;
        std::uint32_t slot = 0;

        bool operator>(const milestone &other) const;
    };
    struct slow_period {
        steady_time from;
        steady_time until;
        double factor = 1.0;
    };
    struct load_state {
        steady_time time;
        std::uint32_t slotsUsed = 0;
        std::uint32_t queued = 0;
        std::shared_ptr<const std::set<version_id>> versions;
        bool isLeaving = false;
    };
    using queue_key = std::pair<std::uint32_t, std::uint64_t>;

    void beginCall(steady_time now);
    void run(steady_time until);
    steady_time nextInternalTime() const;
    void moveTo(steady_time time);
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
    void noteVersions();
    void noteLoad();

    engine_settings m_settings;
    prefix_cache m_cache;
    std::map<version_id, version_record> m_versions;
    std::set<version_id> m_wanted;
    std::deque<version_id> m_loadQueue;
    std::optional<version_id> m_loading;
    steady_time m_loadDone = steady_time::max();
    log_offset m_highestFencing = 0;

    steady_time m_now;
    /// Work done on each running request since the start, in nanoseconds of an engine that runs one request.
    double m_position = 0.0;
    /// Work per nanosecond.
    double m_rate = 1.0;
    double m_slowFactor = 1.0;
    std::vector<slow_period> m_slowPeriods;
    steady_time m_nextSlowChange = steady_time::max();

    std::vector<running_request> m_slots;
    std::vector<std::uint32_t> m_freeSlots;
    std::unordered_map<std::uint64_t, std::uint32_t> m_slotOfRequest;
    std::priority_queue<milestone, std::vector<milestone>, std::greater<>> m_milestones;
    std::uint64_t m_nextSerial = 1;
    std::map<queue_key, engine_request> m_queue;
    std::unordered_map<std::uint64_t, queue_key> m_queued;

    std::vector<engine_event> m_pendingEvents;
    std::vector<engine_event> m_returnedEvents;
    std::deque<load_state> m_loadHistory;
    std::shared_ptr<const std::set<version_id>> m_heldVersions;
    bool m_isLeaving = false;
    engine_totals m_totals;
};

} // namespace crocuslane
