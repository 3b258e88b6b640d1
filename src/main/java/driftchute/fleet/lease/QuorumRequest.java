package driftchute.fleet.lease;

import driftchute.fleet.ClockReading;
import driftchute.fleet.Outbox;
import java.util.Arrays;
import java.util.BitSet;

/** A request to all acceptors, repeated to those that have not replied, and their replies. */
final class QuorumRequest {
    /**
     * Number of sendings after which a request that a majority has accepted is not repeated: the remaining acceptors
     * may be dead.
     */
    private static final int MAX_SENDINGS_WITH_MAJORITY = 3;

    private static final long US_PER_MS = 1000;

    private final RoleCandidate candidate;
    private final ProposerRequest request;
    private final Ballot ballot;
    private final long sinceUs;
    private final BitSet agreed = new BitSet();
    private final BitSet refused = new BitSet();
    private final long[] lockedUs;
    private int sendings;
    private long nextUs;

    QuorumRequest(final RoleCandidate candidate, final ProposerRequest request, final long nowUs) {
        this.candidate = candidate;
        this.request = request;
        this.ballot = new Ballot(candidate.tier().self(), candidate.processId(), request.round());
        this.sinceUs = nowUs;
        this.nextUs = nowUs;
        this.lockedUs = new long[candidate.tier().size()];
    }

    /** Sends the request to those that have not replied, if it is due. */
    void tick(final ClockReading now, final Outbox out) {
        if (now.monoUs() < nextUs) {
            return;
        }
        if (sendings >= MAX_SENDINGS_WITH_MAJORITY && won()) {
            nextUs = Long.MAX_VALUE;
            return;
        }
        for (int peer = 0; peer < lockedUs.length; peer++) {
            if (!agreed.get(peer) && !refused.get(peer)) {
                out.send(peer, request);
            }
        }
        sendings++;
        nextUs = now.monoUs() + candidate.timing().repeatUs();
    }

    /** True if this is the first reply of that courier. */
    boolean agree(final int from) {
        final boolean first = !agreed.get(from) && !refused.get(from);
        if (first) {
            agreed.set(from);
        }
        return first;
    }

    /** True if this is the first reply of that courier. A reported lock that is longer than a lease is capped. */
    boolean refuse(final int from, final long lockedMs) {
        final boolean first = !agreed.get(from) && !refused.get(from);
        if (first) {
            refused.set(from);
            lockedUs[from] = Math.min(lockedMs, candidate.timing().leaseMs()) * US_PER_MS;
        }
        return first;
    }

    boolean won() {
        return agreed.cardinality() >= candidate.tier().majority();
    }

    /** True if too many have refused. */
    boolean lost() {
        return lockedUs.length - refused.cardinality() < candidate.tier().majority();
    }

    /** Time until a majority is not locked by others, according to the replies, us; 0 if that may be now. */
    long majorityLockedUs() {
        final long[] sorted = lockedUs.clone();
        Arrays.sort(sorted);
        return sorted[candidate.tier().majority() - 1];
    }

    /** True if that positive reply belongs to this request. */
    boolean isAnsweredBy(final AcceptorReply answer) {
        return request.serial() == answer.serial() && isPrepare() == (answer.type() == AcceptorReply.PROMISED);
    }

    boolean isAnsweredBy(final AcceptorRefusal refusal) {
        return request.serial() == refusal.serial();
    }

    boolean isPrepare() {
        return request.type() == ProposerRequest.PREPARE;
    }

    Ballot ballot() {
        return ballot;
    }

    /** When it was first sent. */
    long sinceUs() {
        return sinceUs;
    }

    /** When it is sent again. */
    long nextUs() {
        return nextUs;
    }

    int sendings() {
        return sendings;
    }
}
