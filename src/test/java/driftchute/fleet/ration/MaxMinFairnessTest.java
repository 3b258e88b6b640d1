package driftchute.fleet.ration;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.Arrays;
import java.util.List;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.Size;

/** The properties of a max-min fair division, for any demands, guarantees and weights. */
class MaxMinFairnessTest {
    private static final double NEAR = 1e-6;

    @Property(seed = "18")
    void dividesMaxMinFair(
            @ForAll @DoubleRange(max = 1000) final double capacity,
            @ForAll @Size(max = 12) final List<@DoubleRange(max = 500) Double> demands,
            @ForAll @Size(12) final List<@DoubleRange(max = 100) Double> guarantees,
            @ForAll @Size(12) final List<@DoubleRange(min = 0.1, max = 10) Double> weights) {
        final List<MaxMinFairness.Claim> alone = demands.stream()
                .map(demand -> new MaxMinFairness.Claim(demand, 0, 1))
                .toList();
        check(
                capacity,
                alone,
                MaxMinFairness.share(
                        capacity, demands.stream().mapToDouble(each -> each).toArray()));
        final List<MaxMinFairness.Claim> claims = IntStream.range(0, demands.size())
                .mapToObj(i -> new MaxMinFairness.Claim(demands.get(i), guarantees.get(i), weights.get(i)))
                .toList();
        check(capacity, claims, MaxMinFairness.share(capacity, claims));
    }

    private static void check(final double capacity, final List<MaxMinFairness.Claim> claims, final double[] share) {
        final double sure = claims.stream()
                .mapToDouble(each -> Math.min(each.demand(), each.guarantee()))
                .sum();
        final double kept = Math.min(1, capacity / Math.max(sure, NEAR));
        assertThat(Arrays.stream(share).sum())
                .isCloseTo(
                        Math.min(
                                capacity,
                                claims.stream()
                                        .mapToDouble(MaxMinFairness.Claim::demand)
                                        .sum()),
                        within(NEAR));
        for (int i = 0; i < share.length; i++) {
            final MaxMinFairness.Claim mine = claims.get(i);
            assertThat(share[i]).isBetween(kept * Math.min(mine.demand(), mine.guarantee()) - NEAR, mine.demand());
            for (int j = 0; j < share.length; j++) {
                // A share below its demand is, by weight, no less than any other that exceeds its guarantee.
                assertThat(share[i] >= mine.demand() - NEAR
                                || share[j] <= claims.get(j).guarantee() + NEAR
                                || share[j] / claims.get(j).weight() <= share[i] / mine.weight() + NEAR)
                        .isTrue();
            }
        }
    }
}
