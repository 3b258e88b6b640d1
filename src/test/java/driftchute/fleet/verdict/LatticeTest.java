package driftchute.fleet.verdict;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowable;

import driftchute.Courier.TierHealth;
import driftchute.fleet.LeasedRole;
import driftchute.fleet.MalformedMessageException;
import driftchute.fleet.Message;
import driftchute.fleet.ClockReading;
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
final class LatticeTest {
    private static final int COURIERS = 12;
    private static final Terms TERMS = new Terms(10, 8, 3, 0, Terms::halfTheAge);
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
    Arbitrary<Entry> entry() {
        final Arbitrary<Long> few = Arbitraries.longs().between(0, 6);
        final Arbitrary<Integer> courier = Arbitraries.integers().between(0, COURIERS - 1);
        final Arbitrary<Long> ms = Arbitraries.longs().between(12, 40);
        final Arbitrary<Entry> report = Combinators.combine(courier, ms, few, few, few, few)
                .as((by, made, last, since, failed, shut) -> new BadReport(
                        1, by, made, made - last, made - last - since, failed.intValue(), shut < 5 ? 0 : made + shut));
        final Arbitrary<Return.Seen> seen = Combinators.combine(ms, courier).as(Return.Seen::new);
        final Arbitrary<Entry> back = Combinators.combine(seen, seen, Arbitraries.of(true, false))
                .as((one, other, out) -> new Return(
                        1, one.max(other), !out ? Return.Seen.NEVER : one.compareTo(other) < 0 ? one : other));
        return Arbitraries.frequencyOf(Tuple.of(4, report), Tuple.of(1, back));
    }

    @Provide
    Arbitrary<List<Entry>> entries() {
        return entry().list().ofMaxSize(30);
    }

    private static Outage of(final List<Entry> entries) {
        Outage outage = new Outage(1);
        for (final Entry entry : entries) {
            outage = outage.with(entry);
        }
        return outage;
    }

    @Property(seed = "18", edgeCases = EdgeCasesMode.NONE)
    void mergingIsCommutativeAssociativeAndIdempotent(
            @ForAll("entries") final List<Entry> one,
            @ForAll("entries") final List<Entry> two,
            @ForAll("entries") final List<Entry> three) {
        final Outage a = of(one);
        final Outage b = of(two);
        final Outage c = of(three);
        assertThat(a.merge(b)).isEqualTo(b.merge(a));
        assertThat(a.merge(b).merge(c)).isEqualTo(a.merge(b.merge(c)));
        assertThat(a.merge(a)).isEqualTo(a);
        assertThat(a.merge(b).merge(b)).isEqualTo(a.merge(b));
    }

    @Property(seed = "18", edgeCases = EdgeCasesMode.NONE)
    void couriersThatReceivedTheSameAgreeWhateverTheOrderAndNumber(
            @ForAll("entries") final List<Entry> heard,
            @ForAll final long seed,
            @ForAll @IntRange(max = 60) final int nowMs) {
        final List<Entry> other = new ArrayList<>(heard);
        other.addAll(heard.subList(0, heard.size() / 2));
        Collections.shuffle(other, new Random(seed));
        final Evidence here = new Evidence(TERMS);
        final Evidence there = new Evidence(TERMS);
        heard.forEach(here::take);
        other.forEach(there::take);
        assertThat(there.of(1)).isEqualTo(here.of(1)).isEqualTo(of(heard));
        assertThat(there.digest()).isEqualTo(here.digest());
        assertThat(there.of(1).judge(nowMs, TERMS)).isEqualTo(here.of(1).judge(nowMs, TERMS));
        here.forget(nowMs);
        there.forget(nowMs);
        assertThat(there.digest()).isEqualTo(here.digest());
        here.forget(1000);
        assertThat(here.digest()).isZero();
    }

    @Property(seed = "18", edgeCases = EdgeCasesMode.NONE)
    void oneCourierAloneEstablishesNoOutageAndOlderEvidenceChangesNothing(
            @ForAll("entries") final List<Entry> heard,
            @ForAll("entry") final Entry more,
            @ForAll @IntRange(max = 60) final int nowMs) {
        final Outage outage = of(heard);
        final Judgement judged = outage.judge(nowMs, TERMS);
        final List<BadReport> live = outage.live(nowMs, TERMS);
        assertThat(judged.standing() == TierHealth.DOWN)
                .isEqualTo(live.size() > 1 || live.stream().anyMatch(report -> report.shutMs() > 0));
        assertThat(live).allMatch(report -> report.madeMs() > nowMs - TERMS.staleMs());
        if (more instanceof Return seen
                && seen.back().ms() == 0
                && live.stream().allMatch(report -> seen.served().ms() < report.lastMs())) {
            assertThat(outage.with(more).judge(nowMs, TERMS)).isEqualTo(judged);
        }
        if (more instanceof BadReport report
                && outage.of(report.reporter()) == null
                && report.lastMs() <= outage.back().served().ms()
                && heard.size() < Outage.MAX_REPORTS) {
            assertThat(outage.with(more).judge(nowMs, TERMS)).isEqualTo(judged);
        }
    }

    @Property(seed = "18", edgeCases = EdgeCasesMode.NONE)
    void whatIsWrittenIsReadBackAndRandomBytesAreRefusedCleanly(
            @ForAll("entry") final Entry entry, @ForAll final byte[] random) throws Exception {
        final Map<Integer, Message.Reader> readers =
                new Verdicts(new Tier(0, COURIERS, 1), TERMS, NOBODY, 1, (name, fields) -> {}).readers();
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
