package driftchute.fleet.membership;

import driftchute.fleet.Events;
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
final class Members {
    /** Maximum distance of a claimed incarnation above the one heard first hand. */
    static final long MAX_JUMP = 1L << 20;
    /** Size of the type and length before a message's body, bytes. */
    private static final int PREFIX = 2;

    private final Tier tier;
    private final Timing timing;
    private final Events events;
    private final LongConsumer keep;
    private final LocalHealth health;
    private final List<Member> members = new ArrayList<>();
    private final Member self;
    private final List<Member> spreading = new ArrayList<>();
    private final Set<Member> suspects = new LinkedHashSet<>();
    private long mayRaiseUs;
    private long refused;

    Members(
            final Tier tier,
            final Timing timing,
            final long incarnation,
            final long nowUs,
            final LocalHealth health,
            final Events events,
            final LongConsumer keep) {
        if (incarnation < 1 || incarnation >= Claim.MAX_INCARNATION) {
            throw new IllegalArgumentException("invalid initial incarnation " + incarnation);
        }
        this.tier = tier;
        this.timing = timing;
        this.events = events;
        this.keep = keep;
        this.health = health;
        this.mayRaiseUs = nowUs;
        for (int id = 0; id < tier.size(); id++) {
            members.add(new Member(id));
        }
        self = members.get(tier.self());
        keep.accept(incarnation);
        changed(self, new Claim(State.ALIVE, incarnation), self.id);
    }

    Claim claim(final int id) {
        return members.get(id).claim;
    }

    Messages.Rumour rumour(final int id) {
        return members.get(id).rumour();
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
        return self.claim.state() == State.LEFT;
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
    void spoken(final int id, final long incarnation) {
        final Member member = members.get(id);
        final Claim alive = new Claim(State.ALIVE, incarnation);
        if (member.claim.incarnation() - incarnation > MAX_JUMP) {
            refused++;
            member.heard = incarnation;
            changed(member, alive, id);
            return;
        }
        member.heard = Math.max(member.heard, incarnation);
        if (alive.compareTo(member.claim) > 0) {
            changed(member, alive, id);
        }
    }

    /**
     * Handles a claim about a courier.
     *
     * @param by the courier that made the claim
     * @return whether this courier knows something newer that the sender should be told
     */
    boolean told(final long nowUs, final int id, final Claim claim, final int by) {
        final Member member = members.get(id);
        if (claim.state() == State.UNKNOWN) {
            return false;
        }
        if (member == self) {
            toldOfSelf(nowUs, claim, by);
            return false;
        }
        if (member.heard >= 0 && claim.incarnation() - member.heard > MAX_JUMP) {
            refused++;
            return false;
        }
        final int order = claim.compareTo(member.claim);
        if (order == 0 && member.suspicion != null) {
            confirmed(member, by);
        } else if (order > 0 && claim.state() == State.DEAD && member.isPresent()) {
            suspected(nowUs, member, claim.incarnation(), by);
            member.suspicion.certain();
        } else if (order > 0 && claim.state() == State.SUSPECT) {
            suspected(nowUs, member, claim.incarnation(), by);
        } else if (order > 0) {
            changed(member, claim, by);
        }
        return order < 0;
    }

    private void toldOfSelf(final long nowUs, final Claim claim, final int by) {
        final boolean accused = claim.state() != State.ALIVE;
        if (hasLeft() || claim.incarnation() < incarnation() || !accused && claim.incarnation() == incarnation()) {
            return;
        }
        if (claim.incarnation() - incarnation() > MAX_JUMP
                || claim.incarnation() >= Claim.MAX_INCARNATION
                || nowUs < mayRaiseUs) {
            refused++;
            return;
        }
        mayRaiseUs = nowUs + timing.gossipUs();
        final long raised = claim.incarnation() + 1;
        keep.accept(raised);
        changed(self, new Claim(State.ALIVE, raised), self.id);
        if (accused) {
            health.worse();
        }
        events.event(
                "self_refuted", "incarnation", raised, "held", claim.state().name(), "by", by);
    }

    /** A probe by this courier was not answered. */
    void accuse(final long nowUs, final int id) {
        final Member member = members.get(id);
        if (!member.isPresent()) {
            return;
        }
        if (member.suspicion == null) {
            suspected(nowUs, member, member.claim.incarnation(), self.id);
        } else {
            confirmed(member, self.id);
        }
        member.suspicion.askAt(nowUs);
    }

    /** True if this courier itself accuses that suspect. */
    boolean accuses(final Member suspect) {
        return suspect.suspicion.isAccuser(self.id);
    }

    private void suspected(final long nowUs, final Member member, final long incarnation, final int by) {
        final Claim suspect = new Claim(State.SUSPECT, incarnation);
        if (!suspect.equals(member.claim)) {
            changed(member, suspect, by);
            member.suspicion = new Suspicion(timing, nowUs, by);
            suspects.add(member);
        }
    }

    private void confirmed(final Member member, final int by) {
        if (member.suspicion.confirm(by)) {
            member.by = by;
            spread(member);
        }
    }

    /** Declares the suspects dead whose time to refute has passed. */
    void bury(final long nowUs) {
        for (final Member member : suspects()) {
            if (member.suspicion.deadlineUs() <= nowUs) {
                changed(member, new Claim(State.DEAD, member.claim.incarnation()), self.id);
            }
        }
    }

    /** This process was suspended, so no suspect's time to refute counts up to now. */
    void doubt(final long nowUs) {
        suspects.forEach(member -> member.suspicion.restart(nowUs));
    }

    /** When {@link #bury} or a probe of a suspect is due, monotonic us. */
    long dueUs() {
        long due = Long.MAX_VALUE;
        for (final Member member : suspects) {
            due = Math.min(due, Math.min(member.suspicion.deadlineUs(), member.suspicion.askUs()));
        }
        return due;
    }

    /**
     * Marks this courier as leaving and returns the message about it. The caller sends it, so it is not gossiped as
     * well.
     */
    Messages.Rumour leave() {
        changed(self, new Claim(State.LEFT, incarnation()), self.id);
        spreading.remove(self);
        return self.rumour();
    }

    private void changed(final Member member, final Claim claim, final int by) {
        final State before = member.claim.state();
        member.claim = claim;
        member.by = by;
        member.suspicion = null;
        suspects.remove(member);
        spread(member);
        // Only members that were present can leave or die: a courier that starts reports no old deaths.
        final boolean news =
                claim.state() != before && (before.isPresent() || claim.state().isPresent());
        if (news && member != self) {
            final String name =
                    switch (claim.state()) {
                        case SUSPECT -> "member_suspected";
                        case DEAD -> "member_dead";
                        case LEFT -> "member_left";
                        default -> before == State.SUSPECT ? "member_cleared" : "member_joined";
                    };
            events.event(name, "member", member.id, "incarnation", claim.incarnation(), "by", by);
        }
    }

    private void spread(final Member member) {
        member.sent = 0;
        if (tier.size() > 1 && !spreading.contains(member)) {
            spreading.add(member);
        }
    }

    boolean isSpreading() {
        return !spreading.isEmpty();
    }

    /** The gossip that fits into that many bytes, the least often sent first. */
    List<Message> rumours(final int peer, final int room) {
        final List<Message> rumours = new ArrayList<>();
        if (!isPresent(peer)) {
            return rumours;
        }
        spreading.sort(Comparator.comparingInt(member -> member.sent));
        int left = room;
        for (final Member member : spreading) {
            final Messages.Rumour rumour = member.rumour();
            final int size = PREFIX + rumour.size();
            if (member.id == peer) {
                // Pings and acks already tell the peer about itself. It counts as sent, since the two may be alone.
                member.sent++;
            } else if (size <= left) {
                rumours.add(rumour);
                left -= size;
                member.sent++;
            }
        }
        spreading.removeIf(member -> member.sent >= timing.sendings());
        return rumours;
    }
}
