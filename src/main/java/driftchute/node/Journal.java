package driftchute.node;

import driftchute.Courier;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * The journal of accepted messages, in the state folder, which outlasts the process. A file of records, each preceded
 * by its length and CRC32C; a record cut off by a kill is dropped. When the file reaches its size limit, the open
 * messages are written to a new file that replaces it atomically. Nothing is synced to disk: the folder outlasts the
 * process, and a machine that is lost loses the folder as well.
 *
 * <p>Each process writes its own file and holds a lock as long as it lives. Messages that an earlier process left, or
 * still writes while it ends, are taken over from its file. Until that file is gone, the completion of messages taken
 * over is kept here, so that the files together are correct whichever process dies.
 */
final class Journal implements AutoCloseable {
    private static final String FILE = "journal";
    private static final String BAD_SUFFIX = ".bad";
    /** Maximum number of journal files. An upgrade needs two, and another one directly after it a third. */
    private static final int MAX_FILES = 8;

    private final Path folder;
    private final DiskBudget budget;
    private final Map<String, JournaledMessage> open = new LinkedHashMap<>();
    private final List<PredecessorJournal> predecessors = new ArrayList<>();
    /** Messages completed here while a predecessor's file may still contain them. */
    private final Set<String> completed = new HashSet<>();

    /** Space of the records of {@link #completed}, bytes. */
    private long completedBytes;

    private final ReservedIds reservedIds = new ReservedIds();
    /** Whether messages of a class may take effect twice. */
    private final Predicate<String> isRepeatable;

    private final UnrepeatableIds unrepeatableIds;
    /** Ids of earlier processes that are not in this process's file yet, by hash. */
    private final List<Long> unrecordedIds = new ArrayList<>();

    private Path path;
    private ProcessLock lock;
    /** Size up to which an ending process may append to its file, bytes. */
    private long endingLimit;

    private JournalFile file;
    private long openBytes;
    /** A record could not be written. The file is incomplete until it is rewritten. */
    private boolean incomplete;
    /** The successor reads this file. */
    private boolean handingOver;

    /** Creates a journal without opening it. No file is touched. No message may take effect twice. */
    Journal(final Path folder, final long diskBytes) {
        this(folder, diskBytes, className -> false);
    }

    /** {@code isRepeatable}: whether messages of a class may take effect twice. */
    Journal(final Path folder, final long diskBytes, final Predicate<String> isRepeatable) {
        this.folder = folder;
        this.budget = new DiskBudget(diskBytes);
        this.isRepeatable = isRepeatable;
        this.unrepeatableIds = new UnrepeatableIds((int) (budget.unrepeatableIds() / Long.BYTES));
    }

    /** The journal of a courier, which is not opened yet. No file is touched. */
    static Journal of(final Config config) {
        final Set<String> repeatable = config.settings().classes().stream()
                .filter(messageClass -> messageClass.effect() == Courier.Effect.SAFE)
                .map(Courier.MessageClass::name)
                .collect(Collectors.toSet());
        return new Journal(config.state(), config.diskBytes(), repeatable::contains);
    }

    /** Opens or creates the journal of a folder and reads the open messages. */
    static Journal open(final Path folder, final long diskBytes) throws IOException {
        final Journal journal = new Journal(folder, diskBytes);
        journal.open();
        return journal;
    }

    /** Opens a file that no living process writes, and starts reading all others. */
    void open() throws IOException {
        Files.createDirectories(folder);
        final Map<Path, ProcessLock> locks = new LinkedHashMap<>();
        for (int number = 0; number < MAX_FILES; number++) {
            final Path next = numbered(number);
            locks.put(next, new ProcessLock(folder.resolve(next.getFileName() + ".lock")));
        }
        path = chooseFile(locks);
        lock = locks.remove(path);
        for (final Map.Entry<Path, ProcessLock> other : locks.entrySet()) {
            if (Files.exists(other.getKey())) {
                predecessors.add(
                        new PredecessorJournal(other.getKey(), other.getValue(), budget.endingGrowth(), isRepeatable));
            } else {
                other.getValue().close();
            }
        }
        removeUnfinished();
        if (predecessors.isEmpty() && !Files.exists(path)) {
            Log.event(
                    "journal_begun",
                    "msg",
                    "no journal in " + folder + ": no messages to resume (a first start,"
                            + " or a power loss, after which the folder is empty)");
        }
        file = new JournalFile(path);
        load();
    }

    /**
     * Locks and returns the file that this process writes. Beside a living process this is a new one: the file of a
     * process that is gone holds much that is over, and could not be compacted for lack of space.
     */
    private Path chooseFile(final Map<Path, ProcessLock> locks) throws IOException {
        boolean hasLiving = false;
        for (final Map.Entry<Path, ProcessLock> file : locks.entrySet()) {
            hasLiving |= !file.getValue().tryLock() && Files.exists(file.getKey());
        }
        final boolean takesNew = hasLiving;
        final List<Path> free = locks.keySet().stream()
                .filter(file -> locks.get(file).isHeld())
                .sorted(Comparator.comparing(file -> takesNew && Files.exists(file)))
                .toList();
        if (free.isEmpty()) {
            throw new IOException("all journals in " + folder + " are in use");
        }
        return free.get(0);
    }

    private Path numbered(final int number) {
        return folder.resolve(number == 0 ? FILE : FILE + "." + number);
    }

    /** Removes files that killed compactions of other processes left without their journal. */
    private void removeUnfinished() throws IOException {
        for (int number = 0; number < MAX_FILES; number++) {
            final Path one = numbered(number);
            if (!one.equals(path) && !Files.exists(one)) {
                Files.deleteIfExists(JournalFile.nextOf(one));
            }
        }
    }

    /**
     * Copies what follows a record that failed its check to {@code journal.bad} for the operators, as far as
     * the folder's limit allows. Returns the copy's name, or why there is none.
     */
    private String copyBadRecords(final long from, final long dropped) {
        try {
            final long bytes = Math.min(dropped, budget.badRecords() / DiskBudget.BLOCK_BYTES * DiskBudget.BLOCK_BYTES);
            if (bytes <= 0) {
                return "none: no space within disk_mb";
            }
            final ByteBuffer bad = ByteBuffer.allocate((int) bytes);
            while (bad.hasRemaining() && file.channel().read(bad, from + bad.position()) >= 0) {
                continue;
            }
            bad.flip();
            Files.write(folder.resolve(FILE + BAD_SUFFIX), java.util.Arrays.copyOf(bad.array(), bad.limit()));
            return FILE + BAD_SUFFIX + (bytes < dropped ? " (first " + bytes + " bytes)" : "");
        } catch (final IOException e) {
            return "none: " + e.getMessage();
        }
    }

    private void load() throws IOException {
        final JournalReader reader = new JournalReader(file.channel(), isRepeatable);
        reader.read();
        // A kill during a write leaves a partial record. Nothing was answered or sent because of it.
        final long dropped = file.channel().size() - reader.position();
        if (dropped > 0) {
            final String copy =
                    reader.tail() == JournalReader.Tail.TORN ? "none" : copyBadRecords(reader.position(), dropped);
            Log.event(
                    "journal_recovered",
                    "file",
                    path.getFileName().toString(),
                    "records",
                    reader.records(),
                    "kept_bytes",
                    reader.position(),
                    "dropped_bytes",
                    dropped,
                    "reason",
                    reader.tail().name().toLowerCase(java.util.Locale.ROOT),
                    "copy",
                    copy);
        }
        file.truncate(reader.position());
        if (file.size() == 0) {
            file.append(JournalRecords.header());
        }
        open.putAll(reader.openMessages());
        reader.reservedIds().forEach(reservedIds::reserve);
        reader.takeUnrepeatableIds().forEach(unrepeatableIds::add);
        openBytes =
                open.values().stream().mapToLong(JournalRecords::reservedBytes).sum();
        if (!predecessors.isEmpty()) {
            reader.completed().forEach(this::addCompleted);
        }
    }

    // ---------------------------------------------------------------- earlier processes

    /**
     * News from the files of earlier processes. {@code takenOver}: messages that this process has taken over. {@code complete}:
     * messages of this process that were completed there. {@code states}: destination states. {@code endpointStates}: the same
     * of endpoints with routes of their own.
     */
    record PredecessorUpdate(
            List<JournaledMessage> takenOver,
            List<String> completed,
            List<Courier.DestinationState> states,
            List<JournalReader.NamedState> endpointStates) {}

    /** True while an earlier process may still be running, or its file is not completely taken over. */
    boolean hasPredecessors() {
        return !predecessors.isEmpty();
    }

    /** Calls that earlier processes still have in flight at a destination. */
    int predecessorCalls(final long destination) {
        return predecessors.stream()
                .mapToInt(predecessor -> predecessor.callsInFlight(destination))
                .sum();
    }

    /** The same at an endpoint with a route of its own. */
    int predecessorCalls(final String endpoint) {
        return predecessors.stream()
                .mapToInt(predecessor -> predecessor.callsInFlight(endpoint))
                .sum();
    }

    /**
     * Time up to which all answers to the calls of earlier processes are known, Unix us; {@code Long.MAX_VALUE} if they
     * have none in flight.
     */
    long recordedUntilWallUs() {
        return predecessors.stream()
                .mapToLong(PredecessorJournal::recordedUntilWallUs)
                .min()
                .orElse(Long.MAX_VALUE);
    }

    /** Reads more of the files of earlier processes, and records the messages taken over from them. */
    PredecessorUpdate pollPredecessors() {
        final PredecessorUpdate update =
                new PredecessorUpdate(new ArrayList<>(), new ArrayList<>(), new ArrayList<>(), new ArrayList<>());
        // All are read before anything is taken over: a later one may have a message of an earlier one in flight.
        final List<PredecessorJournal> read = new ArrayList<>();
        final List<PredecessorJournal> withNews = new ArrayList<>();
        for (final PredecessorJournal predecessor : predecessors) {
            try {
                if (predecessor.poll() || predecessor.hasDeferred()) {
                    withNews.add(predecessor);
                }
                read.add(predecessor);
            } catch (final IOException e) {
                Log.info("journal: cannot read the journal of an earlier process: " + e.getMessage());
            }
        }
        withNews.forEach(predecessor -> takeOver(predecessor, update));
        read.forEach(this::removeIfGone);
        if (predecessors.isEmpty()) {
            completed.clear();
            completedBytes = 0;
        }
        compactIfWasteful();
        return update;
    }

    private void removeIfGone(final PredecessorJournal predecessor) {
        if (!predecessor.isGone() || predecessor.hasDeferred() || !recordRemains(predecessor)) {
            return;
        }
        try {
            predecessor.remove();
            predecessors.remove(predecessor);
            removeUnfinished();
        } catch (final IOException e) {
            Log.info("journal: cannot remove the journal of an earlier process: " + e.getMessage());
        }
    }

    /** True if another earlier process has progressed further with a message, or has completed it. */
    private boolean isSuperseded(final JournaledMessage message, final PredecessorJournal in) {
        return predecessors.stream()
                .filter(other -> other != in)
                .map(PredecessorJournal::reader)
                .anyMatch(other -> other.completed().contains(message.id)
                        || other.openMessages().containsKey(message.id)
                                && other.openMessages().get(message.id).isAheadOf(message));
    }

    private void takeOver(final PredecessorJournal predecessor, final PredecessorUpdate update) {
        final JournalReader reader = predecessor.reader();
        boolean deferred = false;
        reader.reservedIds().forEach(reservedIds::reserve);
        for (final long hash : reader.takeUnrepeatableIds()) {
            unrepeatableIds.add(hash);
            unrecordedIds.add(hash);
        }
        for (final Courier.DestinationState state : predecessor.takeStates()) {
            update.states().add(state.withCallsInFlight(predecessorCalls(state.destination())));
        }
        for (final JournalReader.NamedState named : predecessor.takeEndpointStates()) {
            update.endpointStates().add(named);
        }
        for (final JournaledMessage message : reader.openMessages().values()) {
            final JournaledMessage ownCopy = open.get(message.id);
            // A message with a call in flight belongs to the earlier process until that has ended the call or is gone.
            final boolean free = !message.isInFlight() || predecessor.isGone();
            if (free
                    && !isSuperseded(message, predecessor)
                    && !completed.contains(message.id)
                    && (ownCopy == null || message != ownCopy && message.isAheadOf(ownCopy))) {
                if (adopt(message)) {
                    update.takenOver().add(message);
                } else {
                    deferred = true;
                }
            }
        }
        predecessor.setDeferred(deferred);
        open.keySet().stream().filter(reader.completed()::contains).forEach(update.completed()::add);
        reader.completed().forEach(this::addCompleted);
    }

    /** Records what the file of an earlier process says beside its messages, before it is removed; false if that failed. */
    private boolean recordRemains(final PredecessorJournal predecessor) {
        final List<ByteBuffer> records =
                new ArrayList<>(reservedRecords(predecessor.reader().reservedIds()));
        records.addAll(JournalRecords.unrepeatableIds(unrecordedIds));
        records.addAll(completionsIn(predecessor));
        if (!ensureSpace(size(records) + budget.outcomeRecords())) {
            return false;
        }
        records.forEach(this::append);
        if (!incomplete) {
            unrecordedIds.clear();
        }
        return !incomplete;
    }

    /**
     * Completions of messages that are open in the files of other earlier processes, which would resume them after a
     * kill.
     */
    private List<ByteBuffer> completionsIn(final PredecessorJournal predecessor) {
        return predecessors.stream()
                .filter(other -> other != predecessor)
                .flatMap(other -> other.reader().openMessages().keySet().stream())
                .distinct()
                .filter(id -> predecessor.reader().completed().contains(id) && !open.containsKey(id))
                .map(id -> JournalRecords.completed(id, false))
                .toList();
    }

    private static long size(final List<ByteBuffer> records) {
        return records.stream().mapToLong(ByteBuffer::capacity).sum();
    }

    /**
     * Records a message of an earlier process as this process's, with its attempts. Returns false if that has to wait
     * until a living process has ended and its file's space is free.
     */
    private boolean adopt(final JournaledMessage message) {
        final List<ByteBuffer> records = JournalRecords.all(message);
        if (!ensureSpace(size(records) + budget.outcomeRecords())) {
            return false;
        }
        final JournaledMessage before = open.put(message.id, message);
        openBytes +=
                JournalRecords.reservedBytes(message) - (before == null ? 0 : JournalRecords.reservedBytes(before));
        records.forEach(this::append);
        return true;
    }

    private void addCompleted(final String id) {
        if (completed.add(id)) {
            completedBytes += JournalRecords.completed(id, false).capacity();
        }
    }

    /** Prepares the handover of a process that knows no endpoint with a route of its own. */
    void handOver(final List<Courier.DestinationState> states) {
        handOver(states, List.of());
    }

    /**
     * Prepares the handover: this process only finishes its calls, and its successor reads the open messages from a
     * compacted file.
     */
    void handOver(final List<Courier.DestinationState> states, final List<JournalReader.NamedState> endpointStates) {
        final long limit = hasLivingPredecessor() ? freeBytes() : Long.MAX_VALUE;
        try {
            if (canCompact()) {
                compact();
            }
        } catch (final IOException e) {
            Log.info("journal: cannot be rewritten: " + e.getMessage());
        }
        states.forEach(this::recordState);
        endpointStates.forEach(this::recordEndpointState);
        // From here on the successor reads this very file. It is appended to, but not rewritten.
        handingOver = true;
        predecessors.forEach(PredecessorJournal::release);
        endingLimit = Math.min(limit, file.size() + budget.endingGrowth());
    }

    /** Records for the successor the time up to which the outcomes of all calls are recorded. */
    void recordProgress(final long wallUs) {
        append(JournalRecords.recordedUntil(wallUs));
    }

    /** Records the state of a destination for the successor. */
    void recordState(final Courier.DestinationState state) {
        append(JournalRecords.destinationState(state));
    }

    /** Records the state of an endpoint with a route of its own, by name, for the successor. */
    void recordEndpointState(final JournalReader.NamedState named) {
        append(JournalRecords.endpointState(named.endpoint(), named.state()));
    }

    // ---------------------------------------------------------------- records of messages

    /** The open messages and unconfirmed notices, in the order of acceptance. */
    Collection<JournaledMessage> openMessages() {
        return List.copyOf(open.values());
    }

    /** Number of open messages and unconfirmed notices. */
    int count() {
        return open.size();
    }

    /**
     * True while a message of that id is open or its notice unconfirmed, here or in an earlier process that has its
     * call in flight.
     */
    boolean isOpen(final String id) {
        return open.containsKey(id) || predecessors.stream().anyMatch(predecessor -> predecessor.isOpen(id));
    }

    /**
     * True if a message of that id was accepted so recently that its call may still be executed, or at any time and may
     * not take effect twice.
     */
    boolean isReserved(final String id, final long nowWallUs) {
        return reservedIds.isReserved(id, nowWallUs) || unrepeatableIds.contains(ReservedIds.hash(id));
    }

    /** Forgets the reserved ids whose time is over; returns how many are left. */
    int removeExpiredIds(final long nowWallUs) {
        reservedIds.removeExpired(nowWallUs);
        return reservedIds.size();
    }

    /** Records an accepted message. Returns false, and accepts nothing, if there is no space for it. */
    boolean accept(final JournaledMessage message) {
        final long bytes = JournalRecords.reservedBytes(message);
        if (open.containsKey(message.id)
                || reservedIds.isFull()
                || !hasSpaceFor(bytes)
                || !append(JournalRecords.accepted(message))) {
            return false;
        }
        open.put(message.id, message);
        openBytes += bytes;
        reservedIds.reserve(ReservedIds.hash(message.id), message.idReservedUntilWallUs());
        if (!isRepeatable.test(message.className)) {
            unrepeatableIds.add(ReservedIds.hash(message.id));
        }
        return true;
    }

    /** Records an attempt before the first byte of its call. If this returns false, the attempt may not be made. */
    boolean beginAttempt(final JournaledMessage message, final long wallUs, final String zone) {
        final ByteBuffer record = JournalRecords.attemptBegun(message.id, wallUs, zone);
        // The outcome has to fit as well.
        if (!ensureSpace(record.capacity() + budget.outcomeRecords() / 2) || !append(record)) {
            return false;
        }
        message.beginAttempt(wallUs, zone);
        return true;
    }

    /** Records the outcome of an attempt. */
    void endAttempt(final JournaledMessage message, final boolean neverExecuted) {
        message.endAttempt(neverExecuted);
        append(JournalRecords.attemptEnded(message.id, neverExecuted));
    }

    /** Records that a message has ended and only its notice is outstanding. */
    void recordNotice(final JournaledMessage message, final JournaledMessage.Notice notice) {
        final boolean counted = open.containsKey(message.id);
        final long before = JournalRecords.reservedBytes(message);
        message.setNotice(notice);
        openBytes -= counted ? before - JournalRecords.reservedBytes(message) : 0;
        append(JournalRecords.noticeDue(message));
    }

    /** Records that a message is completed. */
    void complete(final JournaledMessage message) {
        complete(message.id);
    }

    /** Records that the message of that id is completed. */
    void complete(final String id) {
        complete(id, false);
    }

    /** Records that a message was not accepted after all and never sent: its id may be accepted again. */
    void discard(final JournaledMessage message) {
        complete(message.id, true);
        reservedIds.release(ReservedIds.hash(message.id));
        unrepeatableIds.remove(ReservedIds.hash(message.id));
    }

    private void complete(final String id, final boolean discarded) {
        final JournaledMessage message = open.remove(id);
        if (message != null) {
            openBytes -= JournalRecords.reservedBytes(message);
            if (!predecessors.isEmpty()) {
                addCompleted(id);
            }
            append(JournalRecords.completed(id, discarded));
        }
    }

    /** Records of reserved ids, the latest to end first, as many as have space. */
    private List<ByteBuffer> reservedRecords(final ReservedIds ids) {
        final List<long[]> entries = new ArrayList<>();
        ids.forEach((hash, until) -> entries.add(new long[] {hash, until}));
        entries.sort(Comparator.comparingLong((long[] entry) -> entry[1]).reversed());
        final int count = (int) Math.min(entries.size(), budget.reservedIds() / JournalRecords.RESERVED_ID_BYTES);
        return JournalRecords.reservedIds(entries.subList(0, count));
    }

    @Override
    public void close() throws IOException {
        for (final PredecessorJournal predecessor : predecessors) {
            predecessor.close();
        }
        file.close();
        lock.close();
    }

    // ---------------------------------------------------------------- disk space

    /** True while an earlier process may still append to its file. */
    private boolean hasLivingPredecessor() {
        return predecessors.stream().anyMatch(predecessor -> !predecessor.isGone());
    }

    /** True while the files of processes that are all gone are taken over. They are removed as soon as that is done. */
    private boolean isRecovering() {
        return !predecessors.isEmpty() && !hasLivingPredecessor();
    }

    /** Space that the files of earlier processes leave for this process's file and its compaction, bytes. */
    private long freeBytes() {
        final long limit = isRecovering() ? budget.recovery() : budget.journals();
        return limit
                - predecessors.stream().mapToLong(PredecessorJournal::maxBytes).sum();
    }

    /** Size of the file that a compaction would write, with space for what follows about its messages, bytes. */
    private long compactedBytes() {
        return JournalRecords.header().capacity()
                + Math.min(
                        budget.reservedIds() + JournalRecords.HEAD_BYTES,
                        (reservedIds.size() + 1L) * JournalRecords.RESERVED_ID_BYTES)
                + (unrepeatableIds.size() + 1L) * Long.BYTES
                + openBytes
                + completedBytes;
    }

    /** Space of the messages that are still to be taken over from earlier processes, or that these may accept. */
    private long pendingBytes() {
        long bytes = 0;
        for (final PredecessorJournal predecessor : predecessors) {
            bytes += predecessor.isGone() ? 0 : budget.endingGrowth() - budget.outcomeRecords();
            bytes += predecessor.reader().openMessages().values().stream()
                    .filter(message -> !open.containsKey(message.id) && !completed.contains(message.id))
                    .mapToLong(JournalRecords::reservedBytes)
                    .sum();
        }
        return bytes;
    }

    /**
     * True if a message can be accepted so that the records about all messages and a compaction fit the folder, also
     * beside the file of an ending process that holds as many.
     */
    private boolean hasSpaceFor(final long bytes) {
        if (handingOver) {
            return file.size() + bytes + budget.outcomeRecords() <= endingLimit;
        }
        final long more = pendingBytes() + bytes;
        return openBytes + more <= budget.openMessages()
                && 2 * (compactedBytes() + more) + budget.compactionGain() <= freeBytes();
    }

    /** True if the file of a compaction fits beside the present one. */
    private boolean canCompact() {
        return file.size() + compactedBytes() <= freeBytes();
    }

    /** Compacts the file if records of that size need it; false if they do not fit until an earlier process has ended. */
    private boolean ensureSpace(final long bytes) {
        if (!hasLivingPredecessor() || file.size() + bytes <= freeBytes()) {
            return true;
        }
        if (!canCompact() || compactedBytes() + bytes > freeBytes()) {
            return false;
        }
        try {
            compact();
            return true;
        } catch (final IOException e) {
            Log.info("journal: cannot be rewritten: " + e.getMessage());
            return false;
        }
    }

    /** Compacts a file that mostly holds what is over, since other processes of the courier need the space. */
    private void compactIfWasteful() {
        if (file.size() <= 2 * compactedBytes() + budget.compactionGain() || !canCompact()) {
            return;
        }
        try {
            compact();
        } catch (final IOException e) {
            Log.info("journal: cannot be rewritten: " + e.getMessage());
        }
    }

    // ---------------------------------------------------------------- writing

    private boolean append(final ByteBuffer record) {
        try {
            if (handingOver) {
                checkEndingLimit(record.capacity());
            } else {
                makeSpace(record.capacity());
            }
            file.append(record);
            return true;
        } catch (final IOException e) {
            if (!incomplete) {
                Log.info("journal: cannot write: " + e.getMessage());
            }
            incomplete = true;
            return false;
        }
    }

    private void checkEndingLimit(final long bytes) throws IOException {
        if (incomplete || file.size() + bytes > endingLimit) {
            throw new IOException("no space is left for an ending process");
        }
    }

    /** Compacts the file if it is incomplete, or if a later compaction would not fit any more. */
    private void makeSpace(final long bytes) throws IOException {
        final long fullBytes = Math.min(budget.journalFile(), freeBytes() - compactedBytes());
        if ((incomplete || file.size() + bytes > fullBytes) && canCompact()) {
            compact();
        }
        if (!hasLivingPredecessor()) {
            // Nothing else would free space.
            if (incomplete || file.size() + bytes > freeBytes()) {
                compact();
            }
        } else if (incomplete || file.size() + bytes > freeBytes()) {
            throw new IOException("no space is left until an earlier process has ended: " + file.size() + " bytes and "
                    + bytes + " more, of " + freeBytes());
        }
    }

    /** Replaces the file by one with the open messages only. */
    private void compact() throws IOException {
        final Stream<ByteBuffer> messages =
                open.values().stream().flatMap(message -> JournalRecords.all(message).stream());
        // A new message of a completed one's id may have been accepted since, which is still open.
        final Stream<ByteBuffer> completions =
                completed.stream().filter(id -> !open.containsKey(id)).map(id -> JournalRecords.completed(id, false));
        final Stream<ByteBuffer> ids = Stream.concat(
                reservedRecords(reservedIds).stream(),
                JournalRecords.unrepeatableIds(unrepeatableIds.inOrder()).stream());
        final Stream<ByteBuffer> head = Stream.concat(Stream.of(JournalRecords.header()), ids);
        file.replace(Stream.concat(head, Stream.concat(messages, completions)).iterator());
        incomplete = false;
        unrecordedIds.clear();
    }
}
