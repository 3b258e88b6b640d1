package driftchute.fleet;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Packs the messages of one turn into as few datagrams as possible. Gossip fills the space left. */
final class DatagramPacker implements Outbox {
    /** One datagram for one courier. */
    record Datagram(int peer, byte[] bytes) {}

    private final Tier tier;
    private final FrameCodec codec;
    private final Map<Integer, List<Message>> waiting = new TreeMap<>();
    private final Deque<Message> toSelf = new ArrayDeque<>();

    DatagramPacker(final Tier tier, final FrameCodec codec) {
        this.tier = tier;
        this.codec = codec;
    }

    @Override
    public void send(final int peer, final Message message) {
        if (peer == tier.self()) {
            toSelf.add(message);
        } else if (peer >= 0 && peer < tier.size()) {
            waiting.computeIfAbsent(peer, unused -> new ArrayList<>()).add(message);
        } else {
            throw new IllegalArgumentException("no courier " + peer + " in a tier of " + tier.size());
        }
    }

    /** The next message that a component of this courier sent to this courier, or null. */
    Message nextToSelf() {
        return toSelf.poll();
    }

    /** Packs all waiting messages, each in one piece. The last datagram for a courier also carries gossip. */
    List<Datagram> pack(final ClockReading now, final List<GossipSource> gossipSources) {
        final List<Datagram> datagrams = new ArrayList<>();
        waiting.forEach((peer, messages) -> {
            List<Message> frame = new ArrayList<>();
            int freeBytes = FrameCodec.MAX_BYTES - FrameCodec.HEADER_BYTES;
            for (final Message message : messages) {
                if (FrameCodec.sizeOf(message) > freeBytes) {
                    datagrams.add(new Datagram(peer, codec.encode(frame)));
                    frame = new ArrayList<>();
                    freeBytes = FrameCodec.MAX_BYTES - FrameCodec.HEADER_BYTES;
                }
                frame.add(message);
                freeBytes -= FrameCodec.sizeOf(message);
            }
            for (final GossipSource gossipSource : gossipSources) {
                for (final Message message : gossipSource.gossip(now, peer, freeBytes)) {
                    frame.add(message);
                    freeBytes -= FrameCodec.sizeOf(message);
                }
            }
            datagrams.add(new Datagram(peer, codec.encode(frame)));
        });
        waiting.clear();
        return datagrams;
    }
}
