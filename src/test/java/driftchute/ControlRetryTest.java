package driftchute;

import static driftchute.Scene.DEST;
import static driftchute.Scene.MS;
import static driftchute.Scene.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import driftchute.Courier.Condition;
import driftchute.Courier.Result;
import driftchute.Courier.Update;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/** Which messages may be sent again, until when, and how they are ended (WIRE, rules 1 and 2). */
final class ControlRetryTest {
    private static final int SAFE = 0;
    private static final int KEYED = 1;
    private static final int UNSAFE = 2;
    private static final int ZONED = 4;

    private final Scene scene = Scene.withTwoEndpoints(Scene.settings());

    /** The same settings with an idempotency window of one second. */
    private static Scene shortWindow() {
        final Courier.Settings of = Scene.settings();
        final List<Courier.MessageClass> classes = of.classes().stream()
                .map(kind -> new Courier.MessageClass(
                        kind.name(),
                        kind.effect(),
                        kind.zoneKeyed(),
                        kind.ordered(),
                        kind.value(),
                        kind.lateValue(),
                        kind.targetUs(),
                        kind.deadlineUs(),
                        SECOND))
                .toList();
        return Scene.withTwoEndpoints(new Courier.Settings(
                of.couriers(),
                of.zone(),
                of.listOnRequest(),
                of.limitHint(),
                of.valueDecay(),
                classes,
                of.tenants(),
                of.destinationKinds(),
                of.guarantees(),
                of.limits()));
    }

    private static void resume(
            final Scene scene, final String id, final int kind, final long leftUs, final Courier.MessageHistory past) {
        scene.control.onResumed(scene.nowUs, new Courier.Message(id, kind, -1, null, scene.nowUs + leftUs, DEST), past);
    }

    private static Courier.MessageHistory ran(final Scene scene, final long agoUs) {
        return new Courier.MessageHistory(1, true, scene.nowUs - agoUs, "a");
    }

    @ParameterizedTest
    @EnumSource(names = {"ERROR", "TIMED_OUT", "RESET", "CANCELLED"})
    void anUnsafeMessageIsSentAgainOnlyIfNoAttemptMayHaveBeenExecuted(final Result result) {
        scene.take("pay", UNSAFE);
        scene.end("pay", Result.NO_CONNECTION);
        scene.pass(2 * SECOND);
        assertEquals(2, scene.count("pay"));
        scene.end("pay", result);
        scene.pass(20 * SECOND);
        assertEquals(2, scene.count("pay"));
        assertEquals(List.of("pay"), scene.failed);
        assertTrue(scene.refused.isEmpty());
    }

    @ParameterizedTest
    @EnumSource(names = {"REFUSED", "NO_CONNECTION", "NOT_SENT"})
    void anUnexecutedUnsafeMessageIsRefusedAndNotFailed(final Result result) {
        scene.take("pay", UNSAFE, null, 3 * SECOND);
        scene.list(Update.CHANGES, Scene.in(Condition.GONE, 1), Scene.in(Condition.GONE, 2));
        scene.end("pay", result);
        scene.pass(4 * SECOND);
        assertEquals(List.of("pay"), scene.refused);
        assertTrue(scene.failed.isEmpty());
    }

    /**
     * Two attempts that may have been executed: the window starts with the first of them, not with one that was
     * certainly not executed.
     */
    @Test
    void aKeysWindowStartsWithTheFirstAttemptThatMayHaveBeenExecuted() {
        scene.list(Update.WHOLE, Scene.endpoint(1, DEST, "a"));
        scene.take("m", KEYED);
        scene.end("m", Result.NO_CONNECTION);
        scene.pass(3 * SECOND);
        final long firstUs = scene.last("m").atUs();
        scene.end("m", Result.ERROR);
        while (scene.refused.isEmpty() && scene.nowUs < firstUs + 20 * SECOND) {
            scene.pass(900 * MS);
            if (scene.ended("m") < scene.count("m")) {
                scene.end("m", Result.ERROR);
            }
        }
        assertTrue(scene.last("m").atUs() > firstUs && scene.last("m").atUs() < firstUs + 6 * SECOND);
        assertEquals(List.of("m"), scene.refused);
    }

    @ParameterizedTest
    @CsvSource({"1, 990, 0, true", "1, 500, 1, false", "4, 1500, 0, true", "0, 1500, 1, false"})
    void aRestartLongerThanTheWindowEndsAMessageThatMayHaveBeenExecuted(
            final int kind, final long agoMs, final int calls, final boolean ends) {
        final Scene late = shortWindow();
        resume(late, "m", kind, 10 * SECOND, ran(late, agoMs * MS));
        late.control.decide(late.nowUs);
        assertEquals(calls, late.count("m"));
        assertEquals(ends, late.refused.size() + late.failed.size() == 1);
        assertEquals(kind == ZONED, late.failed.contains("m"), "refused only where any endpoint knows the repeat");
    }

    /** A second attempt would come too late for the key, so the first one's answer is worth waiting for. */
    @Test
    void aKeyedAttemptThatCannotBeRepeatedIsNotEndedEarly() {
        final Scene one = shortWindow();
        one.take("m", KEYED);
        one.take("safe", SAFE);
        assertEquals(one.last("safe").timeoutUs(), one.last("m").timeoutUs(), "as long as any other");
    }

    @Test
    void expiredMessagesAreEndedOnceDirectlyAfterARestart() {
        resume(scene, "untried", SAFE, 0, new Courier.MessageHistory(0, false, 0, ""));
        resume(scene, "unsafe", UNSAFE, -SECOND, ran(scene, 2 * SECOND));
        scene.control.decide(scene.nowUs);
        scene.pass(5 * SECOND);
        assertEquals(List.of("untried"), scene.refused);
        assertEquals(List.of("unsafe"), scene.failed);
        assertTrue(scene.sent.isEmpty());
    }

    /**
     * Closed, open or in slow start: no message is ended early without a call; a cold destination gets them at its
     * pace.
     */
    @ParameterizedTest
    @EnumSource(Courier.CircuitState.class)
    void untriedMessagesWithHalfOfTheirTimeLeftAreTriedAfterARestart(final Courier.CircuitState phase) {
        scene.control.onPredecessorState(
                scene.nowUs,
                new Courier.DestinationState(
                        DEST,
                        0,
                        phase,
                        0,
                        0,
                        phase == Courier.CircuitState.OPEN ? scene.nowUs - 2 * SECOND : Long.MAX_VALUE,
                        scene.nowUs,
                        SECOND,
                        1,
                        5,
                        5,
                        0,
                        0,
                        Double.POSITIVE_INFINITY,
                        1));
        for (int index = 0; index < 20; index++) {
            resume(scene, "m" + index, index % 2 == 0 ? SAFE : UNSAFE, 8 * SECOND, new Courier.MessageHistory(0, false, 0, ""));
        }
        scene.control.decide(scene.nowUs);
        for (int step = 0; step < 80; step++) {
            scene.pass(100 * MS);
            IntStream.range(0, 20)
                    .mapToObj(index -> "m" + index)
                    .filter(id -> scene.ended(id) < scene.count(id))
                    .toList()
                    .forEach(id -> scene.end(id, Result.DELIVERED));
            assertTrue(scene.refused.isEmpty() && scene.failed.isEmpty() || step > 77, "early, with no call");
        }
        final long called = IntStream.range(0, 20)
                .filter(index -> scene.count("m" + index) > 0)
                .count();
        assertTrue(called >= (phase == Courier.CircuitState.CLOSED ? 20 : 5), phase + ": " + called);
    }

    /** No endpoint can be called: each message is ended once, at its deadline. */
    @ParameterizedTest
    @EnumSource(names = {"LISTED", "DRAINING", "GONE"})
    void aMessageWithoutAnEndpointIsEndedInItsTime(final Condition condition) {
        scene.control.onEndpointsDisabled(scene.nowUs, condition == Condition.LISTED ? Set.of(1L, 2L) : Set.of());
        scene.list(Update.CHANGES, Scene.in(condition, 1), Scene.in(condition, 2));
        scene.take("m", UNSAFE, null, 2 * SECOND);
        scene.pass(1900 * MS);
        assertTrue(scene.refused.isEmpty(), "one may be listed yet");
        scene.pass(100 * MS);
        assertEquals(List.of("m"), scene.refused);
        assertTrue(scene.sent.isEmpty());
    }

    @Test
    void aWaitThatOutlastsAMessageEndsItInItsTime() {
        scene.take("m", SAFE, null, 2 * SECOND);
        scene.end("m", Result.REFUSED, 30 * SECOND);
        scene.pass(2 * SECOND);
        assertEquals(List.of("m"), scene.refused);
        assertEquals(1, scene.count("m"));
    }

    @Test
    void aMessageWithdrawnWhileInFlightIsNeverSentAgain() {
        scene.take("m", SAFE);
        scene.control.onWithdrawn(scene.nowUs, "m");
        scene.end("m", Result.RESET);
        scene.pass(20 * SECOND);
        assertEquals(1, scene.count("m"));
        assertTrue(scene.refused.isEmpty() && scene.failed.isEmpty(), "nothing is owed");
    }
}
