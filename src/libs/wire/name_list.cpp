#include "wire/name_list.h"

#include <boost/locale/utf.hpp>

#include <limits>

namespace crocuslane {

namespace {

leaf::error_id invalidValue(std::string detail)
{
    return leaf::new_error(wire_error{wire_fault::invalid_value, std::move(detail)});
}

} // namespace

bool isValidText(std::string_view text)
{
    namespace utf = boost::locale::utf;
    const char *position = text.data();
    const char *const end = position + text.size();
    while (position != end) {
        const utf::code_point point = utf::utf_traits<char>::decode(position, end);
        if (point == utf::illegal || point == utf::incomplete) {
            return false;
        }
    }
    return true;
}

leaf::result<std::uint16_t> name_list_writer::add(const std::string &name)
{
    constexpr std::size_t maximum = std::numeric_limits<std::uint16_t>::max();
    const auto found = m_indexes.find(name);
    if (found != m_indexes.end()) {
        return found->second;
    }
    if (name.size() > maximum || m_lengths.size() >= maximum) {
        return invalidValue("id is too long or there are too many");
    }
    const auto index = static_cast<std::uint16_t>(m_lengths.size());
    m_indexes.emplace(name, index);
    m_lengths.push_back(static_cast<std::uint16_t>(name.size()));
    m_text += name;
    return index;
}

flatbuffers::Offset<wire::name_list> name_list_writer::write(flatbuffers::FlatBufferBuilder &builder) const
{
    const auto lengths = builder.CreateVector(m_lengths);
    const auto text = builder.CreateString(m_text);
    return wire::Createname_list(builder, lengths, text);
}

leaf::result<name_list_reader> name_list_reader::make(const wire::name_list &list)
{
    name_list_reader reader;
    const std::string_view text = list.text()->string_view();
    std::size_t position = 0;
    for (const std::uint16_t length : *list.lengths()) {
        if (length > text.size() - position) {
            return invalidValue("names are longer than their text");
        }
        const std::string_view name = text.substr(position, length);
        if (!isValidText(name)) {
            return invalidValue("name is not UTF-8");
        }
        reader.m_names.push_back(name);
        position += length;
    }
    return reader;
}

leaf::result<std::string> name_list_reader::at(std::size_t index) const
{
    if (index >= m_names.size()) {
        return invalidValue("index of a name is out of range");
    }
    return std::string(m_names[index]);
}

} // namespace crocuslane
