#include "daemon/Settings.h"

#include "core/Version.h"

#include <cstdlib>
#include <sstream>
#include <tclap/CmdLine.h>

namespace shallot {

namespace {

constexpr size_t minimumSecretLength = 16;

// The flag "--log-level" has the environment variable SHALLOT_LOG_LEVEL.
std::string environmentName(const std::string& flag)
{
    std::string name = "SHALLOT_";
    for (const char c : flag)
        name += c == '-' ? '_' : static_cast<char>(std::toupper(static_cast<unsigned char>(c)));
    return name;
}

std::string environmentOr(const std::string& flag, const std::string& fallback)
{
    const char* value = std::getenv(environmentName(flag).c_str());
    return value ? value : fallback;
}

std::vector<std::string> splitCommas(const std::string& text)
{
    std::vector<std::string> parts;
    std::stringstream stream(text);
    for (std::string part; std::getline(stream, part, ',');) {
        if (!part.empty())
            parts.push_back(part);
    }
    return parts;
}

using TextFlag = TCLAP::ValueArg<std::string>;

class Flag {
public:
    Flag(TCLAP::CmdLine& line, const std::string& name, const std::string& fallback, const std::string& description)
        : m_name(name)
        , m_argument(
              "", name, description + " [" + environmentName(name) + "]", false, environmentOr(name, fallback), "text", line)
    {
    }

    const std::string& text() { return m_argument.getValue(); }

    Result<SocketAddress> address()
    {
        auto result = parseSocketAddress(text());
        if (!result)
            return fail(ErrorKind::BadRequest, "--" + m_name + ": " + result.error().detail);
        return result;
    }

    Result<double> number(double minimum, double maximum)
    {
        char* end = nullptr;
        const double value = std::strtod(text().c_str(), &end);
        if (end == text().c_str() || *end || !(value >= minimum) || value > maximum) {
            std::ostringstream detail;
            detail << "--" << m_name << ": \"" << text() << "\" is not a number between " << minimum << " and " << maximum;
            return fail(ErrorKind::BadRequest, detail.str());
        }
        return value;
    }

private:
    std::string m_name;
    TextFlag m_argument;
};

Result<void> checkSettings(const Settings& settings)
{
    if (settings.name.empty() || settings.name.find_first_of("| ,") != std::string::npos)
        return fail(ErrorKind::BadRequest, "--name: must not be empty or contain a space, a comma or \"|\"");
    if (settings.zone.empty())
        return fail(ErrorKind::BadRequest, "--zone: must not be empty");
    if (settings.secret.size() < minimumSecretLength)
        return fail(ErrorKind::BadRequest, "--secret: must have at least 16 characters");
    if (settings.egress.host != "127.0.0.1" && settings.egress.host != "::1")
        return fail(ErrorKind::BadRequest, "--egress: must be on a loopback address, 127.0.0.1 or ::1");
    for (const auto& seed : settings.seeds) {
        if (auto address = parseSocketAddress(seed); !address)
            return fail(ErrorKind::BadRequest, "--seeds: " + address.error().detail);
    }
    for (const auto& entry : settings.operators) {
        const auto colon = entry.find(':');
        if (colon == std::string::npos || !colon || entry.size() - colon - 1 != 64)
            return fail(
                ErrorKind::BadRequest, "--operators: each entry must be NAME:SHA256-OF-CREDENTIAL with 64 hexadecimal digits");
    }
    if (settings.logLevel != "error" && settings.logLevel != "warning" && settings.logLevel != "info"
        && settings.logLevel != "debug")
        return fail(ErrorKind::BadRequest, "--log-level: must be error, warning, info or debug");
    return {};
}

} // namespace

Result<Settings> readSettings(int argc, char** argv)
{
    Settings settings;
    TCLAP::CmdLine line("Overload control daemon for one backend server", ' ', versionText);
    Flag name(line, "name", settings.name, "instance name");
    Flag zone(line, "zone", settings.zone, "availability zone");
    Flag ingress(line, "ingress", settings.ingress.toString(), "IP:port for callers");
    Flag egress(line, "egress", settings.egress.toString(),
        "loopback IP:port for announcements and nested calls of the own backend server");
    Flag admin(line, "admin", settings.admin.toString(), "IP:port for operators");
    Flag peer(line, "peer", settings.peer.toString(), "IP:port for other daemons");
    Flag log(line, "log", settings.log.toString(), "IP:port of the platform's log service");
    Flag seeds(line, "seeds", "", "peer IP:port list, comma separated, used while the log is down or no other member is known");
    Flag secret(line, "secret", "", "secret shared by the fleet, at least 16 characters; prefer the environment variable");
    Flag operators(line, "operators", "", "NAME:SHA256-OF-CREDENTIAL list, comma separated");
    Flag logLevel(line, "log-level", settings.logLevel, "error, warning, info or debug");
    Flag retryTokens(line, "retry-tokens", std::to_string(settings.policy.retryTokens),
        "maximum retries of one request over its whole call graph");
    Flag targetDelay(line, "target-delay-ms", "20", "queue wait above which the backend server counts as overloaded");
    Flag drainGrace(line, "drain-grace-ms", "2000", "time between announcing the leave and refusing new connections");
    TCLAP::SwitchArg allowFaults(
        "", "allow-faults", "enable fault injection on the admin port, for tests [SHALLOT_ALLOW_FAULTS=1]", line);
    TCLAP::SwitchArg check("", "check", "check the settings, print them and exit", line);
    try {
        line.setExceptionHandling(false);
        line.parse(argc, argv);
    } catch (const TCLAP::ExitException& exception) {
        std::exit(exception.getExitStatus());
    } catch (const TCLAP::ArgException& exception) {
        return fail(ErrorKind::BadRequest, exception.argId() + ": " + exception.error());
    }

    struct AddressFlag {
        Flag& flag;
        SocketAddress& target;
    };
    for (const auto& [flag, target] : { AddressFlag { ingress, settings.ingress }, { egress, settings.egress },
             { admin, settings.admin }, { peer, settings.peer }, { log, settings.log } }) {
        auto address = flag.address();
        if (!address)
            return tl::unexpected(address.error());
        target = *address;
    }
    const auto tokens = retryTokens.number(0, 1000);
    const auto delay = targetDelay.number(1, 60'000);
    const auto grace = drainGrace.number(0, 60'000);
    for (const auto* number : { &tokens, &delay, &grace }) {
        if (!*number)
            return tl::unexpected(number->error());
    }
    settings.policy.retryTokens = static_cast<uint16_t>(*tokens);
    settings.policy.targetDelay = fromSeconds(*delay / 1000);
    settings.drainGrace = fromSeconds(*grace / 1000);
    settings.name = name.text();
    settings.zone = zone.text();
    settings.seeds = splitCommas(seeds.text());
    settings.secret = secret.text();
    settings.operators = splitCommas(operators.text());
    settings.logLevel = logLevel.text();
    settings.allowFaults = allowFaults.getValue() || environmentOr("allow-faults", "0") == "1";
    settings.checkOnly = check.getValue();
    if (auto checked = checkSettings(settings); !checked)
        return tl::unexpected(checked.error());
    return settings;
}

std::string describeSettings(const Settings& settings)
{
    std::ostringstream text;
    text << "name " << settings.name << "\nzone " << settings.zone << "\ningress " << settings.ingress.toString() << "\negress "
         << settings.egress.toString() << "\nadmin " << settings.admin.toString() << "\npeer " << settings.peer.toString()
         << "\nlog " << settings.log.toString() << "\nseeds " << settings.seeds.size() << "\noperators "
         << settings.operators.size() << "\nretry-tokens " << settings.policy.retryTokens << "\ntarget-delay-ms "
         << settings.policy.targetDelay.count() / 1000 << "\ndrain-grace-ms " << settings.drainGrace.count() / 1000
         << "\nlog-level " << settings.logLevel << "\nallow-faults " << settings.allowFaults << "\n";
    return text.str();
}

} // namespace shallot
