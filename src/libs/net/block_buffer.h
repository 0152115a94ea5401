#pragma once

#include <cstddef>
#include <deque>
#include <string>
#include <string_view>

namespace crocuslane {

/// Queue of bytes that takes little more memory than it has bytes, and gives back what was read.
class block_buffer
{
public:
    void append(std::string_view data);
    /// Moves up to @p size bytes to @p target and returns how many.
    std::size_t read(char *target, std::size_t size);
    void clear();
    std::size_t size() const;

private:
    std::deque<std::string> m_blocks;
    /// Bytes of the first block that were read.
    std::size_t m_readBytes = 0;
    std::size_t m_size = 0;
};

} // namespace crocuslane
