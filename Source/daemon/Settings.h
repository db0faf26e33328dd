#pragma once

#include "core/Error.h"
#include "membership/GossipTable.h"
#include "net/HTTPServer.h"
#include "net/SocketAddress.h"
#include "policy/PolicySettings.h"

#include <string>
#include <vector>

namespace shallot {

// Settings of shallotd, read from flags and environment variables; see readSettings().
struct Settings {
    std::string name { "shallot" };              // Instance name, for logs and membership
    std::string zone { "zone-a" };               // Availability zone
    SocketAddress ingress { "127.0.0.1", 8080 }; // For callers
    SocketAddress egress { "127.0.0.1", 8081 };  // For announcements and nested calls of the own backend server; loopback
    SocketAddress admin { "127.0.0.1", 8082 };   // For operators
    SocketAddress peer { "127.0.0.1", 8083 };    // For other daemons
    SocketAddress log { "127.0.0.1", 9000 };     // The platform's append-only log service
    std::vector<std::string> seeds;              // Peer addresses to contact while the log is down or no other member is known
    std::string secret;                          // Shared by the fleet; 16 characters or more
    std::vector<std::string> operators;          // "name:credential digest (SHA-256 hex)"
    HTTPServerLimits ingressLimits;
    PolicySettings policy;
    GossipSettings gossip;
    Duration drainGrace { std::chrono::seconds(2) };    // Between announcing the leave and refusing new connections
    Duration drainMaximum { std::chrono::seconds(70) }; // Requests still running after this are abandoned
    std::string logLevel { "info" };                    // error, warning, info or debug
    bool allowFaults { false };                         // Enables POST /faults on the admin port; for tests
    bool checkOnly { false };                           // Print the settings and exit
};

// Reads flags, else environment variables, else defaults. Returns BadRequest naming the flag.
// --help and --version print and exit.
Result<Settings> readSettings(int argc, char** argv);
// One line per setting, without the secret.
std::string describeSettings(const Settings&);

} // namespace shallot
