package driftchute.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The control plane of one courier: connects the components, passes each message to the component that understands it,
 * and packs what they send. Has no clock or I/O; used by one thread.
 */
public final class Plane {
    /** Maximum number of messages between components of this courier in one turn, to stop endless loops. */
    private static final int MAX_OWN = 1000;

    /** Sends datagrams. */
    public interface Sender {
        /**
         * Sends a datagram to a peer.
         *
         * @param datagram at most {@link Codec#MOST_BYTES}
         */
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
     * Connects these components, in the order in which they act.
     *
     * @throws IllegalArgumentException if two components claim the same message type
     */
    public Plane(final Tier tier, final List<Part> parts, final Sender sender) {
        this.tier = tier;
        this.parts = List.copyOf(parts);
        this.sender = sender;
        final Map<Integer, Message.Reader> readers = new HashMap<>();
        for (final Part part : parts) {
            part.readers().forEach((type, reader) -> {
                if (readers.put(type, reader) != null) {
                    throw new IllegalArgumentException("two components claim messages of type " + type);
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

    /** Handles a datagram from that courier's address. No content can make this throw. */
    public void receive(final Moment now, final int from, final byte[] datagram) {
        if (from < 0 || from >= tier.size() || from == tier.self()) {
            return;
        }
        codec.decode(datagram).forEach(message -> byType.get(message.type()).receive(now, from, message, mail));
        flush(now);
    }

    /**
     * Lets every component perform the work that is due.
     *
     * @return the latest time for the next call, monotonic us
     */
    public long tick(final Moment now) {
        long next = Long.MAX_VALUE;
        for (final Part part : parts) {
            next = Math.min(next, part.tick(now, mail));
        }
        flush(now);
        return next;
    }

    /** The outbox for components that are called other than by messages and ticks. {@link #flush} sends its content. */
    public Outbox outbox() {
        return mail;
    }

    /** Sends the messages collected since the last flush. */
    public void flush(final Moment now) {
        int left = MAX_OWN;
        for (Message own = mail.ownNext(); own != null; own = mail.ownNext()) {
            if (left-- == 0) {
                throw new IllegalStateException("components of this courier answer each other in an endless loop: " + own);
            }
            byType.get(own.type()).receive(now, tier.self(), own, mail);
        }
        mail.pack(now, riders).forEach(datagram -> sender.send(datagram.peer(), datagram.bytes()));
    }

    /** Number of dropped frames and messages by reason. */
    public Map<Codec.Drop, Long> drops() {
        return codec.drops();
    }
}
