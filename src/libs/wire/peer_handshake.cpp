#include "wire/peer_handshake.h"

#include "base/digest.h"
#include "wire/buffer_checks.h"
#include "wire/envelope_codec.h"
#include "wire/envelope_generated.hpp"
#include "wire/name_list.h"

#include <openssl/rand.h>

#include <stdexcept>

namespace crocuslane {

namespace {

constexpr std::size_t nonceBytes = 32;
constexpr const char *helloIdentifier = "CLHE";
constexpr std::string_view proofContext = "crocuslane peer hello 1";

std::string encodeHello(wire::hello_step step, const peer_identity &sender, const std::string &content)
{
    flatbuffers::FlatBufferBuilder builder;
    const auto senderText = builder.CreateString(sender.id.value());
    const auto contentText = builder.CreateString(content);
    builder.Finish(wire::Createhello(builder, wireProtocolVersion, step, senderText, sender.incarnation, contentText),
                   helloIdentifier);
    return {reinterpret_cast<const char *>(builder.GetBufferPointer()), builder.GetSize()};
}

leaf::result<std::optional<std::string>> failure(wire_fault fault, std::string detail)
{
    return leaf::new_error(wire_error{fault, std::move(detail)});
}

// The length prefix ensures that different lists of fields give different texts.
void appendField(std::string &text, std::string_view field)
{
    text += std::to_string(field.size());
    text += ':';
    text += field;
}

void appendIdentity(std::string &text, const peer_identity &identity, std::string_view nonce)
{
    appendField(text, identity.id.value());
    appendField(text, std::to_string(identity.incarnation));
    appendField(text, nonce);
}

connection_side otherSide(connection_side side)
{
    return side == connection_side::opened ? connection_side::accepted : connection_side::opened;
}

} // namespace

std::string makeHandshakeNonce()
{
    std::string nonce(nonceBytes, '\0');
    if (RAND_bytes(reinterpret_cast<unsigned char *>(nonce.data()), static_cast<int>(nonce.size())) != 1) {
        throw std::runtime_error("cannot generate random bytes for the handshake nonce");
    }
    return nonce;
}

peer_handshake::peer_handshake(
    connection_side side, peer_identity self, std::string key, std::string nonce, std::optional<vm_id> expectedPeer)
    : m_side(side)
    , m_self(std::move(self))
    , m_key(std::move(key))
    , m_nonce(std::move(nonce))
    , m_expectedPeer(std::move(expectedPeer))
{
}

std::string peer_handshake::challenge() const
{
    return encodeHello(wire::hello_step::challenge, m_self, m_nonce);
}

bool peer_handshake::isComplete() const
{
    return m_phase == phase::complete;
}

const peer_identity &peer_handshake::peer() const
{
    return m_peer;
}

leaf::result<std::optional<std::string>> peer_handshake::receive(std::string_view payload)
{
    leaf::result<std::optional<std::string>> reply = receiveNext(payload);
    if (!reply) {
        m_phase = phase::failed;
    }
    return reply;
}

leaf::result<std::optional<std::string>> peer_handshake::receiveNext(std::string_view payload)
{
    BOOST_LEAF_AUTO(hello, verified_buffer<wire::hello>::make(payload, helloIdentifier));
    if (hello->protocol_version() != wireProtocolVersion) {
        return failure(wire_fault::wrong_protocol_version, "version=" + std::to_string(hello->protocol_version()));
    }
    if (!isValidUtf8(hello->sender()->string_view())) {
        return failure(wire_fault::invalid_value, "sender id is not UTF-8");
    }
    const peer_identity sender{vm_id(hello->sender()->str()), hello->incarnation()};
    const std::string content = hello->content()->str();

    if (m_phase == phase::awaiting_challenge && hello->step() == wire::hello_step::challenge) {
        if (auto checked = acceptChallenge(sender, content); !checked) {
            return checked.error();
        }
        m_phase = phase::awaiting_proof;
        if (m_side == connection_side::accepted) {
            return std::nullopt;
        }
        return std::optional(proofMessage());
    }
    if (m_phase == phase::awaiting_proof && hello->step() == wire::hello_step::proof) {
        if (sender.id != m_peer.id || sender.incarnation != m_peer.incarnation) {
            return failure(wire_fault::wrong_sender, "proof and challenge have different senders");
        }
        if (m_key.empty() || !equalConstantTime(content, proof(otherSide(m_side)))) {
            return failure(wire_fault::authentication_failed, "proof does not match");
        }
        m_phase = phase::complete;
        if (m_side == connection_side::opened) {
            return std::nullopt;
        }
        // Sent only after the peer is authenticated: an unauthenticated peer gets nothing that depends on the key.
        return std::optional(proofMessage());
    }
    return failure(wire_fault::unexpected_hello, "step=" + std::to_string(static_cast<int>(hello->step())));
}

leaf::result<void> peer_handshake::acceptChallenge(const peer_identity &sender, std::string_view nonce)
{
    if (m_key.empty()) {
        return leaf::new_error(wire_error{wire_fault::authentication_failed, "no shared key is set"});
    }
    if (nonce.size() != nonceBytes) {
        return leaf::new_error(wire_error{wire_fault::invalid_value, "nonce has the wrong length"});
    }
    if (sender.id.isEmpty() || sender.id == m_self.id) {
        return leaf::new_error(wire_error{wire_fault::wrong_sender, "peer has an empty id or the id of this VM"});
    }
    if (m_expectedPeer && sender.id != *m_expectedPeer) {
        return leaf::new_error(wire_error{wire_fault::wrong_sender, "peer=" + sender.id.value()});
    }
    m_peer = sender;
    m_peerNonce = nonce;
    return {};
}

std::string peer_handshake::proof(connection_side prover) const
{
    const bool openedBySelf = m_side == connection_side::opened;
    std::string text;
    appendField(text, proofContext);
    appendField(text, prover == connection_side::opened ? "opened" : "accepted");
    appendIdentity(text, openedBySelf ? m_self : m_peer, openedBySelf ? m_nonce : m_peerNonce);
    appendIdentity(text, openedBySelf ? m_peer : m_self, openedBySelf ? m_peerNonce : m_nonce);
    return hmacSha256Hex(m_key, text);
}

std::string peer_handshake::proofMessage() const
{
    return encodeHello(wire::hello_step::proof, m_self, proof(m_side));
}

} // namespace crocuslane
