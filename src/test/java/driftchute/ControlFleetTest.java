package driftchute;

import static org.assertj.core.api.Assertions.assertThat;

import driftchute.Courier.FleetView;
import driftchute.Courier.CircuitState;
import driftchute.Courier.RateLease;
import driftchute.Courier.Result;
import driftchute.Courier.TierHealth;
import driftchute.Courier.Verdict;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** How rate leases and verdicts affect the decisions: they make them more cautious, never bolder. */
final class ControlFleetTest {
    private static final double RESERVE = 0.2;
    private static final double LIMIT = 10;
    private static final long NEVER = Long.MAX_VALUE;
    private final Scene scene = Scene.withTwoEndpoints(Scene.settings());
    private int taken;

    private void view(final Map<Long, RateLease> rations, final Map<Long, Verdict> verdicts) {
        scene.control.onFleetView(scene.nowUs, new FleetView(RESERVE, rations, verdicts));
        scene.control.decide(scene.nowUs);
    }

    private void verdict(final TierHealth standing, final long sinceUs, final long trialUntilUs) {
        view(
                Map.of(),
                Map.of(Scene.DEST, new Verdict(standing, sinceUs, 0, scene.nowUs + 30 * Scene.SECOND, trialUntilUs)));
    }

    private void verdict(final TierHealth standing) {
        verdict(standing, scene.nowUs, 0);
    }

    /**
     * Keeps messages waiting for that long and delivers each call after 20 ms with the limit in its answer. Returns the
     * number of calls.
     */
    private int load(final long us) {
        final int before = scene.sent.size();
        for (long untilUs = scene.nowUs + us; scene.nowUs < untilUs; ) {
            scene.take("m" + taken++, 0, null, 4 * Scene.SECOND);
            scene.pass(20 * Scene.MS);
            for (final Scene.Sent sent : scene.sent.subList(before, scene.sent.size())) {
                if (scene.ended(sent.id()) < scene.count(sent.id())) {
                    scene.deliver(sent.id(), new Courier.ReportedLimit(1, LIMIT));
                }
            }
        }
        return scene.sent.size() - before;
    }

    @Test
    void aRateLeaseBoundsTheRateAndItsExpiryLeavesTheEvenPartOfTheReserve() {
        load(Scene.SECOND);
        view(Map.of(Scene.DEST, new RateLease(5, scene.nowUs + 10 * Scene.SECOND)), Map.of());
        assertThat(load(10 * Scene.SECOND)).isBetween(42, 51);
        // Each of the two couriers has half of the reserve, one call per second.
        assertThat(load(10 * Scene.SECOND)).isBetween(8, 11);
    }

    @Test
    void noRateLeaseExceedsTheLimitKnownHere() {
        load(Scene.SECOND);
        view(Map.of(Scene.DEST, new RateLease(1000, scene.nowUs + 10 * Scene.SECOND)), Map.of());
        assertThat(load(5 * Scene.SECOND)).isBetween(42, 51);
    }

    @Test
    void aSuspectedDestinationGetsHalfTheWindow() {
        verdict(TierHealth.SUSPECTED);
        scene.take("a", 0);
        scene.take("b", 0);
        assertThat(scene.sent).hasSize(1);
        verdict(TierHealth.HEALTHY);
        assertThat(scene.sent).hasSize(2);
    }

    @Test
    void duringAnOutageReportedByOthersOnlyPermittedProbesAreMadeAndNothingIsReported() {
        verdict(TierHealth.DOWN);
        scene.take("a", 0);
        scene.pass(5 * Scene.SECOND);
        assertThat(scene.sent).isEmpty();
        assertThat(scene.control.reports(scene.nowUs))
                .singleElement()
                .satisfies(report -> assertThat(report.circuit()).isEqualTo(CircuitState.CLOSED));
        final long permitUs = scene.nowUs + Scene.SECOND;
        verdict(TierHealth.DOWN, scene.nowUs - 5 * Scene.SECOND, permitUs);
        assertThat(scene.sent).hasSize(1);
        scene.end("a", Result.REFUSED);
        scene.pass(900 * Scene.MS);
        assertThat(scene.sent).as("one permit, one trial").hasSize(1);
        verdict(TierHealth.DOWN, scene.nowUs - 6 * Scene.SECOND, scene.nowUs + 2 * Scene.SECOND);
        scene.pass(Scene.SECOND);
        assertThat(scene.sent).hasSize(2);
        scene.deliver("a", null);
        assertThat(scene.control.reports(scene.nowUs))
                .singleElement()
                .satisfies(report -> assertThat(report.circuit()).isEqualTo(CircuitState.SLOW_START));
    }

    @Test
    void withoutACoordinatorEachCourierProbesAndExpiredVerdictsAreIgnored() {
        verdict(TierHealth.DOWN, scene.nowUs, NEVER);
        scene.take("a", 0);
        scene.pass(12 * Scene.SECOND);
        assertThat(scene.sent).isNotEmpty();
        final Scene other = Scene.withTwoEndpoints(Scene.settings());
        other.control.onFleetView(
                other.nowUs,
                new FleetView(
                        RESERVE,
                        Map.of(),
                        Map.of(Scene.DEST, new Verdict(TierHealth.DOWN, other.nowUs, 0, other.nowUs, 0))));
        other.take("a", 0);
        assertThat(other.sent).hasSize(1);
    }

    @Test
    void onlyEvidenceLaterThanItsOwnFailuresEndsAnOutage() {
        for (int n = 0; n < 4; n++) {
            scene.take("f" + n, 0, null, 2 * Scene.SECOND);
            scene.pass(Scene.SECOND);
            scene.sent.stream()
                    .map(Scene.Sent::id)
                    .distinct()
                    .filter(id -> scene.ended(id) < scene.count(id))
                    .toList()
                    .forEach(id -> scene.end(id, Result.RESET));
        }
        assertThat(phase()).isEqualTo(CircuitState.OPEN);
        verdict(TierHealth.RECOVERED, scene.nowUs - 2 * Scene.SECOND, 0);
        assertThat(phase()).as("evidence from before").isEqualTo(CircuitState.OPEN);
        scene.pass(100 * Scene.MS);
        verdict(TierHealth.RECOVERED, scene.nowUs, 0);
        assertThat(phase()).isEqualTo(CircuitState.SLOW_START);
    }

    private CircuitState phase() {
        return scene.control.reports(scene.nowUs).get(0).circuit();
    }
}
