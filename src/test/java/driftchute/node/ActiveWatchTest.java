package driftchute.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * A watch continues with its empty lines but omits a change, and two requests after it fail in every way; also failures
 * at the start and across a change of address. On a manual clock (docs/list-clock.md).
 */
@Timeout(300)
final class ActiveWatchTest {
    private static final long RULE_MS = 6000;
    private static final long MOVED_RULE_MS = 4000;
    private static final long EMPTY_LINE_MS = 2000;
    private static final long DRIBBLE_MS = 500;
    private static final String HALF = "{\n \"seq\":42,\n";
    /** Times after the answer of a watch: before, at and after its replacement, and the replacement's answer. */
    private static final List<Long> MOMENTS = List.of(0L, 10L, 700L, 1950L, 2050L, 2440L);

    /** How a request fails. */
    private enum Fail {
        NOTHING,
        HEAD,
        CHUNK_HEADER,
        HALF,
        DRIBBLE,
        RESET,
        HALF_THEN_RESET,
        UNAVAILABLE
    }

    /** An agent whose connections, once told so, continue with empty lines and report no change. */
    private static final class Scenario implements ListWatcher.Listener, AutoCloseable {
        private final SteppedLoop loop = new SteppedLoop();
        private final FakeServerOnLoop agent = new FakeServerOnLoop(loop, this::answer);
        private final ListWatcher watches = new ListWatcher(agent.address(), loop.mine(), loop::nowUs, 1, this);
        private final List<String> told = new ArrayList<>();
        private final Deque<Fail> fails = new ArrayDeque<>();
        private boolean changed;
        /** No open connection sends anything any more. */
        private boolean silent;

        Scenario(final Fail... first) {
            fails.addAll(List.of(first));
            loop.mine().execute(() -> {
                watches.setVersion(41);
                watches.start();
            });
            loop.settle();
        }

        private void answer(final String request, final FakeServerOnLoop.Peer peer) {
            final Fail fail = fails.poll();
            if (fail != null) {
                spoil(fail, peer);
                return;
            }
            peer.head();
            if (!request.contains("watch=1")) {
                peer.chunk(list(42, true));
                peer.write("0\r\n\r\n");
            } else if (changed && !request.contains("after=42")) {
                peer.chunk(list(42, false));
            } else {
                emptyLine(peer);
            }
        }

        private void emptyLine(final FakeServerOnLoop.Peer peer) {
            loop.mine()
                    .schedule(
                            () -> {
                                if (peer.isOpen() && !silent) {
                                    peer.chunk("\n");
                                    emptyLine(peer);
                                }
                            },
                            EMPTY_LINE_MS,
                            TimeUnit.MILLISECONDS);
        }

        private static void spoil(final Fail fail, final FakeServerOnLoop.Peer peer) {
            if (fail == Fail.UNAVAILABLE) {
                peer.write("HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n");
            } else if (fail != Fail.NOTHING && fail != Fail.RESET) {
                peer.head();
            }
            switch (fail) {
                case CHUNK_HEADER -> peer.write("2F\r\n");
                case HALF -> peer.chunk("\n" + HALF);
                case DRIBBLE -> {
                    peer.chunk(HALF);
                    peer.repeat("\n", DRIBBLE_MS);
                }
                case HALF_THEN_RESET -> {
                    peer.chunk(HALF);
                    peer.reset();
                }
                case RESET -> peer.reset();
                default -> {}
            }
        }

        /** Time until that is reported, ms; at most two connections are open at each address. */
        long until(final String what, final long mostMs) {
            return loop.until(mostMs, () -> {
                assertTrue(agent.open() <= 2, agent.open() + " connections");
                return told.contains(what);
            });
        }

        /** The moment counts from the answer of the first replacement. */
        void pass(final long momentMs) {
            loop.until(RULE_MS, () -> count("same") == 2);
            loop.pass(momentMs);
            assertEquals(0, count("lost"));
        }

        long count(final String what) {
            return told.stream().filter(what::equals).count();
        }

        @Override
        public void onList(final JsonNode list, final InetSocketAddress from) {
            told.add(list.path("seq").asText());
        }

        @Override
        public void onUnchanged() {
            told.add("same");
        }

        @Override
        public void onLost() {
            told.add("lost");
        }

        @Override
        public void close() {
            loop.close();
        }
    }

    private static String list(final long seq, final boolean whole) {
        return "{\n \"seq\":" + seq + ",\n \"whole\":" + whole + ",\n \"hosts\":[]}\n";
    }

    @Test
    void omittedChangesAreReportedInTimeIfTwoRequestsFail() {
        long latestMs = 0;
        final List<String> late = new ArrayList<>();
        for (final long momentMs : MOMENTS) {
            for (final Fail first : Fail.values()) {
                for (final Fail second : Fail.values()) {
                    try (Scenario scene = new Scenario()) {
                        scene.pass(momentMs);
                        scene.fails.addAll(List.of(first, second));
                        scene.changed = true;
                        final long afterMs = scene.until("42", 2 * RULE_MS);
                        if (afterMs >= RULE_MS) {
                            late.add(first + ", " + second + " at " + momentMs + ": " + afterMs);
                        }
                        assertTrue(scene.count("lost") <= 1, "one loss is told once");
                        latestMs = Math.max(latestMs, afterMs);
                    }
                }
            }
        }
        System.out.println("the latest of all that was left out: " + latestMs + " ms");
        assertEquals(
                List.of(), late, late.size() + " of " + MOMENTS.size() * Fail.values().length * Fail.values().length);
    }

    /** The replacement is requested already and has not answered yet: it omits the change as well. */
    @Test
    void changesOmittedByAWatchAndItsReplacementAreReportedInTime() {
        for (final long momentMs : List.of(2460L, 3010L, 4440L, 4990L)) {
            try (Scenario scene = new Scenario()) {
                scene.pass(momentMs);
                scene.changed = true;
                final long afterMs = scene.until("42", 2 * RULE_MS);
                assertTrue(afterMs < RULE_MS, momentMs + ": " + afterMs + " ms");
                assertEquals(0, scene.count("lost"));
            }
        }
    }

    /** A replacement gets no answer and nothing has changed: some request is pending long enough for its empty line. */
    @Test
    void aRequestThatFailsBesideAnActiveWatchIsFollowedByAnAnsweredOne() {
        for (final Fail first : Fail.values()) {
            for (final Fail second : Fail.values()) {
                try (Scenario scene = new Scenario()) {
                    scene.pass(0);
                    final int asked = scene.agent.requests.size();
                    scene.fails.addAll(List.of(first, second));
                    final long afterMs = scene.loop.until(3 * RULE_MS, () -> scene.count("same") == 3);
                    assertTrue(afterMs < 3 * RULE_MS, first + ", " + second + ": " + scene.told);
                    final int questions = scene.agent.requests.size() - asked;
                    assertTrue(questions <= 9, first + ", " + second + ": " + questions + " questions");
                    assertEquals(1, scene.agent.open());
                }
            }
        }
    }

    /** From the first request of the process on. */
    @Test
    void theAgentsListAtTheStartIsReportedInTimeIfTwoRequestsFail() {
        for (final Fail first : Fail.values()) {
            for (final Fail second : Fail.values()) {
                try (Scenario scene = new Scenario(first, second)) {
                    scene.changed = true;
                    final long afterMs = scene.until("42", RULE_MS);
                    assertTrue(afterMs < MOVED_RULE_MS, first + ", " + second + ": " + afterMs + " ms");
                }
            }
        }
    }

    /**
     * The watch is silent, with or without a pending request, when the address changes: the list is reported 4 s later
     * all the same.
     */
    @Test
    void silenceAcrossAnAddressChangeCostsNoTimeAfterIt() {
        for (final long silentMs : List.of(0L, 2000L, 3200L, 4500L, 5800L)) {
            for (final Fail first : Fail.values()) {
                for (final Fail second : Fail.values()) {
                    try (Scenario scene = new Scenario()) {
                        scene.pass(0);
                        scene.silent = true;
                        scene.fails.addAll(List.of(Fail.NOTHING, Fail.NOTHING, Fail.NOTHING));
                        scene.loop.pass(silentMs);
                        scene.fails.clear();
                        final FakeServerOnLoop moved = new FakeServerOnLoop(scene.loop, scene::answer);
                        scene.fails.addAll(List.of(first, second));
                        scene.watches.switchTo(moved.address());
                        final long afterMs = scene.until("42", RULE_MS);
                        assertTrue(afterMs < MOVED_RULE_MS, silentMs + ", " + first + ", " + second + ": " + afterMs);
                    }
                }
            }
        }
    }

    /**
     * A change at the old address and the change of address in one turn, in either order: it is reported, and the new
     * list counts.
     */
    @Test
    void anAddressChangeThatCoincidesWithAnAnswerLosesNeither() {
        for (final boolean answerFirst : List.of(true, false)) {
            try (Scenario scene = new Scenario()) {
                scene.pass(700);
                final FakeServerOnLoop moved = new FakeServerOnLoop(scene.loop, scene::answer);
                final FakeServerOnLoop.Peer old = scene.agent.peers.stream()
                        .filter(FakeServerOnLoop.Peer::isOpen)
                        .findFirst()
                        .orElseThrow();
                old.chunk(list(50, false));
                if (answerFirst) {
                    scene.until("50", RULE_MS);
                }
                scene.watches.switchTo(moved.address());
                scene.loop.settle();
                assertEquals(
                        List.of("50", "42"),
                        scene.told.stream().filter(one -> !one.equals("same")).toList());
                assertEquals(42, scene.watches.version(), "the versions of the new address count");
                assertEquals(0, scene.agent.open());
                assertEquals(1, moved.open());
            }
        }
    }

    /** Two changes of address before any answer, back to the first one; and a change to the present address. */
    @Test
    void addressChangesInOneTurnEndAtTheLaterOneAndTheSameAddressIsNoChange() {
        try (Scenario scene = new Scenario()) {
            scene.pass(700);
            final int asked = scene.agent.requests.size();
            scene.watches.switchTo(scene.agent.address());
            scene.loop.settle();
            assertEquals(asked, scene.agent.requests.size(), "the address is the same: nothing is asked");
            assertEquals(41, scene.watches.version());
            final FakeServerOnLoop moved = new FakeServerOnLoop(scene.loop, scene::answer);
            scene.watches.switchTo(moved.address());
            scene.watches.switchTo(scene.agent.address());
            scene.loop.settle();
            assertEquals(0, moved.open());
            assertEquals(
                    "GET /discovery/hosts HTTP/1.1",
                    scene.agent.requests.get(asked).lines().findFirst().get());
            assertEquals(42, scene.watches.version());
            assertEquals(1, scene.agent.open());
            assertEquals(0, scene.count("lost"));
        }
    }
}
