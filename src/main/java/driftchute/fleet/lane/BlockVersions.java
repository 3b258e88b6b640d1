package driftchute.fleet.lane;

import driftchute.fleet.EventLog;
import driftchute.fleet.Message;
import driftchute.fleet.ClockReading;
import driftchute.fleet.Outbox;
import driftchute.fleet.Component;
import driftchute.fleet.GossipSource;
import driftchute.fleet.Tier;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Decides which lane configuration is in force while a change is rolled out: a new one comes into force once a majority
 * of the configured couriers has its version or a later one. Until then the stricter of the two applies
 * (docs/fleet-lanes.md).
 */
public final class BlockVersions implements Component, GossipSource {
    /** When a change is sent to all, after it occurred: with 30% loss, one peer in a hundred has missed all four. */
    private static final long[] TOLD_AT_US = {0, 1_000_000, 3_000_000, 7_000_000};
    /** Interval of gossip about versions, us. It costs 3 to 5 bytes per second, whatever the fleet's size. */
    private static final long RIDE_US = 2_500_000;
    /**
     * Size of the type and length before a body, bytes (PROTOCOL-irishead.md for the datagram; docs/one-fleet.md for
     * the frame).
     */
    private static final int PREFIX = 2;

    private final Tier tier;
    private final EventLog events;
    private final Map<Integer, BlockMessage> peers = new HashMap<>();
    private Lanes inForce;
    private Lanes pending;
    private Lanes stricter;
    private long changedUs;
    private int told;
    private boolean started;
    private long rodeUs;
    private int behind;

    /** Starts with the only configuration that this courier has. */
    public BlockVersions(final Tier tier, final Lanes first, final EventLog events) {
        this.tier = tier;
        this.inForce = first;
        this.events = events;
        this.behind = first.version();
    }

    /** The lanes that apply now. */
    public Lanes lanes() {
        return pending == null ? inForce : stricter;
    }

    /** The latest configuration of this courier, in force or pending. */
    Lanes latest() {
        return pending == null ? inForce : pending;
    }

    /**
     * Handles a configuration that was read again. One with a lower version, or the same version with other content, is
     * refused and logged. An identical one changes nothing.
     */
    public void offer(final ClockReading now, final Lanes next) {
        if (next.digest() == latest().digest()) {
            return;
        }
        if (next.version() <= latest().version()) {
            events.event("lanes_refused", "version", next.version(), "held", latest().version());
            return;
        }
        pending = next;
        stricter = Lanes.stricter(inForce, pending);
        changed(now);
        events.event("lanes_pending", "version", next.version(), "in_force", inForce.version());
        weigh();
    }

    private void changed(final ClockReading now) {
        changedUs = now.monoUs();
        rodeUs = changedUs;
        told = 0;
        started = true;
    }

    @Override
    public Map<Integer, Message.Reader> readers() {
        return Map.of(BlockMessage.TYPE, BlockMessage::read);
    }

    @Override
    public void receive(final ClockReading now, final int from, final Message message, final Outbox out) {
        if (!(message instanceof BlockMessage block) || from == tier.self()) {
            return;
        }
        final BlockMessage before = peers.put(from, block);
        if (block.version() == latest().version()
                && block.digest() != latest().digest()
                && (before == null || before.digest() != block.digest())) {
            events.event("lanes_differ", "courier", from, "version", block.version());
        }
        if (block.asks()) {
            out.send(from, mine(from, false));
        }
        weigh();
    }

    /**
     * Brings the pending configuration into force if a majority has it, and logs if a majority has one that this
     * courier lacks.
     */
    private void weigh() {
        if (pending != null && holders(pending.version(), pending.digest()) + 1 >= tier.majority()) {
            inForce = pending;
            pending = null;
            stricter = null;
            events.event("lanes_in_force", "version", inForce.version());
        }
        final int mine = Math.max(behind, latest().version());
        final List<Integer> later = peers.values().stream()
                .map(BlockMessage::version)
                .filter(version -> version > mine)
                .sorted()
                .toList();
        if (later.size() >= tier.majority()) {
            behind = later.get(later.size() - tier.majority());
            events.event("lanes_behind", "version", behind, "held", latest().version());
        }
    }

    private int holders(final int version, final int digest) {
        return (int) peers.values().stream()
                .filter(block -> block.version() > version || block.version() == version && block.digest() == digest)
                .count();
    }

    private BlockMessage mine(final int peer, final boolean asking) {
        return new BlockMessage(latest().version(), latest().digest(), asking && !peers.containsKey(peer));
    }

    @Override
    public long tick(final ClockReading now, final Outbox out) {
        if (!started) {
            changed(now);
        }
        if (told < TOLD_AT_US.length && now.monoUs() >= changedUs + TOLD_AT_US[told]) {
            told++;
            for (int peer = 0; peer < tier.size(); peer++) {
                if (peer != tier.self()) {
                    out.send(peer, mine(peer, true));
                }
            }
        }
        return told < TOLD_AT_US.length ? Math.max(now.monoUs() + 1, changedUs + TOLD_AT_US[told]) : Long.MAX_VALUE;
    }

    @Override
    public List<Message> gossip(final ClockReading now, final int peer, final int room) {
        final BlockMessage mine = mine(peer, true);
        if (!started || now.monoUs() - rodeUs < RIDE_US || mine.size() + PREFIX > room) {
            return List.of();
        }
        rodeUs = now.monoUs();
        return List.of(mine);
    }
}
