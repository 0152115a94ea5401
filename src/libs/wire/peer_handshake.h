#pragma once

#include "kernel/types.h"
#include "wire/wire_error.h"

#include <optional>
#include <string>
#include <string_view>

namespace crocuslane {

/// Identity of an entry VM process at one end of a connection.
struct peer_identity {
    vm_id id;
    std::uint64_t incarnation = 0;
};

/// Whether a process opened a connection or accepted it.
enum class connection_side {
    opened,
    accepted,
};

/// 32 bytes from the cryptographic random generator, for one handshake.
std::string makeHandshakeNonce();

/// Mutual authentication at the start of a connection: with hello messages both sides prove that they have the shared
/// key. Each side sends a challenge with its own nonce; the side that opened the connection sends its proof first. A
/// proof is an HMAC over both nonces, both identities and the side, which makes replayed and reflected proofs invalid.
class peer_handshake
{
public:
    /// @p expectedPeer is the VM that the connection was opened to, if it is known. An empty @p key makes every
    /// handshake fail.
    peer_handshake(connection_side side,
                   peer_identity self,
                   std::string key,
                   std::string nonce,
                   std::optional<vm_id> expectedPeer = std::nullopt);

    /// Payload of the frame to send as soon as the connection is established.
    std::string challenge() const;
    /// Processes the payload of a received frame and returns the payload of the frame to send next, if any. Fails with
    /// wire_error; every later call fails too.
    leaf::result<std::optional<std::string>> receive(std::string_view payload);
    /// True once the peer is authenticated; the following frames contain envelopes.
    bool isComplete() const;
    /// Valid once isComplete().
    const peer_identity &peer() const;

private:
    enum class phase {
        awaiting_challenge,
        awaiting_proof,
        complete,
        failed,
    };

    leaf::result<std::optional<std::string>> receiveNext(std::string_view payload);
    leaf::result<void> acceptChallenge(const peer_identity &sender, std::string_view nonce);
    std::string proof(connection_side prover) const;
    std::string proofMessage() const;

    connection_side m_side;
    peer_identity m_self;
    std::string m_key;
    std::string m_nonce;
    std::optional<vm_id> m_expectedPeer;
    phase m_phase = phase::awaiting_challenge;
    peer_identity m_peer;
    std::string m_peerNonce;
};

} // namespace crocuslane
