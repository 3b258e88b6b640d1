package driftchute.node;

/** Bounds the memory of all requests that are being received or queued. Runs on the event loop's thread. */
final class RequestBuffers {
    private final long maxBytes;
    private long usedBytes;

    RequestBuffers(final long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Changes what is reserved, even beyond the limit; returns false if the limit is exceeded. */
    boolean resize(final int fromBytes, final int toBytes) {
        usedBytes += toBytes - fromBytes;
        return !isExceeded();
    }

    /** True if more is reserved than allowed. */
    boolean isExceeded() {
        return usedBytes > maxBytes;
    }

    /** Reserved memory, bytes. */
    long usedBytes() {
        return usedBytes;
    }
}
