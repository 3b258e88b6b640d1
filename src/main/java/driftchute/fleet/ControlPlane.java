package driftchute.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The control plane of one courier: connects the components, passes each message to the component that understands it,
 * and packs what they send. Has no clock or I/O; used by one thread.
 */
public final class ControlPlane {
    /** Maximum number of messages between components of this courier in one turn, to stop endless loops. */
    private static final int MAX_MESSAGES_TO_SELF = 1000;

    /** Sends datagrams. */
    public interface Sender {
        /**
         * Sends a datagram to a peer.
         *
         * @param datagram at most {@link FrameCodec#MAX_BYTES}
         */
        void send(int peer, byte[] datagram);
    }

    private final FrameCodec codec;
    private final DatagramPacker packer;
    private final List<Component> components;
    private final List<GossipSource> gossipSources = new ArrayList<>();
    private final Map<Integer, Component> byType = new HashMap<>();
    private final Sender sender;
    private final Tier tier;

    /**
     * Connects these components, in the order in which they act.
     *
     * @throws IllegalArgumentException if two components claim the same message type
     */
    public ControlPlane(final Tier tier, final List<Component> components, final Sender sender) {
        this.tier = tier;
        this.components = List.copyOf(components);
        this.sender = sender;
        final Map<Integer, Message.Reader> readers = new HashMap<>();
        for (final Component component : components) {
            component.readers().forEach((type, reader) -> {
                if (readers.put(type, reader) != null) {
                    throw new IllegalArgumentException("two components claim messages of type " + type);
                }
                byType.put(type, component);
            });
            if (component instanceof GossipSource gossipSource) {
                gossipSources.add(gossipSource);
            }
        }
        this.codec = new FrameCodec(tier.epoch(), readers);
        this.packer = new DatagramPacker(tier, codec);
    }

    /** Handles a datagram from that courier's address. No content can make this throw. */
    public void receive(final ClockReading now, final int from, final byte[] datagram) {
        if (from < 0 || from >= tier.size() || from == tier.self()) {
            return;
        }
        codec.decode(datagram).forEach(message -> byType.get(message.type()).receive(now, from, message, packer));
        flush(now);
    }

    /**
     * Lets every component perform the work that is due.
     *
     * @return the latest time for the next call, monotonic us
     */
    public long tick(final ClockReading now) {
        long next = Long.MAX_VALUE;
        for (final Component component : components) {
            next = Math.min(next, component.tick(now, packer));
        }
        flush(now);
        return next;
    }

    /** The outbox for components that are called other than by messages and ticks. {@link #flush} sends its content. */
    public Outbox outbox() {
        return packer;
    }

    /** Sends the messages collected since the last flush. */
    public void flush(final ClockReading now) {
        int remaining = MAX_MESSAGES_TO_SELF;
        for (Message message = packer.nextToSelf(); message != null; message = packer.nextToSelf()) {
            if (remaining-- == 0) {
                throw new IllegalStateException(
                        "components of this courier answer each other in an endless loop: " + message);
            }
            byType.get(message.type()).receive(now, tier.self(), message, packer);
        }
        packer.pack(now, gossipSources).forEach(datagram -> sender.send(datagram.peer(), datagram.bytes()));
    }

    /** Number of dropped frames and messages by reason. */
    public Map<FrameCodec.Drop, Long> drops() {
        return codec.drops();
    }
}
