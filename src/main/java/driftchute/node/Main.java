package driftchute.node;

import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/** Starts a courier process, reloads its configuration on SIGHUP, and stops it in order on SIGTERM. */
public final class Main {
    /** Time for which the listener stays open after SIGTERM. New connections still arrive for up to 0.4 s. */
    private static final long LISTEN_AFTER_TERM_MS = 550;
    /** The same if another process takes over: it may be slow to listen, and clients are served meanwhile. */
    private static final long HANDOVER_LISTEN_MS = 2500;
    /**
     * Time after SIGTERM at which remaining client connections are ended. Each has been open for at least 2 s then, and
     * their last answers have 0.5 s left to be read.
     */
    private static final long END_CONNECTIONS_MS = 2600;
    /** Time to accept and read what is in the listener's queue: a few turns of the event loop. */
    private static final long ACCEPT_QUEUE_MS = 50;
    /** Time after SIGTERM at which the process ends. SIGKILL comes no sooner than 3.7 s after SIGTERM. */
    private static final long STOP_MS = 3100;

    private static final long STOP_CHECK_MS = 20;
    /** Additional time for the event loop's last turn. */
    private static final long LAST_TURN_MS = 1000;
    /** Interval at which the locks of other processes are checked. */
    private static final long LOCK_CHECK_MS = 10;

    private static final long US_PER_MS = 1000;

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final Clock clock = new Clock();
    private final CountDownLatch stopped = new CountDownLatch(1);
    private final Map<String, String> environment;
    /** True if this process serves, or stands by to serve. */
    private volatile boolean ready;
    /** True once it has taken over from its predecessor. Event loop only. */
    private boolean isServing;
    /** True if it was told to stop before it served: it takes nothing over any more. Event loop only. */
    private boolean stoppedBeforeServing;

    private HandoverLocks handover;
    /** Null until the parts are created. Guarded by this object, like {@link #signalledEarly}. */
    private ConfigReload reload;
    /** A SIGHUP came before that. */
    private boolean signalledEarly;

    private DeliveryService host;
    private ClientServer intake;

    private Main(final Map<String, String> environment) {
        this.environment = environment;
    }

    /** Runs a courier with the settings of the environment until it is stopped. */
    public static void main(final String[] args) {
        try {
            start(System.getenv());
        } catch (final Config.BadConfigException | IOException e) {
            System.err.println("cannot start: " + e.getMessage());
            System.exit(1);
        }
    }

    static void start(final Map<String, String> environment) throws Config.BadConfigException, IOException {
        Log.redirectLibraryLogs();
        new Main(environment).start();
    }

    private void start() throws Config.BadConfigException, IOException {
        // Must be first: until the handler is in place, a SIGHUP ends the process.
        HangupSignal.onSignal(this::reload);
        final Config config = Config.read(environment);
        final MovedDiscovery moved = new MovedDiscovery(config.state());
        Log.setProcessName(config.name());
        handover = new HandoverLocks(config.state());
        Runtime.getRuntime().addShutdownHook(new Thread(this::stop, "stop"));
        final OperatorOrders orders = new OperatorOrders(config.state(), config.diskBytes());
        if (handover.tryServe()) {
            // A drain applies to the running courier. One that starts anew is meant to serve.
            orders.change(state -> state.withDraining(false));
        }
        runOnLoop(() -> createParts(config, orders, moved));
    }

    /** A step of the start. If it fails the process exits, so that no courier is left that never becomes ready. */
    private interface Step {
        void run() throws IOException;
    }

    private void runOnLoop(final Step step) {
        loop.execute(() -> {
            try {
                step.run();
            } catch (final IllegalArgumentException | IOException e) {
                // An exception on the event loop's thread would otherwise be swallowed.
                abort(e.getMessage());
            }
        });
    }

    private static void abort(final String reason) {
        System.err.println("cannot start: " + reason);
        Runtime.getRuntime().halt(1);
    }

    /** Creates all parts on the event loop, which owns them from then on. */
    private void createParts(final Config config, final OperatorOrders orders, final MovedDiscovery moved)
            throws IOException {
        if (stoppedBeforeServing) {
            return;
        }
        host = new DeliveryService(config, loop, clock, Journal.of(config), orders);
        intake = new ClientServer(config, clock, host, orders);
        host.start();
        followReloads(new ConfigReload(environment, loop, host, moved));
        openManagement(config, orders);
        tryToServe(config);
    }

    /** Serves as soon as no other process of this courier does. Until then it stands by, which counts as ready. */
    private void tryToServe(final Config config) throws IOException {
        if (stoppedBeforeServing) {
            return;
        }
        if (handover.tryServe()) {
            if (ready) {
                // The configuration may have changed while this process stood by.
                applyLatestConfig();
            }
            serve(config);
            return;
        }
        if (!ready && handover.tryStandBy()) {
            ready = true;
            Log.event("stands_by", "msg", config.name() + " stands by");
        }
        loop.schedule(() -> runOnLoop(() -> tryToServe(config)), LOCK_CHECK_MS, TimeUnit.MILLISECONDS);
    }

    private void serve(final Config config) throws IOException {
        isServing = true;
        host.takeOver();
        intake.listen(group, loop).addListener(bound -> {
            if (bound.isSuccess()) {
                ready = true;
                handover.releaseStandBy();
                Log.event(
                        "ready",
                        "msg",
                        config.name() + " is ready at " + intake.address(),
                        "listen",
                        String.valueOf(intake.address()));
            } else {
                abort("cannot listen on " + config.listen() + ": "
                        + bound.cause().getMessage());
            }
        });
    }

    /** Opens the management address if one is configured. */
    private void openManagement(final Config config, final OperatorOrders orders) {
        if (config.mgmt() == null) {
            return;
        }
        final ChannelFuture bound = new Management(config, orders, () -> ready, host::hasListed).listen(config);
        bound.addListener(done -> {
            if (done.isSuccess()) {
                Log.info("the second address is "
                        + bound.channel().localAddress().toString().replaceFirst(".*/", ""));
            } else {
                abort("cannot listen on " + config.mgmt() + ": " + done.cause().getMessage());
            }
        });
    }

    private synchronized void applyLatestConfig() {
        reload.applyLatest();
    }

    private synchronized void followReloads(final ConfigReload created) {
        reload = created;
        reload.start();
        if (signalledEarly) {
            reload.onSignal();
        }
    }

    /** Handles SIGHUP. */
    private synchronized void reload() {
        if (reload == null) {
            signalledEarly = true;
        } else {
            reload.onSignal();
        }
    }

    /** Handles SIGTERM: hands over to the process that stands by, or leaves unfinished work to the next start. */
    private void stop() {
        // All deadlines before SIGKILL count from here, because the event loop may run late.
        final long fromUs = clock.nowUs();
        loop.execute(() -> {
            if (!isServing) {
                // It has accepted nothing, so the serving process simply goes on.
                stopBeforeServing();
                return;
            }
            try {
                ready = false;
                if (handover.hasSuccessor()) {
                    handOver(fromUs);
                } else {
                    drain(fromUs);
                }
            } catch (final IOException e) {
                Log.failure("the handover locks cannot be used", e);
                drain(fromUs);
            }
        });
        try {
            // A process that was itself suspended reads what has arrived meanwhile before it ends.
            if (!stopped.await(STOP_MS + LISTEN_AFTER_TERM_MS / 2, TimeUnit.MILLISECONDS)
                    && !stopped.await(LAST_TURN_MS, TimeUnit.MILLISECONDS)) {
                Log.info("the event loop did not stop in time");
            }
        } catch (final InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Ending takes a while. From now on this process neither serves nor stands by, so that another one may. */
    private void stopBeforeServing() {
        stoppedBeforeServing = true;
        ready = false;
        try {
            handover.releaseAll();
        } catch (final IOException e) {
            Log.failure("the handover locks cannot be used", e);
        }
        stopped.countDown();
    }

    /**
     * Stops without a successor: goes on while clients are connected and messages are open, within the time left before
     * SIGKILL, and leaves the rest to the next start.
     */
    private void drain(final long fromUs) {
        final long stopUs = afterAcceptQueue(fromUs + STOP_MS * US_PER_MS);
        intake.drain();
        host.stopAt(stopUs);
        scheduleAt(fromUs + LISTEN_AFTER_TERM_MS * US_PER_MS, () -> {
            intake.closeListener();
            stopWhen(stopUs, () -> host.isIdle() && intake.isEmpty());
        });
        scheduleAt(afterAcceptQueue(fromUs + END_CONNECTIONS_MS * US_PER_MS), intake::endConnections);
    }

    /** The given time, or later if the event loop is late and still has to read what is in the listener's queue. */
    private long afterAcceptQueue(final long us) {
        return Math.max(us, clock.nowUs() + ACCEPT_QUEUE_MS * US_PER_MS);
    }

    /** Runs a task on the event loop at that time, or at once if it has passed. */
    private void scheduleAt(final long us, final Runnable task) {
        loop.schedule(task, us - clock.nowUs(), TimeUnit.MICROSECONDS);
    }

    /** Hands over to another process: only finishes its calls and its clients' connections. */
    private void handOver(final long fromUs) throws IOException {
        Log.info("handing over to another process");
        intake.handOver();
        host.handOver();
        handover.releaseServing();
        loop.execute(() -> stopListening(fromUs + HANDOVER_LISTEN_MS * US_PER_MS));
        stopWhen(afterAcceptQueue(fromUs + STOP_MS * US_PER_MS), () -> host.isIdle() && intake.isEmpty());
    }

    /** Listens until the successor does, or until the time is up. */
    private void stopListening(final long byUs) {
        final boolean done = isSuccessorReady();
        if (done || clock.nowUs() >= byUs) {
            Log.info(done ? "the successor listens" : "the successor does not listen yet; open messages wait for it");
            intake.closeListener();
        } else {
            loop.schedule(() -> stopListening(byUs), LOCK_CHECK_MS, TimeUnit.MILLISECONDS);
        }
    }

    private boolean isSuccessorReady() {
        try {
            return handover.isSuccessorServing();
        } catch (final IOException e) {
            return false;
        }
    }

    /** Waits for the end, then ends what the process's exit would cut off, so that it is recorded correctly. */
    private void stopWhen(final long stopUs, final BooleanSupplier done) {
        loop.scheduleWithFixedDelay(
                () -> {
                    if (done.getAsBoolean() || clock.nowUs() >= stopUs) {
                        intake.endConnections();
                        host.endRemainingCalls();
                        // The answers to what was just read are sent before the process ends.
                        loop.execute(() -> loop.execute(stopped::countDown));
                    }
                },
                STOP_CHECK_MS,
                STOP_CHECK_MS,
                TimeUnit.MILLISECONDS);
    }
}
