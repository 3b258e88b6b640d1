package driftchute.fleet;

import java.util.List;

/** A component that gossips: it fills the space left in datagrams that are sent anyway. */
public interface Rider {
    /** Messages for that courier that take at most {@code room} bytes with their prefixes; often none. */
    List<Message> ride(Moment now, int peer, int room);
}
