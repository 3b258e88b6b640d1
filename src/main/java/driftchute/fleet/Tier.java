package driftchute.fleet;

/**
 * The couriers that share state: {@code size} couriers, numbered from 0 as in {@code peers} (DEPLOY-irishead.md); this
 * one is {@code self}. Couriers with another {@code epoch} number their peers differently, and their frames are
 * dropped.
 */
public record Tier(int self, int size, int epoch) {
    /**
     * Checks the values.
     *
     * @throws IllegalArgumentException if {@code self} is not a courier of the tier
     */
    public Tier {
        if (size < 1 || size > 0xFFFF || self < 0 || self >= size) {
            throw new IllegalArgumentException("courier " + self + " of " + size + " does not exist in a tier");
        }
    }

    /** The smallest number of couriers such that any two groups of this size overlap. */
    public int majority() {
        return size / 2 + 1;
    }
}
