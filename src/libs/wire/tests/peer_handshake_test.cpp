#include "wire/peer_handshake.h"

#include <catch2/catch.hpp>

using namespace crocuslane;

namespace {

class handshake_fixture
{
protected:
    peer_handshake opened(const std::string &key = "shared", std::optional<vm_id> expected = vm_id("vm-2"))
    {
        return {connection_side::opened, {vm_id("vm-1"), 11}, key, makeHandshakeNonce(), std::move(expected)};
    }

    peer_handshake accepted(const std::string &key = "shared")
    {
        return {connection_side::accepted, {vm_id("vm-2"), 22}, key, makeHandshakeNonce()};
    }

    /// Payload to send next. Empty when there is none, or when the payload was rejected; m_fault is then the reason.
    std::string deliver(peer_handshake &receiver, const std::string &payload)
    {
        return leaf::try_handle_all(
            [&]() -> leaf::result<std::string> {
                BOOST_LEAF_AUTO(reply, receiver.receive(payload));
                return reply.value_or("");
            },
            [this](const wire_error &error) {
                m_fault = error.fault;
                return std::string();
            },
            [] { return std::string("untyped error"); });
    }

    std::optional<wire_fault> m_fault;
};

} // namespace

// Guards against a pair of VMs with the same key that can't connect.
TEST_CASE_METHOD(handshake_fixture, "handshake, same key, completes on both sides", "[wire]")
{
    peer_handshake first = opened();
    peer_handshake second = accepted();
    CHECK(deliver(second, first.challenge()).empty());
    const std::string proof = deliver(first, second.challenge());
    CHECK_FALSE(first.isComplete());
    const std::string reply = deliver(second, proof);
    CHECK(second.isComplete());
    CHECK(deliver(first, reply).empty());
    CHECK(first.isComplete());
    CHECK((second.peer().id == vm_id("vm-1") && second.peer().incarnation == 11));
    CHECK((first.peer().id == vm_id("vm-2") && first.peer().incarnation == 22));
    CHECK_FALSE(m_fault);
}

// Guards against authenticating a peer that doesn't have the key, and against an unset key that authenticates every
// peer.
TEST_CASE_METHOD(handshake_fixture, "handshake, other or empty key, fails on both sides", "[wire]")
{
    peer_handshake first = opened("guess");
    peer_handshake second = accepted();
    deliver(second, first.challenge());
    CHECK(deliver(second, deliver(first, second.challenge())).empty());
    CHECK(m_fault == wire_fault::authentication_failed);
    CHECK_FALSE(second.isComplete());

    peer_handshake third = opened("");
    CHECK(deliver(third, accepted("").challenge()).empty());
    CHECK_FALSE(third.isComplete());
}

// Guards against replay of the messages of an earlier connection.
TEST_CASE_METHOD(handshake_fixture, "handshake, replayed messages, fail on a new connection", "[wire]")
{
    peer_handshake first = opened();
    peer_handshake second = accepted();
    const std::string challenge = first.challenge();
    deliver(second, challenge);
    const std::string proof = deliver(first, second.challenge());
    const std::string reply = deliver(second, proof);

    peer_handshake acceptsAgain = accepted();
    deliver(acceptsAgain, challenge);
    deliver(acceptsAgain, proof);
    CHECK(m_fault == wire_fault::authentication_failed);
    CHECK_FALSE(acceptsAgain.isComplete());

    peer_handshake opensAgain = opened();
    deliver(opensAgain, second.challenge());
    deliver(opensAgain, reply);
    CHECK_FALSE(opensAgain.isComplete());
}

// Guards against reflection: a peer without the key that sends the VM's own messages back to it.
TEST_CASE_METHOD(handshake_fixture, "handshake, own messages reflected, fails", "[wire]")
{
    peer_handshake first = opened("shared", std::nullopt);
    CHECK(deliver(first, first.challenge()).empty());
    CHECK(m_fault == wire_fault::wrong_sender);
    CHECK_FALSE(first.isComplete());
}

// Guards against sending messages to a VM that took over the address of the expected one, and against a handshake that
// can still complete after a failed step.
TEST_CASE_METHOD(handshake_fixture, "handshake, wrong VM or wrong order, fails permanently", "[wire]")
{
    peer_handshake wrongPeer = opened("shared", vm_id("vm-3"));
    deliver(wrongPeer, accepted().challenge());
    CHECK(m_fault == wire_fault::wrong_sender);

    peer_handshake first = opened();
    peer_handshake second = accepted();
    const std::string proof = deliver(first, second.challenge());
    CHECK(deliver(second, proof).empty());
    CHECK(m_fault == wire_fault::unexpected_hello);
    deliver(second, first.challenge());
    deliver(second, proof);
    CHECK_FALSE(second.isComplete());
    deliver(second, "not a hello");
    CHECK(m_fault == wire_fault::malformed);
}
