package driftchute.fleet.membership;

/** What this courier knows about one courier of the tier, itself included. */
final class Member {
    final int id;
    Claim claim = Claim.UNKNOWN;
    /** The courier that made the present claim. */
    int claimedBy;
    /** The incarnation that it last reported itself; negative if it never did. */
    long reportedIncarnation = -1;
    /** Number of times the claim was sent since it changed. */
    int timesSent;
    /** The suspicion while it is suspect, else null. */
    Suspicion suspicion;

    Member(final int id) {
        this.id = id;
        this.claimedBy = id;
    }

    boolean isPresent() {
        return claim.state().isPresent();
    }

    Messages.Gossip gossip() {
        return new Messages.Gossip(id, claim, claimedBy);
    }
}
