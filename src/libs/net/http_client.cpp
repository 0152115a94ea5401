#include "net/http_client.h"

#include "net/answer_body.h"
#include "net/curl_request.h"
#include "net/dead_peer_detection.h"
#include "net/event_loop.h"
#include "net/failed_connections.h"
#include "net/idle_sockets.h"
#include "net/paused_transfers.h"
#include "net/socket_set.h"
#include "net/work_share.h"

#include <curl/curl.h>

#include <fcntl.h>

#include <algorithm>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace crocuslane {

namespace {

constexpr long connectionCacheSize = 256;
// libcurl ends a transfer with an error when a callback returns fewer bytes than it was given.
constexpr std::size_t abortTransfer = 0;

} // namespace

struct http_client::private_data {
    struct transfer {
        explicit transfer(http_client_request content)
            : request(std::move(content))
            , body(request.maximumBodyBytes, request.maximumHeadBytes)
        {
        }

        transfer_number number = 0;
        http_client_request request;
        CURL *handle = nullptr;
        curl_slist *headers = nullptr;
        bool hasStatus = false;
        answer_head_reader head;
        std::size_t headBytes = 0;
        answer_body body;
        /// Whether libcurl has started to write the request to a connection.
        bool hasStartedSending = false;
        /// Ended from inside a callback of libcurl, and released after the callback has returned.
        bool isCancelled = false;
        /// libcurl may read the rest of the answer that has arrived, and so keep the connection.
        bool isDiscarded = false;
        work_share share;
        bool isPaused = false;
        steady_time lastProgress;
        std::optional<timer_number> silenceTimer;
        private_data *owner = nullptr;
    };

    explicit private_data(event_loop &loop)
        : loop(loop)
        , sockets(
              loop,
              [this](int socket, socket_events events) { socketReady(socket, events); },
              [this] { finishIteration(); })
        , pausedTransfers(
              loop,
              [this](transfer_number number, steady_time now) { return waitTimeOf(number, now); },
              [this](transfer_number number) { resume(number); })
    {
    }

    void socketReady(curl_socket_t socket, socket_events events)
    {
        const int bits = (events.isReadable ? CURL_CSELECT_IN : 0) | (events.isWritable ? CURL_CSELECT_OUT : 0)
            | (events.hasError ? CURL_CSELECT_ERR : 0);
        act(socket, bits);
    }

    void act(curl_socket_t socket, int bits)
    {
        // libcurl would take unread bytes as the answer to the request that it sends next over the connection. It only
        // looks for the end of a connection before it reuses it.
        if (hasUnassignedTransfers) {
            hasUnassignedTransfers = false;
            idleSockets.endReadable();
        }
        int running = 0;
        curl_multi_socket_action(multi, socket, bits, &running);
    }

    void finishIteration()
    {
        applyDeferred();
        readResults();
    }

    /// Performs the starts and cancellations that were requested inside a callback, where libcurl refuses them.
    void applyDeferred()
    {
        for (const std::unique_ptr<transfer> &ended : std::exchange(cancelledInCallback, {})) {
            release(*ended);
        }
        for (const transfer_number number : std::exchange(startedInCallback, {})) {
            const auto found = transfers.find(number);
            if (found != transfers.end()) {
                assignLater(*found->second);
            }
        }
    }

    /// libcurl assigns a connection to the transfer in its next call.
    void assignLater(const transfer &added)
    {
        hasUnassignedTransfers = true;
        curl_multi_add_handle(multi, added.handle);
    }

    void readResults()
    {
        int messagesLeft = 0;
        while (const CURLMsg *message = curl_multi_info_read(multi, &messagesLeft)) {
            if (message->msg == CURLMSG_DONE) {
                end(message->easy_handle, message->data.result);
            }
        }
    }

    void end(CURL *handle, CURLcode code)
    {
        const transfer &ended = *transferOf(handle);
        std::uint32_t status = statusOf(ended);
        transfer_result result = transfer_result::complete;
        if (code != CURLE_OK) {
            result = ended.hasStartedSending ? transfer_result::lost : transfer_result::not_connected;
            recordFailure(ended);
        } else if (!ended.head.isComplete()) {
            // libcurl reports success when the connection is closed inside the head.
            result = transfer_result::lost;
            status = 0;
        } else if (!ended.body.isComplete()) {
            result = transfer_result::lost;
        }
        finish(ended.number, result, status);
    }

    void recordFailure(const transfer &failed)
    {
        long connects = 0;
        curl_easy_getinfo(failed.handle, CURLINFO_NUM_CONNECTS, &connects);
        if (failed.hasStartedSending && connects == 0) {
            failedConnections.add(failed.request.address, std::chrono::steady_clock::now());
        }
    }

    void finish(transfer_number number, transfer_result result, std::uint32_t status)
    {
        const std::unique_ptr<transfer> ended = extract(number);
        if (!ended) {
            return;
        }
        release(*ended);
        if (ended->request.onEnd) {
            ended->request.onEnd(result, status);
        }
    }

    /// Removes a transfer from the running ones; null when there is none with this number.
    std::unique_ptr<transfer> extract(transfer_number number)
    {
        const auto found = transfers.find(number);
        if (found == transfers.end()) {
            return nullptr;
        }
        std::unique_ptr<transfer> ended = std::move(found->second);
        transfers.erase(found);
        if (ended->silenceTimer) {
            loop.cancel(*ended->silenceTimer);
        }
        return ended;
    }

    void release(transfer &ended)
    {
        curl_multi_remove_handle(multi, ended.handle);
        curl_easy_cleanup(ended.handle);
        curl_slist_free_all(ended.headers);
    }

    void cancel(transfer_number number, bool isDiscarded = false)
    {
        std::unique_ptr<transfer> cancelled = extract(number);
        if (!cancelled) {
            return;
        }
        if (isInCallback) {
            cancelled->isCancelled = true;
            cancelled->isDiscarded = isDiscarded;
            cancelledInCallback.push_back(std::move(cancelled));
            return;
        }
        release(*cancelled);
    }

    /// Ends a transfer that has exceeded its silence limit, or schedules the next check.
    void checkSilence(transfer &watched)
    {
        const duration silentTime = std::chrono::steady_clock::now() - watched.lastProgress;
        if (silentTime >= watched.request.silenceLimit) {
            watched.silenceTimer.reset();
            finish(watched.number, transfer_result::lost, 0);
            return;
        }
        const transfer_number number = watched.number;
        watched.silenceTimer = loop.schedule(watched.request.silenceLimit - silentTime, [this, number] {
            const auto found = transfers.find(number);
            if (found != transfers.end()) {
                checkSilence(*found->second);
            }
        });
    }

    void setTimer(long milliseconds)
    {
        if (multiTimer) {
            loop.cancel(*multiTimer);
            multiTimer.reset();
        }
        if (milliseconds < 0) {
            return;
        }
        multiTimer = loop.schedule(std::chrono::milliseconds(milliseconds), [this] {
            multiTimer.reset();
            act(CURL_SOCKET_TIMEOUT, 0);
            finishIteration();
        });
    }

    /// Keeps the data that follow from the loop until the transfer may use it again.
    void pause(transfer &paused, duration waitTime)
    {
        paused.isPaused = true;
        pausedTransfers.add(paused.number, waitTime);
    }

    std::optional<duration> waitTimeOf(transfer_number number, steady_time now) const
    {
        const auto found = transfers.find(number);
        return found == transfers.end() ? std::nullopt : std::optional(found->second->share.waitTime(now));
    }

    void resume(transfer_number number)
    {
        transfer &paused = *transfers.at(number);
        paused.isPaused = false;
        paused.share.resume(std::chrono::steady_clock::now());
        // libcurl passes on what it has kept, and reports an error of that only by its result.
        if (curl_easy_pause(paused.handle, CURLPAUSE_CONT) != CURLE_OK) {
            finish(number, transfer_result::lost, 0);
        }
        finishIteration();
    }

    /// Status of the latest status line; 0 without one.
    static std::uint32_t statusOf(const transfer &transfer)
    {
        long status = 0;
        curl_easy_getinfo(transfer.handle, CURLINFO_RESPONSE_CODE, &status);
        return static_cast<std::uint32_t>(status);
    }

    /// Null for a handle that libcurl uses to close connections.
    static transfer *transferOf(CURL *handle)
    {
        char *pointer = nullptr;
        curl_easy_getinfo(handle, CURLINFO_PRIVATE, &pointer);
        return reinterpret_cast<transfer *>(pointer);
    }

    static int socketCallback(CURL *handle, curl_socket_t socket, int pollEvents, void *self, void * /*socketData*/)
    {
        auto &owner = *static_cast<private_data *>(self);
        if (pollEvents == CURL_POLL_REMOVE) {
            owner.sockets.unwatch(socket);
            // The connection of a paused transfer is in use, although libcurl doesn't watch it.
            const transfer *const last = transferOf(handle);
            if (last == nullptr || !last->isPaused) {
                owner.idleSockets.add(socket);
            }
            return 0;
        }
        owner.idleSockets.remove(socket);
        owner.sockets.watch(socket,
                            pollEvents == CURL_POLL_IN || pollEvents == CURL_POLL_INOUT,
                            pollEvents == CURL_POLL_OUT || pollEvents == CURL_POLL_INOUT);
        return 0;
    }

    static int timerCallback(CURLM * /*multi*/, long milliseconds, void *self)
    {
        static_cast<private_data *>(self)->setTimer(milliseconds);
        return 0;
    }

    /// Called by libcurl before it sends a request. libcurl retries by itself when a reused connection ends without an
    /// answer; the retry is aborted, because the request may already have run.
    static int beforeRequest(void *pointer, char * /*ip*/, char * /*localIp*/, int /*port*/, int /*localPort*/)
    {
        auto &current = *static_cast<transfer *>(pointer);
        if (current.hasStartedSending) {
            return CURL_PREREQFUNC_ABORT;
        }
        current.hasStartedSending = true;
        return CURL_PREREQFUNC_OK;
    }

    // A process that inherited the socket would keep it open, and in idleSockets, after libcurl has closed it here.
    static int socketOptions(void * /*self*/, curl_socket_t socket, curlsocktype /*purpose*/)
    {
        ::fcntl(socket, F_SETFD, FD_CLOEXEC);
        enableDeadPeerDetection(socket);
        return CURL_SOCKOPT_OK;
    }

    static std::size_t headerCallback(char *data, std::size_t size, std::size_t count, void *pointer)
    {
        auto &current = *static_cast<transfer *>(pointer);
        const std::size_t bytes = size * count;
        if (current.isCancelled) {
            return bytesTakenAfterCancel(current, bytes);
        }
        current.headBytes += bytes;
        if (current.headBytes > current.request.maximumHeadBytes) {
            return abortTransfer;
        }
        if (current.head.isComplete()) {
            return bytes;
        }
        switch (current.head.readLine({data, bytes}, statusOf(current))) {
        case answer_head_reader::state::malformed:
            return abortTransfer;
        case answer_head_reader::state::complete:
            if (!current.body.begin(current.head.head(), current.request.method)) {
                return abortTransfer;
            }
            current.owner->reportHead(current);
            break;
        case answer_head_reader::state::incomplete:
            break;
        }
        return current.isCancelled ? bytesTakenAfterCancel(current, bytes) : bytes;
    }

    // An answer that libcurl reads to its end after the cancellation would leave the connection open for the next
    // request.
    static std::size_t bytesTakenAfterCancel(const transfer &cancelled, std::size_t bytes)
    {
        return cancelled.isDiscarded ? bytes : abortTransfer;
    }

    void reportHead(transfer &current)
    {
        current.lastProgress = std::chrono::steady_clock::now();
        if (current.request.onHead) {
            isInCallback = true;
            current.request.onHead(current.head.head());
            isInCallback = false;
        }
    }

    static std::size_t writeCallback(char *data, std::size_t size, std::size_t count, void *pointer)
    {
        auto &current = *static_cast<transfer *>(pointer);
        const std::size_t bytes = size * count;
        if (current.isCancelled) {
            return bytesTakenAfterCancel(current, bytes);
        }
        const steady_time start = std::chrono::steady_clock::now();
        if (const duration waitTime = current.share.waitTime(start); waitTime > duration::zero()) {
            current.owner->pause(current, waitTime);
            return CURL_WRITEFUNC_PAUSE;
        }
        const std::optional<std::string_view> content = current.body.read({data, bytes});
        if (!content) {
            return abortTransfer;
        }
        current.lastProgress = start;
        if (!content->empty()) {
            current.owner->reportData(current, *content);
        }
        current.share.use(start, std::chrono::steady_clock::now());
        return current.isCancelled ? bytesTakenAfterCancel(current, bytes) : bytes;
    }

    void reportData(transfer &current, std::string_view data)
    {
        isInCallback = true;
        if (!std::exchange(current.hasStatus, true) && current.request.onStatus) {
            current.request.onStatus(statusOf(current));
        }
        if (current.request.onData && !current.isCancelled) {
            current.request.onData(data);
        }
        isInCallback = false;
    }

    event_loop &loop;
    socket_set sockets;
    idle_sockets idleSockets;
    bool hasUnassignedTransfers = false;
    CURLM *multi = nullptr;
    transfer_number lastNumber = 0;
    std::map<transfer_number, std::unique_ptr<transfer>> transfers;
    bool isInCallback = false;
    std::vector<std::unique_ptr<transfer>> cancelledInCallback;
    std::vector<transfer_number> startedInCallback;
    std::optional<timer_number> multiTimer;
    paused_transfers pausedTransfers;
    failed_connections failedConnections;
};

http_client::http_client(event_loop &loop)
    : d(std::make_unique<private_data>(loop))
{
    curl_global_init(CURL_GLOBAL_DEFAULT);
    d->multi = curl_multi_init();
    curl_multi_setopt(d->multi, CURLMOPT_SOCKETFUNCTION, &private_data::socketCallback);
    curl_multi_setopt(d->multi, CURLMOPT_SOCKETDATA, d.get());
    curl_multi_setopt(d->multi, CURLMOPT_TIMERFUNCTION, &private_data::timerCallback);
    curl_multi_setopt(d->multi, CURLMOPT_TIMERDATA, d.get());
    curl_multi_setopt(d->multi, CURLMOPT_MAXCONNECTS, connectionCacheSize);
}

http_client::~http_client()
{
    d->applyDeferred();
    while (!d->transfers.empty()) {
        d->cancel(d->transfers.begin()->first);
    }
    curl_multi_cleanup(d->multi);
    curl_global_cleanup();
}

transfer_number http_client::start(http_client_request request)
{
    auto created = std::make_unique<private_data::transfer>(std::move(request));
    private_data::transfer &transfer = *created;
    transfer.number = ++d->lastNumber;
    transfer.owner = d.get();
    transfer.handle = curl_easy_init();
    transfer.lastProgress = std::chrono::steady_clock::now();

    CURL *handle = transfer.handle;
    const http_client_request &content = transfer.request;
    transfer.headers = setCurlRequest(handle, content);
    curl_easy_setopt(handle, CURLOPT_PRIVATE, &transfer);
    curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, &private_data::writeCallback);
    curl_easy_setopt(handle, CURLOPT_WRITEDATA, &transfer);
    // answer_body takes the data out of chunks.
    curl_easy_setopt(handle, CURLOPT_HTTP_TRANSFER_DECODING, 0L);
    const bool mayReuse = content.idleLimit.count() > 0
        && !d->failedConnections.requiresNewConnection(content.address, transfer.lastProgress);
    if (mayReuse) {
        curl_easy_setopt(handle, CURLOPT_MAXAGE_CONN, static_cast<long>(content.idleLimit.count()));
    } else {
        curl_easy_setopt(handle, CURLOPT_FRESH_CONNECT, 1L);
    }
    curl_easy_setopt(handle, CURLOPT_PREREQFUNCTION, &private_data::beforeRequest);
    curl_easy_setopt(handle, CURLOPT_PREREQDATA, &transfer);
    curl_easy_setopt(handle, CURLOPT_SOCKOPTFUNCTION, &private_data::socketOptions);
    curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, &private_data::headerCallback);
    curl_easy_setopt(handle, CURLOPT_HEADERDATA, &transfer);

    const transfer_number number = transfer.number;
    d->transfers.emplace(number, std::move(created));
    if (d->isInCallback) {
        d->startedInCallback.push_back(number);
    } else {
        d->assignLater(transfer);
    }
    if (content.silenceLimit > duration::zero()) {
        d->checkSilence(transfer);
    }
    return number;
}

void http_client::cancel(transfer_number transfer)
{
    d->cancel(transfer);
}

void http_client::discard(transfer_number transfer)
{
    d->cancel(transfer, true);
}

} // namespace crocuslane
