package driftchute;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.TreeMap;

/**
 * A model of twenty to thirty couriers that share nothing, and one server that fails and recovers cold. Compares the
 * calls that all of them together send in any span of {@code guarantees.fall} with what the server can take (STANDING,
 * cold destinations).
 */
final class ColdServerModel {
    static final long MS = 1000;
    static final long SECOND = 1_000_000;
    static final long FALL_US = 3 * SECOND;
    static final double COLD_CAPACITY_SHARE = 0.14;
    static final long WARM_UP_US = 9_300_000;
    static final double OVERLOAD_MULTIPLE = 2.5;
    private static final long TICK_US = 10 * MS;
    private static final long DESTINATION = 57;
    private static final long RECOVERY_US = 50 * SECOND;
    private static final long OUTAGE_US = RECOVERY_US - 10 * SECOND;

    /** How the server fails. */
    enum Outage {
        DOWN,
        VANISHED,
        HUNG,
        SHUT,
        FAILING
    }

    /** How the couriers know its limit: not at all, by a figure in the list, or by one in each answer. */
    enum Limit {
        UNKNOWN,
        LISTED,
        REPORTED
    }

    /**
     * A run. {@code capacity}: calls per second of the warm server. {@code arrivals}: messages per second over all
     * couriers. {@code hot}: number of couriers with five times the others' traffic. {@code restarts}: number of
     * couriers restarted during the outage and the recovery.
     */
    record Plan(
            int couriers,
            Outage outage,
            Limit limit,
            double capacity,
            double arrivals,
            int hot,
            int restarts,
            long lifeUs,
            int perCall,
            long seed) {}

    /** The worst span: its calls, those from couriers that had seen the outage, and what the server can take. */
    record Worst(int calls, int fromInformed, double bound, double atS) {
        boolean isBroken() {
            return calls > bound && 3 * fromInformed > 2 * calls;
        }
    }

    private record Arrived(long atUs, boolean informed) {}

    private final Plan plan;
    private final Random random;
    private final List<ModelCourier> couriers = new ArrayList<>();
    private final List<Arrived> calls = new ArrayList<>();
    private final Deque<Long> recent = new ArrayDeque<>();
    private long nowUs = SECOND;
    private long freeUs;
    private int taken;
    private int served;

    ColdServerModel(final Plan plan) {
        this.plan = plan;
        this.random = new Random(plan.seed());
        for (int index = 0; index < plan.couriers(); index++) {
            couriers.add(new ModelCourier(index));
        }
    }

    private double weight(final int index) {
        return index < plan.hot() ? 5 : 1;
    }

    /** The share of its capacity that the server has. */
    private static double capacityShare(final long atUs) {
        return atUs < OUTAGE_US
                ? 1
                : atUs < RECOVERY_US
                        ? 0
                        : Math.min(
                                1, COLD_CAPACITY_SHARE + (1 - COLD_CAPACITY_SHARE) * (atUs - RECOVERY_US) / WARM_UP_US);
    }

    /** Runs until the server is warm and returns the worst span. */
    Worst run() {
        final double whole =
                couriers.stream().mapToDouble(member -> weight(member.index)).sum();
        final List<Double> due = new ArrayList<>();
        couriers.forEach(member -> due.add(wait(whole, member)));
        while (nowUs < RECOVERY_US + WARM_UP_US) {
            nowUs += TICK_US;
            for (final ModelCourier member : couriers) {
                while (due.get(member.index) <= nowUs) {
                    member.accept();
                    due.set(member.index, due.get(member.index) + wait(whole, member));
                }
                member.turn();
            }
            for (int index = 0; index < plan.restarts(); index++) {
                final long everyUs = (SECOND + 10 * SECOND) / plan.restarts();
                if (nowUs == (OUTAGE_US + 3 * SECOND + index * everyUs) / TICK_US * TICK_US) {
                    couriers.get(index * couriers.size() / plan.restarts()).restart(index % 2 == 0);
                }
            }
        }
        return worst();
    }

    private double wait(final double whole, final ModelCourier member) {
        final double rate = plan.arrivals() * weight(member.index) / whole;
        return -Math.log(1 - random.nextDouble()) / rate * SECOND + (nowUs == SECOND ? SECOND : 0);
    }

    private Worst worst() {
        Worst worst = new Worst(0, 0, 1, 0);
        for (int last = 0; last < calls.size(); last++) {
            final long toUs = calls.get(last).atUs();
            final long fromUs = Math.max(RECOVERY_US, toUs - FALL_US);
            final List<Arrived> span = calls.subList(0, last + 1).stream()
                    .filter(call -> call.atUs() > fromUs)
                    .toList();
            // The capacity grows linearly, so over the span it is the capacity half-way.
            final double least =
                    OVERLOAD_MULTIPLE * plan.capacity() * capacityShare((fromUs + toUs) / 2) * FALL_US / SECOND;
            final Worst one = new Worst(
                    span.size(),
                    (int) span.stream().filter(Arrived::informed).count(),
                    least + 2 * Math.sqrt(least) + 2,
                    (toUs - RECOVERY_US) / (double) SECOND);
            worst = one.calls() / one.bound() > worst.calls() / worst.bound() ? one : worst;
        }
        return worst;
    }

    /** A call reaches the server. Returns its outcome and time; null if there is none while the courier waits. */
    private Reply serve(final ModelCourier member, final long atUs) {
        if (atUs >= RECOVERY_US) {
            calls.add(new Arrived(atUs, member.informed));
        }
        if (atUs >= OUTAGE_US && atUs < RECOVERY_US) {
            return switch (plan.outage()) {
                case DOWN -> new Reply(Courier.Result.NO_CONNECTION, atUs + 10 * MS, 0);
                case VANISHED -> new Reply(Courier.Result.NO_CONNECTION, atUs + 1500 * MS, 0);
                case HUNG -> null;
                case SHUT ->
                    new Reply(Courier.Result.REFUSED, atUs + 20 * MS, random.nextBoolean() ? RECOVERY_US - atUs : 0);
                case FAILING -> new Reply(Courier.Result.ERROR, atUs + 100 * MS, 0);
            };
        }
        final double rate = plan.capacity() * capacityShare(atUs);
        freeUs = Math.max(freeUs, atUs);
        if (freeUs - atUs > 2 * SECOND) {
            return new Reply(Courier.Result.REFUSED, atUs + 20 * MS, 0);
        }
        freeUs += (long) (SECOND / rate);
        return new Reply(Courier.Result.DELIVERED, freeUs + 200 * MS, 0);
    }

    private record Reply(Courier.Result result, long atUs, long waitUs) {}

    private record Due(long atUs, String call, Reply reply) {}

    /** A courier: its decisions, its messages and its calls. */
    private final class ModelCourier implements Courier.Actions {
        private final int index;
        private final Map<String, Courier.Message> messages = new TreeMap<>();
        private final Map<String, Integer> attempts = new HashMap<>();
        private final Map<String, Long> firstRunUs = new HashMap<>();
        private final Map<String, Long> inFlightSinceUs = new HashMap<>();
        private final PriorityQueue<Due> replies =
                new PriorityQueue<>((one, other) -> Long.compare(one.atUs(), other.atUs()));
        private DeliveryPolicy policy;
        private long wakeUs = Long.MAX_VALUE;
        private boolean informed;
        private String shared;
        private Reply sharedReply;
        private int processes;

        ModelCourier(final int index) {
            this.index = index;
            begin();
        }

        private void begin() {
            policy = new DeliveryPolicy(
                    settings(), PolicyFixture.seed(index + plan.couriers() * processes++) + plan.seed(), this);
            final double listed = plan.limit() == Limit.LISTED ? 0.8 * plan.capacity() : 1;
            policy.onListUpdate(
                    nowUs,
                    Courier.Update.RESTORED,
                    List.of(new Courier.Endpoint(1, Courier.Condition.LISTED, "a", listed, 0, DESTINATION)));
            wakeUs = nowUs;
        }

        /**
         * Restarts the courier at once. If planned, its state is handed over. Calls in flight may have been executed.
         */
        private void restart(final boolean planned) {
            final List<Courier.DestinationState> memories = policy.exportState();
            inFlightSinceUs.forEach((id, atUs) -> firstRunUs.putIfAbsent(id, atUs));
            inFlightSinceUs.clear();
            replies.clear();
            // A killed process loses what it knew.
            informed &= planned;
            begin();
            if (planned) {
                memories.forEach(memory -> policy.onPredecessorState(nowUs, memory.withCallsInFlight(0)));
            }
            messages.values()
                    .forEach(message -> policy.onResumed(
                            nowUs,
                            message,
                            new Courier.MessageHistory(
                                    attempts.getOrDefault(message.id(), 0),
                                    firstRunUs.containsKey(message.id()),
                                    firstRunUs.getOrDefault(message.id(), 0L),
                                    "a")));
        }

        private void accept() {
            final String id = "m" + taken++;
            final var message =
                    new Courier.Message(id, taken % 10 < 7 ? 0 : 1, -1, null, nowUs + plan.lifeUs(), DESTINATION);
            messages.put(id, message);
            policy.onMessage(nowUs, message);
            wakeUs = nowUs;
        }

        private void turn() {
            while (!replies.isEmpty() && replies.peek().atUs() <= nowUs) {
                final Due due = replies.poll();
                final Long sentUs = inFlightSinceUs.remove(due.call());
                if (sentUs != null && messages.containsKey(due.call())) {
                    end(due, sentUs);
                    wakeUs = nowUs;
                }
            }
            if (wakeUs <= nowUs) {
                wakeUs = Long.MAX_VALUE;
                shared = null;
                policy.decide(nowUs);
            }
        }

        private void end(final Due due, final long sentUs) {
            final Courier.Result result = due.reply().result();
            if (!result.neverExecuted()) {
                firstRunUs.putIfAbsent(due.call(), sentUs);
            }
            informed |= result != Courier.Result.DELIVERED && nowUs >= OUTAGE_US && nowUs < RECOVERY_US;
            served += result == Courier.Result.DELIVERED && nowUs >= RECOVERY_US ? 1 : 0;
            policy.onOutcome(
                    nowUs,
                    new Courier.Outcome(
                            due.call(),
                            result,
                            result == Courier.Result.DELIVERED,
                            1,
                            nowUs - sentUs,
                            due.reply().waitUs(),
                            reportedLimit()));
            if (result == Courier.Result.DELIVERED) {
                messages.remove(due.call());
            }
        }

        private Courier.ReportedLimit reportedLimit() {
            while (!recent.isEmpty() && recent.peek() < nowUs - SECOND) {
                recent.poll();
            }
            final double limit = 0.8 * plan.capacity();
            return plan.limit() != Limit.REPORTED
                    ? null
                    : new Courier.ReportedLimit(Math.max(0, 1 - recent.size() / limit), limit);
        }

        @Override
        public void send(final String id, final long endpoint, final long timeoutUs) {
            attempts.merge(id, 1, Integer::sum);
            inFlightSinceUs.put(id, nowUs);
            final boolean joins = shared != null && plan.perCall() > 1;
            if (!joins) {
                recent.add(nowUs);
                sharedReply = serve(this, nowUs + 20 * MS);
                shared = id;
            }
            final long untilUs = nowUs + timeoutUs;
            replies.add(
                    sharedReply == null || sharedReply.atUs() > untilUs
                            ? new Due(untilUs, id, new Reply(Courier.Result.TIMED_OUT, untilUs, 0))
                            : new Due(sharedReply.atUs(), id, sharedReply));
        }

        @Override
        public void refuse(final String id, final long retryAfterUs) {
            messages.remove(id);
        }

        @Override
        public void fail(final String id) {
            messages.remove(id);
        }

        @Override
        public void cancel(final String id, final int attempt) {
            replies.add(new Due(nowUs, id, new Reply(Courier.Result.CANCELLED, nowUs, 0)));
        }

        @Override
        public void closeIdleConnections(final long endpoint) {
            // The model has no connections.
        }

        @Override
        public void followList() {
            // The list is pushed in this model.
        }

        @Override
        public void wake(final long delayUs) {
            wakeUs = Math.min(wakeUs, nowUs + delayUs);
        }
    }

    private Courier.Settings settings() {
        final long aimUs = Math.min(2 * SECOND, plan.lifeUs() / 3);
        final var safe =
                new Courier.MessageClass("safe", Courier.Effect.SAFE, false, false, 1, 0.4, aimUs, plan.lifeUs(), 0);
        final var unsafe = new Courier.MessageClass(
                "unsafe", Courier.Effect.UNSAFE, false, false, 1, 0.4, aimUs, plan.lifeUs(), 0);
        final Courier.LimitHint weights =
                plan.limit() == Limit.LISTED ? Courier.LimitHint.APPROXIMATE : Courier.LimitHint.NONE;
        return new Courier.Settings(
                plan.couriers(),
                "a",
                false,
                weights,
                Courier.ValueDecay.LINEAR,
                List.of(safe, unsafe),
                List.of(),
                List.of(new Courier.DestinationKind("std", false, plan.perCall())),
                new Courier.Guarantees(10 * SECOND, COLD_CAPACITY_SHARE, WARM_UP_US, OVERLOAD_MULTIPLE, 3 * SECOND),
                new Courier.Limits(22, 160, 6, true, 10 * SECOND, 1, 2 * SECOND));
    }
}
