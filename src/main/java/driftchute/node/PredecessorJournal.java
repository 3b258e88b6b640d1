package driftchute.node;

import driftchute.Courier;
import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * The journal of an earlier process of this courier, which may still write to it. It is read as it grows, until that
 * process is gone.
 */
final class PredecessorJournal implements AutoCloseable {
    private final Path path;
    private final ProcessLock lock;
    private final FileChannel file;
    private final JournalReader reader;
    /** Calls it has in flight, by destination, as last reported. */
    private final Map<Long, Integer> callsInFlight = new HashMap<>();
    /** The same for endpoints with routes of their own, by name. */
    private final Map<String, Courier.DestinationState> endpointStates = new HashMap<>();

    private final long maxLivingBytes;
    private boolean gone;
    /** Messages could not be taken over yet for lack of space. */
    private boolean deferred;

    /**
     * Opens the file. {@code endingGrowth}: what its process may still append, bytes. {@code
     * isRepeatable}: whether messages of a class may take effect twice.
     *
     * @throws IOException if it cannot be opened
     */
    PredecessorJournal(
            final Path path, final ProcessLock lock, final long endingGrowth, final Predicate<String> isRepeatable)
            throws IOException {
        this.path = path;
        this.lock = lock;
        this.file = FileChannel.open(path, StandardOpenOption.READ);
        this.reader = new JournalReader(file, isRepeatable);
        this.maxLivingBytes = file.size() + endingGrowth;
    }

    /** Reads more; true if there is news, including the end of the process. */
    boolean poll() throws IOException {
        // Take the lock first: what is read after its process is gone is complete.
        final boolean ended = !gone && lock.tryLock();
        gone |= ended;
        if (ended) {
            // Left by a kill during its compaction.
            Files.deleteIfExists(JournalFile.nextOf(path));
        }
        return reader.read() || ended;
    }

    /** True once its process is gone and everything is read. */
    boolean isGone() {
        return gone;
    }

    /** The destination states that were reported since the last call. */
    List<Courier.DestinationState> takeStates() {
        final List<Courier.DestinationState> news = reader.takeStates();
        news.forEach(state -> callsInFlight.put(state.destination(), state.callsInFlight()));
        return news;
    }

    /** The states of endpoints with routes of their own that were reported since the last call. */
    List<JournalReader.NamedState> takeEndpointStates() {
        final List<JournalReader.NamedState> news = reader.takeEndpointStates();
        news.forEach(named -> endpointStates.put(named.endpoint(), named.state()));
        return news;
    }

    /** Its calls in flight at an endpoint with a route of its own; none once it is gone. */
    int callsInFlight(final String endpoint) {
        return gone || !endpointStates.containsKey(endpoint)
                ? 0
                : endpointStates.get(endpoint).callsInFlight();
    }

    /**
     * True while its file has an open message or unconfirmed notice of that id, whichever process continues with it.
     */
    boolean isOpen(final String id) {
        return reader.openMessages().containsKey(id);
    }

    /** Its calls in flight at a destination; none once it is gone. */
    int callsInFlight(final long destination) {
        return gone
                ? 0
                : callsInFlight.getOrDefault(destination, 0)
                        + endpointStates.values().stream()
                                .filter(state -> state.destination() == destination)
                                .mapToInt(Courier.DestinationState::callsInFlight)
                                .sum();
    }

    /**
     * Time up to which all answers to its calls are known, Unix us; {@code Long.MAX_VALUE} if it has no calls in flight
     * or never records this.
     */
    long recordedUntilWallUs() {
        final boolean out = !gone
                && (callsInFlight.values().stream().anyMatch(calls -> calls > 0)
                        || endpointStates.values().stream().anyMatch(state -> state.callsInFlight() > 0));
        return out && reader.recordedUntilWallUs() != JournalReader.NEVER_RECORDED
                ? reader.recordedUntilWallUs()
                : Long.MAX_VALUE;
    }

    JournalReader reader() {
        return reader;
    }

    /** Maximum size of its file, bytes. */
    long maxBytes() {
        return gone ? reader.position() : Math.max(reader.position(), maxLivingBytes);
    }

    /** True if messages have to be taken over later, even without news. */
    boolean hasDeferred() {
        return deferred;
    }

    void setDeferred(final boolean later) {
        deferred = later;
    }

    /** Removes its files, which hold nothing open any more. */
    void remove() throws IOException {
        Files.deleteIfExists(path);
        close();
    }

    /** Leaves the file to the next process, which takes it over. */
    void release() {
        try {
            lock.release();
        } catch (final IOException e) {
            Log.info("journal: the lock of an earlier process's journal cannot be released: " + e.getMessage());
        }
    }

    @Override
    public void close() throws IOException {
        file.close();
        lock.close();
    }
}
