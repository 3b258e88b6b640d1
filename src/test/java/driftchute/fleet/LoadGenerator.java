package driftchute.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;

/** Clients that submit messages at a set rate, each to its own courier, until they are stopped. */
final class LoadGenerator implements AutoCloseable {
    final RequestLog ledger = new RequestLog();
    private final List<Thread> clients = new ArrayList<>();
    private volatile boolean stopped;

    /** Starts; {@code perSecond}: messages per second for each courier, by its number. */
    LoadGenerator(final Fleet fleet, final double... perSecond) {
        final AtomicInteger next = new AtomicInteger();
        for (int courier = 0; courier < perSecond.length; courier++) {
            final CourierProcess to = fleet.couriers.get(courier);
            final long gapNs = (long) (TimeUnit.SECONDS.toNanos(1) / perSecond[courier]);
            final Thread client = new Thread(
                    () -> {
                        for (long dueNs = System.nanoTime(); !stopped; dueNs += gapNs) {
                            while (!stopped && System.nanoTime() < dueNs) {
                                LockSupport.parkNanos(dueNs - System.nanoTime());
                            }
                            ledger.submit(to, "m" + next.getAndIncrement(), "safe");
                        }
                    },
                    "load-" + to.name);
            client.setDaemon(true);
            clients.add(client);
            client.start();
        }
    }

    /** Continues for that time. */
    void run(final String what, final long ns) {
        final long fromNs = System.nanoTime();
        Fleet.await(what, () -> System.nanoTime() - fromNs > ns || stopped);
    }

    @Override
    public void close() {
        stopped = true;
        clients.forEach(client -> Fleet.await(client.getName() + " over", () -> !client.isAlive()));
    }
}
