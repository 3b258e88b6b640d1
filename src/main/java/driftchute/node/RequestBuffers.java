package driftchute.node;

/** Bounds the memory of all requests that are being received or queued. Runs on the event loop's thread. */
final class RequestBuffers {
    private final int maxBytes;
    private int usedBytes;

    RequestBuffers(final int maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Reserves memory; returns false, and reserves nothing, if there is not enough. */
    boolean reserve(final int bytes) {
        if (usedBytes + bytes > maxBytes) {
            return false;
        }
        usedBytes += bytes;
        return true;
    }

    /** Reserved memory, bytes. */
    int usedBytes() {
        return usedBytes;
    }

    /** Changes what is reserved, even beyond the limit; returns false if it is exceeded. */
    boolean resize(final int fromBytes, final int toBytes) {
        usedBytes += toBytes - fromBytes;
        return usedBytes <= maxBytes;
    }

    /** Gives back what was reserved. */
    void release(final int bytes) {
        usedBytes -= bytes;
    }
}
