package driftchute.fleet.lease;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

import driftchute.fleet.ClockReading;
import driftchute.fleet.EventLog;
import driftchute.fleet.Message;
import driftchute.fleet.Tier;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.HdrHistogram.Histogram;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Roles on a virtual clock and network: seeded schedules with faults, measured takeovers, bytes, and false messages.
 */
class RoleLeasesTest {
    private static final long LEASE_US = LeaseSimulation.LEASE_US;
    private static final int PPM = 1000;
    private static final int MAX_PPM = 100_000;
    private static final int SCHEDULES = 1500;

    /** Faults for ten lease times, then none for twelve. */
    private static LeaseSimulation played(final int seed, final LeaseTiming terms, final int ppm, final long skewMs) {
        final LeaseSimulation net = new LeaseSimulation(3 + seed % 5, terms, ppm / 1e6, skewMs, seed);
        final long untilUs = net.nowUs + 10 * LEASE_US;
        while (net.nowUs < untilUs) {
            net.runFor(net.random.nextLong(LEASE_US / 2));
            net.strike();
        }
        net.calm();
        net.runFor(12 * LEASE_US);
        return net;
    }

    @Test
    void neverTwoHoldersTokensGrowAndEveryRoleIsHeldOnceFaultsEnd() {
        final int[] drifts = {0, PPM, 20 * PPM, MAX_PPM};
        long holdings = 0;
        for (int seed = 0; seed < SCHEDULES; seed++) {
            final int ppm = drifts[seed % drifts.length];
            final LeaseSimulation net = played(seed, LeaseTiming.of(LEASE_US, ppm), ppm, 20);
            assertThat(net.broken).as("seed " + seed).isEmpty();
            for (int duty = 0; duty < LeaseSimulation.DUTIES.size(); duty++) {
                final int number = duty;
                assertThat(net.nodes)
                        .as("seed " + seed)
                        .filteredOn(node -> node.holds(number))
                        .hasSize(1);
            }
            holdings += net.holdings;
        }
        System.out.println("leases: " + SCHEDULES + " schedules, " + holdings + " holdings");
        assertThat(holdings).isGreaterThan(5L * SCHEDULES);
    }

    @Test
    void wallClocksThatAreDaysApartMakeNoSecondHolder() {
        for (int seed = 0; seed < SCHEDULES / 3; seed++) {
            final LeaseSimulation net = played(seed, LeaseTiming.of(LEASE_US, MAX_PPM), MAX_PPM, 200_000_000);
            assertThat(net.broken).as("seed " + seed).noneMatch(problem -> problem.startsWith("two"));
            assertThat(net.nodes)
                    .as("seed " + seed)
                    .anyMatch(node -> node.holds(0))
                    .anyMatch(node -> node.holds(1));
        }
    }

    @ParameterizedTest
    @CsvSource({"margin", "wait"})
    void theCheckerNoticesAMissingMarginAndAMissingWait(final String missing) {
        final LeaseTiming right = LeaseTiming.of(LEASE_US, MAX_PPM);
        final LeaseTiming wrong = "margin".equals(missing)
                ? new LeaseTiming(LEASE_US, LEASE_US, right.startupWaitUs())
                : new LeaseTiming(LEASE_US, right.holderUs(), 0);
        final long caught = IntStream.range(0, SCHEDULES / 3)
                .mapToObj(seed -> played(seed, wrong, MAX_PPM, 20).broken)
                .filter(broken -> broken.stream().anyMatch(problem -> problem.startsWith("two")))
                .count();
        System.out.println("leases: no " + missing + ": two holders in " + caught + " of " + SCHEDULES / 3);
        assertThat(caught).isPositive();
    }

    @ParameterizedTest
    @CsvSource({"3, 0", "3, 0.2", "10, 0", "10, 0.2", "30, 0", "30, 0.2"})
    void aKilledHoldersRoleIsTakenWithinTwoLeaseTimes(final int size, final double loss) {
        final LeaseSimulation net = new LeaseSimulation(size, LeaseTiming.of(LEASE_US, PPM), PPM / 1e6, 20, size);
        net.loss = loss;
        net.runFor(4 * LEASE_US);
        final Histogram ms = new Histogram(3);
        for (int kill = 0; kill < 300; kill++) {
            final LeaseSimulation.Node dead =
                    net.nodes.stream().filter(node -> node.holds(0)).findFirst().orElseThrow();
            dead.up = false;
            final long killedUs = net.nowUs;
            while (net.nodes.stream().noneMatch(node -> node.holds(0)) && net.nowUs < killedUs + 9 * LEASE_US) {
                net.step();
            }
            ms.recordValue((net.nowUs - killedUs) / 1000);
            dead.start();
            net.runFor(2 * LEASE_US + net.random.nextLong(LEASE_US));
            while (net.nodes.stream().noneMatch(node -> node.holds(0))) {
                net.step();
            }
        }
        System.out.printf(
                "leases: takeover, lease 3000 ms, %d couriers, loss %.1f: p50 %d, p99 %d, max %d ms%n",
                size, loss, ms.getValueAtPercentile(50), ms.getValueAtPercentile(99), ms.getMaxValue());
        assertThat(ms.getValueAtPercentile(99)).isLessThan(2 * LEASE_US / 1000);
        assertThat(net.broken).isEmpty();
    }

    @ParameterizedTest
    @CsvSource({"10", "30", "100"})
    void anIdleTierSendsLittle(final int size) {
        final LeaseSimulation net = new LeaseSimulation(size, LeaseTiming.of(LEASE_US, PPM), PPM / 1e6, 20, size);
        net.runFor(4 * LEASE_US);
        final int before = net.holdings;
        final long bytes = net.bytes;
        final long seconds = 120;
        net.runFor(seconds * 1_000_000);
        final double mean = (double) (net.bytes - bytes) / seconds / size;
        System.out.printf("leases: idle, %d couriers, 2 duties, lease 3000 ms: %.1f B/s a courier%n", size, mean);
        assertThat(mean).isLessThan(60);
        assertThat(net.holdings).as("a calm tier keeps its holders").isEqualTo(before);
    }

    @ParameterizedTest
    @CsvSource({"1", "2", "4"})
    void aReleasedRoleIsTakenAtOnceAndTheOldTokenIsRefused(final int size) {
        final LeaseSimulation net = new LeaseSimulation(size, LeaseTiming.of(LEASE_US, PPM), 0, 0, 1);
        net.runFor(LEASE_US * 7 / 4);
        final LeaseSimulation.Node holder =
                net.nodes.stream().filter(node -> node.holds(0)).findFirst().orElseThrow();
        final long old = holder.leases.held(holder.now(), 0).getAsLong();
        assertThat(net.nodes)
                .allMatch(node ->
                        node.leases.holder(node.now(), 0).equals(Optional.of(new RoleHolder(holder.number, old))));
        holder.run(() -> holder.leases.release(holder.now(), holder.plane.outbox()));
        assertThat(holder.holds(0)).isFalse();
        net.runFor(LEASE_US / 2);
        assertThat(net.nodes.stream().filter(node -> node.holds(0)).count()).isEqualTo(size == 1 ? 0 : 1);
        assertThat(net.nodes).allMatch(node -> node.leases.accepts(0, old) == (size == 1));
        assertThat(net.nodes).allMatch(node -> node.leases.refusedActions() == (size == 1 ? 0 : 1));
    }

    /**
     * Whatever figures a peer sends, nothing throws, and once it is silent the roles are held with plausible rounds.
     */
    @Test
    void falseMessagesNeitherCrashNorUseUpTheRounds() throws Exception {
        final LeaseSimulation net = new LeaseSimulation(3, LeaseTiming.of(LEASE_US, PPM), 0, 0, 7);
        final SplittableRandom random = new SplittableRandom(7);
        for (int lie = 0; lie < 50_000; lie++) {
            final LeaseSimulation.Node to = net.nodes.get(random.nextInt(2));
            final int type = ProposerRequest.PREPARE + random.nextInt(7);
            final long round = random.nextLong() >>> 1 + random.nextInt(60);
            final int duty = random.nextInt(3);
            final Message message = type == AcceptorRefusal.REFUSED
                    ? new AcceptorRefusal(duty, 1, 1, round, round)
                    : type > ProposerRequest.RELEASE
                            ? new AcceptorReply(type, duty, 1, round)
                            : new ProposerRequest(type, duty, 1, random.nextInt(9), round, random.nextInt(4000));
            final ByteBuffer body = ByteBuffer.allocate(message.size());
            message.write(body);
            assertThat(body.hasRemaining()).isFalse();
            final Message read = to.leases.readers().get(type).read(body.flip());
            assertThat(read).isEqualTo(message);
            to.run(() -> to.leases.receive(to.now(), 2, read, to.plane.outbox()));
            net.runFor(random.nextLong(2000));
        }
        net.runFor(4 * LEASE_US);
        assertThat(net.nodes).anyMatch(node -> node.holds(0)).anyMatch(node -> node.holds(1));
        assertThat(net.broken).isEmpty();
        assertThat(net.nodes.get(0).leases.ignored()).isPositive();
    }

    @Test
    void outOfBoundsFiguresAreRefused() {
        final ClockReading start = new ClockReading(0, 0);
        final Tier tier = new Tier(0, 1, 1);
        assertThatIllegalArgumentException()
                .isThrownBy(() -> new RoleLeases(tier, List.of(), LEASE_US, PPM, 1, start, EventLog.NONE));
        assertThatIllegalArgumentException().isThrownBy(() -> LeaseTiming.of(-1, PPM));
        assertThatIllegalArgumentException().isThrownBy(() -> LeaseTiming.of(LEASE_US, MAX_PPM + 1));
    }
}
