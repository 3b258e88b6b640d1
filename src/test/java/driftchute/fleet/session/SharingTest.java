package driftchute.fleet.session;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Ten sessions to one destination, one of them harmful or none: what sharing calls costs the others, and what it saves.
 */
class SharingTest {
    private static final int SESSIONS = 10;
    private static final int ROUNDS = 1000;
    private static final int TURN = 300;
    private static final double BASE_ERROR = 0.01;
    private static final long POISONER = 0;

    enum Poison {
        NONE,
        ALWAYS,
        LATER,
        MERGED
    }

    /**
     * One run: each round every session submits a message to a courier, which sends what it has in as few calls as
     * possible.
     */
    private static final class Play {
        final SessionSimulation net;
        final Poison poison;
        final double spoils;
        long messages;
        long calls;
        long harmed;
        long harmedMergingAny;

        Play(final Poison poison, final double spoils, final int couriers, final long seed) {
            net = new SessionSimulation(couriers, seed, 0, 0);
            this.poison = poison;
            this.spoils = spoils;
        }

        void rounds(final int rounds) {
            for (int round = 0; round < rounds; round++) {
                final List<List<Long>> handedIn = new ArrayList<>();
                net.couriers.forEach(courier -> handedIn.add(new ArrayList<>()));
                LongStream.range(0, SESSIONS)
                        .forEach(session -> handedIn.get(net.random.nextInt(handedIn.size()))
                                .add(session));
                for (int courier = 0; courier < handedIn.size(); courier++) {
                    send(round, courier, handedIn.get(courier));
                }
                net.heard();
                if (round % 10 == 0) {
                    net.ride();
                }
                net.run(net.nowUs + 20 * SessionSimulation.MS);
            }
        }

        private void send(final int round, final int courier, final List<Long> handedIn) {
            final boolean active = poison != Poison.NONE && (poison != Poison.LATER || round >= TURN);
            final boolean spoilt = active && net.random.nextDouble() < spoils;
            if (active) {
                messages +=
                        handedIn.stream().filter(session -> session != POISONER).count();
                harmedMergingAny += spoilt && handedIn.contains(POISONER) ? handedIn.size() - 1 : 0;
            }
            for (final List<Long> call : merge(courier, handedIn)) {
                calls++;
                final boolean poisoned =
                        spoilt && call.contains(POISONER) && (poison != Poison.MERGED || call.size() > 1);
                harmed += poisoned ? call.size() - 1 : 0;
                net.call(courier, call, !poisoned && net.random.nextDouble() >= BASE_ERROR);
            }
        }

        private List<List<Long>> merge(final int courier, final List<Long> handedIn) {
            final SessionView view = net.couriers.get(courier).view(net.now(courier));
            final long nowUs = net.now(courier).monoUs();
            final List<List<Long>> calls = new ArrayList<>();
            for (final long session : handedIn) {
                calls.stream()
                        .filter(call -> call.stream()
                                .allMatch(other -> view.canShareCall(
                                        view.classOf(other, nowUs),
                                        other,
                                        view.classOf(session, nowUs),
                                        session,
                                        false)))
                        .findFirst()
                        .orElseGet(() -> {
                            calls.add(new ArrayList<>());
                            return calls.get(calls.size() - 1);
                        })
                        .add(session);
            }
            return calls;
        }
    }

    @ParameterizedTest
    @CsvSource({"ALWAYS,0.5", "ALWAYS,1", "LATER,0.1", "LATER,0.5", "LATER,1", "MERGED,0.5", "MERGED,1"})
    void aHarmfulSessionHarmsUnderATenthOfWhatItHarmsWithUnrestrictedSharing(final Poison poison, final double spoils) {
        long harmed = 0;
        long mergingAny = 0;
        long messages = 0;
        for (int seed = 0; seed < 20; seed++) {
            final Play play = new Play(poison, spoils, 3, seed);
            play.rounds(ROUNDS);
            harmed += play.harmed;
            mergingAny += play.harmedMergingAny;
            messages += play.messages;
        }
        System.out.printf(
                "%s, spoils %.2f: innocent harmed per 1,000: %.2f, merging anything %.1f%n",
                poison, spoils, 1000.0 * harmed / messages, 1000.0 * mergingAny / messages);
        assertThat(mergingAny).isPositive();
        assertThat(harmed * 10).isLessThan(mergingAny);
    }

    @Test
    void healthySessionsShareAfterTheStatedCalls() {
        long any = 0;
        long calls = 0;
        long demoted = 0;
        final int seeds = 50;
        for (int seed = 0; seed < seeds; seed++) {
            final Play play = new Play(Poison.NONE, 0, 1, seed);
            play.rounds(SessionClassifier.ENOUGH_CALLS);
            any += LongStream.range(0, SESSIONS)
                    .filter(session -> play.net.couriers.get(0).classOf(session, play.net.now(0)) == SessionClass.ANY)
                    .count();
            play.rounds(ROUNDS - SessionClassifier.ENOUGH_CALLS);
            calls += play.calls;
            demoted += LongStream.range(0, SESSIONS)
                    .filter(session -> play.net.couriers.get(0).epochOf(session) > 0)
                    .count();
        }
        final double saved = 1 - (double) calls / (seeds * SESSIONS * ROUNDS);
        System.out.printf(
                "healthy sessions any after %d calls: %.3f; calls saved against all own, of 1,000 "
                        + "messages a session: %.3f; demoted %d of %d%n",
                SessionClassifier.ENOUGH_CALLS, (double) any / (seeds * SESSIONS), saved, demoted, seeds * SESSIONS);
        assertThat((double) any / (seeds * SESSIONS)).isGreaterThanOrEqualTo(0.95);
        assertThat(saved).isGreaterThan(0.5);
        assertThat(demoted).isLessThan(seeds * SESSIONS / 50);
    }
}
