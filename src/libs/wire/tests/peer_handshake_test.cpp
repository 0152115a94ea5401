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

    /// Payload to send next; empty for none or when the payload was refused, with the fault in m_fault.
    std::string pass(peer_handshake &receiver, const std::string &payload)
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
    CHECK(pass(second, first.challenge()).empty());
    const std::string proof = pass(first, second.challenge());
    CHECK_FALSE(first.isComplete());
    const std::string reply = pass(second, proof);
    CHECK(second.isComplete());
    CHECK(pass(first, reply).empty());
    CHECK(first.isComplete());
    CHECK((second.peer().id == vm_id("vm-1") && second.peer().incarnation == 11));
    CHECK((first.peer().id == vm_id("vm-2") && first.peer().incarnation == 22));
    CHECK_FALSE(m_fault);
}

// Guards against a stranger that is taken for a peer, and against an unset key that lets everyone in.
TEST_CASE_METHOD(handshake_fixture, "handshake, other or empty key, fails on both sides", "[wire]")
{
    peer_handshake first = opened("guess");
    peer_handshake second = accepted();
    pass(second, first.challenge());
    CHECK(pass(second, pass(first, second.challenge())).empty());
    CHECK(m_fault == wire_fault::authentication_failed);
    CHECK_FALSE(second.isComplete());

    peer_handshake third = opened("");
    CHECK(pass(third, accepted("").challenge()).empty());
    CHECK_FALSE(third.isComplete());
}

// Guards against entering with the recorded messages of an earlier connection.
TEST_CASE_METHOD(handshake_fixture, "handshake, recorded messages, fail on a new connection", "[wire]")
{
    peer_handshake first = opened();
    peer_handshake second = accepted();
    const std::string challenge = first.challenge();
    pass(second, challenge);
    const std::string proof = pass(first, second.challenge());
    const std::string reply = pass(second, proof);

    peer_handshake acceptsAgain = accepted();
    pass(acceptsAgain, challenge);
    pass(acceptsAgain, proof);
    CHECK(m_fault == wire_fault::authentication_failed);
    CHECK_FALSE(acceptsAgain.isComplete());

    peer_handshake opensAgain = opened();
    pass(opensAgain, second.challenge());
    pass(opensAgain, reply);
    CHECK_FALSE(opensAgain.isComplete());
}

// Guards against a stranger that sends a VM's own messages back to it.
TEST_CASE_METHOD(handshake_fixture, "handshake, own messages reflected, fails", "[wire]")
{
    peer_handshake first = opened("shared", std::nullopt);
    CHECK(pass(first, first.challenge()).empty());
    CHECK(m_fault == wire_fault::wrong_sender);
    CHECK_FALSE(first.isComplete());
}

// Guards against messages for one VM that reach another which took over its address, and against a state that a
// failed step leaves usable.
TEST_CASE_METHOD(handshake_fixture, "handshake, wrong VM or wrong order, fails for good", "[wire]")
{
    peer_handshake wrongPeer = opened("shared", vm_id("vm-3"));
    pass(wrongPeer, accepted().challenge());
    CHECK(m_fault == wire_fault::wrong_sender);

    peer_handshake first = opened();
    peer_handshake second = accepted();
    const std::string proof = pass(first, second.challenge());
    CHECK(pass(second, proof).empty());
    CHECK(m_fault == wire_fault::unexpected_hello);
    pass(second, first.challenge());
    pass(second, proof);
    CHECK_FALSE(second.isComplete());
    pass(second, "not a hello");
    CHECK(m_fault == wire_fault::malformed);
}
