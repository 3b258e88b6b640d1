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
final class Outage {
    /**
     * Maximum number of reports, the latest ones. Two establish an outage; the others allow some to expire or be
     * withdrawn.
     */
    static final int MAX_REPORTS = 8;

    private static final int TWO = 2;
    private final SortedMap<Integer, BadReport> reports = new TreeMap<>();
    private final Return back;

    /** No evidence. */
    Outage(final long destination) {
        this(new Return(destination, Return.Seen.NEVER, Return.Seen.NEVER), Stream.empty());
    }

    private Outage(final Return back, final Stream<BadReport> all) {
        this.back = back;
        all.forEach(report -> reports.merge(
                report.reporter(), report, (one, other) -> BadReport.ORDER.compare(one, other) >= 0 ? one : other));
        while (reports.size() > MAX_REPORTS) {
            reports.remove(
                    reports.values().stream().min(BadReport.ORDER).orElseThrow().reporter());
        }
    }

    /** The union of both. */
    Outage merge(final Outage other) {
        return new Outage(
                back.merge(other.back), Stream.concat(reports.values().stream(), other.reports.values().stream()));
    }

    /** This evidence with one more entry. */
    Outage with(final Entry entry) {
        return entry instanceof Return seen
                ? new Outage(back.merge(seen), reports.values().stream())
                : new Outage(back, Stream.concat(reports.values().stream(), Stream.of((BadReport) entry)));
    }

    /** Without entries that are too old, or in the future because the wall clock was set back. */
    Outage timely(final long nowMs, final Terms terms) {
        return new Outage(
                back.isTimely(nowMs, terms) ? back : new Outage(back.destination()).back,
                reports.values().stream().filter(report -> report.isTimely(nowMs, terms)));
    }

    /** The entries, each in its own slot. */
    Stream<Entry> entries() {
        return Stream.concat(back.served().ms() > 0 ? Stream.of(back) : Stream.empty(), reports.values().stream());
    }

    /** That courier's report, or null. */
    BadReport of(final int reporter) {
        return reports.get(reporter);
    }

    Return back() {
        return back;
    }

    /** The reports that count now: not withdrawn, expired or ended by later evidence. */
    List<BadReport> live(final long nowMs, final Terms terms) {
        return reports.values().stream()
                .filter(report -> report.failed() > 0
                        && report.madeMs() + terms.staleMs() > nowMs
                        && !back.ends(report, terms.lateMs()))
                .toList();
    }

    /** The assessment at a time. */
    Judgement judge(final long nowMs, final Terms terms) {
        final List<BadReport> live = live(nowMs, terms);
        final long shutMs = live.stream().mapToLong(BadReport::shutMs).max().orElse(0);
        final long coldUntilMs = back.back().ms() + terms.coldMs();
        if (live.size() >= TWO || shutMs > 0) {
            return of(TierHealth.DOWN, live, shutMs, terms);
        }
        if (back.back().ms() > 0 && nowMs < coldUntilMs) {
            return new Judgement(
                    TierHealth.RECOVERED,
                    back.back().ms(),
                    0,
                    coldUntilMs,
                    List.of(back.back().by()),
                    0,
                    back.back().ms());
        }
        return live.isEmpty() ? Judgement.WELL : of(TierHealth.SUSPECTED, live, 0, terms);
    }

    private Judgement of(final TierHealth standing, final List<BadReport> live, final long shutMs, final Terms terms) {
        final List<Long> made = live.stream()
                .map(BadReport::madeMs)
                .sorted(Comparator.reverseOrder())
                .toList();
        // Two reports hold until the older of the latest two expires. A report with an announced closing holds by
        // itself.
        final long pairMs = made.get(Math.min(made.size(), TWO) - 1);
        final long toldMs = live.stream()
                .filter(report -> report.shutMs() > 0)
                .mapToLong(BadReport::madeMs)
                .max()
                .orElse(0);
        final long sinceMs = live.stream().mapToLong(BadReport::sinceMs).min().orElse(0);
        return new Judgement(
                standing,
                Math.max(sinceMs, back.back().ms()),
                shutMs,
                Math.max(pairMs, toldMs) + terms.staleMs(),
                live.stream().map(BadReport::reporter).toList(),
                live.stream().mapToInt(BadReport::failed).sum(),
                back.back().ms());
    }

    @Override
    public boolean equals(final Object other) {
        return other instanceof Outage that && reports.equals(that.reports) && back.equals(that.back);
    }

    @Override
    public int hashCode() {
        return 31 * reports.hashCode() + back.hashCode();
    }

    @Override
    public String toString() {
        return back + " " + reports.values();
    }
}
