package driftchute.fleet.verdict;

import driftchute.Courier;
import driftchute.Courier.CircuitState;
import driftchute.fleet.ClockReading;

/** What this courier's own calls to a destination show, on its monotonic clock. */
final class LocalObservations {
    /**
     * Shorter waits come from a limit, whose spans are a second or two. Longer ones mean that the destination is
     * closed.
     */
    private static final long MIN_CLOSED_US = 2_500_000;
    /** Maximum reported age of a trouble, us; a greater one carries no information. */
    private static final long MAX_AGE_US = 86_400_000_000L;

    private static final long US_PER_MS = 1000;

    private boolean isDown;
    private int failedCalls, waitingCalls;
    private long troubleSinceUs = Long.MAX_VALUE;
    private long lastFailureUs, lastServedUs, closedUntilUs;
    private long refutedUs = Long.MIN_VALUE;

    /** Handles a report of the traffic. */
    void update(final ClockReading now, final Courier.DestinationReport report) {
        final long nowUs = now.monoUs();
        final boolean down = report.circuit() == CircuitState.OPEN && report.troubleSinceUs() <= nowUs;
        final boolean failedMore = report.failedCalls() > failedCalls
                || report.troubleSinceUs() != troubleSinceUs && report.troubleSinceUs() <= nowUs;
        if (failedMore || down && !isDown) {
            lastFailureUs = nowUs;
        }
        isDown = down;
        failedCalls = report.failedCalls();
        troubleSinceUs = report.troubleSinceUs();
        waitingCalls = report.waitingCalls();
        lastServedUs = Math.min(report.lastServedUs(), nowUs);
        final boolean closed = report.closedUntilUs() - nowUs > MIN_CLOSED_US;
        closedUntilUs = !down ? 0 : closed ? Math.max(closedUntilUs, report.closedUntilUs()) : closedUntilUs;
    }

    /** Whether this courier considers it down by its own calls. */
    boolean isDown() {
        return isDown;
    }

    int waitingCalls() {
        return waitingCalls;
    }

    /** When the last failure was seen, us. */
    long lastFailureUs() {
        return lastFailureUs;
    }

    /** When a call was last delivered, us; 0 if never. */
    long lastServedUs() {
        return lastServedUs;
    }

    /** The same as wall-clock ms; 0 if never. */
    long lastServedMs(final ClockReading now) {
        return lastServedUs == 0 ? 0 : wallMs(now, lastServedUs);
    }

    /** This as a report with the next version. */
    FailureReport report(
            final ClockReading now,
            final long destination,
            final int self,
            final FailureReport before,
            final VerdictTiming terms) {
        final long madeMs = Math.max(now.wallMs(), before == null ? 0 : before.createdMs() + 1);
        final long lastMs = Math.min(madeMs, wallMs(now, lastFailureUs));
        final long sinceMs = Math.min(lastMs, wallMs(now, Math.max(troubleSinceUs, now.monoUs() - MAX_AGE_US)));
        final long closedUntilMs =
                closedUntilUs == 0 ? 0 : Math.min(wallMs(now, closedUntilUs), madeMs + terms.staleMs());
        return new FailureReport(
                destination,
                self,
                madeMs,
                lastMs,
                sinceMs,
                Math.max(1, Math.min(FailureReport.MAX_FAILED, failedCalls)),
                closedUntilMs);
    }

    /** Later evidence has ended what was seen so far. It is not reported again, however long the trouble lasts. */
    void refute() {
        refutedUs = lastFailureUs;
    }

    /** Whether all that was seen has been ended. */
    boolean isRefuted() {
        return lastFailureUs <= refutedUs;
    }

    private static long wallMs(final ClockReading now, final long us) {
        return Math.max(0, now.wallMs() + Math.floorDiv(us - now.monoUs(), US_PER_MS));
    }
}
