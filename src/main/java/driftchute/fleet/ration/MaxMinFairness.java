package driftchute.fleet.ration;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;

/**
 * Max-min fair division (Bertsekas and Gallager, Data Networks, 2nd edition, 6.5.2): nobody gets more than it demands,
 * and no share can grow except at the expense of one that is not larger by weight.
 */
public final class MaxMinFairness {
    /**
     * A claim; all three figures are finite and 0 or more.
     *
     * @param demand maximum that it can use
     * @param guarantee minimum that it gets, up to its demand; if the capacity is less than all guarantees, they are
     * reduced in proportion
     * @param weight its weight in the division, above 0
     */
    public record Claim(double demand, double guarantee, double weight) {
        /**
         * Checks the values.
         *
         * @throws IllegalArgumentException for a value out of bounds
         */
        public Claim {
            if (!(demand >= 0 && guarantee >= 0 && weight > 0) || Double.isInfinite(demand + guarantee + weight)) {
                throw new IllegalArgumentException("invalid claim: " + demand + ", " + guarantee + ", " + weight);
            }
        }
    }

    /** A point at which a share starts or stops growing as the common level rises. */
    private record SlopeChange(double level, double slope) {}

    private MaxMinFairness() {}

    /** Divides a capacity by demand, with equal weights and without guarantees. */
    public static double[] share(final double capacity, final double[] demand) {
        return share(
                capacity,
                Arrays.stream(demand).mapToObj(most -> new Claim(most, 0, 1)).toList());
    }

    /**
     * Divides a capacity. Each claim gets min(demand, max(guarantee, weight x level)), for the one level that uses up
     * the capacity or satisfies all demand; in the order of the claims.
     *
     * @throws IllegalArgumentException for a capacity that is negative or not finite
     */
    public static double[] share(final double capacity, final List<Claim> claims) {
        if (!(capacity >= 0) || Double.isInfinite(capacity)) {
            throw new IllegalArgumentException("invalid capacity: " + capacity);
        }
        final double guaranteed =
                claims.stream().mapToDouble(MaxMinFairness::guaranteed).sum();
        if (guaranteed >= capacity) {
            return claims.stream()
                    .mapToDouble(claim -> guaranteed == 0 ? 0 : guaranteed(claim) * (capacity / guaranteed))
                    .toArray();
        }
        final double level = level(capacity, guaranteed, claims);
        return claims.stream()
                .mapToDouble(claim -> Math.min(claim.demand(), Math.max(claim.guarantee(), claim.weight() * level)))
                .toArray();
    }

    private static double guaranteed(final Claim claim) {
        return Math.min(claim.demand(), claim.guarantee());
    }

    /** The level up to which all shares are filled; infinite if the capacity satisfies all demand. */
    private static double level(final double capacity, final double guaranteed, final List<Claim> claims) {
        final List<SlopeChange> changes = new ArrayList<>();
        for (final Claim claim : claims) {
            changes.add(new SlopeChange(guaranteed(claim) / claim.weight(), claim.weight()));
            changes.add(new SlopeChange(claim.demand() / claim.weight(), -claim.weight()));
        }
        changes.sort(Comparator.comparingDouble(SlopeChange::level));
        double filled = guaranteed;
        double level = 0;
        double slope = 0;
        for (final SlopeChange change : changes) {
            final double reached = filled + slope * (change.level() - level);
            if (slope > 0 && reached > capacity) {
                return level + (capacity - filled) / slope;
            }
            filled = reached;
            level = change.level();
            slope += change.slope();
        }
        return Double.POSITIVE_INFINITY;
    }
}
