package driftchute.fleet.membership;

/** How much a courier doubts itself (Lifeguard's local health multiplier): 0 is well. It stretches its own waiting. */
final class LocalHealth {
    /** The paper's saturation: more would make a courier that was ill for long useless for long. */
    static final int MOST = 8;

    private int score;

    void worse() {
        score = Math.min(MOST, score + 1);
    }

    void better() {
        score = Math.max(0, score - 1);
    }

    int score() {
        return score;
    }

    /** A duration of a courier that is well, as this one should take it, us. */
    long scaled(final long us) {
        return us * (score + 1);
    }
}
