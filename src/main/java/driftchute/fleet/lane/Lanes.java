package driftchute.fleet.lane;

import driftchute.Courier;
import driftchute.fleet.FleetConfig;
import driftchute.fleet.FleetConfig.LaneConfig;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;

/**
 * The lanes of one configuration, resolved against the settings' tenants and classes; the first is shed last.
 * Immutable. Without configured lanes there is one for everything, without a share or a quota.
 */
public final class Lanes {
    /** Maximum number of lanes: messages take about a byte per lane, and a frame has 256 bytes. */
    public static final int MAX = 16;
    /** Shares are decimal fractions, whose sum of 1 may not be exact in binary. */
    private static final double ROUNDING = 1e-9;

    private final int version;
    private final int digest;
    private final List<LaneConfig> configs;
    /** Lane by tenant and class; index 0 stands for none, the others are shifted by one. */
    private final int[][] laneByTenantAndClass;

    private final long[] accounts;

    private Lanes(
            final int version,
            final int digest,
            final List<LaneConfig> blocks,
            final int[][] lane,
            final long[] accounts) {
        this.version = version;
        this.digest = digest;
        this.configs = blocks;
        this.laneByTenantAndClass = lane;
        this.accounts = accounts;
    }

    /**
     * Resolves a configuration.
     *
     * @throws IllegalArgumentException with one line: too many lanes, a duplicate name, two lanes that take the rest,
     * shares
     *     above 1 in total, a tenant or class that the settings do not have, or one that is claimed twice
     */
    public static Lanes of(final FleetConfig block, final Courier.Settings settings) {
        final List<LaneConfig> blocks =
                block.lanes().isEmpty() ? List.of(new LaneConfig("all", null, null, null, null, true)) : block.lanes();
        require(blocks.size() <= MAX, "at most " + MAX + " lanes, not " + blocks.size());
        final Set<String> names = new HashSet<>();
        int rest = -1;
        double shares = 0;
        for (int i = 0; i < blocks.size(); i++) {
            final LaneConfig each = blocks.get(i);
            require(names.add(each.name()), "two lanes are named '" + each.name() + "'");
            require(!each.rest() || rest < 0, "lane '" + each.name() + "': another lane takes the rest already");
            rest = each.rest() ? i : rest;
            shares += each.share();
        }
        require(shares <= 1 + ROUNDING, "the lanes' shares are 1 in all at most, not " + shares);
        final List<String> tenants =
                settings.tenants().stream().map(Courier.Tenant::name).toList();
        final List<String> classes =
                settings.classes().stream().map(Courier.MessageClass::name).toList();
        final Map<String, Integer> byTenant = claims("tenant", blocks, LaneConfig::tenants, tenants, true);
        final boolean tenantsDecide = !tenants.isEmpty() && byTenant.keySet().containsAll(tenants);
        final Map<String, Integer> byClass = claims("class", blocks, LaneConfig::classes, classes, !tenantsDecide);
        final int[][] lane = new int[tenants.size() + 1][classes.size() + 1];
        for (int t = 0; t <= tenants.size(); t++) {
            for (int c = 0; c <= classes.size(); c++) {
                final int unnamed = rest < 0 ? blocks.size() - 1 : rest;
                final int other = c == 0 ? unnamed : byClass.getOrDefault(classes.get(c - 1), unnamed);
                lane[t][c] = t == 0 ? other : byTenant.getOrDefault(tenants.get(t - 1), other);
            }
        }
        return new Lanes(
                block.version(),
                digest(block.version(), blocks),
                blocks,
                lane,
                tenants.stream().mapToLong(AccountHash::hash).toArray());
    }

    private static Map<String, Integer> claims(
            final String what,
            final List<LaneConfig> blocks,
            final Function<LaneConfig, List<String>> claimed,
            final List<String> known,
            final boolean once) {
        final Map<String, Integer> claims = new HashMap<>();
        for (int i = 0; i < blocks.size(); i++) {
            for (final String name : claimed.apply(blocks.get(i))) {
                final String lane = "lane '" + blocks.get(i).name() + "': ";
                require(known.contains(name), lane + "no " + what + " '" + name + "' in the settings");
                final Integer earlier = claims.putIfAbsent(name, i);
                require(
                        earlier == null || !once,
                        lane + what + " '" + name + "' is claimed already, by lane '"
                                + (earlier == null ? "" : blocks.get(earlier).name()) + "'");
            }
        }
        return claims;
    }

    private static int digest(final int version, final List<LaneConfig> blocks) {
        final StringBuilder text = new StringBuilder().append(version);
        for (final LaneConfig each : blocks) {
            text.append('\n')
                    .append(each.name())
                    .append('\t')
                    .append(each.share())
                    .append('\t')
                    .append(each.quota())
                    .append('\t')
                    .append(each.rest());
            each.tenants().stream().sorted().forEach(name -> text.append("\tt").append(name));
            each.classes().stream().sorted().forEach(name -> text.append("\tc").append(name));
        }
        return (int) AccountHash.hash(text.toString());
    }

    /**
     * The stricter of two configurations, in the lanes of the one in force: for lanes of the same name the lower share
     * and the lower quota, and for each message the later of its two lanes. A lane whose name the one in force does not
     * have is matched by its position from the last.
     *
     * @throws IllegalArgumentException if the two were made for different settings
     */
    static Lanes stricter(final Lanes inForce, final Lanes pending) {
        require(
                inForce.laneByTenantAndClass.length == pending.laneByTenantAndClass.length
                        && inForce.laneByTenantAndClass[0].length == pending.laneByTenantAndClass[0].length,
                "blocks for different settings");
        final int last = inForce.count() - 1;
        final int[] named = new int[pending.count()];
        for (int i = 0; i < named.length; i++) {
            final int same = inForce.indexOf(pending.name(i));
            named[i] = same >= 0 ? same : Math.max(0, last - (pending.count() - 1 - i));
        }
        final int[][] lane = new int[inForce.laneByTenantAndClass.length][inForce.laneByTenantAndClass[0].length];
        for (int t = 0; t < lane.length; t++) {
            for (int c = 0; c < lane[t].length; c++) {
                lane[t][c] = Math.max(inForce.laneByTenantAndClass[t][c], named[pending.laneByTenantAndClass[t][c]]);
            }
        }
        final List<LaneConfig> blocks = inForce.configs.stream()
                .map(old -> {
                    final int same = pending.indexOf(old.name());
                    return same < 0
                            ? old
                            : new LaneConfig(
                                    old.name(),
                                    old.tenants(),
                                    old.classes(),
                                    Math.min(old.share(), pending.share(same)),
                                    lowerQuota(old.quota(), pending.quota(same)),
                                    old.rest());
                })
                .toList();
        return new Lanes(inForce.version, inForce.digest, blocks, lane, inForce.accounts);
    }

    /** 0 means no bound. */
    private static double lowerQuota(final double one, final double other) {
        return one == 0 ? other : other == 0 ? one : Math.min(one, other);
    }

    private int indexOf(final String name) {
        for (int i = 0; i < configs.size(); i++) {
            if (name(i).equals(name)) {
                return i;
            }
        }
        return -1;
    }

    /** Number of lanes, at least one. */
    public int count() {
        return configs.size();
    }

    /** The lane's name. */
    public String name(final int index) {
        return configs.get(index).name();
    }

    /** The lane's guaranteed share of each destination's limit, 0 to 1. */
    public double share(final int index) {
        return configs.get(index).share();
    }

    /** The guaranteed shares of all lanes. */
    double[] shares() {
        return configs.stream().mapToDouble(LaneConfig::share).toArray();
    }

    /** Messages per second, over the fleet, that an account may send in the lane; 0 means no bound. */
    public double quota(final int index) {
        return configs.get(index).quota();
    }

    /** Version of the configuration. */
    public int version() {
        return version;
    }

    /** Identifies version and content. A stricter merge has the digest of the configuration in force. */
    public int digest() {
        return digest;
    }

    /** The lane of a message, by the settings' indexes of its class and tenant (-1 and unknown ones: none). */
    public int laneOf(final int messageClass, final int tenant) {
        final int row = tenant < 0 || tenant >= laneByTenantAndClass.length - 1 ? 0 : tenant + 1;
        final int column =
                messageClass < 0 || messageClass >= laneByTenantAndClass[row].length - 1 ? 0 : messageClass + 1;
        return laneByTenantAndClass[row][column];
    }

    /** The account of a message: its tenant (index) if it has one, otherwise the named client. */
    public long account(final int tenant, final String client) {
        return tenant >= 0 && tenant < accounts.length ? accounts[tenant] : AccountHash.hash(client);
    }

    private static void require(final boolean kept, final String problem) {
        if (!kept) {
            throw new IllegalArgumentException("fleet: " + problem);
        }
    }
}
