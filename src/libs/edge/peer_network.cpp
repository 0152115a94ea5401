#include "edge/peer_network.h"

#include "base/logger.h"
#include "edge/event_sink.h"
#include "net/event_loop.h"
#include "net/socket_address.h"
#include "wire/envelope_codec.h"
#include "wire/frame_codec.h"
#include "wire/peer_handshake.h"

#include <ace/Event_Handler.h>
#include <ace/INET_Addr.h>
#include <ace/Reactor.h>
#include <ace/SOCK_Acceptor.h>
#include <ace/SOCK_Connector.h>
#include <ace/SOCK_Stream.h>

#include <netinet/tcp.h>

#include <array>
#include <map>
#include <set>

namespace crocuslane {

namespace {

constexpr std::size_t readBlockBytes = 65536;
// The connection to a peer that does not read is closed at this limit; the exchange restarts on the next connection.
constexpr std::size_t sendBufferLimitBytes = 4U << 20;
// Limits how long an unauthenticated connection occupies a descriptor.
constexpr std::chrono::seconds handshakeTimeout{3};

ACE_INET_Addr toAceAddress(const sockaddr_in &address)
{
    return {&address, sizeof address};
}

} // namespace

struct peer_network::private_data {
    class connection;

    class acceptor : public ACE_Event_Handler
    {
    public:
        explicit acceptor(private_data &owner)
            : m_owner(owner)
        {
        }

        ACE_HANDLE get_handle() const override // NOLINT(readability-identifier-naming): name given by ACE
        {
            return socket.get_handle();
        }

        int handle_input(ACE_HANDLE /*handle*/) override
        {
            m_owner.acceptConnection(socket);
            return 0;
        }

        ACE_SOCK_Acceptor socket;

    private:
        private_data &m_owner;
    };

    explicit private_data(environment environment)
        : context(std::move(environment))
        , listener(*this)
    {
    }

    void acceptConnection(ACE_SOCK_Acceptor &socket);
    void add(std::unique_ptr<connection> added);
    void handleAuthenticated(connection &newest);
    void close(connection &closed, const std::string &reason);

    environment context;
    acceptor listener;
    bool isListening = false;
    std::map<connection *, std::unique_ptr<connection>> connections;
    /// Authenticated connections only.
    std::map<vm_id, connection *> connectionsByPeer;
    /// Closed connections whose event handlers may still be running; a timer destroys them.
    std::vector<std::unique_ptr<connection>> closedConnections;
    std::uint64_t bytesSent = 0;
};

class peer_network::private_data::connection : public ACE_Event_Handler
{
public:
    connection(private_data &owner, connection_side side, std::optional<vm_id> expected)
        : m_owner(owner)
        , m_expected(expected)
        , m_handshake(side,
                      {owner.context.node.id, owner.context.node.incarnation},
                      owner.context.peerKey,
                      makeHandshakeNonce(),
                      std::move(expected))
    {
    }

    ACE_HANDLE get_handle() const override // NOLINT(readability-identifier-naming): name given by ACE
    {
        return stream.get_handle();
    }

    void begin(bool isConnected)
    {
        stream.enable(ACE_NONBLOCK);
        int enabled = 1;
        stream.set_option(IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
        m_isConnected = isConnected;
        queueFrame(m_handshake.challenge());
        m_owner.context.loop.reactor().register_handler(this, READ_MASK | WRITE_MASK);
        m_handshakeTimer = m_owner.context.loop.schedule(handshakeTimeout, [this] {
            m_handshakeTimer.reset();
            m_owner.close(*this, "handshake timeout: no proof of the peer key");
        });
    }

    void end()
    {
        if (m_handshakeTimer) {
            m_owner.context.loop.cancel(*m_handshakeTimer);
            m_handshakeTimer.reset();
        }
        m_isClosed = true;
        m_owner.context.loop.reactor().remove_handler(this, ALL_EVENTS_MASK | DONT_CALL);
        stream.close();
    }

    int handle_input(ACE_HANDLE /*handle*/) override
    {
        std::array<char, readBlockBytes> block; // NOLINT(cppcoreguidelines-pro-type-member-init): filled by recv
        const ssize_t size = stream.recv(block.data(), block.size());
        if (size <= 0) {
            if (size < 0 && (errno == EWOULDBLOCK || errno == EINTR)) {
                return 0;
            }
            m_owner.close(*this, size == 0 ? "closed by the peer" : std::strerror(errno));
            return 0;
        }
        m_decoder.append({block.data(), static_cast<std::size_t>(size)});
        const leaf::result<void> handled =
            leaf::try_handle_some([this]() -> leaf::result<void> { return handleFrames(); },
                                  [this](const wire_error &error) -> leaf::result<void> {
                                      m_owner.close(*this, std::string(toName(error.fault)) + " " + error.detail);
                                      return {};
                                  });
        if (!handled && !m_isClosed) {
            m_owner.close(*this, "unexpected error");
        }
        return 0;
    }

    int handle_output(ACE_HANDLE /*handle*/) override
    {
        m_isConnected = true;
        flush();
        return 0;
    }

    void queueFrame(std::string_view payload)
    {
        leaf::try_handle_all(
            [&]() -> leaf::result<void> {
                BOOST_LEAF_AUTO(frame, encodeFrame(payload));
                m_pending += frame;
                return {};
            },
            [this](const wire_error &error) {
                m_owner.context.log.write(
                    log_level::error, "peer_frame_dropped", {{"fault", std::string(toName(error.fault))}});
            },
            [] {});
    }

    /// The encoding depends on the earlier messages of this connection, so every payload must be sent, in order.
    leaf::result<std::string> encode(const envelope &envelope)
    {
        return m_envelopeEncoder.encode(envelope);
    }

    void flush()
    {
        while (!m_pending.empty() && m_isConnected && !m_isClosed) {
            const ssize_t sent = stream.send(m_pending.data(), m_pending.size());
            if (sent <= 0) {
                if (errno != EWOULDBLOCK && errno != EINTR) {
                    m_owner.close(*this, std::strerror(errno));
                    return;
                }
                break;
            }
            m_owner.bytesSent += static_cast<std::uint64_t>(sent);
            m_pending.erase(0, static_cast<std::size_t>(sent));
        }
        if (m_isClosed) {
            return;
        }
        if (m_pending.size() > sendBufferLimitBytes) {
            m_owner.close(*this, "peer does not read");
            return;
        }
        const ACE_Reactor_Mask mask = m_pending.empty() ? READ_MASK : READ_MASK | WRITE_MASK;
        m_owner.context.loop.reactor().mask_ops(this, mask, ACE_Reactor::SET_MASK);
    }

    bool isReady() const
    {
        return m_handshake.isComplete();
    }

    const vm_id &peer() const
    {
        return m_handshake.peer().id;
    }

    const std::optional<vm_id> &expectedPeer() const
    {
        return m_expected;
    }

    ACE_SOCK_Stream stream;

private:
    leaf::result<void> handleFrames()
    {
        while (!m_isClosed) {
            BOOST_LEAF_AUTO(frame, m_decoder.next());
            if (!frame) {
                return {};
            }
            if (m_handshake.isComplete()) {
                BOOST_LEAF_CHECK(handleEnvelope(*frame));
                continue;
            }
            BOOST_LEAF_AUTO(answer, m_handshake.receive(*frame));
            if (answer) {
                queueFrame(*answer);
                flush();
            }
            if (m_handshake.isComplete() && !m_isClosed) {
                m_owner.context.loop.cancel(*m_handshakeTimer);
                m_handshakeTimer.reset();
                m_owner.handleAuthenticated(*this);
            }
        }
        return {};
    }

    leaf::result<void> handleEnvelope(const std::string &frame)
    {
        BOOST_LEAF_AUTO(received, m_envelopeDecoder.decode(frame));
        if (received.sender != m_handshake.peer().id) {
            return leaf::new_error(wire_error{wire_fault::wrong_sender, received.sender.value()});
        }
        m_owner.context.time.observe(received.time);
        m_owner.context.sink.deliver(peer_message_received{received.sender, std::move(received.message)});
        return {};
    }

    private_data &m_owner;
    std::optional<vm_id> m_expected;
    peer_handshake m_handshake;
    frame_decoder m_decoder;
    envelope_encoder m_envelopeEncoder;
    envelope_decoder m_envelopeDecoder;
    std::string m_pending;
    std::optional<timer_number> m_handshakeTimer;
    bool m_isConnected = false;
    bool m_isClosed = false;
};

void peer_network::private_data::acceptConnection(ACE_SOCK_Acceptor &socket)
{
    auto accepted = std::make_unique<connection>(*this, connection_side::accepted, std::nullopt);
    if (socket.accept(accepted->stream) == 0) {
        accepted->begin(true);
        add(std::move(accepted));
    }
}

void peer_network::private_data::add(std::unique_ptr<connection> added)
{
    connection *key = added.get();
    connections.emplace(key, std::move(added));
}

void peer_network::private_data::handleAuthenticated(connection &newest)
{
    const auto earlier = connectionsByPeer.find(newest.peer());
    if (earlier != connectionsByPeer.end() && earlier->second != &newest) {
        // The earlier connection may be dead without an error; the newer one has just completed a handshake.
        close(*earlier->second, "replaced by a newer connection");
    }
    connectionsByPeer[newest.peer()] = &newest;
    context.log.write(log_level::info, "peer_connected", {{"peer", newest.peer().value()}});
    context.sink.deliver(peer_connected{newest.peer()});
}

void peer_network::private_data::close(connection &closed, const std::string &reason)
{
    const auto found = connections.find(&closed);
    if (found == connections.end()) {
        return;
    }
    std::unique_ptr<connection> ending = std::move(found->second);
    connections.erase(found);
    ending->end();
    std::string peerName = "unauthenticated";
    if (ending->isReady()) {
        peerName = ending->peer().value();
        const auto current = connectionsByPeer.find(ending->peer());
        if (current != connectionsByPeer.end() && current->second == ending.get()) {
            connectionsByPeer.erase(current);
            context.sink.deliver(peer_disconnected{ending->peer()});
        }
    } else if (ending->expectedPeer()) {
        peerName = ending->expectedPeer()->value();
        context.sink.deliver(peer_disconnected{*ending->expectedPeer()});
    }
    context.log.write(log_level::warning, "peer_connection_closed", {{"peer", peerName}, {"reason", reason}});
    if (closedConnections.empty()) {
        context.loop.schedule(duration::zero(), [this] { closedConnections.clear(); });
    }
    closedConnections.push_back(std::move(ending));
}

peer_network::peer_network(environment environment)
    : d(std::make_unique<private_data>(std::move(environment)))
{
}

peer_network::~peer_network()
{
    for (const auto &[key, open] : d->connections) {
        open->end();
    }
    if (d->isListening) {
        d->context.loop.reactor().remove_handler(&d->listener,
                                                 ACE_Event_Handler::ACCEPT_MASK | ACE_Event_Handler::DONT_CALL);
        d->listener.socket.close();
    }
}

boost::leaf::result<void> peer_network::listen(const std::string &address)
{
    BOOST_LEAF_AUTO(socketAddress, parseSocketAddress(address));
    if (d->listener.socket.open(toAceAddress(socketAddress), 1) != 0) {
        return leaf::new_error(
            net_error{net_error_code::listen_failed, "cannot listen on " + address + ": " + std::strerror(errno)});
    }
    d->listener.socket.enable(ACE_NONBLOCK);
    d->context.loop.reactor().register_handler(&d->listener, ACE_Event_Handler::ACCEPT_MASK);
    d->isListening = true;
    return {};
}

void peer_network::connect(const connect_peer &action)
{
    const auto reportFailure = [&] { d->context.sink.deliver(peer_disconnected{action.peer}); };
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
            BOOST_LEAF_AUTO(socketAddress, parseSocketAddress(action.address));
            auto opened = std::make_unique<private_data::connection>(*d, connection_side::opened, action.peer);
            ACE_SOCK_Connector connector;
            const ACE_Time_Value noWait = ACE_Time_Value::zero;
            const int result = connector.connect(opened->stream, toAceAddress(socketAddress), &noWait);
            if (result != 0 && errno != EWOULDBLOCK && errno != EINPROGRESS) {
                reportFailure();
                return {};
            }
            opened->begin(result == 0);
            d->add(std::move(opened));
            return {};
        },
        [&](const net_error &error) {
            d->context.log.write(log_level::warning, "peer_address_invalid", {{"detail", error.detail}});
            reportFailure();
        },
        reportFailure);
}

void peer_network::disconnect(const disconnect_peer &action)
{
    const auto found = d->connectionsByPeer.find(action.peer);
    if (found != d->connectionsByPeer.end()) {
        d->close(*found->second, "closed by this entry VM");
    }
}

void peer_network::send(const send_to_peer &action)
{
    const auto found = d->connectionsByPeer.find(action.peer);
    if (found == d->connectionsByPeer.end()) {
        return;
    }
    private_data::connection &target = *found->second;
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
            BOOST_LEAF_AUTO(
                payload,
                target.encode(
                    {d->context.node.id, d->context.node.incarnation, d->context.time.now(), action.message}));
            target.queueFrame(payload);
            target.flush();
            return {};
        },
        [&](const wire_error &error) {
            d->context.log.write(log_level::error,
                                 "peer_message_dropped",
                                 {{"peer", action.peer.value()}, {"fault", std::string(toName(error.fault))}});
        },
        [] {});
}

std::uint64_t peer_network::bytesSent() const
{
    return d->bytesSent;
}

} // namespace crocuslane
