package driftchute.fleet;

import java.util.List;

/** A part that gossips: it fills the room that is left in datagrams that go anyway. */
public interface Rider {
    /** Messages for that courier that take at most {@code room} bytes with their prefixes; often none. */
    List<Message> ride(Moment now, int peer, int room);
}
