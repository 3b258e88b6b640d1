package driftchute.node;

import com.fasterxml.jackson.databind.JsonNode;
import driftchute.Courier;
import driftchute.DeliveryPolicy;
import driftchute.node.fleet.FleetControlThread;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Predicate;

/**
 * Connects the sockets, the journal and the decisions ({@link DeliveryPolicy}): reports to the decisions what arrived in one
 * pass of the event loop, lets them decide once, and carries out the requested actions. It holds the open messages and
 * writes the journal before any byte that makes a promise. It holds nothing before it has taken over the journal, and
 * stops deciding when it hands over to the next process. Runs on the event loop's thread.
 */
final class DeliveryService implements Courier.Actions {
    private static final long US_PER_MS = 1000;
    /** Retry-After when the store is full. Messages stay in it for some seconds, so a place becomes free soon. */
    private static final long FULL_RETRY_AFTER_US = 1_000_000;
    /** Interval of the status line in the log while many messages are held. */
    private static final long STATUS_MS = 5_000;
    /**
     * Interval at which the operators' orders are checked when nothing else triggers it, so that calls about to be sent
     * are held back.
     */
    private static final long ORDER_CHECK_MS = 50;
    /** Interval at which the journal of an ending predecessor is read. */
    private static final long PREDECESSOR_POLL_MS = 5;
    /** Interval at which an ending process records the time up to which all its calls' answers are recorded. */
    private static final long RECORDED_UNTIL_MS = 10;
    /**
     * Maximum age of that time for a call to a destination where the predecessor has calls in flight. A call may still
     * arrive for 100 ms after an answer that asks for a wait (PROTOCOL-irishead.md, The rules on sockets); the rest is
     * for its transmission.
     */
    private static final long PREDECESSOR_FRESH_US = 60_000;
    /** Additional silence of the predecessor after which a line is logged. */
    private static final long PREDECESSOR_SILENT_US = 200_000;
    /** Interval of the reports to the other couriers. */
    private static final long REPORT_MS = 100;
    /** Share of a key's window after which no repeat is written. The rest is for its transmission. */
    private static final double KEY_WINDOW_SHARE = 0.95;
    /**
     * Maximum number of messages resumed in one turn of the event loop, with one decision pass. Resuming all at once
     * would delay clients by the first pass over a full store, which runs on code that is not compiled yet.
     */
    private static final int RESUMED_PER_TURN = 32;
    /** Share of the store above which the status is logged. */
    private static final double STATUS_STORE_SHARE = 0.1;

    /** The way to answer a client. */
    interface Reply {
        /** The message is accepted. */
        void accepted();

        /** The message is refused and may safely be submitted again, after {@code retryAfterUs} if above 0. */
        void refused(int status, long retryAfterUs);

        /** The message failed; it may have taken effect. */
        void failed();
    }

    /** An open message. */
    static final class OpenMessage {
        final JournaledMessage journaled;
        /** Accepted by an earlier process, which answered the client. */
        private final boolean resumed;

        final Courier.MessageClass messageClass;
        final long validUntilUs;
        /** Receives the first answer; null once it is given. */
        private Reply reply;

        private boolean finished;
        private EndpointClient.Call call;

        OpenMessage(
                final JournaledMessage journaled,
                final Courier.MessageClass messageClass,
                final long validUntilUs,
                final Reply reply) {
            this.journaled = journaled;
            this.resumed = reply == null;
            this.messageClass = messageClass;
            this.validUntilUs = validUntilUs;
            this.reply = reply;
        }
    }

    /** One message's part in a call. */
    record CallItem(OpenMessage message, long timeoutUs) {}

    private final Config config;
    private final EventLoop loop;
    private final Clock clock;
    private final Journal journal;
    private final OperatorOrders orders;
    private final DeliveryPolicy control;
    private final EndpointClient endpoints;
    private final Discovery discovery;
    private final StoredList storedList;
    private final NoticeSender noticeSender;
    private final ClientEventLog events = new ClientEventLog();
    private final Map<String, OpenMessage> messages = new LinkedHashMap<>();
    private final Map<String, Integer> classes = new HashMap<>();
    private final Map<Long, List<CallItem>> outbox = new LinkedHashMap<>();
    private final List<OpenMessage> unanswered = new ArrayList<>();
    /** Messages of earlier processes that were not reported to the decisions yet, by id, in the order of acceptance. */
    private final Map<String, JournaledMessage> unresumed = new LinkedHashMap<>();

    private boolean passScheduled;
    private InetSocketAddress discoveryAddress;
    /** Discovery has reported its list, or cannot be reached, so that the stored list is used. */
    private boolean listConfirmed;
    /** Another process decides and sends now; this one only finishes its calls in flight. */
    private boolean handingOver;

    private ScheduledFuture<?> predecessorPoll;
    /** The shared state of the tier; null if couriers share nothing, or while this process does not serve. */
    private FleetControlThread fleet;

    private final AtomicBoolean viewScheduled = new AtomicBoolean();
    /** State of earlier processes about destinations that are not listed yet. */
    private final Map<Long, Courier.DestinationState> unlistedStates = new HashMap<>();
    /** The same of endpoints with routes of their own, by name. */
    private final Map<String, Courier.DestinationState> unlistedEndpointStates = new HashMap<>();
    /** End of the latest wait of each destination that was taken over from earlier processes. */
    private final Map<Long, Long> inheritedWaitsUs = new HashMap<>();
    /** Until when the predecessor's state counts as recent. */
    private long predecessorFreshUntilUs = Long.MAX_VALUE;

    private boolean predecessorSilent;
    /**
     * Wall-clock time of the last turn and the one before, Unix us. Each connection has been read up to the earlier
     * one.
     */
    private long lastTurnWallUs;

    private long previousTurnWallUs;
    /** The orders that were last reported to the decisions. */
    private OperatorOrders.State reportedOrders;
    /** Longest decision pass since the last status line. Nothing else runs on the event loop during a pass. */
    private long longestPassUs;

    DeliveryService(
            final Config config,
            final EventLoop loop,
            final Clock clock,
            final Journal journal,
            final OperatorOrders orders) {
        this.config = config;
        this.loop = loop;
        this.clock = clock;
        this.journal = journal;
        this.orders = orders;
        this.control = new DeliveryPolicy(config.settings(), config.seed(), this);
        this.endpoints = new EndpointClient(config, loop, clock, this);
        this.discovery = new Discovery(config, loop, clock, this);
        this.discoveryAddress = config.discovery();
        this.storedList = new StoredList(config.state(), config.diskBytes());
        this.noticeSender = new NoticeSender(config.discovery(), loop, this);
        config.settings().classes().forEach(messageClass -> classes.put(messageClass.name(), classes.size()));
    }

    /** Starts to follow the list. Nothing else happens before this process takes over. */
    void start() {
        discovery.restore(storedList.newest(config.known(), discoveryAddress), discoveryAddress);
        loop.scheduleWithFixedDelay(this::checkOrders, ORDER_CHECK_MS, ORDER_CHECK_MS, TimeUnit.MILLISECONDS);
        loop.scheduleWithFixedDelay(this::logStatus, STATUS_MS, STATUS_MS, TimeUnit.MILLISECONDS);
        schedulePass();
    }

    /**
     * Takes over: from now on this process decides, records and sends. First it resumes the messages of earlier
     * processes.
     */
    void takeOver() throws IOException {
        loadNewerList();
        storedList.startStoring();
        journal.open();
        final Journal.PredecessorUpdate update = journal.pollPredecessors();
        update.completed().forEach(journal::complete);
        applyPredecessorState(update.states());
        applyEndpointStates(update.endpointStates());
        updatePredecessorFreshness();
        journal.openMessages().forEach(journaled -> unresumed.put(journaled.id, journaled));
        final long resumed = unresumed.values().stream()
                .filter(journaled -> journaled.notice() == null && classes.containsKey(journaled.className))
                .count();
        if (resumed > 0) {
            Log.event("resumed", "msg", "resumed " + resumed + " messages", "messages", resumed);
        }
        if (journal.hasPredecessors()) {
            Log.info("the predecessor process is still finishing its calls");
            predecessorPoll = loop.scheduleWithFixedDelay(
                    this::followPredecessors, PREDECESSOR_POLL_MS, PREDECESSOR_POLL_MS, TimeUnit.MILLISECONDS);
        }
        joinFleet();
        resumeNext();
    }

    /** Loads a newer list that the predecessor received, since discovery may be unreachable now. */
    private void loadNewerList() {
        final JsonNode list = storedList.newer(discoveryAddress);
        if (list != null) {
            final boolean wasConfirmed = listConfirmed;
            discovery.restore(list, discoveryAddress);
            if (wasConfirmed) {
                discovery.onUnchanged();
            }
        }
    }

    /** Resumes the next messages. The event loop polls its sockets between two turns of this. */
    private void resumeNext() {
        final List<JournaledMessage> next =
                unresumed.values().stream().limit(RESUMED_PER_TURN).toList();
        next.forEach(journaled -> {
            unresumed.remove(journaled.id);
            resume(journaled);
        });
        schedulePass();
        if (!unresumed.isEmpty()) {
            loop.schedule(this::resumeNext, 0, TimeUnit.MILLISECONDS);
        }
    }

    /** Resumes a message, or replaces the state of one that still waits to be resumed. */
    private void takeOver(final JournaledMessage journaled) {
        if (unresumed.replace(journaled.id, journaled) == null) {
            resume(journaled);
        }
    }

    /** Joins the fleet, if configured. Only the serving process does. */
    private void joinFleet() {
        if (config.fleet() != null) {
            fleet = new FleetControlThread(
                    config.fleet(),
                    config.settings().guarantees(),
                    config.seed(),
                    config.state(),
                    clock::nowUs,
                    Log::event,
                    view -> {
                        // One reading of the latest view is enough, however far the traffic thread is behind.
                        if (viewScheduled.compareAndSet(false, true)) {
                            loop.execute(this::readView);
                        }
                    });
            control.onFleetView(clock.nowUs(), fleet.view());
            fleet.start();
            loop.scheduleWithFixedDelay(
                    () -> fleet.report(control.reports(clock.nowUs())), REPORT_MS, REPORT_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void readView() {
        viewScheduled.set(false);
        control.onFleetView(clock.nowUs(), fleet.view());
        schedulePass();
    }

    /** Leaves the fleet. {@code leaves}: no process of this courier continues for now. */
    private void leaveFleet(final boolean leaves) {
        if (fleet != null) {
            fleet.stop(leaves);
        }
    }

    /** Reads what an ending predecessor has released since, and what its calls reported. */
    private void followPredecessors() {
        if (handingOver) {
            predecessorPoll.cancel(false);
            return;
        }
        final Journal.PredecessorUpdate update = journal.pollPredecessors();
        update.completed().forEach(this::onCompletedByPredecessor);
        applyPredecessorState(update.states());
        applyEndpointStates(update.endpointStates());
        updatePredecessorFreshness();
        update.takenOver().forEach(this::takeOver);
        if (!update.takenOver().isEmpty()
                || !update.states().isEmpty()
                || !update.endpointStates().isEmpty()) {
            schedulePass();
        }
        if (!journal.hasPredecessors()) {
            predecessorPoll.cancel(false);
            control.onPredecessorGone(clock.nowUs());
            Log.info("the predecessor process has ended");
            schedulePass();
        }
    }

    /**
     * The predecessor has finished that message, so this process need not. But if a client submitted a message with the
     * same id to this process again, this process has promised to deliver it and still has to.
     */
    private void onCompletedByPredecessor(final String id) {
        final OpenMessage message = messages.get(id);
        if (message == null || message.resumed) {
            withdraw(id);
        }
    }

    private void applyPredecessorState(final List<Courier.DestinationState> states) {
        final long aheadUs = clock.nowUs() - clock.wallUs();
        states.forEach(state -> applyPredecessorState(state.onClock(aheadUs)));
    }

    private void applyPredecessorState(final Courier.DestinationState state) {
        final long destination = state.destination();
        if (!discovery.hasEndpoint(destination)) {
            unlistedStates.put(destination, state);
        }
        control.onPredecessorState(clock.nowUs(), state);
        final long leftUs = state.waitUntilUs() - clock.nowUs();
        if (leftUs > 0) {
            final Long before = inheritedWaitsUs.put(destination, state.waitUntilUs());
            if (before == null || before < state.waitUntilUs() - PREDECESSOR_FRESH_US) {
                Log.event("wait_taken_over", "dest", destination, "left_ms", leftUs / US_PER_MS);
            }
            endpoints.giveBackUnwritten(destination);
        }
    }

    private void applyEndpointStates(final List<JournalReader.NamedState> states) {
        final long aheadUs = clock.nowUs() - clock.wallUs();
        states.forEach(
                named -> applyEndpointState(named.endpoint(), named.state().onClock(aheadUs)));
    }

    /** Takes over what a predecessor has learnt about an endpoint with a route of its own; false if it is not listed. */
    private boolean applyEndpointState(final String name, final Courier.DestinationState state) {
        final Long endpoint = discovery.idOf(name);
        if (endpoint == null) {
            unlistedEndpointStates.put(name, state);
            return false;
        }
        control.onPredecessorEndpointState(
                clock.nowUs(),
                new Courier.EndpointRouteState(endpoint, state.withCallsInFlight(journal.predecessorCalls(name))));
        if (state.waitUntilUs() > clock.nowUs()) {
            endpoints.giveBackUnwrittenTo(endpoint);
        }
        return true;
    }

    /** Reports to the decisions up to when the answers to the predecessor's calls are known. */
    private void updatePredecessorFreshness() {
        final long heardWallUs = journal.recordedUntilWallUs();
        predecessorFreshUntilUs =
                heardWallUs == Long.MAX_VALUE ? heardWallUs : clock.fromWallUs(heardWallUs) + PREDECESSOR_FRESH_US;
        control.onPredecessorFresh(clock.nowUs(), predecessorFreshUntilUs);
        final boolean isSilent = clock.nowUs() > predecessorFreshUntilUs
                && clock.nowUs() - predecessorFreshUntilUs > PREDECESSOR_SILENT_US;
        if (isSilent && !predecessorSilent) {
            Log.event(
                    "earlier_silent",
                    "msg",
                    "a predecessor process with calls in flight has recorded nothing for "
                            + (clock.nowUs() - predecessorFreshUntilUs + PREDECESSOR_FRESH_US) / US_PER_MS
                            + " ms; no calls are made where it has calls in flight");
        } else if (predecessorSilent && !isSilent) {
            Log.event("earlier_heard", "msg", "the predecessor process records again, or has no calls in flight");
        }
        predecessorSilent = isSilent;
    }

    /**
     * True if a call may be written now; the journal has recorded it as begun then. Decisions and connecting take time,
     * in which a wait may have been requested or a key's window may have ended. A process that dies before this has
     * made no attempt.
     */
    boolean mayWrite(final EndpointClient.Call call) {
        // An order applies as soon as it is in its file; the next pass may come later than this connection did.
        applyOrders();
        if (call.items().isEmpty() || !mayWrite(call.items().get(0).message().journaled.destination)) {
            return false;
        }
        // Checking may just have ended the call.
        return call.items().stream()
                        .allMatch(
                                item -> item.message().call == call && !item.message().finished && !isKeyExpired(item))
                && isRecorded(call);
    }

    /** An attempt that is not in the journal would be forgotten after a restart. */
    private boolean isRecorded(final EndpointClient.Call call) {
        boolean recorded = true;
        for (final CallItem item : call.items()) {
            recorded &= journal.beginAttempt(item.message().journaled, clock.wallUs(), discovery.zone(call.endpoint()));
        }
        return recorded;
    }

    /** True if the message may have been executed so long ago that endpoints may have forgotten its key. */
    private boolean isKeyExpired(final CallItem item) {
        final Courier.MessageClass messageClass = item.message().messageClass;
        final long firstRunWallUs = item.message().journaled.firstExecutionWallUs();
        return messageClass.effect() == Courier.Effect.KEYED
                && firstRunWallUs != JournaledMessage.NEVER
                && clock.wallUs() - firstRunWallUs >= KEY_WINDOW_SHARE * messageClass.keyWindowUs();
    }

    /** While a predecessor finishes its calls, reads once more what they reported. */
    private boolean mayWrite(final long destination) {
        if (handingOver) {
            return false;
        }
        if (journal.hasPredecessors()) {
            followPredecessors();
        }
        return journal.predecessorCalls(destination) == 0 || clock.nowUs() <= predecessorFreshUntilUs;
    }

    /** Logs a requested wait while two processes are one courier. */
    void onWaitRequested(final long destination, final String dial, final long waitUs) {
        if (handingOver || journal.hasPredecessors()) {
            Log.event("wait_told", "dest", destination, "dial", dial, "ms", waitUs / US_PER_MS);
        }
    }

    /** Descriptors available for calls. Two processes of one courier share them. */
    int descriptors() {
        return sharesDescriptors() ? config.sockets() / 2 : config.sockets();
    }

    /** True while two processes of this courier share its descriptors. */
    boolean sharesDescriptors() {
        return journal.hasPredecessors() || handingOver;
    }

    private void logStatus() {
        if (messages.size() > STATUS_STORE_SHARE * config.settings().limits().maxOpenMessages()) {
            Log.info("longest decision pass " + longestPassUs / US_PER_MS + " ms; " + control.describe(clock.nowUs()));
        }
        longestPassUs = 0;
    }

    /** Resumes a message that an earlier process accepted. */
    private void resume(final JournaledMessage journaled) {
        final Integer index = classes.get(journaled.className);
        if (journaled.notice() != null) {
            noticeSender.add(journaled);
        } else if (index == null) {
            endWithNotice(new OpenMessage(journaled, null, 0, null), new JournaledMessage.Notice(true, 0));
        } else if (!messages.containsKey(journaled.id)) {
            resume(journaled, index);
        }
    }

    private void resume(final JournaledMessage journaled, final int index) {
        final OpenMessage message = new OpenMessage(
                journaled, config.settings().classes().get(index), clock.fromWallUs(journaled.validUntilWallUs), null);
        final Courier.MessageHistory history = journaled.history(clock);
        recordOutcome(journaled, false);
        messages.put(journaled.id, message);
        control.onResumed(clock.nowUs(), toMessage(message, index), history);
    }

    /** Records the outcome of an attempt if one was begun. */
    private void recordOutcome(final JournaledMessage journaled, final boolean neverExecuted) {
        if (journaled.isInFlight()) {
            journal.endAttempt(journaled, neverExecuted);
        }
    }

    private static Courier.Message toMessage(final OpenMessage message, final int index) {
        return new Courier.Message(
                message.journaled.id, index, -1, null, message.validUntilUs, message.journaled.destination);
    }

    // ---------------------------------------------------------------- events from the sockets

    /** The class of that name, or null. */
    Courier.MessageClass messageClass(final String className) {
        final Integer index = classes.get(className);
        return index == null ? null : config.settings().classes().get(index);
    }

    /** True while a message of that id is open or its notice unconfirmed. */
    boolean isOpen(final String id) {
        return messages.containsKey(id) || journal.isOpen(id);
    }

    /** True if a message of that id was accepted so recently that its call may still be executed. */
    boolean isReserved(final String id) {
        return journal.isReserved(id, clock.wallUs());
    }

    /** Forgets the reserved ids whose time is over; returns how many are left. */
    int removeExpiredIds() {
        return journal.removeExpiredIds(clock.wallUs());
    }

    /** False for a destination that, as far as is known, does not exist. */
    boolean isKnownDestination(final long destination) {
        return discovery.knows(destination);
    }

    /** Accepts a message if there is space; its answer follows at the end of the pass. */
    void offer(final JournaledMessage journaled, final long validUntilUs, final Reply reply) {
        final int openCount = handingOver ? journal.count() : messages.size() + unresumed.size();
        if (openCount >= config.settings().limits().maxOpenMessages() || !journal.accept(journaled)) {
            reply.refused(ClientConnection.UNAVAILABLE, FULL_RETRY_AFTER_US);
            return;
        }
        if (handingOver) {
            // The next process reads it from the journal and sends it.
            reply.accepted();
            return;
        }
        accept(journaled, validUntilUs, reply);
    }

    private void accept(final JournaledMessage journaled, final long validUntilUs, final Reply reply) {
        final int index = classes.get(journaled.className);
        final OpenMessage message =
                new OpenMessage(journaled, config.settings().classes().get(index), validUntilUs, reply);
        messages.put(journaled.id, message);
        unanswered.add(message);
        control.onMessage(clock.nowUs(), toMessage(message, index));
        schedulePass();
    }

    /** The client left before it was answered, so nobody counts on this message. */
    void withdraw(final String id) {
        final OpenMessage message = messages.get(id);
        if (message != null) {
            complete(message);
            control.onWithdrawn(clock.nowUs(), id);
            if (message.call != null) {
                endpoints.giveBackIfUnwritten(message.call);
            }
            schedulePass();
        } else if (unresumed.remove(id) != null || handingOver) {
            journal.complete(id);
        }
    }

    /** A valid list arrived from that address. It is stored for the next process. */
    void storeList(final JsonNode list, final Courier.Update update, final InetSocketAddress from) {
        storedList.update(list, update, from);
    }

    /** The list changed, or could not be fetched. */
    void onListUpdate(final Courier.Update update, final List<Courier.Endpoint> entries) {
        listConfirmed = update != Courier.Update.RESTORED;
        control.onListUpdate(clock.nowUs(), update, entries);
        unlistedStates.values().removeIf(state -> {
            final boolean named = discovery.hasEndpoint(state.destination());
            if (named) {
                control.onPredecessorState(
                        clock.nowUs(), state.withCallsInFlight(journal.predecessorCalls(state.destination())));
            }
            return named;
        });
        Map.copyOf(unlistedEndpointStates).forEach((name, state) -> {
            if (applyEndpointState(name, state)) {
                unlistedEndpointStates.remove(name);
            }
        });
        reportedOrders = null;
        applyOrders();
        schedulePass();
    }

    /** True if the list has ever named that endpoint to this process. Thread-safe. */
    boolean hasListed(final String endpoint) {
        return discovery.hasListed(endpoint);
    }

    ClientEventLog events() {
        return events;
    }

    EndpointClient endpoints() {
        return endpoints;
    }

    /** The outcome of one message's part in a call. */
    void onOutcome(final CallItem item, final EndpointClient.Call call, final EndpointClient.MessageOutcome outcome) {
        final OpenMessage message = item.message();
        message.call = null;
        final boolean delivered = outcome.result() == Courier.Result.DELIVERED;
        final boolean isFinal = !message.finished && (delivered || outcome.isFinal());
        final boolean continues = !message.finished && !isFinal;
        control.onOutcome(
                clock.nowUs(),
                new Courier.Outcome(
                        message.journaled.id,
                        outcome.result(),
                        !continues,
                        call.endpoint(),
                        clock.nowUs() - call.sentUs(),
                        outcome.waitUs(),
                        outcome.reportedLimit()));
        if (handingOver) {
            // Records first what the outcome reported: once it is recorded, the next process may send the message.
            handOver(message);
        }
        if (isFinal) {
            complete(message);
        } else if (continues) {
            events.record(
                    ClientEvent.CALL_TO_RETRY,
                    0,
                    message.journaled.id + " " + outcome.result().name().toLowerCase(Locale.ROOT));
            recordOutcome(message.journaled, outcome.result().neverExecuted());
        }
        schedulePass();
    }

    /** The platform has confirmed these notices. */
    void onNoticesConfirmed(final List<JournaledMessage> confirmed) {
        confirmed.forEach(journal::complete);
    }

    // ---------------------------------------------------------------- decision pass

    /** Schedules a decision pass after everything that this turn of the event loop brought has been reported. */
    private void schedulePass() {
        if (!passScheduled) {
            passScheduled = true;
            loop.execute(this::runPass);
        }
    }

    private void runPass() {
        passScheduled = false;
        final long fromUs = clock.nowUs();
        try {
            if (!handingOver) {
                applyOrders();
                control.decide(clock.nowUs());
            }
        } catch (final RuntimeException | Error e) {
            Log.failure("the decision pass failed", e);
        }
        answerAccepted();
        outbox.forEach(this::sendAll);
        outbox.clear();
        noticeSender.flush();
        longestPassUs = Math.max(longestPassUs, clock.nowUs() - fromUs);
    }

    private void checkOrders() {
        if (!handingOver) {
            applyOrders();
            previousTurnWallUs = lastTurnWallUs;
            lastTurnWallUs = clock.wallUs();
        }
    }

    /** Reports the disabled endpoints to the decisions whenever the orders or the list have changed. */
    private void applyOrders() {
        final OperatorOrders.State orderState = orders.current();
        if (orderState != reportedOrders) {
            reportedOrders = orderState;
            final Set<Long> disabled = discovery.idsOf(orderState.disabledEndpoints());
            control.onEndpointsDisabled(clock.nowUs(), disabled);
            disabled.forEach(endpoints::stopUsing);
            schedulePass();
        }
    }

    /** Accepts the messages that were offered and not ended in the same pass. */
    private void answerAccepted() {
        final List<OpenMessage> due = List.copyOf(unanswered);
        unanswered.clear();
        for (final OpenMessage message : due) {
            if (message.reply != null && !message.finished) {
                final Reply reply = message.reply;
                message.reply = null;
                reply.accepted();
            }
        }
    }

    private void sendAll(final long endpoint, final List<CallItem> decided) {
        final List<CallItem> items =
                decided.stream().filter(item -> !item.message().finished).toList();
        // A message may have been withdrawn after the decision, when the answer to its client could not be sent.
        decided.stream()
                .filter(item -> item.message().finished)
                .map(item -> endpoints.prepare(endpoint, List.of(item)))
                .forEach(call -> loop.execute(() -> endpoints.abandon(call, Courier.Result.NOT_SENT)));
        final int messagesPerCall = Math.max(1, discovery.messagesPerCall(endpoint));
        for (int from = 0; from < items.size(); from += messagesPerCall) {
            final List<CallItem> batch = items.subList(from, Math.min(items.size(), from + messagesPerCall));
            final EndpointClient.Call call = endpoints.prepare(endpoint, batch);
            batch.forEach(item -> item.message().call = call);
            endpoints.start(call);
        }
    }

    // ---------------------------------------------------------------- actions requested by the decisions

    @Override
    public void send(final String messageId, final long endpoint, final long timeoutUs) {
        final OpenMessage message = messages.get(messageId);
        if (message != null) {
            outbox.computeIfAbsent(endpoint, unused -> new ArrayList<>()).add(new CallItem(message, timeoutUs));
        }
    }

    @Override
    public void refuse(final String messageId, final long retryAfterUs) {
        final OpenMessage message = messages.get(messageId);
        if (message == null) {
            return;
        }
        if (message.reply == null) {
            endWithNotice(message, new JournaledMessage.Notice(false, retryAfterUs / US_PER_MS));
        } else {
            final Reply reply = message.reply;
            complete(message);
            reply.refused(ClientConnection.TOO_MANY_REQUESTS, retryAfterUs);
        }
    }

    @Override
    public void fail(final String messageId) {
        final OpenMessage message = messages.get(messageId);
        if (message == null) {
            return;
        }
        if (message.reply == null) {
            endWithNotice(message, new JournaledMessage.Notice(true, 0));
        } else {
            final Reply reply = message.reply;
            complete(message);
            reply.failed();
        }
    }

    /** Ends an accepted message with a notice. The journal holds the notice until it is confirmed. */
    private void endWithNotice(final OpenMessage message, final JournaledMessage.Notice notice) {
        message.finished = true;
        messages.remove(message.journaled.id);
        journal.recordNotice(message.journaled, notice);
        noticeSender.add(message.journaled);
    }

    private void complete(final OpenMessage message) {
        // Calls begin only after the answer to the client.
        final boolean wasAccepted = message.reply == null;
        message.finished = true;
        message.reply = null;
        messages.remove(message.journaled.id);
        if (wasAccepted) {
            journal.complete(message.journaled);
        } else {
            journal.discard(message.journaled);
        }
    }

    @Override
    public void cancel(final String messageId, final int attempt) {
        final OpenMessage message = messages.get(messageId);
        if (message != null && message.call != null) {
            final EndpointClient.Call call = message.call;
            loop.execute(() -> endpoints.abandon(call, Courier.Result.CANCELLED));
        }
    }

    @Override
    public void closeIdleConnections(final long endpoint) {
        endpoints.closeIdle(endpoint);
    }

    @Override
    public void followList() {
        discovery.follow();
    }

    @Override
    public void wake(final long delayUs) {
        loop.schedule(this::schedulePass, delayUs, TimeUnit.MICROSECONDS);
    }

    // ---------------------------------------------------------------- new configuration

    /** Applies a new configuration: switches to its discovery at once; everything else applies from the next start. */
    void reload(final Config fresh) {
        final boolean onlyDiscovery =
                fresh.settings().equals(config.settings()) && fresh.listen().equals(config.listen());
        Log.info("SIGHUP: discovery is at " + fresh.discovery()
                + (onlyDiscovery ? "" : "; other changes of the configuration apply from the next start"));
        switchDiscovery(fresh.discovery());
    }

    /** Switches to the discovery address of the latest configuration if it is another one. */
    void moveDiscovery(final InetSocketAddress address) {
        if (!address.equals(discoveryAddress)) {
            Log.info("discovery is at " + address + " by a configuration that was reloaded meanwhile");
            switchDiscovery(address);
        }
    }

    private void switchDiscovery(final InetSocketAddress address) {
        discoveryAddress = address;
        discovery.switchTo(address);
        noticeSender.switchTo(address);
    }

    // ---------------------------------------------------------------- end of the process

    /** This process ends at that time: no call begins that cannot finish by then. */
    void stopAt(final long stopUs) {
        leaveFleet(true);
        control.onStopping(clock.nowUs(), stopUs);
        schedulePass();
    }

    /**
     * Hands over to another process: nothing more is decided or begun here. Messages without a call in flight belong to
     * the successor from now on; the outcomes of the others go into the journal, which the successor reads.
     */
    void handOver() {
        handingOver = true;
        storedList.stopStoring();
        leaveFleet(false);
        runPass();
        // Written later, such a call could violate a wait that only the successor knows.
        endpoints.giveBackAllUnwritten();
        messages.values().removeIf(message -> message.call == null);
        unresumed.values().forEach(journaled -> recordOutcome(journaled, false));
        unresumed.clear();
        journal.handOver(exportState(), exportEndpointStates(this::isNoteworthy));
        journal.recordProgress(previousTurnWallUs);
        previousTurnWallUs = clock.wallUs();
        loop.schedule(this::recordProgress, RECORDED_UNTIL_MS, TimeUnit.MILLISECONDS);
        endpoints.closeAllIdle();
    }

    /**
     * Records the time up to which all outcomes are recorded: the event loop has read each connection since this last
     * ran, and not yet in this turn.
     */
    private void recordProgress() {
        if (endpoints.hasCallsInFlight()) {
            journal.recordProgress(previousTurnWallUs);
            previousTurnWallUs = clock.wallUs();
            loop.schedule(this::recordProgress, RECORDED_UNTIL_MS, TimeUnit.MILLISECONDS);
        }
    }

    /**
     * The outcome of a message's call is known: the successor continues with it, with the latest state of the
     * destination.
     */
    private void handOver(final OpenMessage message) {
        messages.remove(message.journaled.id);
        exportState().stream()
                .filter(state -> state.destination() == message.journaled.destination)
                .forEach(journal::recordState);
        exportEndpointStates(state -> state.destination() == message.journaled.destination)
                .forEach(journal::recordEndpointState);
    }

    /** What this process has learnt about endpoints with routes of their own. */
    private List<JournalReader.NamedState> exportEndpointStates(final Predicate<Courier.DestinationState> which) {
        final long aheadUs = clock.wallUs() - clock.nowUs();
        final Map<Long, String> names = discovery.names();
        return control.exportEndpointStates().stream()
                .filter(memory -> names.containsKey(memory.endpoint()) && which.test(memory.state()))
                .map(memory -> new JournalReader.NamedState(
                        names.get(memory.endpoint()), memory.state().onClock(aheadUs)))
                .toList();
    }

    /** True if the successor has to know of calls in flight, a wait or an outage. */
    private boolean isNoteworthy(final Courier.DestinationState state) {
        return state.callsInFlight() > 0
                || state.waitUntilUs() > clock.nowUs()
                || state.circuit() != Courier.CircuitState.CLOSED;
    }

    /**
     * The process ends now. Its connections would stay open with unread answers until it has exited, so the remaining
     * calls are ended first, as possibly executed. The successor then takes them over and knows that none is in flight.
     */
    void endRemainingCalls() {
        endpoints.abandonAll();
    }

    private List<Courier.DestinationState> exportState() {
        final long aheadUs = clock.wallUs() - clock.nowUs();
        return control.exportState().stream()
                .map(state -> state.onClock(aheadUs))
                .toList();
    }

    /** True if nothing is in progress that the end of the process would cut off. */
    boolean isIdle() {
        return messages.isEmpty() && unresumed.isEmpty() && noticeSender.isEmpty();
    }
}
