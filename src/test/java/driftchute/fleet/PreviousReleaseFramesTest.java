package driftchute.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import driftchute.Courier;
import driftchute.fleet.lane.LaneComponent;
import driftchute.fleet.lane.LaneConfigVersions;
import driftchute.fleet.lane.Lanes;
import driftchute.fleet.lease.RoleLeases;
import driftchute.fleet.membership.Membership;
import driftchute.fleet.ration.RateLeases;
import driftchute.fleet.session.Sessions;
import driftchute.fleet.verdict.HealthVerdicts;
import driftchute.fleet.verdict.VerdictTiming;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

/** Frames written by the release before the names in the code were changed are read, and written alike. */
final class PreviousReleaseFramesTest {
    private static final int EPOCH = 7;
    private static final int TYPE_OFFSET = 5;
    private static final Tier TIER = new Tier(0, 5, EPOCH);
    private static final ClockReading START = new ClockReading(1, 1);

    private static final LeasedRole NO_ROLE = new LeasedRole() {
        @Override
        public OptionalLong held(final ClockReading now) {
            return OptionalLong.empty();
        }

        @Override
        public Optional<Holder> holder(final ClockReading now) {
            return Optional.empty();
        }

        @Override
        public boolean accepts(final long token) {
            return false;
        }
    };

    private static Map<Integer, Message.Reader> readers() {
        final FleetConfig config = new FleetConfig(EPOCH, null, null, null, null, null, null, null, null);
        final Courier.Settings settings = new Courier.Settings(
                5,
                "a",
                false,
                Courier.LimitHint.NONE,
                Courier.ValueDecay.LINEAR,
                List.of(),
                List.of(),
                List.of(),
                new Courier.Guarantees(1, 1, 0, 1, 0),
                new Courier.Limits(1, 1, 1, false, 1, 1, 0));
        final Lanes lanes = Lanes.of(config, settings);
        final List<Component> components = List.of(
                new Membership(TIER, 1_000_000, 1, 1, START, EventLog.NONE, incarnation -> {}),
                new RoleLeases(TIER, List.of("allocator", "trier"), 3_000_000, 1000, 1, START, EventLog.NONE),
                new RateLeases(TIER, config, NO_ROLE, 1, EventLog.NONE),
                new HealthVerdicts(
                        TIER,
                        new VerdictTiming(10_000, 1000, 3000, 1000, VerdictTiming::halfOfAge),
                        NO_ROLE,
                        1,
                        EventLog.NONE),
                new LaneComponent(5, 1_500_000, () -> lanes, new NoAllocator(), destination -> 0, EventLog.NONE),
                new LaneConfigVersions(TIER, lanes, EventLog.NONE),
                new Sessions(TIER, 1, 10_000_000, 1, EventLog.NONE));
        final Map<Integer, Message.Reader> readers = new HashMap<>();
        components.forEach(component -> readers.putAll(component.readers()));
        return readers;
    }

    /** No courier holds the allocator's role. */
    private static final class NoAllocator implements driftchute.fleet.lane.AllocatorRole {
        @Override
        public OptionalLong held(final ClockReading now) {
            return OptionalLong.empty();
        }

        @Override
        public boolean accepts(final long token) {
            return false;
        }

        @Override
        public Optional<Integer> holder(final ClockReading now) {
            return Optional.empty();
        }
    }

    @Test
    void everyMessageTypeIsReadAndWrittenAlike() throws IOException {
        final Map<Integer, Message.Reader> readers = readers();
        final FrameCodec codec = new FrameCodec(EPOCH, readers);
        final Set<Integer> types = new TreeSet<>();
        for (final String line : lines()) {
            final byte[] frame = HexFormat.of().parseHex(line);
            final List<Message> messages = codec.decode(frame);
            assertThat(messages).as(line).hasSize(1);
            assertThat(codec.encode(messages)).as(line).isEqualTo(frame);
            types.add(frame[TYPE_OFFSET] & 0xFF);
        }
        assertThat(types).isEqualTo(new TreeSet<>(readers.keySet()));
        assertThat(codec.drops()).isEmpty();
    }

    private static List<String> lines() throws IOException {
        try (InputStream kept = PreviousReleaseFramesTest.class.getResourceAsStream("/previous-release/frames.hex")) {
            return new String(kept.readAllBytes(), StandardCharsets.US_ASCII)
                    .lines()
                    .toList();
        }
    }
}
