package driftchute.fleet.verdict;

import driftchute.Courier;
import driftchute.Courier.CircuitState;
import driftchute.fleet.ClockReading;

/** What this courier's own calls to a destination show, on its monotonic clock. */
final class Own {
    /**
     * Shorter waits come from a limit, whose spans are a second or two. Longer ones mean that the destination is
     * closed.
     */
    private static final long MIN_SHUT_US = 2_500_000;
    /** Maximum reported age of a trouble, us; a greater one carries no information. */
    private static final long OLDEST_US = 86_400_000_000L;

    private static final long MS_US = 1000;

    private boolean trouble;
    private int failed, waiting;
    private long fromUs = Long.MAX_VALUE;
    private long lastUs, servedUs, shutUs;
    private long endedUs = Long.MIN_VALUE;

    /** Handles a report of the traffic. */
    void update(final ClockReading now, final Courier.DestinationReport report) {
        final long nowUs = now.monoUs();
        final boolean out = report.circuit() == CircuitState.OPEN && report.troubleSinceUs() <= nowUs;
        final boolean failedMore =
                report.failedCalls() > failed || report.troubleSinceUs() != fromUs && report.troubleSinceUs() <= nowUs;
        if (failedMore || out && !trouble) {
            lastUs = nowUs;
        }
        trouble = out;
        failed = report.failedCalls();
        fromUs = report.troubleSinceUs();
        waiting = report.waitingCalls();
        servedUs = Math.min(report.lastServedUs(), nowUs);
        final boolean shut = report.closedUntilUs() - nowUs > MIN_SHUT_US;
        shutUs = !out ? 0 : shut ? Math.max(shutUs, report.closedUntilUs()) : shutUs;
    }

    /** Whether this courier considers it down by its own calls. */
    boolean isTrouble() {
        return trouble;
    }

    int waiting() {
        return waiting;
    }

    /** When the last failure was seen, us. */
    long lastUs() {
        return lastUs;
    }

    /** When a call was last delivered, us; 0 if never. */
    long servedUs() {
        return servedUs;
    }

    /** The same as wall-clock ms; 0 if never. */
    long servedMs(final ClockReading now) {
        return servedUs == 0 ? 0 : wallMs(now, servedUs);
    }

    /** This as a report with the next version. */
    BadReport report(
            final ClockReading now, final long destination, final int self, final BadReport before, final Terms terms) {
        final long madeMs = Math.max(now.wallMs(), before == null ? 0 : before.madeMs() + 1);
        final long lastMs = Math.min(madeMs, wallMs(now, lastUs));
        final long sinceMs = Math.min(lastMs, wallMs(now, Math.max(fromUs, now.monoUs() - OLDEST_US)));
        final long shutMs = shutUs == 0 ? 0 : Math.min(wallMs(now, shutUs), madeMs + terms.staleMs());
        return new BadReport(
                destination,
                self,
                madeMs,
                lastMs,
                sinceMs,
                Math.max(1, Math.min(BadReport.MAX_FAILED, failed)),
                shutMs);
    }

    /** Later evidence has ended what was seen so far. It is not reported again, however long the trouble lasts. */
    void end() {
        endedUs = lastUs;
    }

    /** Whether all that was seen has been ended. */
    boolean isEnded() {
        return lastUs <= endedUs;
    }

    private static long wallMs(final ClockReading now, final long us) {
        return Math.max(0, now.wallMs() + Math.floorDiv(us - now.monoUs(), MS_US));
    }
}
