import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Somebody hands in a message again whose id was taken on and delivered before: does it take effect twice? */
final class RepeatedOrder {
    private static final int MESSAGES = 5;
    private static final long TIMEOUT_MS = 2000;
    /** Time after which the ids come again; the class's deadline in the settings is 24 s. */
    private static final long AGAIN_MS = 15_000;

    private RepeatedOrder() {}

    public static void main(final String[] args) {
        Rig.main(args, RepeatedOrder::play);
    }

    private static int play(final Rig rig) throws Exception {
        final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
        final Rig.Endpoint endpoint = rig.new Endpoint("s-1", 7, (at, socket, call) -> {
            for (final String id : Rig.ids(call)) {
                final int count = runs.computeIfAbsent(id, unused -> new AtomicInteger()).incrementAndGet();
                rig.note("endpoint: " + id + " runs, time " + count);
            }
            rig.deliver(socket, call);
        });
        rig.discovery.list("s-1", endpoint.entry("small-partner", "Ready"));
        rig.configure(rig.discovery.port);
        if (!rig.start("a").awaitUp()) {
            return Rig.CANNOT_RUN;
        }
        Rig.sleep(3000);
        for (int number = 0; number < MESSAGES; number++) {
            rig.handIn(id(number), "licence-order", 7, TIMEOUT_MS, new byte[200]);
        }
        if (!Rig.await(5000, () -> runs.size() == MESSAGES)) {
            return Rig.CANNOT_RUN;
        }
        Rig.sleep(AGAIN_MS);
        if (rig.trouble) {
            for (int number = 0; number < MESSAGES; number++) {
                rig.note("a peer sends id " + id(number) + " again");
                rig.handIn(id(number), "licence-order", 7, TIMEOUT_MS, new byte[200]);
            }
        }
        Rig.sleep(3000);
        final long twice = runs.values().stream().filter(count -> count.get() > 1).count();
        rig.say("delivered " + runs.size() + " orders; run twice: " + twice);
        return twice > 0 ? Rig.BROKEN : Rig.HELD;
    }

    private static String id(final int number) {
        return String.format("%016x", 0x30000 + number);
    }
}
