package driftchute;

import static driftchute.PolicyFixture.DESTINATION;
import static driftchute.PolicyFixture.MS;
import static driftchute.PolicyFixture.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import driftchute.Courier.Condition;
import driftchute.Courier.Result;
import driftchute.Courier.Update;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The decisions by behaviour: Table I, each rule, and each failure found. */
final class DeliveryPolicyTest {
    private static final int SAFE = 0;
    private static final int KEYED = 1;
    private static final int UNSAFE = 2;
    private static final int ORDERED = 3;
    private static final int KEYED_PER_ZONE = 4;

    private final PolicyFixture fixture = PolicyFixture.withTwoEndpoints(PolicyFixture.settings());

    @ParameterizedTest
    @CsvSource({
        "0,0,0.4",
        "0,0.5,0.2",
        "0,1,-0.2",
        "0.5,0,0.2",
        "0.5,0.5,0",
        "0.5,1,-0.4",
        "1,0,-0.2",
        "1,0.5,-0.4",
        "1,1,-0.6"
    })
    void everyCellOfTableOneAtTheMembershipPeaks(final double latency, final double refusal, final double change) {
        assertEquals(change, DeliveryPolicy.windowChange(latency, refusal), 1e-9);
    }

    @Test
    void theTableStaysInThePapersRange() {
        for (int row = 0; row <= 20; row++) {
            for (int column = 0; column <= 20; column++) {
                final double change = DeliveryPolicy.windowChange(row / 20.0, column / 20.0);
                assertTrue(change >= -0.6 && change <= 0.4, row + "," + column + ": " + change);
            }
        }
    }

    @Test
    void theWindowBoundsCallsInFlightAndGrowsWithServedSteps() {
        for (int index = 0; index < 10; index++) {
            fixture.accept("m" + index, SAFE);
        }
        assertEquals(2, fixture.sent.size(), "a new lane's window");
        serveFor(10);
        final long before = fixture.sent.size();
        for (int index = 0; index < 30; index++) {
            fixture.accept("late" + index, SAFE);
        }
        final long inFlight = fixture.sent.size() - before;
        assertTrue(inFlight > 2 && inFlight <= 12, "grown, at most three quarters of 16 slots: " + inFlight);
    }

    @Test
    void refusalsShrinkTheWindowToItsFloorButNotBelow() {
        for (int round = 0; round < 12; round++) {
            fixture.accept("m" + round, SAFE);
            fixture.advance(SECOND);
            outstanding().forEach(id -> fixture.end(id, Result.REFUSED));
        }
        fixture.advance(20 * SECOND);
        assertTrue(outstanding().size() <= 1, "one call at a time at the floor");
        assertTrue(fixture.sent.size() > 3, "and still trying");
    }

    @Test
    void everyMessageEndsExactlyOnceBeforeItsDeadline() {
        final PolicyFixture empty = new PolicyFixture(PolicyFixture.settings());
        empty.accept("lonely", SAFE);
        empty.advance(15 * SECOND);
        assertTrue(empty.refused.isEmpty(), "a destination without endpoints may get one yet");
        empty.advance(SECOND);
        assertEquals(List.of("lonely"), empty.refused);
        empty.advance(5 * SECOND);
        assertEquals(1, empty.refused.size());
    }

    @Test
    void aSafeMessageIsSentAgainAfterAReset() {
        fixture.accept("m", SAFE);
        fixture.end("m", Result.RESET);
        fixture.advance(3 * SECOND);
        assertEquals(2, fixture.sendCount("m"));
    }

    @Test
    void anUnsafeMessageThatMayHaveBeenExecutedIsNeitherRetriedNorRefused() {
        fixture.accept("pay", UNSAFE);
        fixture.end("pay", Result.RESET);
        assertEquals(List.of("pay"), fixture.failed);
        fixture.advance(20 * SECOND);
        assertEquals(1, fixture.sendCount("pay"));
        assertTrue(fixture.refused.isEmpty());
    }

    @Test
    void anUnexecutedUnsafeMessageIsSentAgain() {
        fixture.accept("pay", UNSAFE);
        fixture.end("pay", Result.NO_CONNECTION);
        fixture.advance(2 * SECOND);
        assertEquals(2, fixture.sendCount("pay"));
    }

    @Test
    void anUnsafeAttemptLastsUntilItsMessagesDeadline() {
        fixture.accept("pay", UNSAFE);
        assertEquals(16 * SECOND, fixture.lastSend("pay").timeoutUs());
    }

    @Test
    void aKeyedMessageIsSentAgainOnlyInsideItsKeysWindow() {
        fixture.updateList(Update.WHOLE, PolicyFixture.endpoint(1, DESTINATION, "a"));
        fixture.accept("m", KEYED);
        final long first = fixture.nowUs;
        fixture.end("m", Result.ERROR);
        assertEquals(2, fixture.sendCount("m"));
        fixture.end("m", Result.REFUSED, 10 * SECOND);
        fixture.advance(8 * SECOND);
        assertEquals(2, fixture.sendCount("m"), "the wait ends after the window");
        assertEquals(List.of("m"), fixture.refused);
        assertTrue(fixture.lastSend("m").atUs() - first <= 6 * SECOND);
    }

    @Test
    void aKeyedAttemptEndsEarlyEnoughForAnother() {
        fixture.accept("m", KEYED);
        assertTrue(fixture.lastSend("m").timeoutUs() <= 5500 * MS, "inside the window of six seconds");
    }

    @Test
    void aZoneKeyedMessageThatMayHaveBeenExecutedStaysInItsZoneAndIsNeverRefused() {
        fixture.accept("m", KEYED_PER_ZONE);
        final long endpoint = fixture.lastSend("m").endpoint();
        fixture.end("m", Result.RESET);
        fixture.advance(20 * SECOND);
        assertTrue(fixture.sent.stream().allMatch(sent -> sent.endpoint() == endpoint));
        assertTrue(fixture.refused.isEmpty());
    }

    @Test
    void neverTwoAttemptsAtOnce() {
        fixture.accept("m", SAFE);
        fixture.advance(10 * SECOND);
        assertEquals(1, fixture.sendCount("m"), "overdue, but not over");
    }

    @Test
    void nothingNewGoesToAnEndpointThatDrainsOrIsGone() {
        fixture.updateList(Update.CHANGES, PolicyFixture.inCondition(Condition.DRAINING, 1));
        for (int index = 0; index < 4; index++) {
            fixture.accept("m" + index, SAFE);
            outstanding().forEach(id -> fixture.end(id, Result.DELIVERED));
        }
        assertTrue(fixture.sent.stream().allMatch(sent -> sent.endpoint() == 2));
        fixture.updateList(Update.WHOLE, PolicyFixture.endpoint(3, DESTINATION, "a"));
        final int before = fixture.sent.size();
        fixture.accept("after", SAFE);
        assertEquals(3, fixture.sent.get(before).endpoint(), "missing from a whole list is gone");
    }

    @Test
    void aRequestedWaitAppliesToEveryMessageOfTheDestination() {
        fixture.accept("m", SAFE);
        fixture.report("m", Result.REFUSED, 1500 * MS);
        fixture.accept("other", KEYED);
        fixture.advance(1499 * MS);
        assertEquals(1, fixture.sent.size());
        fixture.advance(2500 * MS);
        assertTrue(fixture.sent.size() > 1);
    }

    @Test
    void aRequestedWaitAppliesOnlyToTheRouteIfRoutesAreSeparate() {
        final PolicyFixture separate = PolicyFixture.withTwoEndpoints(PolicyFixture.settings(16, 1, true, false));
        separate.accept("m", SAFE);
        final long first = separate.lastSend("m").endpoint();
        separate.end("m", Result.REFUSED, 1500 * MS);
        assertEquals(2, separate.sendCount("m"));
        assertNotEquals(first, separate.lastSend("m").endpoint());
    }

    @Test
    void aRouteThatIsDelistedAndListedAgainStillHasItsWait() {
        final PolicyFixture separate = new PolicyFixture(PolicyFixture.settings(16, 1, true, false));
        separate.updateList(Update.RESTORED, PolicyFixture.endpoint(1, DESTINATION, "a"));
        separate.accept("m", SAFE);
        separate.end("m", Result.REFUSED, 5 * SECOND);
        separate.updateList(Update.WHOLE);
        separate.updateList(Update.WHOLE, PolicyFixture.endpoint(1, DESTINATION, "a"));
        separate.advance(4900 * MS);
        assertEquals(1, separate.sendCount("m"));
        separate.advance(6 * SECOND);
        assertEquals(2, separate.sendCount("m"));
    }

    @Test
    void aFinishedKeyStartsAgain() {
        fixture.accept("first", ORDERED, "k", 16 * SECOND);
        fixture.end("first", Result.DELIVERED);
        fixture.advance(3 * SECOND);
        fixture.accept("second", ORDERED, "k", 16 * SECOND);
        assertEquals(1, fixture.sendCount("second"));
    }

    @Test
    void messagesOfOneKeyAreOrderedAndRestAfterAnUnansweredAttempt() {
        fixture.accept("first", ORDERED, "k", 16 * SECOND);
        fixture.accept("second", ORDERED, "k", 16 * SECOND);
        assertEquals(0, fixture.sendCount("second"));
        fixture.end("first", Result.TIMED_OUT);
        fixture.advance(2 * SECOND);
        assertTrue(fixture.sendCount("first") >= 2, "the one whose turn it is does not rest");
        assertEquals(0, fixture.sendCount("second"));
        fixture.end("first", Result.DELIVERED);
        assertEquals(0, fixture.sendCount("second"), "the key rests for three seconds from the time-out");
        fixture.advance(1100 * MS);
        assertEquals(1, fixture.sendCount("second"));
    }

    @Test
    void aDeadDestinationGetsRareProbesAndSlowStartAfterItsRecovery() {
        for (int index = 0; index < 30; index++) {
            fixture.accept("m" + index, SAFE, null, 60 * SECOND);
        }
        failFor(20);
        final int before = fixture.sent.size();
        failFor(20);
        final int trials = fixture.sent.size() - before;
        assertTrue(trials >= 3 && trials <= 12, "trials in 20 s: " + trials);
        final int returned = fixture.sent.size();
        serveFor(2);
        assertTrue(fixture.sent.size() - returned <= 3, "no rush at a cold destination");
    }

    /** Separate routes, and destinations that only a message named, are not kept for ever. */
    @Test
    void unusedDestinationsAreForgotten() {
        final PolicyFixture separate = new PolicyFixture(PolicyFixture.settings(16, 1, true, false));
        separate.updateList(Update.WHOLE, PolicyFixture.endpoint(1, DESTINATION, "a"));
        separate.accept("m", SAFE);
        separate.end("m", Result.DELIVERED);
        separate.acceptFor("nowhere", SAFE, 99);
        assertEquals(2, separate.policy.knownDestinations());
        separate.updateList(Update.CHANGES, PolicyFixture.inCondition(Courier.Condition.GONE, 1));
        separate.advance(50 * SECOND);
        assertEquals(1, separate.policy.knownDestinations(), "only the route's wait and outage are still of use");
        separate.advance(15 * SECOND);
        assertEquals(0, separate.policy.knownDestinations());
    }

    /** An outage belongs to the endpoints that had it: an endpoint that replaces them is tried at once. */
    @Test
    void aNewEndpointIsTriedAtOnceAfterAnOutageOfTheOldOnes() {
        for (int index = 0; index < 10; index++) {
            fixture.accept("m" + index, SAFE, null, 60 * SECOND);
        }
        failFor(30);
        fixture.updateList(Update.WHOLE, PolicyFixture.endpoint(3, DESTINATION, "a"));
        assertTrue(fixture.sent.stream().anyMatch(send -> send.endpoint() == 3 && send.atUs() == fixture.nowUs));
    }

    /** Endpoints that closed kept connections at their next use were taken for unhealthy. */
    @Test
    void aResetOnAKeptConnectionClosesTheOthersAndCountsAgainstNoEndpoint() {
        final PolicyFixture one = new PolicyFixture(PolicyFixture.settings());
        one.updateList(Update.RESTORED, PolicyFixture.endpoint(1, DESTINATION, "a"));
        one.accept("warm", SAFE);
        one.end("warm", Result.DELIVERED);
        one.accept("m", SAFE);
        one.end("m", Result.RESET);
        assertEquals(List.of(1L), one.closedIdle);
        assertEquals(2, one.sendCount("m"), "it goes again at once, over a new connection");
        one.end("m", Result.RESET);
        assertEquals(2, one.sendCount("m"), "a new one that is reset is the endpoint's fault");
    }

    /** A refused call of five messages counted as five refusals, so that two of them looked like an outage. */
    @Test
    void aRefusedSharedCallCountsAsOneRefusal() {
        final PolicyFixture shared = new PolicyFixture(PolicyFixture.settings(16, 5, false, false));
        shared.updateList(Update.RESTORED, PolicyFixture.endpoint(1, DESTINATION, "a"));
        for (int index = 0; index < 7; index++) {
            shared.accept("m" + index, SAFE);
        }
        for (int round = 0; round < 3; round++) {
            final List<String> out = shared.sent.stream()
                    .map(PolicyFixture.Sent::id)
                    .distinct()
                    .filter(id -> shared.sendCount(id) > shared.endedAttempts(id))
                    .toList();
            out.forEach(id -> shared.report(id, Result.REFUSED, 100 * MS));
            shared.policy.decide(shared.nowUs);
            shared.advance(1500 * MS);
        }
        final long lastUs = shared.sent.get(shared.sent.size() - 1).atUs();
        assertEquals(
                5, shared.sent.stream().filter(send -> send.atUs() == lastUs).count(), "not a lone trial");
    }

    /** After a false outage, a destination that takes five messages per call got one per call for nine seconds. */
    @Test
    void aRecoveredDestinationIsServedInSharedCalls() {
        final PolicyFixture shared = new PolicyFixture(PolicyFixture.settings(16, 5, false, false));
        shared.updateList(Update.RESTORED, PolicyFixture.endpoint(1, DESTINATION, "a"));
        for (int index = 0; index < 30; index++) {
            shared.accept("m" + index, SAFE, null, 60 * SECOND);
        }
        for (int step = 0; step < 200; step++) {
            final boolean back = step >= 100;
            for (final String id : shared.sent.stream()
                    .map(PolicyFixture.Sent::id)
                    .distinct()
                    .filter(id -> shared.sendCount(id) > shared.endedAttempts(id))
                    .toList()) {
                shared.end(id, back ? Result.DELIVERED : Result.NO_CONNECTION);
            }
            shared.advance(100 * MS);
        }
        final var calls = shared.sent.stream()
                .filter(send -> send.atUs() > 18 * SECOND)
                .collect(java.util.stream.Collectors.groupingBy(
                        PolicyFixture.Sent::atUs, java.util.stream.Collectors.counting()));
        assertTrue(calls.values().stream().anyMatch(count -> count == 5), calls.toString());
    }

    @Test
    void anUnsafeMessageIsTheLastToBeUsedForAProbe() {
        for (int index = 0; index < 4; index++) {
            fixture.accept("m" + index, KEYED);
        }
        failFor(1);
        fixture.accept("pay", UNSAFE);
        fixture.accept("other", KEYED);
        final int before = fixture.sent.size();
        failFor(10);
        assertTrue(fixture.sent.size() > before, "trials were made");
        assertEquals(0, fixture.sendCount("pay"));
    }

    @Test
    void oneUnhealthyEndpointIsAvoidedWhileItsDestinationIsServed() {
        for (int round = 0; round < 40; round++) {
            fixture.accept("m" + round, SAFE);
            outstanding()
                    .forEach(id -> fixture.end(
                            id, fixture.lastSend(id).endpoint() == 1 ? Result.NO_CONNECTION : Result.DELIVERED));
            fixture.advance(200 * MS);
        }
        final long sick =
                fixture.sent.stream().filter(sent -> sent.endpoint() == 1).count();
        assertTrue(sick <= 6, "sends to the sick endpoint: " + sick);
        assertTrue(fixture.sent.size() >= 40);
    }

    /** Incident: hung calls used all slots of couriers with few slots, and healthy destinations starved. */
    @Test
    void anOverdueCallIsCancelledWhenItsSlotIsNeeded() {
        final PolicyFixture tight = new PolicyFixture(PolicyFixture.settings(1, 1, false, false));
        tight.updateList(
                Update.RESTORED, PolicyFixture.endpoint(1, DESTINATION, "a"), PolicyFixture.endpoint(9, 99, "a"));
        tight.accept("hung", UNSAFE);
        tight.policy.onMessage(
                tight.nowUs, new Courier.Message("other", SAFE, -1, null, tight.nowUs + 16 * SECOND, 99));
        tight.advance(5 * SECOND);
        assertEquals(List.of("hung/0"), tight.cancelled);
        tight.end("hung", Result.CANCELLED);
        assertEquals(List.of("hung"), tight.failed);
        assertEquals(1, tight.sendCount("other"));
    }

    /** Incident: idle connections were dropped by the network, and calls over them got no answer, on all endpoints. */
    @Test
    void idleConnectionsAreClosedBeforeUseIfCallsOverThemGetNoAnswer() {
        fixture.updateList(Update.WHOLE, PolicyFixture.endpoint(1, DESTINATION, "a"));
        for (int round = 0; round < 12; round++) {
            fixture.accept("warm" + round, SAFE);
            outstanding().forEach(id -> fixture.end(id, Result.DELIVERED));
        }
        assertTrue(fixture.closedIdle.isEmpty());
        for (int round = 0; round < 6; round++) {
            final int closed = fixture.closedIdle.size();
            fixture.advance(4 * SECOND);
            fixture.accept("idle" + round, SAFE);
            final boolean fresh = fixture.closedIdle.size() > closed;
            fixture.advance(2 * SECOND);
            outstanding().forEach(id -> fixture.end(id, fresh ? Result.DELIVERED : Result.TIMED_OUT));
            fixture.advance(1500 * MS);
            outstanding().forEach(id -> fixture.end(id, Result.DELIVERED));
        }
        assertTrue(fixture.closedIdle.size() >= 2, "closed: " + fixture.closedIdle);
    }

    /** Idle connections of fifty couriers used up the connections of endpoints that accept six to sixteen. */
    @Test
    void manyCouriersDoNotKeepIdleConnections() {
        final PolicyFixture many = PolicyFixture.withTwoEndpoints(PolicyFixture.fleetOf(50));
        many.accept("m", SAFE);
        many.advance(200 * MS);
        many.end("m", Result.DELIVERED);
        assertEquals(List.of(many.lastSend("m").endpoint()), many.closedIdle);
        fixture.accept("m", SAFE);
        fixture.advance(200 * MS);
        fixture.end("m", Result.DELIVERED);
        assertEquals(List.of(), fixture.closedIdle, "a small fleet keeps them");
    }

    /** With slow destinations, calls that this courier had cancelled were taken for dead idle connections. */
    @Test
    void aCancelledCallDoesNotMakeIdleConnectionsUntrusted() {
        final PolicyFixture two = new PolicyFixture(PolicyFixture.settings(2, 1, false, false));
        two.updateList(
                Update.RESTORED,
                PolicyFixture.endpoint(1, DESTINATION, "a"),
                PolicyFixture.endpoint(2, DESTINATION + 1, "a"),
                PolicyFixture.endpoint(3, DESTINATION + 2, "a"));
        two.accept("warm", SAFE);
        two.advance(200 * MS);
        two.end("warm", Result.DELIVERED);
        two.advance(4 * SECOND);
        two.accept("slow", SAFE);
        two.acceptFor("slow2", SAFE, DESTINATION + 1);
        two.advance(4 * SECOND);
        two.acceptFor("other", SAFE, DESTINATION + 2);
        assertEquals(List.of("slow/0"), two.cancelled, "a slot was wanted");
        two.end("slow", Result.CANCELLED);
        two.advance(200 * MS);
        two.end("other", Result.DELIVERED);
        two.advance(3 * SECOND);
        two.acceptFor("again", SAFE, DESTINATION + 2);
        two.advance(10 * MS);
        assertEquals(List.of(), two.closedIdle, "no idle connection is given up for it");
    }

    /** A route used once a minute has had no steps to grow its window in, and its messages come in bursts. */
    @Test
    void aRouteOfALargeFleetStartsWithAWiderWindow() {
        final PolicyFixture many = PolicyFixture.withTwoEndpoints(PolicyFixture.fleetOf(50));
        for (int index = 0; index < 10; index++) {
            many.accept("m" + index, SAFE);
            fixture.accept("m" + index, SAFE);
        }
        assertEquals(4, many.sent.size());
        assertEquals(2, fixture.sent.size());
    }

    /** Incident: the probes of hundreds of couriers overloaded recovering destinations. */
    @Test
    void theProbesOfManyCouriersStayUnderTwoThirdsOfARecoveringDestinationsOverload() {
        final int couriers = 120;
        final double arrivals = 3;
        final List<PolicyFixture> fleet = new ArrayList<>();
        for (int index = 0; index < couriers; index++) {
            final PolicyFixture one = new PolicyFixture(PolicyFixture.fleetOf(couriers), PolicyFixture.seed(index));
            one.updateList(
                    Update.RESTORED,
                    PolicyFixture.endpoint(1, DESTINATION, "a"),
                    PolicyFixture.endpoint(2, DESTINATION, "b"));
            one.advance((long) (index / arrivals * SECOND));
            one.accept("m" + index, SAFE, null, 60 * SECOND);
            fleet.add(one);
        }
        final long fromUs = 25 * SECOND;
        final long untilUs = 45 * SECOND;
        int trials = 0;
        for (final PolicyFixture one : fleet) {
            while (one.nowUs < untilUs) {
                failOutstanding(one);
                one.advance(100 * MS);
            }
            final long firstUs = one.sent.get(0).atUs();
            trials += one.sent.stream()
                    .filter(send ->
                            send.atUs() >= fromUs && send.atUs() < untilUs && send.atUs() > firstUs + 2 * SECOND)
                    .count();
        }
        // The rule's bound: two thirds of the overload from couriers that saw the outage, while the first calls of the
        // others amount to the arrivals. (The overload rate alone would be 24 of the 120: couriers are younger than
        // outages.)
        final double most = 2 * arrivals * (untilUs - fromUs) / SECOND;
        assertTrue(trials > 0 && trials <= most, trials + " trials, at most " + most);
    }

    /** Incident: all couriers that were told when a closed destination opens returned at that moment. */
    @Test
    void couriersWithTheSameWaitDoNotReturnTogether() {
        final List<Long> returns = new ArrayList<>();
        for (int seed = 0; seed < 30; seed++) {
            final PolicyFixture one = new PolicyFixture(PolicyFixture.fleetOf(50), PolicyFixture.seed(seed));
            one.updateList(Update.RESTORED, PolicyFixture.endpoint(1, DESTINATION, "a"));
            one.accept("m", SAFE);
            one.end("m", Result.REFUSED, 4 * SECOND);
            one.advance(3999 * MS);
            assertEquals(1, one.sendCount("m"), "the wait is heeded");
            one.advance(10 * SECOND);
            if (one.sendCount("m") > 1) {
                returns.add(one.lastSend("m").atUs());
            }
        }
        assertTrue(returns.size() >= 8, "some look soon: " + returns.size());
        final long first = returns.stream().mapToLong(Long::longValue).min().orElseThrow();
        final long together = returns.stream().filter(at -> at < first + SECOND).count();
        assertTrue(together <= returns.size() / 2, together + " of " + returns.size() + " within a second");
    }

    @Test
    void anEndpointThatFailsOneClassKeepsServingTheOthers() {
        for (int round = 0; round < 30; round++) {
            fixture.accept("keyed" + round, KEYED);
            fixture.accept("safe" + round, SAFE);
            fixture.advance(300 * MS);
            outstanding()
                    .forEach(id -> fixture.end(
                            id,
                            id.startsWith("keyed") && fixture.lastSend(id).endpoint() == 1
                                    ? Result.RESET
                                    : Result.DELIVERED));
            outstanding().forEach(id -> fixture.end(id, Result.DELIVERED));
        }
        final long sick = fixture.sent.stream()
                .filter(s -> s.endpoint() == 1 && s.id().startsWith("keyed"))
                .count();
        final long well = fixture.sent.stream()
                .filter(s -> s.endpoint() == 1 && s.id().startsWith("safe"))
                .count();
        assertTrue(sick <= 6, "sparing tries of the failing class: " + sick);
        assertTrue(well >= 2 * sick, "the other class goes on there: " + well);
    }

    /** Unsafe messages wait for their answers to the end at one of two endpoints; the other one continues to serve. */
    @Test
    void aSilentEndpointDoesNotStopItsDestination() {
        fixture.updateList(
                Update.WHOLE, PolicyFixture.endpoint(1, DESTINATION, "a"), PolicyFixture.endpoint(2, DESTINATION, "a"));
        serveFor(8);
        for (int index = 0; index < 8; index++) {
            fixture.accept("pay" + index, UNSAFE);
        }
        fixture.advance(100 * MS);
        answerAt(2);
        assertTrue(inFlight().count() >= 3, "enough are stuck to look like an outage");
        for (int round = 0; round < 100; round++) {
            fixture.accept("late" + round, SAFE);
            fixture.advance(100 * MS);
            answerAt(2);
        }
        final long served = IntStream.range(50, 100)
                .filter(round -> fixture.sendCount("late" + round) > 0)
                .count();
        assertTrue(served >= 45, "of the last 50: " + served);
    }

    /** Unsafe messages still wait for their answers when their destination has long recovered. */
    @Test
    void hungCallsDoNotPreventProbesOfTheirDestination() {
        serveFor(8);
        for (int index = 0; index < 4; index++) {
            fixture.accept("pay" + index, UNSAFE);
        }
        fixture.advance(4 * SECOND);
        final List<String> stuck = inFlight().toList();
        assertTrue(stuck.size() >= 3, "an outage: " + stuck);
        for (int round = 0; round < 60; round++) {
            fixture.accept("late" + round, SAFE);
            fixture.advance(100 * MS);
            inFlight().filter(id -> !stuck.contains(id)).toList().forEach(id -> fixture.end(id, Result.DELIVERED));
        }
        assertTrue(stuck.stream().allMatch(id -> fixture.endedAttempts(id) == 0), "still out");
        final long served = IntStream.range(0, 60)
                .filter(round -> fixture.endedAttempts("late" + round) > 0)
                .count();
        assertTrue(served >= 10, "of 60, on the ramp of a cold destination: " + served);
    }

    /** Calls in flight together are refused together, in less time than anything could be served. */
    @Test
    void aBurstOfRefusalsAfterASuccessIsNoOutage() {
        for (int round = 0; round < 100; round++) {
            for (int index = 0; index < 6; index++) {
                fixture.accept("busy" + round + "-" + index, SAFE);
            }
            fixture.advance(100 * MS);
            inFlight().toList().forEach(id -> fixture.end(id, Result.DELIVERED));
            inFlight().toList().forEach(id -> fixture.end(id, Result.DELIVERED));
        }
        for (int index = 0; index < 20; index++) {
            fixture.accept("m" + index, SAFE);
        }
        final List<String> together = inFlight().toList();
        assertTrue(together.size() >= 7, "enough to weigh like an outage: " + together);
        fixture.end(together.get(0), Result.DELIVERED);
        together.subList(1, together.size()).forEach(id -> fixture.end(id, Result.REFUSED));
        fixture.advance(2 * SECOND);
        assertTrue(inFlight().count() >= 2, "not a lone trial: " + inFlight().toList());
    }

    /** A reset of a kept connection costs a safe message a little time, but ends an unsafe one. */
    @Test
    void anUnsafeMessageGetsAFreshConnectionWhereKeptOnesWereReset() {
        fixture.updateList(Update.WHOLE, PolicyFixture.endpoint(1, DESTINATION, "a"));
        serveFor(2);
        fixture.accept("safe", SAFE);
        fixture.end("safe", Result.RESET);
        fixture.end("safe", Result.DELIVERED);
        fixture.closedIdle.clear();
        fixture.accept("again", SAFE);
        assertTrue(fixture.closedIdle.isEmpty(), "a safe one may try a kept connection");
        fixture.end("again", Result.DELIVERED);
        fixture.accept("pay", UNSAFE);
        assertEquals(List.of(1L), fixture.closedIdle);
        fixture.end("pay", Result.DELIVERED);
        serveFor(11);
        fixture.closedIdle.clear();
        fixture.accept("pay later", UNSAFE);
        assertTrue(fixture.closedIdle.isEmpty(), "no reset for as long as a connection is kept");
    }

    /** Two couriers share a limit: each keeps to its part, and uses the other's if that is unused. */
    @ParameterizedTest
    @CsvSource({"0, 8, 12", "1, 13, 30"})
    void aReportedLimitIsDividedAmongTheCouriers(final double shareLeft, final long least, final long most) {
        for (int tenth = 0; tenth < 100; tenth++) {
            for (int index = 0; index < 4; index++) {
                fixture.accept("m" + tenth + "-" + index, SAFE);
            }
            for (int step = 0; step < 10; step++) {
                inFlight().toList().forEach(id -> fixture.deliver(id, new Courier.ReportedLimit(shareLeft, 20)));
                fixture.advance(10 * MS);
            }
        }
        final long lastUs = fixture.nowUs - SECOND;
        final long sends =
                fixture.sent.stream().filter(send -> send.atUs() >= lastUs).count();
        assertTrue(sends >= least && sends <= most, "a second, of a limit of 20: " + sends);
    }

    private Stream<String> inFlight() {
        return fixture.sent.stream()
                .map(PolicyFixture.Sent::id)
                .distinct()
                .filter(id -> fixture.sendCount(id) > fixture.endedAttempts(id));
    }

    private void answerAt(final long endpoint) {
        inFlight()
                .filter(id -> fixture.lastSend(id).endpoint() == endpoint)
                .toList()
                .forEach(id -> fixture.end(id, Result.DELIVERED));
    }

    /** A hung destination returns nothing, and Table I alone would let its window grow. */
    @Test
    void aSilentDestinationCountsAsAnOutage() {
        serveFor(1);
        for (int index = 0; index < 20; index++) {
            fixture.accept("m" + index, SAFE, null, 60 * SECOND);
        }
        final int before = fixture.sent.size();
        fixture.advance(12 * SECOND);
        assertTrue(fixture.sent.size() - before <= 4, "sends into silence: " + (fixture.sent.size() - before));
    }

    /** Couriers share nothing: after refusals, sends are spread out, so that no burst falls into one counted span. */
    @Test
    void sendsAreSpacedAfterAStepWithRefusals() {
        serveFor(5);
        for (int index = 0; index < 30; index++) {
            fixture.accept("m" + index, SAFE);
        }
        outstanding().forEach(id -> fixture.end(id, Result.REFUSED));
        fixture.advance(2 * SECOND);
        final int before = fixture.sent.size();
        for (int tenth = 0; tenth < 5; tenth++) {
            outstanding().forEach(id -> fixture.end(id, Result.DELIVERED));
            fixture.advance(100 * MS);
        }
        final int sent = fixture.sent.size() - before;
        assertTrue(sent <= 8, "no burst: " + sent);
    }

    @Test
    void anExactLimitBoundsTheSendRateFromTheStart() {
        final PolicyFixture told = PolicyFixture.withTwoEndpoints(PolicyFixture.settingsWithExactLimit());
        told.accept("first", SAFE);
        told.end("first", Result.DELIVERED);
        told.accept("second", SAFE);
        assertEquals(0, told.sendCount("second"), "one call a second is told");
        told.advance(1100 * MS);
        assertEquals(1, told.sendCount("second"));
    }

    /**
     * A limit counts calls: if each unsafe message took its own call, a queue of them would leave no capacity for
     * others.
     */
    @Test
    void unsafeMessagesShareACallOnlyWithUnsafeOnes() {
        final PolicyFixture shared = new PolicyFixture(PolicyFixture.settings(16, 5, false, false));
        for (int index = 0; index < 6; index++) {
            shared.accept("m" + index, index % 2 == 0 ? UNSAFE : SAFE);
        }
        shared.updateList(Update.WHOLE, PolicyFixture.endpoint(1, DESTINATION, "a"));
        assertEquals(6, shared.sent.size(), "two calls, as many as the window lets go");
        assertEquals(
                List.of("m0", "m2", "m4"),
                shared.sent.stream()
                        .map(PolicyFixture.Sent::id)
                        .sorted()
                        .filter(id -> shared.lastSend(id).timeoutUs() == 16 * SECOND)
                        .toList(),
                "only these wait to the end");
    }

    @Test
    void messagesThatWaitTogetherShareACall() {
        final PolicyFixture shared = new PolicyFixture(PolicyFixture.settings(16, 5, false, false));
        for (int index = 0; index < 5; index++) {
            shared.accept("m" + index, SAFE);
        }
        shared.updateList(Update.RESTORED, PolicyFixture.endpoint(1, DESTINATION, "a"));
        assertEquals(5, shared.sent.size());
    }

    @Test
    void spaceIsKeptFreeForNewMessages() {
        final PolicyFixture empty = new PolicyFixture(PolicyFixture.settings());
        for (int index = 0; index < 60; index++) {
            empty.accept("m" + index, index % 2 == 0 ? SAFE : KEYED);
            assertTrue(index + 1 - empty.refused.size() < 40);
        }
        assertTrue(empty.refused.size() >= 20, "room is made for each");
    }

    /** Relative to the class's value: a late message worth two is refused before a fresh one worth one. */
    @Test
    void messagesWithTheLeastToGainAreRefusedFirst() {
        final PolicyFixture empty = new PolicyFixture(PolicyFixture.settings());
        for (int index = 0; index < 20; index++) {
            empty.accept("late" + index, SAFE);
        }
        empty.advance(8 * SECOND);
        for (int index = 0; index < 35; index++) {
            empty.accept("fresh" + index, KEYED);
        }
        assertTrue(empty.refused.stream().allMatch(id -> id.startsWith("late")), empty.refused.toString());
        assertTrue(empty.refused.size() >= 15, empty.refused.toString());
    }

    @Test
    void theListIsFollowedOnceAndAgainWithBackOffAfterALoss() {
        final PolicyFixture asking = new PolicyFixture(PolicyFixture.settings(16, 1, false, true));
        asking.updateList(Update.RESTORED, PolicyFixture.endpoint(1, DESTINATION, "a"));
        assertEquals(1, asking.listRequests);
        asking.updateList(Update.CHANGES);
        asking.advance(30 * SECOND);
        assertEquals(1, asking.listRequests);
        asking.updateList(Update.LOST);
        assertEquals(1, asking.listRequests, "not at once");
        asking.advance(2 * SECOND);
        assertEquals(2, asking.listRequests);
    }

    @Test
    void aWithdrawnMessageAndItsLateOutcomeAreIgnored() {
        fixture.accept("m", SAFE);
        fixture.policy.onWithdrawn(fixture.nowUs, "m");
        fixture.end("m", Result.TIMED_OUT);
        fixture.policy.onWithdrawn(fixture.nowUs, "m");
        fixture.advance(20 * SECOND);
        assertEquals(1, fixture.sendCount("m"));
        assertTrue(fixture.refused.isEmpty() && fixture.failed.isEmpty());
    }

    @Test
    void theSameEventsGiveTheSameActions() {
        final PolicyFixture twin = PolicyFixture.withTwoEndpoints(PolicyFixture.settings());
        for (final PolicyFixture one : List.of(fixture, twin)) {
            for (int index = 0; index < 10; index++) {
                one.accept("m" + index, SAFE);
            }
            one.advance(5 * SECOND);
        }
        assertEquals(fixture.sent, twin.sent);
    }

    private List<String> outstanding() {
        return outstandingOf(fixture);
    }

    private final List<PolicyFixture.Sent> answered = new ArrayList<>();

    private List<String> outstandingOf(final PolicyFixture of) {
        final List<String> open = new ArrayList<>();
        for (final PolicyFixture.Sent sent : List.copyOf(of.sent)) {
            if (answered.stream().noneMatch(end -> end == sent)) {
                answered.add(sent);
                open.add(sent.id());
            }
        }
        return open;
    }

    private static void failOutstanding(final PolicyFixture one) {
        one.sent.stream()
                .map(PolicyFixture.Sent::id)
                .distinct()
                .filter(id -> one.sendCount(id) > one.endedAttempts(id))
                .toList()
                .forEach(id -> one.end(id, Result.NO_CONNECTION));
    }

    private void failFor(final int seconds) {
        for (int tenth = 0; tenth < 10 * seconds; tenth++) {
            outstanding().forEach(id -> fixture.end(id, Result.NO_CONNECTION));
            fixture.advance(100 * MS);
        }
    }

    private void serveFor(final int seconds) {
        for (int tenth = 0; tenth < 10 * seconds; tenth++) {
            fixture.accept("served" + fixture.nowUs, SAFE);
            fixture.advance(100 * MS);
            outstanding().forEach(id -> fixture.end(id, Result.DELIVERED));
        }
    }

    private static void resume(
            final PolicyFixture fixture, final String id, final int classIndex, final Courier.MessageHistory history) {
        fixture.policy.onResumed(
                fixture.nowUs,
                new Courier.Message(
                        id, classIndex, -1, null, fixture.nowUs + 16 * PolicyFixture.SECOND, PolicyFixture.DESTINATION),
                history);
        fixture.policy.decide(fixture.nowUs);
    }

    @Test
    void aResumedMessageKeepsItsHistory() {
        final PolicyFixture fixture = PolicyFixture.withTwoEndpoints(PolicyFixture.settings());
        resume(fixture, "safe", 0, new Courier.MessageHistory(1, true, fixture.nowUs - PolicyFixture.SECOND, "a"));
        assertEquals(1, fixture.sendCount("safe"), "a safe one may go again");
        resume(fixture, "spent", 0, new Courier.MessageHistory(8, true, fixture.nowUs - PolicyFixture.SECOND, "a"));
        assertEquals(0, fixture.sendCount("spent"), "its attempts are used up");
        resume(
                fixture,
                "forgotten",
                1,
                new Courier.MessageHistory(1, true, fixture.nowUs - 6 * PolicyFixture.SECOND, "a"));
        assertEquals(0, fixture.sendCount("forgotten"), "its key may be forgotten");
        resume(fixture, "unsafe", 2, new Courier.MessageHistory(1, true, fixture.nowUs - PolicyFixture.SECOND, "a"));
        assertEquals(0, fixture.sendCount("unsafe"), "it may have run");
        assertEquals(List.of("unsafe"), fixture.failed);
        assertEquals(List.of("spent", "forgotten"), fixture.refused);
    }

    @Test
    void noCallBeginsThatAStopWouldCutOff() {
        final PolicyFixture fixture = PolicyFixture.withTwoEndpoints(PolicyFixture.settings());
        fixture.policy.onStopping(fixture.nowUs, fixture.nowUs + PolicyFixture.MS);
        fixture.accept("late", 0);
        assertEquals(0, fixture.sendCount("late"));
        assertTrue(fixture.refused.isEmpty() && fixture.failed.isEmpty(), "the next process goes on with it");
        fixture.policy.onStopping(fixture.nowUs, fixture.nowUs + 10 * PolicyFixture.SECOND);
        fixture.advance(PolicyFixture.SECOND);
        assertEquals(1, fixture.sendCount("late"));
    }

    private static void disable(final PolicyFixture fixture, final Long... endpoints) {
        fixture.policy.onEndpointsDisabled(fixture.nowUs, Set.of(endpoints));
        fixture.policy.decide(fixture.nowUs);
    }

    @Test
    void aDisabledEndpointGetsNothingEvenIfItIsListed() {
        final PolicyFixture fixture = PolicyFixture.withTwoEndpoints(PolicyFixture.settings());
        disable(fixture, 1L);
        fixture.updateList(
                Update.WHOLE,
                PolicyFixture.endpoint(1, PolicyFixture.DESTINATION, "a"),
                PolicyFixture.endpoint(2, PolicyFixture.DESTINATION, "b"));
        for (int count = 0; count < 20; count++) {
            fixture.accept("m" + count, 0);
            fixture.end("m" + count, Result.DELIVERED);
        }
        assertEquals(20, fixture.sent.size());
        assertTrue(fixture.sent.stream().allMatch(send -> send.endpoint() == 2));
    }

    /** Calls cut off by the restart of a disabled endpoint say nothing about the destination's health. */
    @Test
    void resetsFromADisabledEndpointDoNotOpenTheCircuit() {
        final PolicyFixture fixture = PolicyFixture.withTwoEndpoints(PolicyFixture.settings());
        final List<String> cut = new ArrayList<>();
        for (int count = 0; count < 4; count++) {
            fixture.advance(2 * PolicyFixture.SECOND);
            fixture.accept("m" + count, 0);
            cut.add("m" + count);
            disable(fixture, fixture.lastSend("m" + count).endpoint());
            fixture.end("m" + count, Result.RESET);
            fixture.end("m" + count, Result.DELIVERED);
            disable(fixture);
        }
        assertTrue(fixture.policy.describe(fixture.nowUs).startsWith("open 0"));
        fixture.accept("next", 0);
        assertEquals(1, fixture.sendCount("next"), "nothing is held back");
    }

    /** The only endpoint of a destination is enabled again and cold: waiting messages must not be sent in a burst. */
    @Test
    void aDestinationWhoseOnlyEndpointIsEnabledAgainIsPacedLikeAColdOne() {
        final PolicyFixture fixture = new PolicyFixture(PolicyFixture.settings());
        fixture.updateList(Update.RESTORED, PolicyFixture.endpoint(1, PolicyFixture.DESTINATION, "a"));
        disable(fixture, 1L);
        for (int count = 0; count < 12; count++) {
            fixture.accept("m" + count, 0);
        }
        assertTrue(fixture.sent.isEmpty());
        fixture.advance(PolicyFixture.SECOND);
        disable(fixture);
        assertEquals(1, fixture.sent.size(), "one at first");
        fixture.end(fixture.sent.get(0).id(), Result.DELIVERED);
        fixture.advance(300 * PolicyFixture.MS);
        assertEquals(1, fixture.sent.size(), "and the next only after a cold one's gap");
        fixture.advance(10 * PolicyFixture.SECOND);
        assertTrue(fixture.sent.size() > 1);
    }

    /** Of two endpoints, the one that was enabled again gets fewer calls than the warm one, but gets some. */
    @Test
    void anEnabledEndpointGetsLessWhileItIsCold() {
        final PolicyFixture fixture = PolicyFixture.withTwoEndpoints(PolicyFixture.settings());
        disable(fixture, 1L);
        fixture.advance(20 * PolicyFixture.SECOND);
        disable(fixture);
        for (int count = 0; count < 12; count++) {
            fixture.accept("w" + count, 0);
            fixture.end("w" + count, Result.DELIVERED);
        }
        assertTrue(fixture.sent.stream().allMatch(send -> send.endpoint() == 2), fixture.sent.toString());
        fixture.advance(11 * PolicyFixture.SECOND);
        for (int count = 0; count < 12; count++) {
            fixture.accept("x" + count, 0);
        }
        assertTrue(fixture.sent.stream().anyMatch(send -> send.endpoint() == 1), fixture.sent.toString());
    }

    /**
     * A list from before the start may name endpoints that drain by now, so the first answer of discovery is awaited.
     */
    @Test
    void nothingIsSentOnARestoredListUntilItIsConfirmedOrUnavailable() {
        for (final Update news : List.of(Update.CHANGES, Update.WHOLE, Update.LOST)) {
            final PolicyFixture fixture = PolicyFixture.withTwoEndpoints(PolicyFixture.settings(4, 1, false, true));
            fixture.updateList(Update.RESTORED, PolicyFixture.endpoint(1, DESTINATION, "a"));
            fixture.accept("m", 0);
            fixture.advance(SECOND);
            assertEquals(0, fixture.sendCount("m"));
            fixture.updateList(
                    news,
                    news == Update.LOST
                            ? new Courier.Endpoint[0]
                            : new Courier.Endpoint[] {PolicyFixture.endpoint(1, DESTINATION, "a")});
            fixture.advance(100 * MS);
            assertEquals(1, fixture.sendCount("m"), news.name());
        }
    }

    private static Courier.DestinationState predecessorState(
            final int callsOut, final Courier.CircuitState phase, final long waitUntilUs) {
        return new Courier.DestinationState(
                DESTINATION,
                callsOut,
                phase,
                waitUntilUs,
                0,
                Long.MAX_VALUE,
                0,
                0,
                8,
                5,
                5,
                0,
                0,
                Double.POSITIVE_INFINITY,
                1);
    }

    /** A wait that the predecessor process was asked for also binds this one: they are one courier. */
    @Test
    void aWaitOfThePredecessorIsKept() {
        final PolicyFixture fixture = PolicyFixture.withTwoEndpoints(PolicyFixture.settings());
        fixture.policy.onPredecessorState(
                fixture.nowUs, predecessorState(0, Courier.CircuitState.CLOSED, fixture.nowUs + SECOND));
        fixture.accept("m", 0);
        fixture.advance(SECOND - MS);
        assertEquals(0, fixture.sendCount("m"));
        fixture.advance(100 * MS);
        assertEquals(1, fixture.sendCount("m"));
    }

    /** Calls that the predecessor process still has in flight count against slots and shares until they end. */
    @Test
    void callsOfThePredecessorCountUntilTheyEnd() {
        final PolicyFixture fixture = PolicyFixture.withTwoEndpoints(PolicyFixture.settings(4, 1, false, false));
        fixture.policy.onPredecessorState(fixture.nowUs, predecessorState(3, Courier.CircuitState.CLOSED, 0));
        fixture.accept("m", 0);
        assertEquals(0, fixture.sendCount("m"), "three of four slots are its share");
        fixture.policy.onPredecessorState(fixture.nowUs, predecessorState(1, Courier.CircuitState.CLOSED, 0));
        fixture.policy.decide(fixture.nowUs);
        assertEquals(1, fixture.sendCount("m"));
        for (int count = 0; count < 4; count++) {
            fixture.accept("n" + count, 0);
        }
        fixture.advance(500 * MS);
        assertEquals(2, fixture.sent.size());
        fixture.policy.onPredecessorGone(fixture.nowUs);
        fixture.policy.decide(fixture.nowUs);
        fixture.advance(500 * MS);
        assertEquals(3, fixture.sent.size(), "all of its share is this one's");
    }

    /** While the predecessor has calls in flight, nothing is sent there if its state is not known recently enough. */
    @Test
    void nothingIsSentWhereASilentPredecessorHasCallsInFlight() {
        final PolicyFixture fixture = PolicyFixture.withTwoEndpoints(PolicyFixture.settings());
        fixture.policy.onPredecessorState(fixture.nowUs, predecessorState(1, Courier.CircuitState.CLOSED, 0));
        fixture.policy.onPredecessorFresh(fixture.nowUs, fixture.nowUs - 1);
        fixture.accept("m", 0);
        fixture.advance(SECOND);
        assertEquals(0, fixture.sendCount("m"));
        fixture.policy.onPredecessorFresh(fixture.nowUs, fixture.nowUs + 60 * MS);
        fixture.advance(50 * MS);
        assertEquals(1, fixture.sendCount("m"), "looked at again without anything else that happens");
        fixture.policy.onPredecessorFresh(fixture.nowUs, fixture.nowUs - 1);
        fixture.policy.onPredecessorState(fixture.nowUs, predecessorState(0, Courier.CircuitState.CLOSED, 0));
        fixture.accept("n", 0);
        fixture.advance(50 * MS);
        assertEquals(1, fixture.sendCount("n"), "no calls are out there any more");
    }

    /**
     * An outage seen by the predecessor process is known to this one: probes, and slow start after the first success.
     */
    @Test
    void anOutageSeenByThePredecessorIsKnown() {
        final PolicyFixture fixture = PolicyFixture.withTwoEndpoints(PolicyFixture.settings());
        fixture.policy.onPredecessorState(fixture.nowUs, predecessorState(0, Courier.CircuitState.OPEN, 0));
        for (int count = 0; count < 5; count++) {
            fixture.accept("m" + count, 0);
        }
        fixture.advance(20 * SECOND);
        assertTrue(fixture.sent.size() <= 1, "one trial at a time: " + fixture.sent);
    }

    @Test
    void learntStateIsExportedUnchanged() {
        final PolicyFixture fixture = PolicyFixture.withTwoEndpoints(PolicyFixture.settings());
        fixture.accept("m", 0);
        fixture.end("m", Result.REFUSED, 700 * MS);
        fixture.accept("n", 0);
        final Courier.DestinationState state = fixture.policy.exportState().get(0);
        assertEquals(DESTINATION, state.destination());
        assertEquals(0, state.callsInFlight());
        assertEquals(fixture.nowUs + 700 * MS, state.waitUntilUs());
        final PolicyFixture next = PolicyFixture.withTwoEndpoints(PolicyFixture.settings());
        next.policy.onPredecessorState(next.nowUs, state);
        assertEquals(state, next.policy.exportState().get(0).onClock(0));
    }
}
