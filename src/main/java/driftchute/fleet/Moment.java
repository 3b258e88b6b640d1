package driftchute.fleet;

/**
 * A reading of one process's clocks. Durations are measured on {@code monoUs} only, which never steps. {@code wallMs}
 * (Unix time) is for times that couriers exchange, because all machines share one clock (PROTOCOL-irishead.md,
 * Discovery).
 */
public record Moment(long monoUs, long wallMs) {
    /** A reading that is {@code us} later on both clocks; {@code us} may be negative. */
    public Moment plusUs(final long us) {
        return new Moment(monoUs + us, wallMs + Math.floorDiv(us, 1000L));
    }
}
