#pragma once

#include "mesh/CrashSuspect.h"
#include "mesh/EndpointLeave.h"

#include <string>
#include <vector>

namespace shallot {

// A daemon of the mesh, as recorded in the member list.
struct MeshMember {
    std::string name;
    std::string zone;
    std::string address;                     // IP:port for links from other daemons
    std::string service;                     // Service of its backend server
    EndpointLeave lastLeave;                 // Last announced departure of a backend server of this daemon
    std::vector<CrashSuspect> crashSuspects; // Requests suspected of crashing backend servers, by this daemon's evidence
};

} // namespace shallot
