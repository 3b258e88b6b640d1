package driftchute;

import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The interface of a courier's decision logic: the events it receives and the actions it may request. A host (a courier
 * process, or the simulator's adapter) reports events in the order in which they happened, then calls {@link #decide}
 * once and carries out the {@link Actions} requested meanwhile. All times are microseconds on one monotonic clock.
 */
public interface Courier {

    /**
     * What sending a message a second time does: nothing ({@code SAFE}), nothing while the destination remembers the
     * message's idempotency key ({@code KEYED}), or harm ({@code UNSAFE}).
     */
    enum Effect {
        SAFE,
        KEYED,
        UNSAFE
    }

    /** How a message's value falls between its target time and its deadline. */
    enum ValueDecay {
        LINEAR,
        HALVING
    }

    /** What an endpoint's weight in the list says about its destination's rate limit. */
    enum LimitHint {
        NONE,
        EXACT,
        APPROXIMATE
    }

    /** How an attempt ended. */
    enum Result {
        DELIVERED,
        ERROR,
        REFUSED,
        TIMED_OUT,
        NO_CONNECTION,
        RESET,
        CANCELLED,
        NOT_SENT;

        /** True if the message certainly had no effect, so that another attempt is harmless. */
        public boolean neverExecuted() {
            return this == REFUSED || this == NO_CONNECTION || this == NOT_SENT;
        }

        /** True if the destination answered, so that the attempt is no longer running. */
        public boolean isAnswered() {
            return this == DELIVERED || this == ERROR;
        }
    }

    /** An endpoint's state in the list. The list says nothing about health. */
    enum Condition {
        LISTED,
        DRAINING,
        GONE
    }

    /**
     * What a list update contains: changed entries, the whole list, the last list that was stored, or nothing because
     * the list service could not be reached.
     */
    enum Update {
        CHANGES,
        WHOLE,
        RESTORED,
        LOST
    }

    /**
     * A message class. {@code zoneKeyed}: only endpoints of the same zone recognise each other's idempotency keys.
     * {@code ordered}: messages with one key are delivered in the order accepted.
     */
    record MessageClass(
            String name,
            Effect effect,
            boolean zoneKeyed,
            boolean ordered,
            double value,
            double lateValue,
            long targetUs,
            long deadlineUs,
            long keyWindowUs) {}

    /**
     * A tenant and its quota over all couriers, messages per second. Messages within the quota keep their full value.
     */
    record Tenant(String name, double quotaPerSecond) {}

    /** A kind of destination. {@code separateRoutes}: every endpoint has its own limits, waits and outages. */
    record DestinationKind(String name, boolean separateRoutes, int messagesPerCall) {}

    /**
     * The figures of the protocol's rules: how soon the list must be requested, the capacity share of a cold
     * destination and its warm-up time, the multiple of its capacity that overloads a destination, and how long a key
     * rests after an attempt without an answer.
     */
    record Guarantees(
            long listRequestDueUs,
            double coldCapacityShare,
            long warmUpUs,
            double overloadMultiple,
            long orderRestUs) {}

    /** The resources this courier may use. */
    record Limits(
            int slots,
            int maxOpenMessages,
            int maxAttempts,
            boolean canCancel,
            long idleTimeoutUs,
            int callsPerConnection,
            long maxRetryAfterUs) {}

    /** All settings that a courier gets at start. */
    record Settings(
            int couriers,
            String zone,
            boolean listOnRequest,
            LimitHint limitHint,
            ValueDecay valueDecay,
            List<MessageClass> classes,
            List<Tenant> tenants,
            List<DestinationKind> destinationKinds,
            Guarantees guarantees,
            Limits limits) {
        /**
         * Checks the settings for contradictions.
         *
         * @throws IllegalArgumentException naming the setting that is wrong
         */
        public Settings {
            require(couriers >= 1, "a fleet has at least one courier, not " + couriers);
            require(limits.slots() >= 1, "a courier needs at least one slot, not " + limits.slots());
            require(
                    limits.maxOpenMessages() >= 1,
                    "a store holds at least one message, not " + limits.maxOpenMessages());
            require(limits.maxAttempts() >= 1, "a message needs at least one attempt, not " + limits.maxAttempts());
            require(
                    guarantees.overloadMultiple() > 0,
                    "the overload multiple must be above 0, not " + guarantees.overloadMultiple());
            for (final MessageClass messageClass : classes) {
                require(
                        messageClass.targetUs() <= messageClass.deadlineUs(),
                        messageClass.name() + ": its target time is later than its deadline");
            }
        }

        private static void require(final boolean condition, final String problem) {
            if (!condition) {
                throw new IllegalArgumentException(problem);
            }
        }
    }

    /** An endpoint as listed. {@code kind} is an index into the settings, or -1. */
    record Endpoint(long id, Condition condition, String zone, double weight, int kind, long destination) {}

    /**
     * An accepted message. {@code messageClass} and {@code tenant} are indexes into the settings; {@code tenant} is -1
     * if there is none.
     */
    record Message(String id, int messageClass, int tenant, String key, long validUntilUs, long destination) {}

    /**
     * What earlier processes did with a message. {@code mayHaveExecuted}: an attempt may have taken effect, the first
     * one at {@code firstExecutionUs} (on the clock of the events, possibly before it started) in {@code
     * executionZone}.
     */
    record MessageHistory(int attempts, boolean mayHaveExecuted, long firstExecutionUs, String executionZone) {}

    /** The rate limit that a destination reported: the unused share, and calls per second (0: no limit). */
    record ReportedLimit(double unusedShare, double callsPerSecond) {}

    /**
     * The outcome of an attempt. {@code isFinal}: the message has its final answer. {@code waitUs}: the wait that the
     * answer asked for, or 0. {@code reportedLimit}: null if the answer had none.
     */
    record Outcome(
            String messageId,
            Result result,
            boolean isFinal,
            long endpoint,
            long durationUs,
            long waitUs,
            ReportedLimit reportedLimit) {}

    /**
     * State of a route's circuit breaker: closed (normal traffic), open (single probes only), or slow start after an
     * outage.
     */
    enum CircuitState {
        CLOSED("WELL"),
        OPEN("OUT"),
        SLOW_START("RAMP");

        private final String logName;

        CircuitState(final String logName) {
            this.logName = logName;
        }

        /** The state's name in the log. */
        public String logName() {
            return logName;
        }
    }

    /**
     * What a process has learnt about a destination, for its successor. {@code callsInFlight}: calls of that process
     * that are still in flight there. A time that does not apply is {@code Long.MAX_VALUE}.
     */
    record DestinationState(
            long destination,
            int callsInFlight,
            CircuitState circuit,
            long waitUntilUs,
            long pauseUntilUs,
            long troubleSinceUs,
            long slowStartSinceUs,
            double slowStartIntervalUs,
            double window,
            double messageRate,
            double callRate,
            double limit,
            double unusedShare,
            double maxSendRate,
            double pace) {

        /** A copy with another number of calls in flight. */
        public DestinationState withCallsInFlight(final int calls) {
            return new DestinationState(
                    destination,
                    calls,
                    circuit,
                    waitUntilUs,
                    pauseUntilUs,
                    troubleSinceUs,
                    slowStartSinceUs,
                    slowStartIntervalUs,
                    window,
                    messageRate,
                    callRate,
                    limit,
                    unusedShare,
                    maxSendRate,
                    pace);
        }

        /** A copy converted to a clock that is {@code aheadUs} ahead. */
        public DestinationState onClock(final long aheadUs) {
            return new DestinationState(
                    destination,
                    callsInFlight,
                    circuit,
                    waitUntilUs + aheadUs,
                    pauseUntilUs + aheadUs,
                    troubleSinceUs == Long.MAX_VALUE ? troubleSinceUs : troubleSinceUs + aheadUs,
                    slowStartSinceUs + aheadUs,
                    slowStartIntervalUs,
                    window,
                    messageRate,
                    callRate,
                    limit,
                    unusedShare,
                    maxSendRate,
                    pace);
        }
    }

    /** What a process has learnt about an endpoint with a route of its own, for its successor. */
    record EndpointRouteState(long endpoint, DestinationState state) {}

    /**
     * This courier's share of a destination's rate limit until {@code expiresAtUs}. After that the courier has its even
     * part of the reserve.
     */
    record RateLease(double callsPerSecond, long expiresAtUs) {}

    /** What the couriers of the tier have agreed about a destination's health. */
    enum TierHealth {
        HEALTHY("WELL"),
        SUSPECTED("SUSPECTED"),
        DOWN("OUT"),
        RECOVERED("BACK");

        private final String logName;

        TierHealth(final String logName) {
            this.logName = logName;
        }

        /** The verdict's name in the log. */
        public String logName() {
            return logName;
        }
    }

    /**
     * The tier's verdict on a destination and when it began. {@code closedUntilUs}: until when the destination
     * announced to be closed (0: not announced). The verdict expires at {@code expiresAtUs}. {@code probeUntilUs}:
     * until then this courier may make one probe call while the destination is down; {@code Long.MAX_VALUE} means that
     * nobody assigns probes, so each courier makes its own.
     */
    record Verdict(TierHealth health, long sinceUs, long closedUntilUs, long expiresAtUs, long probeUntilUs) {}

    /**
     * The shared state of the tier as this courier knows it. {@code reservedShare}: the share of every limit that is
     * never leased but divided evenly among all couriers. Times are on the clock of the events.
     */
    record FleetView(double reservedShare, Map<Long, RateLease> rateLeases, Map<Long, Verdict> verdicts) {}

    /**
     * What this courier knows and needs of a destination, for its peers: the reported limit in calls per second (0:
     * none), the calls per second that it makes, the calls its waiting messages need, its own circuit state, the number
     * of failed calls since the trouble began and when that was ({@code Long.MAX_VALUE}: no trouble), the time of the
     * last delivery (0: never), and until when the destination announced to be closed.
     */
    record DestinationReport(
            long destination,
            double limit,
            double callsPerSecond,
            int waitingCalls,
            CircuitState circuit,
            int failedCalls,
            long troubleSinceUs,
            long lastServedUs,
            long closedUntilUs) {}

    /** The actions that the decisions may request from the host. */
    interface Actions {
        /** Sends a message to an endpoint. */
        void send(String messageId, long endpoint, long timeoutUs);

        /** Ends a message undelivered. Its client may safely submit it again. */
        void refuse(String messageId, long retryAfterUs);

        /** Ends a message as failed. Whether it took effect is unknown. */
        void fail(String messageId);

        /** Stops waiting for an attempt. */
        void cancel(String messageId, int attempt);

        /** Closes this courier's idle connections to an endpoint, before the actions that follow. */
        void closeIdleConnections(long endpoint);

        /** Subscribes to changes of the list. */
        void followList();

        /** Requests a call of {@link Courier#decide} after a delay, unless it is called earlier anyway. */
        void wake(long delayUs);
    }

    /** The list changed, or could not be fetched. */
    void onListUpdate(long nowUs, Update update, List<Endpoint> entries);

    /** A message was accepted. */
    void onMessage(long nowUs, Message message);

    /**
     * A message that an earlier process of this courier accepted is held again. Reported in the order of acceptance.
     */
    void onResumed(long nowUs, Message message, MessageHistory past);

    /** This process ends at {@code stopUs}. Its successor goes on with what is still held then. */
    void onStopping(long nowUs, long stopUs);

    /** Exports what has been learnt about each destination whose routes are not separate. */
    List<DestinationState> exportState();

    /** The same about each endpoint with a route of its own. */
    List<EndpointRouteState> exportEndpointStates();

    /**
     * Imports what the predecessor process has learnt about a destination. Reported again while the predecessor still
     * has calls in flight there: the two processes count as one courier.
     */
    void onPredecessorState(long nowUs, DestinationState memory);

    /** The same about an endpoint with a route of its own. Ignored if it is not listed. */
    void onPredecessorEndpointState(long nowUs, EndpointRouteState memory);

    /**
     * The predecessor's state is known recently enough until {@code freshUntilUs}. After that no new call goes to a
     * destination where the predecessor has calls in flight, because each of their answers may ask for a wait.
     */
    void onPredecessorFresh(long nowUs, long freshUntilUs);

    /** The predecessor process has no calls in flight any more. */
    void onPredecessorGone(long nowUs);

    /** An attempt ended. */
    void onOutcome(long nowUs, Outcome outcome);

    /**
     * The complete set of endpoints that the operators have disabled. They get no new calls. An endpoint that is no
     * longer in the set is enabled again.
     */
    void onEndpointsDisabled(long nowUs, Set<Long> endpoints);

    /**
     * The shared state of the tier changed. Never called if the couriers share nothing. It can lower the send rate or
     * end a verdict, but never raises the rate above the limit that this courier was told itself.
     */
    void onFleetView(long nowUs, FleetView view);

    /**
     * Reports what this courier knows and needs of each destination that it uses or that is not healthy, except where
     * routes are separate.
     */
    List<DestinationReport> reports(long nowUs);

    /** A message was withdrawn. It needs no answer. */
    void onWithdrawn(long nowUs, String messageId);

    /** Acts on all events reported so far, or on a wake-up that fell due. */
    void decide(long nowUs);

    /** A one-line summary for the log: what waits for each destination, and what holds it back. */
    String describe(long nowUs);
}
