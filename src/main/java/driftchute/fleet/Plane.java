package driftchute.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The control plane of one courier: joins the parts, hands each message to the part that understands it, and packs what they
 * say. Pure; one thread calls it.
 */
public final class Plane {
    /** Messages that one turn may hand from a part of this courier to a part of this courier: a bound on loops. */
    private static final int MOST_OWN = 1000;

    /** Where datagrams go. */
    public interface Sender {
        /** @param datagram at most {@link Codec#MOST_BYTES} */
        void send(int peer, byte[] datagram);
    }

    private final Codec codec;
    private final Mail mail;
    private final List<Part> parts;
    private final List<Rider> riders = new ArrayList<>();
    private final Map<Integer, Part> byType = new HashMap<>();
    private final Sender sender;
    private final Tier tier;

    /**
     * Joins these parts, in the order in which they act.
     *
     * @throws IllegalArgumentException where two parts claim one type of message
     */
    public Plane(final Tier tier, final List<Part> parts, final Sender sender) {
        this.tier = tier;
        this.parts = List.copyOf(parts);
        this.sender = sender;
        final Map<Integer, Message.Reader> readers = new HashMap<>();
        for (final Part part : parts) {
            part.readers().forEach((type, reader) -> {
                if (readers.put(type, reader) != null) {
                    throw new IllegalArgumentException("two parts claim messages of type " + type);
                }
                byType.put(type, part);
            });
            if (part instanceof Rider rider) {
                riders.add(rider);
            }
        }
        this.codec = new Codec(tier.epoch(), readers);
        this.mail = new Mail(tier, codec);
    }

    /** A datagram has come from that courier's address. Nothing in it can make this throw. */
    public void receive(final Moment now, final int from, final byte[] datagram) {
        if (from < 0 || from >= tier.size() || from == tier.self()) {
            return;
        }
        codec.decode(datagram).forEach(message -> byType.get(message.type()).receive(now, from, message, mail));
        flush(now);
    }

    /**
     * Time has passed: every part does what is due.
     *
     * @return when to call again at the latest, monotonic us
     */
    public long tick(final Moment now) {
        long next = Long.MAX_VALUE;
        for (final Part part : parts) {
            next = Math.min(next, part.tick(now, mail));
        }
        flush(now);
        return next;
    }

    /** Where a part is told something outside of messages and ticks, it speaks through this; {@link #flush} sends it. */
    public Outbox outbox() {
        return mail;
    }

    /** Sends what the parts have said since the last flush. */
    public void flush(final Moment now) {
        int left = MOST_OWN;
        for (Message own = mail.ownNext(); own != null; own = mail.ownNext()) {
            if (left-- == 0) {
                throw new IllegalStateException("parts of this courier answer each other without end: " + own);
            }
            byType.get(own.type()).receive(now, tier.self(), own, mail);
        }
        mail.pack(now, riders).forEach(datagram -> sender.send(datagram.peer(), datagram.bytes()));
    }

    /** How often something that came was dropped, by reason. */
    public Map<Codec.Drop, Long> drops() {
        return codec.drops();
    }
}
