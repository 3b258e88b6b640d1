package driftchute.fleet.verdict;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowable;

import driftchute.Courier.TierHealth;
import driftchute.fleet.ClockReading;
import driftchute.fleet.LeasedRole;
import driftchute.fleet.MalformedMessageException;
import driftchute.fleet.Message;
import driftchute.fleet.Tier;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.EdgeCasesMode;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Tuple;
import net.jqwik.api.constraints.IntRange;

/** The state is a join semilattice, and its assessment follows the rules. Times are small, so that they coincide. */
final class VerdictLatticeTest {
    private static final int COURIERS = 12;
    private static final VerdictTiming TERMS = new VerdictTiming(10, 8, 3, 0, VerdictTiming::halfOfAge);
    private static final LeasedRole NOBODY = new LeasedRole() {
        @Override
        public OptionalLong held(final ClockReading now) {
            return OptionalLong.empty();
        }

        @Override
        public Optional<Holder> holder(final ClockReading now) {
            return Optional.empty();
        }

        @Override
        public boolean accepts(final long token) {
            return false;
        }
    };

    @Provide
    Arbitrary<EvidenceEntry> entry() {
        final Arbitrary<Long> few = Arbitraries.longs().between(0, 6);
        final Arbitrary<Integer> courier = Arbitraries.integers().between(0, COURIERS - 1);
        final Arbitrary<Long> ms = Arbitraries.longs().between(12, 40);
        final Arbitrary<EvidenceEntry> report = Combinators.combine(courier, ms, few, few, few, few)
                .as((by, made, last, since, failed, shut) -> new FailureReport(
                        1, by, made, made - last, made - last - since, failed.intValue(), shut < 5 ? 0 : made + shut));
        final Arbitrary<RecoveryEvidence.Delivery> seen =
                Combinators.combine(ms, courier).as(RecoveryEvidence.Delivery::new);
        final Arbitrary<EvidenceEntry> back = Combinators.combine(seen, seen, Arbitraries.of(true, false))
                .as((one, other, out) -> new RecoveryEvidence(
                        1,
                        one.later(other),
                        !out ? RecoveryEvidence.Delivery.NEVER : one.compareTo(other) < 0 ? one : other));
        return Arbitraries.frequencyOf(Tuple.of(4, report), Tuple.of(1, back));
    }

    @Provide
    Arbitrary<List<EvidenceEntry>> entries() {
        return entry().list().ofMaxSize(30);
    }

    private static DestinationEvidence of(final List<EvidenceEntry> entries) {
        DestinationEvidence outage = new DestinationEvidence(1);
        for (final EvidenceEntry entry : entries) {
            outage = outage.with(entry);
        }
        return outage;
    }

    @Property(seed = "18", edgeCases = EdgeCasesMode.NONE)
    void mergingIsCommutativeAssociativeAndIdempotent(
            @ForAll("entries") final List<EvidenceEntry> one,
            @ForAll("entries") final List<EvidenceEntry> two,
            @ForAll("entries") final List<EvidenceEntry> three) {
        final DestinationEvidence a = of(one);
        final DestinationEvidence b = of(two);
        final DestinationEvidence c = of(three);
        assertThat(a.merge(b)).isEqualTo(b.merge(a));
        assertThat(a.merge(b).merge(c)).isEqualTo(a.merge(b.merge(c)));
        assertThat(a.merge(a)).isEqualTo(a);
        assertThat(a.merge(b).merge(b)).isEqualTo(a.merge(b));
    }

    @Property(seed = "18", edgeCases = EdgeCasesMode.NONE)
    void couriersThatReceivedTheSameAgreeWhateverTheOrderAndNumber(
            @ForAll("entries") final List<EvidenceEntry> heard,
            @ForAll final long seed,
            @ForAll @IntRange(max = 60) final int nowMs) {
        final List<EvidenceEntry> other = new ArrayList<>(heard);
        other.addAll(heard.subList(0, heard.size() / 2));
        Collections.shuffle(other, new Random(seed));
        final EvidenceStore here = new EvidenceStore(TERMS);
        final EvidenceStore there = new EvidenceStore(TERMS);
        heard.forEach(here::add);
        other.forEach(there::add);
        assertThat(there.of(1)).isEqualTo(here.of(1)).isEqualTo(of(heard));
        assertThat(there.digest()).isEqualTo(here.digest());
        assertThat(there.of(1).assess(nowMs, TERMS)).isEqualTo(here.of(1).assess(nowMs, TERMS));
        here.expire(nowMs);
        there.expire(nowMs);
        assertThat(there.digest()).isEqualTo(here.digest());
        here.expire(1000);
        assertThat(here.digest()).isZero();
    }

    @Property(seed = "18", edgeCases = EdgeCasesMode.NONE)
    void oneCourierAloneEstablishesNoOutageAndOlderEvidenceChangesNothing(
            @ForAll("entries") final List<EvidenceEntry> heard,
            @ForAll("entry") final EvidenceEntry more,
            @ForAll @IntRange(max = 60) final int nowMs) {
        final DestinationEvidence outage = of(heard);
        final Assessment judged = outage.assess(nowMs, TERMS);
        final List<FailureReport> live = outage.validReports(nowMs, TERMS);
        assertThat(judged.health() == TierHealth.DOWN)
                .isEqualTo(live.size() > 1 || live.stream().anyMatch(report -> report.closedUntilMs() > 0));
        assertThat(live).allMatch(report -> report.createdMs() > nowMs - TERMS.staleMs());
        if (more instanceof RecoveryEvidence seen
                && seen.recovered().ms() == 0
                && live.stream().allMatch(report -> seen.served().ms() < report.lastFailureMs())) {
            assertThat(outage.with(more).assess(nowMs, TERMS)).isEqualTo(judged);
        }
        if (more instanceof FailureReport report
                && outage.reportOf(report.reporter()) == null
                && report.lastFailureMs() <= outage.recovery().served().ms()
                && heard.size() < DestinationEvidence.MAX_REPORTS) {
            assertThat(outage.with(more).assess(nowMs, TERMS)).isEqualTo(judged);
        }
    }

    @Property(seed = "18", edgeCases = EdgeCasesMode.NONE)
    void whatIsWrittenIsReadBackAndRandomBytesAreRefusedCleanly(
            @ForAll("entry") final EvidenceEntry entry, @ForAll final byte[] random) throws Exception {
        final Map<Integer, Message.Reader> readers =
                new HealthVerdicts(new Tier(0, COURIERS, 1), TERMS, NOBODY, 1, (name, fields) -> {}).readers();
        final ByteBuffer bytes = ByteBuffer.allocate(entry.size());
        entry.write(bytes);
        assertThat(readers.get(entry.type()).read(bytes.flip())).isEqualTo(entry);
        for (final Message.Reader reader : readers.values()) {
            final Throwable thrown = catchThrowable(() -> reader.read(ByteBuffer.wrap(random)));
            assertThat(thrown == null
                            || thrown instanceof MalformedMessageException
                            || thrown instanceof BufferUnderflowException)
                    .isTrue();
        }
    }
}
