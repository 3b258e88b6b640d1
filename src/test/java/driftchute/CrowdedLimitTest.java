package driftchute;

import static driftchute.Scene.DEST;
import static driftchute.Scene.MS;
import static driftchute.Scene.SECOND;
import static org.assertj.core.api.Assertions.assertThat;

import driftchute.Courier.Result;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Many couriers at a destination whose limit is exceeded, and one courier whose store is full. */
final class CrowdedLimitTest {
    private static final int COURIERS = 50;
    private static final double LIMIT = 10;

    /**
     * All couriers are refused at the same moment and have more to send. Their even parts of the limit give the same
     * interval: returning after just that, they would be refused together again and again (seen on panela-poa, calm).
     */
    @Test
    void couriersRefusedTogetherDoNotReturnTogether() {
        final List<Long> againUs = new ArrayList<>();
        for (int courier = 0; courier < COURIERS; courier++) {
            final Scene scene = new Scene(Scene.fleetOf(COURIERS), Scene.seed(courier));
            scene.list(Courier.Update.RESTORED, Scene.endpoint(1, DEST, "a"));
            scene.take("first", 0);
            scene.deliver("first", new Courier.ReportedLimit(0, LIMIT));
            scene.take("turned away", 0);
            scene.pass(5100 * MS);
            scene.end("turned away", Result.REFUSED);
            final long turnedAwayUs = scene.nowUs;
            scene.pass(12 * SECOND);
            againUs.add(scene.last("turned away").atUs() - turnedAwayUs);
        }
        final long evenGapUs = (long) (COURIERS / LIMIT * SECOND);
        final long busiest = againUs.stream()
                .mapToLong(from -> againUs.stream()
                        .filter(at -> at >= from && at < from + evenGapUs / 5)
                        .count())
                .max()
                .orElseThrow();
        assertThat(busiest)
                .as("couriers that come back within a fifth of the gap, of " + COURIERS + ": " + new TreeSet<>(againUs))
                .isLessThan(COURIERS / 2);
    }

    /** What others leave of a limit is available to all couriers, and all receive the report of it at once. */
    @Test
    void aLargeFleetDoesNotUseTheUnusedShareManyTimesOver() {
        int sent = 0;
        for (int courier = 0; courier < COURIERS; courier++) {
            final Scene scene = new Scene(Scene.fleetOf(COURIERS), Scene.seed(courier));
            scene.list(Courier.Update.RESTORED, Scene.endpoint(1, DEST, "a"));
            scene.take("first", 0);
            scene.deliver("first", new Courier.ReportedLimit(1, LIMIT));
            IntStream.range(0, 4).forEach(i -> scene.take("more" + i, 0));
            scene.pass(SECOND);
            sent += scene.sent.size() - 1;
        }
        assertThat((double) sent)
                .as("calls in a second, after a report that all is left")
                .isLessThanOrEqualTo(6 * LIMIT);
    }

    /** The store is full of two classes, one worth twice the other: neither gives up all the space that is needed. */
    @Test
    void theClassOfLeastValueIsNotTheOnlyOneRefused() {
        final Scene scene = new Scene(Scene.settings());
        for (int i = 0; i < 60; i++) {
            scene.take(i % 2 == 0 ? "two" + i : "one" + i, i % 2 == 0 ? 0 : 2);
            scene.pass(20 * MS);
        }
        assertThat(scene.refused).hasSizeGreaterThan(15);
        assertThat(scene.refused.stream()
                        .collect(Collectors.groupingBy(id -> id.substring(0, 3), Collectors.counting())))
                .as("refused, by worth")
                .allSatisfy((worth, count) -> assertThat(count).isGreaterThanOrEqualTo(scene.refused.size() / 3))
                .hasSize(2);
    }
}
