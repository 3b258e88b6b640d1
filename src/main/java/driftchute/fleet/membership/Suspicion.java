package driftchute.fleet.membership;

import java.util.HashSet;
import java.util.Set;

/** A suspicion: its accusers and its deadline for a refutation (Lifeguard's dynamic suspicion time-outs). */
final class Suspicion {
    private final MembershipTiming timing;
    private final Set<Integer> accusers = new HashSet<>();
    private long sinceUs;
    private boolean fullyConfirmed;
    private long probeUs;

    Suspicion(final MembershipTiming timing, final long nowUs, final int by) {
        this.timing = timing;
        this.sinceUs = nowUs;
        this.probeUs = nowUs + timing.minSuspicionUs() / 2;
        accusers.add(by);
    }

    /** Adds an accuser. Returns whether it is new and worth gossiping. */
    boolean confirm(final int by) {
        return accusers.size() <= timing.accusers() && accusers.add(by);
    }

    /** Another courier considers the suspect dead: this counts like all the accusers that are needed. */
    void confirmFully() {
        fullyConfirmed = true;
    }

    /** Schedules a probe of the suspect. */
    void probeAt(final long us) {
        probeUs = us;
    }

    /**
     * When this courier probes the suspect itself, monotonic us: at once and repeatedly if it is an accuser, and once
     * half-way through the shortest suspicion otherwise. So no courier declares another dead without having probed it.
     */
    long probeUs() {
        return probeUs;
    }

    /** Whether that courier is an accuser. */
    boolean isAccuser(final int id) {
        return accusers.contains(id);
    }

    /** Restarts the time to refute and probes the suspect again. */
    void restart(final long nowUs) {
        sinceUs = nowUs;
        probeUs = nowUs;
    }

    /** When the suspect is declared dead unless it refutes, monotonic us. */
    long deadlineUs() {
        final int others = accusers.size() - 1;
        if (fullyConfirmed || others >= timing.accusers()) {
            return sinceUs + timing.minSuspicionUs();
        }
        final double reduction = Math.log(others + 1.0) / Math.log(timing.accusers() + 1.0);
        return sinceUs
                + timing.maxSuspicionUs()
                - (long) ((timing.maxSuspicionUs() - timing.minSuspicionUs()) * reduction);
    }
}
