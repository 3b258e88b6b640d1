package driftchute.fleet.session;

import static org.assertj.core.api.Assertions.assertThat;

import driftchute.fleet.FrameCodec;
import driftchute.fleet.Message;
import driftchute.fleet.Tier;
import java.util.List;
import java.util.Map;
import java.util.function.BinaryOperator;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

/**
 * The shared state of a session is a semilattice in which an older epoch does not count, and its messages are complete.
 */
class SessionStateTest {
    @Provide
    Arbitrary<Counters> counters() {
        final Arbitrary<Long> few = Arbitraries.longs().between(0, 5);
        return Combinators.combine(
                        few,
                        few,
                        few,
                        few,
                        few,
                        Arbitraries.longs().between(0, Counters.MAX),
                        Arbitraries.integers().between(0, 7))
                .as((life, harms, more, mergedHarms, habit, large, effects) -> new Counters(
                        life, harms + more, harms, mergedHarms + more, mergedHarms, habit, more, large, effects));
    }

    @Provide
    Arbitrary<SessionState> states() {
        return Combinators.combine(
                        Arbitraries.integers().between(0, 3),
                        Arbitraries.maps(Arbitraries.integers().between(0, 3), counters())
                                .ofMaxSize(4))
                .as((epoch, all) -> {
                    final SessionState state = new SessionState(epoch);
                    all.forEach((courier, one) -> state.join(epoch, courier, one));
                    return state;
                });
    }

    private static SessionState join(final SessionState a, final SessionState b) {
        final SessionState both = new SessionState(0);
        both.join(a);
        both.join(b);
        return both;
    }

    private static boolean lawful(
            final BinaryOperator<SessionState> join, final SessionState a, final SessionState b, final SessionState c) {
        final SessionState ab = join.apply(a, b);
        return ab.equals(join.apply(b, a))
                && join.apply(a, a).equals(a)
                && join.apply(ab, b).equals(ab)
                && join.apply(ab, c).equals(join.apply(a, join.apply(b, c)))
                && ab.epoch() == Math.max(a.epoch(), b.epoch())
                && (a.epoch() <= b.epoch() || ab.equals(a));
    }

    @Property
    void mergingIsASemilatticeThatIgnoresOlderEpochs(
            @ForAll("states") final SessionState a,
            @ForAll("states") final SessionState b,
            @ForAll("states") final SessionState c) {
        assertThat(lawful(SessionStateTest::join, a, b, c)).isTrue();
    }

    @Example
    void thePropertiesDetectMutations() {
        final BinaryOperator<SessionState> adds = (a, b) -> {
            final SessionState both = join(a, b);
            if (a.epoch() == b.epoch()) {
                b.byCourier()
                        .forEach((courier, one) -> both.join(
                                both.epoch(),
                                courier,
                                both.byCourier().get(courier).plusCall(false)));
            }
            return both;
        };
        final BinaryOperator<SessionState> keepsOld = (a, b) -> {
            final SessionState both = new SessionState(Math.max(a.epoch(), b.epoch()));
            for (final SessionState one : List.of(a, b)) {
                one.byCourier().forEach((courier, counters) -> both.join(both.epoch(), courier, counters));
            }
            return both;
        };
        for (final BinaryOperator<SessionState> mutant :
                List.of(adds, keepsOld, (final SessionState a, final SessionState b) -> b)) {
            assertThat(states().list()
                            .ofSize(3)
                            .sampleStream()
                            .limit(1000)
                            .anyMatch(some -> !lawful(mutant, some.get(0), some.get(1), some.get(2))))
                    .isTrue();
        }
    }

    private static FrameCodec codec() {
        return new FrameCodec(0, new Sessions(new Tier(0, 2, 0), 0, 1, 0, (name, fields) -> {}).readers());
    }

    @Property
    void messagesAreReadAsWritten(@ForAll("counters") final Counters counters, @ForAll final long session) {
        for (final Message message : List.of(
                new DemotionMessage(true, session, 1),
                new DemotionMessage(false, session, 1 << 20),
                new CountersMessage(
                        counters.processGeneration(), List.of(new CountersMessage.Row(session, 3, counters))))) {
            assertThat(codec().decode(codec().encode(List.of(message)))).containsExactly(message);
        }
    }

    @Property
    void randomBytesAreReadOrCounted(@ForAll final byte[] body) {
        final int length = Math.min(body.length, FrameCodec.MAX_BODY_BYTES);
        for (final int type : List.of(DemotionMessage.DEMOTED, DemotionMessage.ACKNOWLEDGED, CountersMessage.TYPE)) {
            final byte[] frame = new byte[7 + length];
            frame[0] = 1;
            frame[5] = (byte) type;
            frame[6] = (byte) length;
            System.arraycopy(body, 0, frame, 7, length);
            final FrameCodec codec = codec();
            assertThat(codec.decode(frame).isEmpty())
                    .isEqualTo(codec.drops().equals(Map.of(FrameCodec.Drop.MALFORMED, 1L)));
        }
    }
}
