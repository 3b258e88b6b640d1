package driftchute.node;

import io.netty.channel.EventLoop;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

/**
 * The clients' connections that have more to do than one turn of the event loop allows. They go on round robin, for a
 * limited time in each turn, so that clients who send at full speed do not delay the others. Runs on the event loop's
 * thread.
 */
final class TurnQueue {
    /** Time in each turn of the event loop for all waiting connections together, us. */
    private static final long SLICE_US = 2_000;

    private final EventLoop loop;
    private final Clock clock;
    private final Deque<Runnable> waiting = new ArrayDeque<>();
    private boolean scheduled;

    TurnQueue(final EventLoop loop, final Clock clock) {
        this.loop = loop;
        this.clock = clock;
    }

    /** Runs a connection's next part in a later turn. */
    void add(final Runnable next) {
        waiting.add(next);
        schedule();
    }

    /** The event loop polls its sockets before it runs a task that is scheduled, even without a delay. */
    private void schedule() {
        if (!scheduled && !waiting.isEmpty()) {
            scheduled = true;
            loop.schedule(this::runSlice, 0, TimeUnit.MILLISECONDS);
        }
    }

    private void runSlice() {
        final long untilUs = clock.nowUs() + SLICE_US;
        int count = waiting.size();
        while (count > 0) {
            waiting.poll().run();
            count = clock.nowUs() < untilUs ? count - 1 : 0;
        }
        scheduled = false;
        schedule();
    }
}
