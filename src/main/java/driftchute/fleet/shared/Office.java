package driftchute.fleet.shared;

import driftchute.fleet.Duty;
import driftchute.fleet.Moment;
import driftchute.fleet.lease.Leases;
import java.util.Optional;
import java.util.OptionalLong;

/** One role held by leases, for the component that acts under it. */
record Office(Leases leases, int duty) implements Duty {
    @Override
    public OptionalLong held(final Moment now) {
        return leases.held(now, duty);
    }

    @Override
    public Optional<Holding> holder(final Moment now) {
        return leases.holder(now, duty).map(holding -> new Holding(holding.courier(), holding.token()));
    }

    @Override
    public boolean accepts(final long token) {
        return leases.accepts(duty, token);
    }
}
