/**
 * @file
 * Fuzzes the response reader, fed in pieces: it keeps a bounded number of bytes, and it ends a response that goes on.
 * The first byte of the input chooses the size of the pieces. The last bytes are repeated, so that every response goes
 * on beyond all bounds.
 */

#include <http1/http1.h>

#include <sanitizer/allocator_interface.h>

#include <algorithm>

namespace {

using namespace chivelock;

constexpr std::size_t maxBodyBytes = 4096;
constexpr std::size_t maxKeptBytes = 262144; // twice the largest body, head, interim responses and framing, and space
constexpr std::size_t endlessBytes = 262144; // above the largest response
constexpr std::size_t repeatedBytes = 64;
constexpr std::size_t burstBytes = 4096;

class bounded_response
{
public:
    bounded_response()
        : m_allocatedBefore(__sanitizer_get_current_allocated_bytes())
    {
        m_reader.expect(false, maxBodyBytes);
    }

    void feed(std::string_view bytes)
    {
        m_input += bytes;
        m_state = m_reader.feed(m_input);
        require(__sanitizer_get_current_allocated_bytes() <= m_allocatedBefore + maxKeptBytes,
                "the reader keeps a bounded number of bytes");
    }

    [[nodiscard]] bool needsMore() const
    {
        return m_state == read_state::NeedMore;
    }

    void takeIfComplete()
    {
        if (m_state != read_state::Complete) {
            return;
        }
        const http_response response = m_reader.take();
        require(response.body.size() <= maxBodyBytes, "a body is at most as long as its limit");
    }

private:
    std::size_t m_allocatedBefore;
    response_reader m_reader;
    std::string m_input;
    read_state m_state = read_state::NeedMore;
};

void feedInPieces(bounded_response &response, std::string_view text, std::size_t pieceBytes)
{
    for (std::size_t at = 0; at < text.size() && response.needsMore(); at += pieceBytes) {
        response.feed(text.substr(at, pieceBytes));
    }
}

void feedWithoutEnd(bounded_response &response, std::string_view text)
{
    const std::string_view last = text.substr(text.size() - std::min(text.size(), repeatedBytes));
    std::string burst;
    while (burst.size() < burstBytes) {
        burst += last;
    }
    for (std::size_t sent = 0; sent < endlessBytes && response.needsMore(); sent += burst.size()) {
        response.feed(burst);
    }
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    if (size < 2) {
        return 0;
    }
    const std::size_t pieceBytes = std::size_t {data[0]} + 1;
    const std::string_view text(reinterpret_cast<const char *>(data) + 1, size - 1);
    bounded_response response;
    feedInPieces(response, text, pieceBytes);
    feedWithoutEnd(response, text);
    require(!response.needsMore(), "a response that goes on is ended");
    response.takeIfComplete();
    return 0;
}
