package driftchute.fleet.lane;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/** Accounts beyond their quota, and held messages that are dropped for others. */
final class QuotaAndHeldMessagesTest {
    private static final long SECOND = 1_000_000;

    @Property(tries = 100, seed = "18")
    void overAllCouriersAnAccountPassesAtMostTwiceItsQuotaAndSpreadAsTheTrafficIsAllOfIt(
            @ForAll @IntRange(min = 1, max = 20) final int couriers,
            @ForAll @DoubleRange(min = 0.1, max = 0.9) final double first,
            @ForAll @DoubleRange(min = 5, max = 50) final double perSecond) {
        final Lanes lanes = LanesTest.threeLanes(1, perSecond, 0.3, 0.3, 0.1);
        final List<Quota> quotas = new ArrayList<>();
        long within = 0;
        long flood = 0;
        for (int i = 0; i < couriers; i++) {
            quotas.add(new Quota(couriers, lanes));
            final double part = couriers == 1 ? 1 : i == 0 ? first : (1 - first) / (couriers - 1);
            quotas.get(i).setLeasedShare(part);
            final long everyUs = (long) Math.ceil(SECOND / (perSecond * part));
            for (long nowUs = 0; nowUs < 20 * SECOND; nowUs += everyUs) {
                within += quotas.get(i).meteredLane(nowUs, 0, 1) == 0 ? 0 : 1;
            }
            for (long nowUs = 0; nowUs < 20 * SECOND; nowUs += SECOND / 200) {
                flood += quotas.get(i).meteredLane(nowUs, 0, 2) == 0 ? 1 : 0;
            }
        }
        assertThat(within).as("beyond the quota, at its quota").isZero();
        assertThat(flood).isLessThanOrEqualTo((long) (2 * perSecond * 22) + couriers);
    }

    @Test
    void accountsAreBoundedAndLanesWithoutAQuotaAreNotMetered() {
        final Quota quota = new Quota(1, LanesTest.threeLanes(1, 0.1, 0.3, 0.3, 0.1));
        quota.setLeasedShare(Double.NaN);
        assertThat(quota.meteredLane(0, 0, 1)).isZero();
        assertThat(quota.meteredLane(0, 0, 1)).isEqualTo(2);
        for (long account = 2; account < 2 + Quota.MAX_ACCOUNTS; account++) {
            assertThat(quota.meteredLane(0, 0, account)).isZero();
        }
        assertThat(quota.meteredLane(0, 0, 1))
                .as("forgotten: least recently seen")
                .isZero();
        assertThat(quota.meteredLane(0, 1, 1) + quota.meteredLane(0, 1, 1)).isEqualTo(2);
    }

    @Property(seed = "18")
    void aHeldMessageIsDroppedOnlyIfHarmlessAndOnlyIfThatMakesTheNewOneTimely(
            @ForAll @Size(max = 40) final List<@IntRange(min = 0, max = 7) Integer> kinds,
            @ForAll @IntRange(max = 3) final int lane,
            @ForAll @IntRange(max = 40) final int roomFor) {
        final List<HeldMessages.HeldMessage> ahead = new ArrayList<>();
        for (final int kind : kinds) {
            ahead.add(new HeldMessages.HeldMessage(
                    "m" + ahead.size(), kind >> 1, SECOND * kind, ahead.size(), kind % 2 == 0));
        }
        final HeldMessages.HeldMessage newcomer = new HeldMessages.HeldMessage("new", lane, SECOND, ahead.size(), true);
        final List<HeldMessages.HeldMessage> gone = HeldMessages.toDropFor(0, ahead, newcomer, roomFor);
        assertThat(gone)
                .allMatch(held -> held.droppable() && held.lane() > lane)
                .doesNotHaveDuplicates();
        final long could = ahead.stream()
                .filter(held -> held.droppable() && held.lane() > lane)
                .count();
        final int needed = ahead.size() + 1 - roomFor;
        assertThat(gone).hasSize(needed <= 0 || needed > could ? 0 : needed);
        assertThat(ahead.stream().filter(held -> !gone.contains(held) && held.droppable() && held.lane() > lane))
                .allMatch(kept -> gone.stream().allMatch(held -> HeldMessages.ORDER.compare(kept, held) < 0));
    }
}
