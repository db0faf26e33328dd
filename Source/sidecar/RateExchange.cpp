#include "sidecar/RateExchange.h"

#include "core/Digest.h"
#include "mesh/MeshSettings.h"
#include "sidecar/MeshBeliefs.h"
#include "sidecar/MeshLinks.h"
#include "wire/Frames_generated.h"

#include <cmath>

namespace shallot {

RateExchange::RateExchange(const MeshSettings& settings, MeshBeliefs& beliefs, MeshLinks& links, std::string ownName)
    : m_settings(settings)
    , m_beliefs(beliefs)
    , m_links(links)
    , m_ownName(std::move(ownName))
    , m_buckets(settings)
    , m_ledger(settings)
{
}

bool RateExchange::tryTake(const MeshOrganisation& organisation, TimePoint now)
{
    return m_buckets.tryTake(organisation.name, organisation.rate, organisation.burst, m_beliefs.memberCount(), now);
}

// Rendezvous hashing over the members that can be reached. Members that see different ones ask different owners; each owner
// deals only the parts of those that ask it, so the sum stays within the rate.
const RemoteEndpoint* RateExchange::ownerOf(const std::string& organisation, TimePoint now)
{
    const uint64_t bucket = stableHash(organisation) % m_settings.shareOwners;
    const RemoteEndpoint* owner = nullptr;
    uint64_t best = 0;
    for (const auto& [name, endpoint] : m_beliefs.endpoints().all()) {
        if (endpoint.linkFailures && endpoint.avoidUntil > now)
            continue;
        const auto weight = stableHash(name, bucket);
        if (!owner || weight > best) {
            owner = &endpoint;
            best = weight;
        }
    }
    return owner;
}

void RateExchange::exchange(TimePoint now)
{
    std::map<const RemoteEndpoint*, std::vector<RateDemand>> byOwner;
    for (auto& demand : m_buckets.takeDemands(now)) {
        if (const auto* owner = ownerOf(demand.organisation, now))
            byOwner[owner].push_back(std::move(demand));
    }
    for (const auto& [owner, demands] : byOwner) {
        if (owner->member.name == m_ownName) {
            for (const auto& share : m_ledger.grant(m_ownName, demands, m_beliefs.memberCount(), now))
                m_buckets.applyShare(share, now);
            continue;
        }
        wire::LoanRequestsT requests;
        for (const auto& demand : demands) {
            auto request = std::make_unique<wire::LoanRequestT>();
            request->organisation = demand.organisation;
            request->demand = demand.perSecond;
            requests.requests.push_back(std::move(request));
        }
        wire::FrameT frame;
        frame.body.Set(std::move(requests));
        if (const auto link = m_links.linkTo(owner->member.address))
            link->send(frame);
    }
}

void RateExchange::onDemands(PeerLink& link, const wire::LoanRequestsT& requests, TimePoint now)
{
    std::vector<RateDemand> demands;
    for (const auto& request : requests.requests) {
        if (request && std::isfinite(request->demand) && request->demand >= 0)
            demands.push_back({ request->organisation, request->demand });
    }
    wire::LoansT loans;
    for (const auto& share : m_ledger.grant(link.peer(), demands, m_beliefs.memberCount(), now)) {
        auto loan = std::make_unique<wire::LoanT>();
        loan->organisation = share.organisation;
        loan->rate = share.part;
        loans.loans.push_back(std::move(loan));
    }
    wire::FrameT frame;
    frame.body.Set(std::move(loans));
    link.send(frame);
}

void RateExchange::onShares(const wire::LoansT& loans, TimePoint now)
{
    for (const auto& loan : loans.loans) {
        if (loan && std::isfinite(loan->rate))
            m_buckets.applyShare({ loan->organisation, loan->rate }, now);
    }
}

} // namespace shallot
