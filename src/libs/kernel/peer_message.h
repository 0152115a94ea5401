#pragma once

#include "kernel/types.h"

#include <variant>

namespace crocuslane {

/// Sent on every peer connection twice a second; its absence closes the connection.
struct heartbeat {
    /// Counts from 1 on each connection.
    std::uint64_t sequence = 0;
    std::uint64_t configurationVersion = 0;
    bool isStopping = false;
    /// Highest sequence that came from the receiver on this connection. It tells the receiver that this message is
    /// younger than that heartbeat, however long the network held it back.
    std::uint64_t echoedSequence = 0;
};

/// Demand and use of one caller group at one entry VM.
struct group_demand {
    caller_group_id group;
    /// Requests per second that arrived, smoothed.
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

/// State of one entry VM, passed on from VM to VM; the highest counter of an incarnation wins.
struct member_state {
    vm_id id;
    std::uint64_t incarnation = 0;
    std::uint64_t counter = 0;
    std::uint64_t configurationVersion = 0;
    /// When this VM last read the log to its end, as its age at the time of sending; negative: never.
    std::int64_t logReadAgeMilliseconds = -1;
    bool isStopping = false;
    std::vector<group_demand> demand;
    std::vector<runner_use> runners;
    /// Upper bound of the time since the VM put this state together, at the time of sending.
    std::int64_t ageMilliseconds = 0;
};

/// Short word that an entry VM was alive; passed on where the budget does not allow its whole state.
struct member_sighting {
    vm_id id;
    /// Upper bound of the time since the VM sent a message, at the time of sending this one.
    std::int64_t ageMilliseconds = 0;
    std::uint64_t configurationVersion = 0;
    bool isStopping = false;
};

/// What the sender knows; the receiver answers with an exchange_delta of what is newer.
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

/// Copy of a bill that its origin has not yet seen in the log.
struct bill_copy {
    bill content;
};

struct bill_copy_acknowledged {
    request_id request;
};

/// The origin has seen the bill in the log; the copy can go.
struct bill_copy_released {
    request_id request;
};

struct configuration_fetch {
    std::uint64_t knownVersion = 0;
};

struct configuration_text {
    std::uint64_t version = 0;
    /// Log offset through which the version is folded.
    log_offset asOf = 0;
    std::string text;
};

/// Records of a keyed stream from position @c first up to @c next. A record that has the value of the one before it may
/// be left out.
struct stream_part {
    struct record {
        std::string key;
        /// Nothing when the key was dropped.
        std::optional<std::string> value;
        std::uint64_t offset = 0;
    };

    std::string stream;
    std::uint64_t first = 0;
    std::uint64_t next = 0;
    /// The sender knew the whole stream at this age of the message.
    std::chrono::milliseconds age{};
    /// How long ago the stream's store last failed to answer in time, as far as the sender knows.
    std::optional<std::chrono::milliseconds> storeFailureAge;
    std::vector<record> records;
    /// The records as packStreamPart() has made them, and their size before; empty for a part that is sent as it is.
    std::string packedRecords = {};
    std::uint32_t unpackedBytes = 0;
};

using peer_message = std::variant<heartbeat,
                                  exchange_digest,
                                  exchange_delta,
                                  bill_copy,
                                  bill_copy_acknowledged,
                                  bill_copy_released,
                                  configuration_fetch,
                                  configuration_text,
                                  stream_part>;

} // namespace crocuslane
