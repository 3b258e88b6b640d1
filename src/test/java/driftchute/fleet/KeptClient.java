package driftchute.fleet;

import driftchute.node.FakeServer;
import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;

/** A client that sends periodically on one connection until that ends, then on a new one. */
final class KeptClient extends Thread {
    /** More than any of them sends; only a failure reaches this limit. */
    private static final int MAX_REQUESTS = 5000;

    private final CourierProcess courier;
    private final RequestLog ledger;
    private final String messageClass;
    private final long pauseNs;
    /** New connections are directed to this courier. */
    private final BooleanSupplier isFronted;

    private final BooleanSupplier isOver;
    private final AtomicInteger answered = new AtomicInteger();
    private Socket kept;

    KeptClient(
            final String name,
            final CourierProcess courier,
            final RequestLog ledger,
            final String messageClass,
            final long pauseMs,
            final BooleanSupplier isFronted,
            final BooleanSupplier isOver) {
        super(name);
        this.courier = courier;
        this.ledger = ledger;
        this.messageClass = messageClass;
        this.pauseNs = TimeUnit.MILLISECONDS.toNanos(pauseMs);
        this.isFronted = isFronted;
        this.isOver = isOver;
    }

    /** Number of its requests that were answered. */
    int answered() {
        return answered.get();
    }

    @Override
    public void run() {
        for (int count = 0; count < MAX_REQUESTS && !isOver.getAsBoolean(); count++) {
            if (kept != null || connect()) {
                handIn(getName() + "-" + count);
            }
            LockSupport.parkNanos(pauseNs);
        }
    }

    private boolean connect() {
        try {
            if (isFronted.getAsBoolean()) {
                kept = new Socket("127.0.0.1", courier.port);
                kept.setSoTimeout((int) TimeUnit.SECONDS.toMillis(Fleet.PATIENCE_S));
            }
        } catch (final IOException e) {
            // Refused: nothing was sent.
            kept = null;
        }
        return kept != null;
    }

    private void handIn(final String id) {
        final long sentNs = System.nanoTime();
        int status = 0;
        boolean last = true;
        try {
            RequestLog.write(kept, id, messageClass);
            String line = FakeServer.line(kept.getInputStream());
            status = RequestLog.statusOf(line);
            for (last = line.isEmpty(); !line.isEmpty(); line = FakeServer.line(kept.getInputStream())) {
                last |= line.equalsIgnoreCase("connection: close");
            }
            answered.addAndGet(status > 0 ? 1 : 0);
        } catch (final IOException e) {
            last = true;
        }
        if (last) {
            disconnect();
        }
        ledger.seen.add(new RequestLog.Seen(id, messageClass, courier.name, status, sentNs, System.nanoTime()));
    }

    private void disconnect() {
        try {
            kept.close();
        } catch (final IOException e) {
            throw new IllegalStateException(e);
        }
        kept = null;
    }
}
