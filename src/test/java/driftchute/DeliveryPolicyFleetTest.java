package driftchute;

import static org.assertj.core.api.Assertions.assertThat;

import driftchute.Courier.CircuitState;
import driftchute.Courier.FleetView;
import driftchute.Courier.RateLease;
import driftchute.Courier.Result;
import driftchute.Courier.TierHealth;
import driftchute.Courier.Verdict;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** How rate leases and verdicts affect the decisions: they make them more cautious, never bolder. */
final class DeliveryPolicyFleetTest {
    private static final double RESERVE = 0.2;
    private static final double LIMIT = 10;
    private static final long NEVER = Long.MAX_VALUE;
    private final PolicyFixture fixture = PolicyFixture.withTwoEndpoints(PolicyFixture.settings());
    private int taken;

    private void view(final Map<Long, RateLease> rations, final Map<Long, Verdict> verdicts) {
        fixture.policy.onFleetView(fixture.nowUs, new FleetView(RESERVE, rations, verdicts));
        fixture.policy.decide(fixture.nowUs);
    }

    private void verdict(final TierHealth standing, final long sinceUs, final long trialUntilUs) {
        view(
                Map.of(),
                Map.of(
                        PolicyFixture.DESTINATION,
                        new Verdict(standing, sinceUs, 0, fixture.nowUs + 30 * PolicyFixture.SECOND, trialUntilUs)));
    }

    private void verdict(final TierHealth standing) {
        verdict(standing, fixture.nowUs, 0);
    }

    /**
     * Keeps messages waiting for that long and delivers each call after 20 ms with the limit in its answer. Returns the
     * number of calls.
     */
    private int load(final long us) {
        final int before = fixture.sent.size();
        for (long untilUs = fixture.nowUs + us; fixture.nowUs < untilUs; ) {
            fixture.accept("m" + taken++, 0, null, 4 * PolicyFixture.SECOND);
            fixture.advance(20 * PolicyFixture.MS);
            for (final PolicyFixture.Sent sent : fixture.sent.subList(before, fixture.sent.size())) {
                if (fixture.endedAttempts(sent.id()) < fixture.sendCount(sent.id())) {
                    fixture.deliver(sent.id(), new Courier.ReportedLimit(1, LIMIT));
                }
            }
        }
        return fixture.sent.size() - before;
    }

    @Test
    void aRateLeaseBoundsTheRateAndItsExpiryLeavesTheEvenPartOfTheReserve() {
        load(PolicyFixture.SECOND);
        view(Map.of(PolicyFixture.DESTINATION, new RateLease(5, fixture.nowUs + 10 * PolicyFixture.SECOND)), Map.of());
        assertThat(load(10 * PolicyFixture.SECOND)).isBetween(42, 51);
        // Each of the two couriers has half of the reserve, one call per second.
        assertThat(load(10 * PolicyFixture.SECOND)).isBetween(8, 11);
    }

    @Test
    void noRateLeaseExceedsTheLimitKnownHere() {
        load(PolicyFixture.SECOND);
        view(
                Map.of(PolicyFixture.DESTINATION, new RateLease(1000, fixture.nowUs + 10 * PolicyFixture.SECOND)),
                Map.of());
        assertThat(load(5 * PolicyFixture.SECOND)).isBetween(42, 51);
    }

    @Test
    void aSuspectedDestinationGetsHalfTheWindow() {
        verdict(TierHealth.SUSPECTED);
        fixture.accept("a", 0);
        fixture.accept("b", 0);
        assertThat(fixture.sent).hasSize(1);
        verdict(TierHealth.HEALTHY);
        assertThat(fixture.sent).hasSize(2);
    }

    @Test
    void duringAnOutageReportedByOthersOnlyPermittedProbesAreMadeAndNothingIsReported() {
        verdict(TierHealth.DOWN);
        fixture.accept("a", 0);
        fixture.advance(5 * PolicyFixture.SECOND);
        assertThat(fixture.sent).isEmpty();
        assertThat(fixture.policy.reports(fixture.nowUs))
                .singleElement()
                .satisfies(report -> assertThat(report.circuit()).isEqualTo(CircuitState.CLOSED));
        final long permitUs = fixture.nowUs + PolicyFixture.SECOND;
        verdict(TierHealth.DOWN, fixture.nowUs - 5 * PolicyFixture.SECOND, permitUs);
        assertThat(fixture.sent).hasSize(1);
        fixture.end("a", Result.REFUSED);
        fixture.advance(900 * PolicyFixture.MS);
        assertThat(fixture.sent).as("one permit, one trial").hasSize(1);
        verdict(TierHealth.DOWN, fixture.nowUs - 6 * PolicyFixture.SECOND, fixture.nowUs + 2 * PolicyFixture.SECOND);
        fixture.advance(PolicyFixture.SECOND);
        assertThat(fixture.sent).hasSize(2);
        fixture.deliver("a", null);
        assertThat(fixture.policy.reports(fixture.nowUs))
                .singleElement()
                .satisfies(report -> assertThat(report.circuit()).isEqualTo(CircuitState.SLOW_START));
    }

    @Test
    void withoutACoordinatorEachCourierProbesAndExpiredVerdictsAreIgnored() {
        verdict(TierHealth.DOWN, fixture.nowUs, NEVER);
        fixture.accept("a", 0);
        fixture.advance(12 * PolicyFixture.SECOND);
        assertThat(fixture.sent).isNotEmpty();
        final PolicyFixture other = PolicyFixture.withTwoEndpoints(PolicyFixture.settings());
        other.policy.onFleetView(
                other.nowUs,
                new FleetView(
                        RESERVE,
                        Map.of(),
                        Map.of(
                                PolicyFixture.DESTINATION,
                                new Verdict(TierHealth.DOWN, other.nowUs, 0, other.nowUs, 0))));
        other.accept("a", 0);
        assertThat(other.sent).hasSize(1);
    }

    @Test
    void onlyEvidenceLaterThanItsOwnFailuresEndsAnOutage() {
        for (int n = 0; n < 4; n++) {
            fixture.accept("f" + n, 0, null, 2 * PolicyFixture.SECOND);
            fixture.advance(PolicyFixture.SECOND);
            fixture.sent.stream()
                    .map(PolicyFixture.Sent::id)
                    .distinct()
                    .filter(id -> fixture.endedAttempts(id) < fixture.sendCount(id))
                    .toList()
                    .forEach(id -> fixture.end(id, Result.RESET));
        }
        assertThat(phase()).isEqualTo(CircuitState.OPEN);
        verdict(TierHealth.RECOVERED, fixture.nowUs - 2 * PolicyFixture.SECOND, 0);
        assertThat(phase()).as("evidence from before").isEqualTo(CircuitState.OPEN);
        fixture.advance(100 * PolicyFixture.MS);
        verdict(TierHealth.RECOVERED, fixture.nowUs, 0);
        assertThat(phase()).isEqualTo(CircuitState.SLOW_START);
    }

    private CircuitState phase() {
        return fixture.policy.reports(fixture.nowUs).get(0).circuit();
    }
}
