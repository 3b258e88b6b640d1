package driftchute.fleet.lane;

import driftchute.fleet.ClockReading;
import driftchute.fleet.Component;
import driftchute.fleet.EventLog;
import driftchute.fleet.GossipSource;
import driftchute.fleet.Message;
import driftchute.fleet.Outbox;
import driftchute.fleet.Tier;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Decides which lane configuration is in force while a change is rolled out: a new one comes into force once a majority
 * of the configured couriers has its version or a later one. Until then the stricter of the two applies
 * (docs/fleet-lanes.md).
 */
public final class LaneConfigVersions implements Component, GossipSource {
    /** When a change is sent to all, after it occurred: with 30% loss, one peer in a hundred has missed all four. */
    private static final long[] SEND_AFTER_US = {0, 1_000_000, 3_000_000, 7_000_000};
    /** Interval of gossip about versions, us. It costs 3 to 5 bytes per second, whatever the fleet's size. */
    private static final long GOSSIP_INTERVAL_US = 2_500_000;
    /**
     * Size of the type and length before a body, bytes (PROTOCOL-irishead.md for the datagram; docs/one-fleet.md for
     * the frame).
     */
    private static final int PREFIX_BYTES = 2;

    private final Tier tier;
    private final EventLog events;
    private final Map<Integer, LaneConfigMessage> peers = new HashMap<>();
    private Lanes inForce;
    private Lanes pending;
    private Lanes stricter;
    private long changedUs;
    private int timesSent;
    private boolean started;
    private long lastGossipUs;
    private int majorityVersion;

    /** Starts with the only configuration that this courier has. */
    public LaneConfigVersions(final Tier tier, final Lanes first, final EventLog events) {
        this.tier = tier;
        this.inForce = first;
        this.events = events;
        this.majorityVersion = first.version();
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
        onChanged(now);
        events.event("lanes_pending", "version", next.version(), "in_force", inForce.version());
        checkMajority();
    }

    private void onChanged(final ClockReading now) {
        changedUs = now.monoUs();
        lastGossipUs = changedUs;
        timesSent = 0;
        started = true;
    }

    @Override
    public Map<Integer, Message.Reader> readers() {
        return Map.of(LaneConfigMessage.TYPE, LaneConfigMessage::read);
    }

    @Override
    public void receive(final ClockReading now, final int from, final Message message, final Outbox out) {
        if (!(message instanceof LaneConfigMessage block) || from == tier.self()) {
            return;
        }
        final LaneConfigMessage before = peers.put(from, block);
        if (block.version() == latest().version()
                && block.digest() != latest().digest()
                && (before == null || before.digest() != block.digest())) {
            events.event("lanes_differ", "courier", from, "version", block.version());
        }
        if (block.requestsReply()) {
            out.send(from, ownMessage(from, false));
        }
        checkMajority();
    }

    /**
     * Brings the pending configuration into force if a majority has it, and logs if a majority has one that this
     * courier lacks.
     */
    private void checkMajority() {
        if (pending != null && holders(pending.version(), pending.digest()) + 1 >= tier.majority()) {
            inForce = pending;
            pending = null;
            stricter = null;
            events.event("lanes_in_force", "version", inForce.version());
        }
        final int ownVersion = Math.max(majorityVersion, latest().version());
        final List<Integer> later = peers.values().stream()
                .map(LaneConfigMessage::version)
                .filter(version -> version > ownVersion)
                .sorted()
                .toList();
        if (later.size() >= tier.majority()) {
            majorityVersion = later.get(later.size() - tier.majority());
            events.event("lanes_behind", "version", majorityVersion, "held", latest().version());
        }
    }

    private int holders(final int version, final int digest) {
        return (int) peers.values().stream()
                .filter(block -> block.version() > version || block.version() == version && block.digest() == digest)
                .count();
    }

    private LaneConfigMessage ownMessage(final int peer, final boolean asking) {
        return new LaneConfigMessage(latest().version(), latest().digest(), asking && !peers.containsKey(peer));
    }

    @Override
    public long tick(final ClockReading now, final Outbox out) {
        if (!started) {
            onChanged(now);
        }
        if (timesSent < SEND_AFTER_US.length && now.monoUs() >= changedUs + SEND_AFTER_US[timesSent]) {
            timesSent++;
            for (int peer = 0; peer < tier.size(); peer++) {
                if (peer != tier.self()) {
                    out.send(peer, ownMessage(peer, true));
                }
            }
        }
        return timesSent < SEND_AFTER_US.length
                ? Math.max(now.monoUs() + 1, changedUs + SEND_AFTER_US[timesSent])
                : Long.MAX_VALUE;
    }

    @Override
    public List<Message> gossip(final ClockReading now, final int peer, final int room) {
        final LaneConfigMessage message = ownMessage(peer, true);
        if (!started || now.monoUs() - lastGossipUs < GOSSIP_INTERVAL_US || message.size() + PREFIX_BYTES > room) {
            return List.of();
        }
        lastGossipUs = now.monoUs();
        return List.of(message);
    }
}
