package driftchute.fleet;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import driftchute.fleet.membership.Membership;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.IntRange;

/** Frames: what is refused, what is skipped, and what is counted. */
class FrameCodecTest {
    private static final int TYPE = 7;
    private static final int UNKNOWN_TYPE = 8;
    private static final int EPOCH = 3;
    private final FrameCodec codec = new FrameCodec(EPOCH, Map.of(TYPE, body -> {
        final byte[] bytes = new byte[body.remaining()];
        body.get(bytes);
        return new Blob(TYPE, bytes.length);
    }));

    private ClockReading now = new ClockReading(0, 0);
    private final List<byte[]> answers = new ArrayList<>();
    private final Tier tier = new Tier(2, 5, EPOCH);
    private final Membership membership = new Membership(tier, 1_000_000, 1, 1, now, EventLog.NONE, kept -> {});
    private final ControlPlane plane =
            new ControlPlane(tier, List.of(membership), (peer, datagram) -> answers.add(datagram));

    /** A message of so many zero bytes. */
    private record Blob(int type, int size) implements Message {
        @Override
        public void write(final ByteBuffer into) {
            into.put(new byte[size]);
        }
    }

    @Example
    void refusesADatagramOf257BytesBothWays() {
        final List<Message> most = List.of(new Blob(TYPE, 100), new Blob(TYPE, FrameCodec.MAX_BODY_BYTES - 102));
        assertThat(codec.encode(most)).hasSize(256);
        assertThat(codec.decode(codec.encode(most))).isEqualTo(most);
        assertThatThrownBy(() ->
                        codec.encode(List.of(new Blob(TYPE, 100), new Blob(TYPE, FrameCodec.MAX_BODY_BYTES - 101))))
                .isInstanceOf(IllegalArgumentException.class)
                .hasMessageContaining("257");
        assertThat(codec.decode(ByteBuffer.allocate(257)
                        .put((byte) FrameCodec.VERSION)
                        .putInt(EPOCH)
                        .array()))
                .isEmpty();
        assertThat(codec.drops()).containsExactly(Map.entry(FrameCodec.Drop.LENGTH, 1L));
    }

    @Example
    void countsWhatItDropsByItsReasonAndSkipsAnUnknownTypeOnly() {
        final List<Message> sent = List.of(new Blob(TYPE, 1), new Blob(UNKNOWN_TYPE, 9), new Blob(TYPE, 2));
        final byte[] frame = codec.encode(sent);
        assertThat(codec.decode(frame)).containsExactly(sent.get(0), sent.get(2));
        frame[0]++;
        assertThat(codec.decode(frame)).isEmpty();
        assertThat(codec.decode(new FrameCodec(EPOCH + 1, Map.of()).encode(sent)))
                .isEmpty();
        assertThat(codec.decode(new byte[FrameCodec.HEADER_BYTES - 1])).isEmpty();
        assertThat(codec.drops())
                .isEqualTo(Map.of(
                        FrameCodec.Drop.TYPE,
                        1L,
                        FrameCodec.Drop.VERSION,
                        1L,
                        FrameCodec.Drop.EPOCH,
                        1L,
                        FrameCodec.Drop.LENGTH,
                        1L));
    }

    /** Random bytes, and random bytes after a valid header and valid prefixes, which get further. */
    @Provide
    Arbitrary<byte[]> frames() {
        final Arbitrary<byte[]> random = Arbitraries.bytes().array(byte[].class).ofMaxSize(260);
        final Arbitrary<byte[]> messages = Combinators.combine(
                        Arbitraries.integers().between(0x0F, 0x19),
                        Arbitraries.bytes().array(byte[].class).ofMaxSize(12))
                .as((type, body) -> ByteBuffer.allocate(2 + body.length)
                        .put((byte) (int) type)
                        .put((byte) body.length)
                        .put(body)
                        .array());
        return Arbitraries.oneOf(random, messages.list().ofMaxSize(9).map(list -> {
            final ByteBuffer frame =
                    ByteBuffer.allocate(256).put((byte) FrameCodec.VERSION).putInt(EPOCH);
            list.forEach(frame::put);
            return Arrays.copyOf(frame.array(), frame.position());
        }));
    }

    @Property(tries = 100_000, seed = "1")
    void noInputMakesACourierThrow(
            @ForAll("frames") final byte[] frame, @ForAll @IntRange(min = -1, max = 5) final int from) {
        new FrameCodec(EPOCH, membership.readers()).decode(frame);
        plane.receive(now, from, frame);
        now = now.plusUs(frame.length * 1000L);
        assertThat(plane.tick(now)).isGreaterThan(now.monoUs());
        assertThat(answers).allMatch(datagram -> datagram.length <= FrameCodec.MAX_BYTES);
        assertThat(membership.isPresent(2)).isTrue();
        answers.clear();
    }
}
