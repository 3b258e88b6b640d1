package driftchute.fleet.membership;

import static org.assertj.core.api.Assertions.assertThat;

import driftchute.fleet.ClockReading;
import driftchute.fleet.Component;
import driftchute.fleet.EventLog;
import driftchute.fleet.Tier;
import driftchute.fleet.VirtualFleet;
import driftchute.fleet.VirtualFleet.NetworkFaults;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.function.BooleanSupplier;
import java.util.function.IntFunction;
import java.util.function.Predicate;
import java.util.stream.IntStream;
import org.HdrHistogram.Histogram;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Whole tiers on a virtual clock and network, with many seeds of each fault. Durations in virtual us. */
class MembershipTest {
    private static final long PERIOD = 1_000_000;

    /** A logged event. */
    private record Told(int at, String name, int member) {}

    /** A tier of couriers that have all found each other. */
    private static final class World {
        private final VirtualFleet fleet;
        private final Membership[] at;
        private final long[] kept;
        private final List<Told> told = new ArrayList<>();

        World(final int size, final long seed) {
            at = new Membership[size];
            kept = new long[size];
            fleet = new VirtualFleet(size, seed, this::parts);
            IntStream.range(0, size).forEach(fleet::start);
            await(120 * PERIOD, () -> agree(id -> MemberState.ALIVE));
            told.clear();
        }

        private List<Component> parts(final Tier tier, final ClockReading start, final long seed) {
            final int self = tier.self();
            final EventLog events = (name, fields) ->
                    told.add(new Told(self, name, "member".equals(fields[0]) ? (int) fields[1] : self));
            at[self] = new Membership(tier, PERIOD, seed, kept[self] + 1, start, events, incarnation -> {
                assertThat(incarnation).as("kept by " + self).isGreaterThan(kept[self]);
                kept[self] = incarnation;
            });
            return List.of(at[self]);
        }

        /** Whether every running courier has the expected state of each, and has stored its own incarnation. */
        boolean agree(final IntFunction<MemberState> expected) {
            return IntStream.range(0, at.length)
                    .filter(fleet::isUp)
                    .allMatch(observer -> kept[observer] == at[observer].incarnation()
                            && IntStream.range(0, at.length)
                                    .allMatch(id -> at[observer].state(id) == expected.apply(id)));
        }

        /** Advances the clock until the condition holds and returns the time; fails if it takes longer. */
        long await(final long mostUs, final BooleanSupplier holds) {
            final long fromUs = fleet.nowUs();
            while (!holds.getAsBoolean()) {
                assertThat(fleet.nowUs() - fromUs).as(this::states).isLessThan(mostUs);
                fleet.run(PERIOD / 10);
            }
            return fleet.nowUs() - fromUs;
        }

        String states() {
            return IntStream.range(0, at.length)
                    .filter(fleet::isUp)
                    .mapToObj(observer -> observer + ":"
                            + IntStream.range(0, at.length)
                                    .mapToObj(at[observer]::state)
                                    .toList() + "\n")
                    .toList()
                    .toString();
        }

        long count(final String name, final Predicate<Told> which) {
            return told.stream()
                    .filter(event -> event.name().equals(name) && which.test(event))
                    .count();
        }
    }

    private static void print(final String what, final Histogram us) {
        System.out.printf(
                "membership: %s: p50 %.1f s, p99 %.1f s, most %.1f s%n",
                what, us.getValueAtPercentile(50) / 1e6, us.getValueAtPercentile(99) / 1e6, us.getMaxValue() / 1e6);
    }

    @ParameterizedTest
    @ValueSource(ints = {3, 10, 30})
    void aKilledCourierIsDetectedByAllWithinTheStatedBound(final int size) {
        final Histogram all = new Histogram(3);
        final long aloneUs = (long) (12 * Math.max(1, Math.log10(size)) * PERIOD);
        final long boundUs = (2 * (size - 1) + 1 + 3) * PERIOD + aloneUs;
        for (int seed = 0; seed < 100; seed++) {
            final World world = new World(size, seed);
            final int dead = seed % size;
            world.fleet.kill(dead);
            all.recordValue(
                    world.await(boundUs, () -> world.agree(id -> id == dead ? MemberState.DEAD : MemberState.ALIVE)));
            assertThat(world.count("member_dead", event -> event.member() != dead))
                    .isZero();
        }
        assertThat(all.getValueAtPercentile(50)).as("by several accusers").isLessThan(aloneUs);
        print("killed courier dead to all of " + size + ", bound " + boundUs / PERIOD + " s", all);
    }

    @Test
    void aLossOfAFifthOfAllDatagramsCausesNoFalseDeath() {
        long suspected = 0;
        long refuted = 0;
        for (int seed = 0; seed < 30; seed++) {
            final World world = new World(10, seed);
            world.fleet.weather(NetworkFaults.losing(0.2));
            world.fleet.run(600 * PERIOD);
            assertThat(world.count("member_dead", event -> true))
                    .as("false deaths, seed " + seed)
                    .isZero();
            suspected += world.count("member_suspected", event -> true);
            refuted += world.count("self_refuted", event -> true);
            world.fleet.weather(NetworkFaults.FAIR);
            world.await(30 * PERIOD, () -> world.agree(id -> MemberState.ALIVE));
        }
        assertThat(refuted).isPositive();
        System.out.printf(
                "membership: 20%% loss, 10 couriers, 30 times 10 min: 0 false deaths, %d refutations, "
                        + "%d times a courier held another suspect%n",
                refuted, suspected);
    }

    @ParameterizedTest
    @ValueSource(ints = {6, 60})
    void aPartitionHealsAndAllAgreeAgain(final int seconds) {
        final Histogram healed = new Histogram(3);
        for (int seed = 0; seed < 20; seed++) {
            final World world = new World(30, seed);
            world.fleet.link((from, to) -> from < 10 == to < 10);
            world.fleet.run(seconds * PERIOD);
            world.fleet.link((from, to) -> true);
            healed.recordValue(world.await(60 * PERIOD, () -> world.agree(id -> MemberState.ALIVE)));
            assertThat(world.count("member_dead", event -> event.at() < 10 == event.member() < 10))
                    .isZero();
        }
        print("partition 10|20 of " + seconds + " s, healed until all agree", healed);
    }

    /**
     * It is suspended with probes in progress on a slow network, or while it has one suspect that refutes meanwhile.
     */
    @Test
    void aSuspendedCourierDoubtsItselfAndDeclaresNobodyDead() {
        for (int seed = 0; seed < 60; seed++) {
            final World world = new World(10, seed);
            final boolean holdsSuspect = seed % 2 == 1;
            world.fleet.weather(new NetworkFaults(0, 0, 0, 50_000, 300_000, 0));
            world.fleet.link((from, to) -> !holdsSuspect || from != 7 && to != 7);
            world.fleet.run(4 * PERIOD);
            world.fleet.pause(3);
            world.fleet.link((from, to) -> true);
            world.fleet.run((holdsSuspect ? 15 : 5) * PERIOD);
            world.fleet.resume(3);
            assertThat(world.at[3].localHealth()).isPositive();
            world.fleet.run(30 * PERIOD);
            assertThat(world.count("self_paused", event -> event.at() == 3)).isEqualTo(1);
            assertThat(world.count("member_dead", event -> event.at() == 3))
                    .as("buried by the paused")
                    .isZero();
            assertThat(holdsSuspect ? 0 : world.count("member_suspected", event -> event.member() != 3))
                    .isZero();
            assertThat(world.agree(id -> MemberState.ALIVE)).as(world::states).isTrue();
        }
    }

    @Test
    void aRestartRejoinsAndALeaverIsNeverSuspected() {
        final Histogram left = new Histogram(3);
        for (int seed = 0; seed < 20; seed++) {
            final World world = new World(30, seed);
            world.fleet.kill(2);
            world.fleet.run(seed * PERIOD);
            world.fleet.start(2);
            world.await(20 * PERIOD, () -> world.agree(id -> MemberState.ALIVE));
            assertThat(world.at[0].incarnation()).isEqualTo(1);
            assertThat(world.at[2].incarnation()).isGreaterThan(1);
            world.fleet.run(60 * PERIOD);
            world.told.clear();
            world.fleet.weather(NetworkFaults.losing(0.2));
            world.fleet.tell(2, world.at[2]::leave);
            assertThat(world.at[2].present()).doesNotContain(2);
            world.fleet.run(PERIOD / 10);
            world.fleet.kill(2);
            left.recordValue(world.await(
                    10 * PERIOD,
                    () -> IntStream.range(0, 30)
                            .allMatch(observer -> world.at[observer].state(2) == MemberState.LEFT)));
            world.fleet.run(60 * PERIOD);
            assertThat(world.count("member_suspected", event -> event.member() == 2))
                    .isZero();
            assertThat(world.at[3].state(2)).isEqualTo(MemberState.LEFT);
            world.fleet.weather(NetworkFaults.FAIR);
            world.fleet.start(2);
            world.await(30 * PERIOD, () -> world.agree(id -> MemberState.ALIVE));
        }
        print("a leave known to all of 30 at 20% loss", left);
    }

    @Test
    void oneWayLossHarmsNobodyElse() {
        for (int seed = 0; seed < 20; seed++) {
            final World world = new World(10, seed);
            world.fleet.link((from, to) -> from != 1 || to != 4);
            world.fleet.run(60 * PERIOD);
            assertThat(world.count("member_suspected", event -> true))
                    .as("helpers go around one link")
                    .isZero();
            world.fleet.link((from, to) -> to != 1);
            world.fleet.run(60 * PERIOD);
            assertThat(world.count("member_dead", event -> event.member() != 1 && event.at() != 1))
                    .isZero();
            assertThat(world.at[4].isPresent(1)).isFalse();
            world.fleet.link((from, to) -> from != 1);
            world.fleet.run(60 * PERIOD);
            assertThat(world.count("member_dead", event -> event.member() != 1 && event.at() != 1))
                    .isZero();
            world.fleet.link((from, to) -> true);
            world.await(60 * PERIOD, () -> world.agree(id -> MemberState.ALIVE));
        }
    }

    @Test
    void idleCostIsFlatInTheSizeOfTheTier() {
        final List<Double> costs = new ArrayList<>();
        for (final int size : new int[] {10, 30, 300}) {
            final World world = new World(size, 1);
            world.fleet.run(60 * PERIOD);
            final long bytes = world.fleet.bytes();
            final long datagrams = world.fleet.datagrams();
            world.fleet.run(100 * PERIOD);
            final double seconds = 100.0 * size;
            costs.add((world.fleet.bytes() - bytes) / seconds);
            System.out.printf(
                    "membership: idle, %d couriers: %.1f bytes, %.2f datagrams a courier a second%n",
                    size, (world.fleet.bytes() - bytes) / seconds, (world.fleet.datagrams() - datagrams) / seconds);
        }
        assertThat(costs).allMatch(cost -> cost < 90);
        assertThat(costs.get(2)).isLessThan(costs.get(1) * 1.5);
    }

    /** One courier continuously accuses the others, also to one that starts and knows nobody. */
    @Test
    void aFalseAccuserCausesNoDeathAndNoRunawayIncarnation() {
        for (int seed = 0; seed < 20; seed++) {
            final World world = new World(10, seed);
            final Random random = new Random(seed);
            world.fleet.kill(5);
            world.fleet.start(5);
            for (int lie = 0; lie < 200; lie++) {
                final MemberState state = List.of(MemberState.ALIVE, MemberState.SUSPECT, MemberState.DEAD)
                        .get(random.nextInt(3));
                final long above = 1L << random.nextInt(49);
                final int about = 1 + random.nextInt(9);
                world.fleet.tell(
                        0,
                        (now, out) -> IntStream.range(1, 10)
                                .forEach(peer ->
                                        out.send(peer, new Messages.Gossip(about, new Claim(state, above), 0))));
                world.fleet.run(PERIOD / 10);
            }
            assertThat(world.count("member_dead", event -> event.at() != 0))
                    .as("deaths by lies")
                    .isZero();
            world.await(120 * PERIOD, () -> world.agree(id -> MemberState.ALIVE));
            assertThat(Arrays.stream(world.kept).max().orElseThrow())
                    .isLessThan(200 * (MemberTable.MAX_INCARNATION_JUMP + 1));
            assertThat(Arrays.stream(world.at).mapToLong(Membership::refused).sum())
                    .isPositive();
        }
    }

    /** Faults of all kinds at once; when they end, all couriers have the true state. */
    @Test
    void afterAnyFaultsAllCouriersAgree() {
        final Histogram settled = new Histogram(3);
        for (int seed = 0; seed < 100; seed++) {
            final int size = 2 + seed % 9;
            final World world = new World(size, seed);
            final Random random = new Random(seed);
            world.fleet.weather(new NetworkFaults(0.2, 0.1, 0.1, 100, 200_000, 5_000_000));
            for (int fault = 0; fault < 40; fault++) {
                final int id = random.nextInt(size);
                switch (random.nextInt(6)) {
                    case 0 -> world.fleet.kill(id);
                    case 1 -> {
                        world.fleet.kill(id);
                        world.kept[id] = random.nextInt(4) == 0 ? 0 : world.kept[id];
                        world.fleet.start(id);
                    }
                    case 2 -> world.fleet.pause(id);
                    case 3 -> world.fleet.resume(id);
                    case 4 -> world.fleet.link((from, to) -> from <= id == to <= id);
                    default -> world.fleet.link((from, to) -> from != id);
                }
                world.fleet.run(random.nextInt(4) * PERIOD);
            }
            world.fleet.weather(NetworkFaults.FAIR);
            world.fleet.link((from, to) -> true);
            IntStream.range(0, size).forEach(world.fleet::resume);
            settled.recordValue(world.await(
                    180 * PERIOD,
                    () -> IntStream.range(0, size)
                            .filter(world.fleet::isUp)
                            .allMatch(observer -> IntStream.range(0, size)
                                    .allMatch(id -> world.at[observer].isPresent(id) == world.fleet.isUp(id)))));
        }
        print("after faults of every kind until all agree", settled);
    }
}
