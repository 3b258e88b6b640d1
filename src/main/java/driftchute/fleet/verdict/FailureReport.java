package driftchute.fleet.verdict;

import driftchute.fleet.MalformedMessageException;
import driftchute.fleet.Varint;
import java.nio.ByteBuffer;
import java.util.Comparator;

/**
 * One courier's report, from its own calls only, that a destination is down. Times are wall-clock ms.
 *
 * @param createdMs its version: when it was made; grows with each report of that courier
 * @param lastFailureMs its last failure there, at or before {@code createdMs}
 * @param sinceMs when the trouble began, at or before {@code lastFailureMs}
 * @param failedCalls number of failed calls since; 0 withdraws the report
 * @param closedUntilMs until when the destination announced to be closed; 0 if it did not
 */
record FailureReport(
        long destination,
        int reporter,
        long createdMs,
        long lastFailureMs,
        long sinceMs,
        int failedCalls,
        long closedUntilMs)
        implements EvidenceEntry {
    static final int TYPE = 0x40;
    /** Upper bound of the failure count; higher counts carry no information. */
    static final int MAX_FAILED = 0xFFFF;
    /** Order by version. The other fields only decide between inconsistent reports, to keep the order total. */
    static final Comparator<FailureReport> ORDER = Comparator.comparingLong(FailureReport::createdMs)
            .thenComparingLong(FailureReport::lastFailureMs)
            .thenComparingLong(FailureReport::sinceMs)
            .thenComparingInt(FailureReport::failedCalls)
            .thenComparingLong(FailureReport::closedUntilMs)
            .thenComparingInt(FailureReport::reporter);

    @Override
    public int slot() {
        return reporter;
    }

    @Override
    public long timestampMs() {
        return createdMs;
    }

    @Override
    public int type() {
        return TYPE;
    }

    @Override
    public int size() {
        return Varint.size(destination)
                + Varint.size(reporter)
                + Varint.size(createdMs)
                + Varint.size(createdMs - lastFailureMs)
                + Varint.size(lastFailureMs - sinceMs)
                + Varint.size(failedCalls)
                + Varint.size(closedUntilMs);
    }

    @Override
    public void write(final ByteBuffer into) {
        Varint.put(into, destination);
        Varint.put(into, reporter);
        Varint.put(into, createdMs);
        Varint.put(into, createdMs - lastFailureMs);
        Varint.put(into, lastFailureMs - sinceMs);
        Varint.put(into, failedCalls);
        Varint.put(into, closedUntilMs);
    }

    /** Reads a report. An announced closing may end at most {@code staleMs} after the report. */
    static FailureReport read(final ByteBuffer body, final int couriers, final long staleMs)
            throws MalformedMessageException {
        final long destination = Varint.get(body);
        final long reporter = Varint.get(body);
        final long madeMs = Varint.get(body);
        final long lastMs = madeMs - Varint.get(body);
        final long sinceMs = lastMs - Varint.get(body);
        final long failed = Varint.get(body);
        final long shutMs = Varint.get(body);
        // The differences are not negative, so an overflow shows as a negative time.
        if (reporter >= couriers || lastMs < 0 || sinceMs < 0 || failed > MAX_FAILED || shutMs - madeMs > staleMs) {
            throw new MalformedMessageException(
                    "invalid report of courier " + reporter + " created " + madeMs + ", last failure " + lastMs
                            + ", since " + sinceMs + ", failed " + failed + ", closed until " + shutMs);
        }
        return new FailureReport(destination, (int) reporter, madeMs, lastMs, sinceMs, (int) failed, shutMs);
    }
}
