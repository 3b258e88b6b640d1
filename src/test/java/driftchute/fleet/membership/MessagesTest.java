package driftchute.fleet.membership;

import static org.assertj.core.api.Assertions.assertThat;

import driftchute.fleet.FrameCodec;
import driftchute.fleet.Message;
import java.util.List;
import java.util.Map;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

/** Messages are read as written, and messages that no correct courier sends are rejected. */
class MessagesTest {
    private static final int SIZE = 300;
    private final FrameCodec codec = new FrameCodec(1, Messages.readers(SIZE));

    @Provide
    Arbitrary<Message> messages() {
        final Arbitrary<Integer> number = Arbitraries.integers().between(0, Messages.MAX_SEQUENCE);
        final Arbitrary<Integer> courier = Arbitraries.integers().between(0, SIZE - 1);
        final Arbitrary<Long> incarnation = Arbitraries.longs().between(1, Claim.MAX_INCARNATION);
        final Arbitrary<Claim> claim = Combinators.combine(Arbitraries.of(MemberState.values()), incarnation)
                .as((state, of) -> state == MemberState.UNKNOWN ? Claim.UNKNOWN : new Claim(state, of));
        return Arbitraries.oneOf(
                Combinators.combine(number, incarnation, claim).as(Messages.Ping::new),
                Combinators.combine(number, incarnation, claim).as(Messages.Ack::new),
                Combinators.combine(number, courier).as(Messages.PingRequest::new),
                Combinators.combine(number, incarnation).as(Messages.Relayed::new),
                number.map(Messages.Nack::new),
                courier.map(Messages.TableRequest::new),
                Arbitraries.just(new Messages.Carrier()),
                Combinators.combine(courier, claim.filter(said -> said != Claim.UNKNOWN), courier)
                        .filter((member, said, by) -> !member.equals(by))
                        .as(Messages.Gossip::new),
                Combinators.combine(courier, claim.list().ofMaxSize(30))
                        .as((first, claims) -> new Messages.TableSegment(
                                first, claims.subList(0, Math.min(claims.size(), SIZE - first)))));
    }

    @Property(seed = "1")
    void whatIsWrittenIsRead(@ForAll("messages") final Message message) {
        assertThat(codec.decode(codec.encode(List.of(message)))).containsExactly(message);
        assertThat(codec.drops()).isEmpty();
    }

    @Example
    void refusesAFrameWithAnImpossibleMessage() {
        final Claim absurd = new Claim(MemberState.ALIVE, Claim.MAX_INCARNATION + 1);
        final List<Message> bad = List.of(
                new Messages.Ping(1, 0, Claim.UNKNOWN),
                new Messages.Ping(1, 1, absurd),
                new Messages.Ack(Messages.MAX_SEQUENCE + 1, 1, Claim.UNKNOWN),
                new Messages.PingRequest(1, SIZE),
                new Messages.Relayed(1, 0),
                new Messages.Gossip(SIZE, new Claim(MemberState.LEFT, 1), 1),
                new Messages.Gossip(1, new Claim(MemberState.DEAD, 1), 1),
                new Messages.Gossip(1, Claim.UNKNOWN, 2),
                new Messages.TableSegment(SIZE - 1, List.of(Claim.UNKNOWN, Claim.UNKNOWN)),
                new Messages.TableRequest(SIZE));
        bad.forEach(message -> assertThat(codec.decode(codec.encode(List.of(message))))
                .as(message.toString())
                .isEmpty());
        assertThat(codec.drops()).containsExactly(Map.entry(FrameCodec.Drop.MALFORMED, (long) bad.size()));
    }
}
