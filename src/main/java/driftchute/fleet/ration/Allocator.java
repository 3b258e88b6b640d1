package driftchute.fleet.ration;

import driftchute.fleet.FleetConfig;
import driftchute.fleet.ration.MaxMin.Claim;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeMap;
import java.util.function.BiConsumer;

/**
 * Divides each limit among the couriers that demand a share of it, while its courier holds the role. The granted shares
 * that may still be in use never exceed the part that may be leased (docs/fleet-rations.md, Bounds). Times are
 * monotonic us.
 */
class Allocator {
    /** Maximum number of destinations of one courier. No courier can displace another's. */
    static final int MAX_DESTINATIONS = 1024;
    /** Part of the unclaimed capacity that goes to those who ask. The rest is available at once for newcomers. */
    private static final double SPARE = 0.5;
    /** A share below this part of its target is raised when other shares have expired. */
    private static final double SHORT = 0.9;
    /** A further grant must exceed the previous one by this factor and this share to be worth sending. */
    private static final double WORTH = 1.1;

    private static final int GAIN = Shares.WHOLE / 200;
    /** Interval at which shares below their target are examined again, us. */
    private static final long AGAIN_US = 25_000;

    private static final double MILLION = 1_000_000;

    /** A granted share that may be in use until then. */
    private record Out(int share, long untilUs) {}

    /** The last demand of one courier for one destination, and the shares it may still be using. */
    private static final class Line {
        private long seq;
        private long heardUs;
        private double limit;
        private double demand;
        private int granted;
        private boolean owed;
        /**
         * From first to last, shares decrease and expiry times increase: a share below a later, greater one is
         * irrelevant.
         */
        private final Deque<Out> outs = new ArrayDeque<>();

        int out(final long nowUs) {
            while (!outs.isEmpty() && outs.peek().untilUs() <= nowUs) {
                outs.remove();
            }
            return outs.isEmpty() ? 0 : outs.peek().share();
        }

        void grant(final int share, final long untilUs) {
            granted = share;
            while (!outs.isEmpty() && outs.peekLast().share() <= share) {
                outs.removeLast();
            }
            outs.add(new Out(share, untilUs));
        }
    }

    /** One courier: its demands by destination, and the settings it reported. */
    private static final class Client {
        private final Map<Long, Line> lines = new HashMap<>();
        private int reserve;
        private long rationUs;
    }

    private final int couriers;
    private final int rationMs;
    private final double driftPart;
    private final Client own = new Client();
    private final Map<Integer, Client> clients = new TreeMap<>();
    /** The last limit of each destination, for when the couriers that reported it are gone. */
    private final Map<Long, Double> limits = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(final Map.Entry<Long, Double> eldest) {
            return size() > MAX_DESTINATIONS;
        }
    };

    private OptionalLong token = OptionalLong.empty();
    private long termFromUs;
    private long lookUs = Long.MIN_VALUE;

    Allocator(final int couriers, final FleetConfig block) {
        this.couriers = couriers;
        this.rationMs = block.rationMs();
        this.driftPart = block.driftPpm() / MILLION;
        own.reserve = Shares.atLeast(block.reserve());
        own.rationUs = block.rationMs() * 1000L;
    }

    /** Updates whether its courier holds the role, and under which token. @return true if a term began or ended */
    boolean term(final long nowUs, final OptionalLong held) {
        final boolean changed = !token.equals(held);
        if (changed) {
            token = held;
            termFromUs = nowUs;
        }
        return changed;
    }

    /** When it begins to grant: the previous holder's grants have expired by then. */
    long readyUs() {
        return termFromUs + withDrift(longestUs());
    }

    private long withDrift(final long us) {
        return (long) Math.ceil(us * (1 + driftPart));
    }

    private long longestUs() {
        return Math.max(
                own.rationUs,
                clients.values().stream()
                        .mapToLong(client -> client.rationUs)
                        .max()
                        .orElse(0));
    }

    /** The greatest reserve that any courier uses. It cannot be leased. */
    private int reserve() {
        return Math.max(
                own.reserve,
                clients.values().stream()
                        .mapToInt(client -> client.reserve)
                        .max()
                        .orElse(0));
    }

    /** Handles a lease request; answers through {@code reply} as far as something may be granted now. */
    void want(final long nowUs, final int from, final Want want, final BiConsumer<Integer, Grant> reply) {
        final Client client = clients.computeIfAbsent(from, unused -> new Client());
        client.reserve = want.reserve();
        client.rationUs = want.rationMs() * 1000L;
        final List<Long> fresh = new ArrayList<>();
        for (final Want.Ask ask : want.asks()) {
            if (client.lines.size() >= MAX_DESTINATIONS && !client.lines.containsKey(ask.destination())) {
                continue;
            }
            final Line line = client.lines.computeIfAbsent(ask.destination(), unused -> new Line());
            if (line.heardUs > nowUs - 2 * own.rationUs && want.seq() <= line.seq) {
                continue;
            }
            line.seq = want.seq();
            line.heardUs = nowUs;
            line.limit = ask.limit();
            line.demand = ask.demand();
            line.granted = 0;
            line.owed = true;
            fresh.add(ask.destination());
        }
        if (ready(nowUs)) {
            answer(nowUs, from, want.seq(), fresh, reply);
        }
    }

    private boolean ready(final long nowUs) {
        return token.isPresent() && nowUs >= readyUs();
    }

    /** Grants more on existing requests if shares of other couriers that prevented it have expired. */
    void again(final long nowUs, final BiConsumer<Integer, Grant> reply) {
        if (!ready(nowUs) || nowUs < lookUs) {
            return;
        }
        lookUs = nowUs + AGAIN_US;
        clients.forEach((courier, client) -> {
            client.lines.values().removeIf(line -> line.heardUs <= nowUs - 2 * longestUs() && line.out(nowUs) == 0);
            final Map<Long, List<Long>> bySeq = new TreeMap<>();
            client.lines.forEach((destination, line) -> {
                line.owed &= line.heardUs > nowUs - own.rationUs / 2;
                if (line.owed && share(nowUs, client, destination) > WORTH * line.granted + GAIN) {
                    bySeq.computeIfAbsent(line.seq, unused -> new ArrayList<>()).add(destination);
                }
            });
            bySeq.forEach((seq, destinations) -> answer(nowUs, courier, seq, destinations, reply));
        });
    }

    private void answer(
            final long nowUs,
            final int courier,
            final long seq,
            final List<Long> destinations,
            final BiConsumer<Integer, Grant> reply) {
        final Client client = clients.get(courier);
        final List<Grant.Portion> portions = new ArrayList<>();
        for (final long destination : destinations) {
            final int share = share(nowUs, client, destination);
            if (share > 0) {
                final Line line = client.lines.get(destination);
                // The courier stops using the share one lease time after it sent this request, so it counts from the
                // request's arrival.
                line.grant(share, line.heardUs + withDrift(own.rationUs));
                portions.add(new Grant.Portion(destination, share, (float) limit(nowUs, destination)));
            }
        }
        if (!portions.isEmpty()) {
            reply.accept(courier, new Grant(seq, token.getAsLong(), rationMs, portions));
        }
    }

    /** The share that this courier may have now: its fair share, as far as the others' shares permit. */
    private int share(final long nowUs, final Client client, final long destination) {
        final Line line = client.lines.get(destination);
        final double limit = limit(nowUs, destination);
        final int reserve = reserve();
        final int leasable = Shares.WHOLE - reserve;
        final List<Claim> claims = new ArrayList<>();
        int free = leasable;
        int place = -1;
        for (final Client other : clients.values()) {
            final Line theirs = other.lines.get(destination);
            if (theirs != null) {
                free -= other == client ? 0 : theirs.out(nowUs);
                if (theirs.heardUs > nowUs - own.rationUs) {
                    place = other == client ? claims.size() : place;
                    claims.add(claim(theirs.demand, limit, reserve));
                }
            }
        }
        if (limit <= 0 || place < 0 || claims.get(place).demand() <= 0) {
            line.owed = false;
            return 0;
        }
        final double[] fair = MaxMin.share(leasable, claims);
        double spare = leasable;
        int askers = 0;
        for (int i = 0; i < fair.length; i++) {
            spare -= fair[i];
            askers += claims.get(i).demand() > 0 ? 1 : 0;
        }
        final int target = (int) (fair[place] + Math.max(0, SPARE * spare / askers));
        final int share = Math.max(0, Math.min(target, free));
        line.owed = share < SHORT * target;
        return share;
    }

    /** The demand above the reserved part, as a share of the limit. */
    private Claim claim(final double demand, final double limit, final int reserve) {
        final double part = limit <= 0 ? 0 : demand / limit * Shares.WHOLE - (double) reserve / couriers;
        return new Claim(Math.max(0, part), 0, 1);
    }

    /** The lowest limit reported recently, otherwise the last one; 0 if none is known. */
    private double limit(final long nowUs, final long destination) {
        double lowest = Double.POSITIVE_INFINITY;
        for (final Client client : clients.values()) {
            final Line line = client.lines.get(destination);
            if (line != null && line.limit > 0 && line.heardUs > nowUs - 2 * own.rationUs) {
                lowest = Math.min(lowest, line.limit);
            }
        }
        if (Double.isInfinite(lowest)) {
            return limits.getOrDefault(destination, 0.0);
        }
        limits.put(destination, lowest);
        return lowest;
    }

    /** When it should examine again: soon while a courier has less than its share, else never. */
    long nextUs(final long nowUs) {
        if (token.isEmpty()
                || clients.values().stream()
                        .noneMatch(client -> client.lines.values().stream().anyMatch(line -> line.owed))) {
            return Long.MAX_VALUE;
        }
        return Math.max(nowUs + AGAIN_US, readyUs());
    }
}
