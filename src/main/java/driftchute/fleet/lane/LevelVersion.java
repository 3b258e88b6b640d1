package driftchute.fleet.lane;

import java.util.Comparator;

/** Orders levels by the holder's token, then by the sequence number under that token. */
record LevelVersion(long token, long sequence) implements Comparable<LevelVersion> {
    private static final Comparator<LevelVersion> ORDER =
            Comparator.comparingLong(LevelVersion::token).thenComparingLong(LevelVersion::sequence);

    @Override
    public int compareTo(final LevelVersion other) {
        return ORDER.compare(this, other);
    }
}
