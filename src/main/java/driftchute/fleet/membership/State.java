package driftchute.fleet.membership;

/** What a courier is held to be. At one incarnation the later of two outranks the earlier (SWIM, section 4.2). */
public enum State {
    /** Nothing was heard of it. */
    UNKNOWN,
    /** It answers. */
    ALIVE,
    /** It did not answer somebody; it counts as present until its time to refute is over. */
    SUSPECT,
    /** It had its time and did not refute. */
    DEAD,
    /** It said that it leaves. */
    LEFT;

    /** Whether it counts as present. */
    public boolean isPresent() {
        return this == ALIVE || this == SUSPECT;
    }
}
