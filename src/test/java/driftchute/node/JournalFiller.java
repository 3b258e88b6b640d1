package driftchute.node;

import java.io.IOException;
import java.nio.file.Path;

/** Fills a state folder's journal with open messages until it accepts no more, as a long outage would. */
public final class JournalFiller {
    private JournalFiller() {}

    /** Returns the number of accepted messages, each with a body of that size. */
    public static int fill(final Path folder, final long diskBytes, final int bodyBytes) throws IOException {
        int taken = 0;
        try (Journal journal = Journal.open(folder, diskBytes)) {
            while (journal.accept(
                    new JournaledMessage("f" + taken, "safe", null, 7, Long.MAX_VALUE / 2, new byte[bodyBytes]))) {
                taken++;
            }
        }
        return taken;
    }
}
