package driftchute.fleet.lane;

import java.util.Comparator;
import java.util.List;

/** The order of preference among held messages, and which of them are dropped for a new one. */
public final class Held {
    /** By lane, then by due time, then by acceptance. The first is shed last. */
    public static final Comparator<Waiting> ORDER = Comparator.comparingInt(Waiting::lane)
            .thenComparingLong(Waiting::dueUs)
            .thenComparingLong(Waiting::takenUs);

    private static final double US_PER_S = 1e6;

    /**
     * An accepted message.
     *
     * @param dueUs when it must be delivered to be in time
     * @param harmless it may end undelivered without violating the rule on duplicates
     */
    public record Waiting(String id, int lane, long dueUs, long takenUs, boolean harmless) {}

    private Held() {}

    /**
     * The messages to drop so that a new message of an earlier lane is in time. None if it is in time anyway, or would
     * be late in any case. Never more than necessary, the last in {@link #ORDER} first.
     *
     * @param ahead the messages that go before it
     * @param perSecond messages per second that are sent
     */
    public static List<Waiting> giveWay(
            final long nowUs, final List<Waiting> ahead, final Waiting newcomer, final double perSecond) {
        final double inTime = Math.floor(perSecond * (newcomer.dueUs() - nowUs) / US_PER_S);
        final double tooMany = ahead.size() + 1 - inTime;
        if (tooMany <= 0) {
            return List.of();
        }
        final List<Waiting> candidates = ahead.stream()
                .filter(held -> held.harmless() && held.lane() > newcomer.lane())
                .sorted(ORDER.reversed())
                .toList();
        return tooMany > candidates.size() ? List.of() : candidates.subList(0, (int) tooMany);
    }
}
