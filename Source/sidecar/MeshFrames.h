#pragma once

#include "mesh/MeshCall.h"

#include <string>

namespace shallot {

struct MemberUpdate;

namespace wire {
struct AnswerT;
struct CallT;
struct FrameT;
struct GossipT;
struct RecordsT;
} // namespace wire

// Calls, answers and member states of the mesh in the form that the peer link carries.
wire::FrameT makeMeshCallFrame(uint64_t id, const MeshCall&);
wire::FrameT makeMeshAnswerFrame(uint64_t id, const MeshOutcome&);
MeshCall readMeshCall(wire::CallT&);
MeshOutcome readMeshOutcome(wire::AnswerT&);

// What is new in the member list, within a frame that carries records.
void addMemberUpdate(wire::RecordsT&, const MemberUpdate&);
MemberUpdate readMemberUpdate(const wire::RecordsT&);

// What calls and answers have in common, for the compression of frames: both ends make the same.
std::string meshFrameDictionary();

} // namespace shallot
