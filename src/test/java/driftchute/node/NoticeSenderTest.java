package driftchute.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.BiConsumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Notices arrive within 0.3 s of what delays them, on a manual clock, and each is confirmed once. */
@Timeout(60)
final class NoticeSenderTest {
    private static final long RULE_MS = 300;
    /** More than the rest of a connection between an answer and the next batch. */
    private static final long REST_MS = 10;

    private static final String UNAVAILABLE = "HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n";
    private static final String CONFIRMED = "HTTP/1.1 204 X\r\n\r\n";

    private final SteppedLoop loop = new SteppedLoop();
    private final List<String> confirmed = new ArrayList<>();
    private FakeServerOnLoop platform;
    private NoticeSender notices;

    private void begin(final BiConsumer<String, FakeServerOnLoop.Peer> script) {
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

    private long untilConfirmed(final String... ids) {
        return loop.until(10 * RULE_MS, () -> confirmed.containsAll(List.of(ids)));
    }

    private void assertAllConfirmedOnce(final String... ids) {
        assertEquals(List.of(ids), confirmed);
        assertTrue(notices.isEmpty());
    }

    /** The first connections fail in every way. */
    @Test
    void aDeadConnectionDelaysNoNoticeTooLong() {
        final List<BiConsumer<String, FakeServerOnLoop.Peer>> ways = List.of(
                (request, peer) -> {},
                (request, peer) -> peer.write("HTTP/1.1 2"),
                (request, peer) -> peer.reset(),
                (request, peer) -> peer.write(UNAVAILABLE));
        for (final var way : ways) {
            begin((request, peer) -> {
                if (platform.requests.size() == 1) {
                    way.accept(request, peer);
                } else {
                    peer.write(CONFIRMED);
                }
            });
            owe("m1");
            notices.flush();
            loop.pass(10);
            owe("m2");
            notices.flush();
            final long afterMs = untilConfirmed("m1", "m2");
            assertTrue(afterMs < RULE_MS, afterMs + " ms, way " + ways.indexOf(way));
            assertAllConfirmedOnce("m1", "m2");
            confirmed.clear();
        }
    }

    @Test
    void aPlatformReachableAgainIsNotifiedInTime() {
        for (long awayMs = 2000; awayMs <= 3000; awayMs += 100) {
            begin((request, peer) -> peer.write(CONFIRMED));
            platform.refuse();
            owe("m1");
            notices.flush();
            loop.pass(awayMs);
            platform.listen();
            final long afterMs = untilConfirmed("m1");
            assertTrue(afterMs < RULE_MS, afterMs + " ms after " + awayMs + " ms");
            confirmed.clear();
        }
    }

    /** No time passes at all. */
    @Test
    void aNoticeThatCannotBeParsedDelaysNoOther() {
        begin((request, peer) ->
                peer.write(request.contains("bad") ? "HTTP/1.1 400 X\r\nContent-Length: 0\r\n\r\n" : CONFIRMED));
        final Set<String> good = new TreeSet<>();
        for (int index = 0; index < 200; index++) {
            owe(index == 30 ? "bad" : "m" + index);
            good.add(index == 30 ? "m0" : "m" + index);
        }
        notices.flush();
        loop.settle();
        assertEquals(good, new TreeSet<>(confirmed));
        assertEquals(good.size(), confirmed.size());
    }

    /** The confirmation and its time-out are due in the same turn, the time-out first. */
    @Test
    void aConfirmationThatCoincidesWithTheTimeOutCountsOnce() {
        for (final long atMs : List.of(80L, 90L, 100L)) {
            begin((request, peer) -> {
                if (platform.requests.size() > 1) {
                    peer.write(CONFIRMED);
                }
            });
            owe("m1");
            notices.flush();
            loop.pass(atMs);
            platform.peers.get(0).write(CONFIRMED);
            loop.pass(RULE_MS);
            assertAllConfirmedOnce("m1");
            confirmed.clear();
        }
    }

    /** The platform closes the idle connection before the batch is written, in the same turn, and after it. */
    @Test
    void aCloseThatCoincidesWithABatchLosesNoNotice() {
        for (final boolean closeFirst : List.of(true, false)) {
            begin((request, peer) -> {
                if (!request.contains("m2") || platform.peers.indexOf(peer) > 0) {
                    peer.write(CONFIRMED);
                }
            });
            owe("m1");
            notices.flush();
            untilConfirmed("m1");
            // A connection is not used again in the turn of its answer.
            loop.pass(REST_MS);
            owe("m2");
            if (closeFirst) {
                platform.peers.get(0).reset();
                notices.flush();
            } else {
                notices.flush();
                platform.peers.get(0).reset();
            }
            assertTrue(untilConfirmed("m2") < RULE_MS, "closed first: " + closeFirst);
            assertAllConfirmedOnce("m1", "m2");
            confirmed.clear();
        }
    }

    /** The old address confirms what it received in the turn of the change, or never. */
    @Test
    void anAddressChangeWithAnUnansweredBatchIsConfirmedByTheNewAddress() {
        for (final boolean late : List.of(true, false)) {
            begin((request, peer) -> {});
            final FakeServerOnLoop moved = new FakeServerOnLoop(loop, (request, peer) -> peer.write(CONFIRMED));
            owe("m1");
            notices.flush();
            loop.settle();
            if (late) {
                platform.peers.get(0).write(CONFIRMED);
            }
            notices.switchTo(moved.address());
            loop.settle();
            assertEquals(1, moved.requests.size());
            assertAllConfirmedOnce("m1");
            confirmed.clear();
        }
    }

    /** A second copy of a confirmation, or noise behind it, once confirmed the next batch, which the platform had not recorded. */
    @ParameterizedTest
    @ValueSource(strings = {CONFIRMED, "HTTP/1.1 204 X\r\nX-Half: ", "#~ noise ~#\r\n\r\n"})
    void bytesBehindAConfirmationConfirmNoOtherBatch(final String tail) {
        begin((request, peer) -> peer.write(request.contains("m2") ? UNAVAILABLE : CONFIRMED + tail));
        owe("m1");
        notices.flush();
        owe("m2");
        loop.pass(2 * RULE_MS);
        assertEquals(List.of("m1"), confirmed);
        assertTrue(platform.requests.stream().anyMatch(request -> request.contains("m2")));
    }

    /** The same bytes arrive while the connection is idle. */
    @ParameterizedTest
    @ValueSource(strings = {CONFIRMED, "HTTP/1.1 204 X\r\nX-Half: ", "#~ noise ~#\r\n\r\n"})
    void bytesOnAnIdleConnectionConfirmNoOtherBatch(final String tail) {
        begin((request, peer) -> peer.write(request.contains("m2") ? UNAVAILABLE : CONFIRMED));
        owe("m1");
        notices.flush();
        untilConfirmed("m1");
        loop.pass(REST_MS);
        platform.peers.get(0).write(tail);
        loop.settle();
        owe("m2");
        notices.flush();
        loop.pass(2 * RULE_MS);
        assertEquals(List.of("m1"), confirmed);
        assertTrue(platform.requests.stream().anyMatch(request -> request.contains("m2")));
    }

    /** A confirmation that is no HTTP/1.1 once counted, so a notice that the platform had not recorded was forgotten. */
    @ParameterizedTest
    @ValueSource(
            strings = {"HTTP/2.0 204 X\r\n\r\n", "HTTP/1.1 0204 X\r\n\r\n", "HTTP/1.1 204 X\r\n#~ noise ~#\r\n\r\n"})
    void anUnreadableConfirmationIsRepeatedInTime(final String unreadable) {
        begin((request, peer) -> peer.write(platform.requests.size() == 1 ? unreadable : CONFIRMED));
        owe("m1");
        notices.flush();
        assertTrue(untilConfirmed("m1") < RULE_MS);
        assertEquals(2, platform.requests.size());
        assertAllConfirmedOnce("m1");
    }
}
