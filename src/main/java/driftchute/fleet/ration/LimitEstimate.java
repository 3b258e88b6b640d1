package driftchute.fleet.ration;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Estimate of a limit from one courier's answers: the median of a window, because a single report may be off by an
 * eighth. A report far below the median is a real decrease and counts at once.
 */
final class LimitEstimate {
    /** A report below this part of the median is a lowered limit. Two reports that are each 13% off differ by less. */
    private static final double LOWERED_SHARE = 0.75;
    /** Maximum number of reports: twice the usual lease time's at one per 100 ms. */
    private static final int MAX_SAMPLES = 32;

    private record Sample(long atUs, double limit) {}

    private final Deque<Sample> samples = new ArrayDeque<>();
    private final long windowUs;
    private double limit;

    LimitEstimate(final long windowUs) {
        this.windowUs = windowUs;
    }

    /** Adds a reported limit, calls per second; 0 if there was none. Reports older than the window are dropped. */
    void add(final long nowUs, final double told) {
        samples.removeIf(sample -> sample.atUs() <= nowUs - windowUs);
        if (told > 0) {
            samples.add(new Sample(nowUs, told));
        }
        if (samples.size() > MAX_SAMPLES) {
            samples.remove();
        }
        final double[] sorted =
                samples.stream().mapToDouble(Sample::limit).sorted().toArray();
        final double median = sorted.length == 0 ? 0 : sorted[(sorted.length - 1) / 2];
        limit = told > 0 && told < LOWERED_SHARE * median ? told : median;
    }

    /** The estimated limit, calls per second; 0 if none is known. */
    double limit() {
        return limit;
    }
}
