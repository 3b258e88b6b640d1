package driftchute.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against executing a message twice after an answer that is no HTTP/1.1 and has a status in it that would
 * otherwise prove that the call was never executed.
 */
@Timeout(120)
final class UnreadableAnswerTest {
    private static final String END = " X\r\nContent-Length: 0\r\n\r\n";
    private static final int WAIT_SECONDS = 60;

    @TempDir
    private Path folder;

    private ServiceOnLoop courier;
    private CourierHarness rig;

    @BeforeEach
    void build() throws IOException {
        courier = new ServiceOnLoop(folder);
        rig = courier.rig;
    }

    @AfterEach
    void end() throws IOException {
        courier.close();
    }

    private void callOnceWithAnswer(final String raw) throws Exception {
        rig.first.script((request, connection) -> connection.write(raw));
        courier.start();
        courier.offerSoon("m1", "once", ServiceOnLoop.LIFE_US);
        rig.await("its end", () -> courier.isOver("m1") || rig.first.requests.size() > 1);
    }

    private void assertItMayHaveBeenExecuted() {
        rig.await("its notice", () -> rig.noticed("m1", "undeliverable") || rig.first.requests.size() > 1);
        assertEquals(1, rig.first.requests.size(), "it may have been executed, so it is not sent again");
        assertTrue(rig.noticed("m1", "undeliverable"));
        rig.await("the end of the connection", () -> rig.first.connections.get(0).ended);
    }

    /** The status line belongs to another protocol, or its status is no number of three digits. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/2.0 503",
                "HTTP/1.0 503",
                "HTTP/0.9 503",
                "HTTP/1.11 503",
                "RTSP/1.1 503",
                "HTTP/1.1 +503",
                "HTTP/1.1 0503",
                "\u0001HTTP/1.1 503",
                "\r\nHTTP/1.1 503",
                " HTTP/1.1 503",
                "HTTP/2.0 429",
                "HTTP/2.0 504",
                "HTTP/2.0 410"
            })
    void aRefusalWithoutAValidStatusLineMayHaveBeenExecuted(final String start) throws Exception {
        callOnceWithAnswer(start + END);
        assertItMayHaveBeenExecuted();
    }

    /** A line of the head is no header field, or ends in a line feed alone. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "#~ 0c1f noise 77 ~#\r\n",
                "noise\r\n",
                "X-Name : value\r\n",
                ": value\r\n",
                "na[me: value\r\n",
                "X-Name: value\n"
            })
    void aRefusalWithAnInvalidHeadMayHaveBeenExecuted(final String line) throws Exception {
        callOnceWithAnswer("HTTP/1.1 503 X\r\n" + line + "Content-Length: 0\r\n\r\n");
        assertItMayHaveBeenExecuted();
    }

    /** The body of a refusal ends in a way that the chunked coding does not allow. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "0\r\n#~ 0c1f noise 77 ~#\r\n\r\n",
                "0\r\nnoise\r\n\r\n",
                "0\r\nna[me: value\r\n\r\n",
                "0 noise\r\n\r\n",
                "+0\r\n\r\n"
            })
    void aRefusalWithAnInvalidTrailerMayHaveBeenExecuted(final String chunks) throws Exception {
        callOnceWithAnswer("HTTP/1.1 503 X\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks);
        assertItMayHaveBeenExecuted();
    }

    /** TERMS-irishead.md: if the first line still says 200, the answer to one message is true. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 X\r\n#~ 0c1f noise 77 ~#\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n#~ noise ~#\r\n\r\n",
                "HTTP/1.0 200 X\r\nContent-Length: 0\r\n\r\n"
            })
    void aStatusLineWith200DeliversIfTheRestIsUnreadable(final String raw) throws Exception {
        callOnceWithAnswer(raw);
        rig.await("the end of the connection", () -> rig.first.connections.get(0).ended);
        rig.first.script((request, connection) -> connection.reset());
        courier.offerSoon("m2", "once", ServiceOnLoop.LIFE_US);
        rig.await("the later one's notice", () -> rig.noticed("m2", "undeliverable"));
        assertEquals(1, rig.notices.size(), rig.notices.toString());
        assertEquals(2, rig.first.requests.size());
    }

    /** A refusal in proper form, however it is framed, proves that the call was never executed. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 503\r\nX-Empty:\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 503 X\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\nX-Trailer: 1\r\n\r\n"
            })
    void aReadableRefusalIsSentAgain(final String raw) throws Exception {
        callOnceWithAnswer(raw);
        rig.await("the next attempt", () -> rig.first.requests.size() > 1);
        rig.first.script((request, connection) -> connection.answer(200, ""));
        rig.await("its delivery", () -> courier.isOver("m1"));
        assertEquals(List.of(), rig.notices);
    }

    /** The header field with the wait can be read, so no call is made before the wait is over. */
    @Test
    void aWaitAppliesAlthoughItsAnswerIsUnreadable() throws Exception {
        callOnceWithAnswer("HTTP/2.0 429 X\r\nRetry-After: " + WAIT_SECONDS + "\r\nContent-Length: 0\r\n\r\n");
        assertItMayHaveBeenExecuted();
        courier.offerSoon("m2", "safe", 2_500_000);
        rig.await("its end without a call", () -> rig.noticed("m2", "deferred"));
        assertEquals(1, rig.first.requests.size());
    }
}
