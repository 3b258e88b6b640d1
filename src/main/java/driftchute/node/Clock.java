package driftchute.node;

/**
 * The clocks of a courier, in microseconds. Everything runs on the monotonic one. The wall clock is for what outlasts
 * the process, because a monotonic clock has no meaning for the next one.
 */
final class Clock {
    private static final long NS_PER_US = 1000;
    private static final long US_PER_MS = 1000;

    /** Far from zero, so that "never" (zero) is in the distant past for the decisions. */
    private final long originUs = wallUs();

    private final long originNs = System.nanoTime();

    /** The present time on the monotonic clock. */
    long nowUs() {
        return originUs + (System.nanoTime() - originNs) / NS_PER_US;
    }

    /** The present Unix time. */
    long wallUs() {
        return System.currentTimeMillis() * US_PER_MS;
    }

    /** Converts a wall-clock time to the monotonic clock, with the present offset. */
    long fromWallUs(final long wallUs) {
        return nowUs() + wallUs - wallUs();
    }

    /** Converts a monotonic time to the wall clock, with the present offset. */
    long toWallUs(final long us) {
        return wallUs() + us - nowUs();
    }
}
