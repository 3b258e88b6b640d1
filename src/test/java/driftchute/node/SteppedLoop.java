package driftchute.node;

import io.netty.channel.EventLoop;
import io.netty.channel.ManualIoEventLoop;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.MockTicker;
import io.netty.util.concurrent.ScheduledFuture;
import io.netty.util.concurrent.Ticker;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;

/**
 * An event loop over real sockets, run by the test's thread, whose clock advances only in steps of the test: everything
 * due or received between two steps is handled before the next. So a bound is measured on the loop's clock, however
 * busy the machine is.
 */
final class SteppedLoop implements AutoCloseable {
    private static final long STEP_MS = 10;
    /** Turns without work after which nothing is in transit either: loopback sockets delay nothing. */
    private static final int IDLE_TURNS = 3;

    private static final long ORIGIN_US = TimeUnit.DAYS.toMicros(1);

    private final MockTicker ticker = Ticker.newMockTicker();
    private final AtomicInteger foreignTimers = new AtomicInteger();
    private final ManualIoEventLoop loop =
            new ManualIoEventLoop(null, Thread.currentThread(), NioIoHandler.newFactory(), ticker) {
                @Override
                public ScheduledFuture<?> schedule(final Runnable command, final long delay, final TimeUnit unit) {
                    if (!inEventLoop()) {
                        foreignTimers.incrementAndGet();
                    }
                    return super.schedule(command, delay, unit);
                }
            };

    EventLoop mine() {
        return loop;
    }

    long nowUs() {
        return ORIGIN_US + TimeUnit.NANOSECONDS.toMicros(ticker.nanoTime());
    }

    /** Number of timers set by other threads, which is not safe for code on a loop. */
    int foreignTimers() {
        return foreignTimers.get();
    }

    /** Does everything that is due, and handles everything received. */
    void settle() {
        for (int idle = 0; idle < IDLE_TURNS; idle++) {
            if (loop.runNow() > 0) {
                idle = -1;
            }
        }
    }

    void pass(final long ms) {
        for (long passed = 0; passed < ms; passed += STEP_MS) {
            ticker.advance(STEP_MS, TimeUnit.MILLISECONDS);
            settle();
        }
    }

    /** Advances until the condition holds; returns the time in ms, or the bound if it never did. */
    long until(final long mostMs, final BooleanSupplier condition) {
        settle();
        long passed = 0;
        while (!condition.getAsBoolean() && passed < mostMs) {
            pass(STEP_MS);
            passed += STEP_MS;
        }
        return passed;
    }

    @Override
    public void close() {
        loop.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
        while (!loop.isTerminated()) {
            ticker.advance(STEP_MS, TimeUnit.MILLISECONDS);
            loop.runNow();
        }
    }
}
