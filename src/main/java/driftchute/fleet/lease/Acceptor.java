package driftchute.fleet.lease;

/**
 * The acceptor of one role (PaxosLease; docs/fleet-leases.md). Safety rests on one rule: while locked by one process,
 * it accepts no other until the lock has expired on its own clock or that process has released it. Promises only avoid
 * split votes and keep the tokens in order. Times are its own monotonic clock, us.
 */
final class Acceptor {
    /** A ballot with an expiry time. */
    private record ExpiringBallot(Ballot ballot, long untilUs) {}

    private final LeaseTiming timing;
    private ExpiringBallot lock;
    private ExpiringBallot promise;
    private Ballot released;
    private long fence;

    Acceptor(final LeaseTiming timing) {
        this.timing = timing;
    }

    /** True if it accepts proposals of that ballot; the ballot is promised then. */
    boolean prepare(final long nowUs, final Ballot ballot) {
        if (ballot.token() <= fence || promised(nowUs) > ballot.token() || lockedUs(nowUs, ballot) > 0) {
            return false;
        }
        promise = new ExpiringBallot(ballot, nowUs + timing.promiseUs());
        return true;
    }

    /** True if it is now locked to that ballot, which it had promised. */
    boolean propose(final long nowUs, final Ballot ballot) {
        final boolean kept = promised(nowUs) != 0 && promise.ballot().equals(ballot);
        return kept && accept(nowUs, ballot);
    }

    /** True if it is now locked to the ballot of a process that renews its lease. */
    boolean renew(final long nowUs, final Ballot ballot) {
        final boolean outdone =
                promised(nowUs) > ballot.token() && !promise.ballot().sameProcess(ballot);
        return !outdone && accept(nowUs, ballot);
    }

    private boolean accept(final long nowUs, final Ballot ballot) {
        if (ballot.token() < fence || covers(released, ballot) || lockedUs(nowUs, ballot) > 0) {
            return false;
        }
        lock = new ExpiringBallot(ballot, nowUs + timing.leaseUs());
        fence = ballot.token();
        return true;
    }

    /** Handles a release of this ballot and all earlier ones of that process. True if it ends a lock. */
    boolean release(final Ballot last) {
        if (released == null || !released.sameProcess(last) || released.token() < last.token()) {
            released = last;
        }
        if (promise != null && covers(last, promise.ballot())) {
            promise = null;
        }
        final boolean ends = lock != null && covers(last, lock.ballot());
        if (ends) {
            lock = null;
        }
        return ends;
    }

    private static boolean covers(final Ballot last, final Ballot ballot) {
        return last != null && last.sameProcess(ballot) && ballot.token() <= last.token();
    }

    /** The ballot that it is locked to, or null. */
    Ballot locked(final long nowUs) {
        return lock != null && nowUs < lock.untilUs() ? lock.ballot() : null;
    }

    /** How long it is still locked by another process than that ballot's, us; 0 if it is not. */
    long lockedUs(final long nowUs, final Ballot ballot) {
        final Ballot by = locked(nowUs);
        return by == null || by.sameProcess(ballot) ? 0 : lock.untilUs() - nowUs;
    }

    /** The token of the present promise, or 0. */
    long promised(final long nowUs) {
        return promise != null && nowUs < promise.untilUs() ? promise.ballot().token() : 0;
    }

    /** The highest token that it has accepted or that its own courier has held. */
    long fence() {
        return fence;
    }

    /** Its own courier holds the role under this token. */
    void held(final long token) {
        fence = Math.max(fence, token);
    }
}
