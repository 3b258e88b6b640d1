package driftchute.fleet.lane;

/** What destinations take, as this courier knows it. */
public interface Capacity {
    /** Messages a second from all couriers; 0: no limit is known. */
    double limit(long destination);
}
