package driftchute.fleet.verdict;

import driftchute.Courier.TierHealth;
import java.util.List;

/**
 * The assessment of a destination at one time. Times are wall-clock ms.
 *
 * @param sinceMs since when it holds
 * @param closedUntilMs until when the destination announced to be closed; 0 if it did not
 * @param expiresMs when it expires without further news
 * @param reporters the couriers that it is based on
 * @param failedCalls number of failed calls of these couriers
 * @param episode the recovery before the outage; 0 if none is known
 */
record Assessment(
        TierHealth health,
        long sinceMs,
        long closedUntilMs,
        long expiresMs,
        List<Integer> reporters,
        int failedCalls,
        long episode) {
    /** There is no evidence against the destination. */
    static final Assessment HEALTHY = new Assessment(TierHealth.HEALTHY, 0, 0, 0, List.of(), 0, 0);
}
