#include "net/http_server.h"

#include "base/guarded_call.h"
#include "net/answer_room.h"
#include "net/byte_budget.h"
#include "net/connection_exchange.h"
#include "net/connection_table.h"
#include "net/dead_peer_detection.h"
#include "net/event_loop.h"
#include "net/input_position.h"
#include "net/socket_address.h"
#include "net/tls_identity.h"

#include <ace/Event_Handler.h>
#include <ace/Reactor.h>
#include <boost/leaf/error.hpp>
#include <microhttpd.h>

#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <set>
#include <string_view>
#include <vector>

namespace crocuslane {

// Inside the namespace, because <search.h>, which ACE includes, declares a global "leaf".
namespace leaf = boost::leaf;

namespace {

// libmicrohttpd may have to run again at once; the limit lets the loop call its other handlers in between.
constexpr int maximumRunsPerIteration = 16;
// Connections that are accepted beyond the limit while the ones that they replace are being closed.
constexpr std::size_t replacementConnections = 64;
// libmicrohttpd applies its timeouts, and listens again after its limit was reached, only when it runs.
constexpr std::chrono::milliseconds checkInterval{500};
// Bodies without progress for this long are given up when the memory for bodies is used up.
constexpr std::chrono::seconds stalledBodyTime{1};
// Streams of which a client has left more unread are broken off when the memory for answers is used up.
constexpr std::size_t unreadStreamBytes = 64UL * 1024UL;
// Method, version and delimiters of a request line.
constexpr std::size_t requestLineOverheadBytes = 64;
// GnuTLS priority string: TLS 1.0 and 1.1 are deprecated (RFC 8996).
constexpr const char *tlsPriorities = "NORMAL:-VERS-ALL:+VERS-TLS1.3:+VERS-TLS1.2";

std::vector<MHD_OptionItem> tlsOptions(tls_identity &identity)
{
    return {{MHD_OPTION_HTTPS_MEM_CERT, 0, identity.certificate.data()},
            {MHD_OPTION_HTTPS_MEM_KEY, 0, identity.privateKey.data()},
            {MHD_OPTION_HTTPS_PRIORITIES, 0, const_cast<char *>(tlsPriorities)}};
}

} // namespace

struct http_server::private_data : public ACE_Event_Handler {
    /// What the server keeps for a connection of libmicrohttpd.
    struct connection_state {
        explicit connection_state(int socket)
            : position(socket)
        {
        }

        input_position position;
        /// The request in progress; null between two requests.
        std::shared_ptr<connection_exchange> exchange;
    };

    private_data(event_loop &loop, http_handler &handler, http_server_limits limits)
        : loop(loop)
        , handler(handler)
        , limits(limits)
    {
    }

    ACE_HANDLE get_handle() const override // NOLINT(readability-identifier-naming): name given by ACE
    {
        return epollDescriptor;
    }

    int handle_input(ACE_HANDLE /*handle*/) override
    {
        needsRun = true;
        runDaemon();
        return 0;
    }

    void runDaemon()
    {
        // MHD_run must not be called from one of its own callbacks; the loop below handles connections that they
        // resume.
        if (isRunning) {
            return;
        }
        isRunning = true;
        for (int run = 0; run < maximumRunsPerIteration && needsRun; ++run) {
            needsRun = false;
            MHD_run(daemon);
            MHD_UNSIGNED_LONG_LONG timeout = 0;
            if (MHD_get_timeout(daemon, &timeout) == MHD_YES && timeout == 0) {
                needsRun = true;
            }
        }
        isRunning = false;
        if (needsRun) {
            scheduleRun();
        }
    }

    MHD_Result handleAccess(MHD_Connection *connection,
                            const char *url,
                            const char *method,
                            std::string_view version,
                            const char *data,
                            std::size_t *dataSize,
                            void **requestState)
    {
        const std::shared_ptr<connection_exchange> sharedExchange =
            *static_cast<std::shared_ptr<connection_exchange> *>(*requestState);
        connection_exchange &exchange = *sharedExchange;
        if (!exchange.isStarted) {
            exchange.isStarted = true;
            exchange.content.method = method;
            exchange.content.path = url;
            exchange.hasChunks = version != MHD_HTTP_VERSION_1_0;
            table.setPhase(exchange.socket(), connection_phase::reading_body, now());
            return MHD_YES;
        }
        if (*dataSize > 0) {
            exchange.bodyBytes += *dataSize;
            table.addBytes(exchange.socket(), *dataSize, now());
            if (exchange.content.body.size() + *dataSize > limits.bodyBytes) {
                exchange.content.isOversized = true;
                exchange.discardBody();
            } else if (!exchange.content.isOversized) {
                exchange.appendBody({data, *dataSize});
            }
            *dataSize = 0;
            return MHD_YES;
        }
        if (!exchange.isPassedToHandler) {
            table.setPhase(exchange.socket(), connection_phase::sending, now());
            if (!acceptRequest(connection, exchange)) {
                return exchange.queueAnswer();
            }
            exchange.isPassedToHandler = true;
            watchForClose(sharedExchange);
            passToHandler(sharedExchange);
        }
        if (exchange.isAborted) {
            return MHD_NO;
        }
        if (exchange.phase == answer_phase::waiting) {
            exchange.suspend();
            return MHD_YES;
        }
        return exchange.queueAnswer();
    }

    /// Completes the description of a request that has been read to its end; false when it is refused.
    bool acceptRequest(MHD_Connection *connection, connection_exchange &exchange)
    {
        // Not before the body has been read: the heads of requests that never end would take memory.
        exchange.takeHead();
        exchange.content.answerHeadBytes =
            answerRoom(connection, limits.headerBytes, readAheadBytes(connection, exchange.bodyBytes));
        // If the request ran, its answer would be lost: libmicrohttpd closes the connection.
        if (exchange.content.answerHeadBytes < limits.answerHeadBytes) {
            ++refusedHeadCount;
            exchange.respond(MHD_HTTP_REQUEST_HEADER_FIELDS_TOO_LARGE, {}, "header: too many fields\n");
            return false;
        }
        return true;
    }

    /// Upper bound of what has been read beyond a request that has been read to its end; empty when it can't be told.
    std::optional<std::size_t> readAheadBytes(MHD_Connection *connection, std::size_t bodyBytes) const
    {
        if (isTls()) {
            return std::nullopt;
        }
        return stateOf(connection).position.endRequest(leastRequestBytes(connection, bodyBytes));
    }

    static connection_state &stateOf(MHD_Connection *connection)
    {
        const auto *information = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
        return *static_cast<connection_state *>(information->socket_context);
    }

    /// With TLS, the bytes on the socket are not those of the requests.
    bool isTls() const
    {
        return !identity.certificate.empty();
    }

    void *beginRequest(MHD_Connection *connection, const char *target)
    {
        std::shared_ptr<connection_exchange> &sharedExchange = stateOf(connection).exchange;
        endExchange(sharedExchange);
        sharedExchange = std::make_shared<connection_exchange>(connection, needsRun, limits.keptBytes);
        connection_exchange &exchange = *sharedExchange;
        exchange.content.target = target;
        stateOf(connection).position.beginRequest(exchange.content.target.size() + requestLineOverheadBytes);
        const int socket = exchange.socket();
        exchange.onSent = [this, socket](std::size_t bytes) { table.addBytes(socket, bytes, now()); };
        exchange.onWaiting = [this, socket](bool isWaiting) {
            table.setPhase(socket, isWaiting ? connection_phase::processing : connection_phase::sending, now());
        };
        openExchanges.insert(&exchange);
        table.setPhase(socket, connection_phase::reading_head, now());
        return &sharedExchange;
    }

    void endExchange(std::shared_ptr<connection_exchange> &sharedExchange)
    {
        if (!sharedExchange) {
            return;
        }
        sharedExchange->close();
        openExchanges.erase(sharedExchange.get());
        sharedExchange.reset();
    }

    static steady_time now()
    {
        return std::chrono::steady_clock::now();
    }

    /// libmicrohttpd closes a connection when it reads its end.
    void evict(int socket)
    {
        ++evictedCount;
        table.setPhase(socket, connection_phase::closing, now());
        ::shutdown(socket, SHUT_RDWR);
        needsRun = true;
    }

    /// Makes room for bytes that are to be kept. A client that has stopped sending gives way to all others, one that
    /// doesn't read its stream to answers.
    bool reclaim(byte_use use)
    {
        return releaseStalledBody() || (use == byte_use::answer && breakOffUnreadStream());
    }

    bool releaseStalledBody()
    {
        const std::optional<int> stalled = table.stalledBody(now() - stalledBodyTime);
        if (!stalled) {
            return false;
        }
        evict(*stalled);
        for (connection_exchange *exchange : openExchanges) {
            if (exchange->socket() == *stalled) {
                exchange->shed();
            }
        }
        return true;
    }

    bool breakOffUnreadStream()
    {
        const auto most =
            std::max_element(openExchanges.begin(), openExchanges.end(), [](const auto *left, const auto *right) {
                return left->unsentBytes() < right->unsentBytes();
            });
        if (most == openExchanges.end() || (*most)->unsentBytes() < unreadStreamBytes) {
            return false;
        }
        ++evictedCount;
        (*most)->breakOff();
        return true;
    }

    void openConnection(int socket)
    {
        enableDeadPeerDetection(socket);
        table.open(socket, now());
        while (table.openCount() > limits.connections) {
            const std::optional<int> longest = table.longestWithoutProgress();
            if (!longest || *longest == socket) {
                return;
            }
            evict(*longest);
        }
    }

    void checkConnections()
    {
        const connection_timeouts timeouts{limits.idleTimeout, limits.headTimeout, limits.transferTimeout};
        for (const int socket : table.expired(timeouts, now())) {
            evict(socket);
        }
        needsRun = true;
        runDaemon();
        checkTimer = loop.schedule(checkInterval, [this] { checkConnections(); });
    }

    void watchForClose(const std::shared_ptr<connection_exchange> &exchange)
    {
        exchange->watcher = std::make_unique<close_watcher>(
            loop.reactor(), exchange->socket(), [this, weakExchange = std::weak_ptr(exchange)] {
                if (const std::shared_ptr<connection_exchange> closed = weakExchange.lock()) {
                    closed->abort();
                    scheduleRun();
                }
            });
    }

    void scheduleRun()
    {
        if (isRunScheduled) {
            return;
        }
        isRunScheduled = true;
        loop.schedule(duration::zero(), [this] {
            isRunScheduled = false;
            runDaemon();
        });
    }

    void handleCompleted(void **requestState, MHD_RequestTerminationCode code)
    {
        auto *sharedExchange = static_cast<std::shared_ptr<connection_exchange> *>(*requestState);
        if (!sharedExchange || !*sharedExchange) {
            return;
        }
        const std::shared_ptr<connection_exchange> exchange = *sharedExchange;
        table.setPhase(exchange->socket(), connection_phase::idle, now());
        endExchange(*sharedExchange);
        *requestState = nullptr;
        if (code != MHD_REQUEST_TERMINATED_COMPLETED_OK && exchange->isPassedToHandler) {
            callGuarded([&] { handler.handleAbandoned(*exchange); }, [](const char * /*text*/) {});
        }
    }

    /// An exception must not pass through libmicrohttpd, which is written in C.
    void passToHandler(const std::shared_ptr<connection_exchange> &exchange)
    {
        const bool isHandled = callGuarded([&] { handler.handleRequest(exchange); }, [](const char * /*text*/) {});
        if (!isHandled && exchange->phase == answer_phase::waiting) {
            exchange->respond(MHD_HTTP_INTERNAL_SERVER_ERROR, {}, "unexpected error\n");
        }
    }

    static MHD_Result accessCallback(void *self,
                                     MHD_Connection *connection,
                                     const char *url,
                                     const char *method,
                                     const char *version,
                                     const char *data,
                                     std::size_t *dataSize,
                                     void **requestState)
    {
        return static_cast<private_data *>(self)->handleAccess(
            connection, url, method, version, data, dataSize, requestState);
    }

    static void
    completedCallback(void *self, MHD_Connection * /*connection*/, void **requestState, MHD_RequestTerminationCode code)
    {
        static_cast<private_data *>(self)->handleCompleted(requestState, code);
    }

    static void *targetCallback(void *self, const char *target, MHD_Connection *connection)
    {
        return static_cast<private_data *>(self)->beginRequest(connection, target);
    }

    static void connectionCallback(void *self,
                                   MHD_Connection *connection,
                                   void **socketContext,
                                   MHD_ConnectionNotificationCode code)
    {
        auto &owner = *static_cast<private_data *>(self);
        const int socket = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD)->connect_fd;
        if (code == MHD_CONNECTION_NOTIFY_STARTED) {
            *socketContext = new connection_state(socket);
            owner.openConnection(socket);
            return;
        }
        owner.table.close(socket);
        const std::unique_ptr<connection_state> state(static_cast<connection_state *>(*socketContext));
        *socketContext = nullptr;
        // libmicrohttpd doesn't report the end of a request whose query it can't keep.
        owner.endExchange(state->exchange);
    }

    event_loop &loop;
    http_handler &handler;
    http_server_limits limits;
    std::set<connection_exchange *> openExchanges;
    connection_table table;
    std::uint64_t evictedCount = 0;
    std::uint64_t refusedHeadCount = 0;
    timer_number checkTimer{};
    tls_identity identity;
    MHD_Daemon *daemon = nullptr;
    int epollDescriptor = -1;
    bool needsRun = false;
    bool isRunning = false;
    bool isRunScheduled = false;
};

const std::string *http_request::header(std::string_view name) const
{
    const auto last = std::find_if(fields.rbegin(), fields.rend(), [name](const header_field &field) {
        return equalsIgnoringCase(field.name, name);
    });
    return last == fields.rend() ? nullptr : &last->value;
}

http_server::http_server(event_loop &loop, http_handler &handler, http_server_limits limits)
    : d(std::make_unique<private_data>(loop, handler, limits))
{
    if (limits.keptBytes != nullptr) {
        limits.keptBytes->setReclaimer([server = d.get()](byte_use use) { return server->reclaim(use); });
    }
}

http_server::~http_server()
{
    if (d->limits.keptBytes != nullptr) {
        d->limits.keptBytes->setReclaimer({});
    }
    if (!d->daemon) {
        return;
    }
    d->loop.reactor().remove_handler(d.get(), ACE_Event_Handler::READ_MASK | ACE_Event_Handler::DONT_CALL);
    d->loop.cancel(d->checkTimer);
    // libmicrohttpd aborts the process when it is stopped with suspended connections.
    for (connection_exchange *exchange : d->openExchanges) {
        exchange->resume();
    }
    MHD_stop_daemon(d->daemon);
}

leaf::result<void> http_server::listen(const std::string &address, const tls_files &files)
{
    BOOST_LEAF_AUTO(socketAddress, parseSocketAddress(address));
    unsigned flags = MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME;
    std::vector<MHD_OptionItem> options;
    if (!files.certificate.empty() && !files.privateKey.empty()) {
        BOOST_LEAF_ASSIGN(d->identity, readTlsIdentity(files));
        options = tlsOptions(d->identity);
        flags |= MHD_USE_TLS;
    }
    options.push_back({MHD_OPTION_END, 0, nullptr});
    errno = 0;
    d->daemon = MHD_start_daemon(flags,
                                 0,
                                 nullptr,
                                 nullptr,
                                 &private_data::accessCallback,
                                 d.get(),
                                 MHD_OPTION_SOCK_ADDR,
                                 reinterpret_cast<const sockaddr *>(&socketAddress),
                                 MHD_OPTION_NOTIFY_COMPLETED,
                                 &private_data::completedCallback,
                                 d.get(),
                                 MHD_OPTION_URI_LOG_CALLBACK,
                                 &private_data::targetCallback,
                                 d.get(),
                                 MHD_OPTION_NOTIFY_CONNECTION,
                                 &private_data::connectionCallback,
                                 d.get(),
                                 MHD_OPTION_CONNECTION_MEMORY_LIMIT,
                                 d->limits.headerBytes,
                                 MHD_OPTION_CONNECTION_TIMEOUT,
                                 static_cast<unsigned>(d->limits.idleTimeout.count()),
                                 MHD_OPTION_CONNECTION_LIMIT,
                                 static_cast<unsigned>(d->limits.connections + replacementConnections),
                                 MHD_OPTION_ARRAY,
                                 options.data(),
                                 MHD_OPTION_END);
    if (!d->daemon) {
        // libmicrohttpd sets errno only for errors of the socket.
        if (errno == 0 && (flags & MHD_USE_TLS) != 0) {
            return leaf::new_error(tlsFileError(
                "certificate", files.certificate, "the TLS library refused the certificate or its private key"));
        }
        return leaf::new_error(
            net_error{net_error_code::listen_failed, "cannot listen on " + address + ": " + std::strerror(errno)});
    }
    if (d->limits.receiveBufferBytes > 0) {
        // Accepted sockets inherit it. Set on them, it would come after the first bytes.
        const int listener = MHD_get_daemon_info(d->daemon, MHD_DAEMON_INFO_LISTEN_FD)->listen_fd;
        ::setsockopt(
            listener, SOL_SOCKET, SO_RCVBUF, &d->limits.receiveBufferBytes, sizeof d->limits.receiveBufferBytes);
    }
    d->epollDescriptor = MHD_get_daemon_info(d->daemon, MHD_DAEMON_INFO_EPOLL_FD)->epoll_fd;
    d->loop.reactor().register_handler(d.get(), ACE_Event_Handler::READ_MASK);
    d->checkTimer = d->loop.schedule(checkInterval, [self = d.get()] { self->checkConnections(); });
    return {};
}

bool http_server::isBusy() const
{
    return !d->openExchanges.empty();
}

std::uint64_t http_server::evictedCount() const
{
    return d->evictedCount;
}

std::uint64_t http_server::refusedHeadCount() const
{
    return d->refusedHeadCount;
}

void http_server::setBodyLimit(std::size_t bytes)
{
    d->limits.bodyBytes = bytes;
}

void http_server::flush()
{
    if (d->needsRun) {
        d->runDaemon();
    }
}

} // namespace crocuslane
