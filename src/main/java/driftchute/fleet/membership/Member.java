package driftchute.fleet.membership;

/** What this courier holds about one courier of the tier, itself included. */
final class Member {
    final int id;
    Claim claim = Claim.NOTHING;
    /** Who said so last. */
    int by;
    /** The incarnation that it said last itself; below 0 where it never spoke. */
    long heard = -1;
    /** How often the claim was sent since it changed. */
    int sent;
    /** While it is suspect, else null. */
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
