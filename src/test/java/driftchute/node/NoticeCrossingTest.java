package driftchute.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.FileInputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Answers, closes and address changes that coincide with a notice being sent; on a manual clock. */
@Timeout(60)
final class NoticeCrossingTest {
    private static final long RULE_MS = 300;
    private static final String CONFIRMED = "HTTP/1.1 204 X\r\n\r\n";

    private final SteppedLoop loop = new SteppedLoop();
    private final List<String> confirmed = new ArrayList<>();
    private FakeServerOnLoop platform;
    private NoticeSender notices;

    private void begin(final BiConsumer<String, FakeServerOnLoop.Peer> script) {
        confirmed.clear();
        platform = new FakeServerOnLoop(loop, script);
        notices = new NoticeSender(
                platform.address(), loop.mine(), heard -> heard.forEach(held -> confirmed.add(held.id)));
    }

    @AfterEach
    void end() {
        loop.close();
    }

    private void owe(final String id) {
        final JournaledMessage held = new JournaledMessage(id, "safe", null, 7, 0, new byte[0]);
        held.setNotice(new JournaledMessage.Notice(true, 0));
        notices.add(held);
    }

    private long untilConfirmed(final List<String> ids) {
        return loop.until(10 * RULE_MS, () -> confirmed.containsAll(ids));
    }

    /** An answer whose status permits no body has one all the same, in every framing, and in one write or two. */
    @Test
    void aConfirmationWithABodyDelaysNothing() {
        final List<String> bodies = List.of(
                "HTTP/1.1 204 X\r\nContent-Length: 2\r\n\r\n|{}",
                "HTTP/1.1 204 X\r\nTransfer-Encoding: chunked\r\n\r\n|2\r\n{}\r\n0\r\n\r\n",
                "HTTP/1.1 204 X\r\nContent-Length: 2\r\nConnection: close\r\n\r\n|{}",
                "HTTP/1.1 204 X\r\n\r\n|\r\n");
        for (final String body : bodies) {
            for (final boolean atOnce : List.of(true, false)) {
                begin((request, peer) -> {
                    if (atOnce) {
                        peer.write(body.replace("|", ""));
                    } else {
                        peer.write(body.substring(0, body.indexOf('|')));
                        loop.mine().execute(() -> peer.write(body.substring(body.indexOf('|') + 1)));
                    }
                });
                final List<String> ids =
                        IntStream.range(0, 200).mapToObj(index -> "m" + index).toList();
                ids.forEach(this::owe);
                notices.flush();
                final long afterMs = untilConfirmed(ids);
                assertTrue(afterMs < RULE_MS, afterMs + " ms, " + confirmed.size() + " confirmed: " + body);
                assertEquals(ids, confirmed);
                assertTrue(notices.isEmpty());
            }
        }
    }

    /** The answer to the first attempt arrives after the next one is written, before and after that one's answer. */
    @Test
    void anAnswerAfterTheNextAttemptIsIgnored() {
        for (final boolean beforeTheNext : List.of(true, false)) {
            begin((request, peer) -> {
                if (platform.requests.size() > 1 && !beforeTheNext) {
                    peer.write(CONFIRMED);
                }
            });
            owe("m1");
            notices.flush();
            assertTrue(loop.until(RULE_MS, () -> platform.requests.size() == 2) < RULE_MS);
            owe("m2");
            notices.flush();
            platform.peers.get(0).write(CONFIRMED);
            loop.settle();
            if (beforeTheNext) {
                assertEquals(List.of(), confirmed, "the connection of the first try is left");
                platform.peers.get(1).write(CONFIRMED);
                loop.settle();
                assertEquals(List.of("m1"), confirmed);
                // A batch that follows an answer at once goes over a new connection.
                platform.peers.get(2).write(CONFIRMED);
            }
            assertTrue(untilConfirmed(List.of("m1", "m2")) < RULE_MS);
            assertEquals(List.of("m1", "m2"), confirmed, "each once");
        }
    }

    /** There is no descriptor for the connection to the old address, and the address changes in the same turn. */
    @Test
    void anAddressChangeDuringAFailedConnectSendsToTheNewAddress() throws IOException {
        begin((request, peer) -> peer.write(CONFIRMED));
        final FakeServerOnLoop moved = new FakeServerOnLoop(loop, (request, peer) -> peer.write(CONFIRMED));
        // All classes that a failure needs are loaded while there are descriptors.
        owe("m0");
        notices.flush();
        untilConfirmed(List.of("m0"));
        platform.peers.get(0).reset();
        platform.refuse();
        owe("m1");
        notices.flush();
        loop.pass(RULE_MS);
        final List<FileInputStream> taken = new ArrayList<>();
        try {
            while (true) {
                taken.add(new FileInputStream("/dev/null"));
            }
        } catch (final IOException e) {
            assertTrue(e.getMessage().contains("Too many open files"), e.getMessage());
        }
        try {
            // Once with the connection failing in the turn of the change, whichever comes first.
            notices.switchTo(platform.address());
            loop.until(RULE_MS, () -> false);
            notices.switchTo(moved.address());
            notices.switchTo(platform.address());
            notices.switchTo(moved.address());
        } finally {
            for (final FileInputStream one : taken) {
                one.close();
            }
        }
        assertTrue(untilConfirmed(List.of("m1")) < RULE_MS);
        assertEquals(List.of("m0", "m1"), confirmed);
        assertEquals(1, moved.requests.size());
        assertEquals(0, loop.foreignTimers(), "timers set by another thread than the loop's");
    }
}
