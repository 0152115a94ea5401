#pragma once

#include "kernel/runner_key.h"
#include "kernel/types.h"

#include <array>
#include <variant>

namespace crocuslane {

/// Sent on every peer connection twice a second; a connection without heartbeats is closed.
struct heartbeat {
    /// Counts from 1 on each connection.
    std::uint64_t sequence = 0;
    std::uint64_t configurationVersion = 0;
    bool isStopping = false;
    /// Highest sequence received from the peer on this connection. The peer concludes that this message was sent after
    /// it had sent that heartbeat, however long the network delayed the message.
    std::uint64_t echoedSequence = 0;
};

/// Demand and use of one caller group at one entry VM.
struct group_demand {
    caller_group_id group;
    /// Smoothed rate of arriving requests per second.
    double arrivalRate = 0.0;
    std::uint64_t tokensInFlight = 0;
    std::uint64_t admitted = 0;
    std::uint64_t refused = 0;
    std::uint64_t queued = 0;
};

/// Requests that one entry VM has in progress at a runner.
struct runner_use {
    runner_id runner;
    std::uint32_t inFlight = 0;
    bool isLeaving = false;
};

/// State of one entry VM, relayed from VM to VM by gossip; the highest counter of an incarnation is the newest.
struct member_state {
    vm_id id;
    std::uint64_t incarnation = 0;
    std::uint64_t counter = 0;
    std::uint64_t configurationVersion = 0;
    /// Time since that VM last read the log to its end, at the time of sending; negative when it never did.
    std::int64_t logReadAgeMilliseconds = -1;
    bool isStopping = false;
    std::vector<group_demand> demand;
    std::vector<runner_use> runners;
    /// Upper bound of the time since that VM created this state, at the time of sending.
    std::int64_t ageMilliseconds = 0;
};

/// Short notice that an entry VM was alive; relayed when the bandwidth budget does not allow its complete state.
struct member_sighting {
    vm_id id;
    /// Upper bound of the time since that VM sent its last known message, at the time of sending this one.
    std::int64_t ageMilliseconds = 0;
    std::uint64_t configurationVersion = 0;
    bool isStopping = false;
};

/// Versions of the member states that the sender has. The receiver answers with an exchange_delta of newer ones.
struct exchange_digest {
    struct entry {
        vm_id id;
        std::uint64_t incarnation = 0;
        std::uint64_t counter = 0;
    };
    std::vector<entry> entries;
    std::uint64_t configurationVersion = 0;
};

struct exchange_delta {
    std::vector<member_state> states;
    std::vector<member_sighting> sightings;
};

/// Copy of a bill for safekeeping, while the VM that created the bill has not yet read it back from the log.
struct bill_copy {
    bill content;
};

struct bill_copy_acknowledged {
    request_id request;
};

/// The VM that created the bill has read it back from the log, so that the copy can be deleted.
struct bill_copy_released {
    request_id request;
};

/// Asks for the configuration text, unless the receiver's version is older than @c knownVersion.
struct configuration_fetch {
    std::uint64_t knownVersion = 0;
};

struct configuration_text {
    std::uint64_t version = 0;
    /// The version results from the log records up to and including this offset.
    log_offset asOf = 0;
    std::string text;
};

/// Records of a keyed stream from position @c first up to, but not including, @c next. A record that repeats the value
/// of the previous record of its key may be left out.
struct stream_part {
    struct record {
        std::string key;
        /// Empty when the key was removed.
        std::optional<std::string> value;
        std::uint64_t offset = 0;
    };

    std::string stream;
    std::uint64_t first = 0;
    std::uint64_t next = 0;
    /// Time since the sender last had all records of the stream, at the time of sending.
    std::chrono::milliseconds age{};
    /// Time since the stream's store last failed to answer in time, at the time of sending; empty when the sender knows
    /// of no failure.
    std::optional<std::chrono::milliseconds> storeFailureAge;
    std::vector<record> records;
    /// The compressed records, made by packStreamPart(); empty when the part is sent uncompressed.
    std::string packedRecords = {};
    /// Size of the records before compression.
    std::uint32_t unpackedBytes = 0;
    /// Epoch of the platform's log that the positions belong to.
    log_epoch epoch = 0;
};

/// Counts of answers by their delay relative to the delay to expect, in steps of half an octave; counts saturate.
struct delay_histogram {
    static constexpr std::size_t size = 24;

    std::array<std::uint32_t, size> counts{};
};

/// Answers of software versions to requests of one route.
struct version_counts {
    /// Failures included.
    std::uint32_t answers = 0;
    std::uint32_t failures = 0;
    delay_histogram delays;
};

/// Answers that one entry VM has received during a roll-out.
struct version_evidence {
    struct route_counts {
        /// Hash of the route's name.
        std::uint32_t route = 0;
        version_counts newVersion;
        version_counts oldVersions;
    };

    vm_id vm;
    std::uint64_t incarnation = 0;
    /// The highest counter of an incarnation is the newest.
    std::uint64_t counter = 0;
    service_id service;
    /// Identifies the order: its position, and the epoch of the log that the position belongs to.
    std::uint64_t orderPosition = 0;
    std::vector<route_counts> routes;
};

/// Evidence of several entry VMs, relayed from VM to VM.
struct version_evidence_list {
    std::vector<version_evidence> entries;
};

/// What entry VMs know of prompt parts and requests under which runners ended, and of the runners that ended. Each VM
/// forwards what is new to it. Ages are at the time of sending.
struct crash_evidence {
    struct lost_attempt {
        /// Hash of the runner's id and start time.
        std::uint64_t runner = 0;
        /// Hash of the request's id.
        std::uint32_t request = 0;
        std::chrono::milliseconds age{};
    };
    struct isolation {
        std::chrono::milliseconds age{};
        /// Time since the last request with the part was refused.
        std::chrono::milliseconds refusalAge{};
        /// Requests with the part that were sent since, to find out whether it still crashes runners.
        std::uint32_t probes = 0;
    };
    struct part {
        std::uint64_t id = 0;
        /// Position in the prompts, counted from 0.
        std::uint32_t position = 0;
        /// Attempts that lost their runner before the answer was under way.
        std::vector<lost_attempt> losses;
        /// Time since a request with the part was last answered; empty when the sender knows of no answer.
        std::optional<std::chrono::milliseconds> soundAge;
        std::optional<isolation> isolated;
        /// The id is the fingerprint of a request, not that of a part.
        bool isRequest = false;
    };
    struct crashed_runner {
        std::uint64_t runner = 0;
        std::chrono::milliseconds age{};
    };

    std::vector<part> parts;
    std::vector<crashed_runner> runners;
};

/// Limits that runners state for the requests from all entry VMs together, and limits that they no longer state. Each
/// VM forwards what is new to it.
struct runner_limits {
    struct entry {
        runner_key runner = 0;
        /// Empty when the runner no longer states a limit.
        std::optional<double> requestsPerSecond;
        /// Time since the statement, at the time of sending.
        std::chrono::milliseconds age{};
    };

    std::vector<entry> entries;
};

using peer_message = std::variant<heartbeat,
                                  exchange_digest,
                                  exchange_delta,
                                  bill_copy,
                                  bill_copy_acknowledged,
                                  bill_copy_released,
                                  configuration_fetch,
                                  configuration_text,
                                  stream_part,
                                  version_evidence_list,
                                  crash_evidence,
                                  runner_limits>;

} // namespace crocuslane
