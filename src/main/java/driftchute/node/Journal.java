package driftchute.node;

import driftchute.Courier;
import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.zip.CRC32C;

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
    private static final String NEXT_SUFFIX = ".next";
    private static final String BAD_SUFFIX = ".bad";
    /** Disk usage is counted in blocks of this many bytes (DEPLOY-irishead.md). */
    private static final long BLOCK_BYTES = 512;

    private static final int HEAD_BYTES = 2 * Integer.BYTES;
    /** Maximum number of journal files. An upgrade needs two, and another one directly after it a third. */
    private static final int MAX_FILES = 8;
    /** Share of the disk for one file. With the file that replaces it, at most four fifths are used. */
    private static final double FILE_SHARE = 0.4;
    /** The same for an ending process while its successor writes its own file. */
    private static final double HANDOVER_FILE_SHARE = 0.3;
    /**
     * Share of a file that accepted messages may use. The rest is for the records about them, which must always fit.
     */
    private static final double MESSAGE_SHARE = 0.6;
    /** Space reserved for the attempts and the notice of a message, bytes. Attempts are few and short. */
    private static final int RESERVED_BYTES = 256;

    private static final int RECORDS_PER_MESSAGE = 3;
    /** Share of a file that reserved ids may use at its compaction; the latest to end are kept. */
    private static final double RESERVED_SHARE = 0.1;

    private static final int RESERVED_ID_BYTES = 2 * Long.BYTES;
    /** Maximum number of ids in a record, which the reader bounds. */
    private static final int MAX_RESERVED_PER_RECORD = 4096;

    static final byte ACCEPTED = 1;
    static final byte ATTEMPT_BEGUN = 2;
    static final byte ATTEMPT_ENDED = 3;
    static final byte NOTICE_DUE = 4;
    static final byte COMPLETED = 5;
    static final byte DESTINATION_STATE = 6;
    /**
     * The first record of a file since format 2, which holds the format. Code of format 1 skips it, like every record
     * of an unknown id, so the previous release can read these files.
     */
    static final byte HEADER = 7;
    /** Time up to which an ending process has recorded the outcomes of all its calls. Older code skips it as well. */
    static final byte RECORDED_UNTIL = 8;
    /** Ids that are not accepted again until a time of their own, by hash. Older code skips it. */
    static final byte RESERVED_IDS = 9;
    /** The format that this code writes, and the latest that it reads. */
    static final int VERSION = 2;

    private final Path folder;
    private final long diskBytes;
    private final Map<String, JournaledMessage> open = new LinkedHashMap<>();
    private final List<PredecessorJournal> predecessors = new ArrayList<>();
    /** Messages completed here while a predecessor's file may still contain them. */
    private final Set<String> completed = new HashSet<>();

    private final ReservedIds reservedIds = new ReservedIds();

    private Path path;
    private ProcessLock lock;
    private long maxFileBytes;
    private FileChannel file;
    /**
     * A spare descriptor for the file of a compaction: clients and calls may be using all others, and what cannot be
     * recorded can be neither accepted nor tried. It holds the folder open; null if none was available.
     */
    private FileChannel spareDescriptor;

    private long fileSize;
    private long openBytes;
    /** A record could not be written. The file is incomplete until it is rewritten. */
    private boolean incomplete;
    /** The successor reads this file. */
    private boolean handingOver;

    /** Creates a journal without opening it. No file is touched. */
    Journal(final Path folder, final long diskBytes) {
        this.folder = folder;
        this.diskBytes = diskBytes;
        this.maxFileBytes = (long) (FILE_SHARE * diskBytes);
    }

    /** Opens or creates the journal of a folder and reads the open messages. */
    static Journal open(final Path folder, final long diskBytes) throws IOException {
        final Journal journal = new Journal(folder, diskBytes);
        journal.open();
        return journal;
    }

    /** Opens the first file that no living process writes, and starts reading all others. */
    void open() throws IOException {
        Files.createDirectories(folder);
        for (int number = 0; number < MAX_FILES; number++) {
            final Path next = numbered(number);
            final ProcessLock nextLock = new ProcessLock(folder.resolve(next.getFileName() + ".lock"));
            if (path == null && nextLock.tryLock()) {
                path = next;
                lock = nextLock;
            } else if (Files.exists(next)) {
                predecessors.add(new PredecessorJournal(next, nextLock));
            } else {
                nextLock.close();
            }
        }
        if (path == null) {
            throw new IOException("all journals in " + folder + " are in use");
        }
        // Left by a kill during a compaction; the old file is still complete.
        Files.deleteIfExists(nextPath());
        removeUnfinished();
        if (predecessors.isEmpty() && !Files.exists(path)) {
            Log.event(
                    "journal_begun",
                    "msg",
                    "no journal in " + folder + ": no messages to resume (a first start,"
                            + " or a power loss, after which the folder is empty)");
        }
        file = FileChannel.open(path, StandardOpenOption.CREATE, StandardOpenOption.READ, StandardOpenOption.WRITE);
        load();
        reserveDescriptor();
    }

    private Path numbered(final int number) {
        return folder.resolve(number == 0 ? FILE : FILE + "." + number);
    }

    /** Removes files that killed compactions of other processes left without their journal. */
    private void removeUnfinished() throws IOException {
        for (int number = 0; number < MAX_FILES; number++) {
            final Path one = numbered(number);
            if (!one.equals(path) && !Files.exists(one)) {
                Files.deleteIfExists(nextOf(one));
            }
        }
    }

    /**
     * Copies what follows a record that failed its check to {@code journal.bad} for the operators, as far as the
     * folder's limit allows beside the file of a compaction. Returns the copy's name, or why there is none.
     */
    private String copyBadRecords(final long from, final long dropped) {
        try {
            long used = 0;
            try (var files = Files.list(folder)) {
                for (final Path one : (Iterable<Path>) files::iterator) {
                    used += (Files.size(one) + BLOCK_BYTES - 1) / BLOCK_BYTES * BLOCK_BYTES;
                }
            }
            final long room = (diskBytes - used - maxFileBytes) / BLOCK_BYTES * BLOCK_BYTES;
            final long bytes = Math.min(dropped, room);
            if (bytes <= 0) {
                return "none: no space within disk_mb";
            }
            final ByteBuffer bad = ByteBuffer.allocate((int) bytes);
            while (bad.hasRemaining() && file.read(bad, from + bad.position()) >= 0) {
                continue;
            }
            bad.flip();
            Files.write(folder.resolve(FILE + BAD_SUFFIX), java.util.Arrays.copyOf(bad.array(), bad.limit()));
            return FILE + BAD_SUFFIX + (bytes < dropped ? " (first " + bytes + " bytes)" : "");
        } catch (final IOException e) {
            return "none: " + e.getMessage();
        }
    }

    private Path nextPath() {
        return nextOf(path);
    }

    private static Path nextOf(final Path journal) {
        return journal.resolveSibling(journal.getFileName() + NEXT_SUFFIX);
    }

    private void load() throws IOException {
        final JournalReader reader = new JournalReader(file);
        reader.read();
        fileSize = reader.position();
        // A kill during a write leaves a partial record. Nothing was answered or sent because of it.
        if (fileSize < file.size()) {
            final long dropped = file.size() - fileSize;
            final String copy = reader.tail() == JournalReader.Tail.TORN ? "none" : copyBadRecords(fileSize, dropped);
            Log.event(
                    "journal_recovered",
                    "file",
                    path.getFileName().toString(),
                    "records",
                    reader.records(),
                    "kept_bytes",
                    fileSize,
                    "dropped_bytes",
                    dropped,
                    "reason",
                    reader.tail().name().toLowerCase(java.util.Locale.ROOT),
                    "copy",
                    copy);
            file.truncate(fileSize);
        }
        if (fileSize == 0) {
            write(file, header(), 0);
            fileSize = file.size();
        }
        open.putAll(reader.openMessages());
        reader.reservedIds().forEach(reservedIds::reserve);
        openBytes = open.values().stream().mapToLong(Journal::bytes).sum();
        if (!predecessors.isEmpty()) {
            completed.addAll(reader.completed());
        }
    }

    // ---------------------------------------------------------------- earlier processes

    /**
     * News from the files of earlier processes. {@code takenOver}: messages that this process has taken over. {@code complete}:
     * messages of this process that were completed there. {@code states}: destination states.
     */
    record PredecessorUpdate(
            List<JournaledMessage> takenOver, List<String> completed, List<Courier.DestinationState> states) {}

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
        final PredecessorUpdate update = new PredecessorUpdate(new ArrayList<>(), new ArrayList<>(), new ArrayList<>());
        // All are read before anything is taken over: a later one may have a message of an earlier one in flight.
        final List<PredecessorJournal> read = new ArrayList<>();
        final List<PredecessorJournal> withNews = new ArrayList<>();
        for (final PredecessorJournal predecessor : predecessors) {
            try {
                if (predecessor.poll()) {
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
        }
        return update;
    }

    private void removeIfGone(final PredecessorJournal predecessor) {
        if (!predecessor.isGone() || !recordReservedIds(predecessor)) {
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
        reader.reservedIds().forEach(reservedIds::reserve);
        for (final Courier.DestinationState state : predecessor.takeStates()) {
            update.states().add(state.withCallsInFlight(predecessorCalls(state.destination())));
        }
        for (final JournaledMessage message : reader.openMessages().values()) {
            final JournaledMessage ownCopy = open.get(message.id);
            // A message with a call in flight belongs to the earlier process until that has ended the call or is gone.
            final boolean free = !message.isInFlight() || predecessor.isGone();
            if (free
                    && !isSuperseded(message, predecessor)
                    && !completed.contains(message.id)
                    && (ownCopy == null || message != ownCopy && message.isAheadOf(ownCopy))) {
                adopt(message);
                update.takenOver().add(message);
            }
        }
        open.keySet().stream().filter(reader.completed()::contains).forEach(update.completed()::add);
        completed.addAll(reader.completed());
    }

    /** Records the ids that an earlier process reserved, before its file is removed; false if that failed. */
    private boolean recordReservedIds(final PredecessorJournal predecessor) {
        reservedRecords(predecessor.reader().reservedIds()).forEach(this::append);
        return !incomplete;
    }

    /** Records a message of an earlier process as this process's, with its attempts. It cannot be refused. */
    private void adopt(final JournaledMessage message) {
        final JournaledMessage before = open.put(message.id, message);
        openBytes += bytes(message) - (before == null ? 0 : bytes(before));
        records(message).forEach(this::append);
    }

    /**
     * Prepares the handover: this process only finishes its calls, and its successor reads the open messages from a
     * compacted file.
     */
    void handOver(final List<Courier.DestinationState> states) {
        try {
            compact();
        } catch (final IOException e) {
            Log.info("journal: cannot be rewritten: " + e.getMessage());
        }
        // From here on the successor reads this very file. It is appended to, but not rewritten.
        handingOver = true;
        maxFileBytes = (long) (HANDOVER_FILE_SHARE * diskBytes);
        states.forEach(this::recordState);
    }

    /** Records for the successor the time up to which the outcomes of all calls are recorded. */
    void recordProgress(final long wallUs) {
        append(record(RECORDED_UNTIL, "", out -> out.writeLong(wallUs)));
    }

    /** Records the state of a destination for the successor. */
    void recordState(final Courier.DestinationState state) {
        append(record(DESTINATION_STATE, "", out -> {
            out.writeLong(state.destination());
            out.writeInt(state.callsInFlight());
            out.writeInt(state.circuit().ordinal());
            out.writeLong(state.waitUntilUs());
            out.writeLong(state.pauseUntilUs());
            out.writeLong(state.troubleSinceUs());
            out.writeLong(state.slowStartSinceUs());
            out.writeDouble(state.slowStartIntervalUs());
            out.writeDouble(state.window());
            out.writeDouble(state.messageRate());
            out.writeDouble(state.callRate());
            out.writeDouble(state.limit());
            out.writeDouble(state.unusedShare());
            out.writeDouble(state.maxSendRate());
            out.writeDouble(state.pace());
        }));
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

    /** True if a message of that id was accepted so recently that its call may still be executed. */
    boolean isReserved(final String id, final long nowWallUs) {
        return reservedIds.isReserved(id, nowWallUs);
    }

    /** Forgets the reserved ids whose time is over; returns how many are left. */
    int removeExpiredIds(final long nowWallUs) {
        reservedIds.removeExpired(nowWallUs);
        return reservedIds.size();
    }

    /** Records an accepted message. Returns false, and accepts nothing, if there is no space for it. */
    boolean accept(final JournaledMessage message) {
        final long bytes = bytes(message);
        if (open.containsKey(message.id)
                || reservedIds.isFull()
                || openBytes + bytes > MESSAGE_SHARE * maxFileBytes
                || !append(acceptedRecord(message))) {
            return false;
        }
        open.put(message.id, message);
        openBytes += bytes;
        reservedIds.reserve(ReservedIds.hash(message.id), message.idReservedUntilWallUs());
        return true;
    }

    /** Records an attempt before the first byte of its call. If this returns false, the attempt may not be made. */
    boolean beginAttempt(final JournaledMessage message, final long wallUs, final String zone) {
        if (!append(record(ATTEMPT_BEGUN, message.id, out -> {
            out.writeLong(wallUs);
            out.writeUTF(zone);
        }))) {
            return false;
        }
        message.beginAttempt(wallUs, zone);
        return true;
    }

    /** Records the outcome of an attempt. */
    void endAttempt(final JournaledMessage message, final boolean neverExecuted) {
        message.endAttempt(neverExecuted);
        append(record(ATTEMPT_ENDED, message.id, out -> out.writeBoolean(neverExecuted)));
    }

    /** Records that a message has ended and only its notice is outstanding. */
    void recordNotice(final JournaledMessage message, final JournaledMessage.Notice notice) {
        final boolean counted = open.containsKey(message.id);
        final long before = bytes(message);
        message.setNotice(notice);
        openBytes -= counted ? before - bytes(message) : 0;
        append(noticeRecord(message));
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
    }

    private void complete(final String id, final boolean discarded) {
        final JournaledMessage message = open.remove(id);
        if (message != null) {
            openBytes -= bytes(message);
            if (!predecessors.isEmpty()) {
                completed.add(id);
            }
            append(record(COMPLETED, id, out -> out.writeBoolean(discarded)));
        }
    }

    /** Records of reserved ids, the latest to end first, as many as have space. */
    private List<ByteBuffer> reservedRecords(final ReservedIds ids) {
        final List<long[]> entries = new ArrayList<>();
        ids.forEach((hash, until) -> entries.add(new long[] {hash, until}));
        entries.sort(Comparator.comparingLong((long[] entry) -> entry[1]).reversed());
        final int count = (int) Math.min(entries.size(), RESERVED_SHARE * maxFileBytes / RESERVED_ID_BYTES);
        final List<ByteBuffer> records = new ArrayList<>();
        for (int from = 0; from < count; from += MAX_RESERVED_PER_RECORD) {
            final List<long[]> part = entries.subList(from, Math.min(count, from + MAX_RESERVED_PER_RECORD));
            records.add(record(RESERVED_IDS, "", out -> {
                for (final long[] entry : part) {
                    out.writeLong(entry[0]);
                    out.writeLong(entry[1]);
                }
            }));
        }
        return records;
    }

    private void reserveDescriptor() {
        try {
            spareDescriptor = FileChannel.open(folder, StandardOpenOption.READ);
        } catch (final IOException e) {
            // The next compaction has no spare descriptor, and logs it if it fails.
            spareDescriptor = null;
        }
    }

    private void releaseDescriptor() throws IOException {
        if (spareDescriptor != null) {
            spareDescriptor.close();
            spareDescriptor = null;
        }
    }

    @Override
    public void close() throws IOException {
        releaseDescriptor();
        file.close();
        lock.close();
    }

    private static long bytes(final JournaledMessage message) {
        final int keyChars = message.idempotencyKey == null ? 0 : message.idempotencyKey.length();
        // A header's characters take at most two bytes each, and each record of a message contains its id.
        return message.body().length
                + 2L * (RECORDS_PER_MESSAGE * message.id.length() + keyChars + message.className.length())
                + RESERVED_BYTES;
    }

    // ---------------------------------------------------------------- writing

    /** Writes the content of a record. */
    private interface Content {
        void write(DataOutputStream out) throws IOException;
    }

    private static ByteBuffer record(final byte type, final String id, final Content content) {
        final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            out.writeLong(0);
            out.writeByte(type);
            out.writeUTF(id);
            content.write(out);
        } catch (final IOException e) {
            throw new IllegalStateException("writing to memory failed", e);
        }
        final ByteBuffer record = ByteBuffer.wrap(bytes.toByteArray());
        final CRC32C crc = new CRC32C();
        crc.update(record.array(), HEAD_BYTES, record.capacity() - HEAD_BYTES);
        record.putInt(0, record.capacity() - HEAD_BYTES).putInt(Integer.BYTES, (int) crc.getValue());
        return record;
    }

    private static ByteBuffer header() {
        return record(HEADER, "", out -> out.writeInt(VERSION));
    }

    /** A message with its finished attempts, so that one record is enough after a compaction. */
    private static ByteBuffer acceptedRecord(final JournaledMessage message) {
        return record(ACCEPTED, message.id, out -> {
            out.writeUTF(message.className);
            out.writeBoolean(message.idempotencyKey != null);
            out.writeUTF(message.idempotencyKey == null ? "" : message.idempotencyKey);
            out.writeLong(message.destination);
            out.writeLong(message.validUntilWallUs);
            out.writeInt(message.body().length);
            out.write(message.body());
            out.writeInt(message.attempts() - (message.isInFlight() ? 1 : 0));
            out.writeLong(message.firstExecutionWallUs());
            out.writeUTF(message.executionZone());
        });
    }

    /** All records of a message. */
    private static List<ByteBuffer> records(final JournaledMessage message) {
        final List<ByteBuffer> records = new ArrayList<>();
        records.add(acceptedRecord(message));
        if (message.isInFlight()) {
            records.add(record(ATTEMPT_BEGUN, message.id, out -> {
                out.writeLong(message.attemptBegunWallUs());
                out.writeUTF(message.attemptZone());
            }));
        }
        if (message.notice() != null) {
            records.add(noticeRecord(message));
        }
        return records;
    }

    private static ByteBuffer noticeRecord(final JournaledMessage message) {
        return record(NOTICE_DUE, message.id, out -> {
            out.writeBoolean(message.notice().failed());
            out.writeLong(message.notice().retryAfterMs());
        });
    }

    private boolean append(final ByteBuffer record) {
        try {
            if (handingOver && (incomplete || fileSize + record.capacity() > maxFileBytes)) {
                throw new IOException("no space is left for an ending process");
            }
            if (incomplete || fileSize + record.capacity() > maxFileBytes) {
                compact();
            }
            write(file, record, fileSize);
            fileSize += record.capacity();
            return true;
        } catch (final IOException e) {
            if (!incomplete) {
                Log.info("journal: cannot write: " + e.getMessage());
            }
            incomplete = true;
            return false;
        }
    }

    private static void write(final FileChannel to, final ByteBuffer record, final long at) throws IOException {
        long position = at;
        while (record.hasRemaining()) {
            position += to.write(record, position);
        }
    }

    private void compact() throws IOException {
        releaseDescriptor();
        try {
            rewrite();
        } finally {
            reserveDescriptor();
        }
    }

    /** Writes the open messages to a new file and replaces the old one atomically. */
    private void rewrite() throws IOException {
        final Path next = nextPath();
        final FileChannel fresh = FileChannel.open(
                next,
                StandardOpenOption.CREATE,
                StandardOpenOption.TRUNCATE_EXISTING,
                StandardOpenOption.READ,
                StandardOpenOption.WRITE);
        long written = 0;
        try {
            written = copy(fresh, header(), written);
            for (final ByteBuffer record : reservedRecords(reservedIds)) {
                written = copy(fresh, record, written);
            }
            for (final JournaledMessage message : open.values()) {
                for (final ByteBuffer record : records(message)) {
                    written = copy(fresh, record, written);
                }
            }
            for (final String id : completed) {
                // A new message of that id may have been accepted since, which is still open.
                written = open.containsKey(id)
                        ? written
                        : copy(fresh, record(COMPLETED, id, out -> out.writeBoolean(false)), written);
            }
            Files.move(next, path, StandardCopyOption.ATOMIC_MOVE);
        } catch (final IOException e) {
            fresh.close();
            Files.deleteIfExists(next);
            throw e;
        }
        file.close();
        file = fresh;
        fileSize = written;
        incomplete = false;
    }

    private static long copy(final FileChannel to, final ByteBuffer record, final long at) throws IOException {
        write(to, record, at);
        return at + record.capacity();
    }
}
