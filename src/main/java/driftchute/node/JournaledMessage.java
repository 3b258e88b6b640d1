package driftchute.node;

import driftchute.Courier;

/**
 * A message in the journal: what its client submitted and the attempts so far (times in Unix microseconds). Once it has
 * ended with a notice, only the notice is outstanding.
 */
final class JournaledMessage {
    static final long NEVER = Long.MAX_VALUE;
    private static final byte[] NOTHING = {};
    /** Time after a message's deadline in which its id is not accepted again, also by another process. */
    private static final long ID_RESERVED_US = 10_000_000;

    final String id;
    final String className;
    final String idempotencyKey;
    final long destination;
    final long validUntilWallUs;
    private byte[] body;
    private int attempts;
    private long firstExecutionWallUs = NEVER;
    private String executionZone = "";
    /** When the attempt in flight began; {@code NEVER} if there is none. */
    private long attemptBegunWallUs = NEVER;

    private String attemptZone = "";
    private Notice notice;

    /** The outcome that the platform is notified of: a failure, or a refusal with the time after which to try again. */
    record Notice(boolean failed, long retryAfterMs) {}

    JournaledMessage(
            final String id,
            final String className,
            final String idempotencyKey,
            final long destination,
            final long validUntilWallUs,
            final byte[] body) {
        this.id = id;
        this.className = className;
        this.idempotencyKey = idempotencyKey;
        this.destination = destination;
        this.validUntilWallUs = validUntilWallUs;
        this.body = body;
    }

    /** Until when its id is not accepted again, even if it may take effect twice. */
    long idReservedUntilWallUs() {
        return validUntilWallUs + ID_RESERVED_US;
    }

    void beginAttempt(final long wallUs, final String zone) {
        attempts++;
        attemptBegunWallUs = wallUs;
        attemptZone = zone;
    }

    /** The attempt in flight has its outcome. */
    void endAttempt(final boolean neverExecuted) {
        if (!neverExecuted && attemptBegunWallUs != NEVER) {
            firstExecutionWallUs = Math.min(firstExecutionWallUs, attemptBegunWallUs);
            executionZone = attemptZone;
        }
        attemptBegunWallUs = NEVER;
    }

    void restoreAttempts(final int attemptsUsed, final long firstRun, final String zone) {
        attempts = attemptsUsed;
        firstExecutionWallUs = firstRun;
        executionZone = zone;
    }

    /** True if this copy has progressed further than the same message's copy in another journal. */
    boolean isAheadOf(final JournaledMessage other) {
        return notice != null && other.notice == null
                || attempts > other.attempts
                || attempts == other.attempts && isInFlight() && !other.isInFlight();
    }

    /**
     * From now on only its notice is outstanding. The body is dropped, because many notices may wait while the platform
     * is unreachable.
     */
    void setNotice(final Notice owed) {
        notice = owed;
        body = NOTHING;
    }

    /** The body that its client submitted; empty once only its notice is outstanding. */
    byte[] body() {
        return body;
    }

    Notice notice() {
        return notice;
    }

    int attempts() {
        return attempts;
    }

    long firstExecutionWallUs() {
        return firstExecutionWallUs;
    }

    String executionZone() {
        return executionZone;
    }

    boolean isInFlight() {
        return attemptBegunWallUs != NEVER;
    }

    long attemptBegunWallUs() {
        return attemptBegunWallUs;
    }

    String attemptZone() {
        return attemptZone;
    }

    /** The history for a process that did not make the attempts. A call in flight may have been executed. */
    Courier.MessageHistory history(final Clock clock) {
        final long firstWallUs = Math.min(firstExecutionWallUs, attemptBegunWallUs);
        final boolean mayHaveExecuted = firstWallUs != NEVER;
        return new Courier.MessageHistory(
                attempts,
                mayHaveExecuted,
                mayHaveExecuted ? clock.fromWallUs(firstWallUs) : 0,
                isInFlight() ? attemptZone : executionZone);
    }
}
