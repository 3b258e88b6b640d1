package driftchute.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The request that is always pending, with an agent that falls silent in every way (docs/list-clock.md). */
@Timeout(120)
final class ListWatcherTest {
    private static final double RULE_S = 6;
    /** What the list service at a new address reports counts as notified by then. */
    private static final double MOVED_RULE_S = 4;

    private static final String HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

    /** What an agent does with a request. */
    private enum Act {
        ANSWERS,
        SAYS_NOTHING,
        SENDS_THE_HEAD,
        SENDS_HALF,
        SENDS_A_LINE,
        SENDS_A_LINE_AND_HALF,
        RESETS,
        REFUSES,
        IGNORES
    }

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();

    @AfterEach
    void end() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    /** An agent with its script, one act per request (the last act repeats), and the reports received. */
    private final class Agent implements ListWatcher.Listener {
        private final List<String> told = new CopyOnWriteArrayList<>();
        private final FakeServer server = new FakeServer(this::answer);
        private final ListWatcher watches =
                new ListWatcher(Config.address("", server.address()), loop, new Clock()::nowUs, 1, this);
        private final List<Act> acts;
        private volatile long lastWordNs;
        private volatile long toldNs;

        Agent(final Act... acts) throws IOException {
            this.acts = List.of(acts);
            loop.execute(() -> {
                watches.setVersion(41);
                watches.start();
            });
        }

        private void answer(final FakeServer.Request request, final FakeServer.Connection connection) {
            lastWordNs = lastWordNs == 0 ? System.nanoTime() : lastWordNs;
            act(acts.get(Math.min(server.requests.size(), acts.size()) - 1), connection);
        }

        private void act(final Act act, final FakeServer.Connection connection) {
            if (act == Act.RESETS) {
                connection.reset();
            } else if (act != Act.SAYS_NOTHING) {
                connection.write(HEAD);
            }
            switch (act) {
                case ANSWERS -> connection.chunk(list(42, false));
                case SENDS_HALF -> connection.chunk("\n{\n \"seq\":42,\n");
                case SENDS_A_LINE -> connection.chunk("\n");
                case SENDS_A_LINE_AND_HALF -> {
                    connection.chunk("\n");
                    connection.chunk("{\n \"seq\":42,\n");
                }
                default -> {}
            }
        }

        @Override
        public void onList(final JsonNode list, final InetSocketAddress from) {
            toldNs = System.nanoTime();
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

        FakeServer.Request question(final int number) {
            await("question " + number, () -> server.requests.size() >= number);
            return server.requests.get(number - 1);
        }
    }

    private static String list(final long seq, final boolean whole) {
        return "{\n \"seq\":" + seq + ",\n \"whole\":" + whole + ",\n \"hosts\":[]}\n";
    }

    private static void await(final String what, final BooleanSupplier condition) {
        final long untilNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(CourierHarness.PATIENCE_S);
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() < untilNs, "never came: " + what);
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(2));
        }
    }

    /** The watch falls silent, the next request fails, and the one after that is answered. */
    @Test
    void afterEverySilenceMissedChangesApplyInTime() throws IOException {
        final List<List<Act>> paths = List.of(
                List.of(Act.SENDS_A_LINE, Act.SAYS_NOTHING),
                List.of(Act.SENDS_A_LINE_AND_HALF, Act.SENDS_THE_HEAD),
                List.of(Act.SENDS_THE_HEAD, Act.SENDS_HALF),
                List.of(Act.SAYS_NOTHING, Act.SAYS_NOTHING),
                List.of(Act.SENDS_A_LINE, Act.RESETS),
                List.of(Act.SENDS_A_LINE_AND_HALF, Act.REFUSES),
                List.of(Act.SENDS_A_LINE, Act.IGNORES));
        final List<Agent> agents = new ArrayList<>();
        for (final List<Act> path : paths) {
            final Agent agent = new Agent(path.get(0), path.get(1), Act.ANSWERS);
            agents.add(agent);
            agent.question(1);
            if (path.get(1) == Act.REFUSES) {
                agent.server.refuse();
            } else if (path.get(1) == Act.IGNORES) {
                agent.server.ignore();
            }
        }
        await(
                "the first failures",
                () -> System.nanoTime() - agents.get(paths.size() - 1).lastWordNs
                        > TimeUnit.MICROSECONDS.toNanos(
                                ListWatcher.SILENCE_TIMEOUT_US + ListWatcher.REQUEST_INTERVAL_US / 2));
        for (int i = 0; i < paths.size(); i++) {
            final Agent agent = agents.get(i);
            if (paths.get(i).get(1) == Act.REFUSES || paths.get(i).get(1) == Act.IGNORES) {
                assertFalse(agent.told.contains("42"), "asked while nobody could be");
                agent.server.listen();
            }
        }
        for (int i = 0; i < paths.size(); i++) {
            final Agent agent = agents.get(i);
            await(paths.get(i) + "; told: " + agent.told, () -> agent.toldNs != 0);
            final double afterS = (agent.toldNs - agent.lastWordNs) / 1e9;
            System.out.printf("%s: told %.2f s after the last word%n", paths.get(i), afterS);
            assertTrue(afterS < RULE_S, paths.get(i) + ": " + afterS + " s");
            assertTrue(agent.told.stream().filter("lost"::equals).count() <= 1, "one loss is told once: " + agent.told);
            agent.server.close();
        }
    }

    @Test
    void noVersionGoesBackUnlessTheServerHasLostItsState() throws IOException {
        final Agent agent = new Agent(Act.SENDS_A_LINE, Act.SENDS_THE_HEAD);
        final FakeServer.Request silent = agent.question(1);
        final FakeServer.Request next = agent.question(2);
        assertTrue(silent.line().contains("after=41") && next.line().contains("after=41"));
        silent.connection().chunk(list(45, false));
        await("a silent one that speaks first is heeded", () -> agent.told.contains("45"));
        next.connection().chunk(list(44, true) + list(46, false));
        await("the newer one's", () -> agent.told.contains("46"));
        await("the end of the silent one", () -> silent.connection().ended);
        next.connection().reset();
        final FakeServer.Request anew = agent.question(3);
        assertTrue(anew.line().contains("after=46"), anew.line());
        anew.connection().chunk(list(3, true));
        await("the whole list of a server that begins anew", () -> agent.told.contains("3"));
        anew.connection().chunk(list(2, false));
        assertEquals("GET /discovery/hosts HTTP/1.1", agent.question(4).line(), "changes that fit no list");
        assertEquals(List.of("same", "45", "46", "lost", "3", "lost"), agent.told);
        agent.server.close();
    }

    @Test
    void theOldAddressIsUsedUntilTheNewOneAnswers() throws IOException {
        final Agent agent = new Agent(Act.SENDS_A_LINE);
        final FakeServer.Connection old = agent.question(1).connection();
        await("its answer", () -> agent.told.contains("same"));
        try (FakeServer moved = new FakeServer((request, connection) -> {})) {
            loop.execute(() -> agent.watches.switchTo(Config.address("", moved.address())));
            await("the question at the new address", () -> !moved.requests.isEmpty());
            assertEquals("GET /discovery/hosts HTTP/1.1", moved.requests.get(0).line());
            old.chunk(list(50, false));
            await("a change at the old address", () -> agent.told.contains("50"));
            moved.requests.get(0).connection().answer(200, list(7, true));
            await("the whole list of the new one", () -> agent.told.contains("7"));
            await(
                    "the watch there",
                    () -> moved.requests.stream().anyMatch(one -> one.line().contains("after=7")));
            await("the end of the old one", () -> old.ended);
        }
        agent.server.close();
    }

    /** A list in an answer that is no HTTP/1.1 was once applied. It is requested again instead. */
    @ParameterizedTest
    @ValueSource(strings = {"HTTP/2.0 200 X\r\n", "HTTP/1.1 0200 X\r\n", "HTTP/1.1 200 X\r\n#~ noise ~#\r\n"})
    void aListInAnUnreadableAnswerIsNotApplied(final String head) throws IOException {
        final Agent agent = new Agent(Act.SAYS_NOTHING);
        final FakeServer.Connection unreadable = agent.question(1).connection();
        unreadable.write(head + "Transfer-Encoding: chunked\r\n\r\n");
        unreadable.chunk(list(42, false));
        await("the end of its connection", () -> unreadable.ended);
        final FakeServer.Request again = agent.question(2);
        assertTrue(again.line().contains("after=41"), again.line());
        again.connection().write(HEAD);
        again.connection().chunk(list(43, false));
        await("the next list", () -> agent.told.contains("43"));
        assertFalse(agent.told.contains("42"), agent.told.toString());
        agent.server.close();
    }

    /** Bytes behind a whole list are taken for the answer to the request for changes; that delays no change too long. */
    @ParameterizedTest
    @ValueSource(strings = {"copy", "HTTP/1.1 200 X\r\nX-Half: ", "#~ noise ~#\r\n\r\n"})
    void bytesBehindAWholeListDelayNoChangeTooLong(final String tail) throws IOException {
        final String whole = list(7, true);
        final String answer = "HTTP/1.1 200 X\r\nContent-Length: " + whole.length() + "\r\n\r\n" + whole;
        final Agent agent = new Agent(Act.SENDS_A_LINE);
        agent.question(1);
        await("its answer", () -> agent.told.contains("same"));
        try (FakeServer moved = new FakeServer((request, connection) -> {
            if (request.line().contains("after=7")) {
                connection.write(HEAD);
                connection.chunk(list(8, false));
            } else {
                connection.write(answer + (tail.equals("copy") ? answer : tail));
            }
        })) {
            final long movedNs = System.nanoTime();
            loop.execute(() -> agent.watches.switchTo(Config.address("", moved.address())));
            await("the change at the new address", () -> agent.told.contains("8"));
            final double afterS = (System.nanoTime() - movedNs) / 1e9;
            assertTrue(afterS < MOVED_RULE_S, afterS + " s");
            assertTrue(agent.told.contains("7"), "the whole list counts");
        }
        agent.server.close();
    }
}
