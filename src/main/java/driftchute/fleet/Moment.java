package driftchute.fleet;

/**
 * One moment as one process reads it. Durations are taken on {@code monoUs} only, which never steps; {@code wallMs} (Unix
 * time) is for what couriers tell each other, since every machine reads one clock (PROTOCOL-irishead.md, Discovery).
 */
public record Moment(long monoUs, long wallMs) {
    /** So much later, on both clocks; {@code us} may be negative. */
    public Moment plusUs(final long us) {
        return new Moment(monoUs + us, wallMs + Math.floorDiv(us, 1000L));
    }
}
