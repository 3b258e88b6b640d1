package driftchute.fleet.lane;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import driftchute.Courier;
import driftchute.fleet.FleetConfig;
import driftchute.fleet.FleetConfig.LaneConfig;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** The meaning of a lane configuration, and what is refused. */
final class LanesTest {
    private static final LaneConfig GOLD = lane("gold", List.of("ann"), List.of("order"), 0.5, 10);
    private static final LaneConfig REST = new LaneConfig("rest", null, null, 0.2, null, true);

    static Courier.Settings settings(final String... tenants) {
        return new Courier.Settings(
                5,
                "a",
                false,
                Courier.LimitHint.NONE,
                Courier.ValueDecay.LINEAR,
                Stream.of("order", "notice", "report")
                        .map(name -> new Courier.MessageClass(
                                name, Courier.Effect.SAFE, false, false, 1, 0.4, 2_000_000, 24_000_000, 0))
                        .toList(),
                Arrays.stream(tenants)
                        .map(name -> new Courier.Tenant(name, 100))
                        .toList(),
                List.of(),
                new Courier.Guarantees(1, 1, 1, 1, 1),
                new Courier.Limits(10, 100, 3, true, 1, 1, 2_000_000));
    }

    static LaneConfig lane(
            final String name,
            final List<String> tenants,
            final List<String> classes,
            final double share,
            final double quota) {
        return new LaneConfig(name, tenants, classes, share, quota, false);
    }

    static FleetConfig block(final int version, final LaneConfig... lanes) {
        return new FleetConfig(1, version, null, null, null, null, null, null, List.of(lanes));
    }

    /** Lanes premium, standard and bulk by class, with these guaranteed shares; a quota for premium accounts. */
    static Lanes threeLanes(final int version, final double quota, final double... shares) {
        return Lanes.of(
                block(
                        version,
                        lane("premium", null, List.of("order"), shares[0], quota),
                        lane("standard", null, List.of("notice"), shares[1], 0),
                        lane("bulk", null, List.of("report"), shares[2], 0)),
                settings());
    }

    private static void refused(final String problem, final LaneConfig... lanes) {
        assertThatThrownBy(() -> Lanes.of(block(1, lanes), settings("ann", "bob")))
                .isInstanceOf(IllegalArgumentException.class)
                .hasMessageContaining(problem)
                .hasMessageNotContaining("\n");
    }

    @Test
    void inconsistentLaneConfigurationsAreRefusedInOneLine() {
        refused("lane 'a': no tenant 'eve'", lane("a", List.of("eve"), null, 0, 0));
        refused("lane 'a': no class 'letter'", lane("a", null, List.of("letter"), 0, 0));
        refused("1 in all at most", GOLD, lane("b", null, null, 0.6, 0));
        refused("tenant 'ann' is claimed already, by lane 'gold'", GOLD, lane("b", List.of("ann"), null, 0, 0));
        refused("class 'order' is claimed already, by lane 'gold'", GOLD, lane("b", null, List.of("order"), 0, 0));
        refused("two lanes are named 'gold'", GOLD, GOLD);
        refused("another lane takes the rest", REST, new LaneConfig("more", null, null, null, null, true));
        assertThatThrownBy(() -> lane("a", null, null, 0, -1)).hasMessageContaining("'quota' is 0 or more");
        // If each tenant has its lane, no class decides anything.
        assertThat(Lanes.of(block(1, GOLD, lane("b", List.of("bob"), List.of("order"), 0, 0)), settings("ann", "bob"))
                        .laneOf(0, 1))
                .isEqualTo(1);
    }

    @Test
    void aMessagesLaneIsItsTenantsThenItsClassesThenTheRest() {
        final Lanes lanes = Lanes.of(
                block(1, GOLD, REST, lane("bulk", List.of("bob"), List.of("report"), 0, 0)),
                settings("ann", "bob", "cid"));
        assertThat(lanes.laneOf(2, 0)).as("ann, report").isZero();
        assertThat(lanes.laneOf(0, 1)).as("bob, order").isEqualTo(2);
        assertThat(lanes.laneOf(0, 2)).as("cid, order").isZero();
        assertThat(lanes.laneOf(1, 2)).as("cid, notice").isEqualTo(1);
        assertThat(lanes.laneOf(-1, 99)).as("neither is known").isEqualTo(1);
        assertThat(Lanes.of(block(1, GOLD, lane("z", null, null, 0, 0)), settings("ann"))
                        .laneOf(1, -1))
                .isEqualTo(1);
        assertThat(lanes.account(1, "x")).isEqualTo(AccountHash.hash("bob"));
        assertThat(lanes.account(-1, "x")).isEqualTo(AccountHash.hash("x"));
        assertThat(Lanes.of(block(0), settings()).count()).isEqualTo(1);
    }

    @Test
    void theStricterOfTwoConfigurationsHasTheLowerFiguresAndTheLaterLane() {
        final Lanes old = Lanes.of(block(1, GOLD, lane("mid", null, List.of("notice"), 0.3, 5), REST), settings("ann"));
        final Lanes next = Lanes.of(
                block(
                        2,
                        lane("gold", null, List.of("notice", "report"), 0.6, 0),
                        lane("rest", List.of("ann"), null, 0.1, 3)),
                settings("ann"));
        final Lanes both = Lanes.stricter(old, next);
        assertThat(both.digest()).isEqualTo(old.digest()).isNotEqualTo(next.digest());
        assertThat(both.shares()).containsExactly(0.5, 0.3, 0.1);
        assertThat(new double[] {both.quota(0), both.quota(1), both.quota(2)}).containsExactly(10, 5, 3);
        assertThat(both.laneOf(0, 0)).as("ann: gold, then rest").isEqualTo(2);
        assertThat(both.laneOf(1, -1)).as("notice: mid, then gold").isEqualTo(1);
        assertThat(both.laneOf(2, -1)).as("report: rest, then gold").isEqualTo(2);
    }
}
