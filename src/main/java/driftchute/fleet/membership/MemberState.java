package driftchute.fleet.membership;

/**
 * The state of a courier. For the same incarnation a later constant outranks an earlier one (SWIM, section 4.2). Sent
 * by ordinal and logged by name.
 */
public enum MemberState {
    /** Nothing was heard of it. */
    UNKNOWN,
    /** It answers. */
    ALIVE,
    /** It did not answer somebody. It counts as present until its time to refute has passed. */
    SUSPECT,
    /** It did not refute the suspicion in time. */
    DEAD,
    /** It announced that it leaves. */
    LEFT;

    /** Whether it counts as present. */
    public boolean isPresent() {
        return this == ALIVE || this == SUSPECT;
    }
}
