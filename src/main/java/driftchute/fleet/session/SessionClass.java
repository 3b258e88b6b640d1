package driftchute.fleet.session;

/**
 * How a session's messages may be pooled into calls. Each class permits what the ones before it permit. Logged by name.
 */
public enum SessionClass {
    /** Each message has its own call. Every session starts here, and returns here without recent evidence. */
    OWN,
    /**
     * Messages of one run of the session (a burst, or a key in order) may share a call, but not with another session.
     */
    RUN,
    /** Its messages may share a call with those of any other such session of the same effect. */
    ANY
}
