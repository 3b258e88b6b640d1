package driftchute.fleet.membership;

import java.util.HashSet;
import java.util.Set;

/** One suspicion: who accuses, and until when it may be refuted (Lifeguard's dynamic suspicion time-outs). */
final class Suspicion {
    private final Timing timing;
    private final Set<Integer> accusers = new HashSet<>();
    private long sinceUs;
    private boolean certain;
    private long askUs;

    Suspicion(final Timing timing, final long nowUs, final int by) {
        this.timing = timing;
        this.sinceUs = nowUs;
        this.askUs = nowUs + timing.leastUs() / 2;
        accusers.add(by);
    }

    /** Another accuser has spoken. Returns whether that was news and is worth passing on. */
    boolean confirm(final int by) {
        return accusers.size() <= timing.accusers() && accusers.add(by);
    }

    /** Somebody holds the suspect dead: as good as all the accusers that are needed. */
    void certain() {
        certain = true;
    }

    /** Asks the suspect at that moment. */
    void askAt(final long us) {
        askUs = us;
    }

    /**
     * When this courier itself asks the suspect, monotonic us: at once and again where it accuses, and once half-way
     * through the shortest suspicion where it only heard. So nobody is buried by one who has not asked it.
     */
    long askUs() {
        return askUs;
    }

    /** Whether that courier accuses. */
    boolean isAccuser(final int id) {
        return accusers.contains(id);
    }

    /** No time before now counts as time to refute, and the suspect is asked anew. */
    void restart(final long nowUs) {
        sinceUs = nowUs;
        askUs = nowUs;
    }

    /** When the suspect is dead unless it has refuted, monotonic us. */
    long deadlineUs() {
        final int others = accusers.size() - 1;
        if (certain || others >= timing.accusers()) {
            return sinceUs + timing.leastUs();
        }
        final double shrunk = Math.log(others + 1.0) / Math.log(timing.accusers() + 1.0);
        return sinceUs + timing.mostUs() - (long) ((timing.mostUs() - timing.leastUs()) * shrunk);
    }
}
