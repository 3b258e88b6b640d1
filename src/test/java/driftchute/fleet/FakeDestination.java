package driftchute.fleet;

import driftchute.node.FakeServer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BiConsumer;

/**
 * A destination with a limit, as described in WIRE-irishead.md: it reports its limit and the unused share in each
 * answer, refuses calls above the limit and its slack with a wait, and may hang. It records when each call arrived.
 */
final class FakeDestination implements BiConsumer<FakeServer.Request, FakeServer.Connection> {
    private static final long SECOND_NS = TimeUnit.SECONDS.toNanos(1);
    private final Fleet fleet;
    private final int slack;
    private final List<Long> cameNs = new ArrayList<>();
    private final Deque<Long> lastSecond = new ArrayDeque<>();
    private double limit;
    private boolean hangs;
    private int refused;

    FakeDestination(final Fleet fleet, final double limit, final int slack) {
        this.fleet = fleet;
        this.limit = limit;
        this.slack = slack;
        fleet.endpoints.get(0).script(this);
    }

    synchronized void limit(final double callsPerSecond) {
        limit = callsPerSecond;
    }

    synchronized void hangs(final boolean on) {
        hangs = on;
    }

    synchronized int refused() {
        return refused;
    }

    /** When each call arrived, {@link System#nanoTime()}, in order. */
    synchronized List<Long> came() {
        return List.copyOf(cameNs);
    }

    /** The maximum number of calls in any second between these times. */
    int mostInASecond(final long fromNs, final long toNs) {
        final List<Long> all =
                came().stream().filter(at -> at >= fromNs && at <= toNs).toList();
        int most = 0;
        for (int first = 0, last = 0; last < all.size(); last++) {
            while (all.get(last) - all.get(first) >= SECOND_NS) {
                first++;
            }
            most = Math.max(most, last - first + 1);
        }
        return most;
    }

    long count(final long fromNs, final long toNs) {
        return came().stream().filter(at -> at >= fromNs && at < toNs).count();
    }

    @Override
    public void accept(final FakeServer.Request request, final FakeServer.Connection connection) {
        final String id = request.header("X-Request-ID");
        final int now;
        final double allowed;
        synchronized (this) {
            cameNs.add(request.atNs());
            lastSecond.add(request.atNs());
            while (request.atNs() - lastSecond.peek() >= SECOND_NS) {
                lastSecond.remove();
            }
            now = lastSecond.size();
            allowed = limit;
            if (hangs) {
                return;
            }
            if (now > allowed + slack) {
                refused++;
            }
        }
        final String report =
                String.format(Locale.ROOT, "X-Server-Load: x0=%.3f,x1=%.1f", Math.max(0, 1 - now / allowed), allowed);
        if (now > allowed + slack) {
            connection.answer(429, "", "Retry-After: 0.3", report);
        } else {
            fleet.calls.computeIfAbsent(id, unused -> new AtomicInteger()).incrementAndGet();
            connection.answer(200, "", report);
        }
    }
}
