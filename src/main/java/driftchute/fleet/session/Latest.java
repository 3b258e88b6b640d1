package driftchute.fleet.session;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.LongFunction;

/** A bounded map by number that evicts the least recently used value. */
final class Latest<V> {
    private final Map<Long, V> held = new LinkedHashMap<>();
    private final int most;
    private final BiConsumer<Long, V> gone;

    /**
     * Creates the map.
     *
     * @param gone called with each evicted value
     */
    Latest(final int most, final BiConsumer<Long, V> gone) {
        this.most = most;
        this.gone = gone;
    }

    Latest(final int most) {
        this(most, (key, value) -> {});
    }

    /** The value, created if absent, and marked as the most recently used. */
    V use(final long key, final LongFunction<V> fresh) {
        final V old = held.remove(key);
        final V value = old == null ? fresh.apply(key) : old;
        put(key, value);
        return value;
    }

    void put(final long key, final V value) {
        held.remove(key);
        held.put(key, value);
        if (held.size() > most) {
            final Iterator<Map.Entry<Long, V>> first = held.entrySet().iterator();
            final Map.Entry<Long, V> eldest = first.next();
            first.remove();
            gone.accept(eldest.getKey(), eldest.getValue());
        }
    }

    /** The value or null. Does not count as a use. */
    V get(final long key) {
        return held.get(key);
    }

    V remove(final long key) {
        return held.remove(key);
    }

    /** All values, the least recently used first. Supports removal. */
    Map<Long, V> all() {
        return held;
    }
}
