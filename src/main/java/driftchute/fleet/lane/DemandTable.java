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
    private record DemandReport(double[] perSecond, long untilUs) {}

    /**
     * The couriers that reported on a destination, their demand by lane, and the part of them that uses this
     * configuration.
     */
    record TotalDemand(Set<Integer> couriers, double[] perSecond, double sameConfigShare) {}

    private final int lanes;
    private final Map<Long, Map<Integer, DemandReport>> reports = new TreeMap<>();

    DemandTable(final int lanes) {
        this.lanes = lanes;
    }

    /** Stores a courier's offered load; null if it uses another configuration. Returns false if there is no space. */
    boolean put(final long destination, final int courier, final double[] perSecond, final long untilUs) {
        if (!reports.containsKey(destination) && reports.size() >= MAX_DESTINATIONS) {
            return false;
        }
        reports.computeIfAbsent(destination, unused -> new HashMap<>())
                .put(courier, new DemandReport(perSecond, untilUs));
        return true;
    }

    /** Removes expired reports. */
    void expire(final long nowUs) {
        reports.values().forEach(byCourier -> byCourier.values().removeIf(word -> nowUs >= word.untilUs));
        reports.values().removeIf(Map::isEmpty);
    }

    /** The destinations in use. */
    Set<Long> destinations() {
        return Set.copyOf(reports.keySet());
    }

    /** The total demand for a destination, over a fleet of so many couriers. */
    TotalDemand sum(final long destination, final int couriers) {
        final double[] perSecond = new double[lanes];
        int others = 0;
        for (final DemandReport word : reports.get(destination).values()) {
            if (word.perSecond == null) {
                others++;
                continue;
            }
            for (int i = 0; i < lanes; i++) {
                perSecond[i] += word.perSecond[i];
            }
        }
        return new TotalDemand(
                new TreeSet<>(reports.get(destination).keySet()), perSecond, 1 - (double) others / couriers);
    }
}
