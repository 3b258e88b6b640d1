package driftchute.fleet.lane;

import java.util.Comparator;
import java.util.List;

/** The order of preference among held messages, and which of them are dropped for a new one. */
public final class HeldMessages {
    /** By lane, then by due time, then by acceptance. The first is shed last. */
    public static final Comparator<HeldMessage> ORDER = Comparator.comparingInt(HeldMessage::lane)
            .thenComparingLong(HeldMessage::dueUs)
            .thenComparingLong(HeldMessage::acceptedUs);

    private static final double US_PER_S = 1e6;

    /**
     * An accepted message.
     *
     * @param dueUs when it must be delivered to be in time
     * @param droppable it may end undelivered without violating the rule on duplicates
     */
    public record HeldMessage(String id, int lane, long dueUs, long acceptedUs, boolean droppable) {}

    private HeldMessages() {}

    /**
     * The messages to drop so that a new message of an earlier lane is in time. None if it is in time anyway, or would
     * be late in any case. Never more than necessary, the last in {@link #ORDER} first.
     *
     * @param ahead the messages that go before it
     * @param perSecond messages per second that are sent
     */
    public static List<HeldMessage> toDropFor(
            final long nowUs, final List<HeldMessage> ahead, final HeldMessage newcomer, final double perSecond) {
        final double inTime = Math.floor(perSecond * (newcomer.dueUs() - nowUs) / US_PER_S);
        final double tooMany = ahead.size() + 1 - inTime;
        if (tooMany <= 0) {
            return List.of();
        }
        final List<HeldMessage> candidates = ahead.stream()
                .filter(held -> held.droppable() && held.lane() > newcomer.lane())
                .sorted(ORDER.reversed())
                .toList();
        return tooMany > candidates.size() ? List.of() : candidates.subList(0, (int) tooMany);
    }
}
