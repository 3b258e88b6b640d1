package driftchute.fleet.lane;

import static org.assertj.core.api.Assertions.assertThat;

import driftchute.fleet.FrameCodec;
import driftchute.fleet.Message;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import net.jqwik.api.constraints.Size;

/** The lanes' messages through the fleet's codec. */
final class LaneMessagesTest {
    private static final Map<Integer, Message.Reader> READERS = Map.of(
            DemandMessage.TYPE,
            DemandMessage::read,
            LevelMessage.TYPE,
            LevelMessage::read,
            LaneConfigMessage.TYPE,
            LaneConfigMessage::read);
    private final FrameCodec codec = new FrameCodec(3, READERS);

    @Property(seed = "18")
    void messagesAreReadAsWrittenAndALevelShedsTheSameAccountsAtTheReceiver(
            @ForAll final int digest,
            @ForAll final long destination,
            @ForAll final long account,
            @ForAll @LongRange(min = 0) final long token,
            @ForAll @LongRange(min = 0) final long sequence,
            @ForAll @IntRange(min = 0) final int version,
            @ForAll @Size(min = 1, max = Lanes.MAX) final List<@DoubleRange(min = 0, max = 1) Double> kept) {
        final double[] parts = kept.stream().mapToDouble(part -> part).toArray();
        final SheddingLevel level = SheddingLevel.of(sequence, parts);
        final LevelMessage sent = new LevelMessage(digest, destination, new LevelVersion(token, sequence), level);
        final List<Message> got = codec.decode(codec.encode(List.of(sent)));
        assertThat(got).containsExactly(sent);
        for (int i = 0; i < parts.length; i++) {
            assertThat(((LevelMessage) got.get(0)).level().sheds(i, account)).isEqualTo(level.sheds(i, account));
        }
        final Message demand = DemandMessage.of(digest, destination, parts);
        final Message block = new LaneConfigMessage(version, digest, account > 0);
        assertThat(codec.decode(codec.encode(List.of(demand, block)))).containsExactly(demand, block);
    }

    @Property(tries = 20_000, seed = "18")
    void noBytesMakeAReaderThrowOrReturnFiguresOutOfBounds(
            @ForAll @IntRange(min = 0x50, max = 0x52) final int type, @ForAll @Size(max = 100) final byte[] body) {
        final byte[] frame = new byte[7 + body.length];
        frame[0] = 1;
        frame[4] = 3;
        frame[5] = (byte) type;
        frame[6] = (byte) body.length;
        System.arraycopy(body, 0, frame, 7, body.length);
        for (final Message message : codec.decode(frame)) {
            assertThat(message.size()).isLessThanOrEqualTo(FrameCodec.MAX_BODY_BYTES);
            if (message instanceof LevelMessage level) {
                assertThat(level.level().cut(0)).isBetween(0.0, 1.0);
            } else if (message instanceof DemandMessage demand) {
                assertThat(demand.tenths()).allMatch(each -> each >= 0 && each <= 100_000_000);
            }
        }
    }
}
