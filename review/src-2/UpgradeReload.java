import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A new configuration moves discovery while a second process of the courier stands by, and the upgrade goes on: is every
 * message that was taken on delivered or ended by a notice?
 */
final class UpgradeReload {
    private static final long TIMEOUT_MS = 3000;
    /** Time in which a second process has to say yes. */
    private static final long YES_MS = 6000;
    /** SIGKILL after SIGTERM. */
    private static final long KILL_AFTER_MS = 3700;
    /** No notice is overdue for this long after a restart. */
    private static final long EXCUSE_MS = 1500;

    private UpgradeReload() {}

    public static void main(final String[] args) {
        Rig.main(args, UpgradeReload::play);
    }

    private static int play(final Rig rig) throws Exception {
        // An ordinary partner, and one that answers each call with an error: its message may have taken effect and
        // has to be ended by a notice.
        final Rig.Endpoint sound = rig.new Endpoint("s-1", 7, (at, socket, call) -> {
            rig.note("endpoint s-1: " + Rig.ids(call) + " delivered");
            rig.deliver(socket, call);
        });
        final Rig.Endpoint faulty = rig.new Endpoint("s-2", 8, (at, socket, call) -> {
            rig.note("endpoint s-2: " + Rig.ids(call) + " error");
            Rig.Server.answer(socket, 500, "", "");
        });
        rig.discovery.list("s-1", sound.entry("small-partner", "Ready"));
        rig.discovery.list("s-2", faulty.entry("small-partner", "Ready"));
        final Rig.Discovery moved = rig.new Discovery("discovery 2");
        moved.continueFrom(rig.discovery);
        rig.configure(rig.discovery.port);
        final Rig.Courier first = rig.start("a");
        if (!first.awaitUp()) {
            return Rig.CANNOT_RUN;
        }
        Rig.sleep(3000);
        final AtomicBoolean ends = new AtomicBoolean();
        final AtomicInteger number = new AtomicInteger(0x20000);
        final Thread clients = Rig.run(() -> {
            while (!ends.get()) {
                final String id = String.format("%016x", number.incrementAndGet());
                final boolean order = number.get() % 3 == 0;
                rig.handIn(id, order ? "licence-order" : "chart-notice", order ? 8 : 7, TIMEOUT_MS, new byte[200]);
                Rig.sleep(100);
            }
        });
        Rig.sleep(2000);
        final Rig.Courier second = rig.start("b");
        if (!Rig.await(YES_MS, () -> second.manage("check").startsWith("OK"))) {
            return Rig.CANNOT_RUN;
        }
        rig.note("courier b says yes " + (rig.nowMs() - second.startedMs) + " ms after its start");
        if (rig.trouble) {
            rig.configure(moved.port);
            first.signal("HUP");
            rig.discovery.leave();
        }
        Rig.sleep(1500);
        first.signal("TERM");
        final long termMs = rig.nowMs();
        Rig.sleep(KILL_AFTER_MS);
        rig.note("courier a: SIGKILL, if it is still running");
        first.kill();
        final long excusedMs = rig.nowMs() + EXCUSE_MS;
        Rig.sleep(6000);
        ends.set(true);
        clients.join();
        Rig.sleep(TIMEOUT_MS + 1000);
        final List<Rig.Accepted> lost = rig.lost().stream()
                .filter(message -> message.deadlineMs() + 350 < termMs || message.deadlineMs() > excusedMs)
                .toList();
        lost.forEach(message -> rig.note("lost: " + message.id() + ", taken on at " + message.sentMs()
                + " ms, its time was up at " + message.deadlineMs() + " ms; delivered: "
                + rig.deliveredMs.get(message.id()) + ", notice: " + rig.noticedMs.get(message.id())));
        rig.say("taken on " + rig.accepted.size() + ", delivered " + rig.deliveredMs.size() + ", ended by a notice "
                + rig.noticedMs.size() + ", lost " + lost.size());
        if (!second.process.isAlive() || rig.accepted.isEmpty()) {
            return Rig.CANNOT_RUN;
        }
        return lost.isEmpty() ? Rig.HELD : Rig.BROKEN;
    }
}
