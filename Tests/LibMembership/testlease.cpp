#include <LibMembership/guardianledger.h>
#include <LibMembership/guardians.h>
#include <LibMembership/reclaimattempt.h>

#include <criterion/criterion.h>

#include <set>

using namespace Trefoil;

namespace
{

constexpr BootTime s_start{std::chrono::seconds(100)};
const HostId s_a("a");
const HostId s_b("b");
const HostId s_c("c");
const HostId s_d("d");

BootTime at(int milliseconds)
{
    return s_start + std::chrono::milliseconds(milliseconds);
}

} // namespace

// Guards against a lease that starts when an acknowledgement arrives instead of when the heartbeat was sent, counts
// acknowledgements of different heartbeats together, or is confirmed without a majority of each of the two sets while the
// guardians change.
Test(HostLease, countsFromTheHeartbeatThatAMajorityConfirmed)
{
    HostLease lease;
    lease.setGuardians({s_a, s_b, s_c});
    lease.recordSentHeartbeat(1, at(0));
    lease.recordSentHeartbeat(2, at(500));
    cr_assert_not(lease.recordAcknowledgement(s_a, 1));
    cr_assert_not(lease.recordAcknowledgement(s_b, 2));
    cr_assert_not(lease.recordAcknowledgement(s_a, 1));
    cr_assert(lease.validUntil() == BootTime());
    cr_assert(lease.recordAcknowledgement(s_b, 1));
    cr_assert(lease.validUntil() == at(0) + s_leaseDuration);
    lease.proposeGuardians({s_c, s_d});
    lease.recordSentHeartbeat(3, at(1000));
    cr_assert_not(lease.recordAcknowledgement(s_a, 3));
    cr_assert_not(lease.recordAcknowledgement(s_c, 3));
    cr_assert(lease.recordAcknowledgement(s_d, 3));
    lease.recordRenewal(at(200));
    cr_assert(lease.validUntil() == at(1000) + s_leaseDuration);
    lease.revoke();
    cr_assert_not(lease.recordAcknowledgement(s_b, 3));
    cr_assert(lease.validUntil() == BootTime());
}

// Guards against a vote that breaks a promise to the host, against promises to an epoch after a vote against it, and
// against both after a restart, when earlier promises and votes are lost.
Test(GuardianLedger, promisesAndVotesExcludeEachOther)
{
    GuardianLedger ledger(s_start);
    cr_assert(ledger.acknowledge(s_a, Epoch(1), at(100)) == Acknowledgement::RowCheckRequired);
    ledger.recordRowEpoch(s_a, Epoch(1));
    cr_assert(ledger.acknowledge(s_a, Epoch(1), at(1000)) == Acknowledgement::Confirmed);
    cr_assert_not(ledger.vote(s_b, Epoch(7), at(4999)));
    cr_assert(ledger.vote(s_b, Epoch(7), at(5000)));
    cr_assert_not(ledger.vote(s_a, Epoch(1), at(5999)));
    cr_assert(ledger.vote(s_a, Epoch(1), at(6000)));
    cr_assert(ledger.acknowledge(s_a, Epoch(1), at(6100)) == Acknowledgement::Rejected);
    cr_assert(ledger.acknowledge(s_a, Epoch(2), at(6200)) == Acknowledgement::RowCheckRequired);
    ledger.recordRowEpoch(s_a, Epoch(2));
    cr_assert(ledger.acknowledge(s_a, Epoch(2), at(6300)) == Acknowledgement::Confirmed);
    ledger.recordRowEpoch(s_a, std::nullopt);
    cr_assert(ledger.acknowledge(s_a, Epoch(2), at(6400)) == Acknowledgement::RowCheckRequired);
}

// Guards against a reclaim without a majority, before the row has been unchanged for long enough, or with votes that belong
// to another epoch, to another version of the host's row or to earlier versions of the guardians' rows.
Test(ReclaimAttempt, needsTimeAndMajority)
{
    ReclaimAttempt attempt(s_a, Epoch(1), 9, {s_b, s_c, s_d}, s_start);
    attempt.setGuardianRowVersions({{s_b, 4}, {s_c, 5}});
    attempt.recordVote(s_b, Epoch(1), 9, true);
    attempt.recordVote(s_c, Epoch(1), 8, true);
    attempt.recordVote(s_c, Epoch(2), 9, true);
    attempt.recordVote(s_c, Epoch(1), 9, false);
    attempt.recordVote(s_d, Epoch(1), 9, true);
    attempt.recordVote(s_a, Epoch(1), 9, true);
    cr_assert_not(attempt.canCommit(at(5000)));
    attempt.recordVote(s_c, Epoch(1), 9, true);
    cr_assert_not(attempt.canCommit(at(4999)));
    cr_assert(attempt.canCommit(at(5000)));
    cr_assert_eq(attempt.voters().at(s_c), 5);
    attempt.setGuardianRowVersions({{s_b, 6}, {s_c, 7}});
    cr_assert_not(attempt.canCommit(at(6000)));
}

// Guards against guardians that share an availability zone or region although others are available, and against a choice
// that changes when the chosen guardians are preferred.
Test(Guardians, spreadOverZonesAndRegions)
{
    std::vector<GuardianCandidate> candidates;
    for (int i = 0; i < 40; ++i) {
        const std::string region = "region-" + std::to_string(i % 4);
        candidates.push_back({HostId("host-" + std::to_string(i)), RegionId(region), ZoneId(region + "-" + std::to_string(i / 4 % 3))});
    }
    const GuardianCandidate self{HostId("self"), RegionId("region-0"), ZoneId("region-0-0")};
    const auto chosen = chooseGuardians(self, candidates);
    cr_assert_eq(chosen.size(), 5);
    std::set<std::string> zones;
    std::set<std::string> regions;
    for (const auto &candidate : candidates) {
        if (std::find(chosen.begin(), chosen.end(), candidate.id) == chosen.end()) {
            continue;
        }
        if (candidate.region == self.region) {
            zones.insert(candidate.zone.value());
        } else {
            regions.insert(candidate.region.value());
        }
    }
    cr_assert_eq(zones.size(), 3);
    cr_assert_eq(regions.size(), 2);
    cr_assert(chooseGuardians(self, candidates, chosen) == chosen);
}
