package driftchute.fleet.lane;

import static org.assertj.core.api.Assertions.assertThat;

import driftchute.fleet.ClockReading;
import driftchute.fleet.ControlPlane;
import driftchute.fleet.Message;
import driftchute.fleet.Tier;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/**
 * A change of the lane configuration rolled out through the fleet, by seeded schedules with loss, duplication, delay
 * and restarts.
 */
final class LaneConfigVersionsTest {
    private static final long SECOND = 1_000_000;
    private static final long STEP_US = 250_000;
    private static final Lanes OLD = LanesTest.threeLanes(5, 20, 0.3, 0.3, 0.1);
    private static final Lanes NEW = LanesTest.threeLanes(6, 10, 0.2, 0.4, 0.1);

    /** Couriers, each of which also pings one peer per second, so that gossip about versions can be sent. */
    private static final class Rolling {
        final Random random;
        final int size;
        final double loss;
        final List<LaneConfigVersions> versions = new ArrayList<>();
        final List<ControlPlane> planes = new ArrayList<>();
        final List<String> events = new ArrayList<>();
        final List<LaneSimulation.Datagram> air = new ArrayList<>();
        long nowUs = -7 * SECOND;
        long bytes;

        Rolling(final int size, final double loss, final long seed) {
            this.size = size;
            this.loss = loss;
            this.random = new Random(seed);
            for (int i = 0; i < size; i++) {
                versions.add(null);
                planes.add(null);
                start(i, OLD);
            }
        }

        void start(final int self, final Lanes first) {
            final LaneConfigVersions started = new LaneConfigVersions(
                    new Tier(self, size, 1),
                    first,
                    (name, fields) -> events.add(self + " " + name + Arrays.asList(fields)));
            versions.set(self, started);
            planes.set(self, new ControlPlane(new Tier(self, size, 1), List.of(started), (peer, datagram) -> {
                for (int left = random.nextInt(10) == 0 ? 2 : 1; left > 0 && random.nextDouble() >= loss; left--) {
                    air.add(new LaneSimulation.Datagram(nowUs + random.nextInt(2_000_000), self, peer, datagram));
                }
            }));
        }

        ClockReading now() {
            return new ClockReading(nowUs, 0);
        }

        /** Continues; no courier may ever use the new configuration before a majority has it. */
        void run(final double seconds) {
            for (final long endUs = nowUs + (long) (seconds * SECOND); nowUs < endUs; nowUs += STEP_US) {
                final List<LaneSimulation.Datagram> due =
                        air.stream().filter(each -> each.atUs() <= nowUs).toList();
                air.removeAll(due);
                due.forEach(each -> planes.get(each.to()).receive(now(), each.from(), each.bytes()));
                for (int i = 0; i < size; i++) {
                    planes.get(i).tick(now());
                    ping(i, random.nextInt(size));
                }
                final long have = versions.stream()
                        .filter(each -> each.latest().version() >= NEW.version())
                        .count();
                assertThat(have > size / 2
                                || versions.stream()
                                        .allMatch(each -> each.lanes().version() == 5))
                        .isTrue();
            }
        }

        private void ping(final int from, final int to) {
            for (final Message riding : versions.get(from).gossip(now(), to, 100)) {
                bytes += riding.size() + 2;
                if (to != from && random.nextDouble() >= loss) {
                    versions.get(to).receive(now(), from, riding, planes.get(to).outbox());
                    planes.get(to).flush(now());
                }
            }
        }
    }

    @Property(tries = 300, seed = "18")
    void theNewConfigurationAppliesOnceAMajorityHasItAndTheStricterOneUntilThen(
            @ForAll final long seed,
            @ForAll @IntRange(min = 1, max = 9) final int size,
            @ForAll @IntRange(max = 40) final int percent) {
        final Rolling fleet = new Rolling(size, percent / 100.0, seed);
        fleet.run(10);
        final int minority = (size + 1) / 2 - 1;
        for (int i = 0; i < minority; i++) {
            fleet.versions.get(i).offer(fleet.now(), NEW);
            fleet.run(1);
            assertThat(fleet.versions.get(i).lanes().quota(0))
                    .as("the lower quota")
                    .isEqualTo(10);
            assertThat(fleet.versions.get(i).lanes().shares())
                    .as("the lower shares")
                    .containsExactly(0.2, 0.3, 0.1);
        }
        fleet.run(20);
        assertThat(fleet.versions).allMatch(each -> each.lanes().digest() == OLD.digest());
        for (int i = minority; i < size; i++) {
            fleet.versions.get(i).offer(fleet.now(), NEW);
            fleet.run(1);
            if (i >= size / 2 && fleet.random.nextInt(4) == 0) {
                fleet.start(i, NEW);
            }
        }
        fleet.run(60);
        assertThat(fleet.versions).allMatch(each -> each.lanes() == NEW);
        fleet.bytes = 0;
        fleet.run(100);
        assertThat(fleet.bytes / 100.0 / size).as("idle bytes a second").isLessThan(5);
    }

    @Test
    void lowerOrConflictingVersionsAreRefusedAndAnOutdatedCourierLogsIt() {
        final Rolling fleet = new Rolling(3, 0, 1);
        fleet.run(2);
        fleet.versions.get(0).offer(fleet.now(), LanesTest.threeLanes(5, 1, 0.1, 0.1, 0.1));
        fleet.versions.get(0).offer(fleet.now(), LanesTest.threeLanes(4, 1, 0.1, 0.1, 0.1));
        fleet.versions.get(0).offer(fleet.now(), OLD);
        assertThat(fleet.versions.get(0).lanes()).isSameAs(OLD);
        assertThat(fleet.events).hasSize(2).allMatch(event -> event.startsWith("0 lanes_refused"));
        List.of(1, 2).forEach(other -> fleet.versions.get(other).offer(fleet.now(), NEW));
        fleet.run(5);
        assertThat(fleet.versions.get(0).lanes()).isSameAs(OLD);
        assertThat(fleet.events)
                .filteredOn(event -> event.startsWith("0 lanes_behind"))
                .hasSize(1);
    }
}
