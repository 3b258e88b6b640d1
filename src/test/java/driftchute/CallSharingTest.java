package driftchute;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Who goes in one call: it ends with the time of its first message, so nobody may be about to run out of it. */
final class CallSharingTest {
    private static final int SAFE = 0;
    private static final int UNSAFE = 2;

    /** A quarter of the aim of 2 s is expected at first; a call of unsafe messages may take five times that. */
    @ParameterizedTest
    @CsvSource({"0, 900, 1", "0, 1100, 2", "2, 2400, 1", "2, 2600, 2"})
    void aMessageGoesAloneThatCouldEndACallForTheOthers(final int kind, final long leftMs, final int inTheCall) {
        final Scene scene = new Scene(Scene.settings(16, 5, false, false));
        scene.take("long", kind, null, 16 * Scene.SECOND);
        scene.take("short", kind, null, leftMs * Scene.MS);
        scene.list(Courier.Update.RESTORED, Scene.endpoint(1, Scene.DEST, "a"));
        // Sends of one decision to one endpoint share a call; the window lets two calls out at first.
        assertEquals(2, scene.sent.size());
        assertEquals(inTheCall == 2 ? 1 : 2, scene.control.memories().get(0).callsOut());
    }

    @Test
    void messagesWithTimeShareACall() {
        final Scene scene = new Scene(Scene.settings(16, 5, false, false));
        for (int number = 0; number < 5; number++) {
            scene.take("m" + number, number % 2 == 0 ? SAFE : UNSAFE);
        }
        scene.list(Courier.Update.RESTORED, Scene.endpoint(1, Scene.DEST, "a"));
        assertEquals(5, scene.sent.size());
        assertEquals(2, scene.control.memories().get(0).callsOut());
    }
}
