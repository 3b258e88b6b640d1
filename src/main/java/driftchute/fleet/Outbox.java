package driftchute.fleet;

/** Collects the messages that components send. Messages to one peer in one turn share datagrams as far as they fit. */
public interface Outbox {
    /**
     * Sends a message to a courier of the tier. It may arrive late, twice, out of order or not at all. A message to
     * this courier itself is delivered to its component in the same turn, after the sending call has returned.
     */
    void send(int peer, Message message);
}
