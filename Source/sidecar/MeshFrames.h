#pragma once

#include "mesh/MeshCall.h"
#include "mesh/ServedCalls.h"
#include "mesh/ZoneEvacuations.h"

#include <memory>
#include <span>
#include <string>
#include <vector>

namespace shallot {

struct CrashSuspect;
struct MemberUpdate;

namespace wire {
struct AnswerT;
struct CallT;
struct CrashSuspectT;
struct FrameT;
struct GossipT;
struct MemberStateT;
struct RecordsT;
} // namespace wire

// Conversion between the mesh's calls, outcomes and member updates and the frames of the peer link.
wire::FrameT makeMeshCallFrame(uint64_t id, const MeshCall&);
wire::FrameT makeMeshAnswerFrame(uint64_t id, const MeshOutcome&);
wire::FrameT makeCallQueryFrame(uint64_t id, uint64_t boot);
wire::FrameT makeCallStateFrame(uint64_t id, ServedCallState);
MeshCall readMeshCall(wire::CallT&);
MeshOutcome readMeshOutcome(wire::AnswerT&);

std::unique_ptr<wire::CrashSuspectT> packCrashSuspect(const CrashSuspect&);
// Leaves out records with an impossible time.
std::vector<CrashSuspect> readCrashSuspects(std::span<const std::unique_ptr<wire::CrashSuspectT>>);

// The load of the member's backend server, which its state carries.
void addReport(wire::MemberStateT&, const EndpointReport&);
EndpointReport readReport(const wire::MemberStateT&);

// Changes of the member list within a frame of records.
void addEvacuations(wire::RecordsT&, const ZoneEvacuations&);
ZoneEvacuations::Zones readEvacuations(const wire::RecordsT&);
void addMemberUpdate(wire::RecordsT&, const MemberUpdate&);
MemberUpdate readMemberUpdate(const wire::RecordsT&);

// Typical content of call and answer frames, as a compression dictionary; must be identical on both ends of a link.
std::string meshFrameDictionary();

} // namespace shallot
