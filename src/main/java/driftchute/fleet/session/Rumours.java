package driftchute.fleet.session;

import driftchute.fleet.Message;
import driftchute.fleet.ClockReading;
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
final class Rumours {
    /** Size of the type and length before a message's body, bytes. */
    static final int PREFIX = 2;
    /**
     * First delay before a repetition, us (above a round trip within a site), and the number of attempts; the last is
     * after 6.3 s.
     */
    private static final long FIRST_WAIT_US = 100_000;

    private static final int MAX_TRIES = 7;
    private static final int MAX = 256;
    /** Number of times a received demotion is gossiped to each other courier. */
    private static final int RIDES = 2;

    private static final class Rumour {
        final int epoch;
        final BitSet missing;
        final byte[] rides;
        int tries;
        long nextUs;

        Rumour(final int epoch, final int couriers, final int self, final long nowUs) {
            this.epoch = epoch;
            this.nextUs = nowUs;
            missing = new BitSet(couriers);
            missing.set(0, couriers);
            missing.clear(self);
            rides = new byte[couriers];
        }
    }

    private final int self;
    private final int couriers;
    private final Latest<Rumour> own = new Latest<>(MAX);
    private final Latest<Rumour> told = new Latest<>(MAX);

    Rumours(final int self, final int couriers) {
        this.self = self;
        this.couriers = couriers;
    }

    /** This courier demoted a session; {@link #send} is due. */
    void start(final ClockReading now, final long session, final int epoch) {
        own.put(session, new Rumour(epoch, couriers, self, now.monoUs()));
    }

    /** That courier sent a demotion that was news here. */
    void pass(final ClockReading now, final int from, final long session, final int epoch) {
        final Rumour rumour = new Rumour(epoch, couriers, self, now.monoUs());
        rumour.missing.clear(from);
        told.put(session, rumour);
    }

    /** That courier has this epoch of the session, or a later one. */
    void known(final int courier, final long session, final int epoch) {
        for (final Latest<Rumour> some : List.of(own, told)) {
            final Rumour rumour = some.get(session);
            if (rumour != null && epoch >= rumour.epoch) {
                rumour.missing.clear(courier);
            }
        }
    }

    /** Sends what is due; returns when the next is due, monotonic us. */
    long send(final ClockReading now, final Outbox out) {
        long next = Long.MAX_VALUE;
        for (final Iterator<Map.Entry<Long, Rumour>> it = own.all().entrySet().iterator(); it.hasNext(); ) {
            final Map.Entry<Long, Rumour> one = it.next();
            final Rumour rumour = one.getValue();
            if (rumour.nextUs <= now.monoUs()) {
                final Demotion demotion = new Demotion(false, one.getKey(), rumour.epoch);
                rumour.missing.stream().forEach(peer -> out.send(peer, demotion));
                rumour.nextUs = now.monoUs() + (FIRST_WAIT_US << rumour.tries++);
            }
            if (rumour.missing.isEmpty() || rumour.tries >= MAX_TRIES) {
                it.remove();
            } else {
                next = Math.min(next, rumour.nextUs);
            }
        }
        return next;
    }

    /** Gossip for that courier within so many bytes. */
    List<Message> ride(final int peer, final int room) {
        final List<Message> riding = new ArrayList<>();
        int left = room;
        for (final Iterator<Map.Entry<Long, Rumour>> it = told.all().entrySet().iterator(); it.hasNext(); ) {
            final Map.Entry<Long, Rumour> one = it.next();
            final Rumour rumour = one.getValue();
            if (rumour.missing.isEmpty()) {
                it.remove();
            } else if (rumour.missing.get(peer)) {
                final Demotion demotion = new Demotion(false, one.getKey(), rumour.epoch);
                left -= demotion.size() + PREFIX;
                if (left < 0) {
                    break;
                }
                riding.add(demotion);
                if (++rumour.rides[peer] >= RIDES) {
                    rumour.missing.clear(peer);
                }
            }
        }
        return riding;
    }
}
