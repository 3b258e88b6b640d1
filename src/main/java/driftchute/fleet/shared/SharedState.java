package driftchute.fleet.shared;

import driftchute.Courier;
import driftchute.fleet.ClockReading;
import driftchute.fleet.ControlPlane;
import driftchute.fleet.EventLog;
import driftchute.fleet.FleetConfig;
import driftchute.fleet.FrameCodec;
import driftchute.fleet.Tier;
import driftchute.fleet.lease.RoleLeases;
import driftchute.fleet.membership.Membership;
import driftchute.fleet.ration.RateLeases;
import driftchute.fleet.verdict.HealthVerdicts;
import driftchute.fleet.verdict.VerdictTiming;
import java.util.List;
import java.util.Map;
import java.util.function.LongConsumer;

/**
 * All state that one courier shares with its tier: membership, roles, rate leases and verdicts on one control plane
 * (docs/one-fleet.md). Has no clock or I/O; used by one thread.
 */
public final class SharedState {
    private static final long US_PER_MS = 1000;
    /**
     * The roles by number: the courier that allocates rate leases, and the one that assigns probes. Their names enter
     * the hash that ranks the candidates.
     */
    private static final List<String> ROLE_NAMES = List.of("allocator", "trier");

    static final int ALLOCATOR = 0;
    static final int PROBE_COORDINATOR = 1;

    private final double reservedShare;
    private final Tier tier;
    private final Membership membership;
    private final RoleLeases roleLeases;
    private final RateLeases rateLeases;
    private final HealthVerdicts verdicts;
    private final ControlPlane plane;

    /**
     * Creates the state of a courier that has just started.
     *
     * @param seed the only source of randomness
     * @param incarnation one more than the last one it used
     * @param storeIncarnation called with each higher incarnation before a message with it is sent
     * @param sender sends the datagrams
     */
    public SharedState(
            final Tier tier,
            final FleetConfig block,
            final Courier.Guarantees guarantees,
            final long seed,
            final long incarnation,
            final ClockReading start,
            final EventLog events,
            final LongConsumer storeIncarnation,
            final ControlPlane.Sender sender) {
        this.reservedShare = block.reserve();
        this.tier = tier;
        membership =
                new Membership(tier, block.probeMs() * US_PER_MS, seed, incarnation, start, events, storeIncarnation);
        roleLeases = new RoleLeases(
                tier, ROLE_NAMES, block.leaseMs() * US_PER_MS, block.driftPpm(), seed + 1, start, events);
        rateLeases = new RateLeases(tier, block, new RoleLease(roleLeases, ALLOCATOR), seed + 2, events);
        verdicts = new HealthVerdicts(
                tier,
                new VerdictTiming(
                        block.staleMs(),
                        guarantees.warmUpUs() / US_PER_MS,
                        block.leaseMs(),
                        block.driftPpm(),
                        VerdictTiming::halfOfAge),
                new RoleLease(roleLeases, PROBE_COORDINATOR),
                seed + 3,
                events);
        plane = new ControlPlane(tier, List.of(membership, roleLeases, rateLeases, verdicts), sender);
    }

    /** Handles a datagram from that courier. {@code now} must be read after the datagram was taken from the socket. */
    public void receive(final ClockReading now, final int from, final byte[] datagram) {
        plane.receive(now, from, datagram);
    }

    /** Handles what this courier's traffic knows and needs. */
    public void reports(final ClockReading now, final List<Courier.DestinationReport> reports) {
        rateLeases.onReports(now, reports);
        verdicts.onReports(now, reports);
    }

    /**
     * Performs the work that is due.
     *
     * @return the latest time for the next call, monotonic us
     */
    public long tick(final ClockReading now) {
        return plane.tick(now);
    }

    /** The view for the traffic. */
    public Courier.FleetView view(final ClockReading now) {
        return new Courier.FleetView(reservedShare, rateLeases.rateLeases(now), verdicts.verdicts(now));
    }

    /** Gives up the roles and, if {@code leaves}, tells the others that this courier leaves. */
    public void end(final ClockReading now, final boolean leaves) {
        roleLeases.release(now, plane.outbox());
        if (leaves) {
            membership.leave(now, plane.outbox());
        }
        plane.flush(now);
    }

    /** This courier's incarnation. */
    public long incarnation() {
        return membership.incarnation();
    }

    /** Number of dropped frames and messages by reason. */
    public Map<FrameCodec.Drop, Long> drops() {
        return plane.drops();
    }

    /** A one-line summary for the log: the number of couriers present and the holders of the roles, as known here. */
    public String describe(final ClockReading now) {
        final StringBuilder text = new StringBuilder("present "
                + membership.present().size() + " of " + tier.size() + ", local health " + membership.localHealth());
        for (int role = 0; role < ROLE_NAMES.size(); role++) {
            text.append(", ")
                    .append(ROLE_NAMES.get(role))
                    .append(' ')
                    .append(roleLeases
                            .holder(now, role)
                            .map(holding -> holding.courier() + " by token " + holding.token())
                            .orElse("none"));
        }
        return text.append(", rate leases ")
                .append(rateLeases.rateLeases(now).size())
                .append(", verdicts ")
                .append(verdicts.verdicts(now).size())
                .toString();
    }
}
