package driftchute.fleet.lane;

import driftchute.fleet.MalformedMessageException;
import driftchute.fleet.Varint;
import java.nio.ByteBuffer;

/** Reads bounded fields of lane messages. */
final class LaneFields {
    private LaneFields() {}

    /** A number of lanes, 1 to {@link Lanes#MAX}. */
    static int count(final ByteBuffer from) throws MalformedMessageException {
        final int count = from.get();
        if (count < 1 || count > Lanes.MAX) {
            throw new MalformedMessageException(count + " lanes are out of bounds");
        }
        return count;
    }

    /** A number up to a bound. */
    static long atMost(final long most, final ByteBuffer from) throws MalformedMessageException {
        final long value = Varint.get(from);
        if (value > most) {
            throw new MalformedMessageException(value + " exceeds the maximum of " + most);
        }
        return value;
    }
}
