package driftchute.fleet.verdict;

import driftchute.fleet.Message;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** All evidence about destinations in trouble: bounded, expired by age, with a digest of the whole. */
final class EvidenceStore {
    /** Maximum number of destinations; a courier serves some tens. Further ones are judged by own calls only. */
    static final int MAX_DESTINATIONS = 256;
    /** Size of the type and length before a message's body, bytes. */
    private static final int PREFIX_BYTES = 2;

    private final VerdictTiming terms;
    private final Map<Long, DestinationEvidence> byDestination = new TreeMap<>();
    private int digest;
    private int cursor;

    EvidenceStore(final VerdictTiming terms) {
        this.terms = terms;
    }

    /** Size of a message in a datagram, bytes. */
    static int bytes(final Message message) {
        return PREFIX_BYTES + message.size();
    }

    /** Adds an entry. True if it is news; false if it is known or superseded, or if there is no space for it. */
    boolean add(final EvidenceEntry entry) {
        final DestinationEvidence before = byDestination.get(entry.destination());
        if (before == null && byDestination.size() >= MAX_DESTINATIONS) {
            return false;
        }
        final DestinationEvidence after =
                (before == null ? new DestinationEvidence(entry.destination()) : before).with(entry);
        if (after.equals(before)) {
            return false;
        }
        byDestination.put(entry.destination(), after);
        digest += checksum(after) - (before == null ? 0 : checksum(before));
        return true;
    }

    /** Drops expired entries. */
    void expire(final long nowMs) {
        for (final Iterator<Map.Entry<Long, DestinationEvidence>> each =
                        byDestination.entrySet().iterator();
                each.hasNext(); ) {
            final Map.Entry<Long, DestinationEvidence> entry = each.next();
            final DestinationEvidence before = entry.getValue();
            if (before.entries().allMatch(one -> one.isTimely(nowMs, terms))) {
                continue;
            }
            final DestinationEvidence after = before.timely(nowMs, terms);
            digest += checksum(after) - checksum(before);
            if (after.entries().findAny().isEmpty()) {
                each.remove();
            } else {
                entry.setValue(after);
            }
        }
    }

    private static int checksum(final DestinationEvidence outage) {
        return outage.entries().mapToInt(EvidenceEntry::checksum).sum();
    }

    /** Destinations with evidence. */
    Map<Long, DestinationEvidence> byDestination() {
        return byDestination;
    }

    /** The evidence on a destination; may be empty. */
    DestinationEvidence of(final long destination) {
        final DestinationEvidence outage = byDestination.get(destination);
        return outage == null ? new DestinationEvidence(destination) : outage;
    }

    /** The entry of a key, or null. */
    EvidenceEntry entry(final EvidenceEntry.Key key) {
        return of(key.destination())
                .entries()
                .filter(entry -> entry.slot() == key.slot())
                .findAny()
                .orElse(null);
    }

    /** Digest of the content: equal for equal contents, 0 if empty. */
    int digest() {
        return digest;
    }

    /** The next entries that fit into so many bytes, cycling through all. */
    List<EvidenceEntry> window(final int maxBytes) {
        final List<EvidenceEntry> all = byDestination.values().stream()
                .flatMap(DestinationEvidence::entries)
                .toList();
        final List<EvidenceEntry> window = new ArrayList<>();
        int freeBytes = maxBytes;
        while (window.size() < all.size()) {
            final EvidenceEntry next = all.get(Math.floorMod(cursor, all.size()));
            if (bytes(next) > freeBytes) {
                break;
            }
            freeBytes -= bytes(next);
            window.add(next);
            cursor = (cursor + 1) % all.size();
        }
        return window;
    }
}
