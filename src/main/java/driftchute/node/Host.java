package driftchute.node;

import com.fasterxml.jackson.databind.JsonNode;
import driftchute.DeliveryPolicy;
import driftchute.Courier;
import driftchute.node.fleet.FleetLink;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Connects the sockets, the journal and the decisions ({@link DeliveryPolicy}): reports to the decisions what arrived in one
 * pass of the event loop, lets them decide once, and carries out the requested actions. It holds the open messages and
 * writes the journal before any byte that makes a promise. It holds nothing before it has taken over the journal, and
 * stops deciding when it hands over to the next process. Runs on the event loop's thread.
 */
final class Host implements Courier.Actions {
    private static final long US_PER_MS = 1000;
    /** Retry-After when the store is full. Messages stay in it for some seconds, so a place becomes free soon. */
    private static final long FULL_RETRY_US = 1_000_000;
    /** Interval of the status line in the log while many messages are held. */
    private static final long STATUS_MS = 5_000;
    /**
     * Interval at which the operators' orders are checked when nothing else triggers it, so that calls about to be sent
     * are held back.
     */
    private static final long HEED_MS = 50;
    /** Interval at which the journal of an ending predecessor is read. */
    private static final long FOLLOW_MS = 5;
    /** Interval at which an ending process records the time up to which all its calls' answers are recorded. */
    private static final long HEARD_MS = 10;
    /**
     * Maximum age of that time for a call to a destination where the predecessor has calls in flight. A call may still
     * arrive for 100 ms after an answer that asks for a wait (PROTOCOL-irishead.md, The rules on sockets); the rest is
     * for its transmission.
     */
    private static final long HEARD_FRESH_US = 60_000;
    /** Additional silence of the predecessor after which a line is logged. */
    private static final long SILENT_US = 200_000;
    /** Interval of the reports to the other couriers. */
    private static final long REPORT_MS = 100;
    /** Share of a key's window after which no repeat is written. The rest is for its transmission. */
    private static final double KEY_SHARE = 0.95;
    /**
     * Maximum number of messages resumed in one turn of the event loop, with one decision pass. Resuming all at once
     * would delay clients by the first pass over a full store, which runs on code that is not compiled yet.
     */
    private static final int TAKEN_UP_AT_ONCE = 32;
    /** Share of the store above which the status is logged. */
    private static final double PILE_SHARE = 0.1;

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
    static final class Open {
        final Held held;
        /** Accepted by an earlier process, which answered the client. */
        private final boolean resumed;

        final Courier.MessageClass kind;
        final long validUntilUs;
        /** Receives the first answer; null once it is given. */
        private Reply reply;

        private boolean over;
        private EndpointClient.Call call;

        Open(final Held held, final Courier.MessageClass kind, final long validUntilUs, final Reply reply) {
            this.held = held;
            this.resumed = reply == null;
            this.kind = kind;
            this.validUntilUs = validUntilUs;
            this.reply = reply;
        }
    }

    /** One message's part in a call. */
    record Parcel(Open open, long timeoutUs) {}

    private final Config config;
    private final EventLoop loop;
    private final Clock clock;
    private final Journal journal;
    private final OperatorOrders orders;
    private final DeliveryPolicy control;
    private final EndpointClient endpoints;
    private final Discovery discovery;
    private final StoredList knownList;
    private final NoticeSender notices;
    private final Map<String, Open> messages = new LinkedHashMap<>();
    private final Map<String, Integer> classes = new HashMap<>();
    private final Map<Long, List<Parcel>> outbox = new LinkedHashMap<>();
    private final List<Open> unanswered = new ArrayList<>();
    /** Messages of earlier processes that were not reported to the decisions yet, by id, in the order of acceptance. */
    private final Map<String, Held> untold = new LinkedHashMap<>();

    private boolean passDue;
    private InetSocketAddress discoveryAt;
    /** Discovery has reported its list, or cannot be reached, so that the stored list is used. */
    private boolean confirmed;
    /** Another process decides and sends now; this one only finishes its calls in flight. */
    private boolean leaving;

    private ScheduledFuture<?> following;
    /** The shared state of the tier; null if couriers share nothing, or while this process does not serve. */
    private FleetLink fleet;

    private final AtomicBoolean viewDue = new AtomicBoolean();
    /** State of earlier processes about destinations that are not listed yet. */
    private final Map<Long, Courier.DestinationState> unlisted = new HashMap<>();
    /** End of the latest wait of each destination that was taken over from earlier processes. */
    private final Map<Long, Long> waitsTakenUs = new HashMap<>();
    /** Until when the predecessor's state counts as recent. */
    private long freshUntilUs = Long.MAX_VALUE;

    private boolean silent;
    /**
     * Wall-clock time of the last turn and the one before, Unix us. Each connection has been read up to the earlier
     * one.
     */
    private long turnWallUs;

    private long readWallUs;
    /** The orders that were last reported to the decisions. */
    private OperatorOrders.State heeded;
    /** Longest decision pass since the last status line. Nothing else runs on the event loop during a pass. */
    private long longestPassUs;

    Host(final Config config, final EventLoop loop, final Clock clock, final Journal journal, final OperatorOrders orders) {
        this.config = config;
        this.loop = loop;
        this.clock = clock;
        this.journal = journal;
        this.orders = orders;
        this.control = new DeliveryPolicy(config.settings(), config.seed(), this);
        this.endpoints = new EndpointClient(config, loop, clock, this);
        this.discovery = new Discovery(config, loop, clock, this);
        this.discoveryAt = config.discovery();
        this.knownList = new StoredList(config.state(), config.diskBytes());
        this.notices = new NoticeSender(config.discovery(), loop, this);
        config.settings().classes().forEach(kind -> classes.put(kind.name(), classes.size()));
    }

    /** Starts to follow the list. Nothing else happens before this process takes over. */
    void start() {
        discovery.restore(knownList.newest(config.known(), discoveryAt));
        loop.scheduleWithFixedDelay(this::lookUp, HEED_MS, HEED_MS, TimeUnit.MILLISECONDS);
        loop.scheduleWithFixedDelay(this::tell, STATUS_MS, STATUS_MS, TimeUnit.MILLISECONDS);
        touch();
    }

    /**
     * Takes over: from now on this process decides, records and sends. First it resumes the messages of earlier
     * processes.
     */
    void takeUp() throws IOException {
        catchUp();
        knownList.startStoring();
        journal.open();
        final Journal.News news = journal.poll();
        news.over().forEach(journal::over);
        remember(news.memories());
        hear();
        journal.live().forEach(held -> untold.put(held.id, held));
        final long resumed = untold.values().stream()
                .filter(held -> held.notice() == null && classes.containsKey(held.className))
                .count();
        if (resumed > 0) {
            Log.event("resumed", "msg", "resumed " + resumed + " messages", "messages", resumed);
        }
        if (journal.hasPredecessors()) {
            Log.info("the predecessor process is still finishing its calls");
            following =
                    loop.scheduleWithFixedDelay(this::followPredecessors, FOLLOW_MS, FOLLOW_MS, TimeUnit.MILLISECONDS);
        }
        join();
        takeUpSome();
    }

    /** Loads a newer list that the predecessor received, since discovery may be unreachable now. */
    private void catchUp() {
        final JsonNode list = knownList.newer(discoveryAt);
        if (list != null) {
            final boolean goesBy = confirmed;
            discovery.restore(list);
            if (goesBy) {
                discovery.onUnchanged();
            }
        }
    }

    /** Resumes the next messages. The event loop polls its sockets between two turns of this. */
    private void takeUpSome() {
        final List<Held> next = untold.values().stream().limit(TAKEN_UP_AT_ONCE).toList();
        next.forEach(held -> {
            untold.remove(held.id);
            resume(held);
        });
        touch();
        if (!untold.isEmpty()) {
            loop.schedule(this::takeUpSome, 0, TimeUnit.MILLISECONDS);
        }
    }

    /** Resumes a message, or replaces the state of one that still waits to be resumed. */
    private void takeUp(final Held held) {
        if (untold.replace(held.id, held) == null) {
            resume(held);
        }
    }

    /** Joins the fleet, if configured. Only the serving process does. */
    private void join() {
        if (config.fleet() != null) {
            fleet = new FleetLink(
                    config.fleet(),
                    config.settings().guarantees(),
                    config.seed(),
                    config.state(),
                    clock::nowUs,
                    Log::event,
                    view -> {
                        // One reading of the latest view is enough, however far the traffic thread is behind.
                        if (viewDue.compareAndSet(false, true)) {
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
        viewDue.set(false);
        control.onFleetView(clock.nowUs(), fleet.view());
        touch();
    }

    /** Leaves the fleet. {@code leaves}: no process of this courier continues for now. */
    private void part(final boolean leaves) {
        if (fleet != null) {
            fleet.end(leaves);
        }
    }

    /** Reads what an ending predecessor has released since, and what its calls reported. */
    private void followPredecessors() {
        if (leaving) {
            following.cancel(false);
            return;
        }
        final Journal.News news = journal.poll();
        news.over().forEach(this::overElsewhere);
        remember(news.memories());
        hear();
        news.mine().forEach(this::takeUp);
        if (!news.mine().isEmpty() || !news.memories().isEmpty()) {
            touch();
        }
        if (!journal.hasPredecessors()) {
            following.cancel(false);
            control.onPredecessorGone(clock.nowUs());
            Log.info("the predecessor process has ended");
            touch();
        }
    }

    /**
     * The predecessor has finished that message, so this process need not. But if a client submitted a message with the
     * same id to this process again, this process has promised to deliver it and still has to.
     */
    private void overElsewhere(final String id) {
        final Open open = messages.get(id);
        if (open == null || open.resumed) {
            withdraw(id);
        }
    }

    private void remember(final List<Courier.DestinationState> memories) {
        final long aheadUs = clock.nowUs() - clock.wallUs();
        memories.forEach(memory -> remember(memory.onClock(aheadUs)));
    }

    private void remember(final Courier.DestinationState memory) {
        final long destination = memory.destination();
        if (!discovery.hasEndpoint(destination)) {
            unlisted.put(destination, memory);
        }
        control.onPredecessorState(clock.nowUs(), memory);
        final long leftUs = memory.waitUntilUs() - clock.nowUs();
        if (leftUs > 0) {
            final Long before = waitsTakenUs.put(destination, memory.waitUntilUs());
            if (before == null || before < memory.waitUntilUs() - HEARD_FRESH_US) {
                Log.event("wait_taken_over", "dest", destination, "left_ms", leftUs / US_PER_MS);
            }
            endpoints.giveBackUnwritten(destination);
        }
    }

    /** Reports to the decisions up to when the answers to the predecessor's calls are known. */
    private void hear() {
        final long heardWallUs = journal.heardWallUs();
        freshUntilUs = heardWallUs == Long.MAX_VALUE ? heardWallUs : clock.fromWallUs(heardWallUs) + HEARD_FRESH_US;
        control.onPredecessorFresh(clock.nowUs(), freshUntilUs);
        final boolean now = clock.nowUs() > freshUntilUs && clock.nowUs() - freshUntilUs > SILENT_US;
        if (now && !silent) {
            Log.event(
                    "earlier_silent",
                    "msg",
                    "a predecessor process with calls in flight has recorded nothing for "
                            + (clock.nowUs() - freshUntilUs + HEARD_FRESH_US) / US_PER_MS
                            + " ms; no calls are made where it has calls in flight");
        } else if (silent && !now) {
            Log.event("earlier_heard", "msg", "the predecessor process records again, or has no calls in flight");
        }
        silent = now;
    }

    /**
     * True if a call may be written now; the journal has recorded it as begun then. Decisions and connecting take time,
     * in which a wait may have been requested or a key's window may have ended. A process that dies before this has
     * made no attempt.
     */
    boolean mayWrite(final EndpointClient.Call call) {
        // An order applies as soon as it is in its file; the next pass may come later than this connection did.
        heed();
        if (call.items().isEmpty() || !mayWrite(call.items().get(0).open().held.destination)) {
            return false;
        }
        // Checking may just have ended the call.
        return call.items().stream().allMatch(parcel -> parcel.open().call == call && !isForgotten(parcel))
                && isRecorded(call);
    }

    /** An attempt that is not in the journal would be forgotten after a restart. */
    private boolean isRecorded(final EndpointClient.Call call) {
        boolean recorded = true;
        for (final Parcel parcel : call.items()) {
            recorded &= journal.begin(parcel.open().held, clock.wallUs(), discovery.zone(call.endpoint()));
        }
        return recorded;
    }

    /** True if the message may have been executed so long ago that endpoints may have forgotten its key. */
    private boolean isForgotten(final Parcel parcel) {
        final Courier.MessageClass kind = parcel.open().kind;
        final long firstRunWallUs = parcel.open().held.firstRunWallUs();
        return kind.effect() == Courier.Effect.KEYED
                && firstRunWallUs != Held.NEVER
                && clock.wallUs() - firstRunWallUs >= KEY_SHARE * kind.keyWindowUs();
    }

    /** While a predecessor finishes its calls, reads once more what they reported. */
    private boolean mayWrite(final long destination) {
        if (leaving) {
            return false;
        }
        if (journal.hasPredecessors()) {
            followPredecessors();
        }
        return journal.callsOutElsewhere(destination) == 0 || clock.nowUs() <= freshUntilUs;
    }

    /** Logs a requested wait while two processes are one courier. */
    void waitTold(final long destination, final String dial, final long waitUs) {
        if (leaving || journal.hasPredecessors()) {
            Log.event("wait_told", "dest", destination, "dial", dial, "ms", waitUs / US_PER_MS);
        }
    }

    /** Descriptors available for calls. Two processes of one courier share them. */
    int descriptors() {
        return journal.hasPredecessors() || leaving ? config.sockets() / 2 : config.sockets();
    }

    private void tell() {
        if (messages.size() > PILE_SHARE * config.settings().limits().maxOpenMessages()) {
            Log.info("longest decision pass " + longestPassUs / US_PER_MS + " ms; " + control.describe(clock.nowUs()));
        }
        longestPassUs = 0;
    }

    /** Resumes a message that an earlier process accepted. */
    private void resume(final Held held) {
        final Integer index = classes.get(held.className);
        if (held.notice() != null) {
            notices.add(held);
        } else if (index == null) {
            end(new Open(held, null, 0, null), new Held.Notice(true, 0));
        } else if (!messages.containsKey(held.id)) {
            resume(held, index);
        }
    }

    private void resume(final Held held, final int index) {
        final Open open =
                new Open(held, config.settings().classes().get(index), clock.fromWallUs(held.validUntilWallUs), null);
        final Courier.MessageHistory past = held.past(clock);
        settle(held, false);
        messages.put(held.id, open);
        control.onResumed(clock.nowUs(), message(open, index), past);
    }

    /** Records the outcome of an attempt if one was begun. */
    private void settle(final Held held, final boolean neverRan) {
        if (held.isOut()) {
            journal.settle(held, neverRan);
        }
    }

    private static Courier.Message message(final Open open, final int index) {
        return new Courier.Message(open.held.id, index, -1, null, open.validUntilUs, open.held.destination);
    }

    // ---------------------------------------------------------------- events from the sockets

    /** The class of that name, or null. */
    Courier.MessageClass kind(final String className) {
        final Integer index = classes.get(className);
        return index == null ? null : config.settings().classes().get(index);
    }

    /** True while a message of that id is open or its notice unconfirmed. */
    boolean holds(final String id) {
        return messages.containsKey(id) || journal.holds(id);
    }

    /** False for a destination that, as far as is known, does not exist. */
    boolean knows(final long destination) {
        return discovery.knows(destination);
    }

    /** Accepts a message if there is space; its answer follows at the end of the pass. */
    void offer(final Held held, final long validUntilUs, final Reply reply) {
        final int open = leaving ? journal.count() : messages.size() + untold.size();
        if (open >= config.settings().limits().maxOpenMessages() || !journal.take(held)) {
            reply.refused(ClientServer.UNAVAILABLE, FULL_RETRY_US);
            return;
        }
        if (leaving) {
            // The next process reads it from the journal and sends it.
            reply.accepted();
            return;
        }
        take(held, validUntilUs, reply);
    }

    private void take(final Held held, final long validUntilUs, final Reply reply) {
        final int index = classes.get(held.className);
        final Open open = new Open(held, config.settings().classes().get(index), validUntilUs, reply);
        messages.put(held.id, open);
        unanswered.add(open);
        control.onMessage(clock.nowUs(), message(open, index));
        touch();
    }

    /** The client left before it was answered, so nobody counts on this message. */
    void withdraw(final String id) {
        final Open open = messages.get(id);
        if (open != null) {
            forget(open);
            control.onWithdrawn(clock.nowUs(), id);
            touch();
        } else if (untold.remove(id) != null || leaving) {
            journal.over(id);
        }
    }

    /** A valid list arrived from that address. It is stored for the next process. */
    void told(final JsonNode list, final Courier.Update update, final InetSocketAddress from) {
        knownList.update(list, update, from);
    }

    /** The list changed, or could not be fetched. */
    void list(final Courier.Update update, final List<Courier.Endpoint> entries) {
        confirmed = update != Courier.Update.RESTORED;
        control.onListUpdate(clock.nowUs(), update, entries);
        unlisted.values().removeIf(memory -> {
            final boolean named = discovery.hasEndpoint(memory.destination());
            if (named) {
                control.onPredecessorState(clock.nowUs(), memory.withCallsInFlight(journal.callsOutElsewhere(memory.destination())));
            }
            return named;
        });
        heeded = null;
        heed();
        touch();
    }

    /** True if the list has ever named that endpoint to this process. Thread-safe. */
    boolean hasListed(final String endpoint) {
        return discovery.hasListed(endpoint);
    }

    EndpointClient endpoints() {
        return endpoints;
    }

    /** The outcome of one message's part in a call. */
    void outcome(final Parcel parcel, final EndpointClient.Call call, final EndpointClient.MessageOutcome answer) {
        final Open open = parcel.open();
        open.call = null;
        final boolean delivered = answer.result() == Courier.Result.DELIVERED;
        final boolean ends = !open.over && (delivered || answer.isFinal());
        final boolean goesOn = !open.over && !ends;
        control.onOutcome(
                clock.nowUs(),
                new Courier.Outcome(
                        open.held.id,
                        answer.result(),
                        !goesOn,
                        call.endpoint(),
                        clock.nowUs() - call.sentUs(),
                        answer.waitUs(),
                        answer.reportedLimit()));
        if (leaving) {
            // Records first what the outcome reported: once it is recorded, the next process may send the message.
            leave(open);
        }
        if (ends) {
            forget(open);
        } else if (goesOn) {
            settle(open.held, answer.result().neverExecuted());
        }
        touch();
    }

    /** The platform has confirmed these notices. */
    void noticed(final List<Held> confirmed) {
        confirmed.forEach(journal::over);
    }

    // ---------------------------------------------------------------- decision pass

    /** Schedules a decision pass after everything that this turn of the event loop brought has been reported. */
    private void touch() {
        if (!passDue) {
            passDue = true;
            loop.execute(this::pass);
        }
    }

    private void pass() {
        passDue = false;
        final long fromUs = clock.nowUs();
        try {
            if (!leaving) {
                heed();
                control.decide(clock.nowUs());
            }
        } catch (final RuntimeException | Error e) {
            Log.failure("the decision pass failed", e);
        }
        answer();
        outbox.forEach(this::sendAll);
        outbox.clear();
        notices.flush();
        longestPassUs = Math.max(longestPassUs, clock.nowUs() - fromUs);
    }

    private void lookUp() {
        if (!leaving) {
            heed();
            readWallUs = turnWallUs;
            turnWallUs = clock.wallUs();
        }
    }

    /** Reports the disabled endpoints to the decisions whenever the orders or the list have changed. */
    private void heed() {
        final OperatorOrders.State standing = orders.current();
        if (standing != heeded) {
            heeded = standing;
            final Set<Long> barred = discovery.idsOf(standing.disabledEndpoints());
            control.onEndpointsDisabled(clock.nowUs(), barred);
            barred.forEach(endpoints::stopUsing);
            touch();
        }
    }

    /** Accepts the messages that were offered and not ended in the same pass. */
    private void answer() {
        final List<Open> due = List.copyOf(unanswered);
        unanswered.clear();
        for (final Open open : due) {
            if (open.reply != null && !open.over) {
                final Reply reply = open.reply;
                open.reply = null;
                reply.accepted();
            }
        }
    }

    private void sendAll(final long endpoint, final List<Parcel> parcels) {
        final int most = Math.max(1, discovery.messagesPerCall(endpoint));
        for (int from = 0; from < parcels.size(); from += most) {
            final List<Parcel> some = parcels.subList(from, Math.min(parcels.size(), from + most));
            final EndpointClient.Call call = endpoints.prepare(endpoint, some);
            some.forEach(parcel -> parcel.open().call = call);
            endpoints.start(call);
        }
    }

    // ---------------------------------------------------------------- actions requested by the decisions

    @Override
    public void send(final String messageId, final long endpoint, final long timeoutUs) {
        final Open open = messages.get(messageId);
        if (open != null) {
            outbox.computeIfAbsent(endpoint, unused -> new ArrayList<>()).add(new Parcel(open, timeoutUs));
        }
    }

    @Override
    public void refuse(final String messageId, final long retryAfterUs) {
        final Open open = messages.get(messageId);
        if (open == null) {
            return;
        }
        if (open.reply == null) {
            end(open, new Held.Notice(false, retryAfterUs / US_PER_MS));
        } else {
            final Reply reply = open.reply;
            forget(open);
            reply.refused(ClientServer.TOO_MANY_REQUESTS, retryAfterUs);
        }
    }

    @Override
    public void fail(final String messageId) {
        final Open open = messages.get(messageId);
        if (open == null) {
            return;
        }
        if (open.reply == null) {
            end(open, new Held.Notice(true, 0));
        } else {
            final Reply reply = open.reply;
            forget(open);
            reply.failed();
        }
    }

    /** Ends an accepted message with a notice. The journal holds the notice until it is confirmed. */
    private void end(final Open open, final Held.Notice notice) {
        open.over = true;
        messages.remove(open.held.id);
        journal.owe(open.held, notice);
        notices.add(open.held);
    }

    private void forget(final Open open) {
        open.over = true;
        open.reply = null;
        messages.remove(open.held.id);
        journal.over(open.held);
    }

    @Override
    public void cancel(final String messageId, final int attempt) {
        final Open open = messages.get(messageId);
        if (open != null && open.call != null) {
            final EndpointClient.Call call = open.call;
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
        loop.schedule(this::touch, delayUs, TimeUnit.MICROSECONDS);
    }

    // ---------------------------------------------------------------- new configuration

    /** Applies a new configuration: switches to its discovery at once; everything else applies from the next start. */
    void reload(final Config fresh) {
        final boolean same =
                fresh.settings().equals(config.settings()) && fresh.listen().equals(config.listen());
        Log.info("SIGHUP: discovery is at " + fresh.discovery()
                + (same ? "" : "; other changes of the configuration apply from the next start"));
        discoveryAt = fresh.discovery();
        discovery.switchTo(fresh.discovery());
        notices.switchTo(fresh.discovery());
    }

    // ---------------------------------------------------------------- end of the process

    /** This process ends at that time: no call begins that cannot finish by then. */
    void stopping(final long stopUs) {
        part(true);
        control.onStopping(clock.nowUs(), stopUs);
        touch();
    }

    /**
     * Hands over to another process: nothing more is decided or begun here. Messages without a call in flight belong to
     * the successor from now on; the outcomes of the others go into the journal, which the successor reads.
     */
    void leave() {
        leaving = true;
        knownList.stopStoring();
        part(false);
        pass();
        // Written later, such a call could violate a wait that only the successor knows.
        endpoints.giveBackAllUnwritten();
        messages.values().removeIf(open -> open.call == null);
        untold.values().forEach(held -> settle(held, false));
        untold.clear();
        journal.leave(memories());
        journal.heard(readWallUs);
        readWallUs = clock.wallUs();
        loop.schedule(this::heard, HEARD_MS, TimeUnit.MILLISECONDS);
        endpoints.closeAllIdle();
    }

    /**
     * Records the time up to which all outcomes are recorded: the event loop has read each connection since this last
     * ran, and not yet in this turn.
     */
    private void heard() {
        if (endpoints.hasCallsInFlight()) {
            journal.heard(readWallUs);
            readWallUs = clock.wallUs();
            loop.schedule(this::heard, HEARD_MS, TimeUnit.MILLISECONDS);
        }
    }

    /**
     * The outcome of a message's call is known: the successor continues with it, with the latest state of the
     * destination.
     */
    private void leave(final Open open) {
        messages.remove(open.held.id);
        memories().stream()
                .filter(memory -> memory.destination() == open.held.destination)
                .forEach(journal::remember);
    }

    /**
     * The process ends now. Its connections would stay open with unread answers until it has exited, so the remaining
     * calls are ended first, as possibly executed. The successor then takes them over and knows that none is in flight.
     */
    void cutOff() {
        endpoints.abandonAll();
    }

    private List<Courier.DestinationState> memories() {
        final long aheadUs = clock.wallUs() - clock.nowUs();
        return control.exportState().stream()
                .map(memory -> memory.onClock(aheadUs))
                .toList();
    }

    /** True if nothing is in progress that the end of the process would cut off. */
    boolean idle() {
        return messages.isEmpty() && untold.isEmpty() && notices.isEmpty();
    }
}
