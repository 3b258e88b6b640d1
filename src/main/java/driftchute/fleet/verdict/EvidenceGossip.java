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
final class EvidenceGossip {
    /** Couriers per round. More would cost bytes and save little time. */
    static final int FAN_OUT = 3;
    /** Sendings of one change by one courier, times log2 of the tier size: one of ten is missed with e^-7. */
    private static final int SENDINGS_PER_LOG_SIZE = 2;
    /**
     * Interval between rounds, us, and the minimum delay after news, so that simultaneous changes are sent together.
     */
    private static final long ROUND_US = 100_000;

    private static final long MIN_NEWS_DELAY_US = 20_000;
    /** Maximum size of a round's entries, bytes, so that they fit into one datagram with a digest. */
    static final int MAX_BYTES = 240;

    private final EvidenceStore evidence;
    private final Random random;
    private final List<Integer> others;
    private final int sendings;
    private final Map<EvidenceEntry.Key, Integer> sendingsLeft = new LinkedHashMap<>();
    private long lastRoundUs = Long.MIN_VALUE / 2;
    private boolean hasNews;

    EvidenceGossip(final Tier tier, final EvidenceStore evidence, final Random random) {
        this.evidence = evidence;
        this.random = random;
        this.others = IntStream.range(0, tier.size())
                .filter(peer -> peer != tier.self())
                .boxed()
                .collect(Collectors.toCollection(ArrayList::new));
        this.sendings = SENDINGS_PER_LOG_SIZE * (Integer.SIZE - Integer.numberOfLeadingZeros(tier.size()));
    }

    /** An entry has changed. If it changed no verdict, one round is enough, and digests do the rest. */
    void add(final EvidenceEntry.Key key, final boolean urgent) {
        sendingsLeft.put(key, urgent ? sendings : FAN_OUT);
        hasNews = true;
    }

    /** Whether entries were sent at this time: digests would differ because of entries still in transit. */
    boolean sentAt(final ClockReading now) {
        return lastRoundUs == now.monoUs();
    }

    /** When the next round is due, monotonic us. */
    long dueUs() {
        return sendingsLeft.isEmpty() ? Long.MAX_VALUE : lastRoundUs + (hasNews ? MIN_NEWS_DELAY_US : ROUND_US);
    }

    /** Sends the newest entries, if a round is due. */
    void runRound(final ClockReading now, final Outbox out) {
        if (now.monoUs() < dueUs()) {
            return;
        }
        lastRoundUs = now.monoUs();
        hasNews = false;
        final List<EvidenceEntry> entries = newestEntries();
        Collections.shuffle(others, random);
        final int peers = Math.min(FAN_OUT, others.size());
        others.subList(0, peers).forEach(peer -> entries.forEach(entry -> out.send(peer, entry)));
        entries.forEach(entry ->
                sendingsLeft.computeIfPresent(entry.key(), (key, count) -> count > FAN_OUT ? count - FAN_OUT : null));
    }

    private List<EvidenceEntry> newestEntries() {
        final List<EvidenceEntry> entries = new ArrayList<>();
        final List<EvidenceEntry.Key> keys = new ArrayList<>(sendingsLeft.keySet());
        keys.sort(Comparator.comparing(sendingsLeft::get, Comparator.reverseOrder()));
        int freeBytes = MAX_BYTES;
        for (final EvidenceEntry.Key key : keys) {
            final EvidenceEntry entry = evidence.entry(key);
            if (entry == null) {
                sendingsLeft.remove(key);
            } else if (EvidenceStore.bytes(entry) <= freeBytes) {
                freeBytes -= EvidenceStore.bytes(entry);
                entries.add(entry);
            }
        }
        return entries;
    }
}
