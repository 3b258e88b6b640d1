package driftchute.fleet.verdict;

import driftchute.fleet.Message;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** All evidence about destinations in trouble: bounded, expired by age, with a digest of the whole. */
final class Evidence {
    /** Maximum number of destinations; a courier serves some tens. Further ones are judged by own calls only. */
    static final int MAX_DESTINATIONS = 256;
    /** Size of the type and length before a message's body, bytes. */
    private static final int PREFIX = 2;

    private final Terms terms;
    private final Map<Long, Outage> outages = new TreeMap<>();
    private int digest;
    private int cursor;

    Evidence(final Terms terms) {
        this.terms = terms;
    }

    /** Size of a message in a datagram, bytes. */
    static int bytes(final Message message) {
        return PREFIX + message.size();
    }

    /** Adds an entry. True if it is news; false if it is known or superseded, or if there is no space for it. */
    boolean take(final Entry entry) {
        final Outage before = outages.get(entry.destination());
        if (before == null && outages.size() >= MAX_DESTINATIONS) {
            return false;
        }
        final Outage after = (before == null ? new Outage(entry.destination()) : before).with(entry);
        if (after.equals(before)) {
            return false;
        }
        outages.put(entry.destination(), after);
        digest += sum(after) - (before == null ? 0 : sum(before));
        return true;
    }

    /** Drops expired entries. */
    void forget(final long nowMs) {
        for (final Iterator<Map.Entry<Long, Outage>> each = outages.entrySet().iterator(); each.hasNext(); ) {
            final Map.Entry<Long, Outage> entry = each.next();
            final Outage before = entry.getValue();
            if (before.entries().allMatch(one -> one.isTimely(nowMs, terms))) {
                continue;
            }
            final Outage after = before.timely(nowMs, terms);
            digest += sum(after) - sum(before);
            if (after.entries().findAny().isEmpty()) {
                each.remove();
            } else {
                entry.setValue(after);
            }
        }
    }

    private static int sum(final Outage outage) {
        return outage.entries().mapToInt(Entry::checksum).sum();
    }

    /** Destinations with evidence. */
    Map<Long, Outage> outages() {
        return outages;
    }

    /** The evidence on a destination; may be empty. */
    Outage of(final long destination) {
        final Outage outage = outages.get(destination);
        return outage == null ? new Outage(destination) : outage;
    }

    /** The entry of a key, or null. */
    Entry at(final Entry.Key key) {
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
    List<Entry> window(final int room) {
        final List<Entry> all =
                outages.values().stream().flatMap(Outage::entries).toList();
        final List<Entry> window = new ArrayList<>();
        int left = room;
        while (window.size() < all.size()) {
            final Entry next = all.get(Math.floorMod(cursor, all.size()));
            if (bytes(next) > left) {
                break;
            }
            left -= bytes(next);
            window.add(next);
            cursor = (cursor + 1) % all.size();
        }
        return window;
    }
}
