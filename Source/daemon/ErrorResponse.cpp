#include "daemon/ErrorResponse.h"

#include "core/JSON.h"

namespace shallot {

namespace {

constexpr auto defaultRetryAfter = std::chrono::seconds(1);

} // namespace

HTTPResponse makeErrorResponse(const Error& error)
{
    const auto& info = errorInfo(error.kind);
    HTTPResponse response;
    response.status = static_cast<uint16_t>(info.httpStatus);
    response.headers = {
        { "Content-Type", "application/json" },
        { "X-Shallot-Error", std::string(info.name) },
        { "X-Shallot-Ran", std::string(toString(info.execution)) },
    };
    JSONWriter writer;
    writer.beginObject().add("error", info.name).add("sentence", info.message).add("detail", error.detail);
    writer.add("ran", toString(info.execution)).add("retryable", info.retryable);
    if (info.retryable) {
        const Duration wait = error.retryAfter > Duration::zero() ? error.retryAfter : Duration(defaultRetryAfter);
        const int64_t milliseconds = std::max<int64_t>(1, wait.count() / 1000);
        writer.add("retryAfterMs", milliseconds);
        response.headers.emplace_back("Retry-After", std::to_string((milliseconds + 999) / 1000));
    }
    writer.endObject();
    response.body = writer.finish();
    return response;
}

} // namespace shallot
