#pragma once

#include "net/block_buffer.h"
#include "net/byte_budget.h"
#include "net/close_watcher.h"
#include "net/http_server.h"

#include <microhttpd.h>

#include <functional>
#include <memory>
#include <string>

namespace crocuslane {

enum class answer_phase {
    /// No answer has been given yet.
    waiting,
    /// A complete answer is ready.
    complete,
    /// An answer of unknown length has begun.
    streaming,
    /// libmicrohttpd has the response.
    queued,
    /// The request has ended.
    closed,
};

/// One request on a connection of libmicrohttpd. The connection is suspended while there is nothing to send.
class connection_exchange : public http_exchange
{
public:
    /// @p needsRun is set when libmicrohttpd has to run again.
    /// @p keptBytes counts the bodies of request and answer; may be null.
    connection_exchange(MHD_Connection *connection, bool &needsRun, byte_budget *keptBytes);
    ~connection_exchange() override;
    connection_exchange(const connection_exchange &) = delete;
    connection_exchange &operator=(const connection_exchange &) = delete;

    const http_request &request() const override;
    void respond(std::uint32_t status, header_list headers, std::string body) override;
    void begin(std::uint32_t status, header_list headers) override;
    bool send(std::string_view data) override;
    void finish() override;
    void abort() override;

    /// Adds to the body of the request. Beyond the limit of kept bytes, the body is discarded and marked as shed.
    void appendBody(std::string_view data);
    void discardBody();
    /// Discards the body and marks the request as shed.
    void shed();
    /// Copies the fields and the query of the request; beyond the limit of kept bytes, it is marked as shed instead.
    void takeHead();
    /// Closes the connection of a stream and discards what its client has not read.
    void breakOff();
    /// Bytes of a stream that its client has not read.
    std::size_t unsentBytes() const;
    int socket() const;
    void suspend();
    void resume();
    MHD_Result queueAnswer();
    /// Must be called before libmicrohttpd closes the socket or reads the next request from it.
    void close();

    http_request content;
    /// Bytes of the body that have been read, those that were discarded included.
    std::size_t bodyBytes = 0;
    /// The client takes an answer of unknown length in chunks; otherwise the answer ends with the connection.
    bool hasChunks = true;
    answer_phase phase = answer_phase::waiting;
    bool isStarted = false;
    bool isPassedToHandler = false;
    bool isAborted = false;
    /// Called when the client takes a part of a stream.
    std::function<void(std::size_t bytes)> onSent;
    /// Called when the connection waits for an answer or its next part (true), or for the client.
    std::function<void(bool isWaiting)> onWaiting;
    /// Watches for the end of the connection from the delivery to the handler to the end of the request.
    std::unique_ptr<close_watcher> watcher;

private:
    void resetConnection();
    bool tryTake(std::size_t bytes, byte_use use);
    void releaseKeptBytes(std::size_t bytes);
    static ssize_t readStream(void *self, std::uint64_t position, char *buffer, std::size_t size);

    MHD_Connection *m_connection;
    bool &m_needsRun;
    byte_budget *m_keptBytes;
    /// What this exchange has counted in m_keptBytes.
    std::size_t m_countedBytes = 0;
    /// Part of m_countedBytes for the body of the request, as allocated.
    std::size_t m_bodyBytes = 0;
    std::uint32_t m_status = 200;
    header_list m_headers;
    /// Body of an answer that is given as a whole.
    std::string m_body;
    /// Part of a stream that the client has not taken.
    block_buffer m_unsent;
    bool m_isFinished = false;
    bool m_isSuspended = false;
};

} // namespace crocuslane
