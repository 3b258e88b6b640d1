package driftchute.fleet.verdict;

import java.util.function.LongUnaryOperator;

/**
 * The durations used by verdicts and probes.
 *
 * @param staleMs age at which a report expires, ms
 * @param warmUpMs time after its recovery in which a destination counts as cold, ms
 * @param leaseMs duration of a role lease without renewal, ms
 * @param driftPpm maximum drift between two monotonic clocks, parts per million
 * @param probeIntervalUs interval between two permitted probes, us, as a function of the outage's age in us
 */
public record VerdictTiming(int staleMs, long warmUpMs, int leaseMs, int driftPpm, LongUnaryOperator probeIntervalUs) {
    /** Validity of a permit, us: several times what it takes to reach the requester and its next decision. */
    static final long PERMIT_US = 500_000;
    /**
     * Bounds of the default interval, us: a recovery is found within two seconds, and half a call per second overloads
     * nothing.
     */
    private static final long MIN_PROBE_INTERVAL_US = PERMIT_US;

    private static final long MAX_PROBE_INTERVAL_US = 2_000_000;

    /**
     * Checks the values.
     *
     * @throws IllegalArgumentException for an impossible value
     */
    public VerdictTiming {
        if (staleMs < 1 || warmUpMs < 0 || leaseMs < 1 || driftPpm < 0) {
            throw new IllegalArgumentException("invalid durations of verdicts: stale " + staleMs + " ms, cold "
                    + warmUpMs + " ms, lease " + leaseMs + " ms, drift " + driftPpm + " ppm");
        }
    }

    /** An interval of half the outage's age, at least 0.5 s and at most 2 s; all in us. */
    public static long halfOfAge(final long ageUs) {
        return Math.max(MIN_PROBE_INTERVAL_US, Math.min(MAX_PROBE_INTERVAL_US, ageUs / 2));
    }

    /** Validity of a permit for its requester, us, whose clock may be slower. */
    long permitLessDriftUs() {
        return PERMIT_US - PERMIT_US * driftPpm / 1_000_000;
    }

    /** How long an entry is kept, ms. */
    long keptMs() {
        return staleMs + warmUpMs;
    }

    /** Half of {@code staleMs}: calls from an old outage time out no later than this after its end. */
    long lateCallMs() {
        return staleMs / 2;
    }
}
