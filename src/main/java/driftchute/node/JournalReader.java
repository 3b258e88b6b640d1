package driftchute.node;

import driftchute.Courier;
import java.io.ByteArrayInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.zip.CRC32C;

/**
 * Reads the complete records of a journal file, and continues when the file has grown, since its process may still be
 * writing.
 */
final class JournalReader {
    /**
     * What follows the last complete record: nothing, a record cut short by the file's end, bytes that fail a check, or
     * a later format. Logged by name.
     */
    enum Tail {
        WHOLE,
        TORN,
        CORRUPT,
        FUTURE
    }

    /** State of the endpoint of that name, which has a route of its own. */
    record NamedState(String endpoint, Courier.DestinationState state) {}

    private static final int MAX_RECORD_BYTES = 1 << 17;
    /** The writer never recorded this time; its release does not support it. */
    static final long NEVER_RECORDED = -1;

    private final FileChannel file;
    private final Map<String, JournaledMessage> open = new LinkedHashMap<>();
    private final Set<String> completed = new HashSet<>();
    private final List<Courier.DestinationState> states = new ArrayList<>();
    private final List<NamedState> endpointStates = new ArrayList<>();
    private long position;
    private int records;
    private Tail tail = Tail.WHOLE;
    /** Format of the file: 1 for files without a header record, otherwise as in the header. */
    private int version = 1;

    private long recordedUntilWallUs = NEVER_RECORDED;
    private final ReservedIds reservedIds = new ReservedIds();
    private final Predicate<String> isRepeatable;
    /** Ids of messages that may not take effect twice, read since the last call, by hash. */
    private final Set<Long> unrepeatableIds = new LinkedHashSet<>();

    /** Reads a file of which all messages count as such that may not take effect twice. */
    JournalReader(final FileChannel file) {
        this(file, className -> false);
    }

    /** {@code isRepeatable}: whether messages of a class may take effect twice. */
    JournalReader(final FileChannel file, final Predicate<String> isRepeatable) {
        this.file = file;
        this.isRepeatable = isRepeatable;
    }

    /** Reads the complete records. Returns false if there was nothing new. */
    boolean read() throws IOException {
        final long fromPosition = position;
        final ByteBuffer all = ByteBuffer.allocate((int) Math.max(0, file.size() - position));
        while (all.hasRemaining() && file.read(all, position + all.position()) >= 0) {
            continue;
        }
        all.flip();
        tail = all.hasRemaining() ? Tail.TORN : Tail.WHOLE;
        while (all.remaining() >= JournalRecords.HEAD_BYTES) {
            final int length = all.getInt(all.position());
            final int start = all.position() + JournalRecords.HEAD_BYTES;
            if (length <= 0 || length > MAX_RECORD_BYTES) {
                tail = Tail.CORRUPT;
                break;
            }
            if (length > all.limit() - start) {
                tail = Tail.TORN;
                break;
            }
            final CRC32C crc = new CRC32C();
            crc.update(all.array(), start, length);
            if ((int) crc.getValue() != all.getInt(all.position() + Integer.BYTES)) {
                tail = Tail.CORRUPT;
                break;
            }
            apply(new DataInputStream(new ByteArrayInputStream(all.array(), start, length)));
            if (version > JournalRecords.VERSION) {
                tail = Tail.FUTURE;
                break;
            }
            records++;
            all.position(start + length);
            tail = all.hasRemaining() ? Tail.TORN : Tail.WHOLE;
        }
        position += all.position();
        return position > fromPosition;
    }

    /** Number of complete, checked records read. */
    int records() {
        return records;
    }

    /**
     * What followed {@link #position()} at the last read. A record that extends past the file's end is {@link
     * Tail#TORN} (a kill during its write). A record with an impossible length or a wrong CRC32C, although all its
     * bytes are there, is {@link Tail#CORRUPT}. A file whose header names a later format than this code's is {@link
     * Tail#FUTURE} from its header on.
     */
    Tail tail() {
        return tail;
    }

    /** The file's format according to its header; 1 if it has none. */
    int version() {
        return version;
    }

    /** End of the complete records, bytes. */
    long position() {
        return position;
    }

    /** The open messages and unconfirmed notices, in the order of acceptance. */
    Map<String, JournaledMessage> openMessages() {
        return open;
    }

    /** Ids of the messages completed in the file, except those accepted again after that. */
    Set<String> completed() {
        return completed;
    }

    /** Ids that may not be accepted again yet: of the messages in the file, and of earlier ones. */
    ReservedIds reservedIds() {
        return reservedIds;
    }

    /** Ids of messages that may not take effect twice, by hash, in the order of acceptance, read since the last call. */
    List<Long> takeUnrepeatableIds() {
        final List<Long> all = List.copyOf(unrepeatableIds);
        unrepeatableIds.clear();
        return all;
    }

    /** The destination states read since the last call. */
    List<Courier.DestinationState> takeStates() {
        final List<Courier.DestinationState> all = List.copyOf(states);
        states.clear();
        return all;
    }

    /** The states of endpoints with routes of their own read since the last call. */
    List<NamedState> takeEndpointStates() {
        final List<NamedState> all = List.copyOf(endpointStates);
        endpointStates.clear();
        return all;
    }

    /**
     * Time up to which the writer has recorded the outcomes of all its calls, Unix us; {@link #NEVER_RECORDED} if it never
     * did.
     */
    long recordedUntilWallUs() {
        return recordedUntilWallUs;
    }

    private void apply(final DataInputStream in) throws IOException {
        final byte type = in.readByte();
        final String id = in.readUTF();
        final JournaledMessage message = open.get(id);
        if (type == JournalRecords.HEADER) {
            version = in.readInt();
        } else if (type == JournalRecords.ACCEPTED) {
            final JournaledMessage accepted = readAccepted(id, in);
            open.put(id, accepted);
            completed.remove(id);
            reservedIds.reserve(ReservedIds.hash(id), accepted.idReservedUntilWallUs());
            if (!isRepeatable.test(accepted.className)) {
                unrepeatableIds.add(ReservedIds.hash(id));
            }
        } else if (type == JournalRecords.COMPLETED) {
            open.remove(id);
            completed.add(id);
            if (in.available() > 0 && in.readBoolean()) {
                reservedIds.release(ReservedIds.hash(id));
                unrepeatableIds.remove(ReservedIds.hash(id));
            }
        } else if (type == JournalRecords.RESERVED_IDS) {
            while (in.available() > 0) {
                reservedIds.reserve(in.readLong(), in.readLong());
            }
        } else if (type == JournalRecords.UNREPEATABLE_IDS) {
            while (in.available() > 0) {
                unrepeatableIds.add(in.readLong());
            }
        } else if (type == JournalRecords.ENDPOINT_STATE) {
            endpointStates.add(new NamedState(in.readUTF(), readState(in)));
        } else if (type == JournalRecords.RECORDED_UNTIL) {
            recordedUntilWallUs = in.readLong();
        } else if (type == JournalRecords.DESTINATION_STATE) {
            states.add(readState(in));
        } else if (message != null) {
            switch (type) {
                case JournalRecords.ATTEMPT_BEGUN -> message.beginAttempt(in.readLong(), in.readUTF());
                case JournalRecords.ATTEMPT_ENDED -> message.endAttempt(in.readBoolean());
                case JournalRecords.NOTICE_DUE ->
                    message.setNotice(new JournaledMessage.Notice(in.readBoolean(), in.readLong()));
                default -> Log.info("journal: unknown record " + type);
            }
        }
    }

    private static JournaledMessage readAccepted(final String id, final DataInputStream in) throws IOException {
        final String className = in.readUTF();
        final boolean hasKey = in.readBoolean();
        final String key = in.readUTF();
        final long destination = in.readLong();
        final long validUntilWallUs = in.readLong();
        final byte[] body = in.readNBytes(in.readInt());
        final JournaledMessage taken =
                new JournaledMessage(id, className, hasKey ? key : null, destination, validUntilWallUs, body);
        taken.restoreAttempts(in.readInt(), in.readLong(), in.readUTF());
        return taken;
    }

    private static Courier.DestinationState readState(final DataInputStream in) throws IOException {
        return new Courier.DestinationState(
                in.readLong(),
                in.readInt(),
                Courier.CircuitState.values()[in.readInt()],
                in.readLong(),
                in.readLong(),
                in.readLong(),
                in.readLong(),
                in.readDouble(),
                in.readDouble(),
                in.readDouble(),
                in.readDouble(),
                in.readDouble(),
                in.readDouble(),
                in.readDouble(),
                in.readDouble());
    }
}
