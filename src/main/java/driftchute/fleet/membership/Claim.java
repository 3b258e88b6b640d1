package driftchute.fleet.membership;

import driftchute.fleet.MalformedMessageException;
import driftchute.fleet.Varint;
import java.nio.ByteBuffer;

/** A claim about a courier: the state of one of its incarnations. Later incarnations outrank earlier ones. */
record Claim(MemberState state, long incarnation) implements Comparable<Claim> {
    /** Higher incarnations are refused. A real one grows by one per start or refutation. */
    static final long MAX_INCARNATION = 1L << 48;
    /** The claim about a courier that nobody has heard of. */
    static final Claim UNKNOWN = new Claim(MemberState.UNKNOWN, 0);

    private static final int STATE_BITS = 3;
    private static final MemberState[] STATES = MemberState.values();

    @Override
    public int compareTo(final Claim other) {
        final int order = Long.compare(incarnation, other.incarnation);
        return order != 0 ? order : state.compareTo(other.state);
    }

    /** Encodes the claim as one non-negative number. */
    long packed() {
        return incarnation << STATE_BITS | state.ordinal();
    }

    /**
     * Reads a claim.
     *
     * @throws MalformedMessageException for an unknown state, or an incarnation that is impossible in that state
     */
    static Claim read(final ByteBuffer from) throws MalformedMessageException {
        final long packed = Varint.get(from);
        final int state = (int) (packed & (1 << STATE_BITS) - 1);
        final long incarnation = packed >>> STATE_BITS;
        if (state >= STATES.length || incarnation > MAX_INCARNATION || state == 0 != (incarnation == 0)) {
            throw new MalformedMessageException("invalid state " + state + " of an incarnation " + incarnation);
        }
        return state == 0 ? UNKNOWN : new Claim(STATES[state], incarnation);
    }
}
