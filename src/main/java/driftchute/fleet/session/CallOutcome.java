package driftchute.fleet.session;

import driftchute.Courier.Effect;
import java.util.List;

/**
 * How a call to an endpoint ended as a whole, and the sessions whose messages it carried, one share per session. What
 * happened to single messages of an answered call does not matter, because it harmed no other.
 */
public record CallOutcome(long destination, List<Share> shares, CallResult result) {
    /** The result of a call as a whole. */
    public enum CallResult {
        /** Answered, and the answer could be parsed. */
        ANSWERED(true, false),
        /** Status 500. */
        ERROR(true, true),
        /** An answer that violates the protocol. */
        MALFORMED_ANSWER(true, true),
        /** The connection broke after the last byte was written. */
        RESET(true, true),
        /** No answer in time. */
        TIMED_OUT(true, true),
        /** Status 400, 413, 429 or 503 for the whole call. */
        REFUSED(true, true),
        /** It never reached the endpoint, or this courier cancelled it: nothing is learnt. */
        NOT_ATTEMPTED(false, false);

        final boolean informative;
        final boolean failed;

        CallResult(final boolean counted, final boolean harm) {
            this.informative = counted;
            this.failed = harm;
        }
    }

    /**
     * One session's messages in a call.
     *
     * @param messages number of messages, 1 or more
     * @param acceptedUs when the first of them was accepted, monotonic us of this process
     * @param largestBodyBytes size of the largest body, bytes
     * @param retried number of them that were submitted again after no answer
     * @param effect the effect of their class
     */
    public record Share(
            long session, int messages, long acceptedUs, int largestBodyBytes, int retried, Effect effect) {}

    /**
     * Checks the shares.
     *
     * @throws IllegalArgumentException for a call without messages, or with two shares of one session
     */
    public CallOutcome {
        shares = List.copyOf(shares);
        if (shares.isEmpty()
                || shares.stream().mapToLong(Share::session).distinct().count() < shares.size()
                || shares.stream().anyMatch(share -> share.messages() < 1)) {
            throw new IllegalArgumentException(
                    "each session needs exactly one share of at least one message: " + shares);
        }
    }

    List<Long> sessions() {
        return shares.stream().map(Share::session).toList();
    }
}
