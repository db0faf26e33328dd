#pragma once

#include "mesh/MeshCall.h"
#include "mesh/MeshMember.h"

#include <optional>
#include <vector>

namespace shallot {

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

// News of the member list between two offsets; without members the receiver learns only that there are some.
void addMembers(wire::RecordsT&, const std::optional<std::vector<MeshMember>>&, uint64_t from, uint64_t next);
std::vector<MeshMember> readMembers(const wire::RecordsT&);

// What calls and answers have in common, for the compression of frames: both ends make the same.
std::string meshFrameDictionary();

} // namespace shallot
