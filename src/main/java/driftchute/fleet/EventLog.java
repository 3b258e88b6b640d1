package driftchute.fleet;

/** Receives events for the operators' log: one structured line each. */
public interface EventLog {
    /** Discards all events. */
    EventLog NONE = (name, fields) -> {};

    /**
     * Logs an event.
     *
     * @param fields alternating names (strings) and values (strings, numbers, booleans)
     */
    void event(String name, Object... fields);
}
