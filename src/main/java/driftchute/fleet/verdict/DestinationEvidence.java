package driftchute.fleet.verdict;

import driftchute.Courier.TierHealth;
import java.util.Comparator;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.stream.Stream;

/**
 * The evidence on one destination: a join semilattice. {@link #merge} is commutative, associative and idempotent, so
 * the result depends on what was received, not on its order or repetition. Immutable.
 */
final class DestinationEvidence {
    /**
     * Maximum number of reports, the latest ones. Two establish an outage; the others allow some to expire or be
     * withdrawn.
     */
    static final int MAX_REPORTS = 8;

    private static final int REPORTS_FOR_OUTAGE = 2;
    private final SortedMap<Integer, FailureReport> reports = new TreeMap<>();
    private final RecoveryEvidence recovery;

    /** No evidence. */
    DestinationEvidence(final long destination) {
        this(
                new RecoveryEvidence(destination, RecoveryEvidence.Delivery.NEVER, RecoveryEvidence.Delivery.NEVER),
                Stream.empty());
    }

    private DestinationEvidence(final RecoveryEvidence back, final Stream<FailureReport> all) {
        this.recovery = back;
        all.forEach(report -> reports.merge(
                report.reporter(), report, (one, other) -> FailureReport.ORDER.compare(one, other) >= 0 ? one : other));
        while (reports.size() > MAX_REPORTS) {
            reports.remove(reports.values().stream()
                    .min(FailureReport.ORDER)
                    .orElseThrow()
                    .reporter());
        }
    }

    /** The union of both. */
    DestinationEvidence merge(final DestinationEvidence other) {
        return new DestinationEvidence(
                recovery.merge(other.recovery),
                Stream.concat(reports.values().stream(), other.reports.values().stream()));
    }

    /** This evidence with one more entry. */
    DestinationEvidence with(final EvidenceEntry entry) {
        return entry instanceof RecoveryEvidence seen
                ? new DestinationEvidence(recovery.merge(seen), reports.values().stream())
                : new DestinationEvidence(
                        recovery, Stream.concat(reports.values().stream(), Stream.of((FailureReport) entry)));
    }

    /** Without entries that are too old, or in the future because the wall clock was set back. */
    DestinationEvidence timely(final long nowMs, final VerdictTiming terms) {
        return new DestinationEvidence(
                recovery.isTimely(nowMs, terms) ? recovery : new DestinationEvidence(recovery.destination()).recovery,
                reports.values().stream().filter(report -> report.isTimely(nowMs, terms)));
    }

    /** The entries, each in its own slot. */
    Stream<EvidenceEntry> entries() {
        return Stream.concat(
                recovery.served().ms() > 0 ? Stream.of(recovery) : Stream.empty(), reports.values().stream());
    }

    /** That courier's report, or null. */
    FailureReport reportOf(final int reporter) {
        return reports.get(reporter);
    }

    RecoveryEvidence recovery() {
        return recovery;
    }

    /** The reports that count now: not withdrawn, expired or ended by later evidence. */
    List<FailureReport> validReports(final long nowMs, final VerdictTiming terms) {
        return reports.values().stream()
                .filter(report -> report.failedCalls() > 0
                        && report.createdMs() + terms.staleMs() > nowMs
                        && !recovery.refutes(report, terms.lateCallMs()))
                .toList();
    }

    /** The assessment at a time. */
    Assessment assess(final long nowMs, final VerdictTiming terms) {
        final List<FailureReport> validReports = validReports(nowMs, terms);
        final long closedUntilMs = validReports.stream()
                .mapToLong(FailureReport::closedUntilMs)
                .max()
                .orElse(0);
        final long coldUntilMs = recovery.recovered().ms() + terms.warmUpMs();
        if (validReports.size() >= REPORTS_FOR_OUTAGE || closedUntilMs > 0) {
            return reportOf(TierHealth.DOWN, validReports, closedUntilMs, terms);
        }
        if (recovery.recovered().ms() > 0 && nowMs < coldUntilMs) {
            return new Assessment(
                    TierHealth.RECOVERED,
                    recovery.recovered().ms(),
                    0,
                    coldUntilMs,
                    List.of(recovery.recovered().courier()),
                    0,
                    recovery.recovered().ms());
        }
        return validReports.isEmpty() ? Assessment.HEALTHY : reportOf(TierHealth.SUSPECTED, validReports, 0, terms);
    }

    private Assessment reportOf(
            final TierHealth health,
            final List<FailureReport> validReports,
            final long closedUntilMs,
            final VerdictTiming terms) {
        final List<Long> made = validReports.stream()
                .map(FailureReport::createdMs)
                .sorted(Comparator.reverseOrder())
                .toList();
        // Two reports hold until the older of the latest two expires. A report with an announced closing holds by
        // itself.
        final long pairMs = made.get(Math.min(made.size(), REPORTS_FOR_OUTAGE) - 1);
        final long toldMs = validReports.stream()
                .filter(report -> report.closedUntilMs() > 0)
                .mapToLong(FailureReport::createdMs)
                .max()
                .orElse(0);
        final long sinceMs =
                validReports.stream().mapToLong(FailureReport::sinceMs).min().orElse(0);
        return new Assessment(
                health,
                Math.max(sinceMs, recovery.recovered().ms()),
                closedUntilMs,
                Math.max(pairMs, toldMs) + terms.staleMs(),
                validReports.stream().map(FailureReport::reporter).toList(),
                validReports.stream().mapToInt(FailureReport::failedCalls).sum(),
                recovery.recovered().ms());
    }

    @Override
    public boolean equals(final Object other) {
        return other instanceof DestinationEvidence that
                && reports.equals(that.reports)
                && recovery.equals(that.recovery);
    }

    @Override
    public int hashCode() {
        return 31 * reports.hashCode() + recovery.hashCode();
    }

    @Override
    public String toString() {
        return recovery + " " + reports.values();
    }
}
