package driftchute.fleet.verdict;

import driftchute.fleet.Message;
import java.nio.ByteBuffer;
import java.util.zip.CRC32C;

/** One piece of evidence, both as state and as a message. */
sealed interface EvidenceEntry extends Message permits FailureReport, RecoveryEvidence {
    /** The slot of recovery evidence, beside those of the reporters. */
    int RECOVERY_SLOT = -1;
    /** Maximum time that an entry may be ahead of this courier's wall clock, ms. */
    long MAX_AHEAD_MS = 1000;

    /** Identifies an entry. Each slot of a destination has at most one. */
    record Key(long destination, int slot) {}

    long destination();

    int slot();

    /** When it was made or observed, wall-clock ms. */
    long timestampMs();

    /** Its key in the state. */
    default Key key() {
        return new Key(destination(), slot());
    }

    /** True if it is neither too old nor from the future. */
    default boolean isTimely(final long nowMs, final VerdictTiming terms) {
        return timestampMs() <= nowMs + MAX_AHEAD_MS && timestampMs() >= nowMs - terms.keptMs();
    }

    /** Its contribution to the digest of the state. */
    default int checksum() {
        final ByteBuffer bytes = ByteBuffer.allocate(1 + size()).put((byte) type());
        write(bytes);
        final CRC32C sum = new CRC32C();
        sum.update(bytes.flip());
        return (int) sum.getValue();
    }
}
