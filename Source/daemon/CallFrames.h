#pragma once

#include "core/RequestContext.h"
#include "daemon/CallOutcome.h"

#include <memory>

namespace shallot {

namespace wire {
struct AnswerT;
struct CallT;
struct FrameT;
} // namespace wire

// Conversion of calls and their outcomes to and from frames of the peer link. Values out of range are clamped when read.
wire::FrameT makeCallFrame(uint64_t id, const RequestContext&, const std::string& service, const HTTPRequest&);
wire::FrameT makeAnswerFrame(uint64_t id, const CallOutcome&);
wire::FrameT makeCancelFrame(uint64_t id);

RequestContext readContext(const wire::CallT&);
HTTPRequest readRequest(wire::CallT&);
CallOutcome readOutcome(wire::AnswerT&);

} // namespace shallot
