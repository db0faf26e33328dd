#pragma once

#include "core/RefCounted.h"
#include "net/HTTPMessage.h"

#include <functional>
#include <memory>

typedef struct _SoupServerMessage SoupServerMessage;

namespace shallot {

// One request that this process serves. The response may be sent later; a client that disconnects first is reported once.
// An exchange that is destroyed without a response sends status 500.
class HTTPExchange : public RefCounted<HTTPExchange> {
public:
    // `closes`: whether responses close their connection, when they are sent.
    HTTPExchange(SoupServerMessage*, std::shared_ptr<const bool> closes);
    ~HTTPExchange();

    const HTTPRequest& request() const { return m_request; }
    HTTPRequest takeRequest() { return std::move(m_request); }
    // Path without the query.
    const std::string& path() const { return m_path; }
    // Sends the complete response; later calls do nothing.
    void respond(const HTTPResponse&);
    void respondJSON(uint16_t status, std::string body);
    void setDisconnectHandler(std::function<void()> handler) { m_onDisconnect = std::move(handler); }
    bool hasResponded() const { return !m_message; }

private:
    void readRequest();
    void onDisconnected();
    void release();

    SoupServerMessage* m_message { nullptr };
    std::shared_ptr<const bool> m_closes;
    HTTPRequest m_request;
    std::string m_path;
    std::function<void()> m_onDisconnect;
    unsigned long m_disconnectedHandler { 0 };
};

} // namespace shallot
