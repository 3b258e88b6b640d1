package driftchute.fleet.lease;

import driftchute.fleet.Tier;
import java.util.SplittableRandom;

/**
 * This process as a candidate for one role.
 *
 * @param number the role's number
 * @param role the role's name
 * @param rank its courier's rank among all for this role; 0 tries first
 * @param processId random number of this process
 */
record RoleCandidate(Tier tier, LeaseTiming timing, int number, String role, int rank, int processId) {
    /** Ranks with separate time slots. Higher ranks try at random times after them. */
    private static final int OWN_MOMENT = 16;
    /** Higher ranks spread over a lease time divided by this. */
    private static final int REST_PART = 4;

    static RoleCandidate at(
            final Tier tier, final LeaseTiming timing, final int number, final String role, final int processId) {
        final long own = score(role, tier.self());
        int rank = 0;
        for (int courier = 0; courier < tier.size(); courier++) {
            final long other = score(role, courier);
            if (other > own || other == own && courier < tier.self()) {
                rank++;
            }
        }
        return new RoleCandidate(tier, timing, number, role, rank, processId);
    }

    /** Rendezvous hashing (Thaler, Ravishankar 1998), mixed as in SplitMix64 (Steele, Lea, Flood 2014). */
    private static long score(final String role, final int courier) {
        long mixed = ((long) role.hashCode() << Integer.SIZE | courier) + 0x9E3779B97F4A7C15L;
        mixed = (mixed ^ mixed >>> 30) * 0xBF58476D1CE4E5B9L;
        mixed = (mixed ^ mixed >>> 27) * 0x94D049BB133111EBL;
        return mixed ^ mixed >>> 31;
    }

    /**
     * Delay of this courier's attempt after the role may have become free, us. It grows with the rank and is partly
     * random.
     */
    long delayUs(final SplittableRandom random) {
        if (tier.size() == 1) {
            return 0;
        }
        return rank < OWN_MOMENT
                ? rank * timing.rankStepUs() + random.nextLong(timing.rankStepUs())
                : OWN_MOMENT * timing.rankStepUs() + random.nextLong(timing.leaseUs() / REST_PART);
    }
}
