package driftchute.fleet.session;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import org.junit.jupiter.api.Test;

/** The figures of promotion: Wilson's bounds, and both error rates of the sequential test, computed exactly. */
class SessionClassifierTest {
    private static SessionState seen(final int calls, final int harms) {
        final SessionState state = new SessionState(0);
        state.join(0, 0, new Counters(0, calls, harms, 0, 0, 0, 0, 0, 1));
        return state;
    }

    /**
     * The probability that a session whose calls fail at this rate has been in this class within so many calls, or is
     * then.
     */
    private static double chance(final double rate, final SessionClass least, final int calls, final boolean ever) {
        double[] harms = {1};
        double reached = 0;
        for (int n = 1; n <= calls; n++) {
            final double[] next = new double[n + 1];
            for (int h = 0; h < harms.length; h++) {
                next[h] += harms[h] * (1 - rate);
                next[h + 1] += harms[h] * rate;
            }
            for (int h = 0; h <= n && (ever || n == calls); h++) {
                if (next[h] > 0 && SessionClassifier.classOf(seen(n, h), 0).compareTo(least) >= 0) {
                    reached += next[h];
                    next[h] = 0;
                }
            }
            harms = next;
        }
        return reached;
    }

    @Test
    void wilsonBoundsAreTheKnownOnes() {
        assertThat(WilsonInterval.upper(0, 50)).isCloseTo(2.70554 / 52.70554, within(1e-6));
        assertThat(WilsonInterval.lower(81, 263)).isCloseTo(0.26331, within(1e-4));
        assertThat(WilsonInterval.upper(81, 263)).isCloseTo(0.35656, within(1e-4));
        assertThat(WilsonInterval.lower(50, 50)).isCloseTo(50 / 52.70554, within(1e-6));
        assertThat(WilsonInterval.lower(0, 0)).isZero();
        assertThat(WilsonInterval.upper(0, 0)).isEqualTo(1);
    }

    @Test
    void bothErrorRatesAreAsStated() {
        final double healthy =
                chance(SessionClassifier.HEALTHY_FAILURE_RATE, SessionClass.ANY, SessionClassifier.ENOUGH_CALLS, false);
        final double any = chance(SessionClassifier.HARMFUL_FAILURE_RATE, SessionClass.ANY, 1000, true);
        final double run = chance(SessionClassifier.HARMFUL_FAILURE_RATE, SessionClass.RUN, 1000, true);
        System.out.printf("at 1%% any after 130 calls %.4f; at 10%% ever any %.4f, ever run %.4f%n", healthy, any, run);
        assertThat(healthy).isGreaterThanOrEqualTo(0.95);
        assertThat(any).isLessThanOrEqualTo(SessionClassifier.ANY_RISK);
        assertThat(run).isLessThanOrEqualTo(SessionClassifier.RUN_RISK);
        assertThat(SessionClassifier.classOf(seen(50, 0), 0)).isEqualTo(SessionClass.RUN);
        assertThat(SessionClassifier.classOf(seen(51, 0), 0)).isEqualTo(SessionClass.ANY);
    }
}
