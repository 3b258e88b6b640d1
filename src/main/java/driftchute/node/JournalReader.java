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
import java.util.List;
import java.util.Map;
import java.util.Set;
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

    private static final int HEAD_BYTES = 2 * Integer.BYTES;
    private static final int MAX_RECORD_BYTES = 1 << 17;
    /** The writer never recorded this time; its release does not support it. */
    static final long NEVER_HEARD = -1;

    private final FileChannel file;
    private final Map<String, Held> live = new LinkedHashMap<>();
    private final Set<String> ended = new HashSet<>();
    private final List<Courier.DestinationState> memories = new ArrayList<>();
    private long position;
    private int records;
    private Tail tail = Tail.WHOLE;
    /** Format of the file: 1 for files without a header record, otherwise as in the header. */
    private int version = 1;

    private long heardWallUs = NEVER_HEARD;

    JournalReader(final FileChannel file) {
        this.file = file;
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
        while (all.remaining() >= HEAD_BYTES) {
            final int length = all.getInt(all.position());
            final int start = all.position() + HEAD_BYTES;
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
            if (version > Journal.VERSION) {
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
    Map<String, Held> live() {
        return live;
    }

    /** Ids of the messages completed in the file, except those accepted again after that. */
    Set<String> ended() {
        return ended;
    }

    /** The destination states read since the last call. */
    List<Courier.DestinationState> takeMemories() {
        final List<Courier.DestinationState> all = List.copyOf(memories);
        memories.clear();
        return all;
    }

    /**
     * Time up to which the writer has recorded the outcomes of all its calls, Unix us; {@link #NEVER_HEARD} if it never
     * did.
     */
    long heardWallUs() {
        return heardWallUs;
    }

    private void apply(final DataInputStream in) throws IOException {
        final byte type = in.readByte();
        final String id = in.readUTF();
        final Held held = live.get(id);
        if (type == Journal.HEADER) {
            version = in.readInt();
        } else if (type == Journal.TAKEN) {
            live.put(id, taken(id, in));
            ended.remove(id);
        } else if (type == Journal.OVER) {
            live.remove(id);
            ended.add(id);
        } else if (type == Journal.HEARD) {
            heardWallUs = in.readLong();
        } else if (type == Journal.MEMORY) {
            memories.add(memory(in));
        } else if (held != null) {
            switch (type) {
                case Journal.BEGUN -> held.begin(in.readLong(), in.readUTF());
                case Journal.SETTLED -> held.settle(in.readBoolean());
                case Journal.OWED -> held.owe(new Held.Notice(in.readBoolean(), in.readLong()));
                default -> Log.info("journal: unknown record " + type);
            }
        }
    }

    private static Held taken(final String id, final DataInputStream in) throws IOException {
        final String className = in.readUTF();
        final boolean keyed = in.readBoolean();
        final String key = in.readUTF();
        final long destination = in.readLong();
        final long validUntilWallUs = in.readLong();
        final byte[] body = in.readNBytes(in.readInt());
        final Held taken = new Held(id, className, keyed ? key : null, destination, validUntilWallUs, body);
        taken.restore(in.readInt(), in.readLong(), in.readUTF());
        return taken;
    }

    private static Courier.DestinationState memory(final DataInputStream in) throws IOException {
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
