#pragma once

#include <pistache/http.h>

#include <utility>

namespace chivelock::standin {

/** Passes each request to the server object, which outlives the endpoint. */
template<typename server>
class forwarding_handler : public Pistache::Http::Handler
{
public:
    HTTP_PROTOTYPE(forwarding_handler)

    explicit forwarding_handler(server *target)
        : m_target(target)
    {
    }

    void onRequest(const Pistache::Http::Request &request, Pistache::Http::ResponseWriter response) override
    {
        m_target->handle(request, std::move(response));
    }

private:
    server *m_target;
};

} // namespace chivelock::standin
