// shallotctl: command line tool for operators; uses a daemon's admin API.

#include "config/ConfigurationJSON.h"
#include "core/Digest.h"
#include "core/EventLogReader.h"
#include "core/JSON.h"
#include "core/Version.h"

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <libsoup/soup.h>
#include <optional>
#include <sstream>
#include <tclap/CmdLine.h>

using namespace shallot;

namespace {

constexpr int exitRefused = 1;
constexpr int exitUsage = 2;
constexpr guint requestTimeoutSeconds = 15;

struct Response {
    unsigned status { 0 };
    std::string body;
};

// HTTP client of one daemon's admin port.
class AdminClient {
public:
    AdminClient(std::string address, std::string credential)
        : m_address(std::move(address))
        , m_credential(std::move(credential))
        , m_session(soup_session_new())
    {
        soup_session_set_timeout(m_session, requestTimeoutSeconds);
    }

    ~AdminClient() { g_object_unref(m_session); }
    AdminClient(const AdminClient&) = delete;
    AdminClient& operator=(const AdminClient&) = delete;

    Response send(const char* method, const std::string& path, const std::string& body = {})
    {
        SoupMessage* message = soup_message_new(method, ("http://" + m_address + path).c_str());
        if (!message)
            return { 0, "\"" + m_address + "\" is not an address of the form IP:port" };
        soup_message_headers_replace(
            soup_message_get_request_headers(message), "Authorization", ("Bearer " + m_credential).c_str());
        if (!body.empty()) {
            GBytes* bytes = g_bytes_new(body.data(), body.size());
            soup_message_set_request_body_from_bytes(message, "application/json", bytes);
            g_bytes_unref(bytes);
        }
        GError* error = nullptr;
        GBytes* responseBody = soup_session_send_and_read(m_session, message, nullptr, &error);
        Response response;
        if (responseBody) {
            gsize size = 0;
            const auto* data = static_cast<const char*>(g_bytes_get_data(responseBody, &size));
            response = { soup_message_get_status(message), std::string(data ? data : "", size) };
            g_bytes_unref(responseBody);
        } else {
            response = { 0, error->message };
            g_error_free(error);
        }
        g_object_unref(message);
        return response;
    }

private:
    std::string m_address;
    std::string m_credential;
    SoupSession* m_session;
};

struct FetchedConfiguration {
    uint64_t revision { 0 };
    Configuration configuration;
};

int reportFailure(const Response& response)
{
    std::cerr << "shallotctl: "
              << (response.status ? "the daemon responded with HTTP status " + std::to_string(response.status) + ": "
                                  : "no response from the daemon: ")
              << response.body << "\n";
    return exitRefused;
}

tl::expected<FetchedConfiguration, Response> fetchConfiguration(AdminClient& client)
{
    auto response = client.send("GET", "/configuration");
    if (response.status != 200)
        return tl::unexpected(response);
    const auto root = parseJSONObject(response.body);
    JsonObject* object = root ? json_node_get_object(root.get()) : nullptr;
    JsonObject* document = jsonObject(object, "configuration");
    auto configuration = document ? readConfiguration(document) : fail(ErrorKind::BadRequest);
    if (!configuration)
        return tl::unexpected(Response { response.status, "the response is not a valid configuration" });
    return FetchedConfiguration { jsonInteger<uint64_t>(object, "revision"), std::move(*configuration) };
}

int submit(AdminClient& client, const ConfigurationEdit& edit)
{
    if (edit.changes.empty()) {
        std::cout << "the configuration in force already equals the document; nothing to change\n";
        return 0;
    }
    JSONWriter writer;
    writer.beginObject();
    writeEdit(writer, edit);
    writer.endObject();
    const auto response = client.send("POST", "/edits", writer.finish());
    if (response.status != 200)
        return reportFailure(response);
    std::cout << response.body << "\n";
    return 0;
}

void printChanges(const std::vector<ConfigurationChange>& changes)
{
    for (const auto& change : changes) {
        const bool removes = std::holds_alternative<std::monostate>(change.value);
        std::cout << (removes ? "remove " : "set    ") << toString(change.list) << " \"" << change.name << "\"\n";
    }
}

std::optional<Configuration> readDocument(const std::string& path)
{
    std::ifstream file(path);
    std::stringstream text;
    text << file.rdbuf();
    if (!file) {
        std::cerr << "shallotctl: cannot read file " << path << "\n";
        return std::nullopt;
    }
    auto configuration = parseConfiguration(text.str());
    if (!configuration) {
        std::cerr << "shallotctl: " << path << ": " << configuration.error().detail << "\n";
        return std::nullopt;
    }
    return std::move(*configuration);
}

struct Options {
    std::vector<std::string> arguments;
    std::string note;
    uint64_t base { 0 };
    bool hasBase { false };
};

int show(AdminClient& client)
{
    const auto fetched = fetchConfiguration(client);
    if (!fetched)
        return reportFailure(fetched.error());
    std::cerr << "revision " << fetched->revision << "\n";
    std::cout << formatConfiguration(fetched->configuration) << "\n";
    return 0;
}

int check(const std::string& path)
{
    const auto wanted = readDocument(path);
    if (!wanted)
        return exitRefused;
    if (const auto valid = validate(*wanted); !valid) {
        std::cerr << "shallotctl: " << path << ": " << valid.error().detail << "\n";
        return exitRefused;
    }
    std::cout << "valid\n";
    return 0;
}

int diffOrApply(AdminClient& client, const Options& options, bool apply)
{
    const auto wanted = readDocument(options.arguments.at(1));
    if (!wanted)
        return exitRefused;
    const auto fetched = fetchConfiguration(client);
    if (!fetched)
        return reportFailure(fetched.error());
    ConfigurationEdit edit;
    edit.base = options.hasBase ? options.base : fetched->revision;
    edit.note = options.note;
    edit.changes = difference(fetched->configuration, *wanted);
    printChanges(edit.changes);
    return apply ? submit(client, edit) : 0;
}

int changeKey(AdminClient& client, const Options& options, bool add)
{
    const auto fetched = fetchConfiguration(client);
    if (!fetched)
        return reportFailure(fetched.error());
    const auto& name = options.arguments.at(1);
    const auto found = fetched->configuration.organisations.find(name);
    if (found == fetched->configuration.organisations.end()) {
        std::cerr << "shallotctl: organisation \"" << name << "\" does not exist\n";
        return exitRefused;
    }
    auto organisation = found->second;
    const auto digest = sha256Hex(options.arguments.at(2));
    auto& digests = organisation.keyDigests;
    const bool known = std::find(digests.begin(), digests.end(), digest) != digests.end();
    if (add && !known)
        digests.push_back(digest);
    if (!add && !known) {
        std::cerr << "shallotctl: organisation \"" << name << "\" does not have this key\n";
        return exitRefused;
    }
    if (!add)
        std::erase(digests, digest);
    ConfigurationEdit edit;
    edit.base = fetched->revision;
    edit.note = options.note;
    edit.changes.push_back({ ConfigurationChange::List::Organisations, name, organisation });
    return submit(client, edit);
}

int print(AdminClient& client, const std::string& path)
{
    const auto response = client.send("GET", path);
    if (response.status != 200)
        return reportFailure(response);
    std::cout << response.body << "\n";
    return 0;
}

struct Verb {
    const char* name;
    size_t arguments; // The verb and its arguments
    const char* help;
};

constexpr Verb verbs[] = {
    { "show", 1, "show                        print the configuration in force" },
    { "check", 2, "check FILE                  validate a configuration document without sending it" },
    { "diff", 2, "diff FILE                   print the changes that applying a document would make" },
    { "apply", 2, "apply FILE                  change the configuration to the document" },
    { "give-key", 3, "give-key ORGANISATION KEY   add an API key; only its digest is sent" },
    { "withdraw-key", 3, "withdraw-key ORGANISATION KEY   remove an API key" },
    { "digest", 2, "digest TEXT                 print the SHA-256 digest of a key or credential" },
    { "explain", 2, "explain ID < LOGS           print the events of one request from the logs of many instances" },
    { "history", 1, "history                     print the audit trail" },
    { "members", 1, "members                     print the members that this daemon knows" },
    { "status", 1, "status                      print the daemon's live state" },
    { "metrics", 1, "metrics                     print the daemon's metrics" },
};

// Reads the event logs of any number of instances from standard input.
int explain(const std::string& requestID)
{
    const auto trace = readRequestTrace(std::cin, requestID);
    for (const auto& event : trace)
        std::cout << describeEvent(event, trace.front().time) << "\n";
    if (trace.empty()) {
        std::cerr << "shallotctl: the logs contain no event of request \"" << requestID << "\"\n";
        return exitRefused;
    }
    return 0;
}

std::string helpText()
{
    std::string text = "Operates the fleet through one daemon's admin port. Verbs:\n";
    for (const auto& verb : verbs)
        text += std::string("  ") + verb.help + "\n";
    return text;
}

int run(AdminClient& client, const Options& options)
{
    const auto& arguments = options.arguments;
    const auto verb = std::find_if(
        std::begin(verbs), std::end(verbs), [&](const auto& item) { return !arguments.empty() && arguments[0] == item.name; });
    if (verb == std::end(verbs) || arguments.size() != verb->arguments) {
        std::cerr << helpText();
        return exitUsage;
    }
    if (arguments[0] == "show")
        return show(client);
    if (arguments[0] == "check")
        return check(arguments[1]);
    if (arguments[0] == "diff" || arguments[0] == "apply")
        return diffOrApply(client, options, arguments[0] == "apply");
    if (arguments[0] == "give-key" || arguments[0] == "withdraw-key")
        return changeKey(client, options, arguments[0] == "give-key");
    if (arguments[0] == "explain")
        return explain(arguments[1]);
    if (arguments[0] == "digest") {
        std::cout << sha256Hex(arguments[1]) << "\n";
        return 0;
    }
    return print(client, "/" + arguments[0]);
}

std::string environmentOr(const char* name, const char* fallback)
{
    const char* value = std::getenv(name);
    return value ? value : fallback;
}

} // namespace

int main(int argc, char** argv)
{
    Options options;
    std::string address;
    std::string credential;
    try {
        TCLAP::CmdLine line(helpText(), ' ', versionText);
        TCLAP::ValueArg<std::string> admin("", "admin", "admin IP:port of a daemon [SHALLOT_ADMIN]", false,
            environmentOr("SHALLOT_ADMIN", "127.0.0.1:8082"), "address", line);
        TCLAP::ValueArg<std::string> operatorCredential("", "credential", "the operator's credential [SHALLOT_CREDENTIAL]", false,
            environmentOr("SHALLOT_CREDENTIAL", ""), "text", line);
        TCLAP::ValueArg<std::string> note("", "note", "reason for the edit, stored in the audit trail", false, "", "text", line);
        TCLAP::ValueArg<uint64_t> base(
            "", "base", "revision that the edit is based on; the current one by default", false, 0, "n", line);
        TCLAP::UnlabeledMultiArg<std::string> arguments("verb", "verb and its arguments", false, "text", line);
        line.parse(argc, argv);
        address = admin.getValue();
        credential = operatorCredential.getValue();
        options = { arguments.getValue(), note.getValue(), base.getValue(), base.isSet() };
    } catch (const TCLAP::ArgException& exception) {
        std::cerr << "shallotctl: " << exception.argId() << ": " << exception.error() << "\n";
        return exitUsage;
    }
    AdminClient client(address, credential);
    return run(client, options);
}
