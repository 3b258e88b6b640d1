package driftchute.node;

import driftchute.Courier;
import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32C;

/**
 * The records of a journal file, as they are written. Each is preceded by its length and its CRC32C. {@link
 * JournalReader} reads them.
 */
final class JournalRecords {
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
    /** Ids of messages that may not take effect twice, by hash, in the order of acceptance. Older code skips it. */
    static final byte UNREPEATABLE_IDS = 10;
    /** State of an endpoint with a route of its own, by its name. Older code skips it. */
    static final byte ENDPOINT_STATE = 11;
    /** The format that this code writes, and the latest that it reads. */
    static final int VERSION = 2;

    /** Length of a record and its CRC32C, bytes. */
    static final int HEAD_BYTES = 2 * Integer.BYTES;
    /** Maximum size of a reserved id in a file, bytes: its hash and its time. */
    static final int RESERVED_ID_BYTES = 2 * Long.BYTES;

    /** Space reserved for the attempts and the notice of a message, bytes. Attempts are few and short. */
    private static final int RESERVED_BYTES = 256;

    private static final int RECORDS_PER_MESSAGE = 3;
    /** Maximum number of ids in a record, which the reader bounds. */
    private static final int MAX_IDS_PER_RECORD = 4096;

    private JournalRecords() {}

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

    /** The first record of a file. */
    static ByteBuffer header() {
        return record(HEADER, "", out -> out.writeInt(VERSION));
    }

    /** A message with its finished attempts, so that one record is enough after a compaction. */
    static ByteBuffer accepted(final JournaledMessage message) {
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
    static List<ByteBuffer> all(final JournaledMessage message) {
        final List<ByteBuffer> records = new ArrayList<>();
        records.add(accepted(message));
        if (message.isInFlight()) {
            records.add(attemptBegun(message.id, message.attemptBegunWallUs(), message.attemptZone()));
        }
        if (message.notice() != null) {
            records.add(noticeDue(message));
        }
        return records;
    }

    /** A message has ended and only its notice is outstanding. */
    static ByteBuffer noticeDue(final JournaledMessage message) {
        return record(NOTICE_DUE, message.id, out -> {
            out.writeBoolean(message.notice().failed());
            out.writeLong(message.notice().retryAfterMs());
        });
    }

    /** An attempt, recorded before the first byte of its call. */
    static ByteBuffer attemptBegun(final String id, final long wallUs, final String zone) {
        return record(ATTEMPT_BEGUN, id, out -> {
            out.writeLong(wallUs);
            out.writeUTF(zone);
        });
    }

    /** The outcome of an attempt. */
    static ByteBuffer attemptEnded(final String id, final boolean neverExecuted) {
        return record(ATTEMPT_ENDED, id, out -> out.writeBoolean(neverExecuted));
    }

    /** A message is completed, or was discarded: not accepted after all. */
    static ByteBuffer completed(final String id, final boolean discarded) {
        return record(COMPLETED, id, out -> out.writeBoolean(discarded));
    }

    /** Time up to which the outcomes of all calls are recorded, Unix us. */
    static ByteBuffer recordedUntil(final long wallUs) {
        return record(RECORDED_UNTIL, "", out -> out.writeLong(wallUs));
    }

    /** Reserved ids: the hash of each, and until when it is reserved (Unix us). */
    static List<ByteBuffer> reservedIds(final List<long[]> entries) {
        final List<ByteBuffer> records = new ArrayList<>();
        for (int from = 0; from < entries.size(); from += MAX_IDS_PER_RECORD) {
            final List<long[]> part = entries.subList(from, Math.min(entries.size(), from + MAX_IDS_PER_RECORD));
            records.add(record(RESERVED_IDS, "", out -> {
                for (final long[] entry : part) {
                    out.writeLong(entry[0]);
                    out.writeLong(entry[1]);
                }
            }));
        }
        return records;
    }

    /** Ids of messages that may not take effect twice: the hash of each. */
    static List<ByteBuffer> unrepeatableIds(final List<Long> hashes) {
        final List<ByteBuffer> records = new ArrayList<>();
        for (int from = 0; from < hashes.size(); from += MAX_IDS_PER_RECORD) {
            final List<Long> part = hashes.subList(from, Math.min(hashes.size(), from + MAX_IDS_PER_RECORD));
            records.add(record(UNREPEATABLE_IDS, "", out -> {
                for (final long hash : part) {
                    out.writeLong(hash);
                }
            }));
        }
        return records;
    }

    /** What this process has learnt about a destination. */
    static ByteBuffer destinationState(final Courier.DestinationState state) {
        return record(DESTINATION_STATE, "", out -> writeState(state, out));
    }

    /** What this process has learnt about the endpoint of that name, which has a route of its own. */
    static ByteBuffer endpointState(final String endpoint, final Courier.DestinationState state) {
        return record(ENDPOINT_STATE, "", out -> {
            out.writeUTF(endpoint);
            writeState(state, out);
        });
    }

    private static void writeState(final Courier.DestinationState state, final DataOutputStream out)
            throws IOException {
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
    }

    /** Space of all records of an open message, bytes, at most. */
    static long reservedBytes(final JournaledMessage message) {
        final int keyChars = message.idempotencyKey == null ? 0 : message.idempotencyKey.length();
        // A header's characters take at most two bytes each, and each record of a message contains its id.
        return message.body().length
                + 2L * (RECORDS_PER_MESSAGE * message.id.length() + keyChars + message.className.length())
                + RESERVED_BYTES;
    }
}
