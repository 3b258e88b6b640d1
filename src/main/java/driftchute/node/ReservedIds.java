package driftchute.node;

/**
 * Ids of accepted messages that are not accepted again until a time of their own, so that none is executed twice. Holds a
 * hash of each id (64 bits) in place of its text: 32 bytes an entry at the most, however long the ids are. Two ids with
 * one hash are improbable; the later one would be refused. Runs on the event loop's thread.
 */
final class ReservedIds {
    /** Maximum number of reserved ids. */
    static final int MAX_IDS = 1 << 16;

    private static final int INITIAL_SLOTS = 1 << 10;
    /** Hash of an empty slot; an id with this hash gets the next one. */
    private static final long EMPTY = 0;

    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;
    /** Multiplier of a finalizing step, so that all bits of a hash depend on all of an id. */
    private static final long MIXER = 0xff51afd7ed558ccdL;

    /** Open addressing with linear probing; at most half of the slots are used. */
    private long[] hashes = new long[INITIAL_SLOTS];

    private long[] untilUs = new long[INITIAL_SLOTS];
    private int used;

    /** Receives the reserved ids. */
    interface Visitor {
        void visit(long hash, long until);
    }

    /** The hash of an id, the same in every process. */
    static long hash(final String id) {
        long hash = FNV_OFFSET;
        for (int index = 0; index < id.length(); index++) {
            hash = (hash ^ id.charAt(index)) * FNV_PRIME;
        }
        hash = (hash ^ hash >>> 33) * MIXER;
        hash ^= hash >>> 33;
        return hash == EMPTY ? 1 : hash;
    }

    /** True if no further id can be reserved. */
    boolean isFull() {
        return used >= MAX_IDS;
    }

    /** Number of ids, including those whose time is over and that were not removed yet. */
    int size() {
        return used;
    }

    /** Reserves the id with that hash until a Unix time, us, or longer if it is reserved longer; ignored if full. */
    void reserve(final long hash, final long until) {
        int slot = slotOf(hash);
        if (hashes[slot] == EMPTY) {
            if (isFull()) {
                return;
            }
            if (2 * (used + 1) > hashes.length) {
                rebuild(2 * hashes.length, Long.MIN_VALUE);
                slot = slotOf(hash);
            }
            hashes[slot] = hash;
            untilUs[slot] = until;
            used++;
        }
        untilUs[slot] = Math.max(untilUs[slot], until);
    }

    /** Ends a reservation: the message was not accepted after all. */
    void release(final long hash) {
        final int slot = slotOf(hash);
        if (hashes[slot] == hash) {
            untilUs[slot] = Long.MIN_VALUE;
        }
    }

    /** True while the id may not be accepted. */
    boolean isReserved(final String id, final long nowUs) {
        return isReserved(hash(id), nowUs);
    }

    /** The same by the id's hash. */
    boolean isReserved(final long hash, final long nowUs) {
        final int slot = slotOf(hash);
        return hashes[slot] == hash && untilUs[slot] > nowUs;
    }

    /** Forgets the ids whose time is over. */
    void removeExpired(final long nowUs) {
        int slots = INITIAL_SLOTS;
        int kept = 0;
        for (int slot = 0; slot < hashes.length; slot++) {
            kept += hashes[slot] != EMPTY && untilUs[slot] > nowUs ? 1 : 0;
        }
        while (2 * kept > slots) {
            slots *= 2;
        }
        if (kept < used) {
            rebuild(slots, nowUs);
        }
    }

    /** Visits all reserved ids. */
    void forEach(final Visitor visitor) {
        for (int slot = 0; slot < hashes.length; slot++) {
            if (hashes[slot] != EMPTY && untilUs[slot] != Long.MIN_VALUE) {
                visitor.visit(hashes[slot], untilUs[slot]);
            }
        }
    }

    /** The slot of that hash, or the empty one where it belongs. */
    private int slotOf(final long hash) {
        int slot = (int) hash & hashes.length - 1;
        while (hashes[slot] != EMPTY && hashes[slot] != hash) {
            slot = slot + 1 & hashes.length - 1;
        }
        return slot;
    }

    /** Moves the entries that end after {@code afterUs} to new arrays. */
    private void rebuild(final int slots, final long afterUs) {
        final long[] oldHashes = hashes;
        final long[] oldUntilUs = untilUs;
        hashes = new long[slots];
        untilUs = new long[slots];
        used = 0;
        for (int old = 0; old < oldHashes.length; old++) {
            if (oldHashes[old] != EMPTY && oldUntilUs[old] > afterUs) {
                final int slot = slotOf(oldHashes[old]);
                hashes[slot] = oldHashes[old];
                untilUs[slot] = oldUntilUs[old];
                used++;
            }
        }
    }
}
