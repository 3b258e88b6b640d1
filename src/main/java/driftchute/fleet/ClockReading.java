package driftchute.fleet;

/**
 * A reading of one process's clocks. Durations are measured on {@code monoUs} only, which never steps. {@code wallMs}
 * (Unix time) is for times that couriers exchange, because all machines share one clock (PROTOCOL-irishead.md,
 * Discovery).
 */
public record ClockReading(long monoUs, long wallMs) {
    /** A reading that is {@code us} later on both clocks; {@code us} may be negative. */
    public ClockReading plusUs(final long us) {
        return new ClockReading(monoUs + us, wallMs + Math.floorDiv(us, 1000L));
    }
}
