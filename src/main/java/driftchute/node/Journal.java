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
    private static final String NEXT = ".next";
    private static final String BAD = ".bad";
    /** Disk usage is counted in blocks of this many bytes (DEPLOY-irishead.md). */
    private static final long BLOCK = 512;

    private static final int HEAD_BYTES = 2 * Integer.BYTES;
    /** Maximum number of journal files. An upgrade needs two, and another one directly after it a third. */
    private static final int MAX_FILES = 8;
    /** Share of the disk for one file. With the file that replaces it, at most four fifths are used. */
    private static final double FILE_SHARE = 0.4;
    /** The same for an ending process while its successor writes its own file. */
    private static final double LEAVING_SHARE = 0.3;
    /**
     * Share of a file that accepted messages may use. The rest is for the records about them, which must always fit.
     */
    private static final double TAKE_SHARE = 0.6;
    /** Space reserved for the attempts and the notice of a message, bytes. Attempts are few and short. */
    private static final int FATE_BYTES = 256;

    private static final int RECORDS = 3;

    static final byte TAKEN = 1;
    static final byte BEGUN = 2;
    static final byte SETTLED = 3;
    static final byte OWED = 4;
    static final byte OVER = 5;
    static final byte MEMORY = 6;
    /**
     * The first record of a file since format 2, which holds the format. Code of format 1 skips it, like every record
     * of an unknown id, so the previous release can read these files.
     */
    static final byte HEADER = 7;
    /** Time up to which an ending process has recorded the outcomes of all its calls. Older code skips it as well. */
    static final byte HEARD = 8;
    /** The format that this code writes, and the latest that it reads. */
    static final int VERSION = 2;

    private final Path folder;
    private final long diskBytes;
    private final Map<String, Held> live = new LinkedHashMap<>();
    private final List<Predecessor> predecessors = new ArrayList<>();
    /** Messages completed here while a predecessor's file may still contain them. */
    private final Set<String> ended = new HashSet<>();

    private Path path;
    private Lock lock;
    private long fileBytes;
    private FileChannel file;
    /**
     * A spare descriptor for the file of a compaction: clients and calls may be using all others, and what cannot be
     * recorded can be neither accepted nor tried. It holds the folder open; null if none was available.
     */
    private FileChannel spare;

    private long size;
    private long liveBytes;
    /** A record could not be written. The file is incomplete until it is rewritten. */
    private boolean behind;
    /** The successor reads this file. */
    private boolean leaving;

    /** Creates a journal without opening it. No file is touched. */
    Journal(final Path folder, final long diskBytes) {
        this.folder = folder;
        this.diskBytes = diskBytes;
        this.fileBytes = (long) (FILE_SHARE * diskBytes);
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
            final Lock nextLock = new Lock(folder.resolve(next.getFileName() + ".lock"));
            if (path == null && nextLock.take()) {
                path = next;
                lock = nextLock;
            } else if (Files.exists(next)) {
                predecessors.add(new Predecessor(next, nextLock));
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
        keepSpare();
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
    private String keepBad(final long from, final long dropped) {
        try {
            long used = 0;
            try (var files = Files.list(folder)) {
                for (final Path one : (Iterable<Path>) files::iterator) {
                    used += (Files.size(one) + BLOCK - 1) / BLOCK * BLOCK;
                }
            }
            final long room = (diskBytes - used - fileBytes) / BLOCK * BLOCK;
            final long bytes = Math.min(dropped, room);
            if (bytes <= 0) {
                return "none: no space within disk_mb";
            }
            final ByteBuffer bad = ByteBuffer.allocate((int) bytes);
            while (bad.hasRemaining() && file.read(bad, from + bad.position()) >= 0) {
                continue;
            }
            bad.flip();
            Files.write(folder.resolve(FILE + BAD), java.util.Arrays.copyOf(bad.array(), bad.limit()));
            return FILE + BAD + (bytes < dropped ? " (first " + bytes + " bytes)" : "");
        } catch (final IOException e) {
            return "none: " + e.getMessage();
        }
    }

    private Path nextPath() {
        return nextOf(path);
    }

    private static Path nextOf(final Path journal) {
        return journal.resolveSibling(journal.getFileName() + NEXT);
    }

    private void load() throws IOException {
        final JournalReader reader = new JournalReader(file);
        reader.read();
        size = reader.position();
        // A kill during a write leaves a partial record. Nothing was answered or sent because of it.
        if (size < file.size()) {
            final long dropped = file.size() - size;
            final String copy = reader.tail() == JournalReader.Tail.TORN ? "none" : keepBad(size, dropped);
            Log.event(
                    "journal_recovered",
                    "file",
                    path.getFileName().toString(),
                    "records",
                    reader.records(),
                    "kept_bytes",
                    size,
                    "dropped_bytes",
                    dropped,
                    "reason",
                    reader.tail().name().toLowerCase(java.util.Locale.ROOT),
                    "copy",
                    copy);
            file.truncate(size);
        }
        if (size == 0) {
            write(file, header(), 0);
            size = file.size();
        }
        live.putAll(reader.live());
        liveBytes = live.values().stream().mapToLong(Journal::bytes).sum();
        if (!predecessors.isEmpty()) {
            ended.addAll(reader.ended());
        }
    }

    // ---------------------------------------------------------------- earlier processes

    /**
     * News from the files of earlier processes. {@code mine}: messages that this process has taken over. {@code over}:
     * messages of this process that were completed there. {@code memories}: destination states.
     */
    record News(List<Held> mine, List<String> over, List<Courier.DestinationState> memories) {}

    /** True while an earlier process may still be running, or its file is not completely taken over. */
    boolean hasPredecessors() {
        return !predecessors.isEmpty();
    }

    /** Calls that earlier processes still have in flight at a destination. */
    int callsOutElsewhere(final long destination) {
        return predecessors.stream()
                .mapToInt(predecessor -> predecessor.callsOut(destination))
                .sum();
    }

    /**
     * Time up to which all answers to the calls of earlier processes are known, Unix us; {@code Long.MAX_VALUE} if they
     * have none in flight.
     */
    long heardWallUs() {
        return predecessors.stream().mapToLong(Predecessor::heardWallUs).min().orElse(Long.MAX_VALUE);
    }

    /** Reads more of the files of earlier processes, and records the messages taken over from them. */
    News poll() {
        final News news = new News(new ArrayList<>(), new ArrayList<>(), new ArrayList<>());
        for (final Predecessor predecessor : List.copyOf(predecessors)) {
            try {
                if (predecessor.poll()) {
                    takeUp(predecessor, news);
                }
                if (predecessor.isGone() && !behind) {
                    predecessor.remove();
                    predecessors.remove(predecessor);
                    removeUnfinished();
                }
            } catch (final IOException e) {
                Log.info("journal: cannot read the journal of an earlier process: " + e.getMessage());
            }
        }
        if (predecessors.isEmpty()) {
            ended.clear();
        }
        return news;
    }

    private void takeUp(final Predecessor predecessor, final News news) {
        final JournalReader reader = predecessor.reader();
        for (final Courier.DestinationState memory : predecessor.takeMemories()) {
            news.memories().add(memory.withCallsInFlight(callsOutElsewhere(memory.destination())));
        }
        for (final Held held : reader.live().values()) {
            final Held own = live.get(held.id);
            // A message with a call in flight belongs to the earlier process until that has ended the call or is gone.
            final boolean free = !held.isOut() || predecessor.isGone();
            if (free && !ended.contains(held.id) && (own == null || held != own && held.isAheadOf(own))) {
                adopt(held);
                news.mine().add(held);
            }
        }
        live.keySet().stream().filter(reader.ended()::contains).forEach(news.over()::add);
        ended.addAll(reader.ended());
    }

    /** Records a message of an earlier process as this process's, with its attempts. It cannot be refused. */
    private void adopt(final Held held) {
        final Held before = live.put(held.id, held);
        liveBytes += bytes(held) - (before == null ? 0 : bytes(before));
        records(held).forEach(this::append);
    }

    /**
     * Prepares the handover: this process only finishes its calls, and its successor reads the open messages from a
     * compacted file.
     */
    void leave(final List<Courier.DestinationState> memories) {
        try {
            compact();
        } catch (final IOException e) {
            Log.info("journal: cannot be rewritten: " + e.getMessage());
        }
        // From here on the successor reads this very file. It is appended to, but not rewritten.
        leaving = true;
        fileBytes = (long) (LEAVING_SHARE * diskBytes);
        memories.forEach(this::remember);
    }

    /** Records for the successor the time up to which the outcomes of all calls are recorded. */
    void heard(final long wallUs) {
        append(record(HEARD, "", out -> out.writeLong(wallUs)));
    }

    /** Records the state of a destination for the successor. */
    void remember(final Courier.DestinationState memory) {
        append(record(MEMORY, "", out -> {
            out.writeLong(memory.destination());
            out.writeInt(memory.callsInFlight());
            out.writeInt(memory.circuit().ordinal());
            out.writeLong(memory.waitUntilUs());
            out.writeLong(memory.pauseUntilUs());
            out.writeLong(memory.troubleSinceUs());
            out.writeLong(memory.slowStartSinceUs());
            out.writeDouble(memory.slowStartIntervalUs());
            out.writeDouble(memory.window());
            out.writeDouble(memory.messageRate());
            out.writeDouble(memory.callRate());
            out.writeDouble(memory.limit());
            out.writeDouble(memory.unusedShare());
            out.writeDouble(memory.maxSendRate());
            out.writeDouble(memory.pace());
        }));
    }

    // ---------------------------------------------------------------- records of messages

    /** The open messages and unconfirmed notices, in the order of acceptance. */
    Collection<Held> live() {
        return List.copyOf(live.values());
    }

    /** Number of open messages and unconfirmed notices. */
    int count() {
        return live.size();
    }

    /**
     * True while a message of that id is open or its notice unconfirmed, here or in an earlier process that has its
     * call in flight.
     */
    boolean holds(final String id) {
        return live.containsKey(id) || predecessors.stream().anyMatch(predecessor -> predecessor.holds(id));
    }

    /** Records an accepted message. Returns false, and accepts nothing, if there is no space for it. */
    boolean take(final Held held) {
        final long bytes = bytes(held);
        if (live.containsKey(held.id) || liveBytes + bytes > TAKE_SHARE * fileBytes || !append(taken(held))) {
            return false;
        }
        live.put(held.id, held);
        liveBytes += bytes;
        return true;
    }

    /** Records an attempt before the first byte of its call. If this returns false, the attempt may not be made. */
    boolean begin(final Held held, final long wallUs, final String zone) {
        if (!append(record(BEGUN, held.id, out -> {
            out.writeLong(wallUs);
            out.writeUTF(zone);
        }))) {
            return false;
        }
        held.begin(wallUs, zone);
        return true;
    }

    /** Records the outcome of an attempt. */
    void settle(final Held held, final boolean neverRan) {
        held.settle(neverRan);
        append(record(SETTLED, held.id, out -> out.writeBoolean(neverRan)));
    }

    /** Records that a message has ended and only its notice is outstanding. */
    void owe(final Held held, final Held.Notice notice) {
        final boolean counted = live.containsKey(held.id);
        final long before = bytes(held);
        held.owe(notice);
        liveBytes -= counted ? before - bytes(held) : 0;
        append(owed(held));
    }

    /** Records that a message is completed. */
    void over(final Held held) {
        over(held.id);
    }

    /** Records that the message of that id is completed. */
    void over(final String id) {
        final Held held = live.remove(id);
        if (held != null) {
            liveBytes -= bytes(held);
            if (!predecessors.isEmpty()) {
                ended.add(id);
            }
            append(record(OVER, id, out -> {}));
        }
    }

    private void keepSpare() {
        try {
            spare = FileChannel.open(folder, StandardOpenOption.READ);
        } catch (final IOException e) {
            // The next compaction has no spare descriptor, and logs it if it fails.
            spare = null;
        }
    }

    private void useSpare() throws IOException {
        if (spare != null) {
            spare.close();
            spare = null;
        }
    }

    @Override
    public void close() throws IOException {
        useSpare();
        file.close();
        lock.close();
    }

    private static long bytes(final Held held) {
        final int keyChars = held.idempotencyKey == null ? 0 : held.idempotencyKey.length();
        // A header's characters take at most two bytes each, and each record of a message contains its id.
        return held.body().length + 2L * (RECORDS * held.id.length() + keyChars + held.className.length()) + FATE_BYTES;
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
    private static ByteBuffer taken(final Held held) {
        return record(TAKEN, held.id, out -> {
            out.writeUTF(held.className);
            out.writeBoolean(held.idempotencyKey != null);
            out.writeUTF(held.idempotencyKey == null ? "" : held.idempotencyKey);
            out.writeLong(held.destination);
            out.writeLong(held.validUntilWallUs);
            out.writeInt(held.body().length);
            out.write(held.body());
            out.writeInt(held.attempts() - (held.isOut() ? 1 : 0));
            out.writeLong(held.firstRunWallUs());
            out.writeUTF(held.runZone());
        });
    }

    /** All records of a message. */
    private static List<ByteBuffer> records(final Held held) {
        final List<ByteBuffer> records = new ArrayList<>();
        records.add(taken(held));
        if (held.isOut()) {
            records.add(record(BEGUN, held.id, out -> {
                out.writeLong(held.outWallUs());
                out.writeUTF(held.outZone());
            }));
        }
        if (held.notice() != null) {
            records.add(owed(held));
        }
        return records;
    }

    private static ByteBuffer owed(final Held held) {
        return record(OWED, held.id, out -> {
            out.writeBoolean(held.notice().failed());
            out.writeLong(held.notice().againMs());
        });
    }

    private boolean append(final ByteBuffer record) {
        try {
            if (leaving && (behind || size + record.capacity() > fileBytes)) {
                throw new IOException("no space is left for an ending process");
            }
            if (behind || size + record.capacity() > fileBytes) {
                compact();
            }
            write(file, record, size);
            size += record.capacity();
            return true;
        } catch (final IOException e) {
            if (!behind) {
                Log.info("journal: cannot write: " + e.getMessage());
            }
            behind = true;
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
        useSpare();
        try {
            writeAnew();
        } finally {
            keepSpare();
        }
    }

    /** Writes the open messages to a new file and replaces the old one atomically. */
    private void writeAnew() throws IOException {
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
            for (final Held held : live.values()) {
                for (final ByteBuffer record : records(held)) {
                    written = copy(fresh, record, written);
                }
            }
            for (final String id : ended) {
                // A new message of that id may have been accepted since, which is still open.
                written = live.containsKey(id) ? written : copy(fresh, record(OVER, id, out -> {}), written);
            }
            Files.move(next, path, StandardCopyOption.ATOMIC_MOVE);
        } catch (final IOException e) {
            fresh.close();
            Files.deleteIfExists(next);
            throw e;
        }
        file.close();
        file = fresh;
        size = written;
        behind = false;
    }

    private static long copy(final FileChannel to, final ByteBuffer record, final long at) throws IOException {
        write(to, record, at);
        return at + record.capacity();
    }
}
