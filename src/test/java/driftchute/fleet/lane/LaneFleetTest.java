package driftchute.fleet.lane;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Locale;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Five couriers in front of a destination with twice its limit in load; figures are printed. */
final class LaneFleetTest {
    private static final double[] PARTS = {0.2, 0.4, 0.4};

    private static LaneSimulation fleet(final boolean shedding, final int accounts, final long seed) {
        final Lanes lanes = LanesTest.threeLanes(1, accounts == 1 ? 0 : 20, 0.3, 0.3, 0.1);
        final LaneSimulation fleet = new LaneSimulation(5, lanes, shedding, seed);
        fleet.accounts = accounts;
        return fleet;
    }

    private static double premium(final boolean shedding, final double ofLimit) {
        final LaneSimulation fleet = fleet(shedding, 200, 1);
        fleet.offer(ofLimit, PARTS);
        fleet.run(60);
        assertThat(ofLimit > 1 || fleet.fates.stream().allMatch(fate -> fate.leftS() >= 0))
                .as("none is shed")
                .isTrue();
        return fleet.inTime(0, 5, 55);
    }

    @ParameterizedTest
    @CsvSource({"200, 0", "200, 0.3", "1, 0"})
    void atTwiceTheLimitPremiumIsInTimeEachLaneHasItsShareAndTheLimitIsUsed(final int accounts, final double loss) {
        final double calm = premium(true, 0.8);
        final double without = premium(false, 2);
        final LaneSimulation fleet = fleet(true, accounts, 2);
        fleet.loss = loss;
        fleet.offer(2, PARTS);
        fleet.run(60);
        final double with = fleet.inTime(0, 5, 55);
        System.out.printf(
                Locale.ROOT,
                "accounts %d, loss %.1f: premium in time %.4f, without overload %.4f, without "
                        + "lanes %.4f; least in 5 s: standard %.0f, bulk %.0f; use %.3f; overruled %.3f; %.0f bytes/s each%n",
                accounts,
                loss,
                with,
                calm,
                without,
                fleet.leastInFive(1, 5, 55),
                fleet.leastInFive(2, 5, 55),
                fleet.use(5, 55),
                fleet.overruled / 120_000.0,
                fleet.bytes / 60.0 / fleet.size);
        assertThat(with).isGreaterThanOrEqualTo(0.95 * calm);
        assertThat(without).isLessThan(0.6);
        assertThat(fleet.leastInFive(1, 5, 55)).isGreaterThanOrEqualTo(0.3 * LaneSimulation.LIMIT);
        assertThat(fleet.leastInFive(2, 5, 55))
                .isGreaterThanOrEqualTo((accounts > 1 ? 0.1 : 0.095) * LaneSimulation.LIMIT);
        assertThat(accounts == 1 || fleet.overruled < 0.02 * 120_000)
                .as("the same accounts everywhere")
                .isTrue();
        assertThat(fleet.use(5, 55)).isGreaterThanOrEqualTo(0.9);
        if (loss == 0) {
            assertThat(fleet.levels()).as("one level at all couriers").hasSize(1);
        }
    }

    @Test
    void levelsFromOthersThanTheHolderOrFromAnotherTimeAreIgnored() {
        final LaneSimulation fleet = fleet(true, 200, 3);
        fleet.token = 5;
        final LaneSimulation.Node node = fleet.nodes.get(1);
        final SheddingLevel all = SheddingLevel.of(0, new double[3]);
        final long[][] forged = {{3, 5, 9}, {3, Long.MAX_VALUE, 9}, {0, 4, 9}, {0, 5, 9}, {0, 5, 9}, {0, 5, 8}};
        int heard = 0;
        for (final long[] each : forged) {
            fleet.nowUs += 100_000;
            final var before = node.part.view(node.now()).levels();
            node.part.receive(
                    node.now(),
                    (int) each[0],
                    new LevelMessage(
                            fleet.lanes.digest(), LaneSimulation.DESTINATION, new LevelVersion(each[1], each[2]), all),
                    (peer, message) -> {});
            heard += before.equals(node.part.view(node.now()).levels()) ? 0 : 1;
        }
        assertThat(heard).as("that of the holder, once").isEqualTo(1);
    }

    @Test
    void aPremiumAccountsFloodShedsNoOtherPremiumAccount() {
        final LaneSimulation fleet = fleet(true, 50, 4);
        fleet.offer(1.2, PARTS);
        fleet.run(10);
        fleet.flood = LaneSimulation.LIMIT / fleet.size;
        fleet.run(30);
        assertThat(fleet.fates.stream().filter(fate -> fate.lane() == 0 && fate.account() != 0))
                .as("others")
                .isNotEmpty()
                .allMatch(fate -> fate.leftS() >= 0 && fate.inTime());
        assertThat(fleet.fates.stream().filter(fate -> fate.lane() == 0 && fate.account() == 0 && fate.leftS() < 0))
                .as("the flood")
                .hasSizeGreaterThan(10_000);
    }

    @ParameterizedTest
    @CsvSource({"5", "6", "7"})
    void aPartitionedCourierServesPremiumFirstWithinALeaseTimeAndAnotherAllocatorContinues(final long seed) {
        final LaneSimulation fleet = fleet(true, 200, seed);
        fleet.offer(1.5, PARTS);
        fleet.offered[4] = new double[] {30, 60, 60};
        fleet.run(20);
        fleet.cutOff = 4;
        fleet.holder = -1;
        fleet.run(1.8);
        assertThat(fleet.events).anyMatch(event -> event.startsWith("4 lane_alone"));
        fleet.run(1.2);
        fleet.holder = 2;
        fleet.token = 2;
        fleet.run(9);
        // Its part of the reserve is 40 per second: 30 premium less what the others are guaranteed, 12 standard, 4
        // bulk.
        final List<LaneSimulation.MessageOutcome> there = fleet.fates.stream()
                .filter(fate -> fate.courier() == 4 && fate.leftS() >= 22 && fate.leftS() < 32)
                .toList();
        final double premium =
                there.stream().filter(fate -> fate.lane() == 0 && fate.inTime()).count() / 10.0;
        final double standard = there.stream().filter(fate -> fate.lane() == 1).count() / 10.0;
        System.out.printf(Locale.ROOT, "cut off: premium in time %.1f/s of 30, standard %.1f/s%n", premium, standard);
        assertThat(fleet.fates.stream()
                        .filter(fate ->
                                fate.courier() == 4 && fate.leftS() < 0 && fate.cameS() >= 22 && fate.cameS() < 32)
                        .count())
                .as("150 a second come, 40 fit")
                .isGreaterThan(1000);
        assertThat(premium).isGreaterThan(16);
        assertThat(standard).isBetween(9.0, 18.0);
        assertThat(fleet.leastInFive(2, 10, 32)).isGreaterThanOrEqualTo(0.95 * 0.1 * LaneSimulation.LIMIT);
        fleet.cutOff = -1;
        fleet.run(3);
        assertThat(fleet.levels()).hasSize(1);
    }
}
