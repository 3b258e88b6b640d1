package driftchute.fleet.session;

/** How a session's messages may be pooled into calls; each may do what the ones before it may. */
public enum SessionClass {
    /**
     * Each message in a call of its own: every session starts here, and is here wherever nothing recent is known of it.
     */
    OWN,
    /** Messages of one of its runs (a clump, a key in turn) may share a call, with no other session's. */
    RUN,
    /** Its messages may share a call with those of any other such session of the same effect. */
    ANY
}
