package driftchute.node;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;

/**
 * Logs why connections were closed and requests refused. The first events of each kind in an interval get a line each ({@code
 * client_event}), so that single requests can be followed; all of them are counted in one line at its end ({@code
 * client_events}). So a flood of requests writes no flood of lines. Runs on the event loop's thread.
 */
final class ClientEventLog {
    /** Interval of the line with the counts, us. */
    private static final long INTERVAL_US = 5_000_000;
    /** Maximum number of events of one kind that are logged singly in an interval. */
    private static final int MAX_SINGLE_LINES = 5;

    private final int[] counts = new int[ClientEvent.values().length];
    private int total;
    private long intervalBeganUs;

    /**
     * Records an event.
     *
     * @param connection number of the client's connection, 0 if unknown
     * @param detail id of the message, status, or cause; empty if there is none
     */
    void record(final ClientEvent event, final long connection, final String detail) {
        counts[event.ordinal()]++;
        total++;
        if (counts[event.ordinal()] <= MAX_SINGLE_LINES) {
            Log.event("client_event", "what", event.logName(), "connection", connection, "detail", detail);
        }
    }

    /** Logs the counts with the present use of memory if the interval is over and anything happened in it. */
    void logCounts(final long nowUs, final Supplier<RequestMemoryUse> use) {
        if (total == 0 || nowUs - intervalBeganUs < INTERVAL_US) {
            return;
        }
        final List<Object> fields = new ArrayList<>();
        for (final ClientEvent event : ClientEvent.values()) {
            if (counts[event.ordinal()] > 0) {
                fields.add(event.logName());
                fields.add(counts[event.ordinal()]);
                counts[event.ordinal()] = 0;
            }
        }
        use.get().addTo(fields);
        Log.event("client_events", fields.toArray());
        total = 0;
        intervalBeganUs = nowUs;
    }
}
