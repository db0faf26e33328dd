#pragma once

#include "core/Error.h"
#include "membership/GossipTable.h"
#include "net/HTTPServer.h"
#include "net/SocketAddress.h"
#include "policy/PolicySettings.h"

#include <string>
#include <vector>

namespace shallot {

// Every setting of shallotd. Flags and environment variables fill it; see readSettings().
struct Settings {
    std::string name { "shallot" };              // Instance name, for logs and membership
    std::string zone { "zone-a" };               // Availability zone
    SocketAddress ingress { "127.0.0.1", 8080 }; // Callers
    SocketAddress egress { "127.0.0.1", 8081 };  // Own backend server's announcements and onward calls; loopback
    SocketAddress admin { "127.0.0.1", 8082 };   // Operators
    SocketAddress peer { "127.0.0.1", 8083 };    // Other daemons
    SocketAddress log { "127.0.0.1", 9000 };     // The platform's append-only log service
    std::vector<std::string> seeds;              // Peer addresses to ask while the log is down
    std::string secret;                          // Shared by the fleet; 16 characters or more
    std::vector<std::string> operators;          // "name:credential digest (SHA-256 hex)"
    HTTPServerLimits ingressLimits;
    PolicySettings policy;
    GossipSettings gossip;
    Duration drainGrace { std::chrono::seconds(2) };    // Between announcing the leave and closing
    Duration drainMaximum { std::chrono::seconds(70) }; // Requests still running after this are given up
    std::string logLevel { "info" };                    // error, warning, info or debug
    bool allowFaults { false };                         // Enables POST /faults on the admin port; for tests
    bool checkOnly { false };                           // Print the settings and exit
};

// Reads flags, then environment variables, then defaults; the error names the flag.
// --help and --version print and exit.
Result<Settings> readSettings(int argc, char** argv);
// One line a setting; the secret is left out.
std::string describeSettings(const Settings&);

} // namespace shallot
