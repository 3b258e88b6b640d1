package driftchute.fleet.shared;

import driftchute.fleet.ClockReading;
import driftchute.fleet.LeasedRole;
import driftchute.fleet.lease.RoleLeases;
import java.util.Optional;
import java.util.OptionalLong;

/** One role held by leases, for the component that acts under it. */
record RoleLease(RoleLeases leases, int role) implements LeasedRole {
    @Override
    public OptionalLong held(final ClockReading now) {
        return leases.held(now, role);
    }

    @Override
    public Optional<Holder> holder(final ClockReading now) {
        return leases.holder(now, role).map(holding -> new Holder(holding.courier(), holding.token()));
    }

    @Override
    public boolean accepts(final long token) {
        return leases.accepts(role, token);
    }
}
