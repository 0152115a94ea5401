#pragma once

#include "kernel/types.h"
#include "wire/wire_error.h"

#include <optional>
#include <string>
#include <string_view>

namespace crocuslane {

/// A process that is an entry VM's end of a connection.
struct peer_identity {
    vm_id id;
    std::uint64_t incarnation = 0;
};

enum class connection_side {
    opened,
    accepted,
};

/// 32 unpredictable bytes from the cryptographic generator, for one handshake.
std::string makeHandshakeNonce();

/// Hello messages at the start of a connection, by which both sides prove that they know the shared key. Each side
/// sends a challenge with a nonce of its own; the side that opened the connection proves first. A proof covers both
/// nonces, both identities and the side, so that a recorded or a reflected one proves nothing.
class peer_handshake
{
public:
    /// @p expectedPeer is the VM that a connection was opened to. With an empty @p key every handshake fails.
    peer_handshake(connection_side side,
                   peer_identity self,
                   std::string key,
                   std::string nonce,
                   std::optional<vm_id> expectedPeer = std::nullopt);

    /// Payload of the frame to send as soon as the connection is established.
    std::string challenge() const;
    /// Takes the payload of a received frame; gives the payload of the frame to send next, if any. Fails with
    /// wire_error, then and on every later call.
    leaf::result<std::optional<std::string>> receive(std::string_view payload);
    /// True once the peer has proved itself; frames after that carry envelopes.
    bool isComplete() const;
    /// Valid once isComplete().
    const peer_identity &peer() const;

private:
    enum class state {
        awaiting_challenge,
        awaiting_proof,
        complete,
        failed,
    };

    leaf::result<std::optional<std::string>> receiveNext(std::string_view payload);
    leaf::result<void> takeChallenge(const peer_identity &sender, std::string_view nonce);
    std::string proof(connection_side prover) const;
    std::string proofMessage() const;

    connection_side m_side;
    peer_identity m_self;
    std::string m_key;
    std::string m_nonce;
    std::optional<vm_id> m_expectedPeer;
    state m_state = state::awaiting_challenge;
    peer_identity m_peer;
    std::string m_peerNonce;
};

} // namespace crocuslane
