package driftchute.fleet.lane;

/** The fleet's level for a destination, valid until that time on this process's monotonic clock, us. */
public record ReceivedLevel(SheddingLevel level, long untilUs) {}
