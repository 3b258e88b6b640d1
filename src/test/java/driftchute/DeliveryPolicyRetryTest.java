package driftchute;

import static driftchute.PolicyFixture.DESTINATION;
import static driftchute.PolicyFixture.MS;
import static driftchute.PolicyFixture.SECOND;
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
final class DeliveryPolicyRetryTest {
    private static final int SAFE = 0;
    private static final int KEYED = 1;
    private static final int UNSAFE = 2;
    private static final int KEYED_PER_ZONE = 4;

    private final PolicyFixture fixture = PolicyFixture.withTwoEndpoints(PolicyFixture.settings());

    /** The same settings with an idempotency window of one second. */
    private static PolicyFixture shortWindow() {
        final Courier.Settings of = PolicyFixture.settings();
        final List<Courier.MessageClass> classes = of.classes().stream()
                .map(classIndex -> new Courier.MessageClass(
                        classIndex.name(),
                        classIndex.effect(),
                        classIndex.zoneKeyed(),
                        classIndex.ordered(),
                        classIndex.value(),
                        classIndex.lateValue(),
                        classIndex.targetUs(),
                        classIndex.deadlineUs(),
                        SECOND))
                .toList();
        return PolicyFixture.withTwoEndpoints(new Courier.Settings(
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
            final PolicyFixture fixture,
            final String id,
            final int classIndex,
            final long leftUs,
            final Courier.MessageHistory history) {
        fixture.policy.onResumed(
                fixture.nowUs,
                new Courier.Message(id, classIndex, -1, null, fixture.nowUs + leftUs, DESTINATION),
                history);
    }

    private static Courier.MessageHistory executed(final PolicyFixture fixture, final long agoUs) {
        return new Courier.MessageHistory(1, true, fixture.nowUs - agoUs, "a");
    }

    @ParameterizedTest
    @EnumSource(names = {"ERROR", "TIMED_OUT", "RESET", "CANCELLED"})
    void anUnsafeMessageIsSentAgainOnlyIfNoAttemptMayHaveBeenExecuted(final Result result) {
        fixture.accept("pay", UNSAFE);
        fixture.end("pay", Result.NO_CONNECTION);
        fixture.advance(2 * SECOND);
        assertEquals(2, fixture.sendCount("pay"));
        fixture.end("pay", result);
        fixture.advance(20 * SECOND);
        assertEquals(2, fixture.sendCount("pay"));
        assertEquals(List.of("pay"), fixture.failed);
        assertTrue(fixture.refused.isEmpty());
    }

    @ParameterizedTest
    @EnumSource(names = {"REFUSED", "NO_CONNECTION", "NOT_SENT"})
    void anUnexecutedUnsafeMessageIsRefusedAndNotFailed(final Result result) {
        fixture.accept("pay", UNSAFE, null, 3 * SECOND);
        fixture.updateList(
                Update.CHANGES,
                PolicyFixture.inCondition(Condition.GONE, 1),
                PolicyFixture.inCondition(Condition.GONE, 2));
        fixture.end("pay", result);
        fixture.advance(4 * SECOND);
        assertEquals(List.of("pay"), fixture.refused);
        assertTrue(fixture.failed.isEmpty());
    }

    /**
     * Two attempts that may have been executed: the window starts with the first of them, not with one that was
     * certainly not executed.
     */
    @Test
    void aKeysWindowStartsWithTheFirstAttemptThatMayHaveBeenExecuted() {
        fixture.updateList(Update.WHOLE, PolicyFixture.endpoint(1, DESTINATION, "a"));
        fixture.accept("m", KEYED);
        fixture.end("m", Result.NO_CONNECTION);
        fixture.advance(3 * SECOND);
        final long firstUs = fixture.lastSend("m").atUs();
        fixture.end("m", Result.ERROR);
        while (fixture.refused.isEmpty() && fixture.nowUs < firstUs + 20 * SECOND) {
            fixture.advance(900 * MS);
            if (fixture.endedAttempts("m") < fixture.sendCount("m")) {
                fixture.end("m", Result.ERROR);
            }
        }
        assertTrue(
                fixture.lastSend("m").atUs() > firstUs && fixture.lastSend("m").atUs() < firstUs + 6 * SECOND);
        assertEquals(List.of("m"), fixture.refused);
    }

    @ParameterizedTest
    @CsvSource({"1, 990, 0, true", "1, 500, 1, false", "4, 1500, 0, true", "0, 1500, 1, false"})
    void aRestartLongerThanTheWindowEndsAMessageThatMayHaveBeenExecuted(
            final int classIndex, final long agoMs, final int calls, final boolean ends) {
        final PolicyFixture late = shortWindow();
        resume(late, "m", classIndex, 10 * SECOND, executed(late, agoMs * MS));
        late.policy.decide(late.nowUs);
        assertEquals(calls, late.sendCount("m"));
        assertEquals(ends, late.refused.size() + late.failed.size() == 1);
        assertEquals(
                classIndex == KEYED_PER_ZONE,
                late.failed.contains("m"),
                "refused only where any endpoint knows the repeat");
    }

    /** A second attempt would come too late for the key, so the first one's answer is worth waiting for. */
    @Test
    void aKeyedAttemptThatCannotBeRepeatedIsNotEndedEarly() {
        final PolicyFixture one = shortWindow();
        one.accept("m", KEYED);
        one.accept("safe", SAFE);
        assertEquals(one.lastSend("safe").timeoutUs(), one.lastSend("m").timeoutUs(), "as long as any other");
    }

    @Test
    void expiredMessagesAreEndedOnceDirectlyAfterARestart() {
        resume(fixture, "untried", SAFE, 0, new Courier.MessageHistory(0, false, 0, ""));
        resume(fixture, "unsafe", UNSAFE, -SECOND, executed(fixture, 2 * SECOND));
        fixture.policy.decide(fixture.nowUs);
        fixture.advance(5 * SECOND);
        assertEquals(List.of("untried"), fixture.refused);
        assertEquals(List.of("unsafe"), fixture.failed);
        assertTrue(fixture.sent.isEmpty());
    }

    /**
     * Closed, open or in slow start: no message is ended early without a call; a cold destination gets them at its
     * pace.
     */
    @ParameterizedTest
    @EnumSource(Courier.CircuitState.class)
    void untriedMessagesWithHalfOfTheirTimeLeftAreTriedAfterARestart(final Courier.CircuitState phase) {
        fixture.policy.onPredecessorState(
                fixture.nowUs,
                new Courier.DestinationState(
                        DESTINATION,
                        0,
                        phase,
                        0,
                        0,
                        phase == Courier.CircuitState.OPEN ? fixture.nowUs - 2 * SECOND : Long.MAX_VALUE,
                        fixture.nowUs,
                        SECOND,
                        1,
                        5,
                        5,
                        0,
                        0,
                        Double.POSITIVE_INFINITY,
                        1));
        for (int index = 0; index < 20; index++) {
            resume(
                    fixture,
                    "m" + index,
                    index % 2 == 0 ? SAFE : UNSAFE,
                    8 * SECOND,
                    new Courier.MessageHistory(0, false, 0, ""));
        }
        fixture.policy.decide(fixture.nowUs);
        for (int step = 0; step < 80; step++) {
            fixture.advance(100 * MS);
            IntStream.range(0, 20)
                    .mapToObj(index -> "m" + index)
                    .filter(id -> fixture.endedAttempts(id) < fixture.sendCount(id))
                    .toList()
                    .forEach(id -> fixture.end(id, Result.DELIVERED));
            assertTrue(fixture.refused.isEmpty() && fixture.failed.isEmpty() || step > 77, "early, with no call");
        }
        final long called = IntStream.range(0, 20)
                .filter(index -> fixture.sendCount("m" + index) > 0)
                .count();
        assertTrue(called >= (phase == Courier.CircuitState.CLOSED ? 20 : 5), phase + ": " + called);
    }

    /** No endpoint can be called: each message is ended once, at its deadline. */
    @ParameterizedTest
    @EnumSource(names = {"LISTED", "DRAINING", "GONE"})
    void aMessageWithoutAnEndpointIsEndedInItsTime(final Condition condition) {
        fixture.policy.onEndpointsDisabled(fixture.nowUs, condition == Condition.LISTED ? Set.of(1L, 2L) : Set.of());
        fixture.updateList(
                Update.CHANGES, PolicyFixture.inCondition(condition, 1), PolicyFixture.inCondition(condition, 2));
        fixture.accept("m", UNSAFE, null, 2 * SECOND);
        fixture.advance(1900 * MS);
        assertTrue(fixture.refused.isEmpty(), "one may be listed yet");
        fixture.advance(100 * MS);
        assertEquals(List.of("m"), fixture.refused);
        assertTrue(fixture.sent.isEmpty());
    }

    @Test
    void aWaitThatOutlastsAMessageEndsItInItsTime() {
        fixture.accept("m", SAFE, null, 2 * SECOND);
        fixture.end("m", Result.REFUSED, 30 * SECOND);
        fixture.advance(2 * SECOND);
        assertEquals(List.of("m"), fixture.refused);
        assertEquals(1, fixture.sendCount("m"));
    }

    @Test
    void aMessageWithdrawnWhileInFlightIsNeverSentAgain() {
        fixture.accept("m", SAFE);
        fixture.policy.onWithdrawn(fixture.nowUs, "m");
        fixture.end("m", Result.RESET);
        fixture.advance(20 * SECOND);
        assertEquals(1, fixture.sendCount("m"));
        assertTrue(fixture.refused.isEmpty() && fixture.failed.isEmpty(), "nothing is owed");
    }
}
