package driftchute.fleet.lane;

import java.util.Arrays;

/**
 * Which accounts of each lane are shed. An account's position is its hash, advanced by the golden ratio with each
 * epoch, modulo 1; it is shed if its position is below its lane's cut. So all couriers with the same level shed the
 * same accounts, a higher cut sheds these and more, and the burden rotates evenly. Immutable.
 */
public final class SheddingLevel {
    /** Cuts are in units of 2^-14: a varint of two bytes, and finer than any lane's number of accounts requires. */
    static final int SCALE = 1 << 14;
    /** The fractional part of the golden ratio in 64 bits. */
    private static final long GOLDEN = 0x9E3779B97F4A7C15L;

    private static final int BELOW_PLACE = Long.SIZE - 14;

    private final long epoch;
    private final int[] cuts;

    /**
     * Creates a level.
     *
     * @param epoch 0 or more
     * @param cuts the part shed of each lane, in units of 1/{@link #SCALE}
     */
    SheddingLevel(final long epoch, final int[] cuts) {
        this.epoch = epoch;
        this.cuts = cuts.clone();
    }

    /** The level that admits these parts, 0 to 1, rounded up to the scale. */
    static SheddingLevel of(final long epoch, final double[] kept) {
        return new SheddingLevel(
                epoch,
                Arrays.stream(kept).mapToInt(part -> (int) ((1 - part) * SCALE)).toArray());
    }

    /** The epoch of the rotation. */
    public long epoch() {
        return epoch;
    }

    /** Number of lanes. */
    public int lanes() {
        return cuts.length;
    }

    /** The part of a lane's accounts that is shed, 0 to 1; 0 for an unknown lane. */
    public double cut(final int lane) {
        return (double) cutOf(lane) / SCALE;
    }

    /** The cut in units of 1/{@link #SCALE}. */
    int cutOf(final int lane) {
        return lane < cuts.length ? cuts[lane] : 0;
    }

    /** The same cuts for another epoch. */
    SheddingLevel at(final long otherEpoch) {
        return new SheddingLevel(otherEpoch, cuts);
    }

    /** The first lane, in order, that is partly shed, or -1 if none is. */
    public int firstShed() {
        for (int i = 0; i < cuts.length; i++) {
            if (cuts[i] > 0) {
                return i;
            }
        }
        return -1;
    }

    /** True for an account that is shed. */
    public boolean sheds(final int lane, final long account) {
        return (account + epoch * GOLDEN) >>> BELOW_PLACE < cutOf(lane);
    }

    @Override
    public boolean equals(final Object other) {
        return other instanceof SheddingLevel level && level.epoch == epoch && Arrays.equals(level.cuts, cuts);
    }

    @Override
    public int hashCode() {
        return Long.hashCode(epoch) ^ Arrays.hashCode(cuts);
    }

    @Override
    public String toString() {
        return "epoch " + epoch + ", cut " + Arrays.toString(cuts) + " of " + SCALE;
    }
}
