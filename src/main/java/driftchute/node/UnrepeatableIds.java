package driftchute.node;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Ids of accepted messages that may not take effect twice. No time frees them, since no page says how late an id may come
 * again; beyond the maximum the earliest quarter is forgotten. Holds hashes ({@link ReservedIds#hash}). Runs on the event
 * loop's thread.
 */
final class UnrepeatableIds {
    private static final int FORGOTTEN_PART = 4;

    private final int maxIds;
    /** The order of acceptance takes the place of a time. */
    private final ReservedIds sequenceById = new ReservedIds();

    private long sequence;

    UnrepeatableIds(final int maxIds) {
        this.maxIds = Math.min(maxIds, ReservedIds.MAX_IDS);
    }

    /** Adds an id as the latest, unless it is known. */
    void add(final long hash) {
        if (contains(hash)) {
            return;
        }
        if (sequenceById.size() >= maxIds) {
            sequenceById.removeExpired(sequence - maxIds + maxIds / FORGOTTEN_PART);
        }
        sequenceById.reserve(hash, ++sequence);
    }

    /** Removes an id: its message was not accepted after all. */
    void remove(final long hash) {
        sequenceById.release(hash);
    }

    boolean contains(final long hash) {
        return sequenceById.isReserved(hash, 0);
    }

    /** Number of ids, including removed ones that still take space. */
    int size() {
        return sequenceById.size();
    }

    /** The ids in the order of acceptance. */
    List<Long> inOrder() {
        final List<long[]> entries = new ArrayList<>();
        sequenceById.forEach((hash, number) -> entries.add(new long[] {number, hash}));
        entries.sort(Comparator.comparingLong(entry -> entry[0]));
        return entries.stream().map(entry -> entry[1]).toList();
    }
}
