package driftchute.fleet.session;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/**
 * Finds the harmful session among the sessions of a failed call by halving (group testing: Dorfman 1943; Hwang 1972).
 * The sessions of a failed call become suspects in two groups and share calls only within their group; a group's failed
 * call is split again. Several successful calls in a row clear a suspect. One that continues to fail alone is the
 * harmful one, and the other suspects of the same first failure (its chain) are cleared.
 */
final class GroupTesting {
    /**
     * Successful calls in a row that clear a suspect. A session that spoils half its calls passes with a probability of
     * 1/16.
     */
    static final int CALLS_TO_CLEAR = 4;
    /**
     * Each search from which a session came out unproven doubles them, up to 64: one that spoils a tenth passes once in
     * 850.
     */
    private static final int MAX_UNPROVEN_SEARCHES = 4;
    /**
     * Successful calls after which one such search is forgotten: a third of the mean distance of two failures at a base
     * error rate of 1%.
     */
    private static final int CALLS_TO_FORGIVE = 30;
    /**
     * Failures since the first, and failures alone, that prove a session harmful if the rate of the latter also exceeds
     * this (Wilson, 95%).
     */
    static final int FAILURES_FOR_PROOF = 4;

    private static final int FAILURES_ALONE_FOR_PROOF = 2;
    private static final double PROOF_RATE = 0.05;
    /** A search without proof counts against at most so many last suspects: a group of this size is split once. */
    private static final int LAST_SUSPECTS = 3;

    private static final int MAX_SUSPECTS = 1024;

    private static final class Suspect {
        final long chain;
        final int group;
        final int failures;
        /** Number of sessions in the last failed call. */
        final int failedTogether;
        /** Failures and calls of the session alone. */
        int failuresAlone;

        int callsAlone;
        int successes;

        Suspect(final long chain, final int group, final int failures, final int among) {
            this.chain = chain;
            this.group = group;
            this.failures = failures;
            this.failedTogether = among;
        }
    }

    /** Recent searches from which a session came out unproven, and its successful calls since. */
    private static final class UnprovenSearches {
        int count;
        int successes;
    }

    private final LruMap<Suspect> suspects = new LruMap<>(MAX_SUSPECTS);
    private final LruMap<UnprovenSearches> unprovenSearches = new LruMap<>(MAX_SUSPECTS);
    private final Random random;
    private long chains;
    private int groups;

    /**
     * Creates the search.
     *
     * @param seed decides which half a session is in
     */
    GroupTesting(final long seed) {
        random = new Random(seed);
    }

    /** The group within which this session may share calls; 0 if it is not a suspect. */
    int groupOf(final long session) {
        final Suspect suspect = suspects.get(session);
        return suspect == null ? 0 : suspect.group;
    }

    /** The group of each suspect. */
    Map<Long, Integer> groups() {
        final Map<Long, Integer> all = new HashMap<>();
        suspects.entries().forEach((session, suspect) -> all.put(session, suspect.group));
        return all;
    }

    /**
     * A call with all of these has failed: splits them. A call of several groups was in flight when they were split, so
     * it says nothing new about those; its other sessions become suspects.
     */
    void onFailed(final Collection<Long> sessions) {
        final Set<Integer> of = new HashSet<>();
        sessions.forEach(session -> of.add(groupOf(session)));
        final List<Long> split = new ArrayList<>(
                of.size() == 1
                        ? sessions
                        : sessions.stream()
                                .filter(session -> groupOf(session) == 0)
                                .toList());
        Collections.sort(split);
        Collections.shuffle(split, random);
        final long chain = ++chains;
        final int first = ++groups;
        final int second = ++groups;
        for (int i = 0; i < split.size(); i++) {
            final Suspect old = suspects.get(split.get(i));
            suspects.put(
                    split.get(i),
                    new Suspect(
                            old == null ? chain : old.chain,
                            2 * i < split.size() ? first : second,
                            old == null ? 1 : old.failures + 1,
                            split.size()));
        }
    }

    /**
     * A call with this session alone has failed. True if this proves it harmful, provided that the destination is
     * healthy for others.
     */
    boolean onFailedAlone(final long session) {
        final Suspect old = suspects.get(session);
        final Suspect now = old == null
                ? new Suspect(++chains, ++groups, 1, 1)
                : new Suspect(old.chain, old.group, old.failures + 1, old.failedTogether);
        now.failuresAlone = old == null ? 1 : old.failuresAlone + 1;
        now.callsAlone = old == null ? 1 : old.callsAlone + 1;
        suspects.put(session, now);
        return now.failures >= FAILURES_FOR_PROOF
                && now.failuresAlone >= FAILURES_ALONE_FOR_PROOF
                && WilsonInterval.lower(now.failuresAlone, now.callsAlone) > PROOF_RATE;
    }

    /**
     * A call with these succeeded. Returns those that it clears and that were the last suspects of an unproven search.
     */
    List<Long> onSucceeded(final Collection<Long> sessions) {
        final List<Long> unproven = new ArrayList<>();
        for (final Long session : sessions) {
            final Suspect suspect = suspects.get(session);
            final UnprovenSearches past = unprovenSearches.get(session);
            if (suspect == null) {
                forgive(session, past);
                continue;
            }
            suspect.callsAlone += sessions.size() == 1 ? 1 : 0;
            if (++suspect.successes >= CALLS_TO_CLEAR << (past == null ? 0 : past.count)) {
                suspects.remove(session);
                final UnprovenSearches now = unprovenSearches.use(session, unused -> new UnprovenSearches());
                now.count = Math.min(MAX_UNPROVEN_SEARCHES, now.count + 1);
                now.successes = 0;
                if (suspect.failedTogether > 1 && suspect.failedTogether <= LAST_SUSPECTS) {
                    unproven.add(session);
                }
            }
        }
        return unproven;
    }

    private void forgive(final long session, final UnprovenSearches past) {
        if (past != null && ++past.successes >= CALLS_TO_FORGIVE) {
            past.successes = 0;
            if (--past.count == 0) {
                unprovenSearches.remove(session);
            }
        }
    }

    /** This session is proven harmful: it is no longer a suspect, and those of its chain are cleared. */
    void onProven(final long session) {
        final Suspect harmful = suspects.get(session);
        if (harmful != null) {
            suspects.entries().entrySet().removeIf(suspect -> {
                final boolean freed = suspect.getValue().chain == harmful.chain;
                if (freed) {
                    unprovenSearches.remove(suspect.getKey());
                }
                return freed;
            });
        }
    }

    void forget(final long session) {
        suspects.remove(session);
        unprovenSearches.remove(session);
    }
}
