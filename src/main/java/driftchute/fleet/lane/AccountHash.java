package driftchute.fleet.lane;

import java.nio.charset.StandardCharsets;

/**
 * A fixed 64-bit hash of account names, so that every courier identifies an account alike whatever the order of its
 * settings. FNV-1a (draft-eastlake-fnv) followed by the finisher of MurmurHash3, because FNV alone hardly changes the
 * high bits for short names.
 */
public final class AccountHash {
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;
    private static final long MIX_1 = 0xff51afd7ed558ccdL;
    private static final long MIX_2 = 0xc4ceb9fe1a85ec53L;
    private static final int HALF = 33;
    private static final int BYTE = 0xFF;

    private AccountHash() {}

    /** The account of this name: that of a tenant, a client or a connection. */
    public static long hash(final String name) {
        long hash = FNV_OFFSET;
        for (final byte next : name.getBytes(StandardCharsets.UTF_8)) {
            hash = (hash ^ next & BYTE) * FNV_PRIME;
        }
        return mix(hash);
    }

    /** Mixes 64 bits by a bijection. */
    static long mix(final long bits) {
        long mixed = (bits ^ bits >>> HALF) * MIX_1;
        mixed = (mixed ^ mixed >>> HALF) * MIX_2;
        return mixed ^ mixed >>> HALF;
    }
}
