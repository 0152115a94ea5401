#pragma once

#include "base/clock.h"

#include <cstddef>
#include <optional>
#include <unordered_map>
#include <vector>

namespace crocuslane {

enum class connection_phase {
    /// No request has begun.
    idle,
    reading_head,
    reading_body,
    /// The request waits for its answer, or for the next part of it.
    processing,
    sending,
    /// The connection is being closed.
    closing,
};

/// Times without progress after which a connection is closed; zero for never.
struct connection_timeouts {
    duration idle{};
    /// Time for the whole head, from the end of the request line.
    duration head{};
    /// Time without progress of a body, or of an answer that the client reads.
    duration transfer{};
};

/// The connections of a server and the progress that their clients make. Decides which of them are closed.
class connection_table
{
public:
    void open(int socket, steady_time now);
    void close(int socket);
    void setPhase(int socket, connection_phase phase, steady_time now);
    /// Counts bytes that were sent or received. Fewer than a kibibyte in all are no progress.
    void addBytes(int socket, std::size_t bytes, steady_time now);
    /// Number of connections that are not being closed.
    std::size_t openCount() const;
    /// The connection whose client has made no progress for the longest time.
    std::optional<int> longestWithoutProgress() const;
    /// The same among those that read a body, if it has made no progress since @p before.
    std::optional<int> stalledBody(steady_time before) const;
    std::vector<int> expired(const connection_timeouts &timeouts, steady_time now) const;

private:
    struct entry {
        connection_phase phase = connection_phase::idle;
        steady_time lastProgress;
        std::size_t uncountedBytes = 0;
    };

    std::unordered_map<int, entry> m_entries;
    std::size_t m_closingCount = 0;
};

} // namespace crocuslane
