// The platform's formats: decoding, and rejection of malformed or forged input.

#include "core/JSON.h"
#include "platform/AnnouncementCodec.h"
#include "platform/ConfigurationCodec.h"
#include "platform/InstanceSettings.h"
#include "platform/MemberCodec.h"
#include "platform/Names.h"
#include "platform/RequestCodec.h"

#include <gtest/gtest.h>

namespace shallot::platform {
namespace {

using namespace std::chrono_literals;

const std::string settingsText = "node=n1\nzone=z\nservice=s\nlisten.outbound=10.0.0.1:1\nlisten.ready=10.0.0.1:2\n"
                                 "listen.control=10.0.0.1:3\napp=10.0.0.1:4\ninternal_port_range=7000,7015\n"
                                 "platform.addr=10.0.0.9:5\nbounds.grace_s=6\nbounds.revoke_s=5.5\nnew.field=whatever\n";

TEST(PlatformSettings, AreReadAndUnknownOnesIgnored)
{
    const auto settings = parseInstanceSettings(settingsText);
    ASSERT_TRUE(settings.has_value());
    EXPECT_EQ(settings->instance, "n1");
    EXPECT_EQ(settings->peers.toString(), "10.0.0.1:7000");
    EXPECT_EQ(settings->store.toString(), "10.0.0.9:5");
    EXPECT_EQ(settings->shutdownTime, 6s);
    EXPECT_EQ(settings->keyStaleness, 5500ms);
}

TEST(PlatformSettings, AnErrorNamesTheLineAndTheKey)
{
    const auto detailOf = [](const std::string& text) {
        const auto settings = parseInstanceSettings(text);
        return settings ? "" : settings.error().detail;
    };
    EXPECT_NE(detailOf("zone=z\n").find("node is missing"), std::string::npos);
    EXPECT_NE(detailOf("node\n").find("line 1"), std::string::npos);
    auto text = settingsText;
    text.replace(text.find("grace_s=6"), 9, "grace_s=x");
    EXPECT_NE(detailOf(text).find("line 10, bounds.grace_s"), std::string::npos);
    text = settingsText;
    text.replace(text.find("app=10.0.0.1:4"), 14, "app=host:4");
    EXPECT_NE(detailOf(text).find("line 7, app"), std::string::npos);
}

TEST(PlatformConfiguration, IsDecodedWithItsUnits)
{
    const auto configuration = decodeConfiguration(
        R"({"version":"r12","services":[{"name":"s","health_path":"/h","max_connections":9}],)"
        R"("limits":{"max_header_bytes":100,"header_timeout_s":0.5},)"
        R"("tenants":[{"name":"t","api_keys":["k"],"priority":2,"rate_per_s":60,"burst":30},{"name":"u","api_keys":[]}],)"
        R"("virtual_hosts":[{"host":"h","paths":[{"name":"r","path_prefix":"/p/","kind":"idempotent","timeout_s":1.25,)"
        R"("target_latency_s":1.5,"priority":2,"weighted_services":[{"service":"a","weight":90},{"service":"b","weight":10}],)"
        R"("attempts":2,"anonymous":true},{"name":"q","path_prefix":"/q/","kind":"non_idempotent","service":"a"}]}]})");
    ASSERT_TRUE(configuration.has_value());
    EXPECT_EQ(configuration->version, 12U);
    ASSERT_EQ(configuration->routes.size(), 2U);
    const auto& route = configuration->routes[0];
    EXPECT_EQ(route.services.size(), 2U);
    EXPECT_EQ(route.timeLimit, 1250ms);
    EXPECT_TRUE(route.idempotent && route.open);
    EXPECT_FALSE(configuration->routes[1].idempotent);
    EXPECT_EQ(configuration->organisations[0].rank, 2);
    EXPECT_EQ(configuration->organisations[1].rank, std::nullopt);
    EXPECT_EQ(configuration->limits.headerTimeout, 500ms);
    EXPECT_EQ(configuration->services[0].healthPath, "/h");
}

TEST(PlatformConfiguration, VersionsCompareAsNumbersAndMalformedDocumentsAreRejected)
{
    const auto versionOf = [](const std::string& version) { return decodeConfiguration(R"({"version":")" + version + "\"}"); };
    EXPECT_LT(versionOf("r9")->version, versionOf("r12")->version);
    for (const auto* broken : { "", "12", "r", "r1x", "v1" })
        EXPECT_FALSE(versionOf(broken).has_value()) << broken;
    EXPECT_FALSE(decodeConfiguration("[]").has_value());
    EXPECT_FALSE(decodeConfiguration(R"({"version":"r1","virtual_hosts":[{"host":"h","paths":[{"name":"x"}]}]})").has_value());
}

TEST(PlatformRequests, TheKeyAndReservedHeadersAreRemoved)
{
    HTTPRequest request { "GET", "/", {}, {} };
    for (const auto name : { header::key, header::organisation, header::callerService, header::expectedInstance })
        request.headers.emplace_back(name, "forged");
    request.headers.emplace_back("Host", "h:80");
    request.headers.emplace_back(header::attemptID, "a1");
    request.headers.emplace_back(header::deadline, "250");
    const auto caller = extractCallerMetadata(request);
    ASSERT_TRUE(caller.has_value());
    EXPECT_EQ(caller->host, "h");
    EXPECT_EQ(caller->key, "forged");
    EXPECT_EQ(caller->timeLimit, 250ms);
    ASSERT_EQ(request.headers.size(), 2U);
    EXPECT_EQ(attemptIDOf(request.headers), "a1");
}

TEST(PlatformRequests, AmbiguousHeadersAreRejected)
{
    const auto accepts = [](HTTPHeaders headers) {
        headers.emplace_back(header::attemptID, "a");
        HTTPRequest request { "GET", "/", std::move(headers), {} };
        return extractCallerMetadata(request).has_value();
    };
    const std::string key(header::key);
    const std::string deadline(header::deadline);
    EXPECT_TRUE(accepts({ { key, "a" } }));
    EXPECT_FALSE(accepts({ { key, "a" }, { key, "b" } }));
    EXPECT_FALSE(accepts({ { deadline, "1x" } }));
    EXPECT_FALSE(accepts({ { deadline, "-1" } }));
    EXPECT_FALSE(accepts({ { std::string(header::attemptID), "b" } }));
}

TEST(PlatformRequests, StatusesThatImplyNotExecutedAreUsedOnlyThen)
{
    for (size_t i = 1; i < static_cast<size_t>(ErrorKind::Count); ++i) {
        const auto kind = static_cast<ErrorKind>(i);
        const auto status = makeErrorResponse({ kind, {}, 1s }, "a").status;
        const bool promises = status == 429 || status == 503 || status == 408 || status == 421;
        EXPECT_TRUE(!promises || errorInfo(kind).execution == ExecutionState::NotExecuted) << errorInfo(kind).name;
    }
    const auto refused = makeErrorResponse({ ErrorKind::Overloaded, {}, 250ms }, "a");
    EXPECT_EQ(findHeader(refused.headers, header::retryAfter), "0.250");
    EXPECT_EQ(findHeader(refused.headers, header::attemptID), "a");
}

TEST(PlatformResponses, AreClassifiedByTheirStatusAndHeaders)
{
    const std::string seal(header::seal);
    EXPECT_EQ(classifyResponse({ 200, { { seal, "s" } }, {} }), ResponseClass::Valid);
    EXPECT_EQ(classifyResponse({ 200, {}, {} }), ResponseClass::Invalid);
    EXPECT_EQ(classifyResponse({ 500, {}, {} }), ResponseClass::Valid);
    EXPECT_EQ(classifyResponse({ 200, { { seal, "s" }, { "Content-Encoding", "gzip" } }, {} }), ResponseClass::Invalid);
    EXPECT_EQ(classifyResponse({ 503, { { std::string(header::notExecuted), "1" } }, {} }), ResponseClass::NotExecuted);
    EXPECT_EQ(classifyResponse({ 421, {}, {} }), ResponseClass::WrongInstance);
}

// A header with a fourth figure was refused as a whole, and a restarted daemon did not learn the slots from its probe.
TEST(PlatformResponses, TheLoadHeaderHasThreeOrFourFigures)
{
    const std::string name(header::load);
    const auto read = [&name](const std::string& text) { return loadOf({ 200, { { name, text } }, {} }); };
    ASSERT_TRUE(read("3,0,8").load.has_value());
    EXPECT_EQ(read("3,1,8").load->slots, 8U);
    EXPECT_FALSE(read("3,0,8").load->workTimePercent.has_value());
    ASSERT_TRUE(read("3,0,8,250").load.has_value());
    EXPECT_EQ(read("3,0,8,250").load->slots, 8U);
    EXPECT_EQ(read("3,0,8,250").load->workTimePercent, 250U);
    for (const auto* text : { "", "3", "3,0", "3,0,8,250,1", "3,0,0", "3,0,8,0", "-1,0,8", "3,0,8,-5", "3,0,99999999999999999999",
             "3,0,2000000", "3,0,8,x", "3,,8", "3,0,8,", ",3,0,8", "3, 0, 8", "3,0,8.5", "+3,0,8" }) {
        EXPECT_TRUE(read(text).isMalformed) << text;
        EXPECT_FALSE(read(text).load.has_value()) << text;
    }
    EXPECT_TRUE(loadOf({ 200, { { name, "3,0,8" }, { name, "3,0,9" } }, {} }).isMalformed);
    EXPECT_FALSE(loadOf({ 200, {}, {} }).isMalformed);
}

// Downloads were not repeated, and uploads must never be.
TEST(PlatformConfiguration, DownloadsMayBeRepeatedAndUploadsMayNot)
{
    const auto isIdempotent = [](const std::string& kind) {
        const auto configuration = decodeConfiguration(
            R"({"version":"r1","virtual_hosts":[{"host":"h","paths":[{"name":"r","service":"s","kind":")" + kind + "\"}]}]}");
        return configuration && configuration->routes[0].idempotent;
    };
    EXPECT_TRUE(isIdempotent("idempotent") && isIdempotent("download"));
    for (const auto* kind : { "non_idempotent", "upload", "keyed", "Download", "" })
        EXPECT_FALSE(isIdempotent(kind)) << kind;
}

// Announcements of other writers, each with one field missing or of another type.
TEST(PlatformAnnouncements, WithAMissingOrMalformedFieldNameNoBackendServer)
{
    const std::string valid = R"({"service":"s","addr":"10.0.0.1:4","zone":"z","version":"v1","slots":4,"state":"ready",)"
                              R"("cold_left_s":0.5,"born":1000,"seq":3})";
    const auto decodes = [](const std::string& body) {
        return decodeNotice({ "POST", std::string(path::announce) + "i-1", {}, body }).has_value();
    };
    ASSERT_TRUE(decodes(valid));
    const std::pair<std::string, std::vector<std::string>> fields[] = {
        { R"("service":"s")", { "7", R"("")", "null" } },
        { R"("addr":"10.0.0.1:4")", { "4", R"("host:4")", "[]" } },
        { R"("zone":"z")", { "1", R"("")", "null" } },
        { R"("version":"v1")", { "1", "{}", "null" } },
        { R"("slots":4)", { R"("4")", "0", "-1", "4.5", "null" } },
        { R"("state":"ready")", { R"("odd")", "1", "null" } },
        { R"("cold_left_s":0.5)", { R"("0.5")", "-1", "1e300", "null", "false" } },
        { R"("born":1000)", { R"("1000")", "-1", "0.5", "null" } },
        { R"("seq":3)", { R"("3")", "-1", "1.5", "null" } },
    };
    for (const auto& [field, values] : fields) {
        const auto at = valid.find(field);
        const auto name = field.substr(0, field.find(':') + 1);
        for (const auto& value : values)
            EXPECT_FALSE(decodes(std::string(valid).replace(at, field.size(), name + value))) << name << value;
        const bool mayBeMissing = name == R"("born":)";
        EXPECT_EQ(decodes(std::string(valid).replace(at, field.size(), R"("other":1)")), mayBeMissing) << name;
    }
}

TEST(PlatformAnnouncements, ThatAreNestedDeeplyDoNotExhaustTheStack)
{
    const std::string levels(1'000'000, '[');
    const auto nested = [](size_t depth) { return "\"b\":" + std::string(depth, '[') + std::string(depth, ']'); };
    const auto isRead = [](const std::string& member) { return parseJSONObject("{\"a\":1," + member + "}") != nullptr; };
    EXPECT_TRUE(isRead(R"("text":"\"[ \\", "b":[{"c":[1e-3, true, null]}], "pair":"\uD83D\uDE00", "tab":"\t\u0041")"));
    EXPECT_TRUE(isRead(nested(63))); // In the object
    EXPECT_FALSE(isRead(nested(64)));
    std::string siblings = "\"b\":[0";
    for (size_t i = 0; i < 1000; ++i)
        siblings += ",[{}]";
    EXPECT_TRUE(isRead(siblings + "]"));
    EXPECT_FALSE(isRead("\"b\":" + levels));
    EXPECT_FALSE(isRead("/*\"*/\"b\":" + levels));
    for (const auto* cut : { "\\u12", "\\uD800", "\\uD800\\n", "\\uD800\\u12" })
        EXPECT_FALSE(isRead("\"" + std::string(cut) + "\" \":" + levels)) << cut;
}

TEST(PlatformMembers, RoundTripAndInvalidRecordsAreRejected)
{
    const MeshMember member { "m", "z", "10.0.0.1:7000", "s" };
    const auto decoded = decodeMember(encodeMember(member));
    ASSERT_TRUE(decoded.has_value());
    EXPECT_EQ(decoded->address, member.address);
    EXPECT_EQ(decoded->service, member.service);
    EXPECT_FALSE(decodeMember({ "other", encodeMember(member).value }).has_value());
    EXPECT_FALSE(decodeMember({ "m", "" }).has_value());
    EXPECT_FALSE(decodeMember({ "m", "{}" }).has_value());
}

} // namespace
} // namespace shallot::platform
