#pragma once

#include "mesh/EndpointLeave.h"

#include <string>

namespace shallot {

// One daemon of the mesh, as the member list names it.
struct MeshMember {
    std::string name;
    std::string zone;
    std::string address;     // Peer links
    std::string service;     // Of the backend server beside it
    EndpointLeave lastLeave; // Of the backend servers beside it
};

} // namespace shallot
