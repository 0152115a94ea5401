#include "net/block_buffer.h"

#include <algorithm>
#include <utility>

namespace crocuslane {

namespace {

constexpr std::size_t blockBytes = 16384;
// A block that holds more is given its full size at once; doubling its capacity could waste nearly half of it.
constexpr std::size_t smallBlockBytes = 4096;

void reserveWholeBlock(std::string &block)
{
    std::string reserved;
    reserved.reserve(blockBytes);
    reserved += block;
    block = std::move(reserved);
}

} // namespace

void block_buffer::append(std::string_view data)
{
    m_size += data.size();
    while (!data.empty()) {
        if (m_blocks.empty() || m_blocks.back().size() >= blockBytes) {
            m_blocks.emplace_back();
        }
        std::string &last = m_blocks.back();
        const std::string_view added = data.substr(0, blockBytes - last.size());
        const std::size_t newSize = last.size() + added.size();
        if (newSize > smallBlockBytes && last.capacity() < newSize) {
            reserveWholeBlock(last);
        }
        last += added;
        data.remove_prefix(added.size());
    }
}

std::size_t block_buffer::read(char *target, std::size_t size)
{
    std::size_t count = 0;
    while (count < size && m_size > 0) {
        const std::string &first = m_blocks.front();
        const std::size_t taken = std::min(size - count, first.size() - m_readBytes);
        std::copy_n(first.data() + m_readBytes, taken, target + count);
        count += taken;
        m_readBytes += taken;
        m_size -= taken;
        if (m_readBytes == first.size()) {
            m_blocks.pop_front();
            m_readBytes = 0;
        }
    }
    return count;
}

void block_buffer::clear()
{
    m_blocks.clear();
    m_readBytes = 0;
    m_size = 0;
}

std::size_t block_buffer::size() const
{
    return m_size;
}

} // namespace crocuslane
