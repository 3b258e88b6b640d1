package driftchute.node.fleet;

import driftchute.Courier;
import driftchute.fleet.ClockReading;
import driftchute.fleet.EventLog;
import driftchute.fleet.Tier;
import driftchute.fleet.shared.SharedState;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * The control thread of the fleet: it owns the shared state and the peers' socket. The event loop of the traffic reads
 * {@link #view()} (one volatile reference) and passes reports to {@link #report}, which never blocks: reports beyond
 * its limit are dropped and counted.
 */
public final class FleetControlThread {
    private static final int MAX_REPORTS = 1024;
    /** One byte more than the longest valid datagram, so that a longer one is detected. */
    private static final int READ_BYTES = 257;
    /** Interval of attempts to bind the address while another process of this courier holds it. */
    private static final long BIND_RETRY_MS = 20;
    /** Interval of the log line about dropped datagrams and reports. */
    private static final long LOG_INTERVAL_MS = 5_000;
    /** Maximum interval between two turns of the control thread. Reports come ten times a second. */
    private static final long MAX_TURN_INTERVAL_US = 50_000;

    private static final long US_PER_MS = 1000;
    private static final long SHUTDOWN_MS = 200;

    private final FleetSettings settings;
    private final LongSupplier monotonicUs;
    private final Supplier<SharedState> stateFactory;
    private final EventLog events;
    private final Consumer<Courier.FleetView> changed;
    private final Map<InetSocketAddress, Integer> peerNumbers = new HashMap<>();
    private final EventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, new DefaultThreadFactory("fleet", true), NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final BlockingQueue<List<Courier.DestinationReport>> reports = new ArrayBlockingQueue<>(MAX_REPORTS);
    private final AtomicBoolean turnDue = new AtomicBoolean();
    private final AtomicLong droppedReports = new AtomicLong();
    private volatile Courier.FleetView view;
    private SharedState state;
    private Channel channel;
    private boolean stopped;
    /** Datagrams from unknown addresses, and the last logged drop counts. Control thread only. */
    private long unknownSenders;

    private String loggedDrops = "";

    /**
     * @param folder the state folder, for the incarnation
     * @param monoUs this process's monotonic clock, us; read on both threads
     * @param changed receives each new view, on the control thread
     */
    public FleetControlThread(
            final FleetSettings settings,
            final Courier.Guarantees guarantees,
            final long seed,
            final Path folder,
            final LongSupplier monoUs,
            final EventLog events,
            final Consumer<Courier.FleetView> changed) {
        this.settings = settings;
        this.monotonicUs = monoUs;
        this.events = events;
        this.changed = changed;
        for (int peer = 0; peer < settings.peers().size(); peer++) {
            peerNumbers.put(settings.peers().get(peer), peer);
        }
        final Tier tier = new Tier(
                settings.self(), settings.peers().size(), settings.block().epoch());
        final IncarnationFile kept = new IncarnationFile(folder);
        this.stateFactory = () -> {
            try {
                return new SharedState(
                        tier,
                        settings.block(),
                        guarantees,
                        seed,
                        kept.read() + 1,
                        now(),
                        events,
                        next -> {
                            try {
                                kept.write(next);
                            } catch (final IOException e) {
                                throw new UncheckedIOException(e);
                            }
                        },
                        this::send);
            } catch (final IOException e) {
                throw new UncheckedIOException(e);
            }
        };
        this.view = new Courier.FleetView(settings.block().reserve(), Map.of(), Map.of());
    }

    /** Starts, and binds the peer address as soon as no other process of this courier holds it. Thread-safe. */
    public void start() {
        loop.execute(this::bind);
        loop.scheduleWithFixedDelay(this::logState, LOG_INTERVAL_MS, LOG_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    private void bind() {
        if (stopped) {
            return;
        }
        new Bootstrap()
                .group(loop)
                .channel(NioDatagramChannel.class)
                .option(ChannelOption.RECVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(READ_BYTES))
                .handler(new SimpleChannelInboundHandler<DatagramPacket>() {
                    @Override
                    protected void channelRead0(final ChannelHandlerContext ctx, final DatagramPacket packet) {
                        onDatagram(packet);
                    }

                    @Override
                    public void exceptionCaught(final ChannelHandlerContext ctx, final Throwable cause) {
                        // A peer's closed port is reported as an error of this socket; it only means that a datagram
                        // was lost.
                        if (!(cause instanceof IOException)) {
                            logFailure("a datagram", cause);
                        }
                    }
                })
                .bind(settings.listen())
                .addListener(done -> {
                    if (done.isSuccess()) {
                        channel = ((io.netty.channel.ChannelFuture) done).channel();
                        onBound();
                    } else {
                        loop.schedule(this::bind, BIND_RETRY_MS, TimeUnit.MILLISECONDS);
                    }
                });
    }

    private void onBound() {
        if (stopped) {
            channel.close();
            return;
        }
        try {
            state = stateFactory.get();
            events.event(
                    "fleet_begun",
                    "self",
                    settings.self(),
                    "peers",
                    settings.peers().size(),
                    "epoch",
                    settings.block().epoch(),
                    "version",
                    settings.block().version(),
                    "incarnation",
                    state.incarnation());
            turn();
        } catch (final UncheckedIOException e) {
            logFailure("the state folder", e);
            channel.close();
        }
    }

    private void onDatagram(final DatagramPacket packet) {
        final Integer from = peerNumbers.get(packet.sender());
        if (from == null || state == null || stopped) {
            unknownSenders++;
            return;
        }
        final ByteBuf content = packet.content();
        final byte[] bytes = new byte[content.readableBytes()];
        content.readBytes(bytes);
        runGuarded("a datagram", () -> {
            state.receive(now(), from, bytes);
            // What a message triggers (an awaited answer, gossip) does not wait for the next turn.
            state.tick(now());
        });
        publish();
    }

    /** One turn of the control thread: processes reports and due work, and publishes a new view. */
    private void turn() {
        turnDue.set(false);
        if (stopped || state == null) {
            return;
        }
        for (List<Courier.DestinationReport> next = reports.poll(); next != null; next = reports.poll()) {
            final List<Courier.DestinationReport> batch = next;
            runGuarded("a report", () -> state.reports(now(), batch));
        }
        final long[] dueUs = {monotonicUs.getAsLong() + MAX_TURN_INTERVAL_US};
        runGuarded("a turn", () -> dueUs[0] = Math.min(dueUs[0], state.tick(now())));
        publish();
        loop.schedule(this::turnIfNotDue, Math.max(1, dueUs[0] - monotonicUs.getAsLong()), TimeUnit.MICROSECONDS);
    }

    private void turnIfNotDue() {
        if (turnDue.compareAndSet(false, true)) {
            turn();
        }
    }

    /**
     * A fault in the shared state never ends the thread. It may make the view stale, but rate leases and duty leases
     * expire by themselves.
     */
    private void runGuarded(final String what, final Runnable step) {
        try {
            step.run();
        } catch (final RuntimeException e) {
            logFailure(what, e);
        }
    }

    private void logFailure(final String what, final Throwable cause) {
        events.event(
                "fleet_failure",
                "what",
                what,
                "cause",
                String.valueOf(cause),
                "at",
                cause.getStackTrace().length == 0 ? "" : cause.getStackTrace()[0].toString());
    }

    private void publish() {
        if (state != null && !stopped) {
            final Courier.FleetView next = state.view(now());
            if (!next.equals(view)) {
                view = next;
                changed.accept(next);
            }
        }
    }

    private void send(final int peer, final byte[] datagram) {
        channel.writeAndFlush(new DatagramPacket(
                Unpooled.wrappedBuffer(datagram), settings.peers().get(peer)));
    }

    private ClockReading now() {
        return new ClockReading(monotonicUs.getAsLong(), System.currentTimeMillis());
    }

    /** The shared state as last published; never null. Thread-safe. */
    public Courier.FleetView view() {
        return view;
    }

    /** Passes on what the traffic knows and needs. Thread-safe; never blocks. */
    public void report(final List<Courier.DestinationReport> batch) {
        if (!reports.offer(batch)) {
            droppedReports.incrementAndGet();
        }
    }

    /**
     * Stops: gives up duties and, if {@code leaves}, tells the peers that this courier leaves, which it does not during
     * an upgrade. Thread-safe; returns at once.
     */
    public void stop(final boolean leaves) {
        loop.execute(() -> {
            if (state != null && !stopped) {
                runGuarded("the end", () -> state.end(now(), leaves));
            }
            stopped = true;
            if (channel != null) {
                channel.close();
            }
            group.shutdownGracefully(0, SHUTDOWN_MS, TimeUnit.MILLISECONDS);
        });
    }

    private void logState() {
        if (state == null) {
            return;
        }
        final String drops =
                "unknown senders " + unknownSenders + ", reports " + droppedReports.get() + ", frames " + state.drops();
        if (!drops.equals(loggedDrops)
                && (unknownSenders > 0
                        || droppedReports.get() > 0
                        || !state.drops().isEmpty())) {
            loggedDrops = drops;
            events.event("fleet_dropped", "msg", drops);
        }
        events.event("fleet_state", "msg", state.describe(now()));
    }
}
