package driftchute.fleet.session;

import static org.assertj.core.api.Assertions.assertThat;

import driftchute.Courier.Effect;
import driftchute.fleet.Message;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import org.HdrHistogram.Histogram;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The couriers' common state of a session: bounds, limits, demotions on an unreliable network, and late evidence. */
class SessionsTest {
    private static final long SESSION = 42;
    private static final int CLEAN = 51;

    private static SessionClass at(final SessionSimulation net, final int courier) {
        return net.couriers.get(courier).classOf(SESSION, net.now(courier));
    }

    @Test
    void aMillionShortSessionsDoNotExceedTheBound() {
        final SessionSimulation net = new SessionSimulation(1, 1, 0, 0);
        net.calls(0, SESSION, CLEAN);
        assertThat(at(net, 0)).isEqualTo(SessionClass.ANY);
        for (int i = 0; i < 1_000_000; i++) {
            net.calls(0, 1_000_000 + i, 1);
        }
        assertThat(net.couriers.get(0).size()).isEqualTo(Sessions.MAX_SESSIONS);
        net.calls(0, SESSION, CLEAN - 21);
        assertThat(at(net, 0)).isEqualTo(SessionClass.OWN);
    }

    @ParameterizedTest
    @CsvSource({"200,0,SAFE,0,ANY", "65536,0,SAFE,0,OWN", "200,1,SAFE,0,OWN", "200,0,UNSAFE,0,RUN", "200,0,SAFE,1,RUN"})
    void typicalPropertiesLimitTheClass(
            final int body, final int retried, final Effect effect, final int waits, final SessionClass cap) {
        final SessionSimulation net = new SessionSimulation(1, 1, 0, 0);
        for (int i = 0; i < 200; i++) {
            net.nowUs += 100 * SessionSimulation.MS;
            net.heard();
            final long sinceUs = waits == 1 ? 99 * SessionSimulation.MS : 10 * SessionSimulation.MS;
            final Effect some = i % 2 == 0 ? Effect.SAFE : effect;
            net.couriers
                    .get(0)
                    .observe(
                            net.now(0),
                            new CallOutcome(
                                    7,
                                    List.of(new CallOutcome.Share(
                                            SESSION, 1, net.now(0).monoUs() - sinceUs, body, retried, some)),
                                    CallOutcome.CallResult.ANSWERED),
                            (peer, message) -> {});
        }
        assertThat(at(net, 0)).isEqualTo(cap);
    }

    @Test
    void oneCouriersEvidencePromotesNothingAndSilenceEndsAClass() {
        final SessionSimulation net = new SessionSimulation(3, 1, 0, 0);
        net.calls(0, SESSION, 100_000);
        net.calls(1, SESSION, 1);
        net.ride();
        net.run(net.nowUs + 10 * SessionSimulation.MS);
        assertThat(at(net, 0)).isEqualTo(SessionClass.ANY);
        assertThat(at(net, 1)).isEqualTo(SessionClass.OWN);
        net.calls(2, SESSION, 100);
        net.ride();
        net.run(net.nowUs + 10 * SessionSimulation.MS);
        assertThat(at(net, 1)).isEqualTo(SessionClass.ANY);
        assertThat(net.couriers.get(1).describe(SESSION, net.now(1)))
                .contains(": any (earned any), epoch 0, 0 of 100101 calls");
        final SessionView view = net.couriers.get(1).view(net.now(1));
        net.nowUs += SessionSimulation.STALE_US;
        net.calls(1, SESSION, 1);
        assertThat(at(net, 1)).isEqualTo(SessionClass.OWN);
        assertThat(view.classOf(SESSION, net.now(1).monoUs())).isEqualTo(SessionClass.OWN);
    }

    @Test
    void anOutageProvesNothing() {
        final SessionSimulation net = new SessionSimulation(1, 1, 0, 0);
        for (long session = 0; session < 10; session++) {
            net.calls(0, session, 100);
        }
        for (int i = 0; i < 200; i++) {
            net.call(0, List.of((long) i % 10), false);
        }
        for (long session = 0; session < 10; session++) {
            assertThat(net.couriers.get(0).epochOf(session)).isZero();
        }
    }

    @Test
    void aDemotionReachesTenCouriersOnABadNetwork() {
        final Histogram took = new Histogram(SessionSimulation.STALE_US, 3);
        final int couriers = 10;
        for (int seed = 0; seed < 300; seed++) {
            final SessionSimulation net = new SessionSimulation(couriers, seed, 0.2, 50 * SessionSimulation.MS);
            for (int courier = 0; courier < couriers; courier++) {
                net.calls(courier, SESSION, CLEAN);
            }
            net.prove(0, SESSION);
            assertThat(at(net, 0)).isEqualTo(SessionClass.OWN);
            final long fromUs = net.nowUs;
            final boolean[] known = new boolean[couriers];
            known[0] = true;
            while (net.nowUs - fromUs < SessionSimulation.STALE_US && !allOf(known)) {
                net.run(net.nowUs + 10 * SessionSimulation.MS);
                for (int courier = 1; courier < couriers; courier++) {
                    if (!known[courier] && net.couriers.get(courier).epochOf(SESSION) == 1) {
                        known[courier] = true;
                        took.recordValue(net.nowUs - fromUs);
                        assertThat(at(net, courier)).isEqualTo(SessionClass.OWN);
                    }
                }
            }
            assertThat(known).doesNotContain(false);
        }
        System.out.printf(
                "a demotion at 20%% loss, to each of 9 couriers: p50 %d ms, p99 %d ms, most %d ms%n",
                took.getValueAtPercentile(50) / SessionSimulation.MS,
                took.getValueAtPercentile(99) / SessionSimulation.MS,
                took.getMaxValue() / SessionSimulation.MS);
    }

    @Test
    void aSenderOfAnOlderEpochIsSentTheNewerOne() {
        final SessionSimulation net = new SessionSimulation(3, 1, 0, 0);
        net.calls(1, SESSION, CLEAN);
        net.couriers.get(0).receive(net.now(0), 2, new DemotionMessage(false, SESSION, 1), (peer, message) -> {});
        net.couriers.get(1).gossip(net.now(1), 0, 249).forEach(message -> net.send(1, 0, message));
        net.run(net.nowUs + 30 * SessionSimulation.MS);
        assertThat(net.couriers.get(1).epochOf(SESSION)).isEqualTo(1);
        assertThat(at(net, 1)).isEqualTo(SessionClass.OWN);
    }

    private static boolean allOf(final boolean[] known) {
        for (final boolean one : known) {
            if (!one) {
                return false;
            }
        }
        return true;
    }

    /** Messages that arrive in any order, twice, or very late: a class never depends on evidence of an older epoch. */
    @Test
    void noOlderEvidenceUndoesADemotion() {
        int demotions = 0;
        for (int seed = 0; seed < 150; seed++) {
            final int couriers = 4;
            final SessionSimulation net = new SessionSimulation(couriers, seed, 0, 0);
            final Random random = new Random(seed);
            final List<Runnable> bag = new ArrayList<>();
            final long[] callsInEpoch = new long[64];
            final int[] epochs = new int[couriers];
            for (int step = 0; step < 600; step++) {
                final int at = random.nextInt(couriers);
                final int act = random.nextInt(20);
                if (act == 0) {
                    net.calls(at, SESSION + 1, 1);
                    net.calls(at, SESSION + 2, 1);
                    for (int i = 0; i < GroupTesting.FAILURES_FOR_PROOF; i++) {
                        callsInEpoch[net.couriers.get(at).epochOf(SESSION)]++;
                        observe(net, bag, at, false);
                    }
                } else if (act < 8) {
                    final int times = random.nextInt(40);
                    callsInEpoch[net.couriers.get(at).epochOf(SESSION)] += times;
                    for (int i = 0; i < times; i++) {
                        observe(net, bag, at, true);
                    }
                } else if (act < 12) {
                    final int to = (at + 1 + random.nextInt(couriers - 1)) % couriers;
                    net.couriers
                            .get(at)
                            .gossip(net.now(at), to, 249)
                            .forEach(message -> carry(net, bag, at, to, message));
                } else if (!bag.isEmpty()) {
                    bag.get(random.nextInt(bag.size())).run();
                }
                for (int courier = 0; courier < couriers; courier++) {
                    final int epoch = net.couriers.get(courier).epochOf(SESSION);
                    assertThat(epoch).isGreaterThanOrEqualTo(epochs[courier]);
                    epochs[courier] = epoch;
                    if (at(net, courier) == SessionClass.ANY) {
                        assertThat(callsInEpoch[epoch])
                                .isGreaterThanOrEqualTo((long) (CLEAN - 1) << Math.min(epoch, 5));
                    }
                }
            }
            demotions += Arrays.stream(epochs).max().getAsInt();
            for (int i = 0; i < 3; i++) {
                net.calls(i, SESSION, 8);
                net.ride();
                net.run(net.nowUs + 20 * SessionSimulation.MS);
            }
            assertThat(net.couriers.stream()
                            .map(courier -> courier.epochOf(SESSION))
                            .distinct())
                    .hasSize(1);
        }
        assertThat(demotions).isGreaterThan(150);
    }

    private static void observe(
            final SessionSimulation net, final List<Runnable> bag, final int at, final boolean well) {
        net.couriers
                .get(at)
                .observe(
                        net.now(at),
                        new CallOutcome(
                                7,
                                List.of(new CallOutcome.Share(SESSION, 1, 0, 1, 0, Effect.SAFE)),
                                well ? CallOutcome.CallResult.ANSWERED : CallOutcome.CallResult.RESET),
                        (peer, message) -> carry(net, bag, at, peer, message));
    }

    private static void carry(
            final SessionSimulation net,
            final List<Runnable> bag,
            final int from,
            final int to,
            final Message message) {
        bag.add(() -> net.couriers
                .get(to)
                .receive(net.now(to), from, message, (peer, answer) -> carry(net, bag, to, peer, answer)));
    }
}
