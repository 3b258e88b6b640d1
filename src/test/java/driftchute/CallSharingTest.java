package driftchute;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Which messages share a call. A call ends at the earliest deadline of its messages, so none of them may be about to
 * expire.
 */
final class CallSharingTest {
    private static final int SAFE = 0;
    private static final int UNSAFE = 2;

    /**
     * Initially a quarter of the target time of 2 s is expected; a call of unsafe messages may take five times that.
     */
    @ParameterizedTest
    @CsvSource({"0, 900, 1", "0, 1100, 2", "2, 2400, 1", "2, 2600, 2"})
    void aMessageGoesAloneThatCouldEndACallForTheOthers(final int kind, final long leftMs, final int inTheCall) {
        final Scene scene = new Scene(Scene.settings(16, 5, false, false));
        scene.take("long", kind, null, 16 * Scene.SECOND);
        scene.take("short", kind, null, leftMs * Scene.MS);
        scene.list(Courier.Update.RESTORED, Scene.endpoint(1, Scene.DEST, "a"));
        // Sends of one decision to one endpoint share a call; the initial window permits two calls.
        assertEquals(2, scene.sent.size());
        assertEquals(inTheCall == 2 ? 1 : 2, scene.control.exportState().get(0).callsInFlight());
    }

    @Test
    void messagesWithEnoughTimeShareACall() {
        final Scene scene = new Scene(Scene.settings(16, 5, false, false));
        for (int number = 0; number < 5; number++) {
            scene.take("m" + number, number % 2 == 0 ? SAFE : UNSAFE);
        }
        scene.list(Courier.Update.RESTORED, Scene.endpoint(1, Scene.DEST, "a"));
        assertEquals(5, scene.sent.size());
        assertEquals(2, scene.control.exportState().get(0).callsInFlight());
    }
}
