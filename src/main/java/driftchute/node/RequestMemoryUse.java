package driftchute.node;

import java.util.List;

/**
 * What clients make this process hold, for the log.
 *
 * @param connections open connections
 * @param incomplete connections with a request that is still arriving
 * @param requestBytes memory of requests that are arriving or queued, bytes
 * @param reservedIds ids that are not accepted again yet
 */
record RequestMemoryUse(int connections, long incomplete, long requestBytes, int reservedIds) {
    private static final long BYTES_PER_KB = 1024;

    /** Adds these figures and the size of the heap to the fields of a log line. */
    void addTo(final List<Object> fields) {
        final Runtime runtime = Runtime.getRuntime();
        fields.addAll(List.of(
                "connections",
                connections,
                "incomplete",
                incomplete,
                "request_bytes",
                requestBytes,
                "reserved_ids",
                reservedIds,
                "heap_used_kb",
                (runtime.totalMemory() - runtime.freeMemory()) / BYTES_PER_KB,
                "heap_max_kb",
                runtime.maxMemory() / BYTES_PER_KB));
    }
}
