package driftchute.fleet.ration;

import static driftchute.fleet.ration.FleetSim.BLOCK;
import static org.assertj.core.api.Assertions.assertThat;

import driftchute.Courier;
import driftchute.fleet.ClockReading;
import driftchute.fleet.EventLog;
import driftchute.fleet.FrameCodec;
import driftchute.fleet.MalformedMessageException;
import driftchute.fleet.Message;
import driftchute.fleet.Tier;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Queue;
import java.util.Random;
import java.util.function.BiConsumer;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** For any requests and reports, the shares in use never exceed what may be leased, and nothing throws. */
class RateAllocatorTest {
    private static final float[] FIGURES = {0, 1e-30f, 0.5f, 10, 87, 100, 113, 1e9f};
    private static final double[] ABSURD = {Double.NaN, -1, Double.POSITIVE_INFINITY, 1e300, 0, 1e-300, 7, 100};

    private record Live(int courier, int share, long untilUs) {}

    @Property(seed = "18", tries = 300)
    void outstandingSharesNeverExceedWhatMayBeLeased(@ForAll final long seed) {
        final Random random = new Random(seed);
        final RateAllocator allocator = new RateAllocator(4, BLOCK);
        final List<Live> live = new ArrayList<>();
        final Map<Long, Long> sentUs = new HashMap<>();
        final BiConsumer<Integer, LeaseGrant> hold = (to, grant) -> grant.shares()
                .forEach(portion ->
                        live.add(new Live(to, portion.share(), sentUs.get(4 * grant.seq() + to) + 1_500_000)));
        allocator.updateTerm(0, OptionalLong.of(1));
        for (long nowUs = 1_501_500, step = 1; step < 200; nowUs += random.nextInt(200_000), step++) {
            final long atUs = nowUs;
            final int from = random.nextInt(4);
            final long seq = step - random.nextInt(2);
            if (random.nextBoolean()) {
                sentUs.putIfAbsent(4 * seq + from, atUs);
                allocator.onRequest(
                        atUs,
                        from,
                        new LeaseRequest(
                                seq,
                                1500,
                                LimitShares.atLeast(0.2),
                                List.of(new LeaseRequest.Demand(
                                        9, FIGURES[random.nextInt(8)], FIGURES[random.nextInt(8)]))),
                        hold);
            }
            allocator.grantMore(atUs, hold);
            live.removeIf(each -> each.untilUs() <= atUs);
            final int[] shares = new int[4];
            live.forEach(each -> shares[each.courier()] = Math.max(shares[each.courier()], each.share()));
            assertThat(shares[0] + shares[1] + shares[2] + shares[3])
                    .isLessThanOrEqualTo((int) (0.8 * LimitShares.WHOLE));
        }
    }

    @Property(seed = "18", tries = 10)
    void absurdReportsAndMessagesNeverThrowAndFitTheirFrames(@ForAll final long seed) throws Exception {
        final Random random = new Random(seed);
        final FleetSim sim = new FleetSim(seed, 3, 1, 100);
        sim.terms.add(new FleetSim.Term(0, 3, Long.MIN_VALUE, Long.MAX_VALUE));
        sim.nodes[0].upUs = Long.MIN_VALUE;
        final RateLeases rations = new RateLeases(new Tier(0, 3, 1), BLOCK, sim.nodes[0], seed, EventLog.NONE);
        final Queue<Message> own = new ArrayDeque<>();
        for (long monoUs = -4_000_000; monoUs < 0; monoUs += 100_000) {
            final ClockReading now = new ClockReading(monoUs, random.nextLong());
            rations.onReports(
                    now,
                    random.ints(random.nextInt(250), 0, 1500)
                            .mapToObj(id -> new Courier.DestinationReport(
                                    id * 0x1000_0000_0000L - 9,
                                    ABSURD[random.nextInt(8)],
                                    ABSURD[random.nextInt(8)],
                                    random.nextInt(),
                                    Courier.CircuitState.CLOSED,
                                    0,
                                    0,
                                    0,
                                    0))
                            .toList());
            assertThat(rations.tick(now, (to, message) -> own.add(message))).isGreaterThan(monoUs);
            for (Message message = own.poll(); message != null; message = own.poll()) {
                assertThat(message.size()).isLessThanOrEqualTo(FrameCodec.MAX_BODY_BYTES);
                final ByteBuffer body = ByteBuffer.allocate(message.size());
                message.write(body);
                final Message.Reader reader = rations.readers().get(message.type());
                assertThat(reader.read(body.flip())).isEqualTo(message);
                rations.receive(now, 0, message, (to, answer) -> own.add(answer));
                body.put(random.nextInt(body.limit()), (byte) random.nextInt());
                try {
                    rations.receive(now, random.nextInt(3), reader.read(body.rewind()), (to, answer) -> {});
                } catch (final MalformedMessageException | BufferUnderflowException expected) {
                    // The codec drops what cannot be parsed.
                }
            }
            assertThat(rations.rateLeases(now)).hasSizeLessThanOrEqualTo(RateLeases.MAX_DESTINATIONS);
            assertThat(rations.rateLeases(now).values())
                    .allMatch(ration -> ration.expiresAtUs() > now.monoUs()
                            && ration.callsPerSecond() >= 0
                            && ration.callsPerSecond() <= LeaseRequest.MAX_RATE);
        }
    }
}
