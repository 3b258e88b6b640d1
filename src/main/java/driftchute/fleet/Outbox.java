package driftchute.fleet;

/** Where a part puts what it has to say; messages to one peer of one turn travel together as far as they fit. */
public interface Outbox {
    /**
     * Sends a message to a courier of the tier; it may come late, twice, in another order or not at all. One to this courier
     * itself is handed back to its part in the same turn, after the call that sent it has returned.
     */
    void send(int peer, Message message);
}
