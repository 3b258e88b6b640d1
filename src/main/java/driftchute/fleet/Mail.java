package driftchute.fleet;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Packs the messages of one turn into as few datagrams as possible. Gossip fills the space left. */
final class Mail implements Outbox {
    /** One datagram for one courier. */
    record Datagram(int peer, byte[] bytes) {}

    private final Tier tier;
    private final Codec codec;
    private final Map<Integer, List<Message>> waiting = new TreeMap<>();
    private final Deque<Message> own = new ArrayDeque<>();

    Mail(final Tier tier, final Codec codec) {
        this.tier = tier;
        this.codec = codec;
    }

    @Override
    public void send(final int peer, final Message message) {
        if (peer == tier.self()) {
            own.add(message);
        } else if (peer >= 0 && peer < tier.size()) {
            waiting.computeIfAbsent(peer, unused -> new ArrayList<>()).add(message);
        } else {
            throw new IllegalArgumentException("no courier " + peer + " in a tier of " + tier.size());
        }
    }

    /** The next message that a component of this courier sent to this courier, or null. */
    Message ownNext() {
        return own.poll();
    }

    /** Packs all waiting messages, each in one piece. The last datagram for a courier also carries gossip. */
    List<Datagram> pack(final Moment now, final List<Rider> riders) {
        final List<Datagram> datagrams = new ArrayList<>();
        waiting.forEach((peer, messages) -> {
            List<Message> frame = new ArrayList<>();
            int room = Codec.MAX_BYTES - Codec.HEADER;
            for (final Message message : messages) {
                if (Codec.sizeOf(message) > room) {
                    datagrams.add(new Datagram(peer, codec.encode(frame)));
                    frame = new ArrayList<>();
                    room = Codec.MAX_BYTES - Codec.HEADER;
                }
                frame.add(message);
                room -= Codec.sizeOf(message);
            }
            for (final Rider rider : riders) {
                for (final Message message : rider.ride(now, peer, room)) {
                    frame.add(message);
                    room -= Codec.sizeOf(message);
                }
            }
            datagrams.add(new Datagram(peer, codec.encode(frame)));
        });
        waiting.clear();
        return datagrams;
    }
}
