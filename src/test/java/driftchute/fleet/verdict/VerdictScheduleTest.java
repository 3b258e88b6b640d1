package driftchute.fleet.verdict;

import static org.assertj.core.api.Assertions.assertThat;

import driftchute.Courier;
import driftchute.Courier.CircuitState;
import driftchute.Courier.TierHealth;
import driftchute.fleet.ClockReading;
import driftchute.fleet.Message;
import driftchute.fleet.verdict.VerdictSimulation.Node;
import driftchute.fleet.verdict.VerdictSimulation.Term;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Ten couriers, many schedules: how verdicts spread, when none may occur, and one probe at a time. */
final class VerdictScheduleTest {
    private static final long MS = VerdictSimulation.MS;
    private static final long SECOND = VerdictSimulation.SECOND;
    private static final int COURIERS = 10;
    private static final int SEEDS = 100;
    private static final int PLAYS = 20;
    /** The stated bound: two periods of the membership probes that carry digests. */
    private static final long BOUND_US = 2 * SECOND;

    /** Runs until the first courier has that verdict, then until all have: the time between. */
    private static long spreadUs(final VerdictSimulation scene, final TierHealth standing) {
        final long endUs = scene.nowUs + 20 * SECOND;
        long firstUs = -1;
        while (scene.nowUs < endUs) {
            scene.run(scene.nowUs + 5 * MS);
            final long hold = scene.nodes.stream()
                    .filter(node -> node.standing() == standing)
                    .count();
            firstUs = firstUs < 0 && hold > 0 ? scene.nowUs : firstUs;
            if (hold == COURIERS) {
                return scene.nowUs - firstUs;
            }
        }
        throw new AssertionError(standing + " is not reached by all: "
                + scene.nodes.stream().map(Node::standing).toList());
    }

    @ParameterizedTest
    @ValueSource(doubles = {0, 0.2})
    void allCouriersLearnOfAnOutageAndOfItsEndWithinTheBoundThoughOnlyTwoCallThere(final double loss) {
        final long[] outUs = new long[SEEDS];
        final long[] backUs = new long[SEEDS];
        for (int seed = 0; seed < SEEDS; seed++) {
            final VerdictSimulation scene = new VerdictSimulation(seed, COURIERS, 2);
            scene.loss = loss;
            scene.duty.add(new Term(0, 9, 1));
            scene.out = us -> us >= SECOND && us < 8 * SECOND;
            outUs[seed] = spreadUs(scene, TierHealth.DOWN);
            backUs[seed] = spreadUs(scene, TierHealth.RECOVERED);
            final long beforeUs = scene.nowUs;
            scene.run(beforeUs + 8 * SECOND);
            assertThat(scene.nodes)
                    .as("seed %d: the ramp lasts the cold time, then all is well", seed)
                    .allMatch(node -> node.standing() == TierHealth.RECOVERED);
            scene.run(beforeUs + 11 * SECOND);
            assertThat(scene.nodes).as("seed %d", seed).allMatch(node -> node.verdict() == null);
            scene.run(beforeUs + 25 * SECOND);
            final long bytes = scene.bytes;
            scene.run(beforeUs + 35 * SECOND);
            assertThat(scene.bytes - bytes).as("forgotten: probes alone").isBetween(7L * 90, 7L * 110);
        }
        Arrays.sort(outUs);
        Arrays.sort(backUs);
        final int p99 = SEEDS * 99 / 100;
        System.out.printf(
                "verdict: loss %.1f: OUT p50 %d ms, p99 %d ms; BACK p50 %d ms, p99 %d ms%n",
                loss, outUs[SEEDS / 2] / MS, outUs[p99] / MS, backUs[SEEDS / 2] / MS, backUs[p99] / MS);
        assertThat(outUs[p99]).isLessThanOrEqualTo(BOUND_US);
        assertThat(backUs[p99]).isLessThanOrEqualTo(BOUND_US);
    }

    @Test
    void nothingIsSuspectedWithoutFailuresAndOneCouriersTroubleStaysASuspicion() {
        int suspected = 0;
        for (int seed = 0; seed < 20; seed++) {
            final VerdictSimulation scene = new VerdictSimulation(seed, COURIERS, COURIERS);
            scene.loss = 0.2;
            scene.duty.add(new Term(0, 9, 1));
            while (scene.nowUs < 20 * SECOND) {
                scene.run(scene.nowUs + 50 * MS);
                assertThat(scene.nodes).allMatch(node -> node.standing() == TierHealth.HEALTHY);
            }
            assertThat(scene.bytes).as("probes alone").isLessThanOrEqualTo(7L * COURIERS * 21);
            for (int round = 0; round < 200; round++) {
                if (round % 10 == 0) {
                    for (int call = 0; call < 3; call++) {
                        scene.nodes.get(3).failed();
                    }
                }
                scene.run(scene.nowUs + 50 * MS);
                suspected += scene.nodes.get(5).standing() == TierHealth.SUSPECTED ? 1 : 0;
                assertThat(scene.nodes)
                        .as("nobody echoes it")
                        .allMatch(node ->
                                node.standing() == TierHealth.HEALTHY || node.standing() == TierHealth.SUSPECTED);
            }
        }
        assertThat(suspected).as("of 4,000 looks").isBetween(1, 1000);
    }

    /** Runs a hang of 10 s, with at most one permit at any time; returns the number of probes. */
    private static long trialsInAHang(final VerdictSimulation scene) {
        scene.out = us -> us >= SECOND && us < 11 * SECOND;
        while (scene.nowUs < 11 * SECOND) {
            scene.run(scene.nowUs + 10 * MS);
            assertThat(scene.nodes.stream().filter(Node::mayTry).count())
                    .as("permits at once")
                    .isLessThanOrEqualTo(1);
        }
        return scene.trials;
    }

    @Test
    void probesAreAssignedOneAtATimeAndAreFewerThanHalfOfThoseOfLoneCouriers() {
        long dealt = 0;
        long replaced = 0;
        long alone = 0;
        for (int seed = 0; seed < PLAYS; seed++) {
            final VerdictSimulation calm = new VerdictSimulation(seed, COURIERS, COURIERS);
            calm.duty.add(new Term(0, 0, 1));
            dealt += trialsInAHang(calm);
            final VerdictSimulation stopped = new VerdictSimulation(seed, COURIERS, COURIERS);
            stopped.loss = 0.2;
            final long stopUs = 5 * SECOND + seed * 100 * MS;
            stopped.duty.addAll(List.of(new Term(0, 0, 1), new Term(stopUs + SECOND, 1, 2)));
            stopped.at(stopUs, () -> stopped.nodes.get(0).stoppedUntilUs = stopUs + 3 * SECOND);
            replaced += trialsInAHang(stopped);
            spreadUs(stopped, TierHealth.RECOVERED);
            final VerdictSimulation lone = new VerdictSimulation(seed, COURIERS, COURIERS);
            lone.fleet = false;
            alone += trialsInAHang(lone);
        }
        System.out.printf(
                "trials in a hang of 10 s, mean of %d: dealt out %.1f, trier replaced %.1f, alone %.1f%n",
                PLAYS, (double) dealt / PLAYS, (double) replaced / PLAYS, (double) alone / PLAYS);
        assertThat(dealt).isLessThan(alone / 2);
        assertThat(replaced).isLessThan(alone / 2);
    }

    @Test
    void withoutACoordinatorForTwoLeaseTimesEachCourierProbes() {
        final VerdictSimulation scene = new VerdictSimulation(1, COURIERS, COURIERS);
        scene.duty.addAll(List.of(new Term(0, 0, 1), new Term(4 * SECOND, -1, 1), new Term(16 * SECOND, 1, 2)));
        scene.out = us -> us >= SECOND;
        scene.run(9 * SECOND);
        assertThat(scene.nodes).allMatch(node -> node.verdict().probeUntilUs() != Long.MAX_VALUE);
        scene.run(11 * SECOND);
        assertThat(scene.nodes).allMatch(node -> node.verdict().probeUntilUs() == Long.MAX_VALUE);
        scene.run(17 * SECOND);
        assertThat(scene.nodes).allMatch(node -> node.verdict().probeUntilUs() != Long.MAX_VALUE);
    }

    @Test
    void falseReportsAreBoundedAndLateFailuresOfAnOldOutageStartNoNewOne() {
        final VerdictSimulation scene = new VerdictSimulation(1, COURIERS, 0);
        scene.loss = 1;
        final Node node = scene.nodes.get(0);
        scene.run(SECOND);
        final ClockReading now = node.now();
        final long ms = now.wallMs();
        final List<Message> said = new ArrayList<>();
        hear(
                node,
                new FailureReport(7, 1, ms + 1001, ms, ms, 3, 0),
                new FailureReport(7, 2, ms - 60_000, ms - 60_000, 1, 3, 0));
        assertThat(node.verdict()).as("from the future, and of a minute ago").isNull();
        assertThat(node.verdicts.refused()).isEqualTo(2);
        hear(node, new FailureReport(7, 0, ms + 1, ms, ms, 3, 0));
        node.verdicts.receive(now, 1, new VerdictMessages.Pull(), (peer, message) -> said.add(message));
        assertThat(node.verdict()).as("in its own name: withdrawn").isNull();
        assertThat(said).contains(new FailureReport(7, 0, ms + 2, ms + 2, ms + 2, 0, 0));

        hear(node, new FailureReport(7, 1, ms, ms - 10, ms - 900, 3, 0));
        assertThat(node.standing()).isEqualTo(TierHealth.SUSPECTED);
        hear(node, new FailureReport(7, 1, ms + 3, ms - 10, ms - 900, 3, ms + 5000));
        assertThat(node.standing()).as("told shut").isEqualTo(TierHealth.DOWN);
        assertThat(node.verdict().closedUntilUs()).isEqualTo(now.monoUs() + 5000 * MS);
        final RecoveryEvidence.Delivery seen = new RecoveryEvidence.Delivery(ms, 4);
        hear(node, new RecoveryEvidence(7, seen, seen));
        assertThat(node.standing()).isEqualTo(TierHealth.RECOVERED);
        assertThat(node.verdict().sinceUs()).isEqualTo(now.monoUs());
        scene.run(4 * SECOND);
        hear(
                node,
                new FailureReport(7, 2, ms + 2900, ms + 2900, ms - 800, 3, 0),
                new FailureReport(7, 3, ms + 2900, ms + 2900, ms - 800, 3, 0));
        assertThat(node.standing())
                .as("calls of the old outage that time out late")
                .isEqualTo(TierHealth.RECOVERED);
        hear(
                node,
                new FailureReport(7, 2, ms + 3000, ms + 2900, ms + 1, 3, 0),
                new FailureReport(7, 3, ms + 3000, ms + 2900, ms + 1, 3, 0));
        assertThat(node.standing()).as("a new outage").isEqualTo(TierHealth.DOWN);
        scene.run(13_990 * MS);
        assertThat(node.standing()).isEqualTo(TierHealth.DOWN);
        scene.run(14_000 * MS);
        assertThat(node.verdict()).as("stale: counts for nothing").isNull();
    }

    @Test
    void aPermitCountsOnlyForTheLatestRequestUnderThePresentTokenFromItsHolder() {
        final VerdictSimulation scene = new VerdictSimulation(1, COURIERS, 0);
        scene.loss = 1;
        scene.duty.addAll(List.of(new Term(0, 4, 1), new Term(1100 * MS, 5, 2)));
        final Node node = scene.nodes.get(0);
        scene.run(SECOND);
        final ClockReading asked = node.now();
        final long ms = asked.wallMs();
        hear(node, new FailureReport(7, 1, ms, ms, ms, 3, 0), new FailureReport(7, 2, ms, ms, ms, 3, 0));
        node.verdicts.onReports(
                asked,
                List.of(new Courier.DestinationReport(7, 0, 1, 1, CircuitState.CLOSED, 0, Long.MAX_VALUE, 0, 0)));
        final List<Message> said = new ArrayList<>();
        node.verdicts.tick(asked, (peer, message) -> said.add(message));
        assertThat(said).contains(new VerdictMessages.ProbeRequest(7, 1));
        scene.run(1200 * MS);
        node.verdicts.receive(node.now(), 4, new VerdictMessages.ProbeReply(7, 1, 1, 0), (peer, message) -> {});
        node.verdicts.receive(node.now(), 5, new VerdictMessages.ProbeReply(7, 1, 1, 0), (peer, message) -> {});
        node.verdicts.receive(node.now(), 4, new VerdictMessages.ProbeReply(7, 1, 2, 0), (peer, message) -> {});
        node.verdicts.receive(node.now(), 5, new VerdictMessages.ProbeReply(7, 0, 2, 0), (peer, message) -> {});
        assertThat(node.verdict().probeUntilUs()).isZero();
        node.verdicts.receive(node.now(), 5, new VerdictMessages.ProbeReply(7, 1, 2, 0), (peer, message) -> {});
        assertThat(node.verdict().probeUntilUs())
                .as("from the ask, less the drift")
                .isEqualTo(asked.monoUs() + 500 * MS - 500);
    }

    private static void hear(final Node node, final Message... messages) {
        for (final Message message : messages) {
            node.verdicts.receive(node.now(), 1, message, (peer, said) -> {});
        }
    }
}
