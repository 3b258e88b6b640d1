package driftchute.fleet.membership;

/** What this courier knows about one courier of the tier, itself included. */
final class Member {
    final int id;
    Claim claim = Claim.NOTHING;
    /** The courier that made the present claim. */
    int by;
    /** The incarnation that it last reported itself; negative if it never did. */
    long heard = -1;
    /** Number of times the claim was sent since it changed. */
    int sent;
    /** The suspicion while it is suspect, else null. */
    Suspicion suspicion;

    Member(final int id) {
        this.id = id;
        this.by = id;
    }

    boolean isPresent() {
        return claim.state().isPresent();
    }

    Messages.Rumour rumour() {
        return new Messages.Rumour(id, claim, by);
    }
}
