package driftchute.fleet.lane;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.Arrays;
import java.util.Random;
import java.util.stream.IntStream;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** The properties of the level for any demand. */
final class SheddingControllerTest {
    private static final double LIMIT = 1000;
    private static final long PERIOD_US = 500_000;
    private static final int ACCOUNTS = 1000;

    /** Lanes with their guaranteed shares, and the demand of each over several periods. */
    record Course(double[] shares, double[][] demand) {}

    @Provide
    Arbitrary<Course> courses() {
        return Arbitraries.integers()
                .between(1, 6)
                .flatMap(lanes -> Combinators.combine(
                                Arbitraries.doubles()
                                        .between(0, 1)
                                        .map(part -> part / lanes)
                                        .array(double[].class)
                                        .ofSize(lanes),
                                Arbitraries.oneOf(
                                                Arbitraries.just(0.0),
                                                Arbitraries.doubles().between(0, 3 * LIMIT))
                                        .map(rate -> rate / lanes)
                                        .array(double[].class)
                                        .ofSize(lanes)
                                        .array(double[][].class)
                                        .ofMaxSize(30))
                        .as(Course::new));
    }

    private static double load(final SheddingLevel level, final double[] demand) {
        return IntStream.range(0, demand.length)
                .mapToDouble(i -> demand[i] * (1 - level.cut(i)))
                .sum();
    }

    @Property(seed = "18")
    void forAnyDemandSharesAreKeptTheLimitHoldsAndPriorityDecides(@ForAll("courses") final Course course) {
        final SheddingController level = new SheddingController(course.shares);
        boolean everOver = false;
        long nowUs = 0;
        for (final double[] demand : course.demand) {
            final SheddingLevel before = level.at(0);
            level.decide(nowUs += PERIOD_US, demand, LIMIT);
            final SheddingLevel after = level.at(0);
            final double offered = Arrays.stream(demand).sum();
            everOver |= offered > LIMIT;
            assertThat(everOver || !level.isShedding())
                    .as("nobody is shed before the limit was passed")
                    .isTrue();
            assertThat(load(after, demand)).isLessThanOrEqualTo(LIMIT * 1.001);
            for (int i = 0; i < demand.length; i++) {
                assertThat(demand[i] * (1 - after.cut(i)))
                        .as("lane %d keeps its share", i)
                        .isGreaterThanOrEqualTo(Math.min(demand[i], course.shares[i] * LIMIT) * 0.999);
            }
            if (load(before, demand) > LIMIT * 1.001) {
                assertThat(load(after, demand))
                        .as("what is unused is lent")
                        .isGreaterThan(Math.min(offered, 0.95 * LIMIT) - 1);
                boolean cut = false;
                for (int i = 0; i < demand.length; i++) {
                    assertThat(cut && demand[i] * (1 - after.cut(i)) > course.shares[i] * LIMIT + 1)
                            .as("lane %d has more than its share while an earlier one is cut", i)
                            .isFalse();
                    cut |= demand[i] > 0 && after.cut(i) > 0;
                }
            }
        }
    }

    @Property(tries = 200, seed = "18")
    void aVariationAroundTheLimitChangesTheLevelOnceAndItFallsOnlyAfterThreeCalmSeconds(
            @ForAll @IntRange(min = 1, max = 5) final int periods,
            @ForAll @DoubleRange(min = 0, max = 0.09) final double swing) {
        final SheddingController level = new SheddingController(new double[] {0.2, 0.1});
        int changes = 0;
        SheddingLevel before = level.at(0);
        long nowUs = 0;
        for (int i = 0; i < 400; i++) {
            final double load = LIMIT * (1 + (i / periods % 2 == 0 ? swing : -swing));
            level.decide(nowUs += PERIOD_US, new double[] {0.3 * load, 0.7 * load}, LIMIT);
            changes += level.at(0).equals(before) ? 0 : 1;
            before = level.at(0);
        }
        assertThat(changes).isLessThanOrEqualTo(1);
        level.decide(nowUs += PERIOD_US, new double[] {0.3 * LIMIT * (1 + swing), 0.7 * LIMIT * (1 + swing)}, LIMIT);
        final boolean shed = level.isShedding();
        int calm = 0;
        for (; level.isShedding() && calm < 100; calm++) {
            level.decide(nowUs += PERIOD_US, new double[] {100, 600}, LIMIT);
        }
        assertThat(calm * PERIOD_US).isEqualTo(shed ? 3_000_000 + PERIOD_US : 0);
    }

    @Test
    void aLentShareReturnsInOnePeriodAndAnUnknownLimitShedsNothing() {
        final SheddingController level = new SheddingController(new double[] {0.5, 0.2});
        level.decide(0, new double[] {100, 2000}, LIMIT);
        assertThat(1 - level.at(0).cut(1)).as("lent to the last").isCloseTo(850 / 2000.0, within(0.001));
        level.decide(PERIOD_US, new double[] {900, 2000}, LIMIT);
        assertThat(level.at(0).cut(0) * 900)
                .as("back but for what the last lane is due")
                .isCloseTo(150, within(1.0));
        assertThat(1 - level.at(0).cut(1)).isCloseTo(200 / 2000.0, within(0.001));
        level.decide(2 * PERIOD_US, new double[] {900, 2000}, Double.NaN);
        assertThat(level.isShedding()).isFalse();
    }

    @Property(tries = 200, seed = "18")
    void theShedPartIsAsIntendedGrowsByNestedSetsAndRotatesEvenly(
            @ForAll @DoubleRange(min = 0, max = 1) final double cut,
            @ForAll @DoubleRange(min = 0, max = 1) final double more,
            @ForAll final long seed) {
        final SheddingLevel one = SheddingLevel.of(7, new double[] {1 - Math.min(cut, more)});
        final SheddingLevel higher = SheddingLevel.of(7, new double[] {1 - Math.max(cut, more)});
        int shed = 0;
        final Random random = new Random(seed);
        for (int i = 0; i < ACCOUNTS; i++) {
            final long account = AccountHash.hash("account " + random.nextInt());
            assertThat(one.sheds(0, account) && !higher.sheds(0, account)).isFalse();
            shed += one.sheds(0, account) ? 1 : 0;
            int sum = 0;
            int twice = 0;
            for (long epoch = 0; epoch < 50; epoch++) {
                sum += one.at(epoch).sheds(0, account) ? 1 : 0;
                twice += one.at(epoch).sheds(0, account) && one.at(epoch + 1).sheds(0, account) ? 1 : 0;
            }
            assertThat(sum).as("of 50 epochs").isCloseTo((int) Math.round(50 * one.cut(0)), within(3));
            assertThat(one.cut(0) > 0.38 || twice == 0)
                    .as("twice running at %f", one.cut(0))
                    .isTrue();
        }
        assertThat(shed / (double) ACCOUNTS).isCloseTo(one.cut(0), within(0.09));
    }
}
