package driftchute.fleet;

/**
 * The couriers that share state: {@code size} of them, numbered from 0 as in {@code peers} (DEPLOY-irishead.md), this one
 * being {@code self}. Couriers of another {@code epoch} number their peers in another way, and are not understood.
 */
public record Tier(int self, int size, int epoch) {
    /** @throws IllegalArgumentException where this courier is not one of the tier's */
    public Tier {
        if (size < 1 || size > 0xFFFF || self < 0 || self >= size) {
            throw new IllegalArgumentException("courier " + self + " of " + size + " is no place in a tier");
        }
    }

    /** The least number of couriers of which no two disjoint groups exist. */
    public int majority() {
        return size / 2 + 1;
    }
}
