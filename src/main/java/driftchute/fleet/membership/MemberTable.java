package driftchute.fleet.membership;

import driftchute.fleet.EventLog;
import driftchute.fleet.Message;
import driftchute.fleet.Tier;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.LongConsumer;
import java.util.function.Predicate;
import java.util.stream.Stream;

/**
 * What this courier knows about each courier of the tier, how claims change it, and what has still to be gossiped
 * (docs/fleet-membership.md, Lies: the precedence of claims).
 */
final class MemberTable {
    /** Maximum distance of a claimed incarnation above the one heard first hand. */
    static final long MAX_INCARNATION_JUMP = 1L << 20;
    /** Size of the type and length before a message's body, bytes. */
    private static final int PREFIX_BYTES = 2;

    private final Tier tier;
    private final MembershipTiming timing;
    private final EventLog events;
    private final LongConsumer storeIncarnation;
    private final LocalHealth health;
    private final List<Member> members = new ArrayList<>();
    private final Member self;
    private final List<Member> toGossip = new ArrayList<>();
    private final Set<Member> suspects = new LinkedHashSet<>();
    private long nextRaiseUs;
    private long refused;

    MemberTable(
            final Tier tier,
            final MembershipTiming timing,
            final long incarnation,
            final long nowUs,
            final LocalHealth health,
            final EventLog events,
            final LongConsumer storeIncarnation) {
        if (incarnation < 1 || incarnation >= Claim.MAX_INCARNATION) {
            throw new IllegalArgumentException("invalid initial incarnation " + incarnation);
        }
        this.tier = tier;
        this.timing = timing;
        this.events = events;
        this.storeIncarnation = storeIncarnation;
        this.health = health;
        this.nextRaiseUs = nowUs;
        for (int id = 0; id < tier.size(); id++) {
            members.add(new Member(id));
        }
        self = members.get(tier.self());
        storeIncarnation.accept(incarnation);
        setClaim(self, new Claim(MemberState.ALIVE, incarnation), self.id);
    }

    Claim claim(final int id) {
        return members.get(id).claim;
    }

    Messages.Gossip gossipAbout(final int id) {
        return members.get(id).gossip();
    }

    boolean isPresent(final int id) {
        return members.get(id).isPresent();
    }

    boolean isSelf(final int id) {
        return id == self.id;
    }

    long incarnation() {
        return self.claim.incarnation();
    }

    boolean hasLeft() {
        return self.claim.state() == MemberState.LEFT;
    }

    /** Number of claims refused as implausible. */
    long refused() {
        return refused;
    }

    /** A copy of the present suspects, in the order in which they became suspect. */
    List<Member> suspects() {
        return List.copyOf(suspects);
    }

    /** The other couriers that match. */
    Stream<Member> others(final Predicate<Member> test) {
        return members.stream().filter(member -> member != self && test.test(member));
    }

    /** Handles a courier's own incarnation number, received from itself. */
    void onOwnIncarnation(final int id, final long incarnation) {
        final Member member = members.get(id);
        final Claim alive = new Claim(MemberState.ALIVE, incarnation);
        if (member.claim.incarnation() - incarnation > MAX_INCARNATION_JUMP) {
            refused++;
            member.reportedIncarnation = incarnation;
            setClaim(member, alive, id);
            return;
        }
        member.reportedIncarnation = Math.max(member.reportedIncarnation, incarnation);
        if (alive.compareTo(member.claim) > 0) {
            setClaim(member, alive, id);
        }
    }

    /**
     * Handles a claim about a courier.
     *
     * @param by the courier that made the claim
     * @return whether this courier knows something newer that the sender should be told
     */
    boolean onClaim(final long nowUs, final int id, final Claim claim, final int by) {
        final Member member = members.get(id);
        if (claim.state() == MemberState.UNKNOWN) {
            return false;
        }
        if (member == self) {
            onClaimAboutSelf(nowUs, claim, by);
            return false;
        }
        if (member.reportedIncarnation >= 0
                && claim.incarnation() - member.reportedIncarnation > MAX_INCARNATION_JUMP) {
            refused++;
            return false;
        }
        final int order = claim.compareTo(member.claim);
        if (order == 0 && member.suspicion != null) {
            confirmSuspicion(member, by);
        } else if (order > 0 && claim.state() == MemberState.DEAD && member.isPresent()) {
            suspect(nowUs, member, claim.incarnation(), by);
            member.suspicion.confirmFully();
        } else if (order > 0 && claim.state() == MemberState.SUSPECT) {
            suspect(nowUs, member, claim.incarnation(), by);
        } else if (order > 0) {
            setClaim(member, claim, by);
        }
        return order < 0;
    }

    private void onClaimAboutSelf(final long nowUs, final Claim claim, final int by) {
        final boolean accused = claim.state() != MemberState.ALIVE;
        if (hasLeft() || claim.incarnation() < incarnation() || !accused && claim.incarnation() == incarnation()) {
            return;
        }
        if (claim.incarnation() - incarnation() > MAX_INCARNATION_JUMP
                || claim.incarnation() >= Claim.MAX_INCARNATION
                || nowUs < nextRaiseUs) {
            refused++;
            return;
        }
        nextRaiseUs = nowUs + timing.gossipUs();
        final long raised = claim.incarnation() + 1;
        storeIncarnation.accept(raised);
        setClaim(self, new Claim(MemberState.ALIVE, raised), self.id);
        if (accused) {
            health.worse();
        }
        events.event(
                "self_refuted", "incarnation", raised, "held", claim.state().name(), "by", by);
    }

    /** A probe by this courier was not answered. */
    void onProbeFailed(final long nowUs, final int id) {
        final Member member = members.get(id);
        if (!member.isPresent()) {
            return;
        }
        if (member.suspicion == null) {
            suspect(nowUs, member, member.claim.incarnation(), self.id);
        } else {
            confirmSuspicion(member, self.id);
        }
        member.suspicion.probeAt(nowUs);
    }

    /** True if this courier itself accuses that suspect. */
    boolean accuses(final Member suspect) {
        return suspect.suspicion.isAccuser(self.id);
    }

    private void suspect(final long nowUs, final Member member, final long incarnation, final int by) {
        final Claim suspect = new Claim(MemberState.SUSPECT, incarnation);
        if (!suspect.equals(member.claim)) {
            setClaim(member, suspect, by);
            member.suspicion = new Suspicion(timing, nowUs, by);
            suspects.add(member);
        }
    }

    private void confirmSuspicion(final Member member, final int by) {
        if (member.suspicion.confirm(by)) {
            member.claimedBy = by;
            scheduleGossip(member);
        }
    }

    /** Declares the suspects dead whose time to refute has passed. */
    void declareDead(final long nowUs) {
        for (final Member member : suspects()) {
            if (member.suspicion.deadlineUs() <= nowUs) {
                setClaim(member, new Claim(MemberState.DEAD, member.claim.incarnation()), self.id);
            }
        }
    }

    /** This process was suspended, so no suspect's time to refute counts up to now. */
    void restartSuspicions(final long nowUs) {
        suspects.forEach(member -> member.suspicion.restart(nowUs));
    }

    /** When {@link #declareDead} or a probe of a suspect is due, monotonic us. */
    long dueUs() {
        long due = Long.MAX_VALUE;
        for (final Member member : suspects) {
            due = Math.min(due, Math.min(member.suspicion.deadlineUs(), member.suspicion.probeUs()));
        }
        return due;
    }

    /**
     * Marks this courier as leaving and returns the message about it. The caller sends it, so it is not gossiped as
     * well.
     */
    Messages.Gossip leave() {
        setClaim(self, new Claim(MemberState.LEFT, incarnation()), self.id);
        toGossip.remove(self);
        return self.gossip();
    }

    private void setClaim(final Member member, final Claim claim, final int by) {
        final MemberState before = member.claim.state();
        member.claim = claim;
        member.claimedBy = by;
        member.suspicion = null;
        suspects.remove(member);
        scheduleGossip(member);
        // Only members that were present can leave or die: a courier that starts reports no old deaths.
        final boolean news =
                claim.state() != before && (before.isPresent() || claim.state().isPresent());
        if (news && member != self) {
            final String name =
                    switch (claim.state()) {
                        case SUSPECT -> "member_suspected";
                        case DEAD -> "member_dead";
                        case LEFT -> "member_left";
                        default -> before == MemberState.SUSPECT ? "member_cleared" : "member_joined";
                    };
            events.event(name, "member", member.id, "incarnation", claim.incarnation(), "by", by);
        }
    }

    private void scheduleGossip(final Member member) {
        member.timesSent = 0;
        if (tier.size() > 1 && !toGossip.contains(member)) {
            toGossip.add(member);
        }
    }

    boolean hasGossip() {
        return !toGossip.isEmpty();
    }

    /** The gossip that fits into that many bytes, the least often sent first. */
    List<Message> gossip(final int peer, final int maxBytes) {
        final List<Message> messages = new ArrayList<>();
        if (!isPresent(peer)) {
            return messages;
        }
        toGossip.sort(Comparator.comparingInt(member -> member.timesSent));
        int freeBytes = maxBytes;
        for (final Member member : toGossip) {
            final Messages.Gossip gossip = member.gossip();
            final int size = PREFIX_BYTES + gossip.size();
            if (member.id == peer) {
                // Pings and acks already tell the peer about itself. It counts as sent, since the two may be alone.
                member.timesSent++;
            } else if (size <= freeBytes) {
                messages.add(gossip);
                freeBytes -= size;
                member.timesSent++;
            }
        }
        toGossip.removeIf(member -> member.timesSent >= timing.maxSendings());
        return messages;
    }
}
