package driftchute;

import static driftchute.PolicyFixture.DESTINATION;
import static driftchute.PolicyFixture.MS;
import static driftchute.PolicyFixture.SECOND;
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
            final PolicyFixture fixture =
                    new PolicyFixture(PolicyFixture.fleetOf(COURIERS), PolicyFixture.seed(courier));
            fixture.updateList(Courier.Update.RESTORED, PolicyFixture.endpoint(1, DESTINATION, "a"));
            fixture.accept("first", 0);
            fixture.deliver("first", new Courier.ReportedLimit(0, LIMIT));
            fixture.accept("turned away", 0);
            fixture.advance(5100 * MS);
            fixture.end("turned away", Result.REFUSED);
            final long turnedAwayUs = fixture.nowUs;
            fixture.advance(12 * SECOND);
            againUs.add(fixture.lastSend("turned away").atUs() - turnedAwayUs);
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
            final PolicyFixture fixture =
                    new PolicyFixture(PolicyFixture.fleetOf(COURIERS), PolicyFixture.seed(courier));
            fixture.updateList(Courier.Update.RESTORED, PolicyFixture.endpoint(1, DESTINATION, "a"));
            fixture.accept("first", 0);
            fixture.deliver("first", new Courier.ReportedLimit(1, LIMIT));
            IntStream.range(0, 4).forEach(i -> fixture.accept("more" + i, 0));
            fixture.advance(SECOND);
            sent += fixture.sent.size() - 1;
        }
        assertThat((double) sent)
                .as("calls in a second, after a report that all is left")
                .isLessThanOrEqualTo(6 * LIMIT);
    }

    /** The store is full of two classes, one worth twice the other: neither gives up all the space that is needed. */
    @Test
    void theClassOfLeastValueIsNotTheOnlyOneRefused() {
        final PolicyFixture fixture = new PolicyFixture(PolicyFixture.settings());
        for (int i = 0; i < 60; i++) {
            fixture.accept(i % 2 == 0 ? "two" + i : "one" + i, i % 2 == 0 ? 0 : 2);
            fixture.advance(20 * MS);
        }
        assertThat(fixture.refused).hasSizeGreaterThan(15);
        assertThat(fixture.refused.stream()
                        .collect(Collectors.groupingBy(id -> id.substring(0, 3), Collectors.counting())))
                .as("refused, by worth")
                .allSatisfy((worth, count) -> assertThat(count).isGreaterThanOrEqualTo(fixture.refused.size() / 3))
                .hasSize(2);
    }
}
