#include "daemon/CallFrames.h"

#include "wire/Frames_generated.h"

#include <algorithm>
#include <cmath>

namespace shallot {

namespace {

std::vector<std::unique_ptr<wire::HeaderT>> packHeaders(const HTTPHeaders& headers)
{
    std::vector<std::unique_ptr<wire::HeaderT>> packed;
    packed.reserve(headers.size());
    for (const auto& [name, value] : headers) {
        auto header = std::make_unique<wire::HeaderT>();
        header->name = name;
        header->value = value;
        packed.push_back(std::move(header));
    }
    return packed;
}

HTTPHeaders unpackHeaders(std::vector<std::unique_ptr<wire::HeaderT>>& packed)
{
    HTTPHeaders headers;
    headers.reserve(packed.size());
    for (auto& header : packed) {
        if (header && isSafeHeader(header->name, header->value))
            headers.emplace_back(std::move(header->name), std::move(header->value));
    }
    return headers;
}

} // namespace

wire::FrameT makeCallFrame(uint64_t id, const RequestContext& context, const std::string& service, const HTTPRequest& request)
{
    wire::CallT call;
    call.id = id;
    call.request_high = context.id.high;
    call.request_low = context.id.low;
    call.organisation = context.organisation;
    call.route = context.route;
    call.service = service;
    call.priority = context.priority;
    call.score = context.score;
    call.remaining_us = static_cast<uint64_t>(std::max<int64_t>(0, context.remaining.count()));
    call.retry_tokens = context.retryTokens;
    call.hops = context.hops;
    call.idempotent = context.idempotent;
    call.method = request.method;
    call.target = request.target;
    call.headers = packHeaders(request.headers);
    call.body.assign(request.body.begin(), request.body.end());
    wire::FrameT frame;
    frame.body.Set(std::move(call));
    return frame;
}

wire::FrameT makeAnswerFrame(uint64_t id, const CallOutcome& outcome)
{
    wire::AnswerT answer;
    answer.id = id;
    answer.retry_tokens = outcome.retryTokens;
    answer.level = outcome.level;
    if (outcome.response) {
        answer.status = outcome.response->status;
        answer.headers = packHeaders(outcome.response->headers);
        answer.body.assign(outcome.response->body.begin(), outcome.response->body.end());
    } else {
        answer.error = static_cast<uint8_t>(outcome.response.error().kind);
        answer.detail = outcome.response.error().detail;
        answer.retry_after_us = static_cast<uint64_t>(outcome.response.error().retryAfter.count());
    }
    wire::FrameT frame;
    frame.body.Set(std::move(answer));
    return frame;
}

wire::FrameT makeCancelFrame(uint64_t id)
{
    wire::CancelT cancel;
    cancel.id = id;
    wire::FrameT frame;
    frame.body.Set(cancel);
    return frame;
}

RequestContext readContext(const wire::CallT& call)
{
    RequestContext context;
    context.id = { call.request_high, call.request_low };
    context.organisation = call.organisation;
    context.route = call.route;
    context.priority = std::min<uint8_t>(call.priority, queueClasses - 1);
    context.score = std::isfinite(call.score) ? std::clamp(call.score, 0.0F, static_cast<float>(priorityClasses)) : 0;
    constexpr uint64_t maximumRemainingUs = 600'000'000;
    context.remaining = Duration(static_cast<int64_t>(std::min(call.remaining_us, maximumRemainingUs)));
    context.retryTokens = call.retry_tokens;
    context.hops = call.hops;
    context.idempotent = call.idempotent;
    return context;
}

HTTPRequest readRequest(wire::CallT& call)
{
    return { std::move(call.method), std::move(call.target), unpackHeaders(call.headers),
        std::string(call.body.begin(), call.body.end()) };
}

CallOutcome readOutcome(wire::AnswerT& answer)
{
    const float level = std::isfinite(answer.level) ? std::clamp(answer.level, 0.0F, static_cast<float>(priorityClasses)) : 0;
    constexpr uint16_t leastStatus = 100;
    constexpr uint16_t greatestStatus = 599;
    if (!answer.error && (answer.status < leastStatus || answer.status > greatestStatus)) {
        return { fail(ErrorKind::BadResponse, "the status " + std::to_string(answer.status) + " belongs to no response"),
            answer.retry_tokens, level };
    }
    if (!answer.error) {
        return { HTTPResponse {
                     answer.status, unpackHeaders(answer.headers), std::string(answer.body.begin(), answer.body.end()) },
            answer.retry_tokens, level };
    }
    const auto kind = errorInfo(static_cast<ErrorKind>(answer.error)).kind;
    return { tl::unexpected(Error { kind, std::move(answer.detail), Duration(static_cast<int64_t>(answer.retry_after_us)) }),
        answer.retry_tokens, level };
}

} // namespace shallot
