#include "wire/name_list.h"

#include "wire/frame_codec.h"

#include <boost/locale/utf.hpp>

#include <limits>

namespace crocuslane {

namespace {

// A writer starts a new list when the current one exceeds these limits. As it checks them between messages only, a
// reader must accept up to one frame more.
constexpr std::size_t resetNameCount = 20'000;
constexpr std::size_t resetNameBytes = std::size_t{1} << 20;
constexpr std::size_t maximumReceivedBytes = resetNameBytes + maximumFrameBytes;

leaf::error_id invalidValue(std::string detail)
{
    return leaf::new_error(wire_error{wire_fault::invalid_value, std::move(detail)});
}

} // namespace

bool isValidUtf8(std::string_view text)
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

void name_list_writer::beginMessage()
{
    if (m_numbers.size() > resetNameCount || m_bytes > resetNameBytes) {
        reset();
    }
    m_firstNumber = static_cast<std::uint16_t>(m_numbers.size());
    m_lengths.clear();
    m_text.clear();
}

leaf::result<std::uint16_t> name_list_writer::add(const std::string &name)
{
    constexpr std::size_t maximum = std::numeric_limits<std::uint16_t>::max();
    const auto found = m_numbers.find(name);
    if (found != m_numbers.end()) {
        return found->second;
    }
    if (name.size() > maximum || m_numbers.size() >= maximum) {
        return invalidValue("id is too long, or there are too many ids");
    }
    const auto number = static_cast<std::uint16_t>(m_numbers.size());
    m_numbers.emplace(name, number);
    m_bytes += name.size();
    m_lengths.push_back(static_cast<std::uint16_t>(name.size()));
    m_text += name;
    return number;
}

flatbuffers::Offset<wire::name_list> name_list_writer::write(flatbuffers::FlatBufferBuilder &builder) const
{
    const auto lengths = builder.CreateVector(m_lengths);
    const auto text = builder.CreateString(m_text);
    return wire::Createname_list(builder, m_firstNumber, lengths, text);
}

void name_list_writer::reset()
{
    m_numbers.clear();
    m_bytes = 0;
}

leaf::result<void> name_list_reader::append(const wire::name_list &list)
{
    if (list.first() == 0) {
        m_names.clear();
        m_bytes = 0;
    }
    if (list.first() != m_names.size()) {
        return invalidValue("first number of the new names is not the next free one");
    }
    const std::string_view text = list.text()->string_view();
    m_bytes += text.size();
    if (m_bytes > maximumReceivedBytes) {
        return invalidValue("too many names");
    }
    std::size_t position = 0;
    for (const std::uint16_t length : *list.lengths()) {
        if (length > text.size() - position || m_names.size() >= std::numeric_limits<std::uint16_t>::max()) {
            return invalidValue("names are longer than their text, or there are too many");
        }
        const std::string_view name = text.substr(position, length);
        if (!isValidUtf8(name)) {
            return invalidValue("name is not UTF-8");
        }
        m_names.emplace_back(name);
        position += length;
    }
    return {};
}

leaf::result<std::string> name_list_reader::at(std::size_t number) const
{
    if (number >= m_names.size()) {
        return invalidValue("name number is out of range");
    }
    return m_names[number];
}

} // namespace crocuslane
