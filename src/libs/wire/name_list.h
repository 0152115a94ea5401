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

/// Collects the ids of one message, each once: demand and use name the same groups and runners for every VM.
class name_list_writer
{
public:
    /// Index of @p name. Fails with wire_error when it is longer than 65,535 bytes or the list is full.
    leaf::result<std::uint16_t> add(const std::string &name);
    flatbuffers::Offset<wire::name_list> write(flatbuffers::FlatBufferBuilder &builder) const;

private:
    std::unordered_map<std::string, std::uint16_t> m_indexes;
    std::vector<std::uint16_t> m_lengths;
    std::string m_text;
};

class name_list_reader
{
public:
    /// @p list must outlive the reader.
    static leaf::result<name_list_reader> make(const wire::name_list &list);
    leaf::result<std::string> at(std::size_t index) const;

private:
    std::vector<std::string_view> m_names;
};

} // namespace crocuslane
