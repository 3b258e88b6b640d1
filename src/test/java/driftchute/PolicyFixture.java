package driftchute;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A courier under test with a manual clock, recorded actions, and short methods for the events. */
final class PolicyFixture implements Courier.Actions {
    static final long MS = 1000;
    static final long SECOND = 1_000_000;
    static final long DESTINATION = 57;

    /** A recorded send. */
    record Sent(String id, long endpoint, long timeoutUs, long atUs) {}

    final List<Sent> sent = new ArrayList<>();
    final List<String> refused = new ArrayList<>();
    final List<String> failed = new ArrayList<>();
    final List<String> cancelled = new ArrayList<>();
    final List<Long> closedIdle = new ArrayList<>();
    int listRequests;
    final DeliveryPolicy policy;
    long nowUs = 5 * SECOND;
    private final List<Long> wakeUps = new ArrayList<>();
    private final Map<String, Integer> endedAttempts = new LinkedHashMap<>();

    PolicyFixture(final Courier.Settings settings) {
        this(settings, 42);
    }

    PolicyFixture(final Courier.Settings settings, final long seed) {
        this.policy = new DeliveryPolicy(settings, seed, this);
    }

    /** Well-mixed seeds for a fleet; neighbouring seeds would give similar random numbers at first. */
    static long seed(final int courier) {
        return (courier + 1) * 0x9E3779B97F4A7C15L;
    }

    /** Two endpoints of one destination, listed from the start. */
    static PolicyFixture withTwoEndpoints(final Courier.Settings settings) {
        final PolicyFixture scene = new PolicyFixture(settings);
        scene.updateList(Courier.Update.RESTORED, endpoint(1, DESTINATION, "a"), endpoint(2, DESTINATION, "b"));
        return scene;
    }

    static Courier.Endpoint endpoint(final long id, final long destination, final String zone) {
        return new Courier.Endpoint(id, Courier.Condition.LISTED, zone, 1, 0, destination);
    }

    static Courier.Endpoint inCondition(final Courier.Condition condition, final long id) {
        return new Courier.Endpoint(id, condition, "a", 1, 0, DESTINATION);
    }

    /** Settings with all classes of the tests: 0 safe, 1 keyed, 2 unsafe, 3 ordered, 4 keyed per zone. */
    static Courier.Settings settings(
            final int slots, final int perCall, final boolean separateRoutes, final boolean onRequest) {
        final List<Courier.MessageClass> classes = List.of(
                messageClass("safe", Courier.Effect.SAFE, false, false, 2),
                messageClass("keyed", Courier.Effect.KEYED, false, false, 1),
                messageClass("unsafe", Courier.Effect.UNSAFE, false, false, 1),
                messageClass("turn", Courier.Effect.SAFE, false, true, 1),
                messageClass("zoned", Courier.Effect.KEYED, true, false, 1));
        return settings(slots, perCall, separateRoutes, onRequest, Courier.LimitHint.NONE, classes);
    }

    private static Courier.Settings settings(
            final int slots,
            final int perCall,
            final boolean separateRoutes,
            final boolean onRequest,
            final Courier.LimitHint weights,
            final List<Courier.MessageClass> classes) {
        return new Courier.Settings(
                2,
                "a",
                onRequest,
                weights,
                Courier.ValueDecay.LINEAR,
                classes,
                List.of(),
                List.of(new Courier.DestinationKind("std", separateRoutes, perCall)),
                new Courier.Guarantees(10 * SECOND, 0.2, 10 * SECOND, 2, 3 * SECOND),
                new Courier.Limits(slots, 40, 8, true, 10 * SECOND, 1, 2 * SECOND));
    }

    /** As {@link #settings()}, with an exact limit in the list. */
    static Courier.Settings settingsWithExactLimit() {
        return settings(16, 1, false, false, Courier.LimitHint.EXACT, settings().classes());
    }

    static Courier.Settings settings() {
        return settings(16, 1, false, false);
    }

    /** As {@link #settings()}, in a fleet of that size. */
    static Courier.Settings fleetOf(final int couriers) {
        final Courier.Settings few = settings();
        return new Courier.Settings(
                couriers,
                few.zone(),
                few.listOnRequest(),
                few.limitHint(),
                few.valueDecay(),
                few.classes(),
                few.tenants(),
                few.destinationKinds(),
                few.guarantees(),
                few.limits());
    }

    private static Courier.MessageClass messageClass(
            final String name,
            final Courier.Effect effect,
            final boolean zoneKeyed,
            final boolean ordered,
            final double value) {
        return new Courier.MessageClass(
                name, effect, zoneKeyed, ordered, value, 0.5, 2 * SECOND, 16 * SECOND, 6 * SECOND);
    }

    void updateList(final Courier.Update update, final Courier.Endpoint... entries) {
        policy.onListUpdate(nowUs, update, List.of(entries));
        policy.decide(nowUs);
    }

    void accept(final String id, final int classIndex) {
        accept(id, classIndex, null, 16 * SECOND);
    }

    void accept(final String id, final int classIndex, final String key, final long timeoutUs) {
        policy.onMessage(nowUs, new Courier.Message(id, classIndex, -1, key, nowUs + timeoutUs, DESTINATION));
        policy.decide(nowUs);
    }

    /** Accepts a message for another destination. */
    void acceptFor(final String id, final int classIndex, final long destination) {
        policy.onMessage(nowUs, new Courier.Message(id, classIndex, -1, null, nowUs + 16 * SECOND, destination));
        policy.decide(nowUs);
    }

    /** Ends the last attempt of a message. */
    void end(final String id, final Courier.Result result) {
        end(id, result, 0);
    }

    void end(final String id, final Courier.Result result, final long waitUs) {
        report(id, result, waitUs);
        policy.decide(nowUs);
    }

    /** Delivers a message whose answer reports the destination's limit. */
    void deliver(final String id, final Courier.ReportedLimit limit) {
        report(id, Courier.Result.DELIVERED, 0, limit);
        policy.decide(nowUs);
    }

    /** As {@link #end}, without a decision yet. */
    void report(final String id, final Courier.Result result, final long waitUs) {
        report(id, result, waitUs, null);
    }

    private void report(
            final String id, final Courier.Result result, final long waitUs, final Courier.ReportedLimit limit) {
        final Sent last = lastSend(id);
        endedAttempts.merge(id, 1, Integer::sum);
        policy.onOutcome(
                nowUs,
                new Courier.Outcome(
                        id,
                        result,
                        result == Courier.Result.DELIVERED,
                        last.endpoint(),
                        nowUs - last.atUs(),
                        waitUs,
                        limit));
    }

    /** Advances the clock and delivers the wake-ups that were requested. */
    void advance(final long us) {
        final long until = nowUs + us;
        while (true) {
            final long next = wakeUps.stream().mapToLong(Long::longValue).min().orElse(Long.MAX_VALUE);
            if (next > until) {
                nowUs = until;
                return;
            }
            nowUs = next;
            final long due = next;
            wakeUps.removeIf(at -> at <= due);
            policy.decide(nowUs);
        }
    }

    Sent lastSend(final String id) {
        return sent.stream()
                .filter(send -> send.id().equals(id))
                .reduce((first, second) -> second)
                .orElseThrow();
    }

    /** Number of a message's attempts that have ended. */
    long endedAttempts(final String id) {
        return endedAttempts.getOrDefault(id, 0);
    }

    long sendCount(final String id) {
        return sent.stream().filter(send -> send.id().equals(id)).count();
    }

    @Override
    public void send(final String messageId, final long endpoint, final long timeoutUs) {
        sent.add(new Sent(messageId, endpoint, timeoutUs, nowUs));
    }

    @Override
    public void refuse(final String messageId, final long retryAfterUs) {
        refused.add(messageId);
    }

    @Override
    public void fail(final String messageId) {
        failed.add(messageId);
    }

    @Override
    public void cancel(final String messageId, final int attempt) {
        cancelled.add(messageId + "/" + attempt);
    }

    @Override
    public void closeIdleConnections(final long endpoint) {
        closedIdle.add(endpoint);
    }

    @Override
    public void followList() {
        listRequests++;
    }

    @Override
    public void wake(final long delayUs) {
        wakeUps.add(nowUs + delayUs);
    }
}
