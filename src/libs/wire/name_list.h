#pragma once

#include "wire/envelope_generated.hpp"
#include "wire/wire_error.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace crocuslane {

/// Whether @p text is valid UTF-8. Ids from peers end up in JSON, whose library throws on anything else.
bool isValidText(std::string_view text);

/// Ids that were sent on a connection. Each is sent once: demand and use name the same groups and runners in every
/// message, and names would take most of its bytes.
class name_list_writer
{
public:
    /// Begins a message.
    void begin();
    /// Number of @p name. Fails with wire_error when it is longer than 65,535 bytes or a message has too many.
    leaf::result<std::uint16_t> add(const std::string &name);
    /// The names that are new in this message.
    flatbuffers::Offset<wire::name_list> write(flatbuffers::FlatBufferBuilder &builder) const;
    /// The message does not reach the other side: the next one starts anew.
    void reset();

private:
    std::unordered_map<std::string, std::uint16_t> m_numbers;
    std::size_t m_bytes = 0;
    std::uint16_t m_first = 0;
    std::vector<std::uint16_t> m_lengths;
    std::string m_text;
};

/// Ids that were received on a connection.
class name_list_reader
{
public:
    /// Takes the new names of a message. Fails with wire_error when they don't continue the earlier ones.
    leaf::result<void> take(const wire::name_list &list);
    leaf::result<std::string> at(std::size_t number) const;

private:
    std::vector<std::string> m_names;
    std::size_t m_bytes = 0;
};

} // namespace crocuslane
