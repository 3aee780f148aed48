#include <quarantine/quarantine.h>

#include <xxhash.h>

#include <array>
#include <cstdio>
#include <memory>

namespace chivelock {

namespace {

struct state_deleter {
    void operator()(XXH3_state_t *state) const
    {
        XXH3_freeState(state);
    }
};

/** Hashes the part with its length, so that moving bytes from one part to the next changes the digest. */
void addPart(XXH3_state_t &state, std::string_view part)
{
    const std::uint64_t length = part.size();
    XXH3_64bits_update(&state, &length, sizeof length);
    XXH3_64bits_update(&state, part.data(), part.size());
}

} // namespace

request_fingerprint fingerprintOf(const request_identity &request)
{
    const std::unique_ptr<XXH3_state_t, state_deleter> state(XXH3_createState());
    XXH3_64bits_reset(state.get());
    for (const std::string_view part : {request.host, request.method, request.target, request.body}) {
        addPart(*state, part);
    }
    return {XXH3_64bits(request.caller.data(), request.caller.size()), XXH3_64bits_digest(state.get())};
}

std::string toString(const request_fingerprint &key)
{
    std::array<char, 40> text {};
    const int length = std::snprintf(text.data(),
                                     text.size(),
                                     "%016llx.%016llx",
                                     static_cast<unsigned long long>(key.caller),
                                     static_cast<unsigned long long>(key.content));
    return {text.data(), static_cast<std::size_t>(length)};
}

} // namespace chivelock
