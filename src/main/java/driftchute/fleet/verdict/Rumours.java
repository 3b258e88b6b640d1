package driftchute.fleet.verdict;

import driftchute.fleet.ClockReading;
import driftchute.fleet.Outbox;
import driftchute.fleet.Tier;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * Gossips changes: each change is sent to a few random couriers per round, until nearly all have received it (rumour
 * mongering with counters; Demers et al. 1987, and SWIM, Das et al. 2002, for the number).
 */
final class Rumours {
    /** Couriers per round. More would cost bytes and save little time. */
    static final int FAN_OUT = 3;
    /** Sendings of one change by one courier, times log2 of the tier size: one of ten is missed with e^-7. */
    private static final int TELLINGS = 2;
    /**
     * Interval between rounds, us, and the minimum delay after news, so that simultaneous changes are sent together.
     */
    private static final long ROUND_US = 100_000;

    private static final long NEWS_US = 20_000;
    /** Maximum size of a round's entries, bytes, so that they fit into one datagram with a digest. */
    static final int MAX_BYTES = 240;

    private final Evidence evidence;
    private final Random random;
    private final List<Integer> others;
    private final int tellings;
    private final Map<Entry.Key, Integer> left = new LinkedHashMap<>();
    private long lastUs = Long.MIN_VALUE / 2;
    private boolean news;

    Rumours(final Tier tier, final Evidence evidence, final Random random) {
        this.evidence = evidence;
        this.random = random;
        this.others = IntStream.range(0, tier.size())
                .filter(peer -> peer != tier.self())
                .boxed()
                .collect(Collectors.toCollection(ArrayList::new));
        this.tellings = TELLINGS * (Integer.SIZE - Integer.numberOfLeadingZeros(tier.size()));
    }

    /** An entry has changed. If it changed no verdict, one round is enough, and digests do the rest. */
    void add(final Entry.Key key, final boolean urgent) {
        left.put(key, urgent ? tellings : FAN_OUT);
        news = true;
    }

    /** Whether entries were sent at this time: digests would differ because of entries still in transit. */
    boolean isTelling(final ClockReading now) {
        return lastUs == now.monoUs();
    }

    /** When the next round is due, monotonic us. */
    long dueUs() {
        return left.isEmpty() ? Long.MAX_VALUE : lastUs + (news ? NEWS_US : ROUND_US);
    }

    /** Sends the newest entries, if a round is due. */
    void round(final ClockReading now, final Outbox out) {
        if (now.monoUs() < dueUs()) {
            return;
        }
        lastUs = now.monoUs();
        news = false;
        final List<Entry> told = newest();
        Collections.shuffle(others, random);
        final int peers = Math.min(FAN_OUT, others.size());
        others.subList(0, peers).forEach(peer -> told.forEach(entry -> out.send(peer, entry)));
        told.forEach(
                entry -> left.computeIfPresent(entry.key(), (key, count) -> count > FAN_OUT ? count - FAN_OUT : null));
    }

    private List<Entry> newest() {
        final List<Entry> told = new ArrayList<>();
        final List<Entry.Key> keys = new ArrayList<>(left.keySet());
        keys.sort(Comparator.comparing(left::get, Comparator.reverseOrder()));
        int room = MAX_BYTES;
        for (final Entry.Key key : keys) {
            final Entry entry = evidence.at(key);
            if (entry == null) {
                left.remove(key);
            } else if (Evidence.bytes(entry) <= room) {
                room -= Evidence.bytes(entry);
                told.add(entry);
            }
        }
        return told;
    }
}
