package driftchute.fleet;

import java.util.List;

/** A component that gossips: it fills the space left in datagrams that are sent anyway. */
public interface GossipSource {
    /** Messages for that courier that take at most {@code room} bytes with their prefixes; often none. */
    List<Message> gossip(ClockReading now, int peer, int room);
}
