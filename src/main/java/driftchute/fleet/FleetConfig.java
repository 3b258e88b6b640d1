package driftchute.fleet;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;

/**
 * The {@code fleet} block of the configuration. Missing values take their defaults. Unknown names are an error, because
 * a misspelt one would silently leave the default.
 *
 * @param epoch identifies the numbering of {@code peers}; couriers with another epoch are ignored. 0 to 2^31 - 1
 * @param version version of this block, for settings that couriers with different blocks must agree on (lanes). 0 or
 * more
 * @param probeMs period of membership probes, ms (default 1,000; 100 to 60,000)
 * @param leaseMs duration of a role lease without renewal, ms (default 3,000; 300 to 60,000)
 * @param rationMs duration of a rate lease, ms (default 1,500; 200 to 60,000)
 * @param reserve share of each limit that is never leased but divided evenly, above 0 and at most 1 (default 0.2)
 * @param driftPpm maximum drift between two monotonic clocks, parts per million (default 1,000; 0 to 100,000)
 * @param staleMs age at which a verdict expires, ms (default 10,000; 1,000 to 600,000)
 * @param lanes priority lanes, the first one shed last (default none)
 */
public record FleetConfig(
        @JsonProperty("epoch") Integer epoch,
        @JsonProperty("version") Integer version,
        @JsonProperty("probe_ms") Integer probeMs,
        @JsonProperty("lease_ms") Integer leaseMs,
        @JsonProperty("ration_ms") Integer rationMs,
        @JsonProperty("reserve") Double reserve,
        @JsonProperty("drift_ppm") Integer driftPpm,
        @JsonProperty("stale_ms") Integer staleMs,
        @JsonProperty("lanes") List<LaneConfig> lanes) {
    private static final int MAX_MS = 60_000;

    /**
     * One priority lane.
     *
     * @param name its name, not empty
     * @param tenants names of its tenants (default none)
     * @param classes names of its message classes (default none)
     * @param share guaranteed share of each destination's limit, 0 to 1 (default 0)
     * @param quota messages per second that an account may send in it; 0 (the default) means no bound
     * @param rest whether it gets all accounts that no lane names; without such a lane the last one does
     */
    public record LaneConfig(
            @JsonProperty("name") String name,
            @JsonProperty("tenants") List<String> tenants,
            @JsonProperty("classes") List<String> classes,
            @JsonProperty("share") Double share,
            @JsonProperty("quota") Double quota,
            @JsonProperty("rest") Boolean rest) {
        /**
         * Applies defaults and checks the values.
         *
         * @throws IllegalArgumentException for a value out of bounds
         */
        public LaneConfig {
            require(name != null && !name.isBlank(), "a lane has no name");
            tenants = tenants == null ? List.of() : List.copyOf(tenants);
            classes = classes == null ? List.of() : List.copyOf(classes);
            share = share == null ? 0 : share;
            quota = quota == null ? 0 : quota;
            rest = rest != null && rest;
            require(share >= 0 && share <= 1, "lane '" + name + "': 'share' is 0 to 1, not " + share);
            require(
                    quota >= 0 && quota < Double.POSITIVE_INFINITY,
                    "lane '" + name + "': 'quota' is 0 or more, not " + quota);
        }
    }

    /**
     * Applies defaults and checks the values.
     *
     * @throws IllegalArgumentException for a value out of bounds, in one line that names it
     */
    public FleetConfig {
        epoch = bounded("epoch", epoch, 0, 0, Integer.MAX_VALUE);
        version = bounded("version", version, 0, 0, Integer.MAX_VALUE);
        probeMs = bounded("probe_ms", probeMs, 1000, 100, MAX_MS);
        leaseMs = bounded("lease_ms", leaseMs, 3000, 300, MAX_MS);
        rationMs = bounded("ration_ms", rationMs, 1500, 200, MAX_MS);
        driftPpm = bounded("drift_ppm", driftPpm, 1000, 0, 100_000);
        staleMs = bounded("stale_ms", staleMs, 10_000, 1000, 10 * MAX_MS);
        reserve = reserve == null ? 0.2 : reserve;
        require(reserve > 0 && reserve <= 1, "'reserve' is above 0 and at most 1, not " + reserve);
        lanes = lanes == null ? List.of() : List.copyOf(lanes);
    }

    private static Integer bounded(
            final String name, final Integer value, final int defaultValue, final int min, final int max) {
        final int number = value == null ? defaultValue : value;
        require(number >= min && number <= max, "'" + name + "' is " + min + " to " + max + ", not " + number);
        return number;
    }

    private static void require(final boolean condition, final String problem) {
        if (!condition) {
            throw new IllegalArgumentException("fleet: " + problem);
        }
    }
}
