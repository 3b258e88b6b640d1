package driftchute.fleet.lane;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/** The offered load reported by all couriers, by destination. Each report is valid for one lease time. */
final class DemandTable {
    /** Maximum number of destinations, more than are active at once in any planned fleet. */
    static final int MAX_DESTINATIONS = 1024;

    /** One courier's report; {@code perSecond} is null if it uses another configuration. */
    private record Word(double[] perSecond, long untilUs) {}

    /**
     * The couriers that reported on a destination, their demand by lane, and the part of them that uses this
     * configuration.
     */
    record Sum(Set<Integer> couriers, double[] perSecond, double ofThisBlock) {}

    private final int lanes;
    private final Map<Long, Map<Integer, Word>> words = new TreeMap<>();

    DemandTable(final int lanes) {
        this.lanes = lanes;
    }

    /** Stores a courier's offered load; null if it uses another configuration. Returns false if there is no space. */
    boolean put(final long destination, final int courier, final double[] perSecond, final long untilUs) {
        if (!words.containsKey(destination) && words.size() >= MAX_DESTINATIONS) {
            return false;
        }
        words.computeIfAbsent(destination, unused -> new HashMap<>()).put(courier, new Word(perSecond, untilUs));
        return true;
    }

    /** Removes expired reports. */
    void expire(final long nowUs) {
        words.values().forEach(byCourier -> byCourier.values().removeIf(word -> nowUs >= word.untilUs));
        words.values().removeIf(Map::isEmpty);
    }

    /** The destinations in use. */
    Set<Long> destinations() {
        return Set.copyOf(words.keySet());
    }

    /** The total demand for a destination, over a fleet of so many couriers. */
    Sum sum(final long destination, final int couriers) {
        final double[] perSecond = new double[lanes];
        int others = 0;
        for (final Word word : words.get(destination).values()) {
            if (word.perSecond == null) {
                others++;
                continue;
            }
            for (int i = 0; i < lanes; i++) {
                perSecond[i] += word.perSecond[i];
            }
        }
        return new Sum(new TreeSet<>(words.get(destination).keySet()), perSecond, 1 - (double) others / couriers);
    }
}
