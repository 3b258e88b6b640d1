package driftchute.fleet.membership;

/**
 * Lifeguard's local health multiplier: how much a courier doubts its own health, 0 if it is healthy. It lengthens the
 * courier's own time-outs.
 */
final class LocalHealth {
    /** The paper's saturation value. A higher one would make a courier useless for long after long trouble. */
    static final int MAX = 8;

    private int score;

    void worse() {
        score = Math.min(MAX, score + 1);
    }

    void better() {
        score = Math.max(0, score - 1);
    }

    int score() {
        return score;
    }

    /** A duration of a healthy courier, lengthened by the present score, us. */
    long scaled(final long us) {
        return us * (score + 1);
    }
}
