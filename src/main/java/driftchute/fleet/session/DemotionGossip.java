package driftchute.fleet.session;

import driftchute.fleet.ClockReading;
import driftchute.fleet.Message;
import driftchute.fleet.Outbox;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

/**
 * Spreads demotions. A demotion by this courier is sent to each other courier at once, and repeated with doubling
 * delays until it is confirmed. A demotion received from another is gossiped a few times to those that may not have it.
 * Both kinds have separate bounds, so that a courier that sends many cannot displace this one's own.
 */
final class DemotionGossip {
    /** Size of the type and length before a message's body, bytes. */
    static final int PREFIX_BYTES = 2;
    /**
     * First delay before a repetition, us (above a round trip within a site), and the number of attempts; the last is
     * after 6.3 s.
     */
    private static final long FIRST_WAIT_US = 100_000;

    private static final int MAX_TRIES = 7;
    private static final int MAX_DEMOTIONS = 256;
    /** Number of times a received demotion is gossiped to each other courier. */
    private static final int GOSSIPS_PER_PEER = 2;

    private static final class PendingDemotion {
        final int epoch;
        final BitSet missing;
        final byte[] timesGossiped;
        int tries;
        long nextUs;

        PendingDemotion(final int epoch, final int couriers, final int self, final long nowUs) {
            this.epoch = epoch;
            this.nextUs = nowUs;
            missing = new BitSet(couriers);
            missing.set(0, couriers);
            missing.clear(self);
            timesGossiped = new byte[couriers];
        }
    }

    private final int self;
    private final int couriers;
    private final LruMap<PendingDemotion> own = new LruMap<>(MAX_DEMOTIONS);
    private final LruMap<PendingDemotion> received = new LruMap<>(MAX_DEMOTIONS);

    DemotionGossip(final int self, final int couriers) {
        this.self = self;
        this.couriers = couriers;
    }

    /** This courier demoted a session; {@link #sendDue} is due. */
    void start(final ClockReading now, final long session, final int epoch) {
        own.put(session, new PendingDemotion(epoch, couriers, self, now.monoUs()));
    }

    /** That courier sent a demotion that was news here. */
    void onReceived(final ClockReading now, final int from, final long session, final int epoch) {
        final PendingDemotion demotion = new PendingDemotion(epoch, couriers, self, now.monoUs());
        demotion.missing.clear(from);
        received.put(session, demotion);
    }

    /** That courier has this epoch of the session, or a later one. */
    void onConfirmed(final int courier, final long session, final int epoch) {
        for (final LruMap<PendingDemotion> some : List.of(own, received)) {
            final PendingDemotion demotion = some.get(session);
            if (demotion != null && epoch >= demotion.epoch) {
                demotion.missing.clear(courier);
            }
        }
    }

    /** Sends what is due; returns when the next is due, monotonic us. */
    long sendDue(final ClockReading now, final Outbox out) {
        long next = Long.MAX_VALUE;
        for (final Iterator<Map.Entry<Long, PendingDemotion>> it =
                        own.entries().entrySet().iterator();
                it.hasNext(); ) {
            final Map.Entry<Long, PendingDemotion> one = it.next();
            final PendingDemotion demotion = one.getValue();
            if (demotion.nextUs <= now.monoUs()) {
                final DemotionMessage message = new DemotionMessage(false, one.getKey(), demotion.epoch);
                demotion.missing.stream().forEach(peer -> out.send(peer, message));
                demotion.nextUs = now.monoUs() + (FIRST_WAIT_US << demotion.tries++);
            }
            if (demotion.missing.isEmpty() || demotion.tries >= MAX_TRIES) {
                it.remove();
            } else {
                next = Math.min(next, demotion.nextUs);
            }
        }
        return next;
    }

    /** Gossip for that courier within so many bytes. */
    List<Message> gossip(final int peer, final int maxBytes) {
        final List<Message> messages = new ArrayList<>();
        int freeBytes = maxBytes;
        for (final Iterator<Map.Entry<Long, PendingDemotion>> it =
                        received.entries().entrySet().iterator();
                it.hasNext(); ) {
            final Map.Entry<Long, PendingDemotion> one = it.next();
            final PendingDemotion demotion = one.getValue();
            if (demotion.missing.isEmpty()) {
                it.remove();
            } else if (demotion.missing.get(peer)) {
                final DemotionMessage message = new DemotionMessage(false, one.getKey(), demotion.epoch);
                freeBytes -= message.size() + PREFIX_BYTES;
                if (freeBytes < 0) {
                    break;
                }
                messages.add(message);
                if (++demotion.timesGossiped[peer] >= GOSSIPS_PER_PEER) {
                    demotion.missing.clear(peer);
                }
            }
        }
        return messages;
    }
}
