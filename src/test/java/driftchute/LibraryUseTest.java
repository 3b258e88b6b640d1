package driftchute;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** The decisions used as by a host, and the effect of misuse. */
final class LibraryUseTest {
    private final PolicyFixture transport = new PolicyFixture(PolicyFixture.settings());

    @Test
    void aHostDeliversAMessage() {
        final Courier.Actions actions = transport;
        final Courier control = new DeliveryPolicy(PolicyFixture.settings(), 7, actions);
        final long nowUs = transport.nowUs;
        control.onListUpdate(
                nowUs, Courier.Update.WHOLE, List.of(PolicyFixture.endpoint(1, PolicyFixture.DESTINATION, "a")));
        control.onMessage(
                nowUs,
                new Courier.Message("m", 0, -1, null, nowUs + 16 * PolicyFixture.SECOND, PolicyFixture.DESTINATION));
        control.decide(nowUs);
        assertEquals(1, transport.sendCount("m"));
        control.onOutcome(nowUs + 1, new Courier.Outcome("m", Courier.Result.DELIVERED, true, 1, 1, 0, null));
        control.decide(nowUs + 1);
        assertTrue(transport.refused.isEmpty() && transport.failed.isEmpty(), "delivered: no other answer");
    }

    @Test
    void settingsThatContradictThemselvesAreRefusedWithTheirReason() {
        final var none = assertThrows(IllegalArgumentException.class, () -> PolicyFixture.fleetOf(0));
        assertTrue(none.getMessage().contains("at least one courier"), none.getMessage());
        assertThrows(IllegalArgumentException.class, () -> PolicyFixture.settings(0, 1, false, false));
    }

    @Test
    void anOutcomeOrWithdrawalOfAnUnknownMessageIsIgnored() {
        transport.policy.onWithdrawn(transport.nowUs, "unknown");
        transport.policy.onOutcome(
                transport.nowUs, new Courier.Outcome("unknown", Courier.Result.DELIVERED, true, 1, 1, 0, null));
        transport.policy.decide(transport.nowUs);
        assertTrue(transport.sent.isEmpty() && transport.failed.isEmpty() && transport.refused.isEmpty());
    }
}
