package driftchute.fleet.session;

import driftchute.Courier.Effect;

/**
 * Derives a session's class from the couriers' evidence; a function of the merged state only. The figures:
 * docs/session-classes.md.
 */
final class SessionClassifier {
    /** Failure rate of a healthy session: the base error rate of endpoints. */
    static final double HEALTHY_FAILURE_RATE = 0.01;
    /** Failure rate of a session that must not share calls. */
    static final double HARMFUL_FAILURE_RATE = 0.10;
    /** Probability that a harmful session is ever {@code RUN}. It harms only its own messages then. */
    static final double RUN_RISK = 1.0 / 20;
    /** Probability that a harmful session is ever {@code ANY}. */
    static final double ANY_RISK = 1.0 / 125;
    /**
     * Calls after which a healthy session is {@code ANY} with a probability of 0.957, unless more than three of them
     * failed.
     */
    static final int ENOUGH_CALLS = 130;
    /** Log-likelihood that a failed call adds, and that a successful call subtracts (Wald 1945). */
    private static final double FAILURE_LOG_LIKELIHOOD = Math.log(HARMFUL_FAILURE_RATE / HEALTHY_FAILURE_RATE);

    private static final double SUCCESS_LOG_LIKELIHOOD =
            Math.log((1 - HEALTHY_FAILURE_RATE) / (1 - HARMFUL_FAILURE_RATE));
    /** A lower bound on the failure rate of merged calls above this demotes the session, from the second failure on. */
    private static final double MAX_MERGED_FAILURE_RATE = 0.05;

    private static final int MIN_MERGED_FAILURES = 2;
    /**
     * Thresholds double with each epoch, up to 32 times: a session that was demoted often needs 1,600 successful calls.
     */
    private static final int MAX_DOUBLINGS = 5;
    /**
     * Maximum share of a threshold that another courier's evidence can provide: two couriers have to agree, or this one
     * has to see it itself.
     */
    private static final double MAX_SHARE_BY_OTHER = 0.5;
    /** A property that occurs in at least one of so many calls is typical of the session. */
    private static final int DEPENDENT_ONE_IN = 10;

    private static final int TROUBLE_ONE_IN = 20;

    private SessionClassifier() {}

    /** The session's class by this evidence, as seen by courier {@code self}. */
    static SessionClass classOf(final SessionState state, final int self) {
        final Counters all = sum(state);
        if (state.epoch() >= SessionState.MAX_EPOCH
                || harmsMergedCalls(state)
                || isTypical(all.retriedCalls(), all, TROUBLE_ONE_IN)
                || isTypical(all.largeCalls(), all, TROUBLE_ONE_IN)) {
            return SessionClass.OWN;
        }
        double factor = 1 << Math.min(state.epoch(), MAX_DOUBLINGS);
        if ((all.effects() & 1 << Effect.UNSAFE.ordinal()) != 0) {
            factor *= 2;
        }
        if (!reachesThreshold(state, self, factor * -Math.log(RUN_RISK))) {
            return SessionClass.OWN;
        }
        final boolean mixed = Integer.bitCount(all.effects()) > 1;
        return mixed
                        || isTypical(all.dependentCalls(), all, DEPENDENT_ONE_IN)
                        || !reachesThreshold(state, self, factor * -Math.log(ANY_RISK))
                ? SessionClass.RUN
                : SessionClass.ANY;
    }

    private static boolean isTypical(final long seen, final Counters all, final int oneIn) {
        return seen > 0 && seen * oneIn >= all.ownCalls() + all.mergedCalls();
    }

    /**
     * The sequential test: whether the log-likelihood ratio of a harmful to a healthy session is at or below the
     * threshold.
     */
    private static boolean reachesThreshold(final SessionState state, final int self, final double threshold) {
        double score = 0;
        for (final var of : state.byCourier().entrySet()) {
            final Counters counters = of.getValue();
            final long harms = counters.failedCalls() + counters.mergedFailures();
            final double evidence = harms * FAILURE_LOG_LIKELIHOOD
                    - (counters.ownCalls() + counters.mergedCalls() - harms) * SUCCESS_LOG_LIKELIHOOD;
            score += of.getKey() == self ? evidence : Math.max(evidence, -MAX_SHARE_BY_OTHER * threshold);
        }
        return score <= -threshold;
    }

    /** True if merged calls with it fail too often, although none of its messages was proven to be the cause. */
    static boolean harmsMergedCalls(final SessionState state) {
        final Counters all = sum(state);
        return all.mergedFailures() >= MIN_MERGED_FAILURES
                && WilsonInterval.lower(all.mergedFailures(), all.mergedCalls()) > MAX_MERGED_FAILURE_RATE;
    }

    /** The sum of all couriers' counters. */
    static Counters sum(final SessionState state) {
        long calls = 0;
        long failedCalls = 0;
        long merged = 0;
        long mergedFailures = 0;
        long dependent = 0;
        long retried = 0;
        long large = 0;
        int effects = 0;
        for (final Counters one : state.byCourier().values()) {
            calls = Math.min(Counters.MAX, calls + one.ownCalls());
            failedCalls = Math.min(Counters.MAX, failedCalls + one.failedCalls());
            merged = Math.min(Counters.MAX, merged + one.mergedCalls());
            mergedFailures = Math.min(Counters.MAX, mergedFailures + one.mergedFailures());
            dependent = Math.min(Counters.MAX, dependent + one.dependentCalls());
            retried = Math.min(Counters.MAX, retried + one.retriedCalls());
            large = Math.min(Counters.MAX, large + one.largeCalls());
            effects |= one.effects();
        }
        return new Counters(0, calls, failedCalls, merged, mergedFailures, dependent, retried, large, effects);
    }
}
