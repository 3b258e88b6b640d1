package driftchute.fleet.session;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.LongFunction;

/** A bounded map by number that evicts the least recently used value. */
final class LruMap<V> {
    private final Map<Long, V> values = new LinkedHashMap<>();
    private final int maxSize;
    private final BiConsumer<Long, V> onEvicted;

    /**
     * Creates the map.
     *
     * @param onEvicted called with each evicted value
     */
    LruMap(final int maxSize, final BiConsumer<Long, V> onEvicted) {
        this.maxSize = maxSize;
        this.onEvicted = onEvicted;
    }

    LruMap(final int maxSize) {
        this(maxSize, (key, value) -> {});
    }

    /** The value, created if absent, and marked as the most recently used. */
    V use(final long key, final LongFunction<V> fresh) {
        final V old = values.remove(key);
        final V value = old == null ? fresh.apply(key) : old;
        put(key, value);
        return value;
    }

    void put(final long key, final V value) {
        values.remove(key);
        values.put(key, value);
        if (values.size() > maxSize) {
            final Iterator<Map.Entry<Long, V>> first = values.entrySet().iterator();
            final Map.Entry<Long, V> eldest = first.next();
            first.remove();
            onEvicted.accept(eldest.getKey(), eldest.getValue());
        }
    }

    /** The value or null. Does not count as a use. */
    V get(final long key) {
        return values.get(key);
    }

    V remove(final long key) {
        return values.remove(key);
    }

    /** All values, the least recently used first. Supports removal. */
    Map<Long, V> entries() {
        return values;
    }
}
