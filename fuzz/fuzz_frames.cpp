/** @file Bytes of a peer: whatever they are, they are refused or read, never read outside. */

#include <wire/wire.h>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    using namespace chivelock;
    const std::span bytes(data, size);
    const auto direct = decodePayload(bytes);
    if (direct) {
        // What was read must be written and read again.
        const std::string frame = encodeFrame(direct->from, direct->message);
        const std::span written(reinterpret_cast<const std::uint8_t *>(frame.data()), frame.size());
        require(decodePayload(written.subspan(framePrefixBytes)).has_value(),
                "a message that was read can be passed on");
    }
    frame_reader reader;
    reader.append(bytes);
    for (auto payload = reader.next(); payload && *payload; payload = reader.next()) {
        (void)decodePayload(**payload);
    }
    return 0;
}
