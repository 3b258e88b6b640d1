package driftchute.fleet.lane;

/** The limits of destinations as this courier knows them. */
public interface DestinationLimits {
    /** Messages per second from all couriers; 0 if no limit is known. */
    double limit(long destination);
}
