package driftchute.fleet;

import java.util.Map;

/**
 * A component of the shared state. It runs on the control thread only, has no clock or I/O, and its seed is the only
 * source of randomness: the same events give the same actions, so that a test can run thousands of schedules in one
 * process.
 */
public interface Component {
    /** The message types that it understands (see {@link Message}). */
    Map<Integer, Message.Reader> readers();

    /** Handles a message of one of its types from that courier. */
    void receive(ClockReading now, int from, Message message, Outbox out);

    /**
     * Performs the work that is due.
     *
     * @return the latest time for the next call, monotonic us; later than {@code now.monoUs()}
     */
    long tick(ClockReading now, Outbox out);
}
