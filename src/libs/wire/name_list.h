#pragma once

#include "wire/envelope_generated.hpp"
#include "wire/wire_error.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace crocuslane {

/// Whether @p text is valid UTF-8. Ids from peers are written as JSON, and the JSON library throws on invalid UTF-8.
bool isValidUtf8(std::string_view text);

/// Assigns numbers to the ids sent on a connection, so that each id is sent in full only once. Every message refers to
/// the same groups and runners; without the numbers their names would be most of its bytes.
class name_list_writer
{
public:
    /// Starts a new message.
    void beginMessage();
    /// Number of @p name, which is assigned if needed. Fails with wire_error when the name is longer than 65,535 bytes
    /// or no number is left.
    leaf::result<std::uint16_t> add(const std::string &name);
    /// Writes the names that are new in this message.
    flatbuffers::Offset<wire::name_list> write(flatbuffers::FlatBufferBuilder &builder) const;
    /// Forgets all numbers; the next message starts a new list. Needed when a message can't be sent.
    void reset();

private:
    std::unordered_map<std::string, std::uint16_t> m_numbers;
    std::size_t m_bytes = 0;
    std::uint16_t m_firstNumber = 0;
    std::vector<std::uint16_t> m_lengths;
    std::string m_text;
};

/// Resolves the numbers of the ids received on a connection.
class name_list_reader
{
public:
    /// Appends the new names of a message. Fails with wire_error when their first number isn't the next free one, or
    /// when a name is invalid.
    leaf::result<void> append(const wire::name_list &list);
    /// Name with @p number; fails with wire_error when there is none.
    leaf::result<std::string> at(std::size_t number) const;

private:
    std::vector<std::string> m_names;
    std::size_t m_bytes = 0;
};

} // namespace crocuslane
