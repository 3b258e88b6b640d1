package driftchute.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Checks a fleet's run by the rules of PROTOCOL-irishead.md, section The rules on sockets: every request answered
 * (unless its courier was killed while it waited), every accepted message delivered or ended by a notice, and no unsafe
 * message called twice.
 */
final class RuleChecker {
    /** A process from its SIGKILL to when it was seen gone ({@link System#nanoTime()}). */
    record Death(long signalNs, long goneNs) {}

    private RuleChecker() {}

    /** The accepted messages that are still open. */
    static List<String> owed(final Fleet fleet, final RequestLog ledger) {
        final List<String> owed = new ArrayList<>();
        for (final RequestLog.Seen seen : ledger.seen) {
            if (seen.takenOn() && !fleet.calls.containsKey(seen.id()) && !fleet.noticed(seen.id())) {
                owed.add(seen.id());
            }
        }
        return owed;
    }

    /**
     * The violated rules, one line each; empty if there are none.
     *
     * @param kills when each courier was killed, by name: a request at that time may end unanswered
     */
    static List<String> violations(final Fleet fleet, final RequestLog ledger, final Map<String, List<Death>> kills) {
        final List<String> broken = new ArrayList<>();
        for (final RequestLog.Seen seen : ledger.seen) {
            if (seen.status() == 0 && !killedDuring(kills.getOrDefault(seen.courier(), List.of()), seen)) {
                broken.add("unanswered: " + seen);
            }
            if (seen.kind().equals("once")
                    && fleet.calls.containsKey(seen.id())
                    && fleet.calls.get(seen.id()).get() > 1) {
                broken.add("called " + fleet.calls.get(seen.id()) + " times, may run once: " + seen.id());
            }
        }
        owed(fleet, ledger).forEach(id -> broken.add("lost: " + id));
        return broken;
    }

    private static boolean killedDuring(final List<Death> kills, final RequestLog.Seen seen) {
        return kills.stream().anyMatch(death -> death.signalNs() <= seen.endNs() && seen.sentNs() <= death.goneNs());
    }
}
