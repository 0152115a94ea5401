#include "net/http_server.h"

#include "net/dead_peer_detection.h"
#include "net/event_loop.h"
#include "net/socket_address.h"

#include <ace/Event_Handler.h>
#include <ace/Reactor.h>
#include <boost/leaf/error.hpp>
#include <microhttpd.h>
#include <openssl/err.h>
#include <openssl/pem.h>
#include <openssl/x509.h>

#include <sys/socket.h>

#include <algorithm>
#include <cctype>
#include <cerrno>
#include <cstring>
#include <fstream>
#include <functional>
#include <iterator>
#include <set>
#include <string_view>
#include <tuple>
#include <vector>

namespace crocuslane {

// Inside the namespace, because <search.h>, which ACE includes, declares a global "leaf".
namespace leaf = boost::leaf;

namespace {

constexpr std::size_t streamBlockBytes = 16384;
// libmicrohttpd may have to run again at once; the limit lets the loop call its other handlers in between.
constexpr int maximumRunsPerIteration = 16;
// GnuTLS priority string: TLS 1.0 and 1.1 are deprecated (RFC 8996).
constexpr const char *tlsPriorities = "NORMAL:-VERS-ALL:+VERS-TLS1.3:+VERS-TLS1.2";

std::string lowerCase(std::string_view text)
{
    std::string result(text);
    std::transform(result.begin(), result.end(), result.begin(), [](unsigned char character) {
        return static_cast<char>(std::tolower(character));
    });
    return result;
}

MHD_Result collectHeader(void *target, MHD_ValueKind /*kind*/, const char *name, const char *value)
{
    auto &request = *static_cast<http_request *>(target);
    request.fields.push_back({name, value ? value : ""});
    request.headers[lowerCase(name)] = request.fields.back().value;
    return MHD_YES;
}

MHD_Result collectQuery(void *target, MHD_ValueKind /*kind*/, const char *name, const char *value)
{
    (*static_cast<std::map<std::string, std::string> *>(target))[name] = value ? value : "";
    return MHD_YES;
}

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

/// Detects that the client closed a suspended connection, because libmicrohttpd doesn't read from it.
class close_watcher : public ACE_Event_Handler
{
public:
    close_watcher(ACE_Reactor &reactor, int socket, std::function<void()> onClosed)
        : m_reactor(reactor)
        , m_socket(socket)
        , m_onClosed(std::move(onClosed))
    {
        m_isRegistered = m_reactor.register_handler(this, READ_MASK) == 0;
    }

    ~close_watcher() override
    {
        stop();
    }

    ACE_HANDLE get_handle() const override // NOLINT(readability-identifier-naming): name given by ACE
    {
        return m_socket;
    }

    int handle_input(ACE_HANDLE /*handle*/) override
    {
        char next = 0;
        const ssize_t size = ::recv(m_socket, &next, 1, MSG_PEEK | MSG_DONTWAIT);
        if (size < 0 && (errno == EAGAIN || errno == EINTR)) {
            return 0;
        }
        // The bytes of a pipelined request keep the descriptor readable, and a close after them can't be detected.
        stop();
        if (size <= 0) {
            m_onClosed();
        }
        return 0;
    }

    void stop()
    {
        if (m_isRegistered) {
            m_isRegistered = false;
            m_reactor.remove_handler(this, READ_MASK | DONT_CALL);
        }
    }

private:
    ACE_Reactor &m_reactor;
    int m_socket;
    std::function<void()> m_onClosed;
    bool m_isRegistered = false;
};

class connection_exchange : public http_exchange
{
public:
    explicit connection_exchange(MHD_Connection *connection)
        : m_connection(connection)
    {
    }

    int socket() const
    {
        return MHD_get_connection_info(m_connection, MHD_CONNECTION_INFO_CONNECTION_FD)->connect_fd;
    }

    const http_request &request() const override
    {
        return content;
    }

    void respond(std::uint32_t status, header_list headers, std::string body) override
    {
        if (phase != answer_phase::waiting) {
            return;
        }
        this->status = status;
        this->headers = std::move(headers);
        pending = std::move(body);
        isFinished = true;
        phase = answer_phase::complete;
        resume();
    }

    void begin(std::uint32_t status, header_list headers) override
    {
        if (phase != answer_phase::waiting) {
            return;
        }
        this->status = status;
        this->headers = std::move(headers);
        phase = answer_phase::streaming;
        resume();
    }

    void send(std::string_view data) override
    {
        if (phase == answer_phase::closed || isFinished) {
            return;
        }
        pending += data;
        resume();
    }

    void finish() override
    {
        if (phase == answer_phase::closed) {
            return;
        }
        isFinished = true;
        resume();
    }

    void abort() override
    {
        if (phase == answer_phase::closed) {
            return;
        }
        isAborted = true;
        resume();
    }

    void suspend()
    {
        isSuspended = true;
        MHD_suspend_connection(m_connection);
    }

    void resume()
    {
        if (!isSuspended) {
            return;
        }
        isSuspended = false;
        *needsRun = true;
        MHD_resume_connection(m_connection);
    }

    MHD_Result queueAnswer()
    {
        MHD_Response *response = nullptr;
        if (phase == answer_phase::complete) {
            response = MHD_create_response_from_buffer(pending.size(), pending.data(), MHD_RESPMEM_MUST_COPY);
        } else {
            response =
                MHD_create_response_from_callback(MHD_SIZE_UNKNOWN, streamBlockBytes, &readStream, this, nullptr);
        }
        phase = answer_phase::queued;
        for (const header_field &field : headers) {
            MHD_add_response_header(response, field.name.c_str(), field.value.c_str());
        }
        const MHD_Result result = MHD_queue_response(m_connection, status, response);
        MHD_destroy_response(response);
        return result;
    }

    http_request content;
    /// The client takes an answer of unknown length in chunks; otherwise the answer ends with the connection.
    bool hasChunks = true;
    answer_phase phase = answer_phase::waiting;
    std::uint32_t status = 200;
    header_list headers;
    std::string pending;
    bool isStarted = false;
    bool isFinished = false;
    bool isPassedToHandler = false;
    bool isSuspended = false;
    bool isAborted = false;
    /// Flag of the server: libmicrohttpd has to run again.
    bool *needsRun = nullptr;
    /// Watches for the end of the connection from the delivery to the handler to the end of the request.
    std::unique_ptr<close_watcher> watcher;

private:
    /// libmicrohttpd closes the connection in the same way after a whole and after a broken answer.
    void resetConnection()
    {
        // Connecting to no address ends a TCP connection with a reset.
        sockaddr nobody{};
        nobody.sa_family = AF_UNSPEC;
        std::ignore = ::connect(socket(), &nobody, sizeof nobody);
    }

    static ssize_t readStream(void *self, std::uint64_t /*position*/, char *buffer, std::size_t size)
    {
        auto &exchange = *static_cast<connection_exchange *>(self);
        if (!exchange.pending.empty()) {
            const std::size_t count = std::min(size, exchange.pending.size());
            std::copy_n(exchange.pending.data(), count, buffer);
            exchange.pending.erase(0, count);
            return static_cast<ssize_t>(count);
        }
        if (exchange.isAborted) {
            if (!exchange.hasChunks) {
                exchange.resetConnection();
            }
            return MHD_CONTENT_READER_END_WITH_ERROR;
        }
        if (exchange.isFinished) {
            return MHD_CONTENT_READER_END_OF_STREAM;
        }
        exchange.suspend();
        return 0;
    }

    MHD_Connection *m_connection;
};

/// PEM texts. They must outlive the daemon, because libmicrohttpd keeps pointers to them.
struct tls_identity {
    std::string certificate;
    std::string privateKey;
};

struct openssl_deleter {
    void operator()(BIO *bio) const
    {
        BIO_free(bio);
    }

    void operator()(X509 *certificate) const
    {
        X509_free(certificate);
    }

    void operator()(EVP_PKEY *key) const
    {
        EVP_PKEY_free(key);
    }
};

using bio_pointer = std::unique_ptr<BIO, openssl_deleter>;
using certificate_pointer = std::unique_ptr<X509, openssl_deleter>;
using key_pointer = std::unique_ptr<EVP_PKEY, openssl_deleter>;

net_error tlsFileError(std::string_view role, const std::string &path, std::string_view cause)
{
    return {net_error_code::tls_file_invalid, std::string(role) + " file " + path + ": " + std::string(cause)};
}

leaf::result<std::string> readPemFile(std::string_view role, const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    std::string text{std::istreambuf_iterator<char>(file), {}};
    if (!file.is_open() || text.empty()) {
        return leaf::new_error(tlsFileError(role, path, "not readable or empty"));
    }
    return text;
}

bio_pointer makeBio(const std::string &text)
{
    return bio_pointer(BIO_new_mem_buf(text.data(), static_cast<int>(text.size())));
}

// Without a callback, libcrypto would block the start and prompt for the passphrase of an encrypted key on the
// terminal.
int refusePassphrase(char * /*buffer*/, int /*size*/, int /*isWrite*/, void * /*data*/)
{
    return -1;
}

// Checks the files before MHD_start_daemon, which doesn't report the faulty one.
leaf::result<tls_identity> readIdentity(const tls_files &files)
{
    tls_identity identity;
    BOOST_LEAF_ASSIGN(identity.certificate, readPemFile("certificate", files.certificate));
    BOOST_LEAF_ASSIGN(identity.privateKey, readPemFile("private key", files.privateKey));
    const certificate_pointer certificate(
        PEM_read_bio_X509(makeBio(identity.certificate).get(), nullptr, &refusePassphrase, nullptr));
    const key_pointer key(
        PEM_read_bio_PrivateKey(makeBio(identity.privateKey).get(), nullptr, &refusePassphrase, nullptr));
    const bool isMatching = certificate && key && X509_check_private_key(certificate.get(), key.get()) == 1;
    ERR_clear_error();
    if (!certificate) {
        return leaf::new_error(tlsFileError("certificate", files.certificate, "no certificate in PEM format"));
    }
    if (!key) {
        return leaf::new_error(
            tlsFileError("private key", files.privateKey, "no unencrypted private key in PEM format"));
    }
    if (!isMatching) {
        return leaf::new_error(
            tlsFileError("private key", files.privateKey, "does not match the certificate " + files.certificate));
    }
    return identity;
}

std::vector<MHD_OptionItem> tlsOptions(tls_identity &identity)
{
    return {{MHD_OPTION_HTTPS_MEM_CERT, 0, identity.certificate.data()},
            {MHD_OPTION_HTTPS_MEM_KEY, 0, identity.privateKey.data()},
            {MHD_OPTION_HTTPS_PRIORITIES, 0, const_cast<char *>(tlsPriorities)}};
}

} // namespace

struct http_server::private_data : public ACE_Event_Handler {
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
        auto *sharedExchange = static_cast<std::shared_ptr<connection_exchange> *>(*requestState);
        connection_exchange &exchange = **sharedExchange;
        if (!exchange.isStarted) {
            exchange.isStarted = true;
            exchange.content.method = method;
            exchange.content.path = url;
            exchange.hasChunks = version != MHD_HTTP_VERSION_1_0;
            MHD_get_connection_values(connection, MHD_HEADER_KIND, &collectHeader, &exchange.content);
            MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND, &collectQuery, &exchange.content.query);
            return MHD_YES;
        }
        if (*dataSize > 0) {
            if (exchange.content.body.size() + *dataSize > limits.bodyBytes) {
                exchange.content.isOversized = true;
                exchange.content.body.clear();
            } else if (!exchange.content.isOversized) {
                exchange.content.body.append(data, *dataSize);
            }
            *dataSize = 0;
            return MHD_YES;
        }
        if (!exchange.isPassedToHandler) {
            exchange.isPassedToHandler = true;
            watchForClose(*sharedExchange);
            handler.handleRequest(*sharedExchange);
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

    void *beginRequest(MHD_Connection *connection, const char *target)
    {
        auto *sharedExchange =
            new std::shared_ptr<connection_exchange>(std::make_shared<connection_exchange>(connection));
        (*sharedExchange)->needsRun = &needsRun;
        (*sharedExchange)->content.target = target;
        openExchanges.insert(sharedExchange->get());
        return sharedExchange;
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
        if (!sharedExchange) {
            return;
        }
        const std::shared_ptr<connection_exchange> exchange = *sharedExchange;
        exchange->phase = answer_phase::closed;
        exchange->isSuspended = false;
        // Must stop before libmicrohttpd closes the socket or reads the next request from it.
        if (exchange->watcher) {
            exchange->watcher->stop();
        }
        openExchanges.erase(exchange.get());
        delete sharedExchange;
        *requestState = nullptr;
        if (code != MHD_REQUEST_TERMINATED_COMPLETED_OK && exchange->isPassedToHandler) {
            handler.handleAbandoned(*exchange);
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

    static void connectionCallback(void * /*self*/,
                                   MHD_Connection *connection,
                                   void ** /*requestState*/,
                                   MHD_ConnectionNotificationCode code)
    {
        if (code == MHD_CONNECTION_NOTIFY_STARTED) {
            enableDeadPeerDetection(MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD)->connect_fd);
        }
    }

    event_loop &loop;
    http_handler &handler;
    http_server_limits limits;
    std::set<connection_exchange *> openExchanges;
    tls_identity identity;
    MHD_Daemon *daemon = nullptr;
    int epollDescriptor = -1;
    bool needsRun = false;
    bool isRunning = false;
    bool isRunScheduled = false;
};

http_server::http_server(event_loop &loop, http_handler &handler, http_server_limits limits)
    : d(std::make_unique<private_data>(loop, handler, limits))
{
}

http_server::~http_server()
{
    if (!d->daemon) {
        return;
    }
    d->loop.reactor().remove_handler(d.get(), ACE_Event_Handler::READ_MASK | ACE_Event_Handler::DONT_CALL);
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
        BOOST_LEAF_ASSIGN(d->identity, readIdentity(files));
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
                                 nullptr,
                                 MHD_OPTION_CONNECTION_MEMORY_LIMIT,
                                 d->limits.headerBytes,
                                 MHD_OPTION_CONNECTION_TIMEOUT,
                                 static_cast<unsigned>(d->limits.idleTimeout.count()),
                                 MHD_OPTION_CONNECTION_LIMIT,
                                 static_cast<unsigned>(d->limits.connections),
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
    d->epollDescriptor = MHD_get_daemon_info(d->daemon, MHD_DAEMON_INFO_EPOLL_FD)->epoll_fd;
    d->loop.reactor().register_handler(d.get(), ACE_Event_Handler::READ_MASK);
    return {};
}

bool http_server::isBusy() const
{
    return !d->openExchanges.empty();
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
