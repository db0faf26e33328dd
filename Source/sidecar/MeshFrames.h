#pragma once

#include "mesh/MeshCall.h"
#include "mesh/MeshMember.h"

namespace shallot {

namespace wire {
struct AnswerT;
struct CallT;
struct FrameT;
struct GossipT;
} // namespace wire

// Calls, answers and member states of the mesh in the form that the peer link carries.
wire::FrameT makeMeshCallFrame(uint64_t id, const MeshCall&);
wire::FrameT makeMeshAnswerFrame(uint64_t id, const MeshOutcome&);
MeshCall readMeshCall(wire::CallT&);
MeshOutcome readMeshOutcome(wire::AnswerT&);

// What calls and answers have in common, for the compression of frames: both ends make the same.
std::string meshFrameDictionary();

} // namespace shallot
