package driftchute.fleet.membership;

/**
 * Durations and counts derived from the probe period and the size of the tier; durations in us.
 *
 * @param periodUs interval between two probes
 * @param answerUs time for the answer to a ping before helpers are asked, or a nack is sent
 * @param gossipUs interval of datagrams sent for gossip alone, and between two increments of the own incarnation
 * @param tableUs interval between two requests for a segment of another courier's table
 * @param joinUs time for which a starting courier requests the table every {@code gossipUs}, unless it has it earlier
 * @param minSuspicionUs shortest suspicion: all the accusers that are needed have confirmed it
 * @param maxSuspicionUs longest suspicion: a single accuser
 * @param accusers number of independent accusers beside the first that shorten the longest suspicion to the shortest
 * @param maxSendings maximum number of times that a courier sends one change
 */
record MembershipTiming(
        long periodUs,
        long answerUs,
        long gossipUs,
        long tableUs,
        long joinUs,
        long minSuspicionUs,
        long maxSuspicionUs,
        int accusers,
        int maxSendings) {
    /**
     * Tenths of a period, so that a direct round trip and the helpers' round trip fit into one period with time left.
     */
    private static final int ANSWER_TENTHS = 4;

    private static final int GOSSIPS_PER_PERIOD = 4;
    private static final int TABLE_PERIODS = 20;
    private static final int JOIN_PERIODS = 8;
    /** Lifeguard's alpha: three attempts to hear and be heard. */
    private static final int ALPHA = 3;
    /** Lifeguard's beta. */
    private static final int BETA = 4;
    /** Lifeguard's K. */
    private static final int ACCUSERS = 3;
    /** SWIM's lambda. */
    private static final int LAMBDA = 3;

    static MembershipTiming of(final long periodUs, final int size) {
        final long leastUs = (long) (ALPHA * periodUs * Math.max(1, Math.log10(size)));
        // The bit length of n is ceil(log2(n + 1)).
        final int sendings = LAMBDA * (Integer.SIZE - Integer.numberOfLeadingZeros(size));
        return new MembershipTiming(
                periodUs,
                periodUs * ANSWER_TENTHS / 10,
                periodUs / GOSSIPS_PER_PERIOD,
                periodUs * TABLE_PERIODS,
                periodUs * JOIN_PERIODS,
                leastUs,
                BETA * leastUs,
                Math.max(0, Math.min(ACCUSERS, size - 2)),
                sendings);
    }
}
