package driftchute.fleet.session;

import driftchute.Courier.Effect;
import driftchute.fleet.ClockReading;
import driftchute.fleet.EventLog;
import driftchute.fleet.FrameCodec;
import driftchute.fleet.Message;
import driftchute.fleet.Tier;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;

/** Couriers on one virtual clock, each with another origin, and a seeded network that loses, duplicates and delays. */
final class SessionSimulation {
    static final long STALE_US = 10_000_000;
    static final long MS = 1000;

    private record Flight(long atUs, int from, int to, byte[] bytes) {}

    final List<Sessions> couriers = new ArrayList<>();
    final Random random;
    long nowUs = 1;
    private final double loss;
    private final long delayUs;
    private final List<FrameCodec> codecs = new ArrayList<>();
    private final PriorityQueue<Flight> flights = new PriorityQueue<>(Comparator.comparingLong(Flight::atUs));

    /** @param delayUs maximum delay; 0 for a network that neither loses nor delays */
    SessionSimulation(final int size, final long seed, final double loss, final long delayUs) {
        random = new Random(seed);
        this.loss = loss;
        this.delayUs = delayUs;
        for (int self = 0; self < size; self++) {
            couriers.add(new Sessions(new Tier(self, size, 0), 1, STALE_US, seed + self, EventLog.NONE));
            codecs.add(new FrameCodec(0, couriers.get(self).readers()));
        }
        heard();
    }

    ClockReading now(final int courier) {
        return new ClockReading(nowUs + courier * 1_000_000_000_000L, nowUs / 1000);
    }

    void heard() {
        for (int courier = 0; courier < couriers.size(); courier++) {
            couriers.get(courier).onMajorityHeard(now(courier));
        }
    }

    void send(final int from, final int to, final Message message) {
        final byte[] bytes = codecs.get(from).encode(List.of(message));
        for (int copies = delayUs > 0 && random.nextInt(10) == 0 ? 2 : 1; copies > 0; copies--) {
            if (random.nextDouble() >= loss) {
                flights.add(new Flight(nowUs + (long) (random.nextDouble() * delayUs), from, to, bytes));
            }
        }
    }

    /** Every courier gossips its counters and received demotions to every other. */
    void ride() {
        for (int from = 0; from < couriers.size(); from++) {
            for (int to = 0; to < couriers.size(); to++) {
                for (final Message message :
                        from == to ? List.<Message>of() : couriers.get(from).gossip(now(from), to, 249)) {
                    send(from, to, message);
                }
            }
        }
    }

    /** Delivers what is due by then, in the order of arrival, and lets the couriers act every 10 ms. */
    void run(final long untilUs) {
        do {
            nowUs = Math.min(untilUs, nowUs + 10 * MS);
            while (!flights.isEmpty() && flights.peek().atUs() <= nowUs) {
                final Flight flight = flights.poll();
                final int to = flight.to();
                codecs.get(to)
                        .decode(flight.bytes())
                        .forEach(message -> couriers.get(to)
                                .receive(now(to), flight.from(), message, (peer, answer) -> send(to, peer, answer)));
            }
            for (int courier = 0; courier < couriers.size(); courier++) {
                final int from = courier;
                couriers.get(from).tick(now(from), (peer, message) -> send(from, peer, message));
            }
        } while (nowUs < untilUs);
    }

    /** A call with one message of each of these sessions has ended. */
    void call(final int courier, final List<Long> sessions, final boolean well) {
        final List<CallOutcome.Share> shares = sessions.stream()
                .map(session -> new CallOutcome.Share(session, 1, now(courier).monoUs() - 1, 200, 0, Effect.SAFE))
                .toList();
        couriers.get(courier)
                .observe(
                        now(courier),
                        new CallOutcome(
                                7, shares, well ? CallOutcome.CallResult.ANSWERED : CallOutcome.CallResult.ERROR),
                        (peer, message) -> send(courier, peer, message));
    }

    void calls(final int courier, final long session, final int times) {
        for (int i = 0; i < times; i++) {
            call(courier, List.of(session), true);
        }
    }

    /** Proves a session harmful: it fails alone while two others succeed. */
    void prove(final int courier, final long session) {
        calls(courier, 1000 + session, 1);
        calls(courier, 2000 + session, 1);
        for (int i = 0; i < GroupTesting.FAILURES_FOR_PROOF; i++) {
            call(courier, List.of(session), false);
        }
    }
}
